package query

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
)

// A fixed seed and number of checks, unless the command line names others.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

// sent is a call as the stand-ins recorded it.
type sent struct {
	leafcall.Send
	ended, ran, served bool
}

// asked is a query and what its caller got.
type asked struct {
	Request
	finishes  []Finish
	abandoned bool
}

// history drives an Engine and records everything outside of it.
type history struct {
	t      *rapid.T
	now    time.Time
	router *policy.Router
	engine *Engine
	doc    *document.Service
	calls  []*sent
	asked  map[RunID]*asked
	byID   map[string]*asked
	maps   map[string]document.Snapshot
}

func testDocument(leaves, servers int) *document.Service {
	d := &document.Service{
		Name: "s", Version: 1, SlotsMean: document.SlotsAreReplicas, ConnectionsOf: document.ConnectionsOfServer,
		Protocol:  document.HTTP1,
		ColdStart: document.ColdStart{Allowance: document.DefaultAllowance, WarmAfter: document.DefaultWarmAfter},
		Hedging:   document.Hedging{Quantile: 0.5, Budget: 0.5}, Retries: document.Retries{Budget: 0.5, Attempts: 3},
		LeastCoverage: 0.3, StopWork: document.StopWork{Coverage: 0.6, Patience: document.Duration(80 * time.Millisecond)},
	}
	for l := range leaves {
		leaf := document.Leaf{Name: fmt.Sprintf("l%d", l), Slots: servers, Connections: 2}
		for s := range servers {
			id := fmt.Sprintf("l%ds%d", l, s)
			leaf.Servers = append(leaf.Servers, document.Server{ID: id, Address: id, DataCentre: fmt.Sprintf("dc%d", s)})
		}
		d.Leaves = append(d.Leaves, leaf)
	}
	d.Snapshots = []document.Snapshot{testSnapshot(d, 1)}
	return d
}

// testSnapshot divides the data by weights that depend on the number.
func testSnapshot(d *document.Service, n int) document.Snapshot {
	s := document.Snapshot{ID: fmt.Sprintf("snap%d", n), PartitionMap: fmt.Sprintf("map%d", n)}
	for i, l := range d.Leaves {
		s.Weights = append(s.Weights, document.LeafWeight{Leaf: l.Name, Weight: uint64(i*n%3 + 1)})
	}
	return s
}

func newHistory(t *rapid.T) *history {
	h := &history{
		t: t, now: time.Unix(1e9, 0), doc: testDocument(rapid.IntRange(1, 6).Draw(t, "leaves"), 3),
		asked: make(map[RunID]*asked), byID: make(map[string]*asked), maps: make(map[string]document.Snapshot),
	}
	h.router = policy.NewRouter(policy.Options{Rand: rand.New(rand.NewPCG(1, 1))})
	var last leafcall.ID
	h.engine = NewEngine(Options{Router: h.router, MaxCalls: 40, NextCall: func() leafcall.ID { last++; return last }})
	h.maps["snap1"] = h.doc.Snapshots[0]
	h.apply()
	return h
}

func (h *history) apply() {
	self := view.Host{ID: "h", DataCentre: "dc0"}
	h.router.Apply(h.now, &view.View{
		Self: self, Hosts: []view.Host{self}, Services: map[string]*document.Service{"s": h.doc},
		ConfirmedAt: h.now, ValidUntil: h.now.Add(2 * time.Second),
	})
}

// change publishes another version of the document.
func (h *history) change() {
	d := *h.doc
	d.Version++
	if rapid.Bool().Draw(h.t, "snapshot") {
		s := testSnapshot(&d, int(d.Version))
		h.maps[s.ID] = s
		d.Snapshots = append(d.Snapshots[:len(d.Snapshots):len(d.Snapshots)], s)
		d.Snapshots = d.Snapshots[max(len(d.Snapshots)-2, 0):]
	} else {
		d.DataCentresOut = rapid.SampledFrom([][]string{nil, {"dc0"}, {"dc1"}}).Draw(h.t, "out")
	}
	h.doc = &d
	h.apply()
}

func (h *history) start() {
	r := Request{
		ID: fmt.Sprintf("r%d", len(h.asked)), Service: "s", Operation: "op",
		Payload: json.RawMessage(fmt.Sprint(rapid.IntRange(0, 50).Draw(h.t, "payload"))),
		Urgency: rapid.SampledFrom([]figmast.Urgency{figmast.Urgent, figmast.Normal, figmast.Bulk}).Draw(h.t, "urgency"),
		Worth:   float64(rapid.IntRange(1, 3).Draw(h.t, "worth")),
	}
	r.Deadline = h.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(h.t, "deadline")) * time.Millisecond)
	a := &asked{Request: r}
	h.byID[r.ID] = a
	id := h.engine.last + 1
	h.asked[id] = a
	_, acts := h.engine.Start(h.now, r)
	h.act(acts)
}

// act records the actions and checks what must hold at once.
func (h *history) act(acts Actions) {
	for _, s := range acts.Send {
		r := h.byID[s.RequestID]
		if h.doc.Out(s.Server.DataCentre) || !h.router.View().Valid(h.now) || !h.now.Before(r.Deadline) || s.Deadline.After(r.Deadline) {
			h.t.Fatalf("%v: sent to %s of %s", h.now, s.Server.ID, s.Server.DataCentre)
		}
		for _, c := range h.calls {
			if c.ID == s.ID || (!c.ended && c.RequestID == s.RequestID && c.Server == s.Server && c.Snapshot == s.Snapshot) {
				h.t.Fatalf("doubled call %d to %s", s.ID, s.Server.ID)
			}
		}
		h.calls = append(h.calls, &sent{Send: s})
	}
	for _, f := range acts.Finish {
		a := h.asked[f.Run]
		a.finishes = append(a.finishes, f)
		h.check(a, f)
	}
}

