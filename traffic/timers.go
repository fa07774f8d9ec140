package traffic

import "time"

// Run fires timers until Stop is called.
func (r *Runner) Run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	regular := time.NewTicker(tickInterval)
	defer regular.Stop()
	for {
		timer.Reset(r.sleepDuration())
		select {
		case <-r.stop:
			return
		case <-r.wake:
		case <-regular.C:
			r.advanceShares()
			r.tick()
		case <-timer.C:
			r.tick()
		}
	}
}

// tickInterval is how often the engines are ticked and the connection shares
// updated even if no timer is due.
const tickInterval = 250 * time.Millisecond

// sleepDuration returns how long Run may sleep, and sets wakeAt accordingly.
func (r *Runner) sleepDuration() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Clock()
	r.wakeAt = r.nextDue(now.Add(tickInterval))
	return max(r.wakeAt.Sub(now), 0)
}

// nextDue returns when the engines must be ticked next, but not after latest.
// The caller holds mu.
func (r *Runner) nextDue(latest time.Time) time.Time {
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
	r.applyQueryActions(r.opts.Queries.Tick(now))
	r.applyCommandActions(r.opts.Commands.Tick(now))
}

// wakeIfEarlier wakes Run if a timer is due before wakeAt. The caller holds mu.
func (r *Runner) wakeIfEarlier() {
	if !r.nextDue(r.wakeAt).Before(r.wakeAt) {
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
