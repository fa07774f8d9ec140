// Package traffic runs the query and command engines: it hands them events
// and the time under one lock and carries out their actions on goroutines.
package traffic

import (
	"context"
	"sync"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/view"
)

// Carrier makes leaf calls, directly or through a peer. Call returns when the
// call has ended or ctx is done.
type Carrier interface {
	Call(ctx context.Context, s leafcall.Send) leafcall.Result
	// Apply sets the shares of connections in force.
	Apply(shares []policy.Share)
}

// Forwarder hands a command to the peer that minted its ticket. The Finish
// has neither Answer nor Problem when the peer could not be asked.
type Forwarder interface {
	Forward(ctx context.Context, f command.Forward) command.Finish
}

// Options configure a Runner.
type Options struct {
	Router    *policy.Router
	Queries   *query.Engine
	Commands  *command.Engine
	Carrier   Carrier
	Forwarder Forwarder
	// Clock returns the host's time.
	Clock func() time.Time
}

// Runner drives the engines. It is safe for concurrent use.
type Runner struct {
	opts Options

	mu       sync.Mutex
	queries  map[query.RunID]chan query.Finish
	commands map[command.RunID]chan command.Finish
	cancels  map[leafcall.ID]context.CancelFunc
	closed   bool

	wake    chan struct{}
	stop    chan struct{}
	working sync.WaitGroup
}

// NewRunner returns a Runner; Run must be called for timers to fire.
func NewRunner(opts Options) *Runner {
	return &Runner{
		opts:     opts,
		queries:  make(map[query.RunID]chan query.Finish),
		commands: make(map[command.RunID]chan command.Finish),
		cancels:  make(map[leafcall.ID]context.CancelFunc),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
	}
}

// SetView puts a view in force.
func (r *Runner) SetView(v *view.View) {
	r.mu.Lock()
	r.opts.Router.Apply(r.opts.Clock(), v)
	shares := r.opts.Router.Shares()
	r.mu.Unlock()
	r.opts.Carrier.Apply(shares)
}

// NewSuspicions returns the crash suspects found since the last call.
func (r *Runner) NewSuspicions() []policy.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Router.NewSuspicions()
}

// Learn takes in a peer's crash suspect.
func (r *Runner) Learn(s policy.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Router.Learn(r.opts.Clock(), s)
}

// Query runs a query to its end. It returns an answer or a problem; both are
// nil when ctx ended first.
func (r *Runner) Query(ctx context.Context, req query.Request) (*figmast.QueryAnswer, *figmast.Problem) {
	done := make(chan query.Finish, 1)
	r.mu.Lock()
	id, acts := r.opts.Queries.Start(r.opts.Clock(), req)
	r.queries[id] = done
	r.runQuery(acts)
	r.mu.Unlock()
	r.nudge()
	select {
	case f := <-done:
		return f.Answer, f.Problem
	case <-ctx.Done():
		r.abandon(id)
		return nil, nil
	}
}

func (r *Runner) abandon(id query.RunID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.queries, id)
	r.runQuery(r.opts.Queries.Abandon(r.opts.Clock(), id))
}

// Command runs a command to its end. A caller that goes away does not stop
// it; both results are nil then.
func (r *Runner) Command(ctx context.Context, req command.Request) (*figmast.CommandAnswer, *figmast.Problem) {
	done := make(chan command.Finish, 1)
	r.mu.Lock()
	id, acts := r.opts.Commands.Start(r.opts.Clock(), req)
	r.commands[id] = done
	r.runCommand(acts)
	r.mu.Unlock()
	select {
	case f := <-done:
		return f.Answer, f.Problem
	case <-ctx.Done():
		return nil, nil
	}
}

// Mint returns a ticket for one command of the service.
func (r *Runner) Mint(service string) command.Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Commands.Mint(r.opts.Clock(), service)
}

// Run fires timers until Stop.
func (r *Runner) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		timer.Reset(r.untilNext())
		select {
		case <-r.stop:
			return
		case <-r.wake:
		case <-timer.C:
			r.tick()
		}
	}
}

// idleTick is how long Run sleeps when no query waits, so that commands'
// claims are still forgotten in time.
const idleTick = time.Second

func (r *Runner) untilNext() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	next, ok := r.opts.Queries.Next()
	if !ok {
		return idleTick
	}
	return min(max(next.Sub(r.opts.Clock()), 0), idleTick)
}

func (r *Runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock()
	r.runQuery(r.opts.Queries.Tick(now))
	r.runCommand(r.opts.Commands.Tick(now))
}

func (r *Runner) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Stop ends Run, gives up queries' calls and waits for all calls to end.
func (r *Runner) Stop() {
	close(r.stop)
	r.mu.Lock()
	r.closed = true
	for _, cancel := range r.cancels {
		cancel()
	}
	r.mu.Unlock()
	r.working.Wait()
}

// runQuery carries out a query's actions. The caller holds mu.
func (r *Runner) runQuery(a query.Actions) {
	for _, s := range a.Send {
		r.send(s)
	}
	for _, c := range a.Cancel {
		if cancel := r.cancels[c.ID]; cancel != nil {
			cancel()
		}
	}
	for _, f := range a.Finish {
		done := r.queries[f.Run]
		delete(r.queries, f.Run)
		if done != nil {
			done <- f
		}
	}
}

// runCommand carries out a command's actions. The caller holds mu.
func (r *Runner) runCommand(a command.Actions) {
	for _, s := range a.Send {
		r.send(s)
	}
	for _, f := range a.Forward {
		r.forward(f)
	}
	for _, f := range a.Finish {
		done := r.commands[f.Run]
		delete(r.commands, f.Run)
		if done != nil {
			done <- f
		}
	}
}

func (r *Runner) send(s leafcall.Send) {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancels[s.ID] = cancel
	s.Guard = r.guard(s.Server, s.Guard)
	r.working.Add(1)
	go func() {
		defer r.working.Done()
		defer cancel()
		res := r.opts.Carrier.Call(ctx, s)
		r.reply(s, res)
	}()
}

// guard adds the check that the view in force may be acted on and still has
// the server take work; it may be another view than the one the server was
// picked from.
func (r *Runner) guard(srv *policy.Server, also func(time.Time) bool) func(time.Time) bool {
	return func(now time.Time) bool {
		if also != nil && !also(now) {
			return false
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.opts.Router.View().MayCall(now, srv.Service, srv.Leaf, srv.ID)
	}
}

func (r *Runner) reply(s leafcall.Send, res leafcall.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.cancels, s.ID)
	now := r.opts.Clock()
	if s.Command {
		r.runCommand(r.opts.Commands.Reply(now, s.ID, res))
		return
	}
	r.runQuery(r.opts.Queries.Reply(now, s.ID, res))
}

func (r *Runner) forward(f command.Forward) {
	r.working.Add(1)
	go func() {
		defer r.working.Done()
		ctx, cancel := context.WithDeadline(context.Background(), f.Request.Deadline)
		defer cancel()
		answer := r.opts.Forwarder.Forward(ctx, f)
		r.mu.Lock()
		defer r.mu.Unlock()
		r.runCommand(r.opts.Commands.Forwarded(r.opts.Clock(), f.Run, answer))
	}()
}
