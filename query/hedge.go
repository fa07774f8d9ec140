package query

import (
	"time"

	"github.com/figmast/figmast/decision"
)

// Limits on hedges.
const (
	// stragglerShare is the part of a query's leaves that may be hedged: the
	// last ones to answer.
	stragglerShare = 10
	// maxHedges bounds the hedges of one part that run at once.
	maxHedges = 2
)

// stragglers is how many open parts are few enough to hedge.
func (r *run) stragglers() int { return max(len(r.parts)/stragglerShare, 1) }

// hedgeOverdue sends second attempts for the last parts of a query that are
// late.
func (r *run) hedgeOverdue(now time.Time) {
	for _, p := range r.open {
		if p.mayHedge() && !now.Before(p.hedgeAt) {
			p.hedge(now)
		}
	}
}

// mayHedge reports whether calls are running, but not too many. A hedge that
// is late itself may be followed by one more.
func (p *part) mayHedge() bool {
	n := p.running()
	return n > 0 && n <= maxHedges
}

func (p *part) hedge(now time.Time) {
	router := p.run.engine.opts.Router
	delay := router.HedgeDelay(p.run.req.Service, p.leaf)
	p.hedgeAt = now.Add(delay)
	p.run.soon(p.hedgeAt)
	if p.run.req.Deadline.Sub(now) < delay/2 || p.queue.Len() > 0 {
		return
	}
	srv, reason := p.pick(now, true)
	if srv == nil {
		p.run.engine.decide(p.run, decision.NoHedge, p, string(reason))
		return
	}
	if !router.SpendHedge(now, p.run.req.Service, p.leaf) {
		p.run.engine.decide(p.run, decision.NoHedge, p, noBudget)
		return
	}
	p.send(now, srv)
	p.run.engine.decide(p.run, decision.Hedged, p, "late")
}
