package forward

import (
	"time"

	"github.com/figmast/figmast/policy"
)

type partState int

const (
	partPending partState = iota
	partAnswered
	partFailed
)

// part is the share of a request that one service answers. A request on a plain
// route has one part.
type part struct {
	run     *run
	service *service
	state   partState
	// calls are the calls in flight.
	calls []*call
	tried []*policy.Target
	// sent counts all calls, mayHaveRun those that a server may have run.
	sent       int
	mayHaveRun int
	// answered is set once a server has answered, whatever the status.
	answered bool
	// unreached is set if the part has failed because no server could be reached.
	unreached bool
	// hedgeAt is when a hedge may be sent; it is zero if none may be.
	hedgeAt time.Time
	// linger is how long calls that are no longer wanted may take to complete.
	linger time.Duration
	// held is set while the part waits for the probe call of another part.
	// heldReply is the reply after which the part will continue; it is nil if
	// the part has not started.
	held      bool
	heldReply *Reply
	// waiting is set while the part is queued for a server, since waitingSince.
	waiting      bool
	waitingSince time.Time

	signature    string
	body         []byte
	answer       any
	failedAnswer any
	reason       string
}

// call is a call to a backend server.
type call struct {
	id         CallID
	part       *part
	target     *policy.Target
	policyCall *policy.Call
	// wanted is set while the part wants the result.
	wanted bool
	// serverGone is set once the server is known to have disappeared.
	serverGone bool
	// probe is set if the request was suspected of crashing servers when the
	// call started.
	probe bool
}

const (
	// maxSends bounds the servers tried for one part, including those that
	// refuse the call.
	maxSends = 4
	// hedgeRecheckInterval is how soon a hedge is considered again if no server
	// was available for it.
	hedgeRecheckInterval = 10 * time.Millisecond
)

// start sends the first call or queues the part.
func (p *part) start(now time.Time) {
	if p.holdDuringProbe(nil) {
		return
	}
	target, reason := p.choose(now, false)
	if target != nil && p.mayHaveRun > 0 && !p.run.engine.opts.Balancer.SpendRetry(now, p.service.name) {
		p.fail(now, "the retry budget is exhausted")
		return
	}
	switch {
	case target != nil && !p.service.hasMoreUrgent(p):
		p.send(now, target)
	case target != nil || mayBecomeFree(reason):
		p.enqueueOrFail(now)
	default:
		p.fail(now, string(reason))
	}
}

// mayBecomeFree reports whether a server may become available without a change
// of the configuration or of a server's health.
func mayBecomeFree(r policy.Reason) bool {
	return r == policy.AllBusy || r == policy.AllCold || r == policy.AllLimited
}

// isUnreached reports whether a reason means that no server can be reached.
func isUnreached(r policy.Reason) bool { return r == policy.AllDown || r == policy.NoServer }

func (p *part) choose(now time.Time, hedge bool) (*policy.Target, policy.Reason) {
	return p.run.engine.opts.Balancer.Choose(now, policy.ChooseInfo{
		Service: p.service.name, ExpectedLatency: p.run.stats.medianLatency(), Tried: p.tried, Hedge: hedge,
		Urgent: p.run.isUrgent(), Draw: p.run.drawAt(now),
		Regions: p.run.req.Route.AllowedRegions,
	})
}

func (p *part) send(now time.Time, t *policy.Target) {
	e, medianLatency := p.run.engine, p.run.stats.medianLatency()
	e.lastCall++
	c := &call{id: e.lastCall, part: p, target: t, wanted: true, probe: p.run.suspected()}
	c.policyCall = e.opts.Balancer.Begin(now, t, medianLatency, p.sent == 0 && p.mayHaveRun == 0)
	e.calls[c.id] = c
	if e.reachCheckAt.IsZero() {
		e.scheduleReachCheck(now)
	}
	p.calls = append(p.calls, c)
	p.tried = append(p.tried, t)
	p.sent++
	p.mayHaveRun++
	p.run.mayHaveRun++
	p.hedgeAt = time.Time{}
	if p.run.req.Route.Idempotent && p.mayHaveRun < p.run.req.Route.MaxAttempts {
		p.hedgeAt = now.Add(p.run.stats.hedgeDelay(p.run.req.Route))
	}
	if t.LastResort() {
		p.run.tracef("%s: sent to leaving server %s as a last resort", p.service.name, t.ID)
	}
	e.out.Send = append(e.out.Send, Send{
		Call: c.id, Run: p.run.id, Target: t, Deadline: p.run.req.Deadline, NonIdempotent: !p.run.req.Route.Idempotent, LastResort: t.LastResort(),
	})
}

// handleReply processes the result of a call that the part wanted.
func (p *part) handleReply(now time.Time, c *call, reply Reply) {
	p.removeCall(c)
	r := p.run
	if reply.Outcome == NotRun && !reply.Unidentified || reply.Outcome == NotSent {
		r.mayHaveRun--
		p.mayHaveRun--
	}
	if r.done || p.state != partPending || r.transfer.to != "" {
		return
	}
	if r.transfer.withdrawn || r.engine.isIsolated() && reply.Outcome != Answered {
		p.handleWithdrawn(now, reply)
		return
	}
	if c.probe && r.suspected() && (reply.Outcome == Broken || reply.Outcome == TimedOut) && now.Before(r.expiry()) {
		r.failProbe(now, c, reply)
		return
	}
	if p.isAcceptable(reply) {
		p.accept(reply)
	} else {
		r.tracef("%s at %s: %s after %v", p.service.name, c.target.ID, reply.Detail, now.Sub(c.policyCall.Sent).Round(time.Millisecond))
		if reply.Outcome == Answered {
			p.failedAnswer = reply.Answer
		}
		p.retry(now, reply)
	}
	r.settle(now)
	r.reschedule(now)
}

