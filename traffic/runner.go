// Package traffic runs the query and command engines: it hands them events
// and the time under one lock and carries out their actions on goroutines.
package traffic

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
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
	// Recorder is optional.
	Recorder Recorder
}

// Runner drives the engines. It is safe for concurrent use.
type Runner struct {
	opts Options

	mu       sync.Mutex
	queries  map[query.RunID]chan query.Finish
	commands map[command.RunID]chan command.Finish
	calls    map[leafcall.ID]call

	view atomic.Pointer[view.View]

	wake    chan struct{}
	stop    chan struct{}
	working sync.WaitGroup
}

// call is a leaf call in progress.
type call struct {
	cancel  context.CancelFunc
	command bool
}

// NewRunner returns a Runner; Run must be called for timers to fire.
func NewRunner(opts Options) *Runner {
	if opts.Recorder == nil {
		opts.Recorder = noRecorder{}
	}
	return &Runner{
		opts:     opts,
		queries:  make(map[query.RunID]chan query.Finish),
		commands: make(map[command.RunID]chan command.Finish),
		calls:    make(map[leafcall.ID]call),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
	}
}

// SetView puts a view in force.
func (r *Runner) SetView(v *view.View) {
	r.mu.Lock()
	r.opts.Router.Apply(r.opts.Clock(), v)
	shares := r.opts.Router.Shares()
	r.view.Store(v)
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
	start := Start{Request: req.ID, Service: req.Service, Operation: req.Operation, Kind: document.Query}
	r.opts.Recorder.Started(start)
	began := r.opts.Clock()
	done := make(chan query.Finish, 1)
	id := r.startQuery(req, done)
	r.nudge()
	var f query.Finish
	select {
	case f = <-done:
	case <-ctx.Done():
		r.abandon(id)
	}
	end := End{Start: start, Answered: f.Answer != nil, Problem: f.Problem, Took: r.opts.Clock().Sub(began)}
	if f.Answer != nil {
		end.Coverage = f.Answer.Coverage
	}
	r.opts.Recorder.Ended(end)
	return f.Answer, f.Problem
}

func (r *Runner) startQuery(req query.Request, done chan query.Finish) query.RunID {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, acts := r.opts.Queries.Start(r.opts.Clock(), req)
	r.queries[id] = done
	r.runQuery(acts)
	return id
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
	start := Start{
		Request: req.ID, Service: req.Service, Operation: req.Operation,
		Kind: document.Command, Forwarded: req.Forwarded,
	}
	r.opts.Recorder.Started(start)
	began := r.opts.Clock()
	done := make(chan command.Finish, 1)
	r.startCommand(req, done)
	r.nudge()
	var f command.Finish
	select {
	case f = <-done:
	case <-ctx.Done():
	}
	r.opts.Recorder.Ended(End{Start: start, Answered: f.Answer != nil, Problem: f.Problem, Took: r.opts.Clock().Sub(began)})
	return f.Answer, f.Problem
}

func (r *Runner) startCommand(req command.Request, done chan command.Finish) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id, acts := r.opts.Commands.Start(r.opts.Clock(), req)
	r.commands[id] = done
	r.runCommand(acts)
}

// Mint returns a ticket for one command of the service, or why there is none.
func (r *Runner) Mint(service string) (command.Ticket, *figmast.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Commands.Mint(r.opts.Clock(), time.Now(), service)
}

// Times of Drain.
const (
	// drainPoll is how often it looks.
	drainPoll = 5 * time.Millisecond
	// answerTime is left for the last answers to be written to peers.
	answerTime = 50 * time.Millisecond
)

// Drain takes no more commands and waits until no caller waits and no command
// runs, or until ctx is done; then it returns the cause. It tells what the
// command engine then holds, which is forgotten when the process ends. Calls
// of queries that have been answered may still be ending.
func (r *Runner) Drain(ctx context.Context) (command.Stats, error) {
	for {
		held, idle := r.settled()
		if idle {
			pause(ctx, answerTime)
			return held, nil
		}
		if ctx.Err() != nil {
			return held, context.Cause(ctx)
		}
		pause(ctx, drainPoll)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *Runner) settled() (held command.Stats, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Commands.Close()
	held = r.opts.Commands.Stats()
	return held, len(r.queries) == 0 && len(r.commands) == 0 && held.Running+held.Waiting == 0
}

// Run fires timers until Stop.
func (r *Runner) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	shares := time.NewTicker(advanceEvery)
	defer shares.Stop()
	for {
		timer.Reset(r.untilNext())
		select {
		case <-r.stop:
			return
		case <-r.wake:
		case <-shares.C:
			r.advance()
		case <-timer.C:
			r.tick()
		}
	}
}

// advanceEvery is how often shares of connections are looked at.
const advanceEvery = 250 * time.Millisecond

// idleTick is how long Run sleeps when no query waits, so that commands'
// claims are still forgotten in time.
const idleTick = time.Second

func (r *Runner) untilNext() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := idleTick
	now := r.opts.Clock()
	if next, ok := r.opts.Queries.Next(); ok {
		wait = min(wait, next.Sub(now))
	}
	if next, ok := r.opts.Commands.Next(); ok {
		wait = min(wait, next.Sub(now))
	}
	return max(wait, 0)
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

// Stop ends Run and gives up queries' calls. It waits for commands to end
// until ctx is done, then gives up the rest, and returns when nothing is left.
func (r *Runner) Stop(ctx context.Context) {
	close(r.stop)
	r.giveUp(func(c call) bool { return !c.command })
	over := context.AfterFunc(ctx, func() { r.giveUp(func(call) bool { return true }) })
	defer over()
	r.working.Wait()
}

func (r *Runner) giveUp(which func(call) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if which(c) {
			c.cancel()
		}
	}
}

// runQuery carries out a query's actions. The caller holds mu.
func (r *Runner) runQuery(a query.Actions) {
	r.opts.Recorder.Decided(a.Decisions)
	for _, s := range a.Send {
		r.send(s)
	}
	for _, c := range a.Cancel {
		if running, ok := r.calls[c.ID]; ok {
			running.cancel()
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
	r.opts.Recorder.Decided(a.Decisions)
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
	r.calls[s.ID] = call{cancel: cancel, command: s.Command}
	s.Guard = r.guard(s.Server, s.Guard)
	r.working.Add(1)
	go func() {
		defer r.working.Done()
		defer cancel()
		began := r.opts.Clock()
		res := r.opts.Carrier.Call(ctx, s)
		r.opts.Recorder.CallEnded(s, res, r.opts.Clock().Sub(began))
		r.reply(s, res)
	}()
}

// guard adds the check that the view in force may be acted on and still has
// the server take work; it may be another view than the one the server was
// picked from.
func (r *Runner) guard(srv *policy.Server, also func(time.Time) bool) func(time.Time) bool {
	return func(now time.Time) bool {
		return r.view.Load().MayCall(now, srv.Service, srv.Leaf, srv.ID) && (also == nil || also(now))
	}
}

func (r *Runner) reply(s leafcall.Send, res leafcall.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, s.ID)
	now := r.opts.Clock()
	if res.Blame == leafcall.BlameHolder {
		r.opts.Router.HolderFailed(now, s.Via.ID)
	}
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
