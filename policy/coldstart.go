package policy

import (
	"math"
	"math/bits"
	"time"
)

// state tells how much work a server is taken to bear.
type state int

const (
	// unknown servers have not answered this host yet.
	unknown state = iota
	warm
	cold
)

// Times and bounds of cold start.
const (
	// slowFactor is how many times its peers' latency marks a slow answer.
	slowFactor = 3
	// slowOfEight and shedOfEight of the last eight results show a cold server
	// while its peers do well.
	slowOfEight = 5
	shedOfEight = 2
	// widenAfter is how long a host that may not send to a cold server yet
	// takes one doubling to last on the hosts that may.
	widenAfter = 3 * time.Second
)

// warmth is how far a server has come from its cold start. Its level is how
// many calls at once this host takes the server to bear from the whole fleet;
// the hosts that come first in sharing the server send its parts.
type warmth struct {
	state state
	level int
	// progress is the successes at a full part since the level was reached.
	progress int
	// since is when the level was reached.
	since time.Duration
	// slow and sheds hold the last eight results, one bit each.
	slow  uint8
	sheds uint8
	// disbelieved is set for a server that still said it was cold when it bore
	// a warm server's work; it holds until the server stops saying so.
	disbelieved bool
}

// sample is one result as far as warmth is concerned.
type sample struct {
	latency time.Duration
	peers   time.Duration
	// censored samples ended before the server answered.
	censored bool
	saidCold bool
}

// meet starts the record of a server. Where its leaf's other servers are
// known, a server that turns up has just started.
func (w *warmth) meet(at time.Duration, othersKnown bool) {
	if othersKnown {
		w.state = cold
		w.since = at
	}
}

// chill takes the server for cold from now on.
func (w *warmth) chill(at time.Duration, s *Server) {
	w.state = cold
	w.level = s.leaf.service.doc.ColdStart.Allowance
	w.progress = 0
	w.since = at
	w.slow, w.sheds = 0, 0
}

// portionOf returns how many calls at once are this host's of a level.
func (s *Server) portionOf(level int) int { return portion(level, s.liveRank, s.live) }

// warmBound returns how many calls the server's warmth allows this host.
func (s *Server) warmBound() int {
	switch s.warmth.state {
	case cold:
		return s.portionOf(s.warmth.level)
	case unknown:
		return s.leaf.firstBound()
	}
	return math.MaxInt
}

// firstBound returns how many calls a server may get before its first answer:
// one while its peers are known, any number while the whole leaf is new.
func (l *leaf) firstBound() int {
	known := 0
	for _, srv := range l.servers {
		if srv.warmth.state != unknown {
			known++
		}
	}
	if 2*known <= len(l.servers) {
		return math.MaxInt
	}
	return 1
}

// answered takes in an answer with busy calls in flight.
func (w *warmth) answered(at time.Duration, s *Server, busy int, x sample) {
	w.sheds <<= 1
	w.disbelieved = w.disbelieved && x.saidCold
	if w.state == unknown {
		w.state = warm
	}
	w.note(at, s, x)
	if w.state != cold || w.slow&1 != 0 {
		return
	}
	part := s.portionOf(w.level)
	if part == 0 || busy < part {
		return
	}
	w.progress++
	if w.progress >= w.quota(s, part) {
		w.rise(at, s, x.saidCold)
	}
}

// quota returns how many successes at a full part double the level: this
// host's part of the document's number where other hosts will send more by
// it, and all of it where this host itself will, since it does not know
// whether the others send anything.
func (w *warmth) quota(s *Server, part int) int {
	all := s.leaf.service.doc.ColdStart.WarmAfter
	if s.portionOf(2*w.level) > part {
		return all
	}
	return max(all*part/w.level, 1)
}

// note records whether a result was slow against the peers.
func (w *warmth) note(at time.Duration, s *Server, x sample) {
	slow := x.latency > slowFactor*x.peers
	if x.censored && !slow {
		return
	}
	w.slow <<= 1
	if !slow {
		return
	}
	w.slow |= 1
	if bits.OnesCount8(w.slow) >= slowOfEight && s.leaf.peersAnswer(s) {
		w.chill(at, s)
	}
}

// shed records a refusal. It shows a cold server while its peers answer, or
// when it is known to be cold; a service that is overloaded sheds anywhere.
func (w *warmth) shed(at time.Duration, s *Server) {
	w.sheds = w.sheds<<1 | 1
	alone := bits.OnesCount8(w.sheds) >= shedOfEight && s.leaf.peersAnswer(s)
	if w.state == cold || (alone && s.leaf.service.flow.overload(at) < hedgeOverload) {
		w.chill(at, s)
	}
}

// saidCold takes in that the server calls itself cold. A server that does so
// while it does as well as a warm one is not believed twice.
func (w *warmth) saidCold(at time.Duration, s *Server) {
	if w.state != cold && !w.disbelieved {
		w.chill(at, s)
	}
}

// peersAnswer reports whether another server of the leaf works without
// shedding.
func (l *leaf) peersAnswer(but *Server) bool {
	for _, srv := range l.servers {
		if srv != but && srv.warmth.state == warm && srv.warmth.sheds == 0 && srv.latency.mean > 0 {
			return true
		}
	}
	return false
}

// rise doubles the level; a server that bears all this host may send is warm.
func (w *warmth) rise(at time.Duration, s *Server, saidCold bool) {
	w.level *= 2
	w.progress = 0
	w.since = at
	if s.portionOf(w.level) >= min(s.ceiling, s.limiter.whole()) && s.ceiling > 0 {
		w.state = warm
		w.disbelieved = saidCold
	}
}

// advance lets a host that may not send yet follow the hosts that may.
func (w *warmth) advance(at time.Duration, s *Server) {
	if w.state != cold {
		return
	}
	if w.level == 0 {
		w.level = s.leaf.service.doc.ColdStart.Allowance
	}
	for s.portionOf(w.level) == 0 && at-w.since >= widenAfter && w.level < maxLevel {
		w.level *= 2
		w.since += widenAfter
	}
}

// maxLevel is a level at which every host of a fleet may send.
const maxLevel = 1 << 16
