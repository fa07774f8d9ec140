package forward

import (
	"fmt"
	"time"

	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/internal/timers"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

const (
	// lingerTime is how long a call that is no longer wanted may take to
	// complete, which saves its connection. It leaves a margin because servers
	// must be idle half a second after a request ends.
	lingerTime = 300 * time.Millisecond
	// expiryMargin is the time reserved before the caller's deadline for
	// sending a final answer.
	expiryMargin = 10 * time.Millisecond
)

// run is a request in progress.
type run struct {
	engine        *Engine
	id            RunID
	req           Request
	stats         *routeStats
	parts         []part
	pendingParts  int
	answeredParts int
	startedAt     time.Time
	// objective is when an answer must be sent to keep its full worth.
	objective time.Time
	// mayHaveRun counts the calls that a server may have run, brokenCalls those
	// whose connection broke.
	mayHaveRun  int
	brokenCalls int
	// checks counts the server checks caused by the request's broken calls.
	checks int
	// answeredBy is the last server that answered. crashReported is set once a
	// crash has been reported for the request.
	answeredBy    *policy.Target
	crashReported bool
	// draw is the random number for the first calls of all parts.
	draw     float64
	transfer transfer
	// isDirect and isGuest are set while the request counts among those that this
	// host serves itself, and among those of other hosts.
	isDirect bool
	isGuest  bool
	trace    []string
	timer    timers.Timer
	done     bool
}

// maxTrace bounds the trace of one request.
const maxTrace = 24

func (r *run) tracef(format string, args ...any) {
	if len(r.trace) < maxTrace {
		r.trace = append(r.trace, fmt.Sprintf(format, args...))
	}
}

// Timer implements timers.Item.
func (r *run) Timer() *timers.Timer { return &r.timer }

func (e *Engine) newRun(now time.Time, id RunID, req Request) *run {
	r := &run{engine: e, id: id, req: req, startedAt: now, timer: timers.Timer{Order: uint64(id)}, stats: e.statsFor(req.Route), draw: e.opts.Rand.Float64()}
	margin := deliveryMargin(e.opts.CPUCapacity, max(len(req.Route.Gather), 1))
	r.objective = now.Add(req.Route.Objective - req.Elapsed - margin)
	return r
}

// begin sends the first calls or refuses the request.
func (r *run) begin(now time.Time) {
	if !r.endsBeforeStop(now) {
		r.finish(now, Finish{Verdict: Refused, Reason: stoppingReason, RetryAfter: stoppingRetryAfter, Handover: handover.Busy})
		return
	}
	if v := r.engine.crashes.verdicts[r.req.Fingerprint]; v.Refused() {
		r.refuseCrashing(now, v)
		return
	}
	services := r.req.Route.Gather
	if len(services) == 0 {
		services = []string{r.stats.pickService(r.req.Route)}
	}
	r.parts = make([]part, len(services))
	r.pendingParts = len(services)
	for i, s := range services {
		r.parts[i] = part{run: r, service: r.engine.service(s), linger: lingerTime, mayHaveRun: r.req.PriorCalls}
	}
	if !r.admit(now) {
		return
	}
	if reason, ok := r.unservable(now); ok {
		if reason == policy.NoServer {
			r.endUnreached(now, reason)
			return
		}
		r.refuse(now, string(reason), r.retryAfter(now, reason))
		return
	}
	if r.isOverLimit(now) {
		r.refuse(now, string(policy.AllLimited), r.retryAfter(now, policy.AllLimited))
		return
	}
	for i := range r.parts {
		if r.done {
			return
		}
		r.parts[i].start(now)
	}
	r.settle(now)
	r.reschedule(now)
}

// admit reports whether this host may serve the request itself; otherwise it hands
// it over or ends it.
func (r *run) admit(now time.Time) bool {
	e := r.engine
	if e.isIsolated() {
		r.handOverOrEnd(now, policy.NoServer)
		return false
	}
	if !e.mayServeDirectly() && r.handOver(now, policy.NoServer) {
		return false
	}
	if r.req.HandedOver && e.guests >= e.maxGuests() {
		r.finish(now, Finish{Verdict: Refused, Reason: string(policy.AllBusy), RetryAfter: r.retryAfter(now, policy.AllBusy), Handover: handover.Busy})
		return false
	}
	r.isDirect, r.isGuest = true, r.req.HandedOver
	e.direct++
	if r.isGuest {
		e.guests++
	}
	return true
}

// endUnreached ends a request for which this host reaches too few servers: other
// hosts may reach them.
func (r *run) endUnreached(now time.Time, reason policy.Reason) {
	if r.isUnreached(now) {
		r.handOverOrEnd(now, reason)
		return
	}
	r.refuseUnreached(now, reason)
}

// unservable reports, with a reason, whether too few of the services have a
// reachable server.
func (r *run) unservable(now time.Time) (policy.Reason, bool) {
	served := 0
	for i := range r.parts {
		if usable, _ := r.engine.opts.Balancer.Capacity(now, r.parts[i].service.name); usable > 0 {
			served++
		}
	}
	if served > 0 && r.sufficient(served) {
		return "", false
	}
	for i := range r.parts {
		if r.engine.opts.Balancer.BackoffLeft(now, r.parts[i].service.name) > 0 {
			return policy.AllBackingOff, true
		}
	}
	return policy.NoServer, true
}

// isUrgent reports whether the request has the highest priority.
func (r *run) isUrgent() bool { return r.req.Route.Priority == 0 }

// drawAt returns the random number for a decision at now.
func (r *run) drawAt(now time.Time) float64 {
	if now.Equal(r.startedAt) {
		return r.draw
	}
	return r.engine.opts.Rand.Float64()
}

// isOverLimit reports whether the request limits of the servers leave the request
// with too few parts. It is asked before the first call, so that such a request
// uses up none of the other servers' capacity. A request of several parts does not
// wait: while some of its parts wait, others are answered for nothing.
func (r *run) isOverLimit(now time.Time) bool {
	reachable := len(r.parts)
	for i := range r.parts {
		p := &r.parts[i]
		if r.engine.opts.Balancer.LimitWait(now, p.service.name, 1, r.isUrgent()) == 0 {
			continue
		}
		if target, reason := p.choose(now, false); target != nil || reason != policy.AllLimited {
			continue
		}
		if _, late := p.service.shouldRefuse(now, p); late || r.isGather() {
			reachable--
		}
	}
	return !r.sufficient(reachable)
}

// isGather reports whether the answer is merged from parts.
func (r *run) isGather() bool { return len(r.req.Route.Gather) > 0 }

// ratioTolerance absorbs rounding of ratios such as 0.89 of 9.
const ratioTolerance = 1e-9

// sufficient reports whether n parts are enough for an answer.
func (r *run) sufficient(n int) bool {
	if !r.isGather() {
		return n > 0
	}
	return n > 0 && float64(n) >= r.req.Route.MinShardRatio*float64(len(r.parts))-ratioTolerance
}

// settle ends the request if no further part can arrive, if too few parts can,
// or if its deadline is near. It also ends the request if there are enough parts
// and the objective has passed: they are worth more now than the parts still to
// come would add later.
func (r *run) settle(now time.Time) {
	if r.done || r.transfer.to != "" || r.transfer.withdrawn {
		return
	}
	switch {
	case r.pendingParts == 0 && r.sufficient(r.answeredParts):
		r.answer(now)
	case r.sufficient(r.answeredParts) && !now.Before(r.objective):
		r.tracef("answered without %d parts at the objective", r.pendingParts)
		r.answer(now)
	case !now.Before(r.expiry()):
		r.expire(now)
	case !r.sufficient(r.answeredParts + r.pendingParts):
		if !r.isUnreached(now) || !r.handOver(now, policy.Reason(r.firstFailureReason())) {
			r.fail(now)
		}
	}
}

// expiry returns when the request ends without an answer.
func (r *run) expiry() time.Time { return r.req.Deadline.Add(-expiryMargin) }

func (r *run) answer(now time.Time) {
	r.engine.reachChanged(now, r.engine.opts.Balancer.RecordServed())
	if !r.isGather() {
		r.finish(now, Finish{Verdict: PassThrough, Answer: r.parts[0].answer})
		return
	}
	f := Finish{Verdict: Merged, Missing: len(r.parts) - r.answeredParts}
	bodies := make([][]byte, 0, r.answeredParts)
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partAnswered {
			f.Signatures = append(f.Signatures, p.signature)
			bodies = append(bodies, p.body)
		}
	}
	f.Body = mergeTop(bodies, r.req.Route.TopK)
	r.finish(now, f)
}

