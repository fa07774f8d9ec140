package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/policy"
)

// holdFor is how long a finding waits for the request's other calls: a request
// that is answered elsewhere has not crashed the server.
const holdFor = 500 * time.Millisecond

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
	c.forget(e, now)
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
		Fingerprint: r.req.Fingerprint, Server: f.server.ID, StartUnixMs: f.server.StartUnixMs, Service: f.server.Service, AgeMs: now.Sub(f.at).Milliseconds(),
	})
	if r.answered != nil {
		c.reportAnswer(now, r)
	}
	r.reported = true
}

// reportAnswer tells the other hosts of the request's latest answer.
func (c *crashes) reportAnswer(now time.Time, r *run) {
	c.told = append(c.told, crash.Report{
		Fingerprint: r.req.Fingerprint, Server: r.answered.ID, Service: r.answered.Service, Answered: true, Serial: now.UnixNano(),
	})
}
