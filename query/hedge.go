package query

import (
	"time"

	"github.com/figmast/figmast/decision"
)

// Limits on hedges.
const (
	// stragglerDivisor limits hedging to the last tenth of a query's parts to
	// be answered.
	stragglerDivisor = 10
	// maxHedges is the most hedges of one part in progress at once.
	maxHedges = 2
)

// maxStragglers returns the largest number of open parts at which hedging may
// start.
func (r *run) maxStragglers() int { return max(len(r.parts)/stragglerDivisor, 1) }

// hedgeOverdue hedges the open parts whose hedge delay has passed.
func (r *run) hedgeOverdue(now time.Time) {
	for _, p := range r.openParts {
		if p.canHedge() && !now.Before(p.hedgeAt) {
			p.hedge(now)
		}
	}
}

// canHedge reports whether the part has at least one and at most maxHedges
// calls in progress. A hedge that is itself overdue may be followed by another.
func (p *part) canHedge() bool {
	n := p.runningCalls()
	return n > 0 && n <= maxHedges
}

// hedge sends one more call for the part and schedules the next hedge. It sends
// none if too little time is left, parts wait at the leaf, no server is
// available or the hedge budget is exhausted.
func (p *part) hedge(now time.Time) {
	router := p.run.engine.opts.Router
	delay := router.HedgeDelay(p.run.req.Service, p.leaf)
	p.hedgeAt = now.Add(delay)
	p.run.tickBy(p.hedgeAt)
	if p.run.req.Deadline.Sub(now) < delay/2 || p.queue.Len() > 0 {
		return
	}
	srv, reason := p.pick(now, true)
	if srv == nil {
		p.run.engine.recordDecision(p.run, decision.NoHedge, p, string(reason))
		return
	}
	if !router.SpendHedge(now, p.run.req.Service, p.leaf) {
		p.run.engine.recordDecision(p.run, decision.NoHedge, p, reasonBudget)
		return
	}
	p.send(now, srv)
	p.run.engine.recordDecision(p.run, decision.Hedged, p, "late")
}
