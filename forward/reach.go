package forward

import (
	"time"

	"github.com/figmast/figmast/handover"
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
	b := e.opts.Balancer
	if reply.Connected {
		b.RecordConnected()
	}
	switch {
	case reply.Outcome == Answered || reply.Outcome == NotRun:
		e.reachChanged(now, b.RecordAnswer(now))
	case reply.Outcome == Broken:
		b.RecordPathFailure(c.target)
	case reply.Outcome == NotSent && !reply.Withheld:
		b.RecordNotConnected(c.target)
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
	if c.Previous == policy.Isolated && e.isolation != isolationDenied && e.hasPeers() {
		e.crashes.forget(e.silentSince)
	}
	e.isolation = isolationUntold
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

// proofTime is how long an isolated host waits for another host to tell whether
// it serves requests.
const proofTime = time.Second

// proveIsolation processes the fact that another host has served a request that
// this one could not.
func (e *Engine) proveIsolation() {
	if e.isIsolated() && e.isolation != isolationProven {
		e.isolation = isolationProven
		e.crashes.forget(e.silentSince)
	}
}

// hasPeers reports whether other hosts are known.
func (e *Engine) hasPeers() bool { return e.opts.Peers != nil && e.opts.Peers.Len() > 0 }

// isolationProof is what other hosts have told an isolated host.
type isolationProof int

const (
	// isolationUntold means that none has answered, isolationUndecided that one has,
	// but neither served a request nor found itself isolated.
	isolationUntold isolationProof = iota
	isolationUndecided
	// isolationProven means that another host has served a request,
	// isolationDenied that none could: the servers may have ended in fact.
	isolationProven
	isolationDenied
)

// noteProof records what the result of a handover says about the isolation.
func (e *Engine) noteProof(served bool, result handover.Result) {
	switch {
	case served:
		e.proveIsolation()
	case result == handover.Final && e.isolation != isolationProven:
		e.isolation = isolationUndecided
	}
}

// denyIsolation processes the fact that no host is left to ask: all have said that
// they reach no server either.
func (e *Engine) denyIsolation() {
	if e.isIsolated() && e.isolation == isolationUntold {
		e.isolation = isolationDenied
	}
}

// doubt is whether a finding that a server has crashed holds.
type doubt int

const (
	noDoubt doubt = iota
	// undecided findings wait, refuted ones are dropped.
	undecided
	refuted
)

// doubtFinding tells whether the end of a server may in fact be a failure of this
// host's own path.
func (e *Engine) doubtFinding(now time.Time, f finding) doubt {
	recent := now.Sub(f.at) < proofTime
	switch {
	case f.server.Gone():
		return noDoubt
	case e.opts.Balancer.LacksConnections() && recent:
		return undecided // until a probe tells
	case e.opts.Balancer.LacksConnections() && e.opts.Balancer.HeardSince(f.at):
		return refuted
	case e.isIsolated() && (now.Sub(e.isolatedAt) < proofTime):
		return undecided
	case e.isIsolated() && e.isolation == isolationUndecided:
		return refuted
	case e.isIsolated() && e.isolation == isolationUntold && e.hasPeers() && now.Sub(f.at) < e.unansweredTTL():
		return undecided
	case e.opts.Balancer.IsPathSuspected(now) && (recent || e.opts.Balancer.ReachState() == policy.Silent):
		return undecided
	}
	return noDoubt
}
