package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/policy"
)

const (
	// unansweredBeats is how long a call that ended without an answer is
	// remembered, in heartbeats of servers: a silent one's entry lapses after
	// three, and that takes up to a second to become known.
	unansweredBeats = 5
	// usualHeartbeat stands for a heartbeat that is not known; it is that of
	// the deployments known.
	usualHeartbeat = 1200 * time.Millisecond
	// maxUnanswered bounds the calls remembered for one server; it is above
	// what a host has in flight to one.
	maxUnanswered = 32
	// checkAfter lets the kept connections to a server close first.
	checkAfter = 20 * time.Millisecond
	// checkEvery is how often one server is checked, and mostChecks how many
	// are within checkEvery: each may cost a connection.
	checkEvery = time.Second
	mostChecks = 10
)

// Check asks whether a server still takes connections. Checked tells the
// result.
type Check struct {
	Target *policy.Target
	// After is how long to wait before.
	After time.Duration
}

// unanswered is a call that ended without an answer.
type unanswered struct {
	part *part
	at   time.Time
	// broken calls ended by the connection; the others were no longer waited
	// for.
	broken bool
}

// unansweredFor returns how long a call without an answer is remembered.
func (e *Engine) unansweredFor() time.Duration {
	return unansweredBeats * cmp.Or(e.opts.Heartbeat, usualHeartbeat)
}

// observe takes in how a call ended.
func (c *crashes) observe(e *Engine, now time.Time, x *call, reply Reply) {
	r, t := x.part.run, x.target
	switch reply.Outcome {
	case Answered:
		c.lives(t, x.record.Sent)
		x.part.answered, r.answered = true, t
		if r.reported || c.verdicts[r.req.Fingerprint].Crashed > 0 {
			c.reportAnswer(now, r)
		}
	case NotRun:
		if reply.Misdirected {
			c.ended(e, now, t)
			return
		}
		c.lives(t, x.record.Sent)
	case NotSent:
		if reply.Unreachable {
			c.ended(e, now, t)
		}
	case Broken:
		c.remember(e, now, t, unanswered{x.part, now, true})
		c.check(e, now, x)
	case TimedOut, Cancelled:
		c.remember(e, now, t, unanswered{x.part, now, false})
	}
}

func (c *crashes) remember(e *Engine, now time.Time, t *policy.Target, u unanswered) {
	list := slices.DeleteFunc(c.open[t], func(o unanswered) bool { return now.Sub(o.at) > e.unansweredFor() })
	if len(list) >= maxUnanswered {
		list = slices.Delete(list, 0, 1)
	}
	c.open[t] = append(list, u)
}

// lives takes in that a server answered a call: what ended before that call was
// sent has not ended the server.
func (c *crashes) lives(t *policy.Target, sent time.Time) {
	list, ok := c.open[t]
	if !ok {
		return
	}
	list = slices.DeleteFunc(list, func(u unanswered) bool { return !u.at.After(sent) })
	if len(list) == 0 {
		delete(c.open, t)
		return
	}
	c.open[t] = list
}

// check has a server looked at whose connection broke off. Where other calls to
// it are in flight, their ends tell as much.
func (c *crashes) check(e *Engine, now time.Time, x *call) {
	t := x.target
	if now.Sub(c.checked[t]) < checkEvery || t.InFlight() > 0 || t.Leaves() || t.Gone() {
		return
	}
	if now.Sub(c.checksFrom) >= checkEvery {
		c.checks, c.checksFrom = 0, now
	}
	// A request with more than one broken call may exceed the bound until
	// there are enough to refuse it.
	r := x.part.run
	suspect := c.verdicts[r.req.Fingerprint].Crashed > 0 || r.broken > 1
	if c.checks >= mostChecks && (!suspect || r.checks >= crash.RefusalThreshold) {
		return
	}
	c.checks++
	r.checks++
	c.checked[t] = now
	e.out.Check = append(e.out.Check, Check{t, checkAfter})
}

// HandleCheck takes in whether a server refuses connections.
func (e *Engine) HandleCheck(now time.Time, t *policy.Target, refuses bool) Actions {
	if refuses {
		e.crashes.ended(e, now, t)
	}
	return e.take()
}

// ended holds a server's end against the requests that it worked on: those
// whose connections broke off or, where none did, those that it left without a
// word.
func (c *crashes) ended(e *Engine, now time.Time, t *policy.Target) {
	list := c.open[t]
	delete(c.open, t)
	delete(c.checked, t)
	if t.Leaves() {
		return
	}
	broken := false
	for _, u := range list {
		broken = broken || u.broken
	}
	for _, u := range list {
		if u.broken == broken && now.Sub(u.at) <= e.unansweredFor() {
			c.held = append(c.held, finding{u.part, t, now})
		}
	}
	if broken {
		return
	}
	for _, x := range e.calls {
		if x.target == t {
			c.held = append(c.held, finding{x.part, t, now})
		}
	}
}

// serversChanged takes in which servers are gone.
func (c *crashes) serversChanged(e *Engine, now time.Time) {
	gone := make(map[*policy.Target]bool)
	for t := range c.open {
		if t.Gone() {
			gone[t] = true
		}
	}
	for _, x := range e.calls {
		if x.target.Gone() && !x.lost {
			x.lost = true
			gone[x.target] = true
		}
	}
	for t := range gone {
		c.ended(e, now, t)
	}
}

// forget drops what is too old to be held against a request.
func (c *crashes) forget(e *Engine, now time.Time) {
	for t, list := range c.open {
		if now.Sub(list[len(list)-1].at) > e.unansweredFor() {
			delete(c.open, t)
		}
	}
	for t, at := range c.checked {
		if now.Sub(at) > checkEvery {
			delete(c.checked, t)
		}
	}
}
