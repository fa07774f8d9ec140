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

// digest identifies the content of a command.
type digest [16]byte

// claim is the one use of a ticket. It lives until the ticket has lapsed and
// the run has ended.
type claim struct {
	serial  uint64
	content digest
	lapse   time.Time
	lapsed  bool
	waiting []*wait
	// run is the command in progress; nil once the outcome is known.
	run     *run
	outcome Finish
}

// run is a claimed command until its outcome is known.
type run struct {
	req         Request
	doc         *document.Service
	leaf        string
	fingerprint uint64
	tried       []*policy.Server
	server      *policy.Server
	sent        time.Time
	// deadline of the attempts, at most the request's.
	deadline time.Time
	// roomUntil is until when the run waits for room at a server, and queued
	// is set once it has.
	roomUntil time.Time
	queued    bool
}

// contentOf returns the digest of what the command does.
func contentOf(req Request) digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(req.Operation), []byte(req.ShardKey), req.Payload} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return digest(h.Sum(nil)[:len(digest{})])
}

// present shows this process a ticket that it minted: the command joins the
// claim that the ticket has, or claims it.
func (e *Engine) present(now time.Time, w *wait, t Ticket) {
	content := contentOf(w.req)
	c := e.claims[t.Serial]
	switch {
	case c != nil && c.content != content:
		e.refuse(w, otherContent())
	case c != nil:
		e.join(c, w)
	case !now.Before(t.lapse()):
		e.refuse(w, lapsed())
	default:
		c = &claim{serial: t.Serial, content: content, lapse: t.lapse()}
		e.claims[t.Serial] = c
		e.lapses.add(c.lapse, c)
		e.attach(c, w)
		e.decide(w, decision.Claimed, "", "", "")
		e.admit(now, c, w)
	}
}

func (e *Engine) attach(c *claim, w *wait) {
	w.claim = c
	c.waiting = append(c.waiting, w)
}

// join waits for, or repeats, the outcome of a command that was claimed.
func (e *Engine) join(c *claim, w *wait) {
	e.decide(w, decision.Joined, "", "", "")
	if c.run != nil {
		e.attach(c, w)
		return
	}
	e.finish(w, c.outcome)
}

// leave takes a caller off the claim that it waits for; the claim goes on.
func (e *Engine) leave(w *wait) {
	if w.claim == nil {
		return
	}
	rest := w.claim.waiting[:0]
	for _, other := range w.claim.waiting {
		if other != w {
			rest = append(rest, other)
		}
	}
	w.claim.waiting = rest
	w.claim = nil
}

// admit starts the run of a new claim, or settles that it never runs.
func (e *Engine) admit(now time.Time, c *claim, w *wait) {
	v := e.opts.Router.View()
	deadline := e.pauses.deadline(now, w.req.Deadline)
	if !now.Before(deadline) {
		e.settle(c, Finish{Problem: comeAgain("the request was read too late", "", e.opts.Host, comeBack)})
		return
	}
	if e.closed {
		e.settle(c, Finish{Problem: comeAgain("the host is leaving", "", e.opts.Host, comeBack)})
		return
	}
	if !v.Valid(now) {
		wait := e.opts.Router.Backoff(now, w.req.Service, policy.StaleView)
		e.settle(c, Finish{Problem: comeAgain("the configuration view is stale", string(policy.StaleView), e.opts.Host, wait)})
		return
	}
	doc := v.Services[w.req.Service]
	if doc == nil {
		e.settle(c, Finish{Problem: unknownService(w.req.Service)})
		return
	}
	if op, ok := doc.Operation(w.req.Operation); !ok || op.Kind != document.Command {
		e.settle(c, Finish{Problem: unknownOperation(w.req.Operation)})
		return
	}
	c.run = &run{
		req: w.req, doc: doc, leaf: pickLeaf(doc, w.req.ShardKey),
		fingerprint: fingerprint(w.req), deadline: deadline, roomUntil: roomUntil(now, deadline),
	}
	e.send(now, c)
}

// linger is how long past its deadline an answer is waited for, so that a
// resend may learn the outcome.
const linger = 2 * time.Second

