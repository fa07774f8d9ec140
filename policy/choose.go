package policy

import "time"

// PickInfo describes the leaf call that Pick selects a server for.
type PickInfo struct {
	Service string
	Leaf    string
	// Tried servers are not picked again.
	Tried []*Server
	// Fingerprint identifies what the request does; it is the same for each resend
	// by the caller.
	Fingerprint uint64
	// Command marks a call that must not be repeated.
	Command bool
	// Hedge marks a second attempt beside a running one.
	Hedge bool
}

// canExplore reports whether the call may be used to warm up a cold server.
func (p PickInfo) canExplore() bool { return !p.Hedge && !p.Command && len(p.Tried) == 0 }

// Reason tells why no backend server could be picked.
type Reason string

// Reasons for picking no server.
const (
	Picked         Reason = ""
	NoServer       Reason = "no_server"       // the leaf has no server left to try
	AllOut         Reason = "all_out"         // all data centres are out or all servers leaving
	AllBusy        Reason = "all_busy"        // all servers are at their limits
	AllDown        Reason = "all_down"        // no server can be reached
	AllCold        Reason = "all_cold"        // the allowance of the cold servers is used up
	AllBackingOff  Reason = "all_backing_off" // all servers have asked this host to back off
	AllLimited     Reason = "all_limited"     // the request limits of the servers are used up
	CrashSuspect   Reason = "crash_suspect"   // the request has crashed servers
	StaleView      Reason = "stale_view"      // the view is no longer valid
	UnknownLeaf    Reason = "unknown_leaf"
	UnknownService Reason = "unknown_service"
)

// Weights of a server's cost.
const (
	// remoteFactor is the cost factor of a server in another data centre, on top
	// of its latency, so that calls cross data centres only for a clear gain.
	remoteFactor = 1.5
	// equalCostRatio is the ratio of costs within which servers count as equal.
	equalCostRatio = 1.1
	// failureFactor is the added cost of one recent failure, relative to the cost
	// without it.
	failureFactor = 4
	// defaultLatency is assumed where no server of a leaf has been measured yet.
	defaultLatency = 5 * time.Millisecond
	// exploreOdds: one in so many calls goes to a cold server that can take it, so
	// that it warms up while others do the work.
	exploreOdds = 8
	// exploreSlowOdds applies instead while the cold server's last answer was
	// slow.
	exploreSlowOdds = 64
)

// Pick returns the backend server for a leaf call, or nil and the reason. The
// caller follows with Begin when it sends the call.
func (r *Router) Pick(now time.Time, p PickInfo) (*Server, Reason) {
	at := r.at(now)
	if !r.view.Valid(now) {
		return nil, StaleView
	}
	s := r.services[p.Service]
	if s == nil {
		return nil, UnknownService
	}
	l := s.leaves[p.Leaf]
	if l == nil {
		return nil, UnknownLeaf
	}
	if reason := r.suspects.refusalReason(at, l, p); reason != Picked {
		return nil, reason
	}
	srv, reason := r.choose(at, l, p)
	if srv != nil {
		r.suspects.recordPick(at, l, p)
	}
	s.stats.recordPick(at, reason)
	return srv, reason
}

// maxCandidates bounds how many servers of a leaf one pick compares.
const maxCandidates = 32

// candidate is a server below its limit, and the cost of one more call to it.
type candidate struct {
	srv  *Server
	cost float64
}

// selection is the state of one pass over a leaf's servers.
type selection struct {
	candidates [maxCandidates]candidate
	count      int
	// coldServer is a cold server below its limit.
	coldServer *Server
	// ejected is the server whose ejection ends first. anyFull is set where a
	// server that is not ejected is at its limit, which is worth waiting for.
	ejected *Server
	anyFull bool
	reason  Reason
}

func (r *Router) choose(at time.Duration, l *leaf, p PickInfo) (*Server, Reason) {
	c := selection{reason: NoServer}
	typicalLatency := l.typicalLatency(nil)
	for _, srv := range l.servers {
		if !contains(p.Tried, srv) {
			r.evaluate(at, &c, srv, typicalLatency)
		}
	}
	return r.decide(&c, p)
}

