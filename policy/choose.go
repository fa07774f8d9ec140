package policy

import "time"

// PickInfo asks for a backend server for one leaf call.
type PickInfo struct {
	Service string
	Leaf    string
	// Tried servers are not picked again.
	Tried []*Server
	// Fingerprint identifies what the request does, however often its caller
	// resends it.
	Fingerprint uint64
	// Command marks work that may not be repeated.
	Command bool
	// Hedge marks a second attempt beside a running one.
	Hedge bool
}

// first reports whether the call may go to a server for the server's sake.
func (p PickInfo) first() bool { return !p.Hedge && !p.Command && len(p.Tried) == 0 }

// Reason tells why no backend server could be picked.
type Reason string

// Reasons for picking none.
const (
	Picked         Reason = ""
	NoServer       Reason = "no_server"       // the leaf has none left to try
	AllOut         Reason = "all_out"         // data centres out or servers leaving
	AllBusy        Reason = "all_busy"        // limits of all servers reached
	AllDown        Reason = "all_down"        // no server can be reached
	AllCold        Reason = "all_cold"        // allowance of cold servers reached
	AllBackingOff  Reason = "all_backing_off" // all have asked for back-off
	CrashSuspect   Reason = "crash_suspect"   // the request has crashed servers
	StaleView      Reason = "stale_view"      // the view may not be acted on
	UnknownLeaf    Reason = "unknown_leaf"
	UnknownService Reason = "unknown_service"
)

// Weights of a server's cost.
const (
	// awayFactor is what a server in another data centre costs beyond its
	// latency, so that work crosses over only for a clear gain.
	awayFactor = 1.5
	// aboutEqual is the ratio of costs within which servers count as equal.
	aboutEqual = 1.1
	// failureFactor is what one recent failure adds.
	failureFactor = 4
	// defaultLatency stands for a server that nobody has asked yet.
	defaultLatency = 5 * time.Millisecond
	// exploreOdds is how often, as one in so many, a cold server with room
	// gets the call, so that it warms up while others do the work.
	exploreOdds = 8
	// exploreSlowOdds holds while its last answer was slow.
	exploreSlowOdds = 64
)

// Pick returns the backend server for a leaf call, or nil and why. The caller
// follows with Begin when it sends the call.
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
	if reason := r.suspects.reason(at, l, p); reason != Picked {
		return nil, reason
	}
	srv, reason := r.choose(at, l, p)
	if srv != nil {
		r.suspects.picked(at, l, p)
	}
	s.flow.picked(at, reason)
	return srv, reason
}

// maxCandidates bounds how many servers of a leaf one pick weighs.
const maxCandidates = 32

// candidate is a server with room and what one more call to it costs.
type candidate struct {
	srv  *Server
	cost float64
}

// choice is the state of one pass over a leaf's servers.
type choice struct {
	candidates [maxCandidates]candidate
	count      int
	// cold is a cold server with room.
	cold *Server
	// ejected is the server that comes back first; full is set where another
	// one has only no room now, which is worth waiting for.
	ejected *Server
	full    bool
	reason  Reason
}

func (r *Router) choose(at time.Duration, l *leaf, p PickInfo) (*Server, Reason) {
	c := choice{reason: NoServer}
	peers := l.typical(nil)
	for _, srv := range l.servers {
		if !contains(p.Tried, srv) {
			r.consider(at, &c, srv, peers)
		}
	}
	return r.decide(&c, p)
}

// consider weighs one server.
func (r *Router) consider(at time.Duration, c *choice, srv *Server, peers time.Duration) {
	if !srv.active() {
		c.explain(AllOut)
		return
	}
	if srv.inFlight >= r.bound(at, srv) {
		c.full = c.full || !srv.health.ejected(at)
		c.explain(srv.fullReason())
		return
	}
	if srv.health.ejected(at) {
		c.probe(srv)
		c.explain(AllBusy)
		return
	}
	if srv.warmth.state == cold && (c.cold == nil || srv.inFlight < c.cold.inFlight) {
		c.cold = srv
	}
	if c.count < maxCandidates {
		c.candidates[c.count] = candidate{srv, r.cost(at, srv, peers)}
		c.count++
	}
}

// probe keeps the ejected server that comes back first, for one call at a time.
func (c *choice) probe(srv *Server) {
	if srv.inFlight == 0 && (c.ejected == nil || srv.health.until < c.ejected.health.until) {
		c.ejected = srv
	}
}

// bound returns how many calls srv may have in flight from this host now.
func (r *Router) bound(at time.Duration, srv *Server) int {
	srv.warmth.advance(at, srv)
	switch {
	case r.opts.without.coldStart && r.opts.without.limiter:
		return srv.ceiling
	case r.opts.without.coldStart:
		return min(srv.ceiling, srv.limiter.whole())
	case r.opts.without.limiter:
		return min(srv.ceiling, srv.warmBound())
	}
	return min(srv.ceiling, srv.limiter.whole(), srv.warmBound())
}

// fullReason tells why a server without room has none.
func (s *Server) fullReason() Reason {
	if s.warmth.state == cold && s.ceiling > 0 {
		return AllCold
	}
	return AllBusy
}

// cost of sending one more call to srv; the least wins.
func (r *Router) cost(at time.Duration, srv *Server, peers time.Duration) float64 {
	if r.opts.without.scoring {
		return 0
	}
	cost := float64(srv.latency.estimate(at, peers)) * float64(srv.inFlight+1)
	cost *= 1 + failureFactor*srv.health.recent(at)
	if !srv.home {
		cost *= awayFactor
	}
	return cost
}

// explain keeps the reason that leaves the most hope.
func (c *choice) explain(reason Reason) {
	if hope(reason) > hope(c.reason) {
		c.reason = reason
	}
}

func hope(r Reason) int {
	switch r {
	case AllOut:
		return 1
	case AllDown:
		return 2
	case AllBackingOff:
		return 3
	case AllCold:
		return 4
	case AllBusy:
		return 5
	}
	return 0
}

func (r *Router) decide(c *choice, p PickInfo) (*Server, Reason) {
	switch {
	case c.count == 0 && c.ejected != nil && !c.full:
		return c.ejected, Picked
	case c.count == 0:
		return nil, c.reason
	case c.cold != nil && p.first() && r.opts.Rand.IntN(c.cold.exploreOdds()) == 0:
		return c.cold, Picked
	}
	return r.cheapest(c.candidates[:c.count]), Picked
}

// exploreOdds returns how rarely a cold server gets a call for its own sake.
func (s *Server) exploreOdds() int {
	if s.warmth.slow&1 != 0 {
		return exploreSlowOdds
	}
	return exploreOdds
}

// cheapest returns one of the servers whose cost is about the least, so that
// hosts with about the same experience do not all choose the same server.
func (r *Router) cheapest(list []candidate) *Server {
	least := list[0].cost
	for _, c := range list {
		least = min(least, c.cost)
	}
	n := 0
	for _, c := range list {
		if c.cost <= least*aboutEqual {
			list[n] = c
			n++
		}
	}
	return list[r.opts.Rand.IntN(n)].srv
}

// typical returns the mean latency of the leaf's healthy servers but one.
func (l *leaf) typical(but *Server) time.Duration {
	var sum time.Duration
	n := 0
	for _, srv := range l.servers {
		if srv != but && srv.latency.mean > 0 && srv.warmth.state != cold {
			sum += srv.latency.mean
			n++
		}
	}
	if n == 0 {
		return defaultLatency
	}
	return sum / time.Duration(n)
}
