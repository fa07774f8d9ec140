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

// rig drives an Engine by hand.
type rig struct {
	engine *Engine
	router *policy.Router
	now    time.Time
	sent   []leafcall.Send
	done   map[RunID]Finish
}

func newRig(maxCalls int, docs ...*document.Service) *rig {
	r := &rig{now: time.Unix(1e9, 0), done: make(map[RunID]Finish)}
	r.router = policy.NewRouter(policy.Options{Rand: rand.New(rand.NewPCG(1, 1))})
	var last leafcall.ID
	r.engine = NewEngine(Options{Router: r.router, MaxCalls: maxCalls, NextCall: func() leafcall.ID { last++; return last }})
	self := view.Host{ID: "h", DataCentre: "dc0"}
	v := &view.View{Self: self, Hosts: []view.Host{self}, Services: make(map[string]*document.Service), ValidUntil: r.now.Add(time.Hour)}
	for _, d := range docs {
		v.Services[d.Name] = d
	}
	r.router.Apply(r.now, v)
	return r
}

func (r *rig) act(a Actions) {
	r.sent = append(r.sent, a.Send...)
	for _, f := range a.Finish {
		r.done[f.Run] = f
	}
}

func (r *rig) start(service string, u figmast.Urgency, worth float64, left time.Duration) RunID {
	id, acts := r.engine.Start(r.now, Request{
		ID: fmt.Sprint("r", r.engine.last), Service: service, Operation: "op", Urgency: u, Worth: worth, Deadline: r.now.Add(left),
	})
	r.act(acts)
	return id
}

// answer ends the oldest calls.
func (r *rig) answer(n int, status leafcall.Status) {
	for range n {
		s := r.sent[0]
		r.sent = r.sent[1:]
		res := leafcall.Result{Status: status, Sent: true, Snapshot: s.Snapshot, Body: []byte(`1`)}
		r.act(r.engine.Reply(r.now, s.ID, res))
	}
}

func (r *rig) pass(d time.Duration) {
	r.now = r.now.Add(d)
	r.act(r.engine.Tick(r.now))
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

// At a service that is full, queries start by urgency, then by worth; what
// waits at the leaf already goes ahead of no more urgent one.
func TestQueueOrder(t *testing.T) {
	is := is.New(t)
	doc := testDocument(1, 1)
	doc.Leaves[0].Connections = 1
	r := newRig(0, doc)
	var ids []RunID
	ids = append(ids, r.start("s", figmast.Bulk, 1, time.Second))
	for range crowdedAt[figmast.Bulk.Rank()] {
		ids = append(ids, r.start("s", figmast.Bulk, 1, time.Second))
	}
	bulk := r.start("s", figmast.Bulk, 9, time.Second)
	urgent := r.start("s", figmast.Urgent, 1, time.Second)
	worthy := r.start("s", figmast.Urgent, 2, time.Second)
	order := []RunID{ids[0], worthy, urgent, ids[1], bulk}
	for _, id := range order {
		is.Equal(len(r.sent), 1)
		r.answer(1, leafcall.OK)
		is.True(r.done[id].Answer != nil) // the next in order
	}
}

// A query that cannot have its turn in time is refused at once, truly not
// run, with a time to come back.
func TestRefusals(t *testing.T) {
	is := is.New(t)
	doc := testDocument(1, 1)
	doc.Leaves[0].Connections = 1
	r := newRig(0, doc)
	late := r.start("s", figmast.Urgent, 1, 0)
	is.Equal(r.done[late].Problem.Detail, string(tooLate))
	unknown := r.start("none", figmast.Urgent, 1, time.Second)
	is.Equal(r.done[unknown].Problem.Status, 404)
	for range 1 + crowdedAt[figmast.Normal.Rank()] + leastQueue {
		r.start("s", figmast.Normal, 1, time.Second)
	}
	full := r.start("s", figmast.Bulk, 1, time.Second)
	p := r.done[full].Problem
	is.Equal(p.Detail, string(queueFull))
	is.Equal(p.Outcome, figmast.NotRun)
	is.True(p.RetryAfterMs > 0)
	r.pass(longestHold)
	refused := 0
	for _, f := range r.done {
		if f.Problem != nil && f.Problem.Detail == string(overloaded) {
			refused++
		}
	}
	is.Equal(refused, leastQueue) // none is held till near its deadline
}

// At the host's bound on leaf calls a service of narrow queries gets as many
// calls as one of wide queries that came first.
func TestServicesShareAHost(t *testing.T) {
	is := is.New(t)
	wide, narrow := testDocument(20, 3), testDocument(2, 3)
	wide.Name, narrow.Name = "wide", "narrow"
	for _, d := range []*document.Service{wide, narrow} {
		for i := range d.Leaves {
			d.Leaves[i].Connections = 1000
		}
	}
	r := newRig(20, wide, narrow)
	calls := map[string]int{}
	for range 400 {
		r.start("wide", figmast.Urgent, 1, time.Second)
		for range 10 {
			r.start("narrow", figmast.Urgent, 1, time.Second)
		}
		r.pass(time.Millisecond)
		n := min(20, len(r.sent))
		for _, s := range r.sent[:n] {
			calls[s.Server.Service]++
		}
		r.answer(n, leafcall.OK)
	}
	ratio := float64(calls["narrow"]) / float64(calls["wide"])
	is.True(ratio > 0.5 && ratio < 2)
}

// While a new snapshot is not loaded yet, queries use the one before, and no
// answer holds parts of both.
func TestSnapshotNotLoadedYet(t *testing.T) {
	is := is.New(t)
	doc := testDocument(3, 2)
	doc.Snapshots = append(doc.Snapshots, testSnapshot(doc, 2))
	r := newRig(0, doc)
	first := r.start("s", figmast.Urgent, 1, time.Second)
	is.Equal(len(r.sent), 3)
	r.answer(2, leafcall.OK) // two leaves have it
	for r.sent[0].Snapshot == "snap2" {
		r.answer(1, leafcall.SnapshotGone)
	}
	is.Equal(len(r.sent), 3) // all leaves again
	r.answer(3, leafcall.OK)
	is.Equal(r.done[first].Answer.Snapshot, "snap1")
	is.Equal(r.done[first].Answer.Coverage, 1.0)
	r.start("s", figmast.Urgent, 1, time.Second)
	is.Equal(r.sent[0].Snapshot, "snap1") // known by now
	r.answer(3, leafcall.OK)
	r.pass(goneFor)
	r.start("s", figmast.Urgent, 1, time.Second)
	is.Equal(r.sent[0].Snapshot, "snap2") // asked again
}

// Once patience has passed, the coverage that the document names is enough,
// and a query that cannot reach the least coverage ends at once.
func TestStopWork(t *testing.T) {
	is := is.New(t)
	doc := testDocument(5, 1)
	for i := range doc.Snapshots[0].Weights {
		doc.Snapshots[0].Weights[i].Weight = 1
	}
	doc.LeastCoverage, doc.Retries.Attempts = 0.5, 1
	r := newRig(0, doc)
	id := r.start("s", figmast.Urgent, 1, time.Second)
	r.answer(3, leafcall.OK)
	is.Equal(len(r.done), 0)
	r.pass(80 * time.Millisecond)
	is.Equal(r.done[id].Answer.Coverage, 0.6)
	r.sent = nil
	id = r.start("s", figmast.Urgent, 1, time.Second)
	r.answer(3, leafcall.Rejected)
	is.Equal(r.done[id].Problem.Outcome, figmast.Unknown)
}
