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

// init sets a fixed seed and number of checks. Flags on the command line
// override them.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "2000")
}

// sentCall is a call as recorded by the simulated backend servers.
type sentCall struct {
	leafcall.Send
	ended, ran, served bool
}

// startedQuery is a query and what its caller got.
type startedQuery struct {
	Request
	finishes  []Finish
	abandoned bool
}

// simulation drives an Engine and records all its inputs and outputs.
type simulation struct {
	t                *rapid.T
	now              time.Time
	router           *policy.Router
	engine           *Engine
	doc              *document.Service
	calls            []*sentCall
	queries          map[RunID]*startedQuery
	queriesByRequest map[string]*startedQuery
	snapshots        map[string]document.Snapshot
}

func testDocument(leaves, servers int) *document.Service {
	d := &document.Service{
		Name: "s", Version: 1, SlotsMean: document.SlotsAreReplicas, ConnectionsOf: document.ConnectionsOfServer,
		Protocol:  document.HTTP1,
		ColdStart: document.ColdStart{Allowance: document.DefaultColdStartAllowance, WarmAfter: document.DefaultWarmAfter},
		Hedging:   document.Hedging{Quantile: 0.5, Budget: 0.5}, Retries: document.Retries{Budget: 0.5, Attempts: 3},
		LeastCoverage: 0.3, StopWork: document.EarlyStop{Coverage: 0.6, Patience: document.Duration(80 * time.Millisecond)},
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

// testSnapshot returns a snapshot whose leaf weights depend on n.
func testSnapshot(d *document.Service, n int) document.Snapshot {
	s := document.Snapshot{ID: fmt.Sprintf("snap%d", n), PartitionMap: fmt.Sprintf("map%d", n)}
	for i, l := range d.Leaves {
		s.Weights = append(s.Weights, document.LeafWeight{Leaf: l.Name, Weight: uint64(i*n%3 + 1)})
	}
	return s
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1e9, 0), doc: testDocument(rapid.IntRange(1, 6).Draw(t, "leaves"), 3),
		queries: make(map[RunID]*startedQuery), queriesByRequest: make(map[string]*startedQuery), snapshots: make(map[string]document.Snapshot),
	}
	sim.router = policy.NewRouter(policy.Options{Rand: rand.New(rand.NewPCG(1, 1))})
	var last leafcall.ID
	sim.engine = NewEngine(Options{Router: sim.router, MaxCalls: 40, NextCall: func() leafcall.ID { last++; return last }})
	sim.snapshots["snap1"] = sim.doc.Snapshots[0]
	sim.apply()
	return sim
}

func (sim *simulation) apply() {
	self := view.Host{ID: "h", DataCentre: "dc0"}
	sim.router.Apply(sim.now, &view.View{
		Self: self, Hosts: []view.Host{self}, Services: map[string]*document.Service{"s": sim.doc},
		Confirmed: sim.now, ValidUntil: sim.now.Add(2 * time.Second),
	})
}

// publishDocument publishes another version of the document.
func (sim *simulation) publishDocument() {
	d := *sim.doc
	d.Version++
	if rapid.Bool().Draw(sim.t, "snapshot") {
		s := testSnapshot(&d, int(d.Version))
		sim.snapshots[s.ID] = s
		d.Snapshots = append(d.Snapshots[:len(d.Snapshots):len(d.Snapshots)], s)
		d.Snapshots = d.Snapshots[max(len(d.Snapshots)-2, 0):]
	} else {
		d.DataCentresOut = rapid.SampledFrom([][]string{nil, {"dc0"}, {"dc1"}}).Draw(sim.t, "out")
	}
	sim.doc = &d
	sim.apply()
}

func (sim *simulation) start() {
	r := Request{
		ID: fmt.Sprintf("r%d", len(sim.queries)), Service: "s", Operation: "op",
		Payload: json.RawMessage(fmt.Sprint(rapid.IntRange(0, 50).Draw(sim.t, "payload"))),
		Urgency: rapid.SampledFrom([]figmast.Urgency{figmast.Urgent, figmast.Normal, figmast.Bulk}).Draw(sim.t, "urgency"),
		Worth:   float64(rapid.IntRange(1, 3).Draw(sim.t, "worth")),
	}
	r.Deadline = sim.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(sim.t, "deadline")) * time.Millisecond)
	a := &startedQuery{Request: r}
	sim.queriesByRequest[r.ID] = a
	id := sim.engine.lastRunID + 1
	sim.queries[id] = a
	_, acts := sim.engine.Start(sim.now, r)
	sim.record(acts)
}

// record records the actions and checks those that can be checked at once.
func (sim *simulation) record(acts Actions) {
	for _, s := range acts.Send {
		r := sim.queriesByRequest[s.RequestID]
		if sim.doc.IsDataCentreOut(s.Server.DataCentre) || !sim.router.View().Valid(sim.now) || !sim.now.Before(r.Deadline) || s.Deadline.After(r.Deadline) {
			sim.t.Fatalf("%v: call not allowed to server %s in data centre %s", sim.now, s.Server.ID, s.Server.DataCentre)
		}
		for _, c := range sim.calls {
			if c.ID == s.ID || (!c.ended && c.RequestID == s.RequestID && c.Server == s.Server && c.Snapshot == s.Snapshot) {
				sim.t.Fatalf("duplicate call %d to %s", s.ID, s.Server.ID)
			}
		}
		sim.calls = append(sim.calls, &sentCall{Send: s})
	}
	for _, f := range acts.Finish {
		a := sim.queries[f.Run]
		a.finishes = append(a.finishes, f)
		sim.check(a, f)
	}
}

