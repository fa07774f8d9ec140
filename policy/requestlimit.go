package policy

import (
	"slices"
	"time"

	"github.com/figmast/figmast/route"
)

const (
	// usableLimitShare is the part of a server's request limit that the hosts use
	// together; the rest is reserved because hosts may not know of each other or
	// of the limit for a moment.
	usableLimitShare = 0.9
	// minLimitRate is the least number of requests per second that the hosts
	// together send to a limited server: only its answers tell that the limit is
	// over.
	minLimitRate = 0.2
	// All hosts together may save up the requests of limitBurstTime, and
	// limitBurstBase more, for a burst.
	limitBurstTime = 1500 * time.Millisecond
	limitBurstBase = 1.5
	// Parts of the saved requests that are not used: alternativeReserve by calls
	// that another server can take, for those that none can when it pauses or
	// fails; hedgeReserve by hedges and urgentReserve by requests below the highest
	// priority, where all servers are limited.
	alternativeReserve = 0.75
	hedgeReserve       = 0.5
	urgentReserve      = 0.25
	// joinTime is how long after its start a host may not know the other hosts
	// yet; until then it assumes at least minHosts of them.
	joinTime = 5 * time.Second
	// lateReportSlack is how much older than this host's own knowledge a report
	// that a limit is over may be: its age counts from when the call was sent.
	lateReportSlack = 500 * time.Millisecond
	// maxPendingLimits bounds the changes kept until TakeLimitChanges; it exceeds
	// the number of servers expected in two years.
	maxPendingLimits = 4096
)

// LimitChange tells that a server's limit has changed, and how many calls this
// host sent to the server under the previous limit.
type LimitChange struct {
	Server   route.ServerKey
	Limit    route.RequestLimit
	Previous route.RequestLimit
	// At is a time at which the new limit was in force.
	At time.Time
	// Calls is the number of calls under the previous limit, For how long that
	// limit was known.
	Calls int
	For   time.Duration
}

// heardLimit is the request limit of a server as known to this host, and this
// host's part of it.
//
// Every host gets an equal part. Where the saved requests of a host come to one
// or more, the part is a token bucket. In a fleet of so many hosts that they
// come to a fraction, each decision uses it up and admits the call with that
// probability: the sum over all hosts is right on average, while whole tokens
// at every host would add up to a burst far above the limit.
type heardLimit struct {
	limit route.RequestLimit
	// heardAt is the latest time at which the limit is known to have been in
	// force, since when this host first knew of it.
	heardAt time.Time
	since   time.Time
	// calls counts the calls sent since then.
	calls int

	saved   float64
	savedAt time.Time
	// admittedAt and deniedAt are when a call was last admitted by chance, and when
	// it was not.
	admittedAt, deniedAt time.Time
}

// hostLimit is a host's part of a server's limit: requests per second, and the
// most that it may save up.
type hostLimit struct{ rate, capacity float64 }

// limitPart returns this host's part of a limit.
func (b *Balancer) limitPart(now time.Time, limit route.RequestLimit) hostLimit {
	hosts := max(len(b.hostHashes), b.largestFleet)
	if now.Sub(b.start) < joinTime {
		hosts = max(hosts, minHosts)
	}
	return hostLimit{
		rate:     max(usableLimitShare*limit.Rate, minLimitRate) / float64(hosts),
		capacity: (limit.Rate*limitBurstTime.Seconds() + limitBurstBase) / float64(hosts),
	}
}

// update adds what the host has saved up since the last update.
func (h *heardLimit) update(now time.Time, part hostLimit) {
	if earned := now.Sub(h.savedAt).Seconds() * part.rate; earned > 0 {
		h.saved += earned
	}
	h.saved, h.savedAt = min(h.saved, part.capacity), now
}

// mayAdmit reports whether the target's request limit leaves room for a call. A
// call that is admitted by chance (see heardLimit) is decided by admit, once the
// target has been chosen for it.
func (b *Balancer) mayAdmit(now time.Time, t *Target, c *ChooseInfo) bool {
	h := &t.heardLimit
	if h.limit.State != route.Limited || h.admittedAt.Equal(now) {
		return true
	}
	part := b.limitPart(now, h.limit)
	h.update(now, part)
	if part.capacity < 1 {
		return !h.deniedAt.Equal(now) && h.saved >= c.limitReserve*part.capacity
	}
	return h.saved >= 1+c.limitReserve*(part.capacity-1)
}

// limitReserve returns the part of what is saved for limited servers that a call
// leaves to others.
func (b *Balancer) limitReserve(now time.Time, pool *targetPool, c *ChooseInfo) float64 {
	limited, unlimited := false, false
	for _, t := range pool.targets {
		isLimited := t.heardLimit.limit.State == route.Limited
		limited = limited || isLimited
		unlimited = unlimited || !isLimited && !t.isExcluded(now)
	}
	switch {
	case !limited:
		return 0
	case unlimited && b.hasAlternative(now, pool, c):
		return alternativeReserve
	case unlimited:
		return 0
	case c.Hedge:
		return hedgeReserve
	case !c.Urgent:
		return urgentReserve
	}
	return 0
}