// check compares what a caller got with what the stand-ins recorded.
func (h *history) check(a *asked, f Finish) {
	if h.now.After(a.Deadline) {
		h.t.Fatalf("%s: finished %v after its deadline", a.ID, h.now.Sub(a.Deadline))
	}
	if p := f.Problem; p != nil {
		for _, c := range h.calls {
			if c.RequestID == a.ID && c.ran && p.Outcome == figmast.NotRun {
				h.t.Fatalf("%s: refused as not run, but call %d ran", a.ID, c.ID)
			}
		}
		if p.RetryAfterMs <= 0 {
			h.t.Fatalf("%s: no time to come back", a.ID)
		}
		return
	}
	served := make(map[string]bool)
	for _, c := range h.calls {
		if c.RequestID == a.ID && c.served && c.Snapshot == f.Answer.Snapshot {
			served[fmt.Sprintf("%q", c.Server.Leaf+"/"+c.Snapshot)] = true
		}
	}
	var got, total uint64
	weights := make(map[string]uint64)
	for _, w := range h.maps[f.Answer.Snapshot].Weights {
		weights[w.Leaf] = w.Weight
		total += w.Weight
	}
	for _, part := range f.Answer.Results {
		if !served[string(part.Result)] {
			h.t.Fatalf("%s: %s %s was not served from %s", a.ID, part.Leaf, part.Result, f.Answer.Snapshot)
		}
		got += weights[part.Leaf]
		delete(weights, part.Leaf)
	}
	over := f.Answer.Coverage*float64(total) - float64(got)
	if over > 1e-9 || over < -float64(total)/coverageSteps {
		h.t.Fatalf("%s: coverage %v, but %d of %d", a.ID, f.Answer.Coverage, got, total)
	}
}

// pass lets time go by, with a tick whenever the engine wants one.
func (h *history) pass(d time.Duration) {
	until := h.now.Add(d)
	for {
		next, ok := h.engine.Next()
		if !ok || next.After(until) {
			h.now = until
			return
		}
		if next.After(h.now) {
			h.now = next
		}
		h.act(h.engine.Tick(h.now))
	}
}

// reply ends one call, in any order and also after its cancellation.
func (h *history) reply(c *sent, status leafcall.Status) {
	res := leafcall.Result{Status: status, Sent: status != leafcall.NotSent}
	c.ended = true
	c.ran = !res.NotRun()
	switch status {
	case leafcall.OK:
		c.served = true
		res.Snapshot = c.Snapshot
		res.Body = fmt.Appendf(nil, "%q", c.Server.Leaf+"/"+c.Snapshot)
	case leafcall.Mismatch:
		res.Status, res.Snapshot, res.Body = leafcall.OK, "other", []byte(`"wrong"`)
	}
	h.act(h.engine.Reply(h.now, c.ID, res))
	if acts := h.engine.Reply(h.now, c.ID, res); len(acts.Send)+len(acts.Finish) > 0 {
		h.t.Fatalf("a repeated reply had an effect")
	}
}

func (h *history) open() []*sent {
	var open []*sent
	for _, c := range h.calls {
		if !c.ended {
			open = append(open, c)
		}
	}
	return open
}

var statuses = []leafcall.Status{
	leafcall.OK, leafcall.OK, leafcall.OK, leafcall.OK, leafcall.Shed, leafcall.SnapshotGone, leafcall.SnapshotGone,
	leafcall.Rejected, leafcall.NotSent, leafcall.Broken, leafcall.Timeout, leafcall.Cancelled, leafcall.Mismatch,
}

func (h *history) step() {
	switch rapid.IntRange(0, 9).Draw(h.t, "step") {
	case 0, 1, 2:
		h.start()
	case 3:
		h.pass(time.Duration(rapid.IntRange(0, 60).Draw(h.t, "ms")) * time.Millisecond)
	case 4:
		h.change()
	case 5:
		id := RunID(rapid.IntRange(1, len(h.asked)+1).Draw(h.t, "run"))
		if a := h.asked[id]; a != nil && len(a.finishes) == 0 {
			a.abandoned = true
			h.act(h.engine.Abandon(h.now, id))
		}
	default:
		if open := h.open(); len(open) > 0 {
			i := rapid.IntRange(0, len(open)-1).Draw(h.t, "call")
			h.reply(open[i], rapid.SampledFrom(statuses).Draw(h.t, "status"))
		}
	}
}

// end lets every query and call end and checks that nothing is left.
func (h *history) end() {
	h.pass(time.Second)
	for id, a := range h.asked {
		if want := 1; (a.abandoned && len(a.finishes) > 0) || (!a.abandoned && len(a.finishes) != want) {
			h.t.Fatalf("run %d finished %d times, abandoned %v", id, len(a.finishes), a.abandoned)
		}
	}
	for _, c := range h.open() {
		h.reply(c, leafcall.Cancelled)
	}
	e := h.engine
	if len(e.runs)+len(e.calls)+e.timers.Len()+e.queued != 0 {
		h.t.Fatalf("left over: %d runs, %d calls, %d timers, %d bytes", len(e.runs), len(e.calls), e.timers.Len(), e.queued)
	}
	for _, s := range e.services {
		if s.running+len(s.queue) != 0 || s.crowded != [ranks]int{} {
			h.t.Fatalf("left over: %d running, %d crowded, %d queued", s.running, s.crowded, len(s.queue))
		}
	}
}

// Whatever backend servers, callers and operators do, in any order: each
// query ends once and in time, its answer comes from one snapshot and does
// not claim more than was served, "not run" is true, and nothing is left.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHistory(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			h.step()
		}
		h.end()
	})
}
