package policy

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/view"
)

// DefaultShareLag is the longest time after which a host may still act on a
// superseded host list or document; an older view is not valid.
const DefaultShareLag = 3 * time.Second

// Waiting times, as multiples of Options.ShareLag.
const (
	// joinLags is how long a new host waits for the others to give up connections.
	joinLags = 2
	// departedLags is how long a host still counts once it is no longer listed.
	departedLags = 10
)

// member is a host that holds connections or may still hold some.
type member struct {
	host view.Host
	hash uint64
	// dataCentreHash is the hash of the host's data centre.
	dataCentreHash uint64
	// listedSince is when this host first saw the member listed.
	listedSince time.Duration
	listed      bool
	// delistedAt is when this host first saw the member missing from the list.
	delistedAt time.Duration
	// avoidUntil is set while calls through the member are failing.
	avoidUntil time.Duration
	// round is the number of the last view that listed the member.
	round uint64
}

// fleet tracks the hosts that share the backend servers.
type fleet struct {
	shareLag time.Duration
	self     *member
	members  []*member
	byID     map[string]*member
	// startedAt is when the first view came: its members are taken as established.
	startedAt time.Duration
	round     uint64
}

func newFleet(lag time.Duration) *fleet {
	return &fleet{shareLag: lag, byID: make(map[string]*member)}
}

func (f *fleet) joinWait() time.Duration { return joinLags * f.shareLag }

func (f *fleet) departedTime() time.Duration { return departedLags * f.shareLag }

// size returns how many hosts share the servers, at least 1.
func (f *fleet) size() int { return max(len(f.members), 1) }

// update applies a view's hosts and returns the members added and removed.
func (f *fleet) update(at time.Duration, v *view.View) (added, removed []*member) {
	if f.round == 0 {
		f.startedAt = at
	}
	f.round++
	for _, h := range v.Hosts {
		if h.ID == v.Self.ID && v.Unlisted {
			continue
		}
		m := f.byID[h.ID]
		if m == nil {
			m = &member{hash: xxhash.Sum64String(h.ID), listedSince: at}
			f.byID[h.ID] = m
			f.members = append(f.members, m)
			added = append(added, m)
		}
		if !m.listed {
			m.listedSince = at
		}
		m.host, m.listed, m.round = h, true, f.round
		m.dataCentreHash = xxhash.Sum64String(h.DataCentre)
	}
	for _, m := range f.members {
		if m.listed && m.round != f.round {
			m.listed, m.delistedAt = false, at
		}
	}
	f.self = f.byID[v.Self.ID]
	return added, f.removeDeparted(at)
}

// removeDeparted removes members that have been off the list for departedTime.
func (f *fleet) removeDeparted(at time.Duration) []*member {
	var removed []*member
	f.members = slices.DeleteFunc(f.members, func(m *member) bool {
		if m.listed || at-m.delistedAt < f.departedTime() {
			return false
		}
		delete(f.byID, m.host.ID)
		removed = append(removed, m)
		return true
	})
	return removed
}

// rejoin makes this host wait like a new host: others may have taken over its
// share.
func (f *fleet) rejoin(at time.Duration) {
	if f.self != nil {
		f.self.listedSince = at
	}
}

// joined reports whether this host has been listed for so long that every other
// host has made room for it.
func (f *fleet) joined(at time.Duration) bool {
	return f.self != nil && f.self.listed && at-f.self.listedSince >= f.joinWait()
}

// established reports whether a peer can be assumed to hold its connections.
func (f *fleet) established(at time.Duration, m *member) bool {
	return m.listed && !m.host.Leaving && (m.listedSince == f.startedAt || at-m.listedSince >= f.joinWait())
}

// hasHolders reports whether any other host can be assumed to hold connections.
func (f *fleet) hasHolders(at time.Duration) bool {
	return slices.ContainsFunc(f.members, func(m *member) bool { return m != f.self && f.established(at, m) })
}

// inactive returns the other members that take no new work.
func (f *fleet) inactive() []*member {
	var list []*member
	for _, m := range f.members {
		if m != f.self && (!m.listed || m.host.Leaving) {
			list = append(list, m)
		}
	}
	return list
}

// nextChange returns when the next change by time alone is due, or 0.
func (f *fleet) nextChange(at time.Duration) time.Duration {
	var first time.Duration
	for _, m := range f.members {
		due := m.listedSince + f.joinWait()
		if !m.listed {
			due = m.delistedAt + f.departedTime()
		}
		if due > at {
			first = earlier(first, due)
		}
	}
	return first
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
// all hosts agree on it even when their views differ.
func precedes(a, b *member, srv *Server) bool {
	aLocal, bLocal := a.dataCentreHash == srv.dataCentreHash, b.dataCentreHash == srv.dataCentreHash
	if aLocal != bLocal {
		return aLocal
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

// portion divides total over n hosts as evenly as whole numbers allow and
// returns the part of the host with the given rank. The part never grows with
// rank or n: a host that counts too many others takes too little, and the parts
// never add up to more than total.
func portion(total, rank, n int) int {
	if rank >= total {
		return 0
	}
	return (total - rank + n - 1) / n
}
