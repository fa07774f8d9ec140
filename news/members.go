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
	// memberTimeout is how long a silent host is considered alive; hosts poll
	// several times in this period.
	memberTimeout = 4 * time.Second
	// readerCount is how many hosts read the store at a time, and leaderCount
	// how many hosts of a data centre relay their updates. Both are 2 so that
	// the loss of one host delays no update.
	readerCount = 2
	leaderCount = 2
	// joinTimeout is how long a starting host waits for a seed to answer before
	// it may read the store itself; hosts start within 0.3 s.
	joinTimeout = 1200 * time.Millisecond
	// avoidFor is how long a host that did not answer is not polled, and
	// avoidForAtStart the same until the first host has answered.
	avoidFor        = 1500 * time.Millisecond
	avoidForAtStart = 150 * time.Millisecond
	// unknownRelayCapacity places seeds whose relay capacity is not known before all other
	// hosts, so that a new host polls them first.
	unknownRelayCapacity = math.MaxInt32
)

// Host is a host of the deployment.
type Host struct {
	Address    string
	DataCentre string
}

// rankedMember is a member with its sort keys in the relay order, on which all
// hosts agree: highest capacity first, then by hash. Updates are relayed from
// earlier to later hosts.
type rankedMember struct {
	Member
	hash uint64
}

func newRankedMember(n Member) rankedMember { return rankedMember{n, xxhash.Sum64String(n.Address)} }

func (m rankedMember) compare(o rankedMember) int {
	return cmp.Or(-cmp.Compare(m.RelayCapacity, o.RelayCapacity), cmp.Compare(m.hash, o.hash))
}

// memberReport is the member list that one connected host has sent.
type memberReport struct {
	members    []Member
	receivedAt time.Time
}

// membership tracks the hosts that are considered alive. A host learns of its
// subtree from the hosts that poll it, and of all other hosts from its
// upstreams.
type membership struct {
	self       rankedMember
	seeds      []string
	startedAt  time.Time
	hasJoined  bool
	downstream map[string]*memberReport
	upstream   map[string]*memberReport
	avoidUntil map[string]time.Time
	// seedInfo is the last known description of each seed, which keeps its
	// place in the relay order while there is no connection to it.
	seedInfo map[string]Member
	// discovery holds the member lists of polled hosts that come later in the
	// relay order, such as seeds polled by a host that knows of no earlier one.
	// They serve to find earlier hosts and are not relayed: otherwise hosts
	// that are gone would be reported in a circle for ever.
	discovery map[string]*memberReport

	// cachedOrder is the relay order as of cachedAt, or nil after a change.
	cachedOrder []rankedMember
	cachedAt    time.Time
}

func newMembership(now time.Time, opts Options) membership {
	return membership{
		self:  newRankedMember(Member{Address: opts.Address, DataCentre: opts.DataCentre, RelayCapacity: opts.RelayCapacity}),
		seeds: opts.Seeds, startedAt: now, hasJoined: slices.Contains(opts.Seeds, opts.Address),
		downstream: make(map[string]*memberReport), upstream: make(map[string]*memberReport), avoidUntil: make(map[string]time.Time),
		seedInfo: make(map[string]Member), discovery: make(map[string]*memberReport),
	}
}

// expire removes the hosts that have gone silent. The list of an upstream stays
// valid for the same time after its connection is dropped, because the next
// upstream has yet to answer.
func (m *membership) expire(now time.Time) {
	silent := func(_ string, t *memberReport) bool { return now.Sub(t.receivedAt) > memberTimeout }
	maps.DeleteFunc(m.downstream, silent)
	maps.DeleteFunc(m.upstream, silent)
	maps.DeleteFunc(m.discovery, silent)
	maps.DeleteFunc(m.avoidUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
}

// subtree returns this host, the hosts that poll it, and their subtrees.
func (m *membership) subtree() []Member { return mergeMembers(m.self.Member, m.downstream) }

// mergeMembers returns own and all members of the reports, sorted by address.
func mergeMembers(own Member, from map[string]*memberReport) []Member {
	all := map[string]Member{own.Address: own}
	for _, t := range from {
		for _, n := range t.members {
			if known, ok := all[n.Address]; !ok || known.DataCentre == "" {
				all[n.Address] = n
			}
		}
	}
	out := slices.Collect(maps.Values(all))
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Address, b.Address) })
	return out
}

