package forward

import (
	"time"

	"github.com/figmast/figmast/policy"
)

type partState int

const (
	partOpen partState = iota
	partHave
	partLost
)

// part is one service's share of a request; a request on a plain route has one.
type part struct {
	run     *run
	service *service
	state   partState
	// calls are those that have not ended.
	calls []*call
	tried []*policy.Target
	// sent counts calls, ran those that a server may have run.
	sent int
	ran  int
	// answered is set once a server has answered, whatever the answer.
	answered bool
	// spareAt is when a second server may be asked; it is zero while none may.
	spareAt time.Time
	// linger is how long its calls may go on when they are no longer wanted.
	linger time.Duration
	// held parts wait for a call of another part; heldReply is what they go on
	// after, if they had begun.
	held      bool
	heldReply *Reply
	// waiting is set while the part waits for a server, since that time.
	waiting bool
	since   time.Time

	signature string
	body      []byte
	answer    any
	failure   any
	reason    string
}

// call is a call to a backend server.
type call struct {
	id     CallID
	part   *part
	target *policy.Target
	record *policy.Call
	// wanted is set while the part wants the result.
	wanted bool
	// lost is set once the server is known to be gone.
	lost bool
	// trial is set where the request was suspected when the call began.
	trial bool
}

const (
	// mostSends bounds the servers that are asked for one part, those
	// included that refuse.
	mostSends = 4
	// spareAgain is when to look again for a second server where none was
	// free.
	spareAgain = 10 * time.Millisecond
)

// start sends the first call, or waits for a server.
func (p *part) start(now time.Time) {
	if p.hold(nil) {
		return
	}
	target, reason := p.choose(now, false)
	switch {
	case target != nil && !p.service.ahead(p):
		p.send(now, target)
	case target != nil || waits(reason):
		p.wait(now)
	default:
		p.lose(now, string(reason))
	}
}

// waits reports whether a server may become free by itself.
func waits(r policy.Reason) bool { return r == policy.AllBusy || r == policy.AllCold }

func (p *part) choose(now time.Time, spare bool) (*policy.Target, policy.Reason) {
	return p.run.engine.opts.Balancer.Choose(now, policy.Choice{
		Service: p.service.name, Usual: p.run.record.usual(), Tried: p.tried, Spare: spare,
		Homes: p.run.req.Route.AllowedRegions,
	})
}

func (p *part) send(now time.Time, t *policy.Target) {
	e, usual := p.run.engine, p.run.record.usual()
	e.lastCall++
	c := &call{id: e.lastCall, part: p, target: t, wanted: true, trial: p.run.suspected()}
	c.record = e.opts.Balancer.Begin(now, t, usual, p.sent == 0)
	e.calls[c.id] = c
	p.calls = append(p.calls, c)
	p.tried = append(p.tried, t)
	p.sent++
	p.ran++
	p.run.unsure++
	p.spareAt = time.Time{}
	if p.run.req.Route.Idempotent && p.ran < p.run.req.Route.MaxAttempts {
		p.spareAt = now.Add(p.run.record.spareDelay(p.run.req.Route))
	}
	if t.LastResort() {
		p.run.note("%s: at %s, which leaves, as no other takes it", p.service.name, t.ID)
	}
	e.out.Send = append(e.out.Send, Send{
		Call: c.id, Run: p.run.id, Target: t, Deadline: p.run.req.Deadline, NonIdempotent: !p.run.req.Route.Idempotent, LastResort: t.LastResort(),
	})
}

// reply takes in how a call ended that the part wanted.
func (p *part) reply(now time.Time, c *call, reply Reply) {
	p.remove(c)
	r := p.run
	if reply.Outcome == NotRun || reply.Outcome == NotSent {
		r.unsure--
		p.ran--
	}
	if r.done || p.state != partOpen {
		return
	}
	if c.trial && r.suspected() && (reply.Outcome == Broken || reply.Outcome == TimedOut) && now.Before(r.expiry()) {
		r.failTrial(now, c, reply)
		return
	}
	if reply.Outcome == Answered && (reply.OK || !r.gather() && reply.Status < 500) {
		p.have(reply)
	} else {
		r.note("%s at %s: %s after %v", p.service.name, c.target.ID, reply.Detail, now.Sub(c.record.Sent).Round(time.Millisecond))
		if reply.Outcome == Answered {
			p.failure = reply.Answer
		}
		p.again(now, reply)
	}
	r.settle(now)
	r.rest(now)
}

