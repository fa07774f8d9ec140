package policy

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/route"
)

const (
	// factorStep is the weight of a new sample in the latency factor.
	factorStep = 0.25
	// maxFactorSample bounds a sample, so that one pause does not hide the typical
	// latency.
	maxFactorSample = 8
	// slowFactorSample is the sample from which an answer counts as slow.
	slowFactorSample = 2.5
	// factorHalfLife is the half-life with which the latency factor returns to 1
	// without calls; it doubles with each consecutive slow answer, at most
	// maxSlowStreak times.
	factorHalfLife = 500 * time.Millisecond
	maxSlowStreak  = 3
	// failureStep is the weight of a new result in the share of failing calls,
	// failureHalfLife the half-life of that share without calls: servers that fail
	// part of their requests do so for many seconds.
	failureStep     = 0.35
	failureHalfLife = 5 * time.Second
	// failureCost is the added cost of a server that fails every call, relative to
	// the cost without failures.
	failureCost = 10
	// A call is overdue after overdueFactor times its expected latency, and
	// minOverdue at least: shards pause for a quarter of a second at a time.
	overdueFactor = 3
	minOverdue    = 15 * time.Millisecond
	// usableColdShare is the part of a cold server's allowance that the hosts use
	// together; the rest is reserved because their views may differ for a moment.
	usableColdShare = 0.7
)

// Target is one incarnation of a backend server, from its start to its end, with
// this host's observations of it. Balancer.Apply updates Draining,
// DrainingSince, LeavingNoticeAt, Slots and ColdLeft; the other exported fields
// never change. The unexported fields belong to the Balancer.
type Target struct {
	route.Server

	pool  *targetPool
	hash  uint64
	local bool
	// gone is set once the incarnation is no longer published.
	gone bool
	// evacuated is set while the target's data centre is being evacuated.
	evacuated      bool
	evacuatedSince time.Time
	// lastResort targets get calls only when no other server can take them, until
	// lastResortUntil.
	lastResort      bool
	lastResortUntil time.Time
	notice          notice
	// nonPreferred targets are remote, have scarce connections and are not the one
	// that this host prefers.
	nonPreferred bool
	// limit is how many calls this host may have in flight to the target, and
	// burstLimit how many while the target is local and responsive; scarce is set
	// where there are fewer than two connections for each host.
	limit      int
	burstLimit int
	scarce     bool
	calls      []*Call

	latencyFactor   float64
	latencyFactorAt time.Time
	slowStreak      int
	// failureShare is the share of recent calls that the server refused or that
	// broke.
	failureShare   float64
	failureShareAt time.Time
	health         health
	// lastFastAt is when the latest call was sent that was fast (see
	// fastCallRatio).
	lastFastAt time.Time

	heardLimit heardLimit

	coldUntil    time.Time
	coldBudget   tokenBucket
	coldRate     float64
	coldEarnedAt time.Time
}

// Call is a call to a target in progress.
type Call struct {
	Target *Target
	// Sent is when the call began, ExpectedLatency the latency that was expected
	// then.
	Sent            time.Time
	ExpectedLatency time.Duration
}

func newTarget(now time.Time, p *targetPool, s route.Server) *Target {
	t := &Target{Server: s, pool: p, hash: xxhash.Sum64String(s.ID + "\x00" + s.Address), latencyFactor: 1, latencyFactorAt: now, heardLimit: heardLimit{since: now}}
	if s.ColdLeft > 0 {
		t.coldUntil = now.Add(s.ColdLeft)
	}
	return t
}

const (
	// localIdleTimeout and remoteIdleTimeout are how long an unused connection is
	// kept to a server of the host's own data centre and of another one. A server
	// counts the connections of hosts that lost power for many seconds; few idle
	// connections leave room for the hosts that come back.
	localIdleTimeout  = 10 * time.Second
	remoteIdleTimeout = 1500 * time.Millisecond
)

// IdleTimeout returns how long an unused connection to the target is kept.
func (t *Target) IdleTimeout() time.Duration {
	if t.local {
		return localIdleTimeout
	}
	return remoteIdleTimeout
}

// Gone reports whether the incarnation is no longer published.
func (t *Target) Gone() bool { return t.gone }

// InFlight returns how many calls this host has in flight to the target.
func (t *Target) InFlight() int { return len(t.calls) }

