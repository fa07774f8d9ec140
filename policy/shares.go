package policy

import (
	"slices"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// allotment is this host's part of what a backend server offers the fleet.
type allotment struct {
	// rank is this host's place among the sharers of the server.
	rank    int
	sharers int
	// liveRank and live are the same among hosts that take new work.
	liveRank int
	live     int
	// share is how many connections this host may hold.
	share int
	// ceiling is how many calls this host may have in flight.
	ceiling int
	// holders are hosts that hold connections where this one holds none;
	// they are valid for one epoch of the Router.
	holders      []*member
	holdersEpoch uint64
}

// Bounds of a host's calls in flight to one backend server.
const (
	// maxInFlight holds over multiplexed connections and through holders.
	maxInFlight = 64
	// maxHolders is over how many holders a host spreads calls to a server.
	maxHolders = 8
)

// divided is a backend server that counts in dividing its leaf's connections.
type divided struct {
	srv *Server
	// since is when it began to count.
	since time.Duration
	// until is when a server that gets no more work ceases to count; 0 while
	// it is active.
	until time.Duration
}

// divide updates which servers share the leaf's connections: those that get
// work, and for a while those that did.
func (l *leaf) divide(at, wait time.Duration) {
	for i := range l.division {
		d := &l.division[i]
		switch {
		case d.srv.active() && d.until != 0:
			d.since, d.until = at, 0
		case !d.srv.active() && d.until == 0:
			d.until = at + wait
		}
	}
	l.division = slices.DeleteFunc(l.division, func(d divided) bool {
		return d.until != 0 && d.until <= at
	})
	for _, srv := range l.servers {
		if srv.active() && l.entry(srv) == nil {
			l.division = append(l.division, divided{srv: srv, since: at})
		}
	}
}

func (l *leaf) entry(srv *Server) *divided {
	for i := range l.division {
		if l.division[i].srv == srv {
			return &l.division[i]
		}
	}
	return nil
}

// connections returns how many connections srv takes from the whole fleet.
func (l *leaf) connections(at, wait time.Duration, srv *Server) int {
	if l.service.doc.ConnectionsOf == document.ConnectionsOfServer {
		return l.doc.Connections
	}
	d := l.entry(srv)
	if d == nil || at-d.since < wait {
		return 0
	}
	rank := 0
	for _, other := range l.division {
		if other.srv != srv && other.srv.before(srv) {
			rank++
		}
	}
	return portion(l.doc.Connections, rank, len(l.division))
}

// before orders servers of a leaf alike on all hosts.
func (s *Server) before(other *Server) bool {
	if s.hash != other.hash {
		return s.hash < other.hash
	}
	return s.ID+s.Address+s.DataCentre < other.ID+other.Address+other.DataCentre
}

// Advance does what the passing of time calls for: it lets shares grow that
// had to wait and drops those of a view that is no longer valid. It reports
// whether Shares has changed since it last returned true or Apply was called.
func (r *Router) Advance(now time.Time) bool {
	at := r.at(now)
	if r.view == nil {
		return false
	}
	valid := r.view.Valid(now)
	if valid == r.sharing && (r.nextShare == 0 || at < r.nextShare) {
		return false
	}
	return r.share(at, valid)
}

// share works out every server's allotment and reports whether one changed.
func (r *Router) share(at time.Duration, valid bool) bool {
	r.rankChanges(nil, r.fleet.forget(at))
	r.epoch++
	r.sharing = valid
	r.relays = r.countRelays(at) > 0
	r.absent = r.fleet.absent()
	r.nextShare = r.fleet.next(at)
	changed := false
	for _, l := range r.leaves {
		l.divide(at, r.fleet.joinWait())
		r.nextShare = earlier(r.nextShare, l.nextDivision(at, r.fleet.joinWait()))
		for _, srv := range l.servers {
			changed = r.allot(at, srv) || changed
		}
	}
	return changed
}

// nextDivision returns when the division changes by time alone, or 0.
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

// allot works out one server's allotment and reports whether the share
// changed.
func (r *Router) allot(at time.Duration, srv *Server) bool {
	old := srv.share
	doc := srv.leaf.service.doc
	srv.share, srv.ceiling = 0, 0
	srv.sharers = r.fleet.size()
	srv.live = max(srv.sharers-len(r.absent), 1)
	srv.liveRank = srv.rank - preceding(r.absent, r.fleet.self, srv)
	if !srv.active() || !r.sharing {
		return old != 0
	}
	total := srv.leaf.connections(at, r.fleet.joinWait(), srv)
	unit := max(r.opts.HolderConnections, 1)
	if r.fleet.joined(at) {
		srv.share = unit * portion(total/unit, srv.rank, srv.sharers)
		srv.ceiling = r.callCeiling(doc, srv)
	}
	if srv.ceiling == 0 {
		srv.share = 0
	}
	if srv.share == 0 && r.relays && total > 0 {
		srv.ceiling = min(total, maxInFlight)
	}
	return old != srv.share
}

// callCeiling returns how many calls fit in the connections held.
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

// rankChanges moves this host's rank at every server past the members that
// came and went.
func (r *Router) rankChanges(came, went []*member) {
	self := r.fleet.self
	if self == nil || len(came)+len(went) == 0 {
		return
	}
	for _, l := range r.leaves {
		for _, srv := range l.servers {
			srv.rank += preceding(came, self, srv) - preceding(went, self, srv)
		}
	}
}

// preceding returns how many of the list come before self in sharing srv.
func preceding(list []*member, self *member, srv *Server) int {
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

// Shares returns the connections to hold ahead of need, for every server that
// this host holds any to. A server that is missing gets none.
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

// Holder returns a host that holds connections to srv: the zero Host where
// this host does, or where none is known.
func (r *Router) Holder(srv *Server) view.Host {
	if srv.share > 0 {
		return view.Host{}
	}
	if srv.holdersEpoch != r.epoch {
		srv.holders = r.findHolders(srv)
		srv.holdersEpoch = r.epoch
	}
	return r.anyHolder(srv.holders)
}

// anyHolder returns one of the hosts at random, where possible one that has
// not failed of late.
func (r *Router) anyHolder(list []*member) view.Host {
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

// HolderFailed records that a call through the host failed on the way.
func (r *Router) HolderFailed(now time.Time, id string) {
	at := r.at(now)
	if m := r.fleet.byID[id]; m != nil {
		m.avoidUntil = at + avoidFor
	}
}

// findHolders returns some of the established hosts that come first in
// sharing srv; each host spreads its calls over others of them.
func (r *Router) findHolders(srv *Server) []*member {
	n := r.holderCount(srv)
	list := r.candidates(func(m *member) bool { return m.centre == srv.centre })
	if len(list) < n {
		list = r.candidates(func(*member) bool { return true })
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

// candidates returns the established peers that want accepts.
func (r *Router) candidates(want func(*member) bool) []*member {
	var list []*member
	for _, m := range r.fleet.members {
		if m != r.fleet.self && want(m) && r.fleet.established(r.last, m) {
			list = append(list, m)
		}
	}
	return list
}

// spread returns n members of the list, evenly apart from a start that the
// hash gives.
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
	total := srv.leaf.connections(r.last, r.fleet.joinWait(), srv)
	n := total / max(r.opts.HolderConnections, 1)
	if srv.leaf.service.doc.SlotsMean == document.SlotsAreConcurrency {
		n = min(n, srv.leaf.doc.Slots)
	}
	return n
}

// countRelays returns how many peers could hold connections for this host.
func (r *Router) countRelays(at time.Duration) int {
	n := 0
	for _, m := range r.fleet.members {
		if m != r.fleet.self && r.fleet.established(at, m) {
			n++
		}
	}
	return n
}