func (p *part) have(reply Reply) {
	p.state = partHave
	p.signature, p.body, p.answer = reply.Signature, reply.Body, reply.Answer
	p.run.have++
	p.run.open--
	p.stop()
}

// again asks another server after a failure, if the request may be repeated or
// has not run, and the budget allows it.
func (p *part) again(now time.Time, reply Reply) {
	if len(p.calls) > 0 {
		return
	}
	if p.hold(&reply) {
		return
	}
	rt := p.run.req.Route
	free := reply.Outcome == NotSent
	switch {
	case p.sent >= mostSends:
		p.lose(now, reply.Detail)
	case p.ran > 0 && !rt.Idempotent:
		p.lose(now, reply.Detail)
	case p.ran >= rt.MaxAttempts:
		p.lose(now, reply.Detail)
	default:
		target, reason := p.choose(now, false)
		if target == nil && !waits(reason) {
			p.lose(now, reply.Detail)
			return
		}
		if !free && !p.run.engine.opts.Balancer.SpendRetry(now, p.service.name) {
			p.run.note("%s: the retry budget is spent", p.service.name)
			p.lose(now, reply.Detail)
			return
		}
		if target == nil {
			p.wait(now)
			return
		}
		p.failure = nil
		p.run.note("%s: again at %s", p.service.name, target.ID)
		p.send(now, target)
	}
}

func (p *part) lose(now time.Time, reason string) {
	p.state = partLost
	p.reason = reason
	p.run.open--
	p.run.note("%s: lost, %s", p.service.name, reason)
	p.stop()
}

// wait queues the part at its service.
func (p *part) wait(now time.Time) {
	if reason, late := p.service.refuses(now, p); late {
		p.lose(now, reason)
		return
	}
	p.service.add(now, p)
}

func (p *part) tick(now time.Time) {
	if p.waiting {
		p.service.review(now)
		return
	}
	if p.state != partOpen || p.spareAt.IsZero() || now.Before(p.spareAt) || len(p.calls) == 0 {
		return
	}
	if p.run.suspected() {
		p.spareAt = now.Add(spareAgain)
		return
	}
	p.spareAt = now.Add(spareAgain)
	if p.service.waiting() > 0 || p.run.engine.opts.Balancer.RetryLeft(now, p.service.name) < 1 {
		return
	}
	target, _ := p.choose(now, true)
	if target == nil || !p.run.engine.opts.Balancer.SpendRetry(now, p.service.name) {
		return
	}
	p.run.note("%s: also at %s after %v", p.service.name, target.ID, now.Sub(p.calls[0].record.Sent).Round(time.Millisecond))
	p.send(now, target)
}

// due returns when the part wants a tick.
func (p *part) due() (time.Time, bool) {
	if p.waiting {
		return p.service.reviewAt, true
	}
	if p.state != partOpen || p.spareAt.IsZero() || len(p.calls) == 0 {
		return time.Time{}, false
	}
	return p.spareAt, true
}

// stop gives up the part's calls and its place in the queue.
func (p *part) stop() {
	p.service.remove(p)
	p.spareAt = time.Time{}
	careful := !p.run.req.Route.Idempotent
	for _, c := range p.calls {
		c.wanted = false
		if !careful {
			p.run.engine.out.Cancel = append(p.run.engine.out.Cancel, Cancel{Call: c.id, After: p.linger})
		}
	}
	p.calls = nil
}

func (p *part) remove(c *call) {
	for i, x := range p.calls {
		if x == c {
			p.calls = append(p.calls[:i], p.calls[i+1:]...)
			return
		}
	}
}
