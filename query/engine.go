// Package query implements scatter-gather of queries over leaves as a state
// machine: its inputs are events and the current time, its outputs are
// actions. It does no I/O, starts no goroutines and reads no clock.
//
// A query is queued until its service has capacity for it. It is then pinned
// to one snapshot, and each leaf that holds data of the snapshot gets a call
// for its part. A part whose leaf has no free connection waits in the leaf's
// queue. The results of the parts are gathered into the answer.
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

// RunID identifies a query in progress. An Engine never reuses one.
type RunID uint64

// Request is a query to run.
type Request struct {
	ID        string
	Service   string
	Operation string
	Payload   json.RawMessage
	// Urgency and Worth must be set: the engine does not apply the defaults of
	// the operation.
	Urgency figmast.Urgency
	Worth   float64
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
}

// Actions are what the engine's user must carry out, each list in order.
type Actions struct {
	Send   []leafcall.Send
	Cancel []leafcall.Cancel
	Finish []Finish
	// Decisions are reported to operators. First attempts are not included.
	Decisions []decision.Decision
}

// Finish delivers the outcome of a query to its caller. Either Answer or
// Problem is set.
type Finish struct {
	Run     RunID
	Answer  *figmast.QueryAnswer
	Problem *figmast.Problem
}

// DefaultMaxCalls is the default of Options.MaxCalls.
const DefaultMaxCalls = 16_384

// Options configure an Engine.
type Options struct {
	Router *policy.Router
	// NextCall returns a new call ID, unique on this host.
	NextCall func() leafcall.ID
	// MaxCalls limits the leaf calls in progress on the host; 0 means
	// DefaultMaxCalls. At the limit, services are scheduled by deficit round
	// robin.
	MaxCalls int
}

// Engine drives all queries of a host. It is not safe for concurrent use.
type Engine struct {
	opts        Options
	out         Actions
	lastRunID   RunID
	runs        map[RunID]*run
	calls       map[leafcall.ID]*attempt
	timers      timers.Heap[*run]
	services    map[string]*service
	scheduler   deficitRoundRobin
	queuedBytes int // payloads of all queued queries
}

// NewEngine returns an Engine without queries.
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

// Start begins a query. A query that is refused at once has its Finish among
// the returned actions.
func (e *Engine) Start(now time.Time, req Request) (RunID, Actions) {
	e.lastRunID++
	r := newRun(e, e.lastRunID, req)
	e.runs[r.id] = r
	e.admit(now, r)
	return r.id, e.takeActions()
}

// Reply passes the result of a call to the engine. A result for an unknown
// call is ignored. If the query has ended, the result is only passed to the
// Router. In either case waiting parts and queued queries use the capacity that
// has become free.
func (e *Engine) Reply(now time.Time, id leafcall.ID, res leafcall.Result) Actions {
	a := e.calls[id]
	if a == nil {
		return Actions{}
	}
	delete(e.calls, id)
	e.opts.Router.Done(now, a.server, observation(now, a, res))
	if !a.run.isDone {
		a.run.reply(now, a, res)
	}
	a.queue.sendWaiting(now)
	e.startQueued(now, a.run.service)
	return e.takeActions()
}

// Abandon ends a query whose caller has disconnected.
func (e *Engine) Abandon(now time.Time, id RunID) Actions {
	r := e.runs[id]
	if r == nil {
		return Actions{}
	}
	e.recordDecision(r, decision.GaveUp, nil, "the caller went away")
	r.close()
	e.startQueued(now, r.service)
	return e.takeActions()
}

// Tick handles all timers that are due.
func (e *Engine) Tick(now time.Time) Actions {
	for {
		r, due := e.timers.Due(now)
		if !due {
			break
		}
		r.tick(now)
		e.startQueued(now, r.service)
	}
	return e.takeActions()
}

// Next returns when Tick must be called next; ok is false if no timer is set.
func (e *Engine) Next() (time.Time, bool) {
	_, at, ok := e.timers.First()
	return at, ok
}

// Running returns the number of queries in progress, including queued ones.
func (e *Engine) Running() int { return len(e.runs) }

func (e *Engine) takeActions() Actions {
	out := e.out
	e.out = Actions{}
	return out
}

func (e *Engine) recordDecision(r *run, kind decision.Kind, p *part, reason string) {
	d := decision.Decision{Request: r.req.ID, Service: r.req.Service, Kind: kind, Reason: reason}
	if p != nil {
		d.Leaf = p.leaf
		if n := len(p.triedServers); n > 0 {
			d.Server = p.triedServers[n-1].ID
		}
	}
	e.out.Decisions = append(e.out.Decisions, d)
}

func observation(now time.Time, a *attempt, res leafcall.Result) policy.Observation {
	return policy.Observation{
		Result: res.Observed(), Latency: now.Sub(a.sentAt), Cold: res.Cold, Fingerprint: a.run.fingerprint,
	}
}
