package query

import (
	"encoding/json"
	"time"

	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// Limits on one leaf's share of a query.
const (
	// busyPoll is how often a waiting part asks anew, beside each time that a
	// call to its leaf ends.
	busyPoll = 40 * time.Millisecond
	// usualReplicas is how many servers a part can have tried before a list
	// is allocated.
	usualReplicas = 4
)

// part is one leaf's share of a query.
type part struct {
	run    *run
	queue  *leafQueue
	leaf   string
	weight uint64
	result json.RawMessage
	have   bool
	// failed is why the part will stay missing.
	failed string
	tries  int
	tried  []*policy.Server
	first  attempt
	more   []*attempt
	// hedgeAt is when a second attempt may help.
	hedgeAt time.Time
	// giveUp is when a waiting part fails; poll is when it asks anew.
	giveUp, poll time.Time
	// index in run.open; place in the leaf's queue.
	index, place int
	triedRoom    [usualReplicas]*policy.Server
}

// attempt is one call to one backend server.
type attempt struct {
	run      *run
	part     *part
	queue    *leafQueue
	id       leafcall.ID
	server   *policy.Server
	snapshot string
	sent     time.Time
	running  bool
}

// start sends the first call, or waits its turn at the leaf.
func (p *part) start(now time.Time) {
	if first := p.queue.first(); first != nil && !p.before(first) {
		p.wait(now)
		return
	}
	p.try(now)
}

// try sends a call, waits for a free connection, or fails.
func (p *part) try(now time.Time) {
	srv, reason := p.pick(now, false)
	switch {
	case srv != nil:
		p.send(now, srv)
	case waitable(reason):
		p.wait(now)
	default:
		p.fail(now, reason)
	}
}

// waitable reports whether a server may become free by itself.
func waitable(r policy.Reason) bool { return r == policy.AllBusy || r == policy.AllCold }

func (p *part) pick(now time.Time, hedge bool) (*policy.Server, policy.Reason) {
	return p.run.engine.opts.Router.Pick(now, policy.PickInfo{
		Service: p.run.req.Service, Leaf: p.leaf, Tried: p.tried,
		Fingerprint: p.run.fingerprint, Hedge: hedge,
	})
}

func (p *part) send(now time.Time, srv *policy.Server) {
	r, router := p.run, p.run.engine.opts.Router
	router.Begin(now, srv)
	a := p.slot()
	*a = attempt{
		run: r, part: p, queue: p.queue, id: r.engine.opts.NextCall(), server: srv,
		snapshot: r.snapshot.ID, sent: now, running: true,
	}
	p.tries++
	p.tried = append(p.tried, srv)
	p.hedgeAt = now.Add(router.HedgeDelay(r.req.Service, p.leaf))
	r.unsure++
	r.engine.calls[a.id] = a
	r.engine.out.Send = append(r.engine.out.Send, leafcall.Send{
		ID: a.id, Server: srv, Via: router.Holder(srv), RequestID: r.req.ID, Operation: r.req.Operation,
		Snapshot: a.snapshot, Payload: r.req.Payload, Deadline: r.req.Deadline,
	})
	r.soon(p.hedgeAt)
}

// slot returns room for an attempt. The first attempt lives in the part, so
// that an ordinary call allocates nothing; a later one must not overwrite an
// attempt whose call has not ended.
func (p *part) slot() *attempt {
	if p.first.part == nil {
		return &p.first
	}
	a := new(attempt)
	p.more = append(p.more, a)
	return a
}

// running returns how many calls are in progress.
func (p *part) running() int {
	n := 0
	if p.first.running {
		n++
	}
	for _, a := range p.more {
		if a.running {
			n++
		}
	}
	return n
}

// ended takes in that a call has ended; it reports whether the part still
// wants its result.
func (p *part) ended(a *attempt) bool {
	wanted := a.running && !p.have && p.failed == ""
	a.running = false
	return wanted
}

func (p *part) reply(now time.Time, res leafcall.Result) {
	switch {
	case res.Status == leafcall.OK && res.Snapshot == p.run.snapshot.ID:
		p.have = true
		p.result = res.Body
		p.run.got += p.weight
		p.shut()
	case p.running() > 0:
	case res.Status == leafcall.SnapshotGone:
		p.tries--
		p.elsewhere(now)
	default:
		p.retry(now, res)
	}
}

// fail gives the part up. A request that crashes servers ends at once.
func (p *part) fail(now time.Time, reason policy.Reason) {
	p.failed = string(reason)
	p.run.lost += p.weight
	p.shut()
	if reason == policy.CrashSuspect || reason == policy.StaleView {
		p.run.refuse(now, "no backend server may be asked", "scatter", reason)
	}
}

// shut takes the part off the open ones and gives up its calls.
func (p *part) shut() {
	p.stop()
	open := p.run.open
	last := len(open) - 1
	open[p.index] = open[last]
	open[p.index].index = p.index
	open[last] = nil
	p.run.open = open[:last]
}

// stop gives up the part's calls and its place in the leaf's queue.
func (p *part) stop() {
	p.queue.remove(p)
	p.cancel(&p.first)
	for _, a := range p.more {
		p.cancel(a)
	}
}

func (p *part) cancel(a *attempt) {
	if a.running {
		a.running = false
		p.run.engine.out.Cancel = append(p.run.engine.out.Cancel, leafcall.Cancel{ID: a.id})
	}
}

func (p *part) reason() string {
	if p.failed == "" {
		return string(deadline)
	}
	return p.failed
}

// wait queues the part at its leaf for a share of the time that is left.
func (p *part) wait(now time.Time) {
	p.giveUp = now.Add(p.run.req.Deadline.Sub(now) / 2)
	p.poll = now.Add(busyPoll)
	p.queue.add(p)
	p.run.soon(p.poll)
}

func (p *part) tick(now time.Time) {
	if p.place == noPlace {
		return
	}
	if !now.Before(p.giveUp) {
		p.queue.remove(p)
		p.fail(now, policy.AllBusy)
		return
	}
	if !now.Before(p.poll) {
		p.poll = now.Add(busyPoll)
		p.queue.serve(now)
	}
}

// next returns when the part is due, if that is before other.
func (p *part) next(now, other time.Time) time.Time {
	at := p.hedgeAt
	if p.place != noPlace {
		at = p.poll
	}
	if at.After(now) && at.Before(other) {
		return at
	}
	return other
}
