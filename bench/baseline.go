package bench

import (
	"math/rand/v2"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
)

// fixedHedge is the delay of the baseline that hedges without a budget.
const fixedHedge = 40 * time.Millisecond

// baseline sends one attempt a leaf to a random replica that is not out; the
// one that hedges sends a second after a fixed delay.
type baseline struct {
	router *policy.Router
	hedge  bool
	rnd    *rand.Rand
	next   func() leafcall.ID
	last   query.RunID
	calls  map[leafcall.ID]*baseCall
	timers events
	seq    uint64
	out    query.Actions
}

type baseCall struct {
	run  *baseRun
	leaf string
}

type baseRun struct {
	id      query.RunID
	req     query.Request
	ans     *figmast.QueryAnswer
	running map[string]int
	done    bool
}

func newBaseline(r *policy.Router, p Policy, rnd *rand.Rand, next func() leafcall.ID) *baseline {
	return &baseline{router: r, hedge: p == FixedHedge, rnd: rnd, next: next, calls: make(map[leafcall.ID]*baseCall)}
}

func (b *baseline) take() query.Actions {
	out := b.out
	b.out = query.Actions{}
	return out
}

// Start sends one call to each leaf.
func (b *baseline) Start(now time.Time, req query.Request) (query.RunID, query.Actions) {
	b.last++
	doc := b.router.View().Services[req.Service]
	snap := doc.Snapshots[len(doc.Snapshots)-1]
	r := &baseRun{
		id: b.last, req: req, running: make(map[string]int),
		ans: &figmast.QueryAnswer{Service: req.Service, Snapshot: snap.ID, PartitionMap: snap.PartitionMap},
	}
	for _, w := range snap.Weights {
		b.send(r, w.Leaf)
		if b.hedge {
			b.timer(now.Add(fixedHedge), func() { b.second(r, w.Leaf) })
		}
	}
	b.timer(req.Deadline, func() { b.finish(r) })
	return r.id, b.take()
}

func (b *baseline) timer(at time.Time, do func()) {
	b.seq++
	b.timers.push(event{at.Sub(epoch), b.seq, do})
}

func (b *baseline) second(r *baseRun, leaf string) {
	if !r.done && r.running[leaf] > 0 {
		b.send(r, leaf)
	}
}

func (b *baseline) send(r *baseRun, leaf string) {
	doc := b.router.View().Services[r.req.Service]
	var open []int
	l := doc.Leaf(leaf)
	for i, s := range l.Servers {
		if !s.Leaving && !doc.IsDataCentreOut(s.DataCentre) {
			open = append(open, i)
		}
	}
	if len(open) == 0 {
		return
	}
	s := l.Servers[open[b.rnd.IntN(len(open))]]
	id := b.next()
	b.calls[id] = &baseCall{r, leaf}
	r.running[leaf]++
	b.out.Send = append(b.out.Send, leafcall.Send{
		ID: id, Server: &policy.Server{Service: doc.Name, Leaf: leaf, ID: s.ID, DataCentre: s.DataCentre},
		Snapshot: r.ans.Snapshot, Payload: r.req.Payload, Deadline: r.req.Deadline,
	})
}

// Reply takes the first answer of each leaf.
func (b *baseline) Reply(_ time.Time, id leafcall.ID, res leafcall.Result) query.Actions {
	c := b.calls[id]
	delete(b.calls, id)
	if c == nil || c.run.done || c.run.running[c.leaf] == 0 {
		return b.take()
	}
	r := c.run
	r.running[c.leaf]--
	if res.Status == leafcall.OK {
		delete(r.running, c.leaf)
		r.ans.Results = append(r.ans.Results, figmast.LeafResult{Leaf: c.leaf, Result: res.Body})
	} else if r.running[c.leaf] == 0 {
		delete(r.running, c.leaf)
	}
	if len(r.running) == 0 {
		b.finish(r)
	}
	return b.take()
}

func (b *baseline) finish(r *baseRun) {
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
	b.out.Finish = append(b.out.Finish, f)
}

// Tick fires timers.
func (b *baseline) Tick(now time.Time) query.Actions {
	for len(b.timers) > 0 && b.timers[0].at <= now.Sub(epoch) {
		b.timers.pop().do()
	}
	return b.take()
}

// Next returns when the first timer is due.
func (b *baseline) Next() (time.Time, bool) {
	if len(b.timers) == 0 {
		return time.Time{}, false
	}
	return epoch.Add(b.timers[0].at), true
}
