package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/view"
)

// DefaultShareLag is how late a host may act on a change of the host list or
// of a document, at most: a view that is older is not valid.
const DefaultShareLag = 3 * time.Second

// Waits, as multiples of Options.ShareLag.
const (
	// joinLags is how long a newcomer waits for the others to make room.
	joinLags = 2
	// memoryLags is how long a host that is no longer listed counts.
	memoryLags = 10
)

// member is a host that holds connections, or may still hold some.
type member struct {
	host view.Host
	hash uint64
	// centre is the hash of the host's data centre.
	centre uint64
	// first is when this host first saw the member listed.
	first  time.Duration
	listed bool
	// gone is when this host first saw it no longer listed.
	gone time.Duration
	// avoidUntil is set while calls through the host are failing.
	avoidUntil time.Duration
	// round of the last view that listed it.
	round uint64
}

// fleet remembers the hosts that share the backend servers.
type fleet struct {
	lag     time.Duration
	self    *member
	members []*member
	byID    map[string]*member
	// began is when the first view came: members of it are taken as old.
	began time.Duration
	round uint64
}

func newFleet(lag time.Duration) *fleet {
	return &fleet{lag: lag, byID: make(map[string]*member)}
}

func (f *fleet) joinWait() time.Duration { return joinLags * f.lag }

func (f *fleet) memory() time.Duration { return memoryLags * f.lag }

// size returns how many hosts share, at least 1.
func (f *fleet) size() int { return max(len(f.members), 1) }

// update takes in a view's hosts and returns which members came and went.
func (f *fleet) update(at time.Duration, v *view.View) (came, went []*member) {
	if f.round == 0 {
		f.began = at
	}
	f.round++
	for _, h := range v.Hosts {
		if h.ID == v.Self.ID && v.Unlisted {
			continue
		}
		m := f.byID[h.ID]
		if m == nil {
			m = &member{hash: xxhash.Sum64String(h.ID), first: at}
			f.byID[h.ID] = m
			f.members = append(f.members, m)
			came = append(came, m)
		}
		if !m.listed {
			m.first = at
		}
		m.host, m.listed, m.round = h, true, f.round
		m.centre = xxhash.Sum64String(h.DataCentre)
	}
	for _, m := range f.members {
		if m.listed && m.round != f.round {
			m.listed, m.gone = false, at
		}
	}
	f.self = f.byID[v.Self.ID]
	return came, f.forget(at)
}

// forget drops members that have not been listed for long.
func (f *fleet) forget(at time.Duration) []*member {
	var went []*member
	f.members = slices.DeleteFunc(f.members, func(m *member) bool {
		if m.listed || at-m.gone < f.memory() {
			return false
		}
		delete(f.byID, m.host.ID)
		went = append(went, m)
		return true
	})
	return went
}

// rejoin makes this host wait like a newcomer: others may have given its
// share away.
func (f *fleet) rejoin(at time.Duration) {
	if f.self != nil {
		f.self.first = at
	}
}

// joined reports whether every other host has had the time to make room for
// this one and still does.
func (f *fleet) joined(at time.Duration) bool {
	return f.self != nil && f.self.listed && at-f.self.first >= f.joinWait()
}

// established reports whether a peer can be taken to hold its connections.
func (f *fleet) established(at time.Duration, m *member) bool {
	return m.listed && !m.host.Leaving && (m.first == f.began || at-m.first >= f.joinWait())
}

// hasHolders reports whether any other host can be taken to hold connections.
func (f *fleet) hasHolders(at time.Duration) bool {
	return slices.ContainsFunc(f.members, func(m *member) bool { return m != f.self && f.established(at, m) })
}

// absent returns the other members that take no new work.
func (f *fleet) absent() []*member {
	var list []*member
	for _, m := range f.members {
		if m != f.self && (!m.listed || m.host.Leaving) {
			list = append(list, m)
		}
	}
	return list
}

// next returns when the passing of time changes something, or 0.
func (f *fleet) next(at time.Duration) time.Duration {
	var next time.Duration
	for _, m := range f.members {
		due := m.first + f.joinWait()
		if !m.listed {
			due = m.gone + f.memory()
		}
		if due > at {
			next = earlier(next, due)
		}
	}
	return next
}

// rank returns how many members precede this host in sharing srv.
func (f *fleet) rank(srv *Server) int {
	if f.self == nil {
		return 0
	}
	n := 0
	for _, m := range f.members {
		if m != f.self && precedes(m, f.self, srv) {
			n++
		}
	}
	return n
}

// precedes orders the hosts that share srv: hosts of its data centre first,
// then by rendezvous hash. The order of two hosts depends on nothing else, so
// all hosts agree on it, whatever views they hold.
func precedes(a, b *member, srv *Server) bool {
	aNear, bNear := a.centre == srv.centre, b.centre == srv.centre
	if aNear != bNear {
		return aNear
	}
	x, y := rendezvous(a.hash, srv.hash), rendezvous(b.hash, srv.hash)
	if x != y {
		return x > y
	}
	return a.host.ID < b.host.ID
}

// rendezvous mixes two hashes (the finalizer of splitmix64).
func rendezvous(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// portion divides total over n sharers as evenly as whole numbers allow and
// returns the part of the one with that rank. It never grows with the rank
// or with n: a host that counts more sharers than there are takes too little,
// and the parts never add up to more than total.
func portion(total, rank, n int) int {
	if rank >= total {
		return 0
	}
	return (total - rank + n - 1) / n
}
