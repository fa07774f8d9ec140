package control

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/view"
)

// rank works out whom this host follows: two hosts of each data centre, by
// rendezvous hash, watch the platform, the next ones follow these, and so on.
// Hosts that did not answer lately are passed over, so that others move up.
func (s *State) rank(now time.Time) {
	r := &s.relay
	if r.ranked {
		return
	}
	r.ranked = true
	mine := s.ranking(now, s.members.self.DataCentre)
	place := 0
	for i, h := range mine {
		if h.ID == s.members.self.ID {
			place = i
		}
	}
	r.watcher = place < watchersPerCentre
	r.leads = false
	switch {
	case !r.watcher:
		r.leader = mine[(place-watchersPerCentre)/fanOut]
		r.leads = true
	case place > 0:
		r.leader = mine[0]
		r.leads = true
	default:
		r.leader, r.leads = s.nextCentre(now)
	}
}

// ranking returns the hosts of a data centre that are neither leaving nor
// passed over, the highest rendezvous hash first.
func (s *State) ranking(now time.Time, dataCentre string) []view.Host {
	var out []view.Host
	for _, h := range s.hosts {
		if h.DataCentre == dataCentre && (h.ID == s.members.self.ID || !h.Leaving && !s.down(now, h.ID)) {
			out = append(out, h)
		}
	}
	sortByHash(out)
	return out
}

func (s *State) down(now time.Time, id string) bool {
	p := s.members.byID[id]
	return p != nil && now.Before(p.down)
}

// nextCentre returns the first host of the data centre after this one in the
// ring of all, which the first host of this one follows.
func (s *State) nextCentre(now time.Time) (view.Host, bool) {
	own := s.members.self.DataCentre
	var next, least string
	for _, h := range s.hosts {
		dc := h.DataCentre
		if dc == own || h.Leaving || s.down(now, h.ID) {
			continue
		}
		if least == "" || dc < least {
			least = dc
		}
		if dc > own && (next == "" || dc < next) {
			next = dc
		}
	}
	if next == "" {
		next = least
	}
	if next == "" {
		return view.Host{}, false
	}
	return s.ranking(now, next)[0], true
}

func rendezvous(h view.Host) uint64 { return xxhash.Sum64String(h.DataCentre + "/" + h.ID) }

// watches reports whether this host is one of those that watch the platform.
func (s *State) watches(now time.Time) bool {
	s.rank(now)
	return s.relay.watcher
}

func sortByHash(hosts []view.Host) {
	sort.Slice(hosts, func(i, j int) bool {
		a, b := rendezvous(hosts[i]), rendezvous(hosts[j])
		if a != b {
			return a > b
		}
		return hosts[i].ID < hosts[j].ID
	})
}
