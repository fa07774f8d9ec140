package policy

import (
	"time"

	"github.com/figmast/figmast/route"
)

const (
	// leavingMargin is how long before the end of its grace period a leaving
	// server gets its last request: opening a connection takes up to 250 ms, and
	// the queues of this host and its network link about as long.
	leavingMargin = 500 * time.Millisecond
	// MaxServerBackoff bounds how long a server can ask a host to back off. An
	// incarnation of a server hardly lives for longer.
	MaxServerBackoff = 24 * time.Hour
	// maxNotices bounds the stored notices of incarnations that are not
	// published now; it exceeds the number of servers expected in two years.
	maxNotices = 4096
)

// notice is what an incarnation of a backend server has announced in its answers.
type notice struct {
	// leavingSince is when the incarnation first announced that it is leaving;
	// zero means never.
	leavingSince time.Time
	// backoffUntil is until when the incarnation accepts no requests from this
	// host.
	backoffUntil time.Time
}

// updateLastResort sets whether the target is a server of last resort and until
// when it may get calls. This keeps shards available whose servers are all
// leaving, as in a scale-in during an evacuation.
func (b *Balancer) updateLastResort(t *Target) {
	t.lastResort, t.lastResortUntil = false, time.Time{}
	limitUntil := func(since time.Time, d time.Duration) {
		until := since.Add(d - leavingMargin)
		if !t.lastResort || until.Before(t.lastResortUntil) {
			t.lastResort, t.lastResortUntil = true, until
		}
	}
	if t.Draining {
		limitUntil(t.DrainingSince, b.opts.DrainFor)
	}
	if t.evacuated {
		limitUntil(t.evacuatedSince, b.opts.EvacuateFor)
	}
	if !t.notice.leavingSince.IsZero() {
		limitUntil(t.notice.leavingSince, b.opts.DrainFor)
	}
	if !t.LeavingNoticeAt.IsZero() {
		limitUntil(t.LeavingNoticeAt, b.opts.DrainFor)
	}
}

// IsLeaving reports whether the server is about to leave, by its registration
// or by its answers.
func (t *Target) IsLeaving() bool {
	return t.Draining || !t.notice.leavingSince.IsZero() || !t.LeavingNoticeAt.IsZero()
}

// LastResort reports whether the target gets calls only when no other server
// can take them: it is about to leave, or its data centre is being evacuated.
func (t *Target) LastResort() bool { return t.lastResort }

// isExcluded reports whether the target gets no calls at all.
func (t *Target) isExcluded(now time.Time) bool {
	return t.gone || t.lastResort && !now.Before(t.lastResortUntil)
}

// isBackingOff reports whether the target has asked this host to back off for a
// time that is not over.
func (t *Target) isBackingOff(now time.Time) bool { return now.Before(t.notice.backoffUntil) }

// CanSend reports whether a call may still be written to the target that was
// chosen for it: the target may have left or asked this host to back off since.
func (b *Balancer) CanSend(now time.Time, t *Target) bool {
	return !t.isExcluded(now) && !t.isBackingOff(now)
}

// RecordLeaving records that the target has announced in an answer that it is
// leaving. This holds for the incarnation, whatever its registration says.
func (b *Balancer) RecordLeaving(now time.Time, t *Target) {
	if !t.notice.leavingSince.IsZero() {
		return
	}
	t.notice.leavingSince = now
	b.updateLastResort(t)
	if len(b.pendingNotices) < maxNotices {
		b.pendingNotices = append(b.pendingNotices, LeavingNotice{t.Key(), now})
	}
	if t.gone {
		b.storeNotice(now, t)
	}
}

// LeavingNotice tells when an incarnation of a server first announced that it is
// leaving.
type LeavingNotice struct {
	Server route.ServerKey
	At     time.Time
}

// TakeLeavingNotices returns the notices recorded since the last call.
func (b *Balancer) TakeLeavingNotices() []LeavingNotice {
	out := b.pendingNotices
	b.pendingNotices = nil
	return out
}

// RecordBackoff records that the target has rejected a call and accepts no requests
// from this host for the given time.
func (b *Balancer) RecordBackoff(now time.Time, t *Target, d time.Duration) {
	until := now.Add(min(d, MaxServerBackoff))
	if until.Before(t.notice.backoffUntil) {
		return
	}
	t.notice.backoffUntil = until
	if t.gone {
		b.storeNotice(now, t)
	}
}

// storeNotice keeps the notice of an incarnation that is no longer published.
func (b *Balancer) storeNotice(now time.Time, t *Target) {
	if t.notice.leavingSince.IsZero() && !t.isBackingOff(now) {
		return
	}
	if len(b.notices) >= maxNotices {
		b.evictNotice()
	}
	b.notices[t.Key()] = t.notice
}

// evictNotice drops the notice with the oldest leavingSince. Notices without one
// (back-off only) may be dropped before or after it, depending on the map order.
func (b *Balancer) evictNotice() {
	var oldest route.ServerKey
	var at time.Time
	for key, n := range b.notices {
		if at.IsZero() || n.leavingSince.Before(at) {
			oldest, at = key, n.leavingSince
		}
	}
	delete(b.notices, oldest)
}

// BackoffLeft returns how long it takes until the first of the service's
// servers accepts calls again if all reachable ones have asked this host to
// back off, and otherwise 0.
func (b *Balancer) BackoffLeft(now time.Time, service string) time.Duration {
	pool := b.pools[service]
	if pool == nil {
		return 0
	}
	var first time.Time
	at := b.at(now)
	for _, t := range pool.targets {
		switch {
		case t.isExcluded(now) || t.health.isEjected(at):
		case !t.isBackingOff(now):
			return 0
		case first.IsZero() || t.notice.backoffUntil.Before(first):
			first = t.notice.backoffUntil
		}
	}
	if first.IsZero() {
		return 0
	}
	return first.Sub(now)
}
