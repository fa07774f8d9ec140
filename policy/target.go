package policy

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/route"
)

const (
	// factorStep is the part of the way that the latency factor moves towards
	// a new sample.
	factorStep = 0.25
	// mostFactor bounds one sample, so that one pause does not hide what the
	// server usually does.
	mostFactor = 8
	// slowSample is a latency factor that counts as slow.
	slowSample = 2.5
	// factorHalfLife is how fast the factor of a server that gets no calls
	// fades to 1; it doubles with each slow answer in a row up to mostStreak.
	factorHalfLife = 500 * time.Millisecond
	mostStreak     = 3
	// failingStep is the part of the way that the share of failing calls moves
	// with each call, failingHalfLife how fast it fades without any: servers
	// that fail a part of their requests do so for many seconds.
	failingStep     = 0.35
	failingHalfLife = 5 * time.Second
	// failingCost is what a server costs more that fails every call.
	failingCost = 10
	// overdueFactor times the usual latency, and at least overdueLeast, mark a
	// call as overdue: shards pause for a quarter of a second at a time.
	overdueFactor = 3
	overdueLeast  = 15 * time.Millisecond
	// coldShare is the part of a cold server's allowance that the hosts use
	// together, as their views of each other differ for a moment.
	coldShare = 0.7
)

// Target is one lifetime of a backend server with what this host has observed
// of it. The exported fields never change; the rest belongs to the Balancer.
type Target struct {
	route.Server

	pool  *targets
	hash  uint64
	local bool
	// gone targets are no longer published.
	gone bool
	// evacuated is set while the target's data centre is to be left.
	evacuated      bool
	evacuatedSince time.Time
	// lastResort targets get calls only where no other takes them, until a time.
	lastResort bool
	until      time.Time
	notice     notice
	// other targets are away and not the one that this host prefers.
	other bool
	// limit is how many calls this host may have in flight to it, most how many
	// of a server of its own data centre that shows no wait; scarce is set
	// where its connections do not suffice for two to each host.
	limit  int
	most   int
	scarce bool
	calls  []*Call

	factor   float64
	factorAt time.Time
	streak   int
	// failing is the share of recent calls that the server refused or broke
	// off.
	failing   float64
	failingAt time.Time
	health    health
	// quickAt is when the latest call was sent that took no longer than usual.
	quickAt time.Time

	coldUntil time.Time
	cold      budget
	coldRate  float64
	coldAt    time.Time
}

// Call is a call to a target in progress.
type Call struct {
	Target *Target
	// Sent is when the call began, Usual the latency that it was expected to
	// have then.
	Sent  time.Time
	Usual time.Duration
}

func newTarget(now time.Time, p *targets, s route.Server) *Target {
	t := &Target{Server: s, pool: p, hash: xxhash.Sum64String(s.ID + "\x00" + s.Address), factor: 1, factorAt: now}
	if s.ColdLeft > 0 {
		t.coldUntil = now.Add(s.ColdLeft)
	}
	return t
}

const (
	// localIdle and awayIdle are how long an unused connection is kept to a
	// server of the host's own data centre and to another one. A server counts
	// the connections of hosts that lost power for many seconds; with few
	// idle ones there is room for the hosts that come back.
	localIdle = 10 * time.Second
	awayIdle  = 1500 * time.Millisecond
)

// KeepIdle returns how long an unused connection to the target is kept.
func (t *Target) KeepIdle() time.Duration {
	if t.local {
		return localIdle
	}
	return awayIdle
}

// Gone reports whether the server's entry is gone.
func (t *Target) Gone() bool { return t.gone }

// InFlight returns how many calls this host has in flight to the server.
func (t *Target) InFlight() int { return len(t.calls) }

// overdue reports whether a call has taken so long that the server seems to be
// stuck.
func (t *Target) overdue(now time.Time) bool {
	for _, c := range t.calls {
		if c.Overdue(now) {
			return true
		}
	}
	return false
}

// Overdue reports whether the call has taken much longer than usual.
func (c *Call) Overdue(now time.Time) bool {
	return now.Sub(c.Sent) > max(overdueFactor*c.Usual, overdueLeast)
}

// prompt reports whether the target shows no wait: each call in flight began
// less than half of its usual latency ago. The load that it answers: a few
// requests at once, of which the second would leave the data centre while the
// server's other slots are free. A server that pauses keeps its calls.
func (t *Target) prompt(now time.Time) bool {
	for _, c := range t.calls {
		if now.Sub(c.Sent) > c.Usual/2 {
			return false
		}
	}
	return true
}

// full reports whether the target has as many calls of this host as it may.
func (t *Target) full(now time.Time) bool {
	if len(t.calls) < t.limit {
		return false
	}
	return !t.local || len(t.calls) >= t.most || !t.prompt(now)
}

// slowness returns the latency factor as it has faded.
func (t *Target) slowness(now time.Time) float64 {
	idle := now.Sub(t.factorAt)
	if idle <= 0 {
		return t.factor
	}
	life := float64(factorHalfLife << t.streak)
	return 1 + (t.factor-1)*math.Exp2(-float64(idle)/life)
}

// failures returns the share of failing calls as it has faded.
func (t *Target) failures(now time.Time) float64 {
	idle := now.Sub(t.failingAt)
	if t.failing == 0 || idle <= 0 {
		return t.failing
	}
	return t.failing * math.Exp2(-float64(idle)/float64(failingHalfLife))
}

// ended takes in whether a call failed.
func (t *Target) ended(now time.Time, failed bool) {
	share, to := t.failures(now), 0.0
	if failed {
		to = 1
	}
	t.failing, t.failingAt = share+failingStep*(to-share), now
}

// answered takes in a call's latency against what is usual.
func (t *Target) answered(now time.Time, latency, usual time.Duration) {
	if usual <= 0 {
		return
	}
	sample := min(float64(latency)/float64(usual), mostFactor)
	factor := t.slowness(now)
	t.factor = factor + factorStep*(sample-factor)
	t.factorAt = now
	if sample >= slowSample {
		t.streak = min(t.streak+1, mostStreak)
		return
	}
	t.streak = 0
}

// allowsCold reports whether the target may get one more call in its cold
// start, and counts the call when it is taken.
func (t *Target) allowsCold(now time.Time, take bool) bool {
	if t.coldRate == 0 && t.pool.service.ColdRate <= 0 || !now.Before(t.coldUntil) {
		return true
	}
	t.cold.earn(now.Sub(t.coldAt).Seconds() * t.coldRate)
	t.coldAt = now
	if t.cold.tokens < 1 {
		return false
	}
	if take {
		t.cold.spend()
	}
	return true
}

// shareCold sets this host's part of a cold server's allowance: few hosts send
// to it, those that come first by rendezvous hash.
func (t *Target) shareCold(now time.Time, self uint64, hosts []uint64) {
	rate := t.pool.service.ColdRate
	if rate <= 0 {
		return
	}
	senders := min(max(int(rate*coldShare/2), 1), len(hosts))
	t.coldRate = 0
	t.cold.most = 1
	if rankAmong(t.hash, self, hosts) < senders {
		t.coldRate = rate * coldShare / float64(senders)
	}
	if t.coldAt.IsZero() {
		t.coldAt = now
	}
}

// rankAmong returns how many hosts come before this one by rendezvous hash
// with a key.
func rankAmong(key, self uint64, hosts []uint64) int {
	own := rendezvous(self, key)
	n := 0
	for _, h := range hosts {
		if h != self && rendezvous(h, key) < own {
			n++
		}
	}
	return n
}