// hasAlternative reports whether a server without a limit can take the call.
func (b *Balancer) hasAlternative(now time.Time, pool *targetPool, c *ChooseInfo) bool {
	at := b.at(now)
	return slices.ContainsFunc(pool.targets, func(t *Target) bool {
		isLimited := t.heardLimit.limit.State == route.Limited
		return !isLimited && b.mayChoose(t, c, t.lastResort) && b.refusalReason(now, at, t, c) == Picked
	})
}

// admit reports whether the call may go to the target chosen for it. Where it is
// admitted by chance, what is saved is used up. Several such servers are asked in
// turn, each with the part of the random number's range that the ones before it
// have left.
func (b *Balancer) admit(now time.Time, t *Target, c *ChooseInfo) bool {
	h := &t.heardLimit
	if h.limit.State != route.Limited || h.admittedAt.Equal(now) || b.limitPart(now, h.limit).capacity >= 1 {
		return true
	}
	low, high := c.drawn, c.drawn+h.saved*(1-c.drawn)
	h.saved, c.drawn = 0, high
	if c.Draw < low || c.Draw >= high {
		h.deniedAt = now
		return false
	}
	h.admittedAt = now
	return true
}

// countCall counts a call to the target against its limit.
func (b *Balancer) countCall(now time.Time, t *Target) {
	h := &t.heardLimit
	h.calls++
	switch {
	case h.limit.State != route.Limited:
	case h.admittedAt.Equal(now):
		h.admittedAt = time.Time{}
	default:
		h.update(now, b.limitPart(now, h.limit))
		h.saved--
	}
}

// RecordLimit records what the answer to a call that was sent at sent says about
// the target's request limit. An answer without a limit, or with a higher one,
// may be older than the limit that this host has heard of since the call was
// sent.
func (b *Balancer) RecordLimit(now, sent time.Time, t *Target, limit route.RequestLimit) {
	if limit.State == route.LimitUnknown {
		return
	}
	h := &t.heardLimit
	at := sent
	if limit.State == route.Limited && !h.limit.Less(limit) {
		at = now
	}
	if at.Before(h.heardAt) {
		return
	}
	previous := h.limit
	calls, known := h.calls, now.Sub(h.since)
	if !h.set(now, at, limit) {
		return
	}
	if len(b.pendingLimits) < maxPendingLimits {
		b.pendingLimits = append(b.pendingLimits, LimitChange{
			Server: t.Key(), Limit: limit, Previous: previous, At: at, Calls: calls, For: known,
		})
	}
}

// set records that a limit was in force at a time, and reports whether it differs
// from the one known before. A server that has just named a limit has nothing
// saved up.
func (h *heardLimit) set(now, at time.Time, limit route.RequestLimit) bool {
	h.heardAt = at
	if h.limit == limit || h.limit.State == route.LimitUnknown && limit.State == route.Unlimited {
		h.limit = limit
		return false
	}
	if h.limit.State != route.Limited {
		h.saved, h.savedAt = 0, now
	}
	h.limit, h.since, h.calls = limit, now, 0
	return true
}

// TakeLimitChanges returns the changes of limits since the last call.
func (b *Balancer) TakeLimitChanges() []LimitChange {
	out := b.pendingLimits
	b.pendingLimits = nil
	return out
}

// SetReportedLimits sets the request limits that other hosts have reported.
func (b *Balancer) SetReportedLimits(now time.Time, reports map[route.ServerKey]route.LimitReport) {
	b.reportedLimits = reports
	for key := range reports {
		if t := b.byKey[key]; t != nil {
			b.applyReportedLimit(now, t)
		}
	}
}

// applyReportedLimit adopts the limit reported by other hosts if it is newer than
// what this host has heard itself.
func (b *Balancer) applyReportedLimit(now time.Time, t *Target) {
	report, ok := b.reportedLimits[t.Key()]
	if !ok {
		return
	}
	at := report.At
	if t.heardLimit.limit.Less(report.Limit) {
		at = at.Add(lateReportSlack)
	}
	if at.After(t.heardLimit.heardAt) {
		t.heardLimit.set(now, report.At, report.Limit)
	}
}

// LimitWait returns how long it takes until this host may send n more calls to
// the service's servers, if each of them that can be reached has a request limit
// and none may be called now; otherwise it returns 0. Urgent is set for requests of
// the highest priority.
func (b *Balancer) LimitWait(now time.Time, service string, n int, urgent bool) time.Duration {
	pool := b.pools[service]
	if pool == nil {
		return 0
	}
	reserve := urgentReserve
	if urgent {
		reserve = 0
	}
	rate, saved := 0.0, 0.0
	at := b.at(now)
	for _, t := range pool.targets {
		h := &t.heardLimit
		switch {
		case t.isExcluded(now) || t.isBackingOff(now) || t.health.isEjected(at):
			continue
		case h.limit.State != route.Limited:
			return 0
		}
		part := b.limitPart(now, h.limit)
		h.update(now, part)
		usable := h.saved - reserve*max(part.capacity-1, 0)
		if part.capacity >= 1 && usable >= 1 {
			return 0
		}
		rate += part.rate
		saved += min(max(usable, 0), 1)
	}
	if rate == 0 {
		return 0
	}
	return time.Duration(max(float64(n)-saved, 0) / rate * float64(time.Second))
}
