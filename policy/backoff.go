package policy

import (
	"math"
	"time"
)

// Bounds of the delay that a refused caller is told to wait.
const (
	minBackoff   = 20 * time.Millisecond
	maxBackoff   = 10 * time.Second
	staleBackoff = time.Second
	// idleBackoff applies when fewer than one call a second ends, too few to derive
	// a drain time, and when all servers are out.
	idleBackoff = time.Second
	// backoffJitter is the largest random addition to a delay, as a part of it.
	backoffJitter = 0.5
)

// callStatsHalfLife is the half-life of a service's call counts.
const callStatsHalfLife = time.Second

// callStats counts a service's calls on this host.
type callStats struct {
	inFlight int
	// ended, refused and picks are exponentially decaying counts.
	ended     float64
	refused   float64
	picks     float64
	decayedAt time.Duration
}

// decayRate turns a decaying count into calls a second, for a half-life of one
// second.
const decayRate = math.Ln2

func (c *callStats) decay(at time.Duration) {
	idle := at - c.decayedAt
	if idle < callStatsHalfLife/64 {
		return
	}
	keep := math.Exp2(-float64(idle) / float64(callStatsHalfLife))
	c.ended *= keep
	c.refused *= keep
	c.picks *= keep
	c.decayedAt = at
}

func (c *callStats) recordPick(at time.Duration, reason Reason) {
	c.decay(at)
	c.picks++
	if reason == AllBusy || reason == AllCold {
		c.refused++
	}
}

func (c *callStats) begin() { c.inFlight++ }

func (c *callStats) recordResult(at time.Duration, res Result) {
	c.decay(at)
	c.inFlight--
	c.ended++
	if res == ResultShed {
		c.refused++
	}
}

// refusedShare returns the share of recent calls that were refused for load.
func (c *callStats) refusedShare(at time.Duration) float64 {
	c.decay(at)
	if c.picks < 1 {
		return 0
	}
	return c.refused / c.picks
}

// drainTime returns how long the service needs for the calls in flight and for
// the refused ones, which may be retried.
func (c *callStats) drainTime(at time.Duration) time.Duration {
	c.decay(at)
	rate := c.ended * decayRate
	if rate < 1 {
		return idleBackoff
	}
	return time.Duration((float64(c.inFlight) + c.refused) / rate * float64(time.Second))
}

// Backoff returns the delay after which a refused request is worth retrying.
// Random jitter spreads callers that are refused together.
func (r *Router) Backoff(now time.Time, service string, reason Reason) time.Duration {
	at := r.at(now)
	d := idleBackoff
	s := r.services[service]
	switch {
	case reason == StaleView:
		d = staleBackoff
	case reason == CrashSuspect:
		d = firstRefusal
	case reason == AllCold && s != nil:
		d = max(s.stats.drainTime(at), s.warmUpTime(at))
	case reason == AllOut, s == nil:
	default:
		d = s.stats.drainTime(at)
	}
	d = min(max(d, minBackoff), maxBackoff)
	if reason == CrashSuspect {
		d = firstRefusal
	}
	return d + time.Duration(r.opts.Rand.Float64()*backoffJitter*float64(d))
}

// warmUpTime returns how long it takes until the service's cold servers accept
// more calls from this host.
func (s *service) warmUpTime(at time.Duration) time.Duration {
	var longest time.Duration
	for _, l := range s.leaves {
		if d, ok := l.warmUpTime(at); ok {
			longest = max(longest, d)
		}
	}
	return longest
}

// warmUpTime returns how long it takes until the first server of a leaf doubles
// its level, and false unless the leaf has active servers and all are cold.
func (l *leaf) warmUpTime(at time.Duration) (time.Duration, bool) {
	soonest := time.Duration(math.MaxInt64)
	for _, srv := range l.servers {
		if !srv.active() {
			continue
		}
		if srv.warmUp.state != cold {
			return 0, false
		}
		soonest = min(soonest, srv.doublingTime(at))
	}
	return soonest, soonest != math.MaxInt64
}

// doublingTime estimates how long a cold server takes to double its level.
func (s *Server) doublingTime(at time.Duration) time.Duration {
	hostLimit := s.hostPortion(max(s.warmUp.level, 1))
	if hostLimit == 0 {
		return max(s.warmUp.since+doublingInterval-at, 0)
	}
	rounds := float64(s.leaf.service.doc.ColdStart.WarmAfter) / float64(max(s.warmUp.level, 1))
	return time.Duration(rounds * float64(max(s.latency.mean, defaultLatency)))
}
