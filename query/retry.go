package query

import (
	"time"

	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// retry sends a failed call to another server if retryRefusal allows it. A call
// that a server shed did no work there: if the retry budget is exhausted, the
// part waits in the leaf's queue instead of failing, and is sent as soon as the
// Router's limits, which take the shed into account, allow it.
func (p *part) retry(now time.Time, res leafcall.Result) {
	why := failureReason(res)
	if res.Status == leafcall.NotSent {
		p.attempts-- // does not count: no backend server received it
	}
	reason := p.retryRefusal(now, res)
	if reason == reasonBudget && res.Status == leafcall.Shed {
		p.wait(now)
		return
	}
	if reason != "" {
		p.run.engine.recordDecision(p.run, decision.NoRetry, p, reason)
		p.fail(now, policy.Reason(why))
		return
	}
	p.run.engine.recordDecision(p.run, decision.Retried, p, why)
	p.sendOrWait(now)
}

// reasonBudget means that the budget for retries or hedges is exhausted.
const reasonBudget = "budget"

// retryRefusal returns why the part may not be retried, or "" if it may. A call
// that was not sent put no load on the backend servers, so its retry does not
// count against the budget; any other retry that is allowed does.
func (p *part) retryRefusal(now time.Time, res leafcall.Result) string {
	router, service := p.run.engine.opts.Router, p.run.req.Service
	switch {
	case p.attempts >= p.run.doc.Retries.Attempts:
		return "attempts"
	case p.run.req.Deadline.Sub(now) < router.HedgeDelay(service, p.leaf)/2:
		return string(reasonDeadline)
	case res.Status != leafcall.NotSent && !router.SpendRetry(now, service):
		return reasonBudget
	}
	return ""
}

// tryOtherServer sends the call to another server that may have the snapshot.
// If there is none, it restarts the query on another snapshot or, if that is
// not possible, fails the part.
func (p *part) tryOtherServer(now time.Time) {
	srv, reason := p.pick(now, false)
	switch {
	case srv != nil:
		p.send(now, srv)
	case isTransient(reason):
		p.wait(now)
	case !p.run.restart(now):
		p.fail(now, reasonSnapshotGone)
	}
}

func failureReason(res leafcall.Result) string {
	switch res.Status {
	case leafcall.Shed:
		return "shed"
	case leafcall.SnapshotGone:
		return string(reasonSnapshotGone)
	case leafcall.Timeout:
		return "timeout"
	case leafcall.OK, leafcall.Mismatch:
		return "other_snapshot"
	default:
		return "failed"
	}
}
