package policy

import (
	"time"
)

const (
	// silenceTime is how long no server must have answered for the host's own
	// network path to be suspected. Shards pause for a quarter of a second, but each
	// at its own time.
	silenceTime = 150 * time.Millisecond
	// minUnreached is how many servers must have failed or be overdue meanwhile, or
	// all if there are fewer.
	minUnreached = 3
)

// reach observes whether this host reaches the backend servers at all. If none
// of several servers answers, the fault is more likely in the host's own network
// path than in all servers at once.
type reach struct {
	// heardAt is when a server last answered. failed holds the servers that could
	// not be reached, or broke off a call, since then.
	heardAt time.Time
	failed  map[*Target]bool
	// silent is set while no server answers, since silentSince.
	silent      bool
	silentSince time.Time
}

func newReach(now time.Time) reach { return reach{heardAt: now, failed: make(map[*Target]bool)} }

// ReachChange tells that no backend server answers this host any more, or that
// one answers again.
type ReachChange struct {
	Silent bool
	// HeardAt is when a server last answered before, Unreached how many servers
	// have failed or are overdue since.
	HeardAt   time.Time
	Unreached int
}

// RecordAnswer records that a server has answered a call, whatever the answer,
// and returns a change of the host's reach.
func (b *Balancer) RecordAnswer(now time.Time) (ReachChange, bool) {
	change := ReachChange{HeardAt: b.reach.heardAt}
	b.reach.heardAt = now
	clear(b.reach.failed)
	wasSilent := b.reach.silent
	b.reach.silent = false
	return change, wasSilent
}

// RecordPathFailure records that a server could not be reached, or that its
// connection broke before it answered.
func (b *Balancer) RecordPathFailure(t *Target) { b.reach.failed[t] = true }

// CheckReach looks for silence of the servers and returns a change of the host's
// reach.
func (b *Balancer) CheckReach(now time.Time) (ReachChange, bool) {
	r := &b.reach
	if r.silent || now.Sub(r.heardAt) < silenceTime {
		return ReachChange{}, false
	}
	unreached, need := b.countUnreached(now)
	if unreached < need {
		return ReachChange{}, false
	}
	r.silent, r.silentSince = true, now
	return ReachChange{Silent: true, HeardAt: r.heardAt, Unreached: unreached}, true
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
	return unreached, max(min(minUnreached, targets), 1)
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

// NextReachCheck returns when CheckReach may find silence, and false while no call
// is in flight.
func (b *Balancer) NextReachCheck(now time.Time) (time.Time, bool) {
	if b.reach.silent || b.inFlight == 0 && len(b.reach.failed) == 0 {
		return time.Time{}, false
	}
	return maxTime(b.reach.heardAt.Add(silenceTime), now.Add(reachCheckInterval)), true
}

// reachCheckInterval is how often silence is looked for while calls are in flight
// and no server answers.
const reachCheckInterval = 50 * time.Millisecond

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