// fail ends a request that cannot be served: with the server's own error
// response if there is one, as refused if nothing has run, and as failed
// otherwise.
func (r *run) fail(now time.Time) {
	if !r.isGather() && r.parts[0].failedAnswer != nil {
		r.finish(now, Finish{Verdict: PassThrough, Answer: r.parts[0].failedAnswer, Reason: r.parts[0].reason})
		return
	}
	reason := r.firstFailureReason()
	if !r.mayRunAnywhere() {
		if r.isUnreached(now) {
			r.refuseUnreached(now, policy.Reason(reason))
			return
		}
		r.refuse(now, reason, r.retryAfter(now, policy.Reason(reason)))
		return
	}
	r.finish(now, Finish{Verdict: Failed, Reason: reason, RetryAfter: r.retryAfter(now, policy.Reason(reason))})
}

func (r *run) firstFailureReason() string {
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partFailed {
			return p.reason
		}
	}
	return string(policy.NoServer)
}

// expire ends a request at its deadline.
func (r *run) expire(now time.Time) {
	if !r.mayRunAnywhere() {
		r.refuse(now, "no server was free before the deadline", r.retryAfter(now, policy.AllBusy))
		return
	}
	r.finish(now, Finish{Verdict: Expired, Reason: "no answer before the deadline"})
}

