package news

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// memberFor is how long a host that is not heard of is taken to live; polls
	// come several times as often.
	memberFor = 4 * time.Second
	// watchers is how many hosts read the store at a time, and leaders how
	// many of a data centre pass on what they say, so that the loss of one
	// goes unnoticed.
	watchers = 2
	leaders  = 2
	// joinWithin is how long a starting host waits for a seed before it counts
	// itself among those that may read the store; hosts start within 0.3 s.
	joinWithin = 1200 * time.Millisecond
	// avoidFor is how long a host that did not answer is not asked again, and
	// avoidAtStart the same while this host has not heard from any.
	avoidFor     = 1500 * time.Millisecond
	avoidAtStart = 150 * time.Millisecond
	// unknownStrength puts seeds of which nothing is known before other hosts,
	// so that a new host asks them first.
	unknownStrength = math.MaxInt32
)

// Host is another host of the deployment, or this one.
type Host struct {
	Address    string
	DataCentre string
}

// member is a host with its place in the order that all hosts agree on: the
// strongest first, then by hash. News flow from earlier hosts to later ones.
type member struct {
	Member
	hash uint64
}

func newMember(n Member) member { return member{n, xxhash.Sum64String(n.Address)} }

func (m member) compare(o member) int {
	return cmp.Or(-cmp.Compare(m.Capacity, o.Capacity), cmp.Compare(m.hash, o.hash))
}

// told is what one linked host says of others.
type told struct {
	list  []Member
	heard time.Time
}

// members are the hosts that are taken to live. A host knows those that poll
// it and what they know below them; the others it knows from its upstreams.
type members struct {
	self    member
	seeds   []string
	started time.Time
	joined  bool
	below   map[string]*told
	above   map[string]*told
	avoid   map[string]time.Time
	// known is what was last heard of the seeds, so that their place in the
	// order holds while there is no link to them.
	known map[string]Member
	// peeked is what seeds say to a host that knows of none before it. It is
	// used to find such a host and not passed on, or hosts that are gone would
	// go round.
	peeked map[string]*told

	// cached is the order as of cachedAt; it is nil after a change.
	cached   []member
	cachedAt time.Time
}

func newMembers(now time.Time, opts Options) members {
	return members{
		self:  newMember(Member{Address: opts.Address, DataCentre: opts.DataCentre, Capacity: opts.Capacity}),
		seeds: opts.Seeds, started: now, joined: slices.Contains(opts.Seeds, opts.Address),
		below: make(map[string]*told), above: make(map[string]*told), avoid: make(map[string]time.Time),
		known: make(map[string]Member), peeked: make(map[string]*told),
	}
}

// lapse forgets the hosts that have gone silent. What an upstream said holds
// for that long after its link is dropped too: the next one has yet to answer.
func (m *members) lapse(now time.Time) {
	silent := func(_ string, t *told) bool { return now.Sub(t.heard) > memberFor }
	maps.DeleteFunc(m.below, silent)
	maps.DeleteFunc(m.above, silent)
	maps.DeleteFunc(m.peeked, silent)
	maps.DeleteFunc(m.avoid, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// subtree names this host, those that poll it, and those below them.
func (m *members) subtree() []Member { return gather(m.self.Member, m.below) }

// gather returns the notes of one host and of all that others tell, in order
// of address.
func gather(own Member, from map[string]*told) []Member {
	all := map[string]Member{own.Address: own}
	for _, t := range from {
		for _, n := range t.list {
			if known, ok := all[n.Address]; !ok || known.DataCentre == "" {
				all[n.Address] = n
			}
		}
	}
	out := slices.Collect(maps.Values(all))
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// live names every host that is taken to live.
func (m *members) live(now time.Time) []Member {
	m.lapse(now)
	from := maps.Clone(m.below)
	for address, t := range m.above {
		from["above "+address] = t
	}
	return gather(m.self.Member, from)
}

// orderFor is how long an order is used without looking for silent hosts.
const orderFor = 100 * time.Millisecond

// order returns the live hosts and the seeds in the order of the flow of news.
func (m *members) order(now time.Time) []member {
	if m.cached != nil && now.Sub(m.cachedAt) < orderFor {
		return m.cached
	}
	var out []member
	add := func(n Member) {
		if !slices.ContainsFunc(out, func(x member) bool { return x.Address == n.Address }) {
			out = append(out, newMember(n))
		}
	}
	for _, n := range m.live(now) {
		add(n)
	}
	for _, t := range m.peeked {
		for _, n := range t.list {
			if newMember(n).compare(m.self) < 0 {
				add(n)
			}
		}
	}
	for _, s := range m.seeds {
		n, ok := m.known[s]
		if !ok {
			n = Member{Address: s, Capacity: unknownStrength}
		}
		add(n)
	}
	slices.SortFunc(out, member.compare)
	m.cached, m.cachedAt = out, now
	return out
}

// hashOf names a set of hosts.
func hashOf(list []Member) uint64 {
	var sum uint64
	for _, n := range list {
		sum += xxhash.Sum64String(n.Address) * 0x9e3779b97f4a7c15
	}
	return sum
}

// polled notes that a host has asked for news, and whom it knows below it.
func (m *members) polled(now time.Time, p *Poll) {
	t := m.below[p.From.Address]
	if t == nil {
		m.cached = nil
		t = &told{list: []Member{p.From}}
		m.below[p.From.Address] = t
	}
	t.heard = now
	if len(p.Subtree) > 0 {
		m.cached = nil
		t.list = p.Subtree
	}
	m.remember([]Member{p.From})
	delete(m.avoid, p.From.Address)
}

// remember keeps what is said of the seeds.
func (m *members) remember(list []Member) {
	for _, n := range list {
		if n.DataCentre != "" && slices.Contains(m.seeds, n.Address) {
			m.known[n.Address] = n
		}
	}
}

// MarkAnswered notes that an upstream has answered.
func (s *State) MarkAnswered(now time.Time, address string, u *Update) {
	m := &s.members
	from := m.above
	if m.later(now, address) {
		from = m.peeked
	}
	t := from[address]
	if t == nil {
		m.cached = nil
		t = &told{list: []Member{{Address: address}}}
		from[address] = t
	}
	t.heard = now
	if len(u.Members) > 0 {
		m.cached = nil
		t.list = u.Members
		m.joined = true
		m.remember(u.Members)
	}
}

// MarkUnreachable notes that a host did not answer.
func (s *State) MarkUnreachable(now time.Time, address string) {
	d := avoidFor
	if !s.members.joined {
		d = avoidAtStart
	}
	s.members.avoid[address] = now.Add(d)
	s.members.cached = nil
}

// SetSeeds takes in other seeds.
func (s *State) SetSeeds(seeds []string) {
	s.members.seeds = seeds
	s.members.cached = nil
}

// Hosts returns the hosts that are taken to live, this one included.
func (s *State) Hosts(now time.Time) []Host {
	var out []Host
	for _, n := range s.members.live(now) {
		out = append(out, Host{Address: n.Address, DataCentre: n.DataCentre})
	}
	return out
}
