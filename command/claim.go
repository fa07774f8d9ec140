package command

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// digest is a hash of the content of a command.
type digest [16]byte

// claim is the single use of a ticket by a command. It is kept until the ticket
// has lapsed and the run has ended.
type claim struct {
	serial    uint64
	content   digest
	lapsesAt  time.Time
	hasLapsed bool
	waiters   []*waiter
	// run is the command in progress; nil once the outcome is known.
	run     *run
	outcome Finish
}

// run is the execution of a claimed command until its outcome is known.
type run struct {
	req          Request
	doc          *document.Service
	leaf         string
	fingerprint  uint64
	triedServers []*policy.Server
	server       *policy.Server
	sentAt       time.Time
	// deadline applies to the attempts. It is not after the request's deadline.
	deadline time.Time
	// capacityDeadline is until when the run may wait for a server with free
	// capacity, and wasQueued is set once it has had to wait.
	capacityDeadline time.Time
	wasQueued        bool
}

// contentDigest returns the digest of operation, shard key and payload.
func contentDigest(req Request) digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Operation), []byte(req.ShardKey), req.Payload} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return digest(h.Sum(nil)[:len(digest{})])
}

// useTicket handles a command whose ticket this process minted. The first
// command claims the ticket; later ones with the same content join the claim.
func (e *Engine) useTicket(now time.Time, w *waiter, t Ticket) {
	content := contentDigest(w.req)
	c := e.claims[t.Serial]
	switch {
	case c != nil && c.content != content:
		e.refuse(w, contentMismatch())
	case c != nil:
		e.join(c, w)
	case !now.Before(t.lapse()):
		e.refuse(w, ticketLapsed())
	default:
		c = &claim{serial: t.Serial, content: content, lapsesAt: t.lapse()}
		e.claims[t.Serial] = c
		e.lapseQueue.add(c.lapsesAt, c)
		e.attach(c, w)
		e.recordDecision(w, decision.Claimed, "", "", "")
		e.admit(now, c, w)
	}
}

func (e *Engine) attach(c *claim, w *waiter) {
	w.claim = c
	c.waiters = append(c.waiters, w)
}

// join has the caller wait for the outcome of a claimed command, or answers with
// the recorded outcome.
func (e *Engine) join(c *claim, w *waiter) {
	e.recordDecision(w, decision.Joined, "", "", "")
	if c.run != nil {
		e.attach(c, w)
		return
	}
	e.finish(w, c.outcome)
}

// detach removes a caller from the claim that it waits for. The command
// continues.
func (e *Engine) detach(w *waiter) {
	if w.claim == nil {
		return
	}
	rest := w.claim.waiters[:0]
	for _, other := range w.claim.waiters {
		if other != w {
			rest = append(rest, other)
		}
	}
	w.claim.waiters = rest
	w.claim = nil
}

// admit starts the run of a new claim, or records that the command is never run.
func (e *Engine) admit(now time.Time, c *claim, w *waiter) {
	v := e.opts.Router.View()
	deadline := e.pauses.adjustDeadline(now, w.req.Deadline)
	if !now.Before(deadline) {
		e.recordOutcome(c, Finish{Problem: notRunProblem("the request was read too late", "", e.opts.Host, resendDelay)})
		return
	}
	if e.isClosed {
		e.recordOutcome(c, Finish{Problem: notRunProblem("the host is leaving", "", e.opts.Host, resendDelay)})
		return
	}
	if !v.Valid(now) {
		wait := e.opts.Router.Backoff(now, w.req.Service, policy.StaleView)
		e.recordOutcome(c, Finish{Problem: notRunProblem("the configuration view is stale", string(policy.StaleView), e.opts.Host, wait)})
		return
	}
	doc := v.Services[w.req.Service]
	if doc == nil {
		e.recordOutcome(c, Finish{Problem: unknownService(w.req.Service)})
		return
	}
	if op, ok := doc.Operation(w.req.Operation); !ok || op.Kind != document.Command {
		e.recordOutcome(c, Finish{Problem: unknownOperation(w.req.Operation)})
		return
	}
	c.run = &run{
		req: w.req, doc: doc, leaf: pickLeaf(doc, w.req.ShardKey),
		fingerprint: fingerprint(w.req), deadline: deadline, capacityDeadline: capacityDeadline(now, deadline),
	}
	e.send(now, c)
}

// linger is how long past the deadline a call may still be answered, so that a
// resend can get the outcome.
const linger = 2 * time.Second

