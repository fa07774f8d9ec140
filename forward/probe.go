package forward

import (
	"fmt"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/policy"
)

// suspected reports whether the request may crash servers: a server has ended
// while running it, or several of its calls have broken, and no server has
// answered it. A suspected request is probed with one call at a time; its other
// parts are held until that call is answered.
func (r *run) suspected() bool {
	return r.answeredBy == nil && (r.engine.crashes.verdicts[r.req.Fingerprint].Crashed > 0 || r.brokenCalls >= crash.RefusalThreshold)
}

// hasActiveCall reports whether a call of the request is in flight or queued.
func (r *run) hasActiveCall() bool {
	for i := range r.parts {
		if p := &r.parts[i]; len(p.calls) > 0 || p.waiting {
			return true
		}
	}
	return false
}

// holdDuringProbe holds the part back while another part is being probed, and
// reports whether it did. The part continues after the reply, or starts if the
// reply is nil.
func (p *part) holdDuringProbe(reply *Reply) bool {
	if !p.run.suspected() || !p.run.hasActiveCall() {
		return false
	}
	p.held, p.heldReply = true, reply
	return true
}

// releaseHeld resumes held parts: all of them once a server has answered, one
// of them if no call is active.
func (r *run) releaseHeld(now time.Time) {
	for i := range r.parts {
		p := &r.parts[i]
		if r.done || r.suspected() && r.hasActiveCall() {
			return
		}
		if !p.held {
			continue
		}
		p.held = false
		if p.state != partPending {
			continue
		}
		if p.heldReply == nil {
			p.start(now)
		} else {
			p.retry(now, *p.heldReply)
		}
		r.settle(now)
	}
}

// failProbe ends a request whose probe call brought no answer.
func (r *run) failProbe(now time.Time, c *call, reply Reply) {
	r.tracef("%s at %s: %s, during a probe", c.part.service.name, c.target.ID, reply.Detail)
	reason := fmt.Sprintf("no server has answered, and %d calls broke off", r.brokenCalls)
	r.finish(now, Finish{Verdict: Failed, Reason: reason, RetryAfter: r.retryAfter(now, policy.AllDown)})
}