// mayRunAnywhere reports whether a server, or another host, may have run the
// request or may still run it.
func (r *run) mayRunAnywhere() bool {
	return r.mayHaveRun > 0 || r.transfer.priorCalls > 0 || r.transfer.to != ""
}

func (r *run) refuse(now time.Time, reason string, after time.Duration) {
	r.finish(now, Finish{Verdict: Refused, Reason: reason, RetryAfter: after})
}

func (r *run) finish(now time.Time, f Finish) {
	f.Run, f.Trace = r.id, r.trace
	r.engine.out.Finish = append(r.engine.out.Finish, f)
	r.close(now)
}

// close ends the request and cancels its calls.
func (r *run) close(now time.Time) {
	if r.done {
		return
	}
	r.done = true
	if r.transfer.to != "" {
		r.engine.out.Withdraw = append(r.engine.out.Withdraw, r.id)
	}
	if r.isDirect {
		r.engine.direct--
	}
	if r.isGuest {
		r.engine.guests--
	}
	for i := range r.parts {
		r.parts[i].stop()
	}
	r.engine.timers.Stop(r)
	delete(r.engine.runs, r.id)
}

func (r *run) tick(now time.Time) {
	if r.transfer.to != "" {
		r.tickTransfer(now)
		return
	}
	if r.transfer.withdrawn {
		if !now.Before(r.expiry()) {
			r.expire(now)
		}
		r.reschedule(now)
		return
	}
	for i := range r.parts {
		if r.done {
			return
		}
		r.parts[i].tick(now)
	}
	r.settle(now)
	r.reschedule(now)
}

// reschedule releases held parts and sets the timer to the next due time.
func (r *run) reschedule(now time.Time) {
	if r.transfer.to != "" || r.transfer.withdrawn {
		r.rescheduleTransfer(now)
		return
	}
	r.releaseHeld(now)
	if r.done || r.transfer.to != "" {
		return
	}
	next := r.expiry()
	if r.isGather() && r.objective.After(now) && r.objective.Before(next) {
		next = r.objective
	}
	for i := range r.parts {
		if at, ok := r.parts[i].nextTick(); ok && at.Before(next) {
			next = at
		}
	}
	if next.Before(now) {
		next = now
	}
	r.engine.timers.Set(r, next)
}

// rescheduleTransfer sets the timer of a request that another host has, or that
// waits to be handed over.
func (r *run) rescheduleTransfer(now time.Time) {
	if r.done {
		return
	}
	next := r.expiry()
	if at, ok := r.transferDue(); ok && r.transfer.to != "" && at.Before(next) {
		next = at
	}
	if next.Before(now) {
		next = now
	}
	r.engine.timers.Set(r, next)
}

// pickService returns the service for a request: the route's only one or, on a
// split route, the one furthest behind its share by weight.
func (s *routeStats) pickService(rt *route.Route) string {
	if len(rt.Split) == 0 {
		return rt.Service
	}
	var total float64
	for _, w := range rt.Split {
		total += w.Weight
	}
	best := rt.Split[0].Service
	for _, w := range rt.Split {
		s.credit[w.Service] += w.Weight
		if s.credit[w.Service] > s.credit[best] {
			best = w.Service
		}
	}
	s.credit[best] -= total
	return best
}