// send makes an attempt to run the command. If no server is available, it waits
// for capacity or records that the command is never run. Recording NotRun is
// safe here: either nothing has been sent yet, or every server tried so far is
// known not to have run the command.
func (e *Engine) send(now time.Time, c *claim) {
	r := c.run
	router := e.opts.Router
	srv, reason := router.Pick(now, policy.PickInfo{
		Service: r.req.Service, Leaf: r.leaf, Tried: r.triedServers, Fingerprint: r.fingerprint, Command: true,
	})
	if srv == nil && e.awaitCapacity(now, c, reason) {
		return
	}
	if srv == nil {
		wait := router.Backoff(now, r.req.Service, reason)
		e.recordOutcome(c, Finish{Problem: notRunProblem("no backend server", string(reason), "", wait)})
		return
	}
	router.Begin(now, srv)
	r.server, r.sentAt = srv, now
	r.triedServers = append(r.triedServers, srv)
	id := e.opts.NextCall()
	e.calls[id] = c
	e.out.Send = append(e.out.Send, leafcall.Send{
		ID: id, Server: srv, Via: router.Holder(srv), RequestID: r.req.ID, Operation: r.req.Operation,
		Payload: r.req.Payload, Deadline: r.deadline, Linger: linger, Command: true, Guard: guard(r.deadline, c.lapsesAt),
	})
	e.recordRunDecision(c, decision.Sent, "")
}

// guard returns the check that is made right before the first byte is written,
// because the process may have been paused since the decision to send. The check
// reads no mutable state.
func guard(deadline, lapse time.Time) func(time.Time) bool {
	return func(now time.Time) bool { return now.Before(deadline) && now.Before(lapse) }
}

// Reply passes the result of a call to the engine. Results of unknown calls and
// of calls that have already ended are ignored.
func (e *Engine) Reply(now time.Time, id leafcall.ID, res leafcall.Result) Actions {
	now = e.advanceClock(now)
	c := e.calls[id]
	if c == nil {
		return Actions{}
	}
	delete(e.calls, id)
	r := c.run
	e.opts.Router.Done(now, r.server, policy.Observation{
		Result: res.Observed(), Latency: now.Sub(r.sentAt), Cold: res.Cold, Fingerprint: r.fingerprint,
	})
	switch {
	case res.Status == leafcall.OK:
		e.recordOutcome(c, Finish{Answer: &figmast.CommandAnswer{
			RequestID: r.req.ID, Service: r.req.Service, Outcome: figmast.Ran,
			Leaf: r.leaf, Server: r.server.ID, Result: res.Body,
		}})
	case !res.NotRun():
		e.recordOutcome(c, Finish{Problem: mayHaveRun(r.server.ID)})
	case e.canRetry(now, c):
		e.recordRunDecision(c, decision.Retried, "not run by "+r.server.ID)
		e.send(now, c)
	default:
		wait := max(res.RetryAfter, e.opts.Router.Backoff(now, r.req.Service, policy.AllBusy))
		e.recordOutcome(c, Finish{Problem: notRunProblem("the backend server did not run the command", "", r.server.ID, wait)})
	}
	return e.takeActions()
}

// canRetry reports whether a command that no server has run may be sent to
// another server. If so, the retry is taken from the retry budget.
func (e *Engine) canRetry(now time.Time, c *claim) bool {
	r := c.run
	if len(r.triedServers) >= r.doc.Retries.Attempts || !guard(r.deadline, c.lapsesAt)(now) {
		return false
	}
	return e.opts.Router.SpendRetry(now, r.req.Service)
}

// recordOutcome records the final outcome of a claim and answers all waiting
// callers.
func (e *Engine) recordOutcome(c *claim, f Finish) {
	waiting := c.waiters
	c.waiters, c.run = nil, nil
	for _, w := range waiting {
		w.claim = nil
		e.finish(w, f)
	}
	c.outcome = e.heldOutcome(f)
	e.dropIfDone(c)
}

// heldOutcome returns the outcome to keep for resends. A result that would
// exceed MaxHeldBytes is replaced by a problem that says that it is not held.
func (e *Engine) heldOutcome(f Finish) Finish {
	if f.Answer == nil {
		return f
	}
	size := len(f.Answer.Result)
	if e.heldBytes+size > e.opts.MaxHeldBytes {
		return Finish{Problem: resultNotHeld(f.Answer.Service)}
	}
	e.heldBytes += size
	return f
}

// dropIfDone drops the claim if its ticket has lapsed and its run has ended.
func (e *Engine) dropIfDone(c *claim) {
	if !c.hasLapsed || c.run != nil {
		return
	}
	if c.outcome.Answer != nil {
		e.heldBytes -= len(c.outcome.Answer.Result)
	}
	delete(e.claims, c.serial)
}

// recordRunDecision records a decision about a run for each waiting caller.
func (e *Engine) recordRunDecision(c *claim, k decision.Kind, reason string) {
	for _, w := range c.waiters {
		e.recordDecision(w, k, c.run.leaf, c.run.server.ID, reason)
	}
}

// fingerprint identifies the content of a command independently of its ticket.
func fingerprint(req Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(req.Service + "\x00" + req.Operation + "\x00")
	_, _ = h.Write(req.Payload)
	return h.Sum64()
}

// pickLeaf returns the leaf for the key by rendezvous hashing over the leaves
// that hold data of the newest snapshot.
func pickLeaf(doc *document.Service, key string) string {
	snap := doc.Snapshots[len(doc.Snapshots)-1]
	var best string
	var bestScore uint64
	for _, w := range snap.Weights {
		if w.Weight == 0 {
			continue
		}
		score := xxhash.Sum64String(w.Leaf + "\x00" + key)
		if best == "" || score > bestScore {
			best, bestScore = w.Leaf, score
		}
	}
	return best
}
