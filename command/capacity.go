package command

import (
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/policy"
)

// Limits on waiting for capacity at the backend servers.
const (
	// capacityWaitDivisor limits the wait of a command to this fraction (1/4)
	// of the time left until its deadline, so that a refused caller still has
	// time to try something else.
	capacityWaitDivisor = 4
	// maxCapacityWait also limits the wait.
	maxCapacityWait = 500 * time.Millisecond
	// maxCapacityWaiters limits the number of waiting commands. Further ones
	// are refused.
	maxCapacityWaiters = 1024
)

// capacityPollInterval is how often a waiting command looks for a server with
// free capacity. More urgent commands poll more often, so that they are likely
// to be served first.
func capacityPollInterval(u figmast.Urgency) time.Duration {
	switch u.Rank() {
	case 0:
		return 5 * time.Millisecond
	case 1:
		return 10 * time.Millisecond
	default:
		return 20 * time.Millisecond
	}
}

// capacityDeadline returns until when a command that is admitted now may wait
// for capacity.
func capacityDeadline(now, deadline time.Time) time.Time {
	return now.Add(min(deadline.Sub(now)/capacityWaitDivisor, maxCapacityWait))
}

// awaitCapacity schedules another attempt if a server may have free capacity by
// then. It reports whether it did.
func (e *Engine) awaitCapacity(now time.Time, c *claim, reason policy.Reason) bool {
	r := c.run
	isTransient := reason == policy.AllBusy || reason == policy.AllCold
	again := now.Add(capacityPollInterval(r.req.Urgency))
	if !isTransient || e.isClosed || e.capacityQueue.len() >= maxCapacityWaiters || again.After(r.capacityDeadline) {
		return false
	}
	if !r.wasQueued {
		r.wasQueued = true
		for _, w := range c.waiters {
			e.recordDecision(w, decision.Queued, r.leaf, "", string(reason))
		}
	}
	e.capacityQueue.add(again, c)
	return true
}

// retryWaiting retries the runs that wait for capacity and are due.
func (e *Engine) retryWaiting(now time.Time) {
	for c, ok := e.capacityQueue.popDue(now); ok; c, ok = e.capacityQueue.popDue(now) {
		e.send(now, c)
	}
}