// hasOverdueCall reports whether a call has taken so long that the server seems
// stuck.
func (t *Target) hasOverdueCall(now time.Time) bool {
	for _, c := range t.calls {
		if c.Overdue(now) {
			return true
		}
	}
	return false
}

// Overdue reports whether the call has taken much longer than expected.
func (c *Call) Overdue(now time.Time) bool {
	return now.Sub(c.Sent) > max(overdueFactor*c.ExpectedLatency, minOverdue)
}

// isResponsive reports whether the target shows no queueing: each call in
// flight has taken at most half of its expected latency so far. With a few
// concurrent requests, the second one would otherwise go to another data centre
// while the target has free slots. A server that pauses holds up its calls and
// gets no more of them.
func (t *Target) isResponsive(now time.Time) bool {
	for _, c := range t.calls {
		if now.Sub(c.Sent) > c.ExpectedLatency/2 {
			return false
		}
	}
	return true
}

// isFull reports whether the target has as many calls of this host as it may.
func (t *Target) isFull(now time.Time) bool {
	if len(t.calls) < t.limit {
		return false
	}
	return !t.local || len(t.calls) >= t.burstLimit || !t.isResponsive(now)
}

// currentLatencyFactor returns the decayed latency factor.
func (t *Target) currentLatencyFactor(now time.Time) float64 {
	idle := now.Sub(t.latencyFactorAt)
	if idle <= 0 {
		return t.latencyFactor
	}
	life := float64(factorHalfLife << t.slowStreak)
	return 1 + (t.latencyFactor-1)*math.Exp2(-float64(idle)/life)
}

// currentFailureShare returns the decayed share of failing calls.
func (t *Target) currentFailureShare(now time.Time) float64 {
	idle := now.Sub(t.failureShareAt)
	if t.failureShare == 0 || idle <= 0 {
		return t.failureShare
	}
	return t.failureShare * math.Exp2(-float64(idle)/float64(failureHalfLife))
}

// recordResult records whether a call failed.
func (t *Target) recordResult(now time.Time, failed bool) {
	share, sample := t.currentFailureShare(now), 0.0
	if failed {
		sample = 1
	}
	t.failureShare, t.failureShareAt = share+failureStep*(sample-share), now
}

// recordLatency records a call's latency in relation to the expected one.
func (t *Target) recordLatency(now time.Time, latency, expected time.Duration) {
	if expected <= 0 {
		return
	}
	sample := min(float64(latency)/float64(expected), maxFactorSample)
	factor := t.currentLatencyFactor(now)
	t.latencyFactor = factor + factorStep*(sample-factor)
	t.latencyFactorAt = now
	if sample >= slowFactorSample {
		t.slowStreak = min(t.slowStreak+1, maxSlowStreak)
		return
	}
	t.slowStreak = 0
}

// allowColdCall reports whether the target's cold start allows one more call
// from this host, and counts the call if consume is set.
func (t *Target) allowColdCall(now time.Time, consume bool) bool {
	if t.coldRate == 0 && t.pool.service.ColdRate <= 0 || !now.Before(t.coldUntil) {
		return true
	}
	t.coldBudget.earn(now.Sub(t.coldEarnedAt).Seconds() * t.coldRate)
	t.coldEarnedAt = now
	if t.coldBudget.tokens < 1 {
		return false
	}
	if consume {
		t.coldBudget.spend()
	}
	return true
}

// updateColdRate sets this host's part of a cold server's allowance. Only a few
// hosts send to it: those that rank first by rendezvous hash.
func (t *Target) updateColdRate(now time.Time, self uint64, hosts []uint64) {
	rate := t.pool.service.ColdRate
	if rate <= 0 {
		return
	}
	senders := min(max(int(rate*usableColdShare/2), 1), len(hosts))
	t.coldRate = 0
	t.coldBudget.capacity = 1
	if rendezvousRank(t.hash, self, hosts) < senders {
		t.coldRate = rate * usableColdShare / float64(senders)
	}
	if t.coldEarnedAt.IsZero() {
		t.coldEarnedAt = now
	}
}

// rendezvousRank returns how many hosts rank before this one for a key by
// rendezvous hash.
func rendezvousRank(key, self uint64, hosts []uint64) int {
	own := rendezvous(self, key)
	n := 0
	for _, h := range hosts {
		if h != self && rendezvous(h, key) < own {
			n++
		}
	}
	return n
}
