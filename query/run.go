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

// run is the state of one query, queued or in progress.
type run struct {
	engine  *Engine
	service *service
	id      RunID
	req     Request
	// fingerprint identifies service, operation and payload, so that the Router
	// can recognize a query that is suspected of crashing backend servers.
	fingerprint uint64
	doc         *document.Service
	// snapshot is the one that the query is pinned to. All results of an
	// answer come from it.
	snapshot *document.Snapshot
	parts    []part
	// openParts are the parts without a result that have not failed, in no
	// particular order.
	openParts []*part
	// gotWeight is the weight of the parts that have a result, lostWeight that
	// of the failed ones, and totalWeight that of all parts.
	gotWeight, lostWeight, totalWeight uint64
	// possiblyRun counts the calls that a backend server may have run.
	possiblyRun int
	restarts    int
	arrivedAt   time.Time
	startedAt   time.Time
	// patienceEnd is from when the query may be answered while parts are still
	// open, if the coverage is sufficient; zero if the document sets no patience.
	patienceEnd time.Time
	// timer is when tick must be called.
	timer timers.Timer
	// queueIndex is the index in the service's queue.
	queueIndex int
	// queueDeadline is when the query is refused if it is still queued.
	queueDeadline time.Time
	isAdmitted    bool
	isDone        bool
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
	return &run{engine: e, id: id, req: req, fingerprint: h.Sum64(), timer: timers.Timer{Order: uint64(id)}, queueIndex: notQueued}
}

// begin admits the query and starts it on the current document. It refuses the
// query if the view has become stale in the meantime.
func (r *run) begin(now time.Time) {
	v := r.engine.opts.Router.View()
	if !v.Valid(now) {
		r.refuse(now, "the configuration view is stale", "admit", policy.StaleView)
		return
	}
	if doc := v.Services[r.req.Service]; doc != nil {
		r.doc = doc
	}
	r.startedAt = now
	r.isAdmitted = true
	r.service.running++
	if wait := r.doc.StopWork.Patience.Std(); wait > 0 {
		r.patienceEnd = now.Add(wait)
	}
	r.engine.recordDecision(r, decision.Admitted, nil, string(r.req.Urgency))
	r.pin(now, r.service.chooseSnapshot(now, r.doc))
}

// pin sets the query's snapshot and starts all its parts. Results from another
// snapshot are discarded.
func (r *run) pin(now time.Time, s *document.Snapshot) {
	r.snapshot = s
	r.engine.recordDecision(r, decision.Pinned, nil, s.ID)
	r.scatter(s)
	for i := range r.parts {
		if r.isDone || r.snapshot != s {
			return
		}
		r.parts[i].start(now)
	}
	r.finishIfDecided(now)
	r.scheduleTick(now)
}

func (r *run) scatter(s *document.Snapshot) {
	if len(r.service.leaves) > len(r.doc.Leaves) {
		r.service.dropRemovedLeaves(r.doc)
	}
	r.parts = make([]part, 0, len(s.Weights))
	r.gotWeight, r.lostWeight, r.totalWeight = 0, 0, 0
	for _, w := range s.Weights {
		if w.Weight == 0 {
			continue
		}
		r.totalWeight += w.Weight
		r.parts = append(r.parts, part{run: r, leaf: w.Leaf, weight: w.Weight, queue: r.service.leaf(w.Leaf), queueIndex: notQueued})
	}
	r.engine.out.Send = slices.Grow(r.engine.out.Send, len(r.parts))
	r.openParts = make([]*part, len(r.parts))
	for i := range r.parts {
		p := &r.parts[i]
		p.triedServers = p.triedArray[:0]
		p.triedServers = p.queue.appendMissing(p.triedServers, s.ID)
		p.openIndex = i
		r.openParts[i] = p
	}
}

func (r *run) reply(now time.Time, a *attempt, res leafcall.Result) {
	if res.NotRun() {
		r.possiblyRun--
	}
	if res.Status == leafcall.SnapshotGone {
		a.queue.markMissing(now, a.server, a.snapshot)
	}
	p := a.part
	if !p.endAttempt(a) {
		return
	}
	p.reply(now, res)
	r.finishIfDecided(now)
	if !r.isDone && len(r.openParts) <= r.maxStragglers() {
		r.hedgeOverdue(now)
	}
}

// finishIfDecided finishes the query if no part is open, if the patience is over
// and the coverage is sufficient, if the least coverage can no longer be
// reached, or if the deadline has passed.
func (r *run) finishIfDecided(now time.Time) {
	if r.isDone {
		return
	}
	isPatient := r.patienceEnd.IsZero() || now.Before(r.patienceEnd)
	isEnough := !isPatient && floorShare(r.gotWeight, r.totalWeight) >= r.doc.StopWork.Coverage
	isUnreachable := floorShare(r.totalWeight-r.lostWeight, r.totalWeight) < r.doc.LeastCoverage
	if len(r.openParts) == 0 || isEnough || isUnreachable || !now.Before(r.req.Deadline) {
		r.finish(now)
	}
}

