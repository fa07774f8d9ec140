package forward

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/policy"
)

const (
	// maxHandovers bounds the hosts that one request is handed over to: most of the
	// fleet may be isolated at the same time.
	maxHandovers = 8
	// callsPerHandover is how many servers may have run each part at a host that did
	// not answer: by a first call, and by a retry or a hedge.
	callsPerHandover = 2
	// A host is given up on after handoverPatience times the route's median latency,
	// and minHandoverPatience at least, if another host may run the request then. If
	// only the caller may send it again, the host gets the longer times.
	handoverPatience    = 5
	minHandoverPatience = 500 * time.Millisecond
	finalPatience       = 10
	minFinalPatience    = time.Second
	// guestsPerCore is how many requests of other hosts a host with one core serves
	// at a time, and minGuests how many the smallest host does, so that its own
	// callers are not starved.
	guestsPerCore = 128
	minGuests     = 8
	// unservableFor is how long a route is not handed over after unservableVotes
	// hosts have found that they cannot serve it either.
	unservableFor   = time.Second
	unservableVotes = 2
)

// Handover is the action of handing over a request to another host. The result
// goes to HandleHandover.
type Handover struct {
	Run     RunID
	Address string
	// PriorCalls is how many servers may have run each part of the request.
	PriorCalls int
	// Reason tells why this host does not serve the request.
	Reason string
}

// HandoverReply is the result of a handover.
type HandoverReply struct {
	Result handover.Result
	// Answer is the other host's final answer. Served is set if it is a success,
	// NotRun if it says that the request has not run; RetryAfter is when the caller
	// may come again then.
	Answer     any
	Served     bool
	NotRun     bool
	RetryAfter time.Duration
	Detail     string
}

// transfer is the state of a request that is handed over.
type transfer struct {
	// to is the host that has the request, since at; it is empty if none has.
	to    string
	at    time.Time
	tried []string
	// priorCalls counts the servers that may have run each part at hosts that did not
	// answer.
	priorCalls int
	reason     string
	// withdrawn is set while the request waits for its calls to end before it is
	// handed over.
	withdrawn bool
}

// SetHosts sets the hosts of the deployment.
func (e *Engine) SetHosts(hosts []handover.Host) {
	if e.opts.Peers != nil {
		e.opts.Peers.SetHosts(hosts)
	}
}

// HandleHandover processes the result of a handover.
func (e *Engine) HandleHandover(now time.Time, id RunID, address string, reply HandoverReply) Actions {
	e.opts.Peers.End(address)
	if r := e.runs[id]; r != nil && r.transfer.to == address {
		e.opts.Peers.Record(now, address, reply.Result)
		r.handleHandover(now, reply)
	}
	return e.takeActions()
}

func (r *run) handleHandover(now time.Time, reply HandoverReply) {
	t := &r.transfer
	r.tracef("%s: %s after %v", t.to, cmp.Or(reply.Detail, reply.Result.String()), now.Sub(t.at).Round(time.Millisecond))
	t.to = ""
	r.engine.noteProof(reply.Served, reply.Result)
	switch reply.Result {
	case handover.Final:
		r.stats.unservableVotes = 0
		r.relay(now, reply)
		return
	case handover.Unservable:
		r.stats.voteUnservable(now)
	case handover.Lost:
		t.priorCalls += callsPerHandover
		if !r.req.Route.Idempotent {
			r.finish(now, Finish{Verdict: Failed, Reason: "the host that had the request did not answer"})
			return
		}
	case handover.Busy:
		t.reason = string(policy.AllBusy)
	case handover.Isolated, handover.Outdated, handover.Unreachable:
	}
	r.handOverOrEnd(now, policy.Reason(t.reason))
}

// relay ends the request with the answer of another host.
func (r *run) relay(now time.Time, reply HandoverReply) {
	if reply.NotRun && r.mayRunAnywhere() {
		r.finish(now, Finish{Verdict: Failed, Reason: "the request may have run before it was handed over", RetryAfter: reply.RetryAfter})
		return
	}
	r.finish(now, Finish{Verdict: Relayed, Answer: reply.Answer})
}

// callsPerPart returns how many servers may have run a part of the request, the
// most of all parts.
func (r *run) callsPerPart() (n int) {
	for i := range r.parts {
		n = max(n, r.parts[i].mayHaveRun)
	}
	return n + r.transfer.priorCalls
}

// mayHandOver reports whether the request may run at another host.
func (r *run) mayHandOver() bool {
	switch {
	case r.engine.opts.Peers == nil || r.req.HandedOver || len(r.transfer.tried) >= maxHandovers:
		return false
	case !r.mayRunAnywhere():
		return true
	}
	return r.req.Route.Idempotent && r.callsPerPart() < r.req.Route.MaxAttempts
}

