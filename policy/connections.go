package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// connectionShare is the part of a server's connections that the hosts use
	// together, as some hosts are not known to each other for a moment.
	connectionShare = 0.9
	// localShare is the part of the connections for hosts of the server's own
	// data centre where there are too few for all.
	localShare = 0.65
	// otherCost is what a server away costs beside the one that this host
	// prefers, where connections are scarce.
	otherCost = 1.3
	// mostConnections bounds the calls in flight of one host to one server.
	mostConnections = 16
	// fewestHosts is what a host goes by that knows of fewer.
	fewestHosts = 6
	// hostsFor is how long hosts that have gone are still counted in sums over
	// the fleet: the window of the retry budget, twice.
	hostsFor = 20 * time.Second
)

// ApplyHosts takes in which hosts live: their addresses, and how many stand in
// this host's data centre.
func (b *Balancer) ApplyHosts(now time.Time, addresses []string, local int) {
	if len(addresses) >= b.most || now.Sub(b.mostAt) > hostsFor {
		b.most, b.mostAt = max(len(addresses), fewestHosts), now
	}
	if len(addresses) == len(b.hosts) && local == b.local && b.same(addresses) {
		return
	}
	b.hosts = b.hosts[:0]
	for _, a := range addresses {
		b.hosts = append(b.hosts, xxhash.Sum64String(a))
	}
	b.local = max(local, 1)
	b.share(now)
}

func (b *Balancer) same(addresses []string) bool {
	for i, a := range addresses {
		if b.hosts[i] != xxhash.Sum64String(a) {
			return false
		}
	}
	return true
}

// share sets how many connections this host may hold to each server, and its
// part of cold servers' allowances.
func (b *Balancer) share(now time.Time) {
	for _, pool := range b.pools {
		for _, t := range pool.list {
			t.limit, t.scarce = b.connections(pool, t)
			t.most = min(t.limit, max(t.Slots, 1))
			t.limit = min(t.limit, b.useful(t))
			t.shareCold(now, b.self, b.hosts)
		}
		b.prefer(pool)
	}
}

// prefer sets which of the servers away this host goes to where there are too
// few connections for all hosts: each host keeps to one, the hosts together to
// all.
func (b *Balancer) prefer(pool *targets) {
	var first *Target
	for _, t := range pool.list {
		t.other = false
		if t.local || t.gone || t.lastResort || !t.scarce {
			continue
		}
		t.other = true
		if first == nil || rendezvous(b.self, t.hash) < rendezvous(b.self, first.hash) {
			first = t
		}
	}
	if first != nil {
		first.other = false
	}
}

// connections returns this host's part of a server's connections, and whether
// there are too few for two to each host. The hosts of the server's data centre
// come first then, and of the others those that prefer it over the service's
// further servers.
func (b *Balancer) connections(pool *targets, t *Target) (limit int, scarce bool) {
	all := pool.service.MaxConnections
	if all <= 0 {
		return mostConnections, false
	}
	hosts := max(len(b.hosts), b.most)
	each := int(connectionShare * float64(all) / float64(hosts))
	switch {
	case each >= 2:
		return min(each, mostConnections), false
	case t.local:
		return min(max(int(localShare*float64(all))/b.local, 1), mostConnections), true
	}
	return 1, true
}

// useful returns how many calls of this host a server can work on: those of its
// own data centre together fill its slots, and the others as many again. The
// load that it answers: more requests than the servers can do, as in a burst or
// while some are slow. What waits here goes in the order of its worth and to
// whichever server is free first; what waits at a server does not.
func (b *Balancer) useful(t *Target) int {
	if t.Slots <= 0 {
		return mostConnections
	}
	hosts := b.local
	if !t.local {
		hosts = max(len(b.hosts)-b.local, 1)
	}
	return max((t.Slots+hosts-1)/hosts, 1)
}