// send makes one attempt of the run, or settles that it never runs: nothing
// has been sent yet, or every server tried has said that it did not run it.
func (e *Engine) send(now time.Time, c *claim) {
	r := c.run
	router := e.opts.Router
	srv, reason := router.Pick(now, policy.PickInfo{
		Service: r.req.Service, Leaf: r.leaf, Tried: r.tried, Fingerprint: r.fingerprint, Command: true,
	})
	if srv == nil && e.awaitRoom(now, c, reason) {
		return
	}
	if srv == nil {
		wait := router.Backoff(now, r.req.Service, reason)
		e.settle(c, Finish{Problem: comeAgain("no backend server", string(reason), "", wait)})
		return
	}
	router.Begin(now, srv)
	r.server, r.sent = srv, now
	r.tried = append(r.tried, srv)
	id := e.opts.NextCall()
	e.calls[id] = c
	e.out.Send = append(e.out.Send, leafcall.Send{
		ID: id, Server: srv, Via: router.Holder(srv), RequestID: r.req.ID, Operation: r.req.Operation,
		Payload: r.req.Payload, Deadline: r.deadline, Linger: linger, Command: true, Guard: guard(r.deadline, c.lapse),
	})
	e.note(c, decision.Sent, "")
}

// guard is asked right before the first byte is written, maybe by a process
// that was paused since the decision. It reads nothing that changes.
func guard(deadline, lapse time.Time) func(time.Time) bool {
	return func(now time.Time) bool { return now.Before(deadline) && now.Before(lapse) }
}

// Reply hands in how a call ended. Unknown and late calls are ignored.
func (e *Engine) Reply(now time.Time, id leafcall.ID, res leafcall.Result) Actions {
	now = e.observe(now)
	c := e.calls[id]
	if c == nil {
		return Actions{}
	}
	delete(e.calls, id)
	r := c.run
	e.opts.Router.Done(now, r.server, policy.Observation{
		Result: res.Observed(), Latency: now.Sub(r.sent), Cold: res.Cold, Fingerprint: r.fingerprint,
	})
	switch {
	case res.Status == leafcall.OK:
		e.settle(c, Finish{Answer: &figmast.CommandAnswer{
			RequestID: r.req.ID, Service: r.req.Service, Outcome: figmast.Ran,
			Leaf: r.leaf, Server: r.server.ID, Result: res.Body,
		}})
	case !res.NotRun():
		e.settle(c, Finish{Problem: mayHaveRun(r.server.ID)})
	case e.mayRetry(now, c):
		e.note(c, decision.Retried, "not run by "+r.server.ID)
		e.send(now, c)
	default:
		wait := max(res.RetryAfter, e.opts.Router.Backoff(now, r.req.Service, policy.AllBusy))
		e.settle(c, Finish{Problem: comeAgain("the backend server did not run the command", "", r.server.ID, wait)})
	}
	return e.take()
}

// mayRetry reports whether another server may get a command that no server
// has run.
func (e *Engine) mayRetry(now time.Time, c *claim) bool {
	r := c.run
	if len(r.tried) >= r.doc.Retries.Attempts || !guard(r.deadline, c.lapse)(now) {
		return false
	}
	return e.opts.Router.SpendRetry(now, r.req.Service)
}

// settle records the outcome of a claim, for good, and tells all who wait.
func (e *Engine) settle(c *claim, f Finish) {
	waiting := c.waiting
	c.waiting, c.run = nil, nil
	for _, w := range waiting {
		w.claim = nil
		e.finish(w, f)
	}
	c.outcome = e.hold(f)
	e.forget(c)
}

// hold returns the outcome as it is kept for resends. A result that has no
// room is left out, and told so.
func (e *Engine) hold(f Finish) Finish {
	if f.Answer == nil {
		return f
	}
	size := len(f.Answer.Result)
	if e.held+size > e.opts.MaxHeldBytes {
		return Finish{Problem: resultForgotten(f.Answer.Service)}
	}
	e.held += size
	return f
}

// forget drops a claim once its ticket has lapsed and its run has ended.
func (e *Engine) forget(c *claim) {
	if !c.lapsed || c.run != nil {
		return
	}
	if c.outcome.Answer != nil {
		e.held -= len(c.outcome.Answer.Result)
	}
	delete(e.claims, c.serial)
}

// note records a decision on a run for each caller that waits for it.
func (e *Engine) note(c *claim, k decision.Kind, reason string) {
	for _, w := range c.waiting {
		e.decide(w, k, c.run.leaf, c.run.server.ID, reason)
	}
}

// fingerprint identifies what the command does, whatever its ticket.
func fingerprint(req Request) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(req.Service + "\x00" + req.Operation + "\x00")
	_, _ = h.Write(req.Payload)
	return h.Sum64()
}

// pickLeaf returns the leaf that holds the key in the newest snapshot.
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
