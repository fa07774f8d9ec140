package forward

import (
	"fmt"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/policy"
)

// suspected reports whether servers may not survive the request: one has ended
// under it, or so many of its calls broke off, and none has answered. It is
// tried by one call at a time then; the other parts are held until that call
// is answered.
func (r *run) suspected() bool {
	return r.answered == nil && (r.engine.crashes.verdicts[r.req.Fingerprint].Crashed > 0 || r.broken >= crash.RefusalThreshold)
}

// trying reports whether a call of the request is in flight or waits for a
// server.
func (r *run) trying() bool {
	for i := range r.parts {
		if p := &r.parts[i]; len(p.calls) > 0 || p.waiting {
			return true
		}
	}
	return false
}

// hold holds a part back while another one is tried. With a reply the part is
// to go on after it, else it has not begun.
func (p *part) hold(reply *Reply) bool {
	if !p.run.suspected() || !p.run.trying() {
		return false
	}
	p.held, p.heldReply = true, reply
	return true
}

// release lets held parts go on: all of them once a server has answered, one
// when nothing is tried any more.
func (r *run) release(now time.Time) {
	for i := range r.parts {
		p := &r.parts[i]
		if r.done || r.suspected() && r.trying() {
			return
		}
		if !p.held {
			continue
		}
		p.held = false
		if p.state != partOpen {
			continue
		}
		if p.heldReply == nil {
			p.start(now)
		} else {
			p.again(now, *p.heldReply)
		}
		r.settle(now)
	}
}

// failTrial ends a request whose one call on trial brought no answer.
func (r *run) failTrial(now time.Time, c *call, reply Reply) {
	r.note("%s at %s: %s, on trial", c.part.service.name, c.target.ID, reply.Detail)
	reason := fmt.Sprintf("no server has answered, and %d calls broke off", r.broken)
	r.finish(now, Finish{Verdict: Failed, Reason: reason, RetryAfter: r.retryAfter(now, policy.AllDown)})
}
