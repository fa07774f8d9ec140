// Package query decides how queries are scattered over leaves and gathered
// again: it is a state machine that gets events and the time and gives back
// actions. It does no I/O, starts no goroutines and reads no clock.
//
// A query waits in its service's queue until the service can take it, is
// pinned to one snapshot, sends one call to each leaf and gathers the parts.
// A part whose leaf has no free connection waits in the leaf's queue.
package query

import (
	"encoding/json"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/internal/timers"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// RunID names one query in progress; an Engine never uses one twice.
type RunID uint64

// Request is a query as the engine takes it.
type Request struct {
	ID        string
	Service   string
	Operation string
	Payload   json.RawMessage
	// Urgency and Worth are the operation's where the caller named none.
	Urgency figmast.Urgency
	Worth   float64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
}

// Actions are what the engine wants done, in order.
type Actions struct {
	Send   []leafcall.Send
	Cancel []leafcall.Cancel
	Finish []Finish
	// Decisions tell operators what was decided and why. Ordinary first
	// attempts are not among them.
	Decisions []decision.Decision
}

// Finish hands a run's final answer to its caller: Answer or Problem is set.
type Finish struct {
	Run     RunID
	Answer  *figmast.QueryAnswer
	Problem *figmast.Problem
}

// DefaultMaxCalls bounds the leaf calls of a host that are in progress.
const DefaultMaxCalls = 16_384

// Options configure an Engine.
type Options struct {
	Router *policy.Router
	// NextCall returns call ids that the whole host uses once.
	NextCall func() leafcall.ID
	// MaxCalls bounds the leaf calls in progress; 0 means DefaultMaxCalls.
	// At the bound, services take turns by deficit round robin.
	MaxCalls int
}

// Engine drives all queries of a host. It is not safe for concurrent use.
type Engine struct {
	opts     Options
	out      Actions
	last     RunID
	runs     map[RunID]*run
	calls    map[leafcall.ID]*attempt
	timers   timers.Heap[*run]
	services map[string]*service
	fair     turns
	queued   int // bytes of payload in queues
}

// NewEngine returns an Engine without runs.
func NewEngine(opts Options) *Engine {
	if opts.MaxCalls == 0 {
		opts.MaxCalls = DefaultMaxCalls
	}
	return &Engine{
		opts:     opts,
		runs:     make(map[RunID]*run),
		calls:    make(map[leafcall.ID]*attempt),
		services: make(map[string]*service),
	}
}

// Start begins a query. Its Finish may be among the returned actions.
func (e *Engine) Start(now time.Time, req Request) (RunID, Actions) {
	e.last++
	r := newRun(e, e.last, req)
	e.runs[r.id] = r
	e.admit(now, r)
	return r.id, e.take()
}

// Reply hands in how a call ended. Unknown and late calls are ignored, but
// the Router learns of every call that this engine began.
func (e *Engine) Reply(now time.Time, id leafcall.ID, res leafcall.Result) Actions {
	a := e.calls[id]
	if a == nil {
		return Actions{}
	}
	delete(e.calls, id)
	e.opts.Router.Done(now, a.server, observe(now, a, res))
	if !a.run.done {
		a.run.reply(now, a, res)
	}
	a.queue.serve(now)
	e.pump(now, a.run.service)
	return e.take()
}

// Abandon ends a run whose caller has gone away.
func (e *Engine) Abandon(now time.Time, id RunID) Actions {
	r := e.runs[id]
	if r == nil {
		return Actions{}
	}
	e.decide(r, decision.GaveUp, nil, "the caller went away")
	r.close()
	e.pump(now, r.service)
	return e.take()
}

// Tick does what is due.
func (e *Engine) Tick(now time.Time) Actions {
	for {
		r, due := e.timers.Due(now)
		if !due {
			break
		}
		r.tick(now)
		e.pump(now, r.service)
	}
	return e.take()
}

// Next returns when Tick has something to do.
func (e *Engine) Next() (time.Time, bool) {
	_, at, ok := e.timers.First()
	return at, ok
}

// Running returns how many queries are in progress, queued ones included.
func (e *Engine) Running() int { return len(e.runs) }

func (e *Engine) take() Actions {
	out := e.out
	e.out = Actions{}
	return out
}

func (e *Engine) decide(r *run, kind decision.Kind, p *part, reason string) {
	d := decision.Decision{Request: r.req.ID, Service: r.req.Service, Kind: kind, Reason: reason}
	if p != nil {
		d.Leaf = p.leaf
		if n := len(p.tried); n > 0 {
			d.Server = p.tried[n-1].ID
		}
	}
	e.out.Decisions = append(e.out.Decisions, d)
}

func observe(now time.Time, a *attempt, res leafcall.Result) policy.Observation {
	return policy.Observation{
		Result: res.Observed(), Latency: now.Sub(a.sent), Cold: res.Cold, Fingerprint: a.run.fingerprint,
	}
}
