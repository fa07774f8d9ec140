package policy

import (
	"time"

	"github.com/figmast/figmast/route"
)

const (
	// leavingMargin is kept before the end of the time in which a server that
	// leaves may get requests: opening a connection takes up to 250 ms, and
	// the way through the queues of this host and its link about as long.
	leavingMargin = 500 * time.Millisecond
	// MaxServerBackoff bounds for how long a server can ask a host to back off:
	// it cannot foresee its load for longer.
	MaxServerBackoff = time.Minute
	// maxNotices bounds the notices kept of lifetimes that are not published now;
	// it is above the servers of the size in two years.
	maxNotices = 4096
)

// notice is what a lifetime of a backend server has said in its answers.
type notice struct {
	// leaving is when it first said that it leaves; the zero time is never.
	leaving time.Time
	// backoffUntil is until when it wants no requests from this host.
	backoffUntil time.Time
}

// setLeaving sets whether the target leaves and until when it may get calls
// meanwhile. The load that it answers: shards all of whose servers leave, as
// in a scale-in beside an evacuation.
func (b *Balancer) setLeaving(t *Target) {
	t.lastResort, t.until = false, time.Time{}
	bound := func(since time.Time, d time.Duration) {
		until := since.Add(d - leavingMargin)
		if !t.lastResort || until.Before(t.until) {
			t.lastResort, t.until = true, until
		}
	}
	if t.Draining {
		bound(t.DrainingSince, b.opts.DrainFor)
	}
	if t.evacuated {
		bound(t.evacuatedSince, b.opts.EvacuateFor)
	}
	if !t.notice.leaving.IsZero() {
		bound(t.notice.leaving, b.opts.DrainFor)
	}
	if !t.LeavingNoticeAt.IsZero() {
		bound(t.LeavingNoticeAt, b.opts.DrainFor)
	}
}

// Leaves reports whether the server is about to leave, by its entry or by its
// answers.
func (t *Target) Leaves() bool {
	return t.Draining || !t.notice.leaving.IsZero() || !t.LeavingNoticeAt.IsZero()
}

// LastResort reports whether the target gets calls only where no other takes
// them: it is about to leave, or its data centre is evacuated.
func (t *Target) LastResort() bool { return t.lastResort }

// out reports whether the target gets no calls at all.
func (t *Target) out(now time.Time) bool { return t.gone || t.lastResort && !now.Before(t.until) }

// backingOff reports whether the target has asked this host to back off and the
// time is not over.
func (t *Target) backingOff(now time.Time) bool { return now.Before(t.notice.backoffUntil) }

// Takes reports whether a call that was chosen before may still be written to
// the target: it has neither left nor asked this host to back off since.
func (b *Balancer) Takes(now time.Time, t *Target) bool { return !t.out(now) && !t.backingOff(now) }

// NoteLeaving takes in that the target has said in an answer that it leaves.
// That holds for its lifetime, whatever its entry says.
func (b *Balancer) NoteLeaving(now time.Time, t *Target) {
	if !t.notice.leaving.IsZero() {
		return
	}
	t.notice.leaving = now
	b.setLeaving(t)
	if len(b.toTell) < maxNotices {
		b.toTell = append(b.toTell, LeavingNotice{t.Key(), now})
	}
	if t.gone {
		b.keepNotice(now, t)
	}
}

// LeavingNotice is when a lifetime of a server first said that it leaves.
type LeavingNotice struct {
	Server route.ServerKey
	At     time.Time
}

// TakeLeavingNotices returns which servers have said that they leave since the
// last time.
func (b *Balancer) TakeLeavingNotices() []LeavingNotice {
	out := b.toTell
	b.toTell = nil
	return out
}

// NoteBackoff takes in that the target has turned a call away and wants nothing
// from this host for so long.
func (b *Balancer) NoteBackoff(now time.Time, t *Target, d time.Duration) {
	until := now.Add(min(d, MaxServerBackoff))
	if until.Before(t.notice.backoffUntil) {
		return
	}
	t.notice.backoffUntil = until
	if t.gone {
		b.keepNotice(now, t)
	}
}

// keepNotice keeps what a lifetime said that is no longer published.
func (b *Balancer) keepNotice(now time.Time, t *Target) {
	if t.notice.leaving.IsZero() && !t.backingOff(now) {
		return
	}
	if len(b.notices) >= maxNotices {
		b.dropNotice()
	}
	b.notices[t.Key()] = t.notice
}

// dropNotice forgets the lifetime that has said longest ago that it leaves.
func (b *Balancer) dropNotice() {
	var oldest route.ServerKey
	var at time.Time
	for key, n := range b.notices {
		if at.IsZero() || n.leaving.Before(at) {
			oldest, at = key, n.leaving
		}
	}
	delete(b.notices, oldest)
}

// BackoffLeft returns how long it takes until the first of the service's servers
// takes calls again, where all that could be reached have asked this host to
// back off; else 0.
func (b *Balancer) BackoffLeft(now time.Time, service string) time.Duration {
	pool := b.pools[service]
	if pool == nil {
		return 0
	}
	var first time.Time
	at := b.at(now)
	for _, t := range pool.list {
		switch {
		case t.out(now) || t.health.ejected(at):
		case !t.backingOff(now):
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
