package policy

import (
	"math"
	"time"
)

// Bounds of the time to come back.
const (
	minBackoff   = 20 * time.Millisecond
	maxBackoff   = 10 * time.Second
	staleBackoff = time.Second
	// idleBackoff holds where nothing drains, as with all servers out.
	idleBackoff = time.Second
	// backoffSpread is the part of the time that is drawn at random.
	backoffSpread = 0.5
)

// flowHalfLife is how fast the rates of a service's flow are forgotten.
const flowHalfLife = time.Second

// flow measures a service's calls on this host.
type flow struct {
	inFlight int
	// ended, refused and picks are fading counts.
	ended   float64
	refused float64
	picks   float64
	faded   time.Duration
}

// rate turns a fading count into calls a second.
const flowRate = math.Ln2

func (f *flow) fade(at time.Duration) {
	idle := at - f.faded
	if idle < flowHalfLife/64 {
		return
	}
	keep := math.Exp2(-float64(idle) / float64(flowHalfLife))
	f.ended *= keep
	f.refused *= keep
	f.picks *= keep
	f.faded = at
}

func (f *flow) picked(at time.Duration, reason Reason) {
	f.fade(at)
	f.picks++
	if reason == AllBusy || reason == AllCold {
		f.refused++
	}
}

func (f *flow) begin() { f.inFlight++ }

func (f *flow) done(at time.Duration, res Result) {
	f.fade(at)
	f.inFlight--
	f.ended++
	if res == ResultShed {
		f.refused++
	}
}

// overload returns the share of recent calls that were refused for load.
func (f *flow) overload(at time.Duration) float64 {
	f.fade(at)
	if f.picks < 1 {
		return 0
	}
	return f.refused / f.picks
}

// drain returns how long the service takes to work off what is in flight and
// what was refused and may come back.
func (f *flow) drain(at time.Duration) time.Duration {
	f.fade(at)
	rate := f.ended * flowRate
	if rate < 1 {
		return idleBackoff
	}
	return time.Duration((float64(f.inFlight) + f.refused) / rate * float64(time.Second))
}

// Backoff returns after how long coming back helps a refused request. Callers
// that are refused together get different times.
func (r *Router) Backoff(now time.Time, service string, reason Reason) time.Duration {
	at := r.at(now)
	d := idleBackoff
	s := r.services[service]
	switch {
	case reason == StaleView:
		d = staleBackoff
	case reason == CrashSuspect:
		d = suspectFor
	case reason == AllCold && s != nil:
		d = max(s.flow.drain(at), s.thaw(at))
	case reason == AllOut, s == nil:
	default:
		d = s.flow.drain(at)
	}
	d = min(max(d, minBackoff), maxBackoff)
	if reason == CrashSuspect {
		d = suspectFor
	}
	return d + time.Duration(r.opts.Rand.Float64()*backoffSpread*float64(d))
}

// thaw returns how long the service's cold servers take to let this host send
// more.
func (s *service) thaw(at time.Duration) time.Duration {
	var longest time.Duration
	for _, l := range s.leaves {
		if d, ok := l.thaw(at); ok {
			longest = max(longest, d)
		}
	}
	return longest
}

// thaw returns how long until one of a wholly cold leaf's servers widens.
func (l *leaf) thaw(at time.Duration) (time.Duration, bool) {
	soonest := time.Duration(math.MaxInt64)
	for _, srv := range l.servers {
		if !srv.active() {
			continue
		}
		if srv.warmth.state != cold {
			return 0, false
		}
		soonest = min(soonest, srv.thaw(at))
	}
	return soonest, soonest != math.MaxInt64
}

// thaw returns how long a cold server takes for one doubling, as far as this
// host can tell.
func (s *Server) thaw(at time.Duration) time.Duration {
	part := s.portionOf(max(s.warmth.level, 1))
	if part == 0 {
		return max(s.warmth.since+widenAfter-at, 0)
	}
	rounds := float64(s.leaf.service.doc.ColdStart.WarmAfter) / float64(max(s.warmth.level, 1))
	return time.Duration(rounds * float64(max(s.latency.mean, defaultLatency)))
}
