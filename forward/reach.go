package forward

import (
	"time"

	"github.com/figmast/figmast/policy"
)

// Probe is the action of trying to open a connection to a server. The result goes
// to HandleProbe.
type Probe struct{ Target *policy.Target }

// HandleProbe processes whether a probe has reached its server.
func (e *Engine) HandleProbe(now time.Time, reached bool) Actions {
	e.reachChanged(now, e.opts.Balancer.RecordProbe(now, reached))
	e.scheduleReachCheck(now)
	return e.takeActions()
}

// observeReach records what the result of a call says about the host's own path
// to the backend servers.
func (e *Engine) observeReach(now time.Time, c *call, reply Reply) {
	switch {
	case reply.Outcome == Answered || reply.Outcome == NotRun:
		e.reachChanged(now, e.opts.Balancer.RecordAnswer(now))
	case reply.Outcome == Broken, reply.Outcome == NotSent && !reply.Withheld:
		e.opts.Balancer.RecordPathFailure(c.target)
	}
	e.scheduleReachCheck(now)
}

// checkReach looks for silence of all backend servers, and for the end of an
// isolation.
func (e *Engine) checkReach(now time.Time) {
	if e.reachCheckAt.IsZero() || now.Before(e.reachCheckAt) {
		return
	}
	change, probes := e.opts.Balancer.CheckReach(now)
	for _, t := range probes {
		e.out.Probe = append(e.out.Probe, Probe{t})
	}
	e.reachChanged(now, change)
	e.scheduleReachCheck(now)
}

func (e *Engine) scheduleReachCheck(now time.Time) {
	e.reachCheckAt, _ = e.opts.Balancer.NextReachCheck(now)
}

// reachChanged processes a change of the host's reach, if there is one.
func (e *Engine) reachChanged(now time.Time, c *policy.ReachChange) {
	if c == nil {
		return
	}
	e.out.Reach = append(e.out.Reach, *c)
	e.isolationProven = false
	if c.State != policy.Isolated {
		return
	}
	e.isolatedAt, e.silentSince = now, c.HeardAt
	for _, r := range e.runsInOrder() {
		r.withdraw(now)
	}
}

// isIsolated reports whether the host reaches no backend server.
func (e *Engine) isIsolated() bool { return e.opts.Balancer.ReachState() == policy.Isolated }

// mayServeDirectly reports whether this host may serve one more request itself.
func (e *Engine) mayServeDirectly() bool {
	limit, limited := e.opts.Balancer.DirectLimit()
	return !limited || e.direct < limit
}

// proofTime is how long an isolated host waits for another host to serve a
// request. If none does, the servers may have ended in fact.
const proofTime = time.Second

// proveIsolation processes the fact that another host has served a request that
// this one could not.
func (e *Engine) proveIsolation() {
	if e.isIsolated() && !e.isolationProven {
		e.isolationProven = true
		e.crashes.forget(e.silentSince)
	}
}

// isPathInDoubt reports whether failures of servers may turn out to be failures
// of this host's own path.
func (e *Engine) isPathInDoubt(now time.Time) bool {
	if e.isIsolated() {
		return now.Sub(e.isolatedAt) < proofTime
	}
	return e.opts.Balancer.IsPathSuspected(now)
}
