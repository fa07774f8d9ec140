package policy

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// usableConnectionShare is the part of a server's connections that the hosts
	// use together: the rest is reserved because hosts may not know of each other
	// for a moment.
	usableConnectionShare = 0.9
	// localConnectionShare is the part of the connections reserved for hosts of
	// the server's own data centre where there are too few for all hosts.
	localConnectionShare = 0.65
	// nonPreferredCost is the cost factor of remote servers other than the
	// preferred one, where connections are scarce.
	nonPreferredCost = 1.3
	// maxHostConnections bounds the calls in flight from one host to one server.
	maxHostConnections = 16
	// minHosts is the least number of hosts assumed, however few are known.
	minHosts = 6
	// goneHostsWindow is how long hosts that have gone still count in fleet-wide
	// limits: twice the window of the retry budget.
	goneHostsWindow = 20 * time.Second
)

// ApplyHosts sets the live hosts: their addresses, and how many are in this
// host's data centre.
func (b *Balancer) ApplyHosts(now time.Time, addresses []string, local int) {
	if len(addresses) >= b.largestFleet || now.Sub(b.largestFleetAt) > goneHostsWindow {
		b.largestFleet, b.largestFleetAt = len(addresses), now
	}
	if len(addresses) == len(b.hostHashes) && local == b.localHosts && b.sameHosts(addresses) {
		return
	}
	b.hostHashes = b.hostHashes[:0]
	for _, a := range addresses {
		b.hostHashes = append(b.hostHashes, xxhash.Sum64String(a))
	}
	b.localHosts = max(local, 1)
	b.updateShares(now)
}

// assumedHosts returns how many hosts share fleet-wide limits: the largest number
// within goneHostsWindow, at least minHosts.
func (b *Balancer) assumedHosts() int { return max(b.largestFleet, minHosts) }

func (b *Balancer) sameHosts(addresses []string) bool {
	for i, a := range addresses {
		if b.hostHashes[i] != xxhash.Sum64String(a) {
			return false
		}
	}
	return true
}

// updateShares sets this host's call limit for each server and its part of the
// cold servers' allowances.
func (b *Balancer) updateShares(now time.Time) {
	for _, pool := range b.pools {
		for _, t := range pool.targets {
			t.limit, t.scarce = b.connectionLimit(pool, t)
			t.burstLimit = min(t.limit, max(t.Slots, 1))
			t.limit = min(t.limit, b.slotLimit(t))
			t.updateColdRate(now, b.selfHash, b.hostHashes)
		}
		b.choosePreferred(pool)
	}
}

// choosePreferred selects this host's remote server where there are too few
// connections for all hosts: each host uses one server, by rendezvous hash, so
// that all hosts together use all.
func (b *Balancer) choosePreferred(pool *targetPool) {
	var first *Target
	for _, t := range pool.targets {
		t.nonPreferred = false
		if t.local || t.gone || t.lastResort || !t.scarce {
			continue
		}
		t.nonPreferred = true
		if first == nil || rendezvous(b.selfHash, t.hash) < rendezvous(b.selfHash, first.hash) {
			first = t
		}
	}
	if first != nil {
		first.nonPreferred = false
	}
}

// connectionLimit returns this host's part of a server's connections, and
// whether they are scarce: too few for two to each host. Of scarce connections,
// the hosts of the server's data centre divide localConnectionShare, and each
// remote host may use one; choosePreferred distributes the remote hosts over
// the servers.
func (b *Balancer) connectionLimit(pool *targetPool, t *Target) (limit int, scarce bool) {
	total := pool.service.MaxConnections
	if total <= 0 {
		return maxHostConnections, false
	}
	hosts := max(len(b.hostHashes), b.assumedHosts())
	perHost := int(usableConnectionShare * float64(total) / float64(hosts))
	switch {
	case perHost >= 2:
		return min(perHost, maxHostConnections), false
	case t.local:
		return min(max(int(localConnectionShare*float64(total))/b.localHosts, 1), maxHostConnections), true
	}
	return 1, true
}

// slotLimit returns how many calls of this host a server can work on: the hosts
// of its own data centre together fill its slots, and the remote hosts as many
// again. The limit matters when there are more requests than the servers can
// serve, as in a burst or while some servers are slow. Calls that wait on this
// host are sent in order of worth to whichever server is free first; calls that
// queue at a server are not.
func (b *Balancer) slotLimit(t *Target) int {
	if t.Slots <= 0 {
		return maxHostConnections
	}
	hosts := b.localHosts
	if !t.local {
		hosts = max(len(b.hostHashes)-b.localHosts, 1)
	}
	return max((t.Slots+hosts-1)/hosts, 1)
}