// check compares what a caller got with what the simulated backend servers
// recorded.
func (sim *simulation) check(a *startedQuery, f Finish) {
	if sim.now.After(a.Deadline) {
		sim.t.Fatalf("%s: finished %v after its deadline", a.ID, sim.now.Sub(a.Deadline))
	}
	if p := f.Problem; p != nil {
		for _, c := range sim.calls {
			if c.RequestID == a.ID && c.ran && p.Outcome == figmast.NotRun {
				sim.t.Fatalf("%s: refused as not run, but call %d ran", a.ID, c.ID)
			}
		}
		if p.RetryAfterMs <= 0 {
			sim.t.Fatalf("%s: no time to retry after", a.ID)
		}
		return
	}
	served := make(map[string]bool)
	for _, c := range sim.calls {
		if c.RequestID == a.ID && c.served && c.Snapshot == f.Answer.Snapshot {
			served[fmt.Sprintf("%q", c.Server.Leaf+"/"+c.Snapshot)] = true
		}
	}
	var got, total uint64
	weights := make(map[string]uint64)
	for _, w := range sim.snapshots[f.Answer.Snapshot].Weights {
		weights[w.Leaf] = w.Weight
		total += w.Weight
	}
	for _, part := range f.Answer.Results {
		if !served[string(part.Result)] {
			sim.t.Fatalf("%s: %s %s was not served from %s", a.ID, part.Leaf, part.Result, f.Answer.Snapshot)
		}
		got += weights[part.Leaf]
		delete(weights, part.Leaf)
	}
	over := f.Answer.Coverage*float64(total) - float64(got)
	if over > 1e-9 || over < -float64(total)/coverageSteps {
		sim.t.Fatalf("%s: coverage %v, but got weight %d of %d", a.ID, f.Answer.Coverage, got, total)
	}
}

// pass advances the time, with a tick whenever the engine asks for one.
func (sim *simulation) pass(d time.Duration) {
	until := sim.now.Add(d)
	for {
		next, ok := sim.engine.Next()
		if !ok || next.After(until) {
			sim.now = until
			return
		}
		if next.After(sim.now) {
			sim.now = next
		}
		sim.record(sim.engine.Tick(sim.now))
	}
}

// reply ends one call, which may have been cancelled, with the given status.
func (sim *simulation) reply(c *sentCall, status leafcall.Status) {
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
	sim.record(sim.engine.Reply(sim.now, c.ID, res))
	if acts := sim.engine.Reply(sim.now, c.ID, res); len(acts.Send)+len(acts.Finish) > 0 {
		sim.t.Fatalf("a repeated reply had an effect")
	}
}

func (sim *simulation) openCalls() []*sentCall {
	var open []*sentCall
	for _, c := range sim.calls {
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

func (sim *simulation) step() {
	switch rapid.IntRange(0, 9).Draw(sim.t, "step") {
	case 0, 1, 2:
		sim.start()
	case 3:
		sim.pass(time.Duration(rapid.IntRange(0, 60).Draw(sim.t, "ms")) * time.Millisecond)
	case 4:
		sim.publishDocument()
	case 5:
		id := RunID(rapid.IntRange(1, len(sim.queries)+1).Draw(sim.t, "run"))
		if a := sim.queries[id]; a != nil && len(a.finishes) == 0 {
			a.abandoned = true
			sim.record(sim.engine.Abandon(sim.now, id))
		}
	default:
		if open := sim.openCalls(); len(open) > 0 {
			i := rapid.IntRange(0, len(open)-1).Draw(sim.t, "call")
			sim.reply(open[i], rapid.SampledFrom(statuses).Draw(sim.t, "status"))
		}
	}
}

// finishAll lets every query and call end and checks that no state is left.
func (sim *simulation) finishAll() {
	sim.pass(time.Second)
	for id, a := range sim.queries {
		if want := 1; (a.abandoned && len(a.finishes) > 0) || (!a.abandoned && len(a.finishes) != want) {
			sim.t.Fatalf("run %d finished %d times, abandoned %v", id, len(a.finishes), a.abandoned)
		}
	}
	for _, c := range sim.openCalls() {
		sim.reply(c, leafcall.Cancelled)
	}
	e := sim.engine
	if len(e.runs)+len(e.calls)+e.timers.Len()+e.queuedBytes != 0 {
		sim.t.Fatalf("state left over: %d queries, %d calls, %d timers, %d queued bytes", len(e.runs), len(e.calls), e.timers.Len(), e.queuedBytes)
	}
	for _, s := range e.services {
		if s.running+len(s.queue) != 0 || s.saturatedLeaves != [urgencyLevels]int{} {
			sim.t.Fatalf("state left over: %d running, %d saturated leaves, %d queued", s.running, s.saturatedLeaves, len(s.queue))
		}
	}
}

// TestHistories checks, for random sequences of events from backend servers,
// callers and operators: each query ends exactly once and before its deadline,
// its answer comes from one snapshot and does not report more coverage than was
// served, a query reported as not run has not run, and no state is left behind.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			sim.step()
		}
		sim.finishAll()
	})
}
