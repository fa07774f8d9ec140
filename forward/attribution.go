package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/policy"
)

const (
	// unansweredHeartbeats is how long a call that ended without an answer is
	// remembered, in heartbeat intervals of servers. The entry of a silent
	// server expires after three intervals, and hosts learn of it up to a
	// second later.
	unansweredHeartbeats = 5
	// defaultHeartbeat is the heartbeat interval of the known deployments; it
	// is used where none is configured.
	defaultHeartbeat = 1200 * time.Millisecond
	// maxUnanswered bounds the calls remembered for each server. It is more
	// than a host has in flight to one server.
	maxUnanswered = 32
	// checkDelay gives the kept-alive connections to a server time to close
	// first.
	checkDelay = 20 * time.Millisecond
	// checkInterval is the least time between two checks of one server.
	// maxChecks bounds the checks of all servers within one interval, as each
	// may open a connection.
	checkInterval = time.Second
	maxChecks     = 10
)

// Check is the action of checking whether a server still accepts connections.
// The result goes to HandleCheck.
type Check struct {
	Target *policy.Target
	// After is the delay before the check.
	After time.Duration
}

// unansweredCall is a call that ended without an answer.
type unansweredCall struct {
	part *part
	at   time.Time
	// broken is set if the connection ended; otherwise the call timed out or
	// was cancelled.
	broken bool
}

// unansweredTTL returns how long a call that ended without an answer is
// remembered.
func (e *Engine) unansweredTTL() time.Duration {
	return unansweredHeartbeats * cmp.Or(e.opts.Heartbeat, defaultHeartbeat)
}

// observe processes the result of a call.
func (c *crashDetector) observe(e *Engine, now time.Time, call *call, reply Reply) {
	r, t := call.part.run, call.target
	switch reply.Outcome {
	case Answered:
		c.noteAlive(t, call.policyCall.Sent)
		call.part.answered, r.answeredBy = true, t
		if r.crashReported || c.verdicts[r.req.Fingerprint].Crashed > 0 {
			c.reportAnswer(now, r)
		}
	case NotRun:
		if reply.Misdirected {
			c.serverEnded(e, now, t)
			return
		}
		c.noteAlive(t, call.policyCall.Sent)
	case NotSent:
		if reply.Unreachable {
			c.serverEnded(e, now, t)
		}
	case Broken:
		c.recordUnanswered(e, now, t, unansweredCall{call.part, now, true})
		c.scheduleCheck(e, now, call)
	case TimedOut, Cancelled:
		c.recordUnanswered(e, now, t, unansweredCall{call.part, now, false})
	}
}

func (c *crashDetector) recordUnanswered(e *Engine, now time.Time, t *policy.Target, u unansweredCall) {
	list := slices.DeleteFunc(c.unanswered[t], func(o unansweredCall) bool { return now.Sub(o.at) > e.unansweredTTL() })
	if len(list) >= maxUnanswered {
		list = slices.Delete(list, 0, 1)
	}
	c.unanswered[t] = append(list, u)
}

// noteAlive processes the fact that a server answered a call. Calls that ended
// before that call was sent did not crash the server.
func (c *crashDetector) noteAlive(t *policy.Target, sent time.Time) {
	list, ok := c.unanswered[t]
	if !ok {
		return
	}
	list = slices.DeleteFunc(list, func(u unansweredCall) bool { return !u.at.After(sent) })
	if len(list) == 0 {
		delete(c.unanswered, t)
		return
	}
	c.unanswered[t] = list
}

// scheduleCheck requests a check of the server of a broken call. None is needed
// while other calls to the server are in flight, because their results say as
// much.
func (c *crashDetector) scheduleCheck(e *Engine, now time.Time, call *call) {
	t := call.target
	if now.Sub(c.lastCheck[t]) < checkInterval || t.InFlight() > 0 || t.IsLeaving() || t.Gone() {
		return
	}
	if now.Sub(c.checkWindowStart) >= checkInterval {
		c.recentChecks, c.checkWindowStart = 0, now
	}
	// A request with more than one broken call may exceed the bound until there
	// are enough crashes to refuse it.
	r := call.part.run
	suspect := c.verdicts[r.req.Fingerprint].Crashed > 0 || r.brokenCalls > 1
	if c.recentChecks >= maxChecks && (!suspect || r.checks >= crash.RefusalThreshold) {
		return
	}
	c.recentChecks++
	r.checks++
	c.lastCheck[t] = now
	e.out.Check = append(e.out.Check, Check{t, checkDelay})
}

// HandleCheck processes the result of a check: whether the server refuses
// connections.
func (e *Engine) HandleCheck(now time.Time, t *policy.Target, refuses bool) Actions {
	if refuses {
		e.crashes.serverEnded(e, now, t)
	}
	return e.takeActions()
}

// serverEnded attributes a server's crash to the requests that it was working
// on: those whose connections broke or, if none did, those that it left
// unanswered.
func (c *crashDetector) serverEnded(e *Engine, now time.Time, t *policy.Target) {
	list := c.unanswered[t]
	delete(c.unanswered, t)
	delete(c.lastCheck, t)
	if t.IsLeaving() || e.isIsolated() && e.isolation == isolationProven {
		return
	}
	broken := false
	for _, u := range list {
		broken = broken || u.broken
	}
	for _, u := range list {
		if u.broken == broken && now.Sub(u.at) <= e.unansweredTTL() {
			c.pending = append(c.pending, finding{u.part, t, now})
		}
	}
	if broken {
		return
	}
	for _, x := range e.calls {
		if x.target == t {
			c.pending = append(c.pending, finding{x.part, t, now})
		}
	}
}

// serversChanged looks for servers that have disappeared.
func (c *crashDetector) serversChanged(e *Engine, now time.Time) {
	gone := make(map[*policy.Target]bool)
	for t := range c.unanswered {
		if t.Gone() {
			gone[t] = true
		}
	}
	for _, x := range e.calls {
		if x.target.Gone() && !x.serverGone {
			x.serverGone = true
			gone[x.target] = true
		}
	}
	for t := range gone {
		c.serverEnded(e, now, t)
	}
}

// forget drops what a host that turns out to be isolated has found since the last
// answer of a server: connections that broke because of its own path look like
// those of servers that have ended.
func (c *crashDetector) forget(since time.Time) {
	for t, list := range c.unanswered {
		if list = slices.DeleteFunc(list, func(u unansweredCall) bool { return u.at.After(since) }); len(list) == 0 {
			delete(c.unanswered, t)
		} else {
			c.unanswered[t] = list
		}
	}
	c.pending = slices.DeleteFunc(c.pending, func(f finding) bool { return f.at.After(since) })
}

// prune drops calls and checks that are too old to matter.
func (c *crashDetector) prune(e *Engine, now time.Time) {
	for t, list := range c.unanswered {
		if now.Sub(list[len(list)-1].at) > e.unansweredTTL() {
			delete(c.unanswered, t)
		}
	}
	for t, at := range c.lastCheck {
		if now.Sub(at) > checkInterval {
			delete(c.lastCheck, t)
		}
	}
}