// evaluate adds one server to the selection, or the reason why it may not get
// the call.
func (r *Router) evaluate(at time.Duration, c *selection, srv *Server, typicalLatency time.Duration) {
	if !srv.active() {
		c.addReason(AllOut)
		return
	}
	if srv.inFlight >= r.inFlightLimit(at, srv) {
		c.anyFull = c.anyFull || !srv.health.isEjected(at)
		c.addReason(srv.fullReason())
		return
	}
	if srv.health.isEjected(at) {
		c.considerProbe(srv)
		c.addReason(AllBusy)
		return
	}
	if srv.warmUp.state == cold && (c.coldServer == nil || srv.inFlight < c.coldServer.inFlight) {
		c.coldServer = srv
	}
	if c.count < maxCandidates {
		c.candidates[c.count] = candidate{srv, r.cost(at, srv, typicalLatency)}
		c.count++
	}
}

// considerProbe keeps the server whose ejection ends first; it gets one probe
// at a time.
func (s *selection) considerProbe(srv *Server) {
	if srv.inFlight == 0 && (s.ejected == nil || srv.health.ejectedUntil < s.ejected.health.ejectedUntil) {
		s.ejected = srv
	}
}

// inFlightLimit returns how many calls srv may have in flight from this host
// now.
func (r *Router) inFlightLimit(at time.Duration, srv *Server) int {
	srv.warmUp.advance(at, srv)
	switch {
	case r.opts.disabled.coldStart && r.opts.disabled.limiter:
		return srv.ceiling
	case r.opts.disabled.coldStart:
		return min(srv.ceiling, srv.limiter.intLimit())
	case r.opts.disabled.limiter:
		return min(srv.ceiling, srv.warmUpLimit())
	}
	return min(srv.ceiling, srv.limiter.intLimit(), srv.warmUpLimit())
}

// fullReason returns why a server is at its limit.
func (s *Server) fullReason() Reason {
	if s.warmUp.state == cold && s.ceiling > 0 {
		return AllCold
	}
	return AllBusy
}

// cost returns the cost of one more call to srv; the lowest wins.
func (r *Router) cost(at time.Duration, srv *Server, typicalLatency time.Duration) float64 {
	if r.opts.disabled.scoring {
		return 0
	}
	cost := float64(srv.latency.estimate(at, typicalLatency)) * float64(srv.inFlight+1)
	cost *= 1 + failureFactor*srv.health.currentPenalty(at)
	if !srv.local {
		cost *= remoteFactor
	}
	return cost
}

// addReason keeps the reason that is most likely to pass soon.
func (s *selection) addReason(reason Reason) {
	if reasonRank(reason) > reasonRank(s.reason) {
		s.reason = reason
	}
}

func reasonRank(r Reason) int {
	switch r {
	case AllOut:
		return 1
	case AllDown:
		return 2
	case AllBackingOff:
		return 3
	case AllLimited:
		return 4
	case AllCold:
		return 5
	case AllBusy:
		return 6
	}
	return 0
}

func (r *Router) decide(c *selection, p PickInfo) (*Server, Reason) {
	switch {
	case c.count == 0 && c.ejected != nil && !c.anyFull:
		return c.ejected, Picked
	case c.count == 0:
		return nil, c.reason
	case c.coldServer != nil && p.canExplore() && r.opts.Rand.IntN(c.coldServer.exploreOdds()) == 0:
		return c.coldServer, Picked
	}
	return r.leastCost(c.candidates[:c.count]), Picked
}

// exploreOdds returns the odds, as one in so many, that a call goes to this
// cold server to warm it up.
func (s *Server) exploreOdds() int {
	if s.warmUp.slowBits&1 != 0 {
		return exploreSlowOdds
	}
	return exploreOdds
}

// leastCost returns a random one of the servers whose cost is close to the
// lowest, so that hosts with similar observations do not all choose the same
// server.
func (r *Router) leastCost(list []candidate) *Server {
	least := list[0].cost
	for _, c := range list {
		least = min(least, c.cost)
	}
	n := 0
	for _, c := range list {
		if c.cost <= least*equalCostRatio {
			list[n] = c
			n++
		}
	}
	return list[r.opts.Rand.IntN(n)].srv
}

// typicalLatency returns the average latency of the leaf's servers that are not
// cold, leaving out one.
func (l *leaf) typicalLatency(except *Server) time.Duration {
	var sum time.Duration
	n := 0
	for _, srv := range l.servers {
		if srv != except && srv.latency.mean > 0 && srv.warmUp.state != cold {
			sum += srv.latency.mean
			n++
		}
	}
	if n == 0 {
		return defaultLatency
	}
	return sum / time.Duration(n)
}
