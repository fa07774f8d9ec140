package query

import (
	"time"

	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// retry sends a failed call to another server, as far as the budget allows. A
// call that a server shed did no work: without budget it waits for its turn at
// the leaf, at the pace that the Router's limits allow after the shed.
func (p *part) retry(now time.Time, res leafcall.Result) {
	why := failure(res)
	if res.Status == leafcall.NotSent {
		p.tries-- // no backend server did any work
	}
	reason := p.mayRetry(now, res)
	if reason == noBudget && res.Status == leafcall.Shed {
		p.wait(now)
		return
	}
	if reason != "" {
		p.run.engine.decide(p.run, decision.NoRetry, p, reason)
		p.fail(now, policy.Reason(why))
		return
	}
	p.run.engine.decide(p.run, decision.Retried, p, why)
	p.try(now)
}

// noBudget is why extra calls are not made.
const noBudget = "budget"

// mayRetry tells why not, or "". A call that never left costs the backend
// servers nothing and takes nothing from the budget.
func (p *part) mayRetry(now time.Time, res leafcall.Result) string {
	router, service := p.run.engine.opts.Router, p.run.req.Service
	switch {
	case p.tries >= p.run.doc.Retries.Attempts:
		return "attempts"
	case p.run.req.Deadline.Sub(now) < router.HedgeDelay(service, p.leaf)/2:
		return string(deadline)
	case res.Status != leafcall.NotSent && !router.SpendRetry(now, service):
		return noBudget
	}
	return ""
}

// elsewhere asks another server for the snapshot, and where none is left
// starts the query again on a snapshot that all leaves serve.
func (p *part) elsewhere(now time.Time) {
	srv, reason := p.pick(now, false)
	switch {
	case srv != nil:
		p.send(now, srv)
	case waitable(reason):
		p.wait(now)
	case !p.run.restart(now):
		p.fail(now, snapshotGone)
	}
}

func failure(res leafcall.Result) string {
	switch res.Status {
	case leafcall.Shed:
		return "shed"
	case leafcall.SnapshotGone:
		return string(snapshotGone)
	case leafcall.Timeout:
		return "timeout"
	case leafcall.OK, leafcall.Mismatch:
		return "other_snapshot"
	default:
		return "failed"
	}
}
