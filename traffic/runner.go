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

// Transport makes leaf calls, directly or through a peer. Call returns when the
// call has ended or ctx is done.
type Transport interface {
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
	Transport Transport
	Forwarder Forwarder
	// Clock returns the host's time.
	Clock func() time.Time
	// Recorder is optional.
	Recorder Recorder
}

// Runner drives the engines. It is safe for concurrent use.
type Runner struct {
	opts Options

	// applying orders what the carrier is told of shares; it is taken before
	// mu.
	applying sync.Mutex

	mu       sync.Mutex
	queries  map[query.RunID]chan query.Finish
	commands map[command.WaiterID]chan command.Finish
	calls    map[leafcall.ID]call

	view atomic.Pointer[view.View]

	// sleepsUntil is when Run wakes up by itself.
	sleepsUntil time.Time

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
		commands: make(map[command.WaiterID]chan command.Finish),
		calls:    make(map[leafcall.ID]call),
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
	}
}

// SetView puts a view in force.
func (r *Runner) SetView(v *view.View) {
	r.apply(func(now time.Time) bool {
		r.opts.Router.Apply(now, v)
		r.view.Store(v)
		return true
	})
}

// TakeSuspicions returns the crash suspects found since the last call.
func (r *Runner) TakeSuspicions() []policy.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Router.NewSuspicions()
}

// AddSuspicion takes in a peer's crash suspect.
func (r *Runner) AddSuspicion(s policy.Suspicion) {
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
	r.nudge()
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
	r.nudge()
}

// Mint returns a ticket for one command of the service, or why there is none.
func (r *Runner) Mint(service string) (command.Ticket, *figmast.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Commands.Mint(r.opts.Clock(), time.Now(), service)
}
