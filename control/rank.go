package control

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/view"
)

// assignParent determines this host's place in the synchronisation tree. The
// hosts of a data centre are ranked by rendezvous hash: the first
// watchersPerDataCentre of them watch the platform, each of the next ones has
// one of those before it as its parent. The second watcher's parent is the
// first, whose parent is in the next data centre. Hosts that did not respond
// recently are skipped, so that others move up.
func (s *State) assignParent(now time.Time) {
	g := &s.gossip
	if g.isRanked {
		return
	}
	g.isRanked = true
	ranked := s.rankedHosts(now, s.members.self.DataCentre)
	rank := 0
	for i, h := range ranked {
		if h.ID == s.members.self.ID {
			rank = i
		}
	}
	g.isWatcher = rank < watchersPerDataCentre
	g.hasParent = false
	switch {
	case !g.isWatcher:
		g.parent = ranked[(rank-watchersPerDataCentre)/fanOut]
		g.hasParent = true
	case rank > 0:
		g.parent = ranked[0]
		g.hasParent = true
	default:
		g.parent, g.hasParent = s.nextDataCentreParent(now)
	}
}

// rankedHosts returns the hosts of a data centre that are neither leaving nor
// down, in descending order of their rendezvous hash. It always includes this
// host in its own data centre.
func (s *State) rankedHosts(now time.Time, dataCentre string) []view.Host {
	var out []view.Host
	for _, h := range s.hosts {
		if h.DataCentre == dataCentre && (h.ID == s.members.self.ID || !h.Leaving && !s.isDown(now, h.ID)) {
			out = append(out, h)
		}
	}
	sortByRendezvousHash(out)
	return out
}

// isDown reports whether a host is skipped because it did not respond.
func (s *State) isDown(now time.Time, id string) bool {
	p := s.members.byID[id]
	return p != nil && now.Before(p.downUntil)
}

// nextDataCentreParent returns the first-ranked host of the next data centre,
// in the ring of all data centres sorted by name, if there is another one with
// a usable host. It is the parent of this data centre's first-ranked host.
func (s *State) nextDataCentreParent(now time.Time) (view.Host, bool) {
	own := s.members.self.DataCentre
	var next, first string
	for _, h := range s.hosts {
		dc := h.DataCentre
		if dc == own || h.Leaving || s.isDown(now, h.ID) {
			continue
		}
		if first == "" || dc < first {
			first = dc
		}
		if dc > own && (next == "" || dc < next) {
			next = dc
		}
	}
	if next == "" {
		next = first
	}
	if next == "" {
		return view.Host{}, false
	}
	return s.rankedHosts(now, next)[0], true
}

func rendezvousHash(h view.Host) uint64 { return xxhash.Sum64String(h.DataCentre + "/" + h.ID) }

// isWatcher reports whether this host is one of those that watch the platform.
func (s *State) isWatcher(now time.Time) bool {
	s.assignParent(now)
	return s.gossip.isWatcher
}

func sortByRendezvousHash(hosts []view.Host) {
	sort.Slice(hosts, func(i, j int) bool {
		a, b := rendezvousHash(hosts[i]), rendezvousHash(hosts[j])
		if a != b {
			return a > b
		}
		return hosts[i].ID < hosts[j].ID
	})
}
