package policy

import (
	"maps"
	"slices"
	"time"
)

const (
	// silenceTime is how long no server must have answered for the host's own
	// network path to be suspected. Shards pause for a quarter of a second, but each
	// at its own time.
	silenceTime = 150 * time.Millisecond
	// minUnreached is how many servers must have failed or be overdue meanwhile, or
	// all if there are fewer, but not a single one.
	minUnreached = 3
	minServers   = 2
	// reachCheckInterval is how often silence is looked for while calls are in
	// flight and no server answers.
	reachCheckInterval = 50 * time.Millisecond
	// suspicionProbes is how many servers are probed before the host counts as
	// isolated.
	suspicionProbes = 3
	// suspicionPause is how long nothing is suspected after a probe has reached a
	// server.
	suspicionPause = time.Second
	// isolationProbeInterval is how often an isolated host probes a server.
	isolationProbeInterval = 250 * time.Millisecond
	// recoveredAfter is how many requests must be answered after an isolation before
	// the host serves any number at a time.
	recoveredAfter = 5
)

// ReachState is whether this host reaches the backend servers at all.
type ReachState int

// States of a host's reach.
const (
	// Reachable is the normal state.
	Reachable ReachState = iota
	// Silent means that no server answers, Isolated that probes have found that
	// none can be reached either.
	Silent
	Isolated
	// Recovering means that a server can be reached after an isolation, so that a
	// growing number of requests is served.
	Recovering
)

// reach observes whether this host reaches the backend servers at all. If none
// of several servers answers, the fault is more likely in the host's own network
// path than in all servers at once: what the host finds of the servers meanwhile
// says nothing about them.
type reach struct {
	state ReachState
	// heardAt is when a server last answered. failed holds the servers that could
	// not be reached, or broke off a call, since then.
	heardAt time.Time
	failed  map[*Target]bool
	// unconnected holds the servers that took no new connection since one was last
	// opened. They may still answer on connections that are open.
	unconnected map[*Target]bool
	// pendingProbes counts the probes in progress, nextProbe is when an isolated
	// host probes again, and calmUntil until when nothing is suspected.
	pendingProbes int
	nextProbe     time.Time
	calmUntil     time.Time
	// answered counts the requests answered while the host recovers.
	answered int
}

func newReach(now time.Time) reach {
	return reach{heardAt: now, failed: make(map[*Target]bool), unconnected: make(map[*Target]bool)}
}

// ReachChange is a change of the state of the host's reach.
type ReachChange struct {
	State    ReachState
	Previous ReachState
	// HeardAt is when a server had last answered before, Unreached how many servers
	// have failed or are overdue since.
	HeardAt   time.Time
	Unreached int
}

// ReachState returns whether this host reaches the backend servers.
func (b *Balancer) ReachState() ReachState { return b.reach.state }

// DirectLimit returns how many requests this host may serve itself at a time, and
// false if any number.
func (b *Balancer) DirectLimit() (limit int, limited bool) {
	switch b.reach.state {
	case Isolated:
		return 0, true
	case Recovering:
		return 2 << b.reach.answered, true
	case Reachable, Silent:
	}
	return 0, false
}

// IsPathSuspected reports whether the failures of several servers may be due to
// this host's own path.
func (b *Balancer) IsPathSuspected(now time.Time) bool {
	return b.reach.state == Silent || len(b.reach.failed) >= minUnreached && !now.Before(b.reach.calmUntil)
}

// LacksConnections reports whether several servers take no new connection from
// this host and none has since. It may be this host's own path that fails, though
// servers may answer on connections that are open.
func (b *Balancer) LacksConnections() bool { return len(b.reach.unconnected) >= minUnreached }

// HeardSince reports whether a server has answered since a time.
func (b *Balancer) HeardSince(at time.Time) bool { return b.reach.heardAt.After(at) }

func (b *Balancer) setReach(s ReachState, unreached int) *ReachChange {
	c := &ReachChange{State: s, Previous: b.reach.state, HeardAt: b.reach.heardAt, Unreached: unreached}
	b.reach.state = s
	return c
}

// RecordAnswer records that a server has answered a call, whatever the answer,
// and returns the change of the host's reach, if there is one.
func (b *Balancer) RecordAnswer(now time.Time) *ReachChange {
	var change *ReachChange
	switch b.reach.state {
	case Silent:
		change = b.setReach(Reachable, 0)
	case Isolated:
		change = b.beginRecovery(now)
	case Reachable, Recovering:
	}
	b.reach.heardAt = now
	clear(b.reach.failed)
	return change
}

// RecordServed records that this host has answered a request itself, and returns
// the change of its reach, if there is one.
func (b *Balancer) RecordServed() *ReachChange {
	if b.reach.state != Recovering {
		return nil
	}
	b.reach.answered++
	if b.reach.answered < recoveredAfter {
		return nil
	}
	return b.setReach(Reachable, 0)
}

// RecordConnected records that a new connection has been opened.
func (b *Balancer) RecordConnected() { clear(b.reach.unconnected) }

// RecordNotConnected records that a server took no new connection.
func (b *Balancer) RecordNotConnected(t *Target) {
	b.reach.failed[t], b.reach.unconnected[t] = true, true
}

// RecordPathFailure records that a server's connection broke before it answered.
func (b *Balancer) RecordPathFailure(t *Target) { b.reach.failed[t] = true }

