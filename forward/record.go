package forward

import (
	"time"

	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

const (
	// firstUsual is a call's latency while a route has brought too few
	// answers, as a part of its objective.
	firstUsual = 5
	// spareQuantile of the latencies is when a second server is asked: the
	// slowest twelfth of the calls, within the retry budget of a fifth.
	spareQuantile = 0.92
	// mostSpare and leastSpare bound that as multiples of the median, for a
	// time in which many servers are slow or few answers vary.
	mostSpare  = 3.5
	leastSpare = 1.3
	// leastSpareDelay is below what a second call can gain.
	leastSpareDelay = 2 * time.Millisecond
)

// routeRecord is what is known of one route's calls.
type routeRecord struct {
	objective time.Duration
	latency   policy.Latency
	credit    map[string]float64
	// common is the time that most callers say they wait at first, and votes
	// by how much it is ahead of all others.
	common time.Duration
	votes  int
}

func (e *Engine) record(rt *route.Route) *routeRecord {
	rec := e.routes[rt.Name]
	if rec == nil {
		rec = &routeRecord{credit: make(map[string]float64)}
		e.routes[rt.Name] = rec
	}
	rec.objective = rt.Objective
	return rec
}

// observe takes in a call's latency.
func (rec *routeRecord) observe(now time.Time, c *call, reply Reply) {
	if reply.Outcome == Answered && reply.OK {
		rec.latency.Add(now.Sub(c.record.Sent))
	}
}

// usual returns the median latency of the route's calls.
func (rec *routeRecord) usual() time.Duration {
	if _, median := rec.latency.Quantile(spareQuantile); median > 0 {
		return median
	}
	return rec.objective / firstUsual
}

// spareDelay returns how long to wait for a call before a second server is
// asked.
func (rec *routeRecord) spareDelay(rt *route.Route) time.Duration {
	at, median := rec.latency.Quantile(spareQuantile)
	if at == 0 {
		return max(rt.Objective/firstUsual, leastSpareDelay)
	}
	least := time.Duration(leastSpare * float64(median))
	most := time.Duration(mostSpare * float64(median))
	return max(min(max(at, least), most), leastSpareDelay)
}

// mostVotes bounds how long a change of the common wait takes to show.
const mostVotes = 32

// EstimateElapsed returns how long a caller that now waits that long has waited
// before. Most requests are first attempts, so the most common wait is taken
// for a caller's whole wait.
func (e *Engine) EstimateElapsed(rt *route.Route, waits time.Duration) time.Duration {
	rec := e.record(rt)
	switch {
	case rec.votes == 0:
		rec.common, rec.votes = waits, 1
	case rec.common == waits:
		rec.votes = min(rec.votes+1, mostVotes)
	default:
		rec.votes--
	}
	return max(rec.common-waits, 0)
}
