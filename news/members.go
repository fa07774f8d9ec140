package news

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// memberFor is how long a host that is not heard of is taken to live; polls
	// come several times as often.
	memberFor = 4 * time.Second
	// watchers is how many hosts read the store at a time, so that the loss of
	// one goes unnoticed.
	watchers = 2
	// joinWithin is how long a starting host waits for a seed before it counts
	// itself among those that may read the store; hosts start within 0.3 s.
	joinWithin = 900 * time.Millisecond
	// avoidFor is how long a host that did not answer is not asked again.
	avoidFor = 1500 * time.Millisecond
)

// Host is another host of the deployment, or this one.
type Host struct {
	Address    string
	DataCentre string
}

type member struct {
	Host
	rank  uint64
	heard time.Time
	// avoid is until when the member is not asked for news.
	avoid time.Time
	// seed members are kept even while nothing is heard of them.
	seed bool
}

// members are the hosts that are taken to live.
type members struct {
	self    string
	started time.Time
	joined  bool
	list    []*member
	// most is the largest number of hosts seen of late.
	most   int
	mostAt time.Time
}

func (m *members) init(now time.Time, opts Options) {
	m.self, m.started = opts.Address, now
	for _, seed := range opts.Seeds {
		m.add(seed, "").seed = true
	}
	self := m.add(opts.Address, opts.DataCentre)
	m.joined = self.seed
}

func (m *members) add(address, dataCentre string) *member {
	i := slices.IndexFunc(m.list, func(x *member) bool { return x.Address == address })
	if i < 0 {
		m.list = append(m.list, &member{Host: Host{Address: address}, rank: xxhash.Sum64String(address)})
		i = len(m.list) - 1
		slices.SortFunc(m.list, func(a, b *member) int { return cmp.Compare(a.rank, b.rank) })
		i = slices.IndexFunc(m.list, func(x *member) bool { return x.Address == address })
	}
	if dataCentre != "" {
		m.list[i].DataCentre = dataCentre
	}
	return m.list[i]
}

// polled notes that a host has asked for news.
func (m *members) polled(now time.Time, n Note) {
	x := m.add(n.Address, n.DataCentre)
	x.heard = now
	x.avoid = time.Time{}
}

// heard takes in the members that another host knows.
func (m *members) heard(now time.Time, notes []Note) {
	for _, n := range notes {
		at := now.Add(-time.Duration(n.AgeMs) * time.Millisecond)
		x := m.add(n.Address, n.DataCentre)
		if at.After(x.heard) {
			x.heard = at
		}
		m.joined = true
	}
}

// live drops the members that have gone silent and returns the others.
func (m *members) live(now time.Time) []*member {
	m.list = slices.DeleteFunc(m.list, func(x *member) bool {
		return x.Address != m.self && !x.seed && now.Sub(x.heard) > memberFor
	})
	return m.list
}

func (m *members) isLive(now time.Time, x *member) bool {
	return x.Address == m.self || now.Sub(x.heard) <= memberFor
}

// notes names the members that have been heard of.
func (m *members) notes(now time.Time) []Note {
	var out []Note
	for _, x := range m.live(now) {
		n := Note{Address: x.Address, DataCentre: x.DataCentre}
		if x.Address != m.self {
			if now.Sub(x.heard) > memberFor {
				continue
			}
			n.AgeMs = now.Sub(x.heard).Milliseconds()
		}
		out = append(out, n)
	}
	return out
}

// hash names the set of members.
func (m *members) hash() uint64 {
	var sum uint64
	for _, x := range m.list {
		sum += x.rank * 0x9e3779b97f4a7c15
	}
	return sum
}

// Upstreams returns the addresses of the hosts to link to: those that come
// first among the hosts that can be asked, before this one.
func (s *State) Upstreams(now time.Time) []string {
	m := &s.members
	self := !m.joined && now.Sub(m.started) < joinWithin
	var out []string
	for _, x := range m.live(now) {
		if len(out) == watchers {
			break
		}
		if x.Address == m.self {
			if self {
				continue
			}
			break
		}
		if now.Before(x.avoid) {
			continue
		}
		out = append(out, x.Address)
	}
	return out
}

// Unreachable notes that a host did not answer.
func (s *State) Unreachable(now time.Time, address string) {
	for _, x := range s.members.list {
		if x.Address == address {
			x.avoid = now.Add(avoidFor)
		}
	}
}

// Heard notes that a host has answered a poll.
func (s *State) Heard(now time.Time, address string) {
	x := s.members.add(address, "")
	x.heard = now
	s.members.joined = true
}

// rank returns how many hosts that can be asked come before this one.
func (s *State) rank(now time.Time) int {
	n := 0
	for _, x := range s.members.live(now) {
		if x.Address == s.members.self {
			break
		}
		if !now.Before(x.avoid) {
			n++
		}
	}
	return n
}

// Hosts returns the hosts that are taken to live, this one included.
func (s *State) Hosts(now time.Time) []Host {
	var out []Host
	for _, x := range s.members.live(now) {
		if s.members.isLive(now, x) {
			out = append(out, x.Host)
		}
	}
	return out
}

// SetSeeds takes in other seeds.
func (s *State) SetSeeds(seeds []string) {
	for _, x := range s.members.list {
		x.seed = slices.Contains(seeds, x.Address)
	}
	for _, seed := range seeds {
		s.members.add(seed, "").seed = true
	}
}
