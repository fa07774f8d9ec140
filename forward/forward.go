// Package forward decides what becomes of one caller's request: to which
// backend servers it goes, when a second one is asked, when an answer with
// parts missing is given, and what is refused. It holds state machines without
// I/O: events and the time go in, actions come out.
package forward

import (
	"math/rand/v2"
	"time"

	"github.com/figmast/figmast/internal/timers"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// RunID names a request in progress, CallID a call to a backend server.
type (
	RunID  uint64
	CallID uint64
)

// Request is what a caller asks.
type Request struct {
	ID    string
	Route *route.Route
	// Deadline is when the caller stops waiting or the route's timeout ends,
	// whichever comes first.
	Deadline time.Time
	// Elapsed is how long the caller has waited before this request, as far
	// as is known.
	Elapsed time.Duration
	// Fingerprint names what the request does, however often it is sent.
	Fingerprint uint64
}

// Outcome is how a call to a backend server ended.
type Outcome int

// Outcomes.
const (
	// Answered calls brought a whole answer, whatever its status.
	Answered Outcome = iota
	// NotRun calls were refused by the server's own word.
	NotRun
	// NotSent calls never left this host.
	NotSent
	// Broken calls were sent and brought no whole answer.
	Broken
	// TimedOut and Cancelled calls may have run.
	TimedOut
	Cancelled
)

// Reply is what a call to a backend server brought.
type Reply struct {
	Outcome Outcome
	// Status is the answer's, OK whether it is a success.
	Status int
	OK     bool
	// Misdirected is set where another server stands at the address, Unreachable
	// where it refuses connections.
	Misdirected bool
	Unreachable bool
	// Leaving is set where the server says that it leaves. Backoff is for how
	// long a server that turned the call away wants nothing from this host.
	Leaving bool
	Backoff time.Duration
	// Signature and Body are the answer's, as far as a gather route merges it.
	Signature string
	Body      []byte
	// Answer is handed back with Finish.
	Answer any
	Detail string
}

// Send asks for a call to a backend server.
type Send struct {
	Call     CallID
	Run      RunID
	Target   *policy.Target
	Deadline time.Time
	// NonIdempotent calls may not run twice: they take no connection that the
	// server may be closing.
	NonIdempotent bool
	// LastResort is set where the server leaves and no other took the call.
	LastResort bool
}

// Cancel gives a call up. With After it may end by itself until then.
type Cancel struct {
	Call  CallID
	After time.Duration
}

// Verdict is what a caller is told.
type Verdict int

// Verdicts.
const (
	// PassThrough hands on one backend server's answer unchanged.
	PassThrough Verdict = iota
	// Merged is an answer of a gather route.
	Merged
	// Refused requests have not run and will not.
	Refused
	// Failed requests may have run; Expired ones have met their deadline.
	Failed
	Expired
)

// Finish ends a request.
type Finish struct {
	Run     RunID
	Verdict Verdict
	// Answer is the backend server's where it is passed on.
	Answer any
	// Signatures name the parts of a merged answer, Missing how many are not
	// in it, Body its records.
	Signatures []string
	Missing    int
	Body       []byte
	// RetryAfter is when coming back helps.
	RetryAfter time.Duration
	Reason     string
	// Trace tells what was decided on the way, one entry a decision.
	Trace []string
}

// Actions is what the engine wants done.
type Actions struct {
	Send   []Send
	Cancel []Cancel
	Finish []Finish
	Check  []Check
}

// Options configure an Engine.
type Options struct {
	Balancer *policy.Balancer
	Rand     *rand.Rand
	// Heartbeat is how often backend servers renew their entries; 0 means 1.2 s.
	Heartbeat time.Duration
	// CPUCores is the part of a processor core that the host has; it must be
	// above 0.
	CPUCores float64
}

// Engine runs the requests of one host. It is not safe for concurrent use.
type Engine struct {
	opts     Options
	runs     map[RunID]*run
	calls    map[CallID]*call
	lastRun  RunID
	lastCall CallID
	timers   timers.Heap[*run]
	services map[string]*service
	routes   map[string]*routeRecord
	crashes  crashes
	out      Actions
}

// NewEngine returns an engine without requests.
func NewEngine(opts Options) *Engine {
	return &Engine{
		opts: opts, runs: make(map[RunID]*run), calls: make(map[CallID]*call),
		services: make(map[string]*service), routes: make(map[string]*routeRecord), crashes: newCrashes(),
	}
}

// Start takes in a request.
func (e *Engine) Start(now time.Time, req Request) (RunID, Actions) {
	e.lastRun++
	r := e.newRun(now, e.lastRun, req)
	e.runs[r.id] = r
	r.begin(now)
	return r.id, e.take()
}

// HandleReply takes in how a call ended.
func (e *Engine) HandleReply(now time.Time, id CallID, reply Reply) Actions {
	c := e.calls[id]
	if c == nil {
		return Actions{}
	}
	delete(e.calls, id)
	e.ended(now, c, reply)
	service := e.service(c.target.Service)
	service.count(now)
	service.serve(now)
	return e.take()
}

// Abandon ends a request whose caller has gone away.
func (e *Engine) Abandon(now time.Time, id RunID) Actions {
	if r := e.runs[id]; r != nil {
		r.note("the caller went away")
		r.close(now)
	}
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
	}
	return e.take()
}

