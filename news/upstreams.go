package news

import (
	"slices"
	"time"
)

// Upstreams returns the addresses of the hosts to connect to. The first of them
// is asked to push updates. Hosts connect to the leaders of their data centre
// and leaders to the hosts that read the store; a new host connects to seeds.
func (s *State) Upstreams(now time.Time) []string {
	m := &s.members
	order := m.relayOrder(now)
	if !m.hasJoined && now.Sub(m.startedAt) < joinTimeout {
		return m.firstReachable(order, readerCount, true, func(x rankedMember) bool { return slices.Contains(m.seeds, x.Address) })
	}
	local := m.firstReachable(order, leaderCount, false, func(x rankedMember) bool { return x.DataCentre == m.self.DataCentre })
	if len(local) == leaderCount {
		return local
	}
	if all := m.firstReachable(order, readerCount, false, func(rankedMember) bool { return true }); len(all) > 0 {
		return all
	}
	// No earlier host is known; a seed may know one.
	return m.firstReachable(order, 1, true, func(x rankedMember) bool { return slices.Contains(m.seeds, x.Address) })
}

// isAfterSelf reports whether a host comes after this one in the relay order.
// It is false until this host has joined.
func (m *membership) isAfterSelf(now time.Time, address string) bool {
	for _, x := range m.relayOrder(now) {
		switch x.Address {
		case address:
			return false
		case m.self.Address:
			return m.hasJoined
		}
	}
	return false
}

// firstReachable returns up to n matching hosts that are not being avoided:
// from those before this host, or from all others if includeLater is set.
func (m *membership) firstReachable(order []rankedMember, n int, includeLater bool, match func(rankedMember) bool) []string {
	var out []string
	for _, x := range order {
		if len(out) == n {
			break
		}
		if x.Address == m.self.Address {
			if includeLater {
				continue
			}
			break
		}
		if _, avoided := m.avoidUntil[x.Address]; !avoided && match(x) {
			out = append(out, x.Address)
		}
	}
	return out
}

// rank returns how many reachable hosts come before this one in the relay
// order.
func (s *State) rank(now time.Time) int {
	order := s.members.relayOrder(now)
	return len(s.members.firstReachable(order, len(order), false, func(rankedMember) bool { return true }))
}
