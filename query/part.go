package query

import (
	"encoding/json"
	"time"

	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// Limits on one part.
const (
	// busyPollInterval is how often a waiting part looks for a free server,
	// in addition to whenever a call to its leaf ends.
	busyPollInterval = 40 * time.Millisecond
	// triedCapacity is the number of tried servers that a part can hold
	// without an allocation; a leaf usually has no more replicas.
	triedCapacity = 4
)

// part is the portion of a query that one leaf answers.
type part struct {
	run       *run
	queue     *leafQueue
	leaf      string
	weight    uint64
	result    json.RawMessage
	hasResult bool
	// failure is the reason why the part has failed; empty if it has not.
	failure string
	// attempts counts the calls made towards the limit that the document sets.
	// Calls that were not sent and calls to servers that lacked the snapshot do
	// not count.
	attempts int
	// triedServers are not picked again. They include servers that were known to
	// lack the snapshot and got no call.
	triedServers  []*policy.Server
	firstAttempt  attempt
	laterAttempts []*attempt
	// hedgeAt is when the next hedge is due.
	hedgeAt time.Time
	// waitDeadline is when a waiting part fails; pollAt is when it looks for a
	// free server again.
	waitDeadline, pollAt time.Time
	// openIndex is the index in run.openParts, queueIndex that in the leaf's
	// queue.
	openIndex, queueIndex int
	// triedArray is the initial backing array of triedServers.
	triedArray [triedCapacity]*policy.Server
}

// attempt is one call to one backend server.
type attempt struct {
	run       *run
	part      *part
	queue     *leafQueue
	id        leafcall.ID
	server    *policy.Server
	snapshot  string
	sentAt    time.Time
	isRunning bool
}

// start sends the first call. It queues the part instead if a part that is not
// of lower priority already waits at the leaf.
func (p *part) start(now time.Time) {
	if first := p.queue.first(); first != nil && !p.before(first) {
		p.wait(now)
		return
	}
	p.sendOrWait(now)
}

// sendOrWait sends a call, waits for a free connection, or fails the part.
func (p *part) sendOrWait(now time.Time) {
	srv, reason := p.pick(now, false)
	switch {
	case srv != nil:
		p.send(now, srv)
	case isTransient(reason):
		p.wait(now)
	default:
		p.fail(now, reason)
	}
}

// isTransient reports whether the reason for finding no server may pass without
// a change of the configuration.
func isTransient(r policy.Reason) bool { return r == policy.AllBusy || r == policy.AllCold }

func (p *part) pick(now time.Time, hedge bool) (*policy.Server, policy.Reason) {
	return p.run.engine.opts.Router.Pick(now, policy.PickInfo{
		Service: p.run.req.Service, Leaf: p.leaf, Tried: p.triedServers,
		Fingerprint: p.run.fingerprint, Hedge: hedge,
	})
}

func (p *part) send(now time.Time, srv *policy.Server) {
	r, router := p.run, p.run.engine.opts.Router
	router.Begin(now, srv)
	a := p.newAttempt()
	*a = attempt{
		run: r, part: p, queue: p.queue, id: r.engine.opts.NextCall(), server: srv,
		snapshot: r.snapshot.ID, sentAt: now, isRunning: true,
	}
	p.attempts++
	p.triedServers = append(p.triedServers, srv)
	p.hedgeAt = now.Add(router.HedgeDelay(r.req.Service, p.leaf))
	r.possiblyRun++
	r.engine.calls[a.id] = a
	r.engine.out.Send = append(r.engine.out.Send, leafcall.Send{
		ID: a.id, Server: srv, Via: router.Holder(srv), RequestID: r.req.ID, Operation: r.req.Operation,
		Snapshot: a.snapshot, Payload: r.req.Payload, Deadline: r.req.Deadline,
	})
	r.tickBy(p.hedgeAt)
}

// newAttempt returns storage for an attempt. The first attempt is stored in the
// part itself, so that a query without retries or hedges needs no allocation
// for it. Later attempts are allocated, because the call of an earlier one may
// still be in progress.
func (p *part) newAttempt() *attempt {
	if p.firstAttempt.part == nil {
		return &p.firstAttempt
	}
	a := new(attempt)
	p.laterAttempts = append(p.laterAttempts, a)
	return a
}

// runningCalls returns the number of calls in progress.
func (p *part) runningCalls() int {
	n := 0
	if p.firstAttempt.isRunning {
		n++
	}
	for _, a := range p.laterAttempts {
		if a.isRunning {
			n++
		}
	}
	return n
}

// endAttempt records that a call has ended. It reports whether the part still
// needs the result.
func (p *part) endAttempt(a *attempt) bool {
	wanted := a.isRunning && !p.hasResult && p.failure == ""
	a.isRunning = false
	return wanted
}

func (p *part) reply(now time.Time, res leafcall.Result) {
	switch {
	case res.Status == leafcall.OK && res.Snapshot == p.run.snapshot.ID:
		p.hasResult = true
		p.result = res.Body
		p.run.gotWeight += p.weight
		p.close()
	case p.runningCalls() > 0:
	case res.Status == leafcall.SnapshotGone:
		p.attempts--
		p.tryOtherServer(now)
	default:
		p.retry(now, res)
	}
}

// fail records that the part has failed. The whole query is refused if it is
// suspected of crashing servers or if the configuration view is stale.
func (p *part) fail(now time.Time, reason policy.Reason) {
	p.failure = string(reason)
	p.run.lostWeight += p.weight
	p.close()
	if reason == policy.CrashSuspect || reason == policy.StaleView {
		p.run.refuse(now, "no backend server may be asked", "scatter", reason)
	}
}

// close removes the part from the open parts and stops it.
func (p *part) close() {
	p.stop()
	open := p.run.openParts
	last := len(open) - 1
	open[p.openIndex] = open[last]
	open[p.openIndex].openIndex = p.openIndex
	open[last] = nil
	p.run.openParts = open[:last]
}

// stop cancels the part's calls and removes it from the leaf's queue.
func (p *part) stop() {
	p.queue.remove(p)
	p.cancel(&p.firstAttempt)
	for _, a := range p.laterAttempts {
		p.cancel(a)
	}
}

func (p *part) cancel(a *attempt) {
	if a.isRunning {
		a.isRunning = false
		p.run.engine.out.Cancel = append(p.run.engine.out.Cancel, leafcall.Cancel{ID: a.id})
	}
}

func (p *part) missingReason() string {
	if p.failure == "" {
		return string(reasonDeadline)
	}
	return p.failure
}

// wait queues the part at its leaf for at most half of the time left until the
// query's deadline.
func (p *part) wait(now time.Time) {
	p.waitDeadline = now.Add(p.run.req.Deadline.Sub(now) / 2)
	p.pollAt = now.Add(busyPollInterval)
	p.queue.add(p)
	p.run.tickBy(p.pollAt)
}

func (p *part) tick(now time.Time) {
	if p.queueIndex == notQueued {
		return
	}
	if !now.Before(p.waitDeadline) {
		p.queue.remove(p)
		p.fail(now, policy.AllBusy)
		return
	}
	if !now.Before(p.pollAt) {
		p.pollAt = now.Add(busyPollInterval)
		p.queue.sendWaiting(now)
	}
}

// nextDue returns the earlier of other and the time when the part needs a tick.
func (p *part) nextDue(now, other time.Time) time.Time {
	at := p.hedgeAt
	if p.queueIndex != notQueued {
		at = p.pollAt
	}
	if at.After(now) && at.Before(other) {
		return at
	}
	return other
}
