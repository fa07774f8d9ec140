package policy

import (
	"time"

	"github.com/figmast/figmast/route"
)

// LimitChange tells that a server's limit has changed, and how many calls this
// host sent to the server under the previous limit.
type LimitChange struct {
	Server   route.ServerKey
	Limit    route.RequestLimit
	Previous route.RequestLimit
	// At is when this host got the answer that names the new limit.
	At time.Time
	// Calls is the number of calls under the previous limit, For how long that
	// limit was known.
	Calls int
	For   time.Duration
}

// maxPendingLimits bounds the changes kept until TakeLimitChanges; it exceeds
// the number of servers expected in two years.
const maxPendingLimits = 4096

// heardLimit is the limit of a server as known to this host.
type heardLimit struct {
	limit route.RequestLimit
	// heardAt is when the last answer that told the limit arrived, since when
	// the first one with this limit did.
	heardAt time.Time
	since   time.Time
	// calls counts the calls sent since then.
	calls int
}

// RecordLimit records what an answer of the target says about its request limit.
func (b *Balancer) RecordLimit(now time.Time, t *Target, limit route.RequestLimit) {
	if limit.State == route.LimitUnknown {
		return
	}
	h := &t.heardLimit
	h.heardAt = now
	previous := h.limit
	if previous.State == route.LimitUnknown {
		previous = route.NoLimit
	}
	if previous == limit {
		return
	}
	if len(b.pendingLimits) < maxPendingLimits {
		b.pendingLimits = append(b.pendingLimits, LimitChange{
			Server: t.Key(), Limit: limit, Previous: previous, At: now, Calls: h.calls, For: now.Sub(h.since),
		})
	}
	h.limit, h.since, h.calls = limit, now, 0
}

// TakeLimitChanges returns the changes of limits since the last call.
func (b *Balancer) TakeLimitChanges() []LimitChange {
	out := b.pendingLimits
	b.pendingLimits = nil
	return out
}
