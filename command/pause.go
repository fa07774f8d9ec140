package command

import "time"

// Limits for detecting that the process was paused. The engine relies on Tick
// being called at least once per second.
const (
	// pauseThreshold is the shortest time without any event after which the
	// process is assumed to have been paused.
	pauseThreshold = 2500 * time.Millisecond
	// pauseBacklog is how long after a pause requests that arrived during it
	// may still be read.
	pauseBacklog = time.Second
)

// pauseDetector keeps the engine's time and detects pauses of the process.
type pauseDetector struct {
	latestTime time.Time
	// resumedAt is when the last pause ended, pausedFor how long it lasted.
	resumedAt time.Time
	pausedFor time.Duration
}

// advanceClock records the time of an event and returns the engine's time. The
// engine's time never goes back, so a lapsed ticket stays lapsed.
func (e *Engine) advanceClock(now time.Time) time.Time {
	p := &e.pauses
	if gap := now.Sub(p.latestTime); !p.latestTime.IsZero() && gap >= pauseThreshold {
		p.resumedAt, p.pausedFor = now, gap
	}
	if now.After(p.latestTime) {
		p.latestTime = now
	}
	return p.latestTime
}

// adjustDeadline returns until when a request that is read now may be sent to a
// backend server. Deadlines are computed from the time left when a request is
// read. A request that arrived during a pause is older than that suggests, so
// shortly after a pause every request is assumed to have waited for all of it.
func (p *pauseDetector) adjustDeadline(now, deadline time.Time) time.Time {
	if p.resumedAt.IsZero() || now.Sub(p.resumedAt) > pauseBacklog {
		return deadline
	}
	return deadline.Add(-p.pausedFor)
}
