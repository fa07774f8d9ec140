package query

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
)

// harness drives an Engine step by step.
type harness struct {
	engine    *Engine
	router    *policy.Router
	now       time.Time
	openCalls []leafcall.Send
	finished  map[RunID]Finish
}

func newHarness(maxCalls int, docs ...*document.Service) *harness {
	h := &harness{now: time.Unix(1e9, 0), finished: make(map[RunID]Finish)}
	h.router = policy.NewRouter(policy.Options{Rand: rand.New(rand.NewPCG(1, 1))})
	var last leafcall.ID
	h.engine = NewEngine(Options{Router: h.router, MaxCalls: maxCalls, NextCall: func() leafcall.ID { last++; return last }})
	self := view.Host{ID: "h", DataCentre: "dc0"}
	v := &view.View{Self: self, Hosts: []view.Host{self}, Services: make(map[string]*document.Service), ValidUntil: h.now.Add(time.Hour)}
	for _, d := range docs {
		v.Services[d.Name] = d
	}
	h.router.Apply(h.now, v)
	return h
}

func (h *harness) act(a Actions) {
	h.openCalls = append(h.openCalls, a.Send...)
	for _, f := range a.Finish {
		h.finished[f.Run] = f
	}
}

func (h *harness) start(service string, u figmast.Urgency, worth float64, left time.Duration) RunID {
	id, acts := h.engine.Start(h.now, Request{
		ID: fmt.Sprint("r", h.engine.lastRunID), Service: service, Operation: "op", Urgency: u, Worth: worth, Deadline: h.now.Add(left),
	})
	h.act(acts)
	return id
}

// answer ends the n oldest calls with the given status.
func (h *harness) answer(n int, status leafcall.Status) {
	for range n {
		s := h.openCalls[0]
		h.openCalls = h.openCalls[1:]
		res := leafcall.Result{Status: status, Sent: true, Snapshot: s.Snapshot, Body: []byte(`1`)}
		h.act(h.engine.Reply(h.now, s.ID, res))
	}
}

func (h *harness) pass(d time.Duration) {
	h.now = h.now.Add(d)
	h.act(h.engine.Tick(h.now))
}

func TestFloorShare(t *testing.T) {
	for _, c := range []struct {
		got, total uint64
		want       float64
	}{
		{0, 0, 0}, {0, 5, 0}, {5, 5, 1}, {2, 3, 0.6666}, {1, 3, 0.3333},
		{9999, 10_000, 0.9999}, {99_999, 100_000, 0.9999}, {1<<64 - 2, 1<<64 - 1, 0.9999}, {1, 1 << 63, 0},
	} {
		is.New(t).Equal(floorShare(c.got, c.total), c.want)
	}
}

// TestQueueOrder checks that a service at its limit starts queued queries by
// urgency, then by worth, and that a more urgent query also overtakes parts
// that already wait at the leaf.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	doc := testDocument(1, 1)
	doc.Leaves[0].Connections = 1
	h := newHarness(0, doc)
	var ids []RunID
	ids = append(ids, h.start("s", figmast.Bulk, 1, time.Second))
	for range saturationThreshold[figmast.Bulk.Rank()] {
		ids = append(ids, h.start("s", figmast.Bulk, 1, time.Second))
	}
	bulk := h.start("s", figmast.Bulk, 9, time.Second)
	urgent := h.start("s", figmast.Urgent, 1, time.Second)
	higherWorth := h.start("s", figmast.Urgent, 2, time.Second)
	order := []RunID{ids[0], higherWorth, urgent, ids[1], bulk}
	for _, id := range order {
		is.Equal(len(h.openCalls), 1)
		h.answer(1, leafcall.OK)
		is.True(h.finished[id].Answer != nil) // the next in order
	}
}

// TestRefusals checks that queries that cannot be started in time are refused
// early, as not run and with a time to retry after.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	doc := testDocument(1, 1)
	doc.Leaves[0].Connections = 1
	h := newHarness(0, doc)
	late := h.start("s", figmast.Urgent, 1, 0)
	is.Equal(h.finished[late].Problem.Detail, string(reasonTooLate))
	unknown := h.start("none", figmast.Urgent, 1, time.Second)
	is.Equal(h.finished[unknown].Problem.Status, 404)
	for range 1 + saturationThreshold[figmast.Normal.Rank()] + minQueueLimit {
		h.start("s", figmast.Normal, 1, time.Second)
	}
	full := h.start("s", figmast.Bulk, 1, time.Second)
	p := h.finished[full].Problem
	is.Equal(p.Detail, string(reasonQueueFull))
	is.Equal(p.Outcome, figmast.NotRun)
	is.True(p.RetryAfterMs > 0)
	h.pass(maxQueueWait)
	refused := 0
	for _, f := range h.finished {
		if f.Problem != nil && f.Problem.Detail == string(reasonOverloaded) {
			refused++
		}
	}
	is.Equal(refused, minQueueLimit) // refused long before their deadlines
}

