package policy

import (
	"math"
	"math/bits"
	"time"
)

// warmUpState tells whether a server is in cold start.
type warmUpState int

const (
	// unknown servers have not answered this host yet.
	unknown warmUpState = iota
	warm
	cold
)

// Times and thresholds of cold start.
const (
	// slowLatencyRatio is the multiple of the typical latency of the leaf from
	// which an answer counts as slow.
	slowLatencyRatio = 3
	// A server counts as cold when coldSlowCount or coldShedCount of its last
	// eight results are slow or shed while its peers do well.
	coldSlowCount = 5
	coldShedCount = 2
	// doublingInterval is the assumed time in which the hosts that send to a cold
	// server double its level. A host that may not send yet raises its own record
	// of the level at this interval.
	doublingInterval = 3 * time.Second
)

// warmUp tracks a server through its cold start. Its level is how many
// concurrent calls this host assumes the server can take from the whole fleet;
// it is divided among the hosts that rank first for the server.
type warmUp struct {
	state warmUpState
	level int
	// progress counts successes at this host's full part of the level since the
	// level was reached.
	progress int
	// since is when the level was reached.
	since time.Duration
	// slowBits and shedBits hold the last eight results, one bit each.
	slowBits uint8
	shedBits uint8
	// ignoreColdSignal is set for a server that still reported itself cold when it
	// had reached the load of a warm one; it holds until the server stops
	// reporting that.
	ignoreColdSignal bool
}

// sample is one result as far as the warm-up is concerned.
type sample struct {
	latency        time.Duration
	typicalLatency time.Duration
	// censored samples ended before the server answered.
	censored   bool
	coldSignal bool
}

// start initializes the record of a server. A server that appears in a leaf
// whose other servers are known has just started.
func (w *warmUp) start(at time.Duration, othersKnown bool) {
	if othersKnown {
		w.state = cold
		w.since = at
	}
}

// markCold treats the server as cold from now on.
func (w *warmUp) markCold(at time.Duration, s *Server) {
	w.state = cold
	w.level = s.leaf.service.doc.ColdStart.Allowance
	w.progress = 0
	w.since = at
	w.slowBits, w.shedBits = 0, 0
}

// hostPortion returns this host's part of a level.
func (s *Server) hostPortion(level int) int { return portion(level, s.liveRank, s.liveSharers) }

// warmUpLimit returns how many concurrent calls the warm-up allows this host.
func (s *Server) warmUpLimit() int {
	switch s.warmUp.state {
	case cold:
		return s.hostPortion(s.warmUp.level)
	case unknown:
		return s.leaf.unknownLimit()
	}
	return math.MaxInt
}

// unknownLimit returns how many concurrent calls a server may get before its
// first answer: one while most servers of the leaf are known, any number while
// the whole leaf is new.
func (l *leaf) unknownLimit() int {
	known := 0
	for _, srv := range l.servers {
		if srv.warmUp.state != unknown {
			known++
		}
	}
	if 2*known <= len(l.servers) {
		return math.MaxInt
	}
	return 1
}

// recordAnswer records an answer that came with inFlight calls in flight.
func (w *warmUp) recordAnswer(at time.Duration, s *Server, inFlight int, x sample) {
	w.shedBits <<= 1
	w.ignoreColdSignal = w.ignoreColdSignal && x.coldSignal
	if w.state == unknown {
		w.state = warm
	}
	w.recordSpeed(at, s, x)
	if w.state != cold || w.slowBits&1 != 0 {
		return
	}
	hostLimit := s.hostPortion(w.level)
	if hostLimit == 0 || inFlight < hostLimit {
		return
	}
	w.progress++
	if w.progress >= w.successesToDouble(s, hostLimit) {
		w.doubleLevel(at, s, x.coldSignal)
	}
}

// successesToDouble returns how many successes at a full part double the level.
// Where the doubling lets other hosts send more, it is this host's part of the
// number in the document; where this host itself sends more, it is all of it,
// since this host does not know whether the others send anything.
func (w *warmUp) successesToDouble(s *Server, hostLimit int) int {
	all := s.leaf.service.doc.ColdStart.WarmAfter
	if s.hostPortion(2*w.level) > hostLimit {
		return all
	}
	return max(all*hostLimit/w.level, 1)
}

// recordSpeed records whether a result was slow in comparison to the peers.
func (w *warmUp) recordSpeed(at time.Duration, s *Server, x sample) {
	slow := x.latency > slowLatencyRatio*x.typicalLatency
	if x.censored && !slow {
		return
	}
	w.slowBits <<= 1
	if !slow {
		return
	}
	w.slowBits |= 1
	if bits.OnesCount8(w.slowBits) >= coldSlowCount && s.leaf.hasWarmPeer(s) {
		w.markCold(at, s)
	}
}

// recordShed records a refusal. It marks the server as cold if its peers answer
// meanwhile, and restarts the cold start of a cold server; in an overloaded
// service any server sheds, which says nothing about one.
func (w *warmUp) recordShed(at time.Duration, s *Server) {
	w.shedBits = w.shedBits<<1 | 1
	onlyThisServer := bits.OnesCount8(w.shedBits) >= coldShedCount && s.leaf.hasWarmPeer(s)
	if w.state == cold || (onlyThisServer && s.leaf.service.stats.refusedShare(at) < overloadRefusedShare) {
		w.markCold(at, s)
	}
}

// recordColdSignal marks a server that reports itself cold as cold, unless it
// has kept reporting that at the load of a warm server (see ignoreColdSignal).
func (w *warmUp) recordColdSignal(at time.Duration, s *Server) {
	if w.state != cold && !w.ignoreColdSignal {
		w.markCold(at, s)
	}
}

// hasWarmPeer reports whether another server of the leaf answers without
// shedding.
func (l *leaf) hasWarmPeer(except *Server) bool {
	for _, srv := range l.servers {
		if srv != except && srv.warmUp.state == warm && srv.warmUp.shedBits == 0 && srv.latency.mean > 0 {
			return true
		}
	}
	return false
}

// doubleLevel doubles the level; a server that takes all that this host may
// send is warm.
func (w *warmUp) doubleLevel(at time.Duration, s *Server, coldSignal bool) {
	w.level *= 2
	w.progress = 0
	w.since = at
	if s.hostPortion(w.level) >= min(s.ceiling, s.limiter.intLimit()) && s.ceiling > 0 {
		w.state = warm
		w.ignoreColdSignal = coldSignal
	}
}

// advance doubles the level once in each doublingInterval while this host may
// not send yet, to keep up with the hosts that may.
func (w *warmUp) advance(at time.Duration, s *Server) {
	if w.state != cold {
		return
	}
	if w.level == 0 {
		w.level = s.leaf.service.doc.ColdStart.Allowance
	}
	for s.hostPortion(w.level) == 0 && at-w.since >= doublingInterval && w.level < maxLevel {
		w.level *= 2
		w.since += doublingInterval
	}
}

// maxLevel is a level at which every host of a fleet may send.
const maxLevel = 1 << 16
