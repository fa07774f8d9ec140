package query

import (
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// run is one query in progress.
type run struct {
	engine      *Engine
	id          RunID
	req         Request
	fingerprint uint64
	doc         *document.Service
	// snapshot is the only one that parts of the answer may come from.
	snapshot *document.Snapshot
	parts    []*part
	started  time.Time
	// patience is when the query may answer with less than everything; zero
	// once that moment has passed or where the document sets none.
	patience time.Time
	done     bool
	out      Actions
}

// part is one leaf's share of a query.
type part struct {
	leaf    string
	weight  uint64
	result  json.RawMessage
	have    bool
	tries   int
	tried   []*policy.Server
	running []*attempt
	hedgeAt time.Time
	// failed is why the part will stay missing.
	failed string
}

// attempt is one call to one backend server.
type attempt struct {
	run    *run
	part   *part
	id     leafcall.ID
	server *policy.Server
	sent   time.Time
}

func newRun(e *Engine, id RunID, req Request) *run {
	h := xxhash.New()
	_, _ = h.WriteString(req.Service + "\x00" + req.Operation + "\x00")
	_, _ = h.Write(req.Payload)
	return &run{engine: e, id: id, req: req, fingerprint: h.Sum64()}
}

func (r *run) take() Actions {
	out := r.out
	r.out = Actions{}
	return out
}

func (r *run) start(now time.Time) {
	r.started = now
	v := r.engine.opts.Router.View()
	if !v.Valid(now) {
		r.refuse(now, 503, "the configuration view is stale", "admit", policy.StaleView)
		return
	}
	r.doc = v.Services[r.req.Service]
	if r.doc == nil {
		r.refuse(now, 404, "unknown service", "admit", policy.NoSuchServer)
		return
	}
	if wait := r.doc.StopWork.Patience.Std(); wait > 0 {
		r.patience = now.Add(wait)
	}
	r.pin(now, &r.doc.Snapshots[len(r.doc.Snapshots)-1])
}

// pin starts the query on a snapshot.
func (r *run) pin(now time.Time, s *document.Snapshot) {
	r.snapshot = s
	r.parts = nil
	for _, w := range s.Weights {
		if w.Weight == 0 {
			continue
		}
		p := &part{leaf: w.Leaf, weight: w.Weight}
		r.parts = append(r.parts, p)
	}
	for _, p := range r.parts {
		r.try(now, p, false)
	}
	r.settle(now)
}

// try starts one more attempt for the part, or marks the part as failed when
// none is running either.
func (r *run) try(now time.Time, p *part, hedge bool) {
	router := r.engine.opts.Router
	pick := policy.Pick{
		Service: r.req.Service, Leaf: p.leaf, Tried: p.tried,
		Fingerprint: r.fingerprint, Hedge: hedge,
	}
	srv, reason := router.Pick(now, pick)
	if srv == nil {
		if len(p.running) == 0 {
			p.failed = string(reason)
		}
		return
	}
	router.Begin(now, srv)
	a := &attempt{run: r, part: p, id: r.engine.opts.NextCall(), server: srv, sent: now}
	p.tries++
	p.tried = append(p.tried, srv)
	p.running = append(p.running, a)
	p.hedgeAt = now.Add(router.HedgeDelay(r.req.Service, p.leaf))
	r.engine.calls[a.id] = a
	r.out.Send = append(r.out.Send, leafcall.Send{
		ID: a.id, Server: srv, RequestID: r.req.ID, Operation: r.req.Operation,
		Snapshot: r.snapshot.ID, Payload: r.req.Payload, Deadline: r.req.Deadline,
	})
}

func (r *run) reply(now time.Time, a *attempt, res leafcall.Result) {
	p := a.part
	p.running = without(p.running, a)
	if p.have {
		return
	}
	switch {
	case res.Status == leafcall.OK && res.Snapshot == r.snapshot.ID:
		p.have = true
		p.result = res.Body
		r.cancel(p)
	case r.mayRetry(now, p):
		r.try(now, p, false)
	case len(p.running) == 0:
		p.failed = failure(res)
	}
	r.settle(now)
}

func (r *run) mayRetry(now time.Time, p *part) bool {
	if len(p.running) > 0 || p.tries >= r.doc.Retries.Attempts {
		return false
	}
	return r.engine.opts.Router.SpendRetry(now, r.req.Service)
}

func failure(res leafcall.Result) string {
	switch res.Status {
	case leafcall.Shed:
		return "shed"
	case leafcall.SnapshotGone:
		return "snapshot_gone"
	case leafcall.Timeout:
		return "timeout"
	case leafcall.OK, leafcall.Mismatch:
		return "other_snapshot"
	default:
		return "failed"
	}
}

// settle finishes the run when nothing more is to come, or when what is there
// is enough.
func (r *run) settle(now time.Time) {
	if r.done {
		return
	}
	waiting := 0
	for _, p := range r.parts {
		if !p.have && p.failed == "" {
			waiting++
		}
	}
	enough := r.impatient(now) && r.coverage() >= r.doc.StopWork.Coverage
	if waiting == 0 || enough || !now.Before(r.req.Deadline) {
		r.finish(now)
	}
}

// impatient reports whether less than everything will do.
func (r *run) impatient(now time.Time) bool {
	wait := r.doc.StopWork.Patience.Std()
	return wait > 0 && now.Sub(r.started) >= wait
}

func (r *run) finish(now time.Time) {
	cov := r.coverage()
	if cov < r.doc.LeastCoverage {
		r.refuse(now, 503, "too little of the snapshot answered", "gather", r.firstFailure())
		return
	}
	ans := &figmast.QueryAnswer{
		RequestID: r.req.ID, Service: r.req.Service, Snapshot: r.snapshot.ID,
		PartitionMap: r.snapshot.PartitionMap, Coverage: cov, DocumentVersion: r.doc.Version,
	}
	for _, p := range r.parts {
		if p.have {
			ans.Results = append(ans.Results, figmast.LeafResult{Leaf: p.leaf, Result: p.result})
			continue
		}
		ans.Missing = append(ans.Missing, figmast.MissingLeaf{Leaf: p.leaf, Reason: p.reason()})
	}
	r.out.Finish = append(r.out.Finish, Finish{Run: r.id, Answer: ans})
	r.close()
}

func (p *part) reason() string {
	if p.failed == "" {
		return "deadline"
	}
	return p.failed
}

func (r *run) firstFailure() policy.Reason {
	for _, p := range r.parts {
		if !p.have {
			return policy.Reason(p.reason())
		}
	}
	return policy.Picked
}

// coverageSteps is how many steps a reported coverage is rounded down to.
const coverageSteps = 10_000

func (r *run) coverage() float64 {
	var got, total uint64
	for _, p := range r.parts {
		total += p.weight
		if p.have {
			got += p.weight
		}
	}
	if total == 0 {
		return 0
	}
	return floorShare(got, total)
}

// floorShare returns got/total rounded down to coverageSteps.
func floorShare(got, total uint64) float64 {
	if got >= total {
		return 1
	}
	steps := uint64(float64(got) / float64(total) * coverageSteps)
	for steps > 0 && !reaches(got, total, steps) {
		steps--
	}
	return float64(steps) / coverageSteps
}

func (r *run) refuse(now time.Time, status int, title, step string, reason policy.Reason) {
	wait := r.engine.opts.Router.Backoff(now, r.req.Service, reason)
	if status < 500 {
		wait = 0
	}
	p := &figmast.Problem{
		Type: "about:blank", Title: title, Status: status, Detail: string(reason),
		RequestID: r.req.ID, Step: step, Outcome: r.outcome(), RetryAfterMs: wait.Milliseconds(),
	}
	if r.snapshot != nil {
		p.Coverage = r.coverage()
	}
	r.out.Finish = append(r.out.Finish, Finish{Run: r.id, Problem: p})
	r.close()
}

// outcome of a refused query: not run only if no backend server got a call.
func (r *run) outcome() figmast.Outcome {
	for _, p := range r.parts {
		if p.tries > 0 {
			return figmast.Unknown
		}
	}
	return figmast.NotRun
}

// close ends the run and gives up its calls.
func (r *run) close() {
	r.done = true
	for _, p := range r.parts {
		r.cancel(p)
	}
	delete(r.engine.runs, r.id)
}

func (r *run) cancel(p *part) {
	for _, a := range p.running {
		r.out.Cancel = append(r.out.Cancel, leafcall.Cancel{ID: a.id})
	}
}

func (r *run) tick(now time.Time) {
	for _, p := range r.parts {
		if p.have || p.failed != "" || now.Before(p.hedgeAt) {
			continue
		}
		p.hedgeAt = r.req.Deadline
		if r.engine.opts.Router.SpendHedge(now, r.req.Service, p.leaf) {
			r.try(now, p, true)
		}
	}
	if r.impatient(now) {
		r.patience = time.Time{}
	}
	r.settle(now)
}

func (r *run) next() time.Time {
	next := r.req.Deadline
	for _, p := range r.parts {
		if !p.have && p.failed == "" && p.hedgeAt.Before(next) {
			next = p.hedgeAt
		}
	}
	if !r.patience.IsZero() && r.patience.Before(next) {
		next = r.patience
	}
	return next
}

func without(list []*attempt, a *attempt) []*attempt {
	for i, x := range list {
		if x == a {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}