func (r *run) finish(now time.Time) {
	cov := floorShare(r.gotWeight, r.totalWeight)
	if cov < r.doc.LeastCoverage {
		r.refuse(now, "too little of the snapshot answered", "gather", r.firstFailureReason())
		return
	}
	ans := &figmast.QueryAnswer{
		RequestID: r.req.ID, Service: r.req.Service, Snapshot: r.snapshot.ID,
		PartitionMap: r.snapshot.PartitionMap, Coverage: cov, DocumentVersion: r.doc.Version,
	}
	ans.Results = make([]figmast.LeafResult, 0, len(r.parts))
	for i := range r.parts {
		p := &r.parts[i]
		if p.hasResult {
			ans.Results = append(ans.Results, figmast.LeafResult{Leaf: p.leaf, Result: p.result})
			continue
		}
		ans.Missing = append(ans.Missing, figmast.MissingLeaf{Leaf: p.leaf, Reason: p.missingReason()})
	}
	r.service.recordDuration(now, now.Sub(r.startedAt))
	reason := "complete"
	if len(ans.Missing) > 0 {
		reason = "partial: " + ans.Missing[0].Reason
	}
	r.engine.recordDecision(r, decision.Answered, nil, reason)
	r.engine.out.Finish = append(r.engine.out.Finish, Finish{Run: r.id, Answer: ans})
	r.close()
}

func (r *run) firstFailureReason() policy.Reason {
	for i := range r.parts {
		if p := &r.parts[i]; !p.hasResult && p.failure != "" {
			return policy.Reason(p.failure)
		}
	}
	return reasonDeadline
}

// refuse ends the query with a problem. A status below 500 tells the caller that
// a retry does not help.
func (r *run) refuse(now time.Time, title, step string, reason policy.Reason) {
	status := http.StatusServiceUnavailable
	if reason == policy.UnknownService {
		status = http.StatusNotFound
	}
	p := &figmast.Problem{
		Type: "about:blank", Title: title, Status: status, Detail: string(reason),
		RequestID: r.req.ID, Step: step, Outcome: r.outcome(), Coverage: floorShare(r.gotWeight, r.totalWeight),
	}
	if status >= http.StatusInternalServerError {
		p.RetryAfterMs = r.retryAfter(now, reason).Milliseconds()
	}
	kind := decision.Refused
	if r.isAdmitted {
		kind = decision.GaveUp
	}
	r.engine.recordDecision(r, kind, nil, string(reason))
	r.engine.out.Finish = append(r.engine.out.Finish, Finish{Run: r.id, Problem: p})
	r.close()
}

// outcome returns the outcome of a refused query: NotRun only if certainly no
// backend server has run any of its calls.
func (r *run) outcome() figmast.Outcome {
	if r.possiblyRun > 0 {
		return figmast.Unknown
	}
	return figmast.NotRun
}

// close ends the query and cancels its calls.
func (r *run) close() {
	r.isDone = true
	r.stopParts()
	if r.isAdmitted {
		r.service.running--
	}
	if r.queueIndex != notQueued {
		r.service.removeQueued(r)
	}
	r.engine.timers.Stop(r)
	delete(r.engine.runs, r.id)
}

func (r *run) stopParts() {
	for i := range r.parts {
		r.parts[i].stop()
	}
}

func (r *run) tick(now time.Time) {
	if !r.isAdmitted {
		r.refuseOverdue(now)
		return
	}
	if !now.Before(r.req.Deadline) {
		r.finish(now)
		return
	}
	for i := len(r.openParts) - 1; i >= 0; i-- {
		if i < len(r.openParts) {
			r.openParts[i].tick(now)
		}
		if r.isDone {
			return
		}
	}
	if len(r.openParts) <= r.maxStragglers() {
		r.hedgeOverdue(now)
	}
	r.finishIfDecided(now)
	r.scheduleTick(now)
}

// scheduleTick sets the timer to the earliest time at which tick has work.
func (r *run) scheduleTick(now time.Time) {
	if r.isDone {
		return
	}
	next := r.req.Deadline
	for _, p := range r.openParts {
		next = p.nextDue(now, next)
	}
	if r.patienceEnd.After(now) && r.patienceEnd.Before(next) {
		next = r.patienceEnd
	}
	r.engine.timers.Set(r, next)
}

// tickBy moves the timer forward to at if it is set to a later time.
func (r *run) tickBy(at time.Time) {
	if wake, set := r.timer.DueTime(); set && at.Before(wake) {
		r.engine.timers.Set(r, at)
	}
}
