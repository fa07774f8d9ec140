package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/policy"
)

const (
	// unansweredFor is how long a call that ended without an answer is
	// remembered: a silent server's entry lapses after three heartbeats of up to
	// 1.2 s, and that takes up to a second to become known.
	unansweredFor = 6 * time.Second
	// maxUnanswered bounds the calls remembered for one server; it is above
	// what a host has in flight to one.
	maxUnanswered = 32
	// holdFor is how long a finding waits for the request's other calls: a
	// request that is answered elsewhere has not crashed the server.
	holdFor = 500 * time.Millisecond
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

// finding is a server that ended under a request, before it is reported.
type finding struct {
	part   *part
	server *policy.Target
	at     time.Time
}

// crashes finds requests that backend servers do not survive. A call that
// brought no answer is held against its request once its server turns out to
// have ended: it refuses connections, another lifetime is at its address, or
// its entry is gone though it did not say that it leaves.
type crashes struct {
	verdicts map[uint64]crash.Verdict
	// open are the calls whose servers may have ended.
	open map[*policy.Target][]unanswered
	held []finding
	// told are reports for the other hosts.
	told    []crash.Report
	checked map[*policy.Target]time.Time
	// checks counts the checks since checksFrom.
	checks     int
	checksFrom time.Time
}

func newCrashes() crashes {
	return crashes{open: make(map[*policy.Target][]unanswered), checked: make(map[*policy.Target]time.Time)}
}

// SetCrashes takes in what the reports of all hosts come to, and ends the
// requests in progress that are refused from now on.
func (e *Engine) SetCrashes(now time.Time, verdicts map[uint64]crash.Verdict) Actions {
	e.crashes.verdicts = verdicts
	for _, v := range verdicts {
		if v.Refused() {
			e.endRefused(now)
			break
		}
	}
	return e.take()
}

func (e *Engine) endRefused(now time.Time) {
	for _, r := range e.runs {
		if v := e.crashes.verdicts[r.req.Fingerprint]; v.Refused() {
			r.endCrashing(now, v)
		}
	}
}

// endCrashing ends a request that crashes servers. Its calls are given up at
// once: a server that has not begun to work on one drops it.
func (r *run) endCrashing(now time.Time, v crash.Verdict) {
	if n := r.inFlight(); n > 0 {
		r.note("given up with %d calls in flight", n)
	}
	for i := range r.parts {
		r.parts[i].linger = 0
	}
	f := Finish{Verdict: Refused, Reason: fmt.Sprintf("the request has crashed %d servers", v.Crashed), RetryAfter: v.RefusedFor}
	if r.unsure > 0 {
		f.Verdict = Failed
	}
	r.finish(now, f)
}

func (r *run) inFlight() (n int) {
	for i := range r.parts {
		n += len(r.parts[i].calls)
	}
	return n
}

// TakeReports returns what this host has found since the last time.
func (e *Engine) TakeReports(now time.Time) []crash.Report {
	c := &e.crashes
	c.forget(now)
	c.held = slices.DeleteFunc(c.held, func(f finding) bool {
		switch {
		case f.part.answered:
			return true
		case !f.part.run.done && now.Sub(f.at) < holdFor:
			return false
		}
		c.report(now, f)
		return true
	})
	out := c.told
	c.told = nil
	return out
}

// report tells the other hosts of a crash, and of the answers that the request
// has got.
func (c *crashes) report(now time.Time, f finding) {
	r := f.part.run
	c.told = append(c.told, crash.Report{
		Fingerprint: r.req.Fingerprint, Server: f.server.ID, Born: f.server.Born, Service: f.server.Service, AgeMs: now.Sub(f.at).Milliseconds(),
	})
	if r.answered != nil {
		c.told = append(c.told, crash.Report{Fingerprint: r.req.Fingerprint, Server: r.answered.ID, Service: r.answered.Service, Answered: true})
	}
	r.reported = true
}

// observe takes in how a call ended.
func (c *crashes) observe(e *Engine, now time.Time, x *call, reply Reply) {
	r, t := x.part.run, x.target
	switch reply.Outcome {
	case Answered:
		c.lives(t, x.record.Sent)
		x.part.answered, r.answered = true, t
		if r.reported || c.verdicts[r.req.Fingerprint].Crashed > 0 {
			c.told = append(c.told, crash.Report{Fingerprint: r.req.Fingerprint, Server: t.ID, Service: t.Service, Answered: true})
		}
	case NotRun:
		if reply.Moved {
			c.ended(e, now, t)
			return
		}
		c.lives(t, x.record.Sent)
	case NotSent:
		if reply.Unreachable {
			c.ended(e, now, t)
		}
	case Broken:
		c.remember(now, t, unanswered{x.part, now, true})
		c.check(e, now, x)
	case TimedOut, Cancelled:
		c.remember(now, t, unanswered{x.part, now, false})
	}
}

func (c *crashes) remember(now time.Time, t *policy.Target, u unanswered) {
	list := slices.DeleteFunc(c.open[t], func(o unanswered) bool { return now.Sub(o.at) > unansweredFor })
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
	if now.Sub(c.checked[t]) < checkEvery || t.InFlight() > 0 || t.Draining || t.Gone() {
		return
	}
	if now.Sub(c.checksFrom) >= checkEvery {
		c.checks, c.checksFrom = 0, now
	}
	// A request with more than one broken call may exceed the bound until
	// there are enough to refuse it.
	r := x.part.run
	suspect := c.verdicts[r.req.Fingerprint].Crashed > 0 || r.broken > 1
	if c.checks >= mostChecks && (!suspect || r.checks >= crash.Refuse) {
		return
	}
	c.checks++
	r.checks++
	c.checked[t] = now
	e.out.Check = append(e.out.Check, Check{t, checkAfter})
}

// Checked takes in whether a server refuses connections.
func (e *Engine) Checked(now time.Time, t *policy.Target, refuses bool) Actions {
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
	if t.Draining {
		return
	}
	broken := false
	for _, u := range list {
		broken = broken || u.broken
	}
	for _, u := range list {
		if u.broken == broken && now.Sub(u.at) <= unansweredFor {
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
func (c *crashes) forget(now time.Time) {
	for t, list := range c.open {
		if now.Sub(list[len(list)-1].at) > unansweredFor {
			delete(c.open, t)
		}
	}
	for t, at := range c.checked {
		if now.Sub(at) > checkEvery {
			delete(c.checked, t)
		}
	}
}
