package forward

import (
	"time"

	"github.com/figmast/figmast/policy"
)

// observeReach records what the result of a call says about the host's own path
// to the backend servers.
func (e *Engine) observeReach(now time.Time, c *call, reply Reply) {
	switch {
	case reply.Outcome == Answered || reply.Outcome == NotRun:
		e.addReachChange(e.opts.Balancer.RecordAnswer(now))
	case reply.Outcome == Broken, reply.Outcome == NotSent && !reply.Withheld:
		e.opts.Balancer.RecordPathFailure(c.target)
	}
	e.scheduleReachCheck(now)
}

// checkReach looks for silence of all backend servers.
func (e *Engine) checkReach(now time.Time) {
	if e.reachCheckAt.IsZero() || now.Before(e.reachCheckAt) {
		return
	}
	e.addReachChange(e.opts.Balancer.CheckReach(now))
	e.scheduleReachCheck(now)
}

func (e *Engine) scheduleReachCheck(now time.Time) {
	e.reachCheckAt, _ = e.opts.Balancer.NextReachCheck(now)
}

func (e *Engine) addReachChange(c policy.ReachChange, changed bool) {
	if changed {
		e.out.Reach = append(e.out.Reach, c)
	}
}
