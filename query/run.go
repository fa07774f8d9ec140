package query

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/internal/timers"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// run is one query, queued or in progress.
type run struct {
	engine      *Engine
	service     *service
	id          RunID
	req         Request
	fingerprint uint64
	doc         *document.Service
	// snapshot is the only one that parts of the answer may come from.
	snapshot *document.Snapshot
	parts    []part
	// open are the parts that may still come, in no particular order.
	open []*part
	// got and lost of the total weight have come and will not come.
	got, lost, total uint64
	// unsure counts calls that a backend server may have run.
	unsure   int
	restarts int
	arrived  time.Time
	began    time.Time
	// patience is when the query may answer with less than everything; zero
	// where the document sets none.
	patience time.Time
	// timer is when the run wants a tick.
	timer timers.Timer
	// place is the index in the service's queue.
	place    int
	hold     time.Time
	admitted bool
	done     bool
}

// Timer implements timers.Item.
func (r *run) Timer() *timers.Timer { return &r.timer }

func newRun(e *Engine, id RunID, req Request) *run {
	h := xxhash.New()
	_, _ = h.WriteString(req.Service)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(req.Operation)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(req.Payload)
	return &run{engine: e, id: id, req: req, fingerprint: h.Sum64(), timer: timers.Timer{Order: uint64(id)}, place: noPlace}
}

// begin starts an admitted run.
func (r *run) begin(now time.Time) {
	v := r.engine.opts.Router.View()
	if !v.Valid(now) {
		r.refuse(now, "the configuration view is stale", "admit", policy.StaleView)
		return
	}
	if doc := v.Services[r.req.Service]; doc != nil {
		r.doc = doc
	}
	r.began = now
	r.admitted = true
	r.service.running++
	if wait := r.doc.StopWork.Patience.Std(); wait > 0 {
		r.patience = now.Add(wait)
	}
	r.engine.decide(r, decision.Admitted, nil, string(r.req.Urgency))
	r.pin(now, r.service.choose(now, r.doc))
}

// pin starts the query on a snapshot, from nothing.
func (r *run) pin(now time.Time, s *document.Snapshot) {
	r.snapshot = s
	r.engine.decide(r, decision.Pinned, nil, s.ID)
	r.scatter(s)
	for i := range r.parts {
		if r.done || r.snapshot != s {
			return
		}
		r.parts[i].start(now)
	}
	r.settle(now)
	r.rest(now)
}

func (r *run) scatter(s *document.Snapshot) {
	if len(r.service.leaves) > len(r.doc.Leaves) {
		r.service.forgetLeaves(r.doc)
	}
	r.parts = make([]part, 0, len(s.Weights))
	r.got, r.lost, r.total = 0, 0, 0
	for _, w := range s.Weights {
		if w.Weight == 0 {
			continue
		}
		r.total += w.Weight
		r.parts = append(r.parts, part{run: r, leaf: w.Leaf, weight: w.Weight, queue: r.service.leaf(w.Leaf), place: noPlace})
	}
	r.engine.out.Send = slices.Grow(r.engine.out.Send, len(r.parts))
	r.open = make([]*part, len(r.parts))
	for i := range r.parts {
		p := &r.parts[i]
		p.tried = p.triedRoom[:0]
		p.tried = p.queue.without(p.tried, s.ID)
		p.index = i
		r.open[i] = p
	}
}

func (r *run) reply(now time.Time, a *attempt, res leafcall.Result) {
	if res.NotRun() {
		r.unsure--
	}
	if res.Status == leafcall.SnapshotGone {
		a.queue.lacks(now, a.server, a.snapshot)
	}
	p := a.part
	if !p.ended(a) {
		return
	}
	p.reply(now, res)
	r.settle(now)
	if !r.done && len(r.open) <= r.stragglers() {
		r.hedgeOverdue(now)
	}
}

// settle finishes the run when nothing more is to come, when what is there
// is enough, or when what may still come is too little.
func (r *run) settle(now time.Time) {
	if r.done {
		return
	}
	patient := r.patience.IsZero() || now.Before(r.patience)
	enough := !patient && floorShare(r.got, r.total) >= r.doc.StopWork.Coverage
	hopeless := floorShare(r.total-r.lost, r.total) < r.doc.LeastCoverage
	if len(r.open) == 0 || enough || hopeless || !now.Before(r.req.Deadline) {
		r.finish(now)
	}
}

