package command

import "time"

// Limits by which a pause of the process is noticed. Tick comes at least
// every second.
const (
	// pauseLimit without any event means that the process was paused.
	pauseLimit = 2500 * time.Millisecond
	// pauseBacklog is how long after a pause requests may still be read that
	// arrived in it.
	pauseBacklog = time.Second
)

// pauses keeps the engine's time and notices when the process was paused.
type pauses struct {
	latest time.Time
	// woke is when the last pause ended, length how long it was.
	woke   time.Time
	length time.Duration
}

// observe takes in the time of an event and returns the engine's time, which
// never steps back: a ticket that has lapsed stays so.
func (e *Engine) observe(now time.Time) time.Time {
	p := &e.pauses
	if gap := now.Sub(p.latest); !p.latest.IsZero() && gap >= pauseLimit {
		p.woke, p.length = now, gap
	}
	if now.After(p.latest) {
		p.latest = now
	}
	return p.latest
}

// deadline returns until when a request that is read now may be sent to a
// backend server. One that lay unread during a pause is older than its time
// left tells; it is taken to have lain there all along.
func (p *pauses) deadline(now, of time.Time) time.Time {
	if p.woke.IsZero() || now.Sub(p.woke) > pauseBacklog {
		return of
	}
	return of.Add(-p.length)
}