// handleWithdrawn processes the result of a call that ended after the host was
// found to be isolated. The request is handed over after its last call.
func (p *part) handleWithdrawn(now time.Time, reply Reply) {
	r := p.run
	if p.isAcceptable(reply) {
		p.accept(reply)
	}
	if r.callsInFlight() == 0 {
		r.transfer.withdrawn = false
		r.handOverOrEnd(now, policy.NoServer)
	}
}

// isAcceptable reports whether a reply is an answer to the part.
func (p *part) isAcceptable(reply Reply) bool {
	return reply.Outcome == Answered && (reply.OK || !p.run.isGather() && reply.Status < 500)
}

func (p *part) accept(reply Reply) {
	p.state = partAnswered
	p.signature, p.body, p.answer = reply.Signature, reply.Body, reply.Answer
	p.run.answeredParts++
	p.run.pendingParts--
	p.stop()
}

// retry calls another server after a failure if the request is idempotent or
// has not run, and if the retry budget allows it. A retry of a call that was not
// sent needs no budget.
func (p *part) retry(now time.Time, reply Reply) {
	if len(p.calls) > 0 {
		return
	}
	if p.holdDuringProbe(&reply) {
		return
	}
	rt := p.run.req.Route
	notSent := reply.Outcome == NotSent
	switch {
	case p.sent >= maxSends:
		p.unreached = notSent && !reply.Withheld
		p.fail(now, reply.Detail)
	case p.mayHaveRun > 0 && !rt.Idempotent:
		p.fail(now, reply.Detail)
	case p.mayHaveRun >= rt.MaxAttempts:
		p.fail(now, reply.Detail)
	default:
		target, reason := p.choose(now, false)
		if target == nil && !mayBecomeFree(reason) {
			p.unreached = notSent && !reply.Withheld || isUnreached(reason)
			p.fail(now, reply.Detail)
			return
		}
		if !notSent && !p.run.engine.opts.Balancer.SpendRetry(now, p.service.name) {
			p.run.tracef("%s: the retry budget is exhausted", p.service.name)
			p.fail(now, reply.Detail)
			return
		}
		if target == nil {
			p.enqueueOrFail(now)
			return
		}
		p.failedAnswer = nil
		p.run.tracef("%s: retried at %s", p.service.name, target.ID)
		p.send(now, target)
	}
}

func (p *part) fail(now time.Time, reason string) {
	p.state = partFailed
	p.reason = reason
	p.unreached = p.unreached || isUnreached(policy.Reason(reason))
	p.run.pendingParts--
	p.run.tracef("%s: failed, %s", p.service.name, reason)
	p.stop()
}

// enqueueOrFail queues the part at its service, or fails it if the wait would
// be too long.
func (p *part) enqueueOrFail(now time.Time) {
	if reason, late := p.service.shouldRefuse(now, p); late {
		p.fail(now, reason)
		return
	}
	p.service.enqueue(now, p)
}

func (p *part) tick(now time.Time) {
	if p.waiting {
		p.service.recheckQueue(now)
		return
	}
	if p.state != partPending || p.hedgeAt.IsZero() || now.Before(p.hedgeAt) || len(p.calls) == 0 {
		return
	}
	if p.run.suspected() {
		p.hedgeAt = now.Add(hedgeRecheckInterval)
		return
	}
	p.hedgeAt = now.Add(hedgeRecheckInterval)
	if p.service.queueLen() > 0 || p.run.engine.opts.Balancer.RetriesLeft(now, p.service.name) < 1 {
		return
	}
	target, _ := p.choose(now, true)
	if target == nil || !p.run.engine.opts.Balancer.SpendRetry(now, p.service.name) {
		return
	}
	p.run.tracef("%s: hedged at %s after %v", p.service.name, target.ID, now.Sub(p.calls[0].policyCall.Sent).Round(time.Millisecond))
	p.send(now, target)
}

// nextTick returns when the part is due next.
func (p *part) nextTick() (time.Time, bool) {
	if p.waiting {
		return p.service.recheckAt, true
	}
	if p.state != partPending || p.hedgeAt.IsZero() || len(p.calls) == 0 {
		return time.Time{}, false
	}
	return p.hedgeAt, true
}

// stop removes the part from the queue and cancels its calls. The calls of a
// non-idempotent request run on, but their results are no longer used.
func (p *part) stop() {
	p.service.dequeue(p)
	p.hedgeAt = time.Time{}
	nonIdempotent := !p.run.req.Route.Idempotent
	for _, c := range p.calls {
		c.wanted = false
		if !nonIdempotent {
			p.run.engine.out.Cancel = append(p.run.engine.out.Cancel, Cancel{Call: c.id, After: p.linger})
		}
	}
	p.calls = nil
}

func (p *part) removeCall(c *call) {
	for i, x := range p.calls {
		if x == c {
			p.calls = append(p.calls[:i], p.calls[i+1:]...)
			return
		}
	}
}