func (r *run) finish(now time.Time) {
	cov := floorShare(r.got, r.total)
	if cov < r.doc.LeastCoverage {
		r.refuse(now, "too little of the snapshot answered", "gather", r.firstFailure())
		return
	}
	ans := &figmast.QueryAnswer{
		RequestID: r.req.ID, Service: r.req.Service, Snapshot: r.snapshot.ID,
		PartitionMap: r.snapshot.PartitionMap, Coverage: cov, DocumentVersion: r.doc.Version,
	}
	ans.Results = make([]figmast.LeafResult, 0, len(r.parts))
	for i := range r.parts {
		p := &r.parts[i]
		if p.have {
			ans.Results = append(ans.Results, figmast.LeafResult{Leaf: p.leaf, Result: p.result})
			continue
		}
		ans.Missing = append(ans.Missing, figmast.MissingLeaf{Leaf: p.leaf, Reason: p.reason()})
	}
	r.service.observe(now, now.Sub(r.began))
	reason := "complete"
	if len(ans.Missing) > 0 {
		reason = "partial: " + ans.Missing[0].Reason
	}
	r.engine.decide(r, decision.Answered, nil, reason)
	r.engine.out.Finish = append(r.engine.out.Finish, Finish{Run: r.id, Answer: ans})
	r.close()
}

func (r *run) firstFailure() policy.Reason {
	for i := range r.parts {
		if p := &r.parts[i]; !p.have && p.failed != "" {
			return policy.Reason(p.failed)
		}
	}
	return deadline
}

// refuse ends the run without an answer. Statuses below 500 say that coming
// back does not help.
func (r *run) refuse(now time.Time, title, step string, reason policy.Reason) {
	status := http.StatusServiceUnavailable
	if reason == policy.UnknownService {
		status = http.StatusNotFound
	}
	p := &figmast.Problem{
		Type: "about:blank", Title: title, Status: status, Detail: string(reason),
		RequestID: r.req.ID, Step: step, Outcome: r.outcome(), Coverage: floorShare(r.got, r.total),
	}
	if status >= http.StatusInternalServerError {
		p.RetryAfterMs = r.comeBack(now, reason).Milliseconds()
	}
	kind := decision.Refused
	if r.admitted {
		kind = decision.GaveUp
	}
	r.engine.decide(r, kind, nil, string(reason))
	r.engine.out.Finish = append(r.engine.out.Finish, Finish{Run: r.id, Problem: p})
	r.close()
}

// outcome of a refused query: not run only if no backend server can have run
// a call of it.
func (r *run) outcome() figmast.Outcome {
	if r.unsure > 0 {
		return figmast.Unknown
	}
	return figmast.NotRun
}

// close ends the run and gives up its calls.
func (r *run) close() {
	r.done = true
	r.giveUpCalls()
	if r.admitted {
		r.service.running--
	}
	if r.place != noPlace {
		r.service.unqueue(r)
	}
	r.engine.timers.Stop(r)
	delete(r.engine.runs, r.id)
}

func (r *run) giveUpCalls() {
	for i := range r.parts {
		r.parts[i].stop()
	}
}

func (r *run) tick(now time.Time) {
	if !r.admitted {
		r.expire(now)
		return
	}
	if !now.Before(r.req.Deadline) {
		r.finish(now)
		return
	}
	for i := len(r.open) - 1; i >= 0; i-- {
		if i < len(r.open) {
			r.open[i].tick(now)
		}
		if r.done {
			return
		}
	}
	if len(r.open) <= r.stragglers() {
		r.hedgeOverdue(now)
	}
	r.settle(now)
	r.rest(now)
}

// rest sets the timer to the next thing that is due by time.
func (r *run) rest(now time.Time) {
	if r.done {
		return
	}
	next := r.req.Deadline
	for _, p := range r.open {
		next = p.next(now, next)
	}
	if r.patience.After(now) && r.patience.Before(next) {
		next = r.patience
	}
	r.engine.timers.Set(r, next)
}

// soon makes sure that the run ticks at that time at the latest.
func (r *run) soon(at time.Time) {
	if wake, set := r.timer.Set(); set && at.Before(wake) {
		r.engine.timers.Set(r, at)
	}
}