// TestServicesShareHostCallLimit checks that at the host's limit on leaf calls,
// a service whose queries need few leaves gets as many calls as one whose
// queries need many leaves and arrived first.
func TestServicesShareHostCallLimit(t *testing.T) {
	is := is.New(t)
	wide, narrow := testDocument(20, 3), testDocument(2, 3)
	wide.Name, narrow.Name = "wide", "narrow"
	for _, d := range []*document.Service{wide, narrow} {
		for i := range d.Leaves {
			d.Leaves[i].Connections = 1000
		}
	}
	h := newHarness(20, wide, narrow)
	calls := map[string]int{}
	for range 400 {
		h.start("wide", figmast.Urgent, 1, time.Second)
		for range 10 {
			h.start("narrow", figmast.Urgent, 1, time.Second)
		}
		h.pass(time.Millisecond)
		n := min(20, len(h.openCalls))
		for _, s := range h.openCalls[:n] {
			calls[s.Server.Service]++
		}
		h.answer(n, leafcall.OK)
	}
	ratio := float64(calls["narrow"]) / float64(calls["wide"])
	is.True(ratio > 0.5 && ratio < 2)
}

// TestSnapshotNotLoadedYet checks that queries use the previous snapshot while
// some leaf has not loaded the new one, and that no answer mixes the two.
func TestSnapshotNotLoadedYet(t *testing.T) {
	is := is.New(t)
	doc := testDocument(3, 2)
	doc.Snapshots = append(doc.Snapshots, testSnapshot(doc, 2))
	h := newHarness(0, doc)
	first := h.start("s", figmast.Urgent, 1, time.Second)
	is.Equal(len(h.openCalls), 3)
	h.answer(2, leafcall.OK) // two leaves have the new snapshot
	for h.openCalls[0].Snapshot == "snap2" {
		h.answer(1, leafcall.SnapshotGone)
	}
	is.Equal(len(h.openCalls), 3) // restarted on all leaves
	h.answer(3, leafcall.OK)
	is.Equal(h.finished[first].Answer.Snapshot, "snap1")
	is.Equal(h.finished[first].Answer.Coverage, 1.0)
	h.start("s", figmast.Urgent, 1, time.Second)
	is.Equal(h.openCalls[0].Snapshot, "snap1") // the engine knows that snap2 is missing
	h.answer(3, leafcall.OK)
	h.pass(missingTTL)
	h.start("s", figmast.Urgent, 1, time.Second)
	is.Equal(h.openCalls[0].Snapshot, "snap2") // tried again after missingTTL
}

// TestRemovedLeavesAreDropped checks that the state of a service does not grow
// when its leaves are renamed repeatedly.
func TestRemovedLeavesAreDropped(t *testing.T) {
	is := is.New(t)
	h := newHarness(0, testDocument(2, 1))
	for i := range 50 {
		doc := testDocument(2, 1)
		doc.Version = uint64(i + 2)
		for l := range doc.Leaves {
			doc.Leaves[l].Name = fmt.Sprintf("v%d-%d", i, l)
		}
		doc.Snapshots[0] = testSnapshot(doc, 1)
		v := *h.router.View()
		v.Services = map[string]*document.Service{"s": doc}
		h.router.Apply(h.now, &v)
		h.start("s", figmast.Urgent, 1, time.Second)
		h.answer(1, leafcall.SnapshotGone)
		h.answer(len(h.openCalls), leafcall.OK)
	}
	s := h.engine.services["s"]
	is.True(len(s.leaves) <= 4)
	is.True(s.missingCount <= 4)
}

// TestStopWork checks that after the patience, a query ends as soon as it has
// the coverage set in the document, and that a query that cannot reach the
// least coverage any more ends at once.
func TestStopWork(t *testing.T) {
	is := is.New(t)
	doc := testDocument(5, 1)
	for i := range doc.Snapshots[0].Weights {
		doc.Snapshots[0].Weights[i].Weight = 1
	}
	doc.LeastCoverage, doc.Retries.Attempts = 0.5, 1
	h := newHarness(0, doc)
	id := h.start("s", figmast.Urgent, 1, time.Second)
	h.answer(3, leafcall.OK)
	is.Equal(len(h.finished), 0)
	h.pass(80 * time.Millisecond)
	is.Equal(h.finished[id].Answer.Coverage, 0.6)
	h.openCalls = nil
	id = h.start("s", figmast.Urgent, 1, time.Second)
	h.answer(3, leafcall.Rejected)
	is.Equal(h.finished[id].Problem.Outcome, figmast.Unknown)
}