// RecordProbe records whether a probe has reached a server, and returns the
// change of the host's reach, if there is one.
func (b *Balancer) RecordProbe(now time.Time, reached bool) *ReachChange {
	r := &b.reach
	r.pendingProbes = max(r.pendingProbes-1, 0)
	if reached {
		b.RecordConnected()
	}
	switch {
	case r.state == Silent && reached:
		r.calmUntil = now.Add(suspicionPause)
		return b.setReach(Reachable, 0)
	case r.state == Silent && r.pendingProbes == 0:
		return b.beginIsolation(now)
	case r.state == Isolated && reached:
		return b.beginRecovery(now)
	}
	return nil
}

func (b *Balancer) beginIsolation(now time.Time) *ReachChange {
	unreached, _ := b.countUnreached(now)
	b.reach.nextProbe = now.Add(isolationProbeInterval)
	return b.setReach(Isolated, unreached)
}

// beginRecovery forgets what the host has found of the servers while it was
// isolated.
func (b *Balancer) beginRecovery(now time.Time) *ReachChange {
	for _, pool := range b.pools {
		for _, t := range pool.targets {
			t.health = health{}
			t.failureShare = 0
			t.latencyFactor, t.latencyFactorAt, t.slowStreak = 1, now, 0
		}
	}
	change := b.setReach(Recovering, 0)
	b.reach.answered, b.reach.heardAt = 0, now
	clear(b.reach.failed)
	clear(b.slowSpans)
	return change
}

// CheckReach looks for silence of the servers and returns the change of the
// host's reach, if there is one, and the servers to be probed.
func (b *Balancer) CheckReach(now time.Time) (*ReachChange, []*Target) {
	r := &b.reach
	switch r.state {
	case Silent:
		return nil, nil
	case Isolated:
		if now.Before(r.nextProbe) || r.pendingProbes > 0 {
			return nil, nil
		}
		r.nextProbe = now.Add(isolationProbeInterval)
		return nil, b.probeTargets(now, 1)
	case Reachable, Recovering:
	}
	if now.Sub(r.heardAt) < silenceTime || now.Before(r.calmUntil) {
		return nil, b.connectionProbes(now)
	}
	unreached, need := b.countUnreached(now)
	if unreached < need {
		return nil, nil
	}
	if r.state == Recovering {
		return b.beginIsolation(now), nil
	}
	return b.setReach(Silent, unreached), b.probeTargets(now, suspicionProbes)
}

// connectionProbes returns the servers to be probed to tell whether all refuse new
// connections while open ones live on.
func (b *Balancer) connectionProbes(now time.Time) []*Target {
	r := &b.reach
	if !b.LacksConnections() || r.pendingProbes > 0 || now.Before(r.nextProbe) {
		return nil
	}
	r.nextProbe = now.Add(isolationProbeInterval)
	return b.probeTargets(now, 1)
}

// probeTargets returns up to n random servers.
func (b *Balancer) probeTargets(now time.Time, n int) []*Target {
	var out []*Target
	seen := 0
	for _, name := range slices.Sorted(maps.Keys(b.pools)) {
		for _, t := range b.pools[name].targets {
			if t.isExcluded(now) {
				continue
			}
			seen++
			if len(out) < n {
				out = append(out, t)
			} else if i := b.opts.Rand.IntN(seen); i < n {
				out[i] = t
			}
		}
	}
	b.reach.pendingProbes = len(out)
	return out
}

// countUnreached returns how many servers have failed or are overdue, and how
// many of them show that the host's own path is at fault.
func (b *Balancer) countUnreached(now time.Time) (unreached, need int) {
	targets := 0
	for _, pool := range b.pools {
		for _, t := range pool.targets {
			if t.isExcluded(now) {
				continue
			}
			targets++
			if b.reach.failed[t] || t.hasSilentCall(now) {
				unreached++
			}
		}
	}
	return unreached, max(min(minUnreached, targets), minServers)
}

// hasSilentCall reports whether a call in flight has been without an answer for
// so long that the server's path may be cut.
func (t *Target) hasSilentCall(now time.Time) bool {
	for _, c := range t.calls {
		if c.Overdue(now) && now.Sub(c.Sent) >= silenceTime {
			return true
		}
	}
	return false
}

// NextReachCheck returns when CheckReach may have something to do, and false if
// not before another event.
func (b *Balancer) NextReachCheck(now time.Time) (time.Time, bool) {
	r := &b.reach
	switch {
	case r.state == Silent:
		return time.Time{}, false
	case r.state == Isolated:
		return later(r.nextProbe, now.Add(reachCheckInterval)), true
	case b.LacksConnections():
		return now.Add(reachCheckInterval), true
	case b.inFlight == 0 && len(r.failed) == 0:
		return time.Time{}, false
	}
	return later(r.heardAt.Add(silenceTime), now.Add(reachCheckInterval)), true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// IsReachable reports whether a server of the service may be reached from another
// host although this one finds all of them down: whether any is in force at all.
func (b *Balancer) IsReachable(now time.Time, service string) bool {
	pool := b.pools[service]
	if pool == nil {
		return false
	}
	for _, t := range pool.targets {
		if !t.isExcluded(now) && !t.isBackingOff(now) {
			return true
		}
	}
	return false
}
