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
	// MostAlone bounds how long a server is left alone by its own word: a
	// server cannot foresee its load for longer.
	MostAlone = time.Minute
	// maxWords bounds the words kept of lifetimes that are not published now;
	// it is above the servers of the size in two years.
	maxWords = 4096
)

// word is what a lifetime of a backend server has said in its answers.
type word struct {
	// leaving is when it first said that it leaves; the zero time is never.
	leaving time.Time
	// aloneUntil is until when it wants no requests from this host.
	aloneUntil time.Time
}

// setLeaving sets whether the target leaves and until when it may get calls
// meanwhile. The load that it answers: shards all of whose servers leave, as
// in a scale-in beside an evacuation.
func (b *Balancer) setLeaving(t *Target) {
	t.leaving, t.until = false, time.Time{}
	bound := func(since time.Time, d time.Duration) {
		until := since.Add(d - leavingMargin)
		if !t.leaving || until.Before(t.until) {
			t.leaving, t.until = true, until
		}
	}
	if t.Draining {
		bound(t.DrainingSince, b.opts.DrainFor)
	}
	if t.evacuated {
		bound(t.evacuatedSince, b.opts.EvacuateFor)
	}
	if !t.word.leaving.IsZero() {
		bound(t.word.leaving, b.opts.DrainFor)
	}
	if !t.ToldLeaving.IsZero() {
		bound(t.ToldLeaving, b.opts.DrainFor)
	}
}

// Leaves reports whether the server is about to leave, by its entry or by its
// answers.
func (t *Target) Leaves() bool {
	return t.Draining || !t.word.leaving.IsZero() || !t.ToldLeaving.IsZero()
}

// Leaving reports whether the target gets calls only where no other takes them:
// it is about to leave, or its data centre is evacuated.
func (t *Target) Leaving() bool { return t.leaving }

// out reports whether the target gets no calls at all.
func (t *Target) out(now time.Time) bool { return t.gone || t.leaving && !now.Before(t.until) }

// asksAlone reports whether the target has asked to be left alone for longer.
func (t *Target) asksAlone(now time.Time) bool { return now.Before(t.word.aloneUntil) }

// Takes reports whether a call that was chosen before may still be written to
// the target: it has neither left nor asked to be left alone since.
func (b *Balancer) Takes(now time.Time, t *Target) bool { return !t.out(now) && !t.asksAlone(now) }

// SaidLeaving takes in that the target has said in an answer that it leaves.
// That holds for its lifetime, whatever its entry says.
func (b *Balancer) SaidLeaving(now time.Time, t *Target) {
	if !t.word.leaving.IsZero() {
		return
	}
	t.word.leaving = now
	b.setLeaving(t)
	if len(b.said) < maxWords {
		b.said = append(b.said, Said{t.Key(), now})
	}
	if t.gone {
		b.keepWord(now, t)
	}
}

// Said is when a lifetime of a server first said that it leaves.
type Said struct {
	Server route.Key
	At     time.Time
}

// TakeSaid returns which servers have said that they leave since the last time.
func (b *Balancer) TakeSaid() []Said {
	out := b.said
	b.said = nil
	return out
}

// SaidAlone takes in that the target has turned a call away and wants nothing
// from this host for so long.
func (b *Balancer) SaidAlone(now time.Time, t *Target, d time.Duration) {
	until := now.Add(min(d, MostAlone))
	if until.Before(t.word.aloneUntil) {
		return
	}
	t.word.aloneUntil = until
	if t.gone {
		b.keepWord(now, t)
	}
}

// keepWord keeps what a lifetime said that is no longer published.
func (b *Balancer) keepWord(now time.Time, t *Target) {
	if t.word.leaving.IsZero() && !t.asksAlone(now) {
		return
	}
	if len(b.words) >= maxWords {
		b.dropWord()
	}
	b.words[t.Key()] = t.word
}

// dropWord forgets the lifetime that has said longest ago that it leaves.
func (b *Balancer) dropWord() {
	var oldest route.Key
	var at time.Time
	for key, w := range b.words {
		if at.IsZero() || w.leaving.Before(at) {
			oldest, at = key, w.leaving
		}
	}
	delete(b.words, oldest)
}

// AloneFor returns how long it takes until the first of the service's servers
// takes calls again, where all that could be reached have asked to be left
// alone; else 0.
func (b *Balancer) AloneFor(now time.Time, service string) time.Duration {
	pool := b.pools[service]
	if pool == nil {
		return 0
	}
	var first time.Time
	at := b.at(now)
	for _, t := range pool.list {
		switch {
		case t.out(now) || t.health.ejected(at):
		case !t.asksAlone(now):
			return 0
		case first.IsZero() || t.word.aloneUntil.Before(first):
			first = t.word.aloneUntil
		}
	}
	if first.IsZero() {
		return 0
	}
	return first.Sub(now)
}
