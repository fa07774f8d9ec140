// Package forward decides how a caller's request is served: which backend
// servers it is sent to, when a hedge or a retry is sent, when a partial answer
// is returned, and when the request is refused. It consists of state machines
// without I/O: events and the current time go in, actions come out.
package forward

import (
	"math/rand/v2"
	"time"

	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/internal/timers"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// RunID identifies a request in progress, CallID a call to a backend server.
type (
	RunID  uint64
	CallID uint64
)

// Request is a caller's request.
type Request struct {
	ID    string
	Route *route.Route
	// Deadline is the earlier of the caller's own deadline and the route's
	// timeout.
	Deadline time.Time
	// Elapsed estimates how long the caller had been waiting before this
	// attempt arrived.
	Elapsed time.Duration
	// Fingerprint identifies the content of the request: every attempt of the
	// same request has the same fingerprint.
	Fingerprint uint64
	// HandedOver is set if another host has handed over the request; it is not
	// handed over again. PriorCalls is how many servers may have run each part of it
	// before.
	HandedOver bool
	PriorCalls int
}

// Outcome is how a call to a backend server ended.
type Outcome int

// Outcomes of a call.
const (
	// Answered means that a complete response arrived, whatever its status.
	Answered Outcome = iota
	// NotRun means that the server stated that it did not run the request.
	NotRun
	// NotSent means that no byte left this host.
	NotSent
	// Broken means that the request was sent and the connection ended before a
	// complete response arrived.
	Broken
	// TimedOut and Cancelled mean that the server may have run the request.
	TimedOut
	Cancelled
)

// Reply is the result of a call to a backend server.
type Reply struct {
	Outcome Outcome
	// Unidentified is set if the response may be one to another request: a server that
	// states that it did not run the request may have run this one.
	Unidentified bool
	// Status is the response's HTTP status. OK is set for a success.
	Status int
	OK     bool
	// Misdirected is set if another server listens at the address, Unreachable
	// if the address refuses connections.
	Misdirected bool
	Unreachable bool
	// Connected is set if a new connection was opened for the call.
	Connected bool
	// Withheld is set if a call was not sent for a reason on this host: its time
	// had passed, or its server had been withdrawn or given up on.
	Withheld bool
	// Leaving is set if the server announced that it is leaving. Backoff is how
	// long a server that refused the call wants no further calls from this
	// host.
	Leaving bool
	Backoff time.Duration
	// Limit is what the answer says about the server's request limit.
	Limit route.RequestLimit
	// InvalidLimit is a value of the header that is no limit, in quotes.
	InvalidLimit string
	// Signature and Body hold what a gather route merges of the response.
	Signature string
	Body      []byte
	// Answer is the opaque response; it is returned in Finish.
	Answer any
	Detail string
}

// Send is the action of calling a backend server.
type Send struct {
	Call     CallID
	Run      RunID
	Target   *policy.Target
	Deadline time.Time
	// NonIdempotent calls must not run twice, so they never use a kept-alive
	// connection that the server may be closing.
	NonIdempotent bool
	// LastResort is set if the server is leaving and no other server could take
	// the call.
	LastResort bool
}

// Cancel is the action of cancelling a call. The call may still complete within
// After.
type Cancel struct {
	Call  CallID
	After time.Duration
}

// Verdict classifies the final answer to a caller.
type Verdict int

// Verdicts.
const (
	// PassThrough returns one backend server's response unchanged.
	PassThrough Verdict = iota
	// Merged returns the merged answer of a gather route.
	Merged
	// Refused means that the request has not run and will not run.
	Refused
	// Failed means that the request may have run, Expired that its deadline has
	// passed.
	Failed
	Expired
	// Relayed returns the final answer of the host that the request was handed over
	// to.
	Relayed
)

// Finish is the action of ending a request.
type Finish struct {
	Run     RunID
	Verdict Verdict
	// Answer is the backend server's response if it is passed through, or the other
	// host's if it is relayed.
	Answer any
	// Handover is the result for the host that has handed over the request.
	Handover handover.Result
	// Signatures hold the signature of each merged part, Missing the number of
	// parts that are missing, Body the merged records.
	Signatures []string
	Missing    int
	Body       []byte
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
	Reason     string
	// Trace lists the decisions taken for the request, one entry each.
	Trace []string
}

// Actions is the set of actions that the engine requests.
type Actions struct {
	Send   []Send
	Cancel []Cancel
	Finish []Finish
	Check  []Check
	Probe  []Probe
	// Handover holds the requests to hand over, Withdraw those to take back from
	// the host that they were handed over to.
	Handover []Handover
	Withdraw []RunID
	// Reach holds changes of whether the host reaches backend servers, for its log.
	Reach []policy.ReachChange
}

// Options configures an Engine.
type Options struct {
	Balancer *policy.Balancer
	Rand     *rand.Rand
	// Peers holds the hosts that requests may be handed over to; with nil, none are.
	Peers *handover.Peers
	// Heartbeat is the interval at which backend servers renew their entries in
	// the metadata store; 0 means 1.2 s.
	Heartbeat time.Duration
	// CPUCapacity is the host's processing power as a multiple of one core's. It
	// must be above 0; fractions are common.
	CPUCapacity float64
}

// Engine holds the requests in progress on one host. It is not safe for
// concurrent use.
type Engine struct {
	opts     Options
	runs     map[RunID]*run
	calls    map[CallID]*call
	lastRun  RunID
	lastCall CallID
	timers   timers.Heap[*run]
	services map[string]*service
	routes   map[string]*routeStats
	crashes  crashDetector
	// reachCheckAt is when the host's reach is checked next; zero means never.
	reachCheckAt time.Time
	// stopAt is when the host ends all requests; zero while it is not stopping.
	stopAt time.Time
	// isolatedAt is when the host was last found to be isolated, silentSince when a
	// server had last answered then. isolation is what other hosts have told since.
	isolatedAt  time.Time
	silentSince time.Time
	isolation   isolationProof
	// direct counts the requests that count towards the direct limit of a host that
	// recovers from an isolation, guests the requests from other hosts.
	direct int
	guests int
	out    Actions
}

// NewEngine returns an engine without requests.
func NewEngine(opts Options) *Engine {
	return &Engine{
		opts: opts, runs: make(map[RunID]*run), calls: make(map[CallID]*call),
		services: make(map[string]*service), routes: make(map[string]*routeStats), crashes: newCrashDetector(),
	}
}

// Start begins a request.
func (e *Engine) Start(now time.Time, req Request) (RunID, Actions) {
	e.lastRun++
	r := e.newRun(now, e.lastRun, req)
	e.runs[r.id] = r
	r.begin(now)
	return r.id, e.takeActions()
}

// HandleReply processes the result of a call.
func (e *Engine) HandleReply(now time.Time, id CallID, reply Reply) Actions {
	c := e.calls[id]
	if c == nil {
		return Actions{}
	}
	delete(e.calls, id)
	e.callEnded(now, c, reply)
	service := e.service(c.target.Service)
	service.countCompletion(now)
	service.dispatch(now)
	return e.takeActions()
}

// Abandon ends a request whose caller has disconnected.
func (e *Engine) Abandon(now time.Time, id RunID) Actions {
	if r := e.runs[id]; r != nil {
		r.tracef("the caller went away")
		r.close(now)
	}
	return e.takeActions()
}

// Tick runs everything that is due.
func (e *Engine) Tick(now time.Time) Actions {
	e.checkReach(now)
	for {
		r, due := e.timers.Due(now)
		if !due {
			break
		}
		r.tick(now)
	}
	return e.takeActions()
}

// NextTick returns when Tick is due next, and false if nothing is scheduled.
func (e *Engine) NextTick() (time.Time, bool) {
	_, at, ok := e.timers.First()
	if !e.reachCheckAt.IsZero() && (!ok || e.reachCheckAt.Before(at)) {
		return e.reachCheckAt, true
	}
	return at, ok
}

// EndAll gives every request in progress its final answer because the host is
// about to exit.
func (e *Engine) EndAll(now time.Time) Actions {
	for _, r := range e.runs {
		switch {
		case r.sufficient(r.answeredParts):
			r.answer(now)
		case !r.mayRunAnywhere():
			r.refuse(now, stoppingReason, stoppingRetryAfter)
		default:
			r.finish(now, Finish{Verdict: Failed, Reason: stoppingReason})
		}
	}
	return e.takeActions()
}

// StopAt tells when the host will end all requests in progress. Requests that
// cannot be expected to end by then are refused from now on.
func (e *Engine) StopAt(at time.Time) { e.stopAt = at }

// endsBeforeStop reports whether a request that begins now can be expected to end
// before the host does. A request that may run only once gets more time: nobody
// could tell its caller whether it ran.
func (r *run) endsBeforeStop(now time.Time) bool {
	if r.engine.stopAt.IsZero() {
		return true
	}
	factor, least := time.Duration(stopPatience), minStopTime
	if !r.req.Route.Idempotent {
		factor, least = onceStopPatience, minOnceStopTime
	}
	return !now.Add(max(factor*r.stats.medianLatency(), least)).After(r.engine.stopAt)
}

const (
	// A request needs stopPatience times its route's median latency, and minStopTime
	// at least, before the host ends; one that may run only once needs the longer
	// ones.
	stopPatience     = 4
	minStopTime      = 300 * time.Millisecond
	onceStopPatience = 10
	minOnceStopTime  = time.Second

	stoppingReason = "the host is stopping"
	// stoppingRetryAfter is short: the retry goes to another host.
	stoppingRetryAfter = 10 * time.Millisecond
)

// Running returns how many requests are in progress.
func (e *Engine) Running() int { return len(e.runs) }

// ServersChanged processes a change of the set of servers and dispatches queued
// requests.
func (e *Engine) ServersChanged(now time.Time) Actions {
	e.crashes.serversChanged(e, now)
	for _, s := range e.services {
		s.dispatch(now)
	}
	return e.takeActions()
}

func (e *Engine) takeActions() Actions {
	out := e.out
	e.out = Actions{}
	return out
}

// callEnded updates the balancer, the route's latencies and the crash detector
// with the result of a call, and passes the result to the call's part if the
// part still wants it.
func (e *Engine) callEnded(now time.Time, c *call, reply Reply) {
	result := policyResult(reply)
	if c.wanted || result != policy.ResultCancelled {
		e.statsFor(c.part.run.req.Route).observe(now, c, reply)
	}
	e.opts.Balancer.Done(now, c.policyCall, result)
	e.observeReach(now, c, reply)
	if reply.Leaving {
		e.opts.Balancer.RecordLeaving(now, c.target)
	}
	if reply.Backoff > 0 {
		e.opts.Balancer.RecordBackoff(now, c.target, reply.Backoff)
	}
	e.opts.Balancer.RecordLimit(now, c.policyCall.Sent, c.target, reply.Limit)
	if reply.Outcome == Broken {
		c.part.run.brokenCalls++
	}
	e.crashes.observe(e, now, c, reply)
	if c.wanted {
		c.wanted = false
		c.part.handleReply(now, c, reply)
	} else {
		c.part.run.reschedule(now) // an answer may release held parts
	}
}

// policyResult converts a reply to what it says about the server's health.
func policyResult(r Reply) policy.Result {
	switch r.Outcome {
	case Answered:
		if r.OK || r.Status < 500 {
			return policy.ResultOK
		}
		return policy.ResultBroken
	case NotRun:
		return policy.ResultShed
	case NotSent:
		return policy.ResultNotSent
	case TimedOut:
		return policy.ResultTimeout
	case Cancelled:
		return policy.ResultCancelled
	}
	return policy.ResultBroken
}
