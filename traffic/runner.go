// Package traffic runs the query and command engines. It passes events and the
// time to them, guarded by a single lock, and carries out their actions on
// goroutines.
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
	// Apply sets the connection shares.
	Apply(shares []policy.Share)
}

// Forwarder sends a command to the peer that minted its ticket. The Finish has
// neither Answer nor Problem if no answer was received from the peer.
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
	// Clock returns the current time for the engines.
	Clock func() time.Time
	// Recorder is optional.
	Recorder Recorder
}

// Runner drives the engines. It is safe for concurrent use.
type Runner struct {
	opts Options

	// applyMu keeps calls of Transport.Apply in order. It is locked before mu.
	applyMu sync.Mutex

	mu       sync.Mutex
	queries  map[query.RunID]chan query.Finish
	commands map[command.WaiterID]chan command.Finish
	calls    map[leafcall.ID]call

	view atomic.Pointer[view.View]

	// wakeAt is when Run wakes up if wake is not signalled.
	wakeAt time.Time

	wake     chan struct{}
	stop     chan struct{}
	inFlight sync.WaitGroup
}

// call is a leaf call in progress.
type call struct {
	cancel    context.CancelFunc
	isCommand bool
}

// NewRunner returns a Runner. Timers only fire while Run is running.
func NewRunner(opts Options) *Runner {
	if opts.Recorder == nil {
		opts.Recorder = nopRecorder{}
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

// SetView makes v the current view.
func (r *Runner) SetView(v *view.View) {
	r.apply(func(now time.Time) bool {
		r.opts.Router.Apply(now, v)
		r.view.Store(v)
		return true
	})
}

// TakeSuspicions returns the crash suspicions found by this host since the last
// call.
func (r *Runner) TakeSuspicions() []policy.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Router.TakeSuspicions()
}

// AddSuspicion records a crash suspicion that a peer has reported.
func (r *Runner) AddSuspicion(s policy.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Router.AddSuspicion(r.opts.Clock(), s)
}

// Query runs a query and returns its answer or problem. If ctx is done first, it
// abandons the query, and both are nil.
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
	r.applyQueryActions(acts)
	r.wakeIfEarlier()
	return id
}

func (r *Runner) abandon(id query.RunID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.queries, id)
	r.applyQueryActions(r.opts.Queries.Abandon(r.opts.Clock(), id))
}

// Command runs a command and returns its answer or problem. If ctx is done first,
// both are nil, but the command continues.
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
	r.applyCommandActions(acts)
	r.wakeIfEarlier()
}

// Mint returns a ticket for one command of the service, or a problem if none can
// be issued.
func (r *Runner) Mint(service string) (command.Ticket, *figmast.Problem) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opts.Commands.Mint(r.opts.Clock(), time.Now(), service)
}