// NextTick returns when Tick has something to do.
func (e *Engine) NextTick() (time.Time, bool) {
	_, at, ok := e.timers.First()
	return at, ok
}

// EndAll gives every request in progress its final answer: the host is about
// to exit.
func (e *Engine) EndAll(now time.Time) Actions {
	for _, r := range e.runs {
		switch {
		case r.enough(r.have):
			r.answer(now)
		case r.unsure == 0:
			r.refuse(now, stopping, stoppingRetryAfter)
		default:
			r.finish(now, Finish{Verdict: Failed, Reason: stopping})
		}
	}
	return e.take()
}

const (
	stopping = "the host is stopping"
	// stoppingRetryAfter lets a caller come back at once, to another host.
	stoppingRetryAfter = 10 * time.Millisecond
)

// Running returns how many requests are in progress.
func (e *Engine) Running() int { return len(e.runs) }

// ServersChanged takes in a change of the servers and serves waiting requests.
func (e *Engine) ServersChanged(now time.Time) Actions {
	e.crashes.serversChanged(e, now)
	for _, s := range e.services {
		s.serve(now)
	}
	return e.take()
}

func (e *Engine) take() Actions {
	out := e.out
	e.out = Actions{}
	return out
}

// ended takes in a call's result for what is known of its server, and hands it
// to its part when that still wants it.
func (e *Engine) ended(now time.Time, c *call, reply Reply) {
	result := observed(reply)
	if c.wanted || result != policy.ResultCancelled {
		e.record(c.part.run.req.Route).observe(now, c, reply)
	}
	e.opts.Balancer.Done(now, c.record, result)
	if reply.Leaving {
		e.opts.Balancer.NoteLeaving(now, c.target)
	}
	if reply.Backoff > 0 {
		e.opts.Balancer.NoteBackoff(now, c.target, reply.Backoff)
	}
	if reply.Outcome == Broken {
		c.part.run.broken++
	}
	e.crashes.observe(e, now, c, reply)
	if c.wanted {
		c.wanted = false
		c.part.reply(now, c, reply)
	} else {
		c.part.run.rest(now) // an answer lets held parts go on
	}
}

// observed returns what a reply tells of its server.
func observed(r Reply) policy.Result {
	switch r.Outcome {
	case Answered:
		if r.OK || r.Status < 500 {
			return policy.ResultOK
		}
		return policy.ResultBroken
	case NotRun:
		return policy.ResultShed
	case NotSent:
		return policy.ResultFailed
	case TimedOut:
		return policy.ResultTimeout
	case Cancelled:
		return policy.ResultCancelled
	}
	return policy.ResultBroken
}
