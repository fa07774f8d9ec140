package forward

import (
	"time"

	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

const (
	// initialLatencyDivisor divides a route's objective to estimate its latency
	// until there are enough samples.
	initialLatencyDivisor = 5
	// hedgeQuantile is the latency quantile after which a hedge is sent. It
	// hedges the slowest twelfth of the calls, which fits the retry budget of a
	// fifth.
	hedgeQuantile = 0.92
	// maxHedgeFactor and minHedgeFactor bound the hedge delay in multiples of
	// the median, for times when many servers are slow or when few samples vary
	// widely.
	maxHedgeFactor = 3.5
	minHedgeFactor = 1.3
	// minHedgeDelay is the least hedge delay: a hedge sent sooner gains nothing.
	minHedgeDelay = 2 * time.Millisecond
)

// routeStats holds what the host has measured on one route.
type routeStats struct {
	objective time.Duration
	latency   policy.LatencyHistogram
	// credit is how far each service of a split route is behind its share.
	credit map[string]float64
	// unservableVotes counts the hosts in a row that could not serve the route
	// either. It is not handed over until unservableUntil.
	unservableVotes int
	unservableUntil time.Time
	// commonWait is the caller timeout seen most often, voteLead its lead over
	// all other values (Boyer-Moore majority vote).
	commonWait time.Duration
	voteLead   int
}

func (e *Engine) statsFor(rt *route.Route) *routeStats {
	stats := e.routes[rt.Name]
	if stats == nil {
		stats = &routeStats{credit: make(map[string]float64)}
		e.routes[rt.Name] = stats
	}
	stats.objective = rt.Objective
	return stats
}

// observe records the latency of a successful call.
func (s *routeStats) observe(now time.Time, c *call, reply Reply) {
	if reply.Outcome == Answered && reply.OK {
		s.latency.Add(now.Sub(c.policyCall.Sent))
	}
}

// medianLatency returns the median latency of the route's calls, or an estimate
// if there are too few samples.
func (s *routeStats) medianLatency() time.Duration {
	if _, median := s.latency.Quantile(hedgeQuantile); median > 0 {
		return median
	}
	return s.objective / initialLatencyDivisor
}

// hedgeDelay returns how long to wait for a call before a hedge is sent.
func (s *routeStats) hedgeDelay(rt *route.Route) time.Duration {
	quantile, median := s.latency.Quantile(hedgeQuantile)
	if quantile == 0 {
		return max(rt.Objective/initialLatencyDivisor, minHedgeDelay)
	}
	least := time.Duration(minHedgeFactor * float64(median))
	most := time.Duration(maxHedgeFactor * float64(median))
	return max(min(max(quantile, least), most), minHedgeDelay)
}

// maxVoteLead bounds how many requests it takes for a change of the common
// timeout to show.
const maxVoteLead = 32

// EstimateElapsed estimates how long a caller whose remaining wait is given has
// waited already. Most requests are first attempts, so the most common wait is
// taken for the caller's whole timeout.
func (e *Engine) EstimateElapsed(rt *route.Route, wait time.Duration) time.Duration {
	stats := e.statsFor(rt)
	switch {
	case stats.voteLead == 0:
		stats.commonWait, stats.voteLead = wait, 1
	case stats.commonWait == wait:
		stats.voteLead = min(stats.voteLead+1, maxVoteLead)
	default:
		stats.voteLead--
	}
	return max(stats.commonWait-wait, 0)
}