// live returns every host that is considered alive.
func (m *membership) live(now time.Time) []Member {
	m.expire(now)
	from := maps.Clone(m.downstream)
	for address, t := range m.upstream {
		from["upstream "+address] = t // a host may be in both maps
	}
	return mergeMembers(m.self.Member, from)
}

// orderCacheTTL is how long a cached relay order is used without checking for
// silent hosts.
const orderCacheTTL = 100 * time.Millisecond

// relayOrder returns the live hosts and the seeds in the order in which updates
// are relayed.
func (m *membership) relayOrder(now time.Time) []rankedMember {
	if m.cachedOrder != nil && now.Sub(m.cachedAt) < orderCacheTTL {
		return m.cachedOrder
	}
	var out []rankedMember
	add := func(n Member) {
		if !slices.ContainsFunc(out, func(x rankedMember) bool { return x.Address == n.Address }) {
			out = append(out, newRankedMember(n))
		}
	}
	for _, n := range m.live(now) {
		add(n)
	}
	for _, t := range m.discovery {
		for _, n := range t.members {
			if newRankedMember(n).compare(m.self) < 0 {
				add(n)
			}
		}
	}
	for _, s := range m.seeds {
		n, ok := m.seedInfo[s]
		if !ok {
			n = Member{Address: s, RelayCapacity: unknownRelayCapacity}
		}
		add(n)
	}
	slices.SortFunc(out, rankedMember.compare)
	m.cachedOrder, m.cachedAt = out, now
	return out
}

// hashMembers returns a hash of the addresses that does not depend on their
// order.
func hashMembers(list []Member) uint64 {
	var sum uint64
	for _, n := range list {
		sum += xxhash.Sum64String(n.Address) * 0x9e3779b97f4a7c15
	}
	return sum
}

// recordPoll records that a host has polled, and its subtree if it sent one.
func (m *membership) recordPoll(now time.Time, p *Poll) {
	t := m.downstream[p.From.Address]
	if t == nil {
		m.cachedOrder = nil
		t = &memberReport{members: []Member{p.From}}
		m.downstream[p.From.Address] = t
	}
	t.receivedAt = now
	if len(p.Subtree) > 0 {
		m.cachedOrder = nil
		t.members = p.Subtree
	}
	m.rememberSeeds([]Member{p.From})
	delete(m.avoidUntil, p.From.Address)
}

// rememberSeeds keeps the descriptions of the seeds in the list.
func (m *membership) rememberSeeds(list []Member) {
	for _, n := range list {
		if n.DataCentre != "" && slices.Contains(m.seeds, n.Address) {
			m.seedInfo[n.Address] = n
		}
	}
}

// MarkAnswered records that a polled host has answered.
func (s *State) MarkAnswered(now time.Time, address string, u *Update) {
	m := &s.members
	from := m.upstream
	if m.isAfterSelf(now, address) {
		from = m.discovery
	}
	t := from[address]
	if t == nil {
		m.cachedOrder = nil
		t = &memberReport{members: []Member{{Address: address}}}
		from[address] = t
	}
	t.receivedAt = now
	if len(u.Members) > 0 {
		m.cachedOrder = nil
		t.members = u.Members
		m.hasJoined = true
		m.rememberSeeds(u.Members)
	}
}

// MarkUnreachable records that a host did not answer.
func (s *State) MarkUnreachable(now time.Time, address string) {
	d := avoidFor
	if !s.members.hasJoined {
		d = avoidForAtStart
	}
	s.members.avoidUntil[address] = now.Add(d)
	s.members.cachedOrder = nil
}

// SetSeeds replaces the seeds.
func (s *State) SetSeeds(seeds []string) {
	s.members.seeds = seeds
	s.members.cachedOrder = nil
}

// Hosts returns the hosts that are considered alive, this one included.
func (s *State) Hosts(now time.Time) []Host {
	var out []Host
	for _, n := range s.members.live(now) {
		out = append(out, Host{Address: n.Address, DataCentre: n.DataCentre})
	}
	return out
}
