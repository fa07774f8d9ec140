package forward

import (
	"fmt"
	"slices"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/policy"
)

// findingDelay is how long a finding waits for the other calls of the request
// to end. A request that another server answers did not cause the crash.
const findingDelay = 500 * time.Millisecond

// finding is a server's crash attributed to a part of a request and not yet
// reported.
type finding struct {
	part   *part
	server *policy.Target
	at     time.Time
}

// crashDetector finds requests that crash backend servers. A call that ended
// without an answer is attributed to its request once the server turns out to
// have ended: the server refuses connections, another incarnation listens at
// its address, or its entry has disappeared although the server never announced
// that it is leaving.
type crashDetector struct {
	verdicts map[uint64]crash.Verdict
	// unanswered holds the calls whose servers may have ended.
	unanswered map[*policy.Target][]unansweredCall
	pending    []finding
	// reports are queued for the other hosts.
	reports   []crash.Report
	lastCheck map[*policy.Target]time.Time
	// recentChecks counts the checks since checkWindowStart.
	recentChecks     int
	checkWindowStart time.Time
}

func newCrashDetector() crashDetector {
	return crashDetector{unanswered: make(map[*policy.Target][]unansweredCall), lastCheck: make(map[*policy.Target]time.Time)}
}

// SetCrashes installs the verdicts derived from the reports of all hosts and
// ends the requests in progress that they refuse.
func (e *Engine) SetCrashes(now time.Time, verdicts map[uint64]crash.Verdict) Actions {
	e.crashes.verdicts = verdicts
	for _, v := range verdicts {
		if v.Refused() {
			e.refuseInProgress(now)
			break
		}
	}
	return e.takeActions()
}

func (e *Engine) refuseInProgress(now time.Time) {
	for _, r := range e.runs {
		if v := e.crashes.verdicts[r.req.Fingerprint]; v.Refused() {
			r.refuseCrashing(now, v)
		}
	}
}

// refuseCrashing ends a request that crashes servers. Its calls are cancelled
// without linger time, so that a server drops those that it has not started.
func (r *run) refuseCrashing(now time.Time, v crash.Verdict) {
	if n := r.callsInFlight(); n > 0 {
		r.tracef("cancelled %d calls in flight", n)
	}
	for i := range r.parts {
		r.parts[i].linger = 0
	}
	f := Finish{Verdict: Refused, Reason: fmt.Sprintf("the request has crashed %d servers", v.Crashed), RetryAfter: v.RefusedFor}
	if r.mayRunAnywhere() {
		f.Verdict = Failed
	}
	r.finish(now, f)
}

func (r *run) callsInFlight() (n int) {
	for i := range r.parts {
		n += len(r.parts[i].calls)
	}
	return n
}

// TakeReports returns the reports queued since the last call.
func (e *Engine) TakeReports(now time.Time) []crash.Report {
	c := &e.crashes
	c.prune(e, now)
	c.pending = slices.DeleteFunc(c.pending, func(f finding) bool {
		switch {
		case f.part.answered:
			return true
		case !f.part.run.done && now.Sub(f.at) < findingDelay:
			return false
		}
		d := e.doubtFinding(now, f)
		if d == noDoubt {
			c.report(now, f)
		}
		return d != undecided
	})
	out := c.reports
	c.reports = nil
	return out
}

// report queues a report of a crash and of the latest answer to the same
// request.
func (c *crashDetector) report(now time.Time, f finding) {
	r := f.part.run
	c.reports = append(c.reports, crash.Report{
		Fingerprint: r.req.Fingerprint, Server: f.server.ID, StartUnixMs: f.server.StartUnixMs, Service: f.server.Service, AgeMs: now.Sub(f.at).Milliseconds(),
	})
	if r.answeredBy != nil {
		c.reportAnswer(now, r)
	}
	r.crashReported = true
}

// reportAnswer queues a report of the latest answer to the request.
func (c *crashDetector) reportAnswer(now time.Time, r *run) {
	c.reports = append(c.reports, crash.Report{
		Fingerprint: r.req.Fingerprint, Server: r.answeredBy.ID, Service: r.answeredBy.Service, Answered: true, Serial: now.UnixNano(),
	})
}