// handOver hands over the request if it may run at another host and there is one,
// and reports whether it did.
func (r *run) handOver(now time.Time, reason policy.Reason) bool {
	if !r.mayHandOver() {
		return false
	}
	t := &r.transfer
	address, ok := r.engine.opts.Peers.Choose(now, t.tried, r.req.Route.AllowedRegions)
	if !ok {
		r.engine.denyIsolation()
		return false
	}
	r.stopParts()
	t.to, t.at, t.reason, t.withdrawn = address, now, string(reason), false
	t.tried = append(t.tried, address)
	r.engine.opts.Peers.Begin(address)
	r.engine.out.Handover = append(r.engine.out.Handover, Handover{Run: r.id, Address: address, PriorCalls: r.callsPerPart(), Reason: string(reason)})
	r.tracef("handed over to %s, %s", address, reason)
	r.reschedule(now)
	return true
}

// stopParts ends the parts at this host, their calls at once.
func (r *run) stopParts() {
	for i := range r.parts {
		r.parts[i].linger = 0
		r.parts[i].stop()
	}
}

// handOverOrEnd hands over the request, or ends it if no other host can take it.
func (r *run) handOverOrEnd(now time.Time, reason policy.Reason) {
	switch {
	case r.sufficient(r.answeredParts):
		r.answer(now)
	case r.handOver(now, reason):
	case r.mayRunAnywhere():
		r.finish(now, Finish{Verdict: Failed, Reason: string(reason), RetryAfter: r.retryAfter(now, reason)})
	default:
		r.refuseUnreached(now, reason)
	}
}

// refuseUnreached refuses a request for which this host reaches no server, and
// tells a host that has handed it over why.
func (r *run) refuseUnreached(now time.Time, reason policy.Reason) {
	f := Finish{Verdict: Refused, Reason: string(reason), RetryAfter: r.retryAfter(now, reason), Handover: handover.Unservable}
	if r.engine.isIsolated() {
		f.Handover = handover.Isolated
	}
	r.finish(now, f)
}

// withdraw takes the request from the backend servers, which are out of reach, to
// hand it over once its calls have ended. A request that may run only once stays
// with the server that it was sent to.
func (r *run) withdraw(now time.Time) {
	if r.done || r.transfer.to != "" || r.transfer.withdrawn {
		return
	}
	if r.sufficient(r.answeredParts) {
		r.answer(now)
		return
	}
	if r.callsInFlight() == 0 {
		r.handOverOrEnd(now, policy.NoServer)
		return
	}
	if !r.req.Route.Idempotent {
		return
	}
	r.transfer.withdrawn = true
	for i := range r.parts {
		p := &r.parts[i]
		p.service.dequeue(p)
		p.hedgeAt = time.Time{}
		for _, c := range p.calls {
			r.engine.out.Cancel = append(r.engine.out.Cancel, Cancel{Call: c.id})
		}
	}
	r.reschedule(now)
}

// tickTransfer gives up a host that does not answer in time.
func (r *run) tickTransfer(now time.Time) {
	t := &r.transfer
	if !now.Before(r.expiry()) {
		r.expire(now)
		return
	}
	if at, ok := r.transferDue(); ok && !now.Before(at) {
		r.engine.out.Withdraw = append(r.engine.out.Withdraw, r.id)
		r.engine.opts.Peers.Record(now, t.to, handover.Lost)
		r.handleHandover(now, HandoverReply{Result: handover.Lost, Detail: "no answer"})
	}
	r.reschedule(now)
}

// transferDue returns when the host that has the request is given up on, and false
// if it is not: a request that may run only once is not repeated by its caller
// either.
func (r *run) transferDue() (time.Time, bool) {
	if !r.req.Route.Idempotent {
		return time.Time{}, false
	}
	factor, least := time.Duration(finalPatience), minFinalPatience
	if r.callsPerPart()+callsPerHandover < r.req.Route.MaxAttempts {
		factor, least = handoverPatience, minHandoverPatience
	}
	return r.transfer.at.Add(max(factor*r.stats.medianLatency(), least)), true
}

// isUnreached reports whether the request has too few parts because servers
// cannot be reached that other hosts may reach.
func (r *run) isUnreached(now time.Time) bool {
	reachable := r.answeredParts
	for i := range r.parts {
		p := &r.parts[i]
		if p.state != partAnswered && (p.state == partPending || p.unreached) && r.engine.opts.Balancer.IsReachable(now, p.service.name) {
			reachable++
		}
	}
	return r.sufficient(reachable) && !now.Before(r.stats.unservableUntil)
}

// voteUnservable records that another host cannot serve the route either.
func (s *routeStats) voteUnservable(now time.Time) {
	s.unservableVotes++
	if s.unservableVotes >= unservableVotes {
		s.unservableVotes, s.unservableUntil = 0, now.Add(unservableFor)
	}
}

// maxGuests returns how many requests of other hosts this host serves at a time.
func (e *Engine) maxGuests() int { return max(int(guestsPerCore*e.opts.CPUCapacity), minGuests) }

// runsInOrder returns the requests in progress in the order of their start.
func (e *Engine) runsInOrder() []*run {
	return slices.SortedFunc(maps.Values(e.runs), func(a, b *run) int { return cmp.Compare(a.id, b.id) })
}
