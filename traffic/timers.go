package traffic

import "time"

// Run fires timers until Stop.
func (r *Runner) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	regular := time.NewTicker(tickEvery)
	defer regular.Stop()
	for {
		timer.Reset(r.untilNext())
		select {
		case <-r.stop:
			return
		case <-r.wake:
		case <-regular.C:
			r.advance()
			r.tick()
		case <-timer.C:
			r.tick()
		}
	}
}

// tickEvery is how often the engines are ticked, and shares of connections
// looked at, when no timer is due.
const tickEvery = 250 * time.Millisecond

// untilNext returns how long Run may sleep, and notes until when it does.
func (r *Runner) untilNext() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock()
	r.sleepsUntil = r.next(now.Add(tickEvery))
	return max(r.sleepsUntil.Sub(now), 0)
}

// next returns when the engines have something to do, at most that time. The
// caller holds mu.
func (r *Runner) next(latest time.Time) time.Time {
	if at, ok := r.opts.Queries.Next(); ok && at.Before(latest) {
		latest = at
	}
	if at, ok := r.opts.Commands.Next(); ok && at.Before(latest) {
		latest = at
	}
	return latest
}

func (r *Runner) tick() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock()
	r.runQuery(r.opts.Queries.Tick(now))
	r.runCommand(r.opts.Commands.Tick(now))
}

// nudge wakes Run if it would sleep too long now. The caller holds mu.
func (r *Runner) nudge() {
	if !r.next(r.sleepsUntil).Before(r.sleepsUntil) {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
