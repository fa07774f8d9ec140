package news

import (
	"slices"
	"time"
)

// Upstreams returns the addresses of the hosts to link to, the first of which
// is asked to send news unasked. Hosts link to the leaders of their data
// centre, leaders to the watchers; a new host links to seeds.
func (s *State) Upstreams(now time.Time) []string {
	m := &s.members
	order := m.order(now)
	if !m.joined && now.Sub(m.started) < joinWithin {
		return m.first(order, watchers, true, func(x member) bool { return slices.Contains(m.seeds, x.Address) })
	}
	local := m.first(order, leaders, false, func(x member) bool { return x.DataCentre == m.self.DataCentre })
	if len(local) == leaders {
		return local
	}
	if all := m.first(order, watchers, false, func(member) bool { return true }); len(all) > 0 {
		return all
	}
	// None is known to come before this host: a seed may know better.
	return m.first(order, 1, true, func(x member) bool { return slices.Contains(m.seeds, x.Address) })
}

// later reports whether a host comes after this one in the order.
func (m *members) later(now time.Time, address string) bool {
	for _, x := range m.order(now) {
		switch x.Address {
		case address:
			return false
		case m.self.Address:
			return m.joined
		}
	}
	return false
}

// first returns up to n hosts that can be asked, among those before this one,
// or among all.
func (m *members) first(order []member, n int, all bool, wanted func(member) bool) []string {
	var out []string
	for _, x := range order {
		if len(out) == n {
			break
		}
		if x.Address == m.self.Address {
			if all {
				continue
			}
			break
		}
		if _, avoided := m.avoid[x.Address]; !avoided && wanted(x) {
			out = append(out, x.Address)
		}
	}
	return out
}

// rank returns how many hosts that can be asked come before this one.
func (s *State) rank(now time.Time) int {
	order := s.members.order(now)
	return len(s.members.first(order, len(order), false, func(member) bool { return true }))
}
