package policy

import "time"

// Delays and limits of hedging.
const (
	// defaultHedgeDelay applies while too few calls of a service have been
	// measured. A leaf with too few calls takes the latency of its service.
	defaultHedgeDelay = 50 * time.Millisecond
	// minHedgeDelay is the shortest delay at which a hedge can gain anything.
	minHedgeDelay = time.Millisecond
	// maxHedgeMedians bounds the delay to a multiple of the median, for the case
	// that a hung server has raised the quantile.
	maxHedgeMedians = 8
	// hedgeMargin is the part of the budget that the delay is computed for; the
	// rest leaves a token for the next straggler.
	hedgeMargin = 0.75
	// overloadRefusedShare is the share of calls refused for load above which a
	// service counts as overloaded; there are no hedges then, since they would add
	// to the load.
	overloadRefusedShare = 0.05
)

// HedgeDelay returns how long to wait for the leaf before a second attempt: the
// quantile of its recent latency that the document configures, or a higher one
// if the budget would not cover the hedges otherwise.
func (r *Router) HedgeDelay(service, leaf string) time.Duration {
	l := r.leaf(service, leaf)
	if l == nil {
		return defaultHedgeDelay
	}
	h := l.service.doc.Hedging
	q := max(h.Quantile, 1-hedgeMargin*h.Budget)
	if d := l.latency.hedgeDelay(q); d > 0 {
		return d
	}
	if d := l.service.latency.hedgeDelay(q); d > 0 {
		return d
	}
	return defaultHedgeDelay
}

// hedgeDelay returns the delay for the quantile, or 0 while there are too few
// samples.
func (h *histogram) hedgeDelay(q float64) time.Duration {
	d := h.trackQuantile(q)
	if d == 0 {
		return 0
	}
	return max(min(d, maxHedgeMedians*h.median), minHedgeDelay)
}

// SpendHedge takes one hedge from the leaf's budget, or else from the service's
// pool of tokens that its leaves could not hold, and reports whether there was
// one. There is none while the service is overloaded.
func (r *Router) SpendHedge(now time.Time, service, leaf string) bool {
	l := r.leaf(service, leaf)
	if l == nil || l.service.doc.Hedging.Budget == 0 {
		return false
	}
	s := l.service
	if s.stats.refusedShare(r.at(now)) > overloadRefusedShare {
		return false
	}
	return l.hedges.spend() || s.hedges.spend()
}

// SpendRetry takes one retry from the service's budget and reports whether
// there was one.
func (r *Router) SpendRetry(now time.Time, service string) bool {
	r.at(now)
	s := r.services[service]
	if s == nil || s.doc.Retries.Budget == 0 {
		return false
	}
	return s.retries.spend()
}

func (r *Router) leaf(service, leaf string) *leaf {
	s := r.services[service]
	if s == nil {
		return nil
	}
	return s.leaves[leaf]
}
