package bench

import (
	"math/rand/v2"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
)

// fixedHedgeDelay is how long the FixedHedge baseline waits before it hedges.
const fixedHedgeDelay = 40 * time.Millisecond

// baseline sends one attempt per leaf to a random replica that is neither
// leaving nor in a data centre that is out. With FixedHedge it sends a second
// attempt after a fixed delay, without a hedging budget.
type baseline struct {
	router   *policy.Router
	hedge    bool
	rnd      *rand.Rand
	nextCall func() leafcall.ID
	lastRun  query.RunID
	calls    map[leafcall.ID]*baselineCall
	timers   events
	seq      uint64
	actions  query.Actions
}

type baselineCall struct {
	run  *baselineRun
	leaf string
}

type baselineRun struct {
	id       query.RunID
	req      query.Request
	ans      *figmast.QueryAnswer
	inFlight map[string]int
	done     bool
}

func newBaseline(r *policy.Router, p Policy, rnd *rand.Rand, nextCall func() leafcall.ID) *baseline {
	return &baseline{router: r, hedge: p == FixedHedge, rnd: rnd, nextCall: nextCall, calls: make(map[leafcall.ID]*baselineCall)}
}

func (b *baseline) takeActions() query.Actions {
	out := b.actions
	b.actions = query.Actions{}
	return out
}

// Start begins a query by sending one call to each leaf of the newest snapshot.
func (b *baseline) Start(now time.Time, req query.Request) (query.RunID, query.Actions) {
	b.lastRun++
	doc := b.router.View().Services[req.Service]
	snap := doc.Snapshots[len(doc.Snapshots)-1]
	r := &baselineRun{
		id: b.lastRun, req: req, inFlight: make(map[string]int),
		ans: &figmast.QueryAnswer{Service: req.Service, Snapshot: snap.ID, PartitionMap: snap.PartitionMap},
	}
	for _, w := range snap.Weights {
		b.send(r, w.Leaf)
		if b.hedge {
			b.startTimer(now.Add(fixedHedgeDelay), func() { b.sendHedge(r, w.Leaf) })
		}
	}
	b.startTimer(req.Deadline, func() { b.finish(r) })
	return r.id, b.takeActions()
}

func (b *baseline) startTimer(at time.Time, do func()) {
	b.seq++
	b.timers.push(event{at.Sub(epoch), b.seq, do})
}

func (b *baseline) sendHedge(r *baselineRun, leaf string) {
	if !r.done && r.inFlight[leaf] > 0 {
		b.send(r, leaf)
	}
}

func (b *baseline) send(r *baselineRun, leaf string) {
	doc := b.router.View().Services[r.req.Service]
	var candidates []int
	l := doc.Leaf(leaf)
	for i, s := range l.Servers {
		if !s.Leaving && !doc.IsDataCentreOut(s.DataCentre) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return
	}
	s := l.Servers[candidates[b.rnd.IntN(len(candidates))]]
	id := b.nextCall()
	b.calls[id] = &baselineCall{r, leaf}
	r.inFlight[leaf]++
	b.actions.Send = append(b.actions.Send, leafcall.Send{
		ID: id, Server: &policy.Server{Service: doc.Name, Leaf: leaf, ID: s.ID, DataCentre: s.DataCentre},
		Snapshot: r.ans.Snapshot, Payload: r.req.Payload, Deadline: r.req.Deadline,
	})
}

// Reply records the first successful answer of each leaf and drops later ones.
func (b *baseline) Reply(_ time.Time, id leafcall.ID, res leafcall.Result) query.Actions {
	c := b.calls[id]
	delete(b.calls, id)
	if c == nil || c.run.done || c.run.inFlight[c.leaf] == 0 {
		return b.takeActions()
	}
	r := c.run
	r.inFlight[c.leaf]--
	if res.Status == leafcall.OK {
		delete(r.inFlight, c.leaf)
		r.ans.Results = append(r.ans.Results, figmast.LeafResult{Leaf: c.leaf, Result: res.Body})
	} else if r.inFlight[c.leaf] == 0 {
		delete(r.inFlight, c.leaf)
	}
	if len(r.inFlight) == 0 {
		b.finish(r)
	}
	return b.takeActions()
}

func (b *baseline) finish(r *baselineRun) {
	if r.done {
		return
	}
	r.done = true
	doc := b.router.View().Services[r.req.Service]
	r.ans.Coverage = float64(len(r.ans.Results)) / float64(len(doc.Leaves))
	f := query.Finish{Run: r.id, Answer: r.ans}
	if r.ans.Coverage < doc.LeastCoverage {
		f = query.Finish{Run: r.id, Problem: &figmast.Problem{Status: 503, Outcome: figmast.Unknown}}
	}
	b.actions.Finish = append(b.actions.Finish, f)
}

// Tick runs every timer that is due.
func (b *baseline) Tick(now time.Time) query.Actions {
	for len(b.timers) > 0 && b.timers[0].at <= now.Sub(epoch) {
		b.timers.pop().do()
	}
	return b.takeActions()
}

// Next returns when the earliest timer is due, and false if there is none.
func (b *baseline) Next() (time.Time, bool) {
	if len(b.timers) == 0 {
		return time.Time{}, false
	}
	return epoch.Add(b.timers[0].at), true
}
