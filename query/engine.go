// Package query decides how queries are scattered over leaves and gathered
// again: it is a state machine that gets events and the time and gives back
// actions. It does no I/O, starts no goroutines and reads no clock.
package query

import (
	"encoding/json"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
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
	// Decisions tell operators what was decided and why.
	Decisions []decision.Decision
}

// Finish hands a run's final answer to its caller: Answer or Problem is set.
type Finish struct {
	Run     RunID
	Answer  *figmast.QueryAnswer
	Problem *figmast.Problem
}

// Options configure an Engine.
type Options struct {
	Router *policy.Router
	// NextCall returns call ids that the whole host uses once.
	NextCall func() leafcall.ID
}

// Engine drives all queries of a host. It is not safe for concurrent use.
type Engine struct {
	opts  Options
	last  RunID
	runs  map[RunID]*run
	calls map[leafcall.ID]*attempt
}

// NewEngine returns an Engine without runs.
func NewEngine(opts Options) *Engine {
	return &Engine{
		opts:  opts,
		runs:  make(map[RunID]*run),
		calls: make(map[leafcall.ID]*attempt),
	}
}

// Start begins a query. Its Finish may be among the returned actions.
func (e *Engine) Start(now time.Time, req Request) (RunID, Actions) {
	e.last++
	r := newRun(e, e.last, req)
	e.runs[r.id] = r
	r.start(now)
	return r.id, r.take()
}

// Reply hands in how a call ended. Unknown and late calls are ignored.
func (e *Engine) Reply(now time.Time, id leafcall.ID, res leafcall.Result) Actions {
	a := e.calls[id]
	if a == nil {
		return Actions{}
	}
	delete(e.calls, id)
	e.opts.Router.Done(now, a.server, observe(now, a, res))
	if a.run.done {
		return Actions{}
	}
	a.run.reply(now, a, res)
	return a.run.take()
}

// Abandon ends a run whose caller has gone away.
func (e *Engine) Abandon(now time.Time, id RunID) Actions {
	r := e.runs[id]
	if r == nil {
		return Actions{}
	}
	r.close()
	return r.take()
}

// Tick does what is due.
func (e *Engine) Tick(now time.Time) Actions {
	var all Actions
	for _, r := range e.runs {
		r.tick(now)
		all.add(r.take())
	}
	return all
}

// Next returns when Tick has something to do.
func (e *Engine) Next() (time.Time, bool) {
	var next time.Time
	for _, r := range e.runs {
		if t := r.next(); next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next, !next.IsZero()
}

// Running returns how many queries are in progress.
func (e *Engine) Running() int { return len(e.runs) }

func (a *Actions) add(b Actions) {
	a.Send = append(a.Send, b.Send...)
	a.Cancel = append(a.Cancel, b.Cancel...)
	a.Finish = append(a.Finish, b.Finish...)
	a.Decisions = append(a.Decisions, b.Decisions...)
}

func observe(now time.Time, a *attempt, res leafcall.Result) policy.Observation {
	o := policy.Observation{Latency: now.Sub(a.sent), Cold: res.Cold, Fingerprint: a.run.fingerprint}
	switch res.Status {
	case leafcall.OK, leafcall.SnapshotGone, leafcall.Rejected:
		o.Result = policy.ResultOK
	case leafcall.Shed:
		o.Result = policy.ResultShed
	case leafcall.NotSent:
		o.Result = policy.ResultFailed
	case leafcall.Timeout:
		o.Result = policy.ResultTimeout
	case leafcall.Cancelled:
		o.Result = policy.ResultCancelled
	default:
		o.Result = policy.ResultBroken
	}
	return o
}
