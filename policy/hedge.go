package policy

import "time"

// Hedging.
const (
	// firstHedgeDelay holds while a service has answered too few calls; one of
	// its leafs that has takes the service's latency.
	firstHedgeDelay = 50 * time.Millisecond
	// minHedgeDelay is below what a second attempt can gain.
	minHedgeDelay = time.Millisecond
	// maxHedgeDelay, as a multiple of the median, holds where a server that
	// hangs has moved the quantile.
	maxHedgeDelay = 8
	// hedgeMargin is the part of the budget that the delay is set for, so that
	// there is a token left when a straggler shows.
	hedgeMargin = 0.75
	// hedgeOverload is the share of calls refused for load, above which second
	// attempts would do harm.
	hedgeOverload = 0.05
)

// HedgeDelay returns how long to wait for the leaf before a second attempt:
// the quantile of its recent latency that the document names, but no lower
// than one that the budget can pay for.
func (r *Router) HedgeDelay(service, leaf string) time.Duration {
	l := r.leaf(service, leaf)
	if l == nil {
		return firstHedgeDelay
	}
	h := l.service.doc.Hedging
	q := max(h.Quantile, 1-hedgeMargin*h.Budget)
	if d := l.latency.hedgeDelay(q); d > 0 {
		return d
	}
	if d := l.service.latency.hedgeDelay(q); d > 0 {
		return d
	}
	return firstHedgeDelay
}

// hedgeDelay returns the delay that the record calls for, or 0 while it holds
// too little.
func (h *histogram) hedgeDelay(q float64) time.Duration {
	d := h.want(q)
	if d == 0 {
		return 0
	}
	return max(min(d, maxHedgeDelay*h.median), minHedgeDelay)
}

// SpendHedge takes one hedge from the leaf's budget, or from what the
// service's other leaves have left over, and reports whether there was one.
// There is none while the service is overloaded.
func (r *Router) SpendHedge(now time.Time, service, leaf string) bool {
	l := r.leaf(service, leaf)
	if l == nil || l.service.doc.Hedging.Budget == 0 {
		return false
	}
	s := l.service
	if s.flow.overload(r.at(now)) > hedgeOverload {
		return false
	}
	return l.hedges.spend() || s.hedges.spend()
}

// SpendRetry takes one retry from the service's budget and reports whether it
// had one.
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
