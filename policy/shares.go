package policy

import (
	"slices"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// allotment is this host's part of a backend server's capacity.
type allotment struct {
	// rank is this host's position among the sharers of the server.
	rank    int
	sharers int
	// liveRank and liveSharers are the same among hosts that take new work.
	liveRank    int
	liveSharers int
	// share is how many connections this host may hold.
	share int
	// ceiling is how many calls this host may have in flight.
	ceiling int
	// holders are hosts that hold connections to a server to which this host holds
	// none. They are valid in one epoch of the Router.
	holders      []*member
	holdersEpoch uint64
}

// Bounds of a host's calls to one backend server.
const (
	// maxInFlight bounds calls over multiplexed connections and through holders.
	maxInFlight = 64
	// maxHolders is the largest number of holders that a host spreads its calls
	// over.
	maxHolders = 8
)

// divisionEntry is a backend server that counts in dividing its leaf's
// connections.
type divisionEntry struct {
	srv *Server
	// since is when the server began to count.
	since time.Duration
	// until is when an inactive server ceases to count; 0 while it is active.
	until time.Duration
}

// updateDivision updates which servers share the leaf's connections: the active
// ones, and for a while those that have become inactive.
func (l *leaf) updateDivision(at, wait time.Duration) {
	for i := range l.division {
		d := &l.division[i]
		switch {
		case d.srv.active() && d.until != 0:
			d.since, d.until = at, 0
		case !d.srv.active() && d.until == 0:
			d.until = at + wait
		}
	}
	l.division = slices.DeleteFunc(l.division, func(d divisionEntry) bool {
		return d.until != 0 && d.until <= at
	})
	for _, srv := range l.servers {
		if srv.active() && l.entry(srv) == nil {
			l.division = append(l.division, divisionEntry{srv: srv, since: at})
		}
	}
}

func (l *leaf) entry(srv *Server) *divisionEntry {
	for i := range l.division {
		if l.division[i].srv == srv {
			return &l.division[i]
		}
	}
	return nil
}

// fleetConnections returns how many connections srv accepts from the whole
// fleet.
func (l *leaf) fleetConnections(at, wait time.Duration, srv *Server) int {
	if l.service.doc.ConnectionsOf == document.ConnectionsOfServer {
		return l.doc.Connections
	}
	d := l.entry(srv)
	if d == nil || at-d.since < wait {
		return 0
	}
	rank := 0
	for _, other := range l.division {
		if other.srv != srv && other.srv.sortsBefore(srv) {
			rank++
		}
	}
	return portion(l.doc.Connections, rank, len(l.division))
}

// sortsBefore orders the servers of a leaf; the order is the same on all hosts.
func (s *Server) sortsBefore(other *Server) bool {
	if s.hash != other.hash {
		return s.hash < other.hash
	}
	return s.ID+s.Address+s.DataCentre < other.ID+other.Address+other.DataCentre
}

// Advance applies changes that are due by time: it raises shares that had to
// wait and drops those of a view that is no longer valid. It reports whether
// Shares has changed since Advance last returned true or Apply was called.
func (r *Router) Advance(now time.Time) bool {
	at := r.at(now)
	if r.view == nil {
		return false
	}
	valid := r.view.Valid(now)
	if valid == r.sharesInForce && (r.nextShareAt == 0 || at < r.nextShareAt) {
		return false
	}
	return r.computeShares(at, valid)
}

// computeShares computes the allotment of every server and reports whether a
// share has changed.
func (r *Router) computeShares(at time.Duration, valid bool) bool {
	r.updateRanks(nil, r.fleet.removeDeparted(at))
	r.epoch++
	r.sharesInForce = valid
	r.hasPeerHolders = r.countEstablishedPeers(at) > 0
	r.inactive = r.fleet.inactive()
	r.nextShareAt = r.fleet.nextChange(at)
	changed := false
	for _, l := range r.leaves {
		l.updateDivision(at, r.fleet.joinWait())
		r.nextShareAt = earlier(r.nextShareAt, l.nextDivision(at, r.fleet.joinWait()))
		for _, srv := range l.servers {
			changed = r.allot(at, srv) || changed
		}
	}
	return changed
}

// nextDivision returns when the division next changes by time alone, or 0.
func (l *leaf) nextDivision(at, wait time.Duration) time.Duration {
	var next time.Duration
	for _, d := range l.division {
		due := d.until
		if due == 0 {
			due = d.since + wait
		}
		if due > at {
			next = earlier(next, due)
		}
	}
	return next
}

func earlier(a, b time.Duration) time.Duration {
	if a == 0 || (b != 0 && b < a) {
		return b
	}
	return a
}

// allot computes the allotment of one server and reports whether its share has
// changed.
func (r *Router) allot(at time.Duration, srv *Server) bool {
	old := srv.share
	doc := srv.leaf.service.doc
	srv.share, srv.ceiling = 0, 0
	srv.sharers = r.fleet.size()
	srv.liveSharers = max(srv.sharers-len(r.inactive), 1)
	srv.liveRank = srv.rank - countPreceding(r.inactive, r.fleet.self, srv)
	if !srv.active() || !r.sharesInForce {
		return old != 0
	}
	total := srv.leaf.fleetConnections(at, r.fleet.joinWait(), srv)
	unit := max(r.opts.HolderConnections, 1)
	if r.fleet.joined(at) {
		srv.share = unit * portion(total/unit, srv.rank, srv.sharers)
		srv.ceiling = r.callCeiling(doc, srv)
	}
	if srv.ceiling == 0 {
		srv.share = 0
	}
	if srv.share == 0 && r.hasPeerHolders && total > 0 {
		srv.ceiling = min(total, maxInFlight)
	}
	return old != srv.share
}

// callCeiling returns how many calls the host's share of connections can carry.
func (r *Router) callCeiling(doc *document.Service, srv *Server) int {
	n := srv.share
	if doc.Protocol == document.HTTP2 {
		n *= maxInFlight
	}
	if doc.SlotsMean == document.SlotsAreConcurrency {
		n = min(n, portion(srv.leaf.doc.Slots, srv.rank, srv.sharers))
	}
	return n
}

// updateRanks adjusts this host's rank for every server to the members added
// and removed.
func (r *Router) updateRanks(added, removed []*member) {
	self := r.fleet.self
	if self == nil || len(added)+len(removed) == 0 {
		return
	}
	for _, l := range r.leaves {
		for _, srv := range l.servers {
			srv.rank += countPreceding(added, self, srv) - countPreceding(removed, self, srv)
		}
	}
}

// countPreceding returns how many members of the list precede self in sharing
// srv.
func countPreceding(list []*member, self *member, srv *Server) int {
	if self == nil {
		return 0
	}
	n := 0
	for _, m := range list {
		if m != self && precedes(m, self, srv) {
			n++
		}
	}
	return n
}

// Share is how many connections this host may hold to a backend server.
type Share struct {
	Server      *Server
	Connections int
	Protocol    document.Protocol
}

// Shares returns the connections to keep open, for every server to which this
// host may hold any.
func (r *Router) Shares() []Share {
	out := make([]Share, 0, len(r.leaves))
	for _, l := range r.leaves {
		for _, srv := range l.servers {
			if srv.share > 0 {
				out = append(out, Share{Server: srv, Connections: srv.share, Protocol: l.service.doc.Protocol})
			}
		}
	}
	return out
}

// Holder returns a host that holds connections to srv. It is the zero Host if
// this host holds some itself or no holder is known.
func (r *Router) Holder(srv *Server) view.Host {
	if srv.share > 0 {
		return view.Host{}
	}
	if srv.holdersEpoch != r.epoch {
		srv.holders = r.findHolders(srv)
		srv.holdersEpoch = r.epoch
	}
	return r.randomHolder(srv.holders)
}

// randomHolder returns a random host of the list, if possible one without a
// recent failure.
func (r *Router) randomHolder(list []*member) view.Host {
	if len(list) == 0 {
		return view.Host{}
	}
	first := r.opts.Rand.IntN(len(list))
	for i := range list {
		if m := list[(first+i)%len(list)]; m.avoidUntil <= r.last {
			return m.host
		}
	}
	return list[first].host
}

// avoidFor is how long a holder that could not be reached is avoided.
const avoidFor = 2 * time.Second

// HolderFailed records that a call through a holder failed before it reached
// the server.
func (r *Router) HolderFailed(now time.Time, id string) {
	at := r.at(now)
	if m := r.fleet.byID[id]; m != nil {
		m.avoidUntil = at + avoidFor
	}
}

// findHolders returns some of the established hosts that rank first for srv;
// each host uses a different selection of them.
func (r *Router) findHolders(srv *Server) []*member {
	n := r.holderCount(srv)
	list := r.establishedPeers(func(m *member) bool { return m.dataCentreHash == srv.dataCentreHash })
	if len(list) < n {
		list = r.establishedPeers(func(*member) bool { return true })
	}
	slices.SortFunc(list, func(a, b *member) int {
		if precedes(a, b, srv) {
			return -1
		}
		return 1
	})
	list = list[:min(len(list), n)]
	if len(list) <= maxHolders {
		return list
	}
	return spread(list, rendezvous(r.selfHash, srv.hash), maxHolders)
}

// establishedPeers returns the established peers that accept selects.
func (r *Router) establishedPeers(accept func(*member) bool) []*member {
	var list []*member
	for _, m := range r.fleet.members {
		if m != r.fleet.self && accept(m) && r.fleet.established(r.last, m) {
			list = append(list, m)
		}
	}
	return list
}

// spread returns n members at even distances in the list, starting at a
// position given by the hash.
func spread(list []*member, hash uint64, n int) []*member {
	out := make([]*member, n)
	start := int(hash % uint64(len(list)))
	for i := range out {
		out[i] = list[(start+i*len(list)/n)%len(list)]
	}
	return out
}

// holderCount returns how many hosts hold connections to srv.
func (r *Router) holderCount(srv *Server) int {
	total := srv.leaf.fleetConnections(r.last, r.fleet.joinWait(), srv)
	n := total / max(r.opts.HolderConnections, 1)
	if srv.leaf.service.doc.SlotsMean == document.SlotsAreConcurrency {
		n = min(n, srv.leaf.doc.Slots)
	}
	return n
}

// countEstablishedPeers returns how many peers could hold connections for this
// host.
func (r *Router) countEstablishedPeers(at time.Duration) int {
	n := 0
	for _, m := range r.fleet.members {
		if m != r.fleet.self && r.fleet.established(at, m) {
			n++
		}
	}
	return n
}
