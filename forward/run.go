package forward

import (
	"fmt"
	"time"

	"github.com/figmast/figmast/internal/timers"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

const (
	// lingerFor is how long a call that is no longer wanted may end by itself,
	// which keeps its connection; servers must be idle half a second after.
	lingerFor = 300 * time.Millisecond
	// expiryMargin is kept for a final answer before the caller leaves.
	expiryMargin = 10 * time.Millisecond
)

// run is one request in progress.
type run struct {
	engine *Engine
	id     RunID
	req    Request
	record *routeRecord
	parts  []part
	open   int
	have   int
	began  time.Time
	// objective is when an answer must leave to have its full worth.
	objective time.Time
	// unsure counts calls that a server may have run, broken those that broke
	// off.
	unsure int
	broken int
	// checks counts the servers looked at after calls that broke off.
	checks int
	// answered is a server that answered, reported is set once a crash is held
	// against the request.
	answered *policy.Target
	reported bool
	trace    []string
	timer    timers.Timer
	done     bool
}

// maxTrace bounds what is noted of one request.
const maxTrace = 24

func (r *run) note(format string, args ...any) {
	if len(r.trace) < maxTrace {
		r.trace = append(r.trace, fmt.Sprintf(format, args...))
	}
}

// Timer implements timers.Item.
func (r *run) Timer() *timers.Timer { return &r.timer }

func (e *Engine) newRun(now time.Time, id RunID, req Request) *run {
	r := &run{engine: e, id: id, req: req, began: now, timer: timers.Timer{Order: uint64(id)}, record: e.record(req.Route)}
	margin := deliveryMargin(e.opts.CPUCores, max(len(req.Route.Gather), 1))
	r.objective = now.Add(req.Route.Objective - req.Elapsed - margin)
	return r
}

// begin sends the first calls, or refuses the request.
func (r *run) begin(now time.Time) {
	if v := r.engine.crashes.verdicts[r.req.Fingerprint]; v.Refused() {
		r.endCrashing(now, v)
		return
	}
	services := r.req.Route.Gather
	if len(services) == 0 {
		services = []string{r.record.service(r.req.Route)}
	}
	r.parts = make([]part, len(services))
	r.open = len(services)
	for i, s := range services {
		r.parts[i] = part{run: r, service: r.engine.service(s), linger: lingerFor}
	}
	if reason, ok := r.hopeless(now); ok {
		r.refuse(now, string(reason), r.retryAfter(now, reason))
		return
	}
	for i := range r.parts {
		if r.done {
			return
		}
		r.parts[i].start(now)
	}
	r.settle(now)
	r.rest(now)
}

// hopeless reports whether too few of the services have a server that can be
// reached.
func (r *run) hopeless(now time.Time) (policy.Reason, bool) {
	served := 0
	for i := range r.parts {
		if usable, _ := r.engine.opts.Balancer.Servers(now, r.parts[i].service.name); usable > 0 {
			served++
		}
	}
	if served > 0 && r.enough(served) {
		return "", false
	}
	for i := range r.parts {
		if r.engine.opts.Balancer.BackoffLeft(now, r.parts[i].service.name) > 0 {
			return policy.AllBackingOff, true
		}
	}
	return policy.NoServer, true
}

// gather reports whether the answer is merged from parts.
func (r *run) gather() bool { return len(r.req.Route.Gather) > 0 }

// shareSlack forgives the rounding of shares such as 0.89 of 9.
const shareSlack = 1e-9

// enough reports whether that many parts make an answer.
func (r *run) enough(n int) bool {
	if !r.gather() {
		return n > 0
	}
	return n > 0 && float64(n) >= r.req.Route.MinShardRatio*float64(len(r.parts))-shareSlack
}

// settle ends the request when nothing more can come, or when what is there
// is worth more now than with what may still come.
func (r *run) settle(now time.Time) {
	if r.done {
		return
	}
	switch {
	case r.open == 0 && r.enough(r.have):
		r.answer(now)
	case r.enough(r.have) && !now.Before(r.objective):
		r.note("answered without %d parts at the objective", r.open)
		r.answer(now)
	case !now.Before(r.expiry()):
		r.expire(now)
	case !r.enough(r.have + r.open):
		r.fail(now)
	}
}

// expiry is when the request ends without an answer.
func (r *run) expiry() time.Time { return r.req.Deadline.Add(-expiryMargin) }

func (r *run) answer(now time.Time) {
	if !r.gather() {
		r.finish(now, Finish{Verdict: PassThrough, Answer: r.parts[0].answer})
		return
	}
	f := Finish{Verdict: Merged, Missing: len(r.parts) - r.have}
	bodies := make([][]byte, 0, r.have)
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partHave {
			f.Signatures = append(f.Signatures, p.signature)
			bodies = append(bodies, p.body)
		}
	}
	f.Body = greatest(bodies, r.req.Route.TopK)
	r.finish(now, f)
}

// fail ends a request that cannot be served: with the server's own failure
// where there is one, as refused where nothing has run, else as failed.
func (r *run) fail(now time.Time) {
	if !r.gather() && r.parts[0].failure != nil {
		r.finish(now, Finish{Verdict: PassThrough, Answer: r.parts[0].failure, Reason: r.parts[0].reason})
		return
	}
	reason := r.firstReason()
	if r.unsure == 0 {
		r.refuse(now, reason, r.retryAfter(now, policy.Reason(reason)))
		return
	}
	r.finish(now, Finish{Verdict: Failed, Reason: reason, RetryAfter: r.retryAfter(now, policy.Reason(reason))})
}

func (r *run) firstReason() string {
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partLost {
			return p.reason
		}
	}
	return string(policy.NoServer)
}

// expire ends a request at its deadline.
func (r *run) expire(now time.Time) {
	if r.unsure == 0 {
		r.refuse(now, "no server was free before the deadline", r.retryAfter(now, policy.AllBusy))
		return
	}
	r.finish(now, Finish{Verdict: Expired, Reason: "no answer before the deadline"})
}

func (r *run) refuse(now time.Time, reason string, after time.Duration) {
	r.finish(now, Finish{Verdict: Refused, Reason: reason, RetryAfter: after})
}

func (r *run) finish(now time.Time, f Finish) {
	f.Run, f.Trace = r.id, r.trace
	r.engine.out.Finish = append(r.engine.out.Finish, f)
	r.close(now)
}

// close ends the request and gives up its calls.
func (r *run) close(now time.Time) {
	if r.done {
		return
	}
	r.done = true
	for i := range r.parts {
		r.parts[i].stop()
	}
	r.engine.timers.Stop(r)
	delete(r.engine.runs, r.id)
}

func (r *run) tick(now time.Time) {
	for i := range r.parts {
		if r.done {
			return
		}
		r.parts[i].tick(now)
	}
	r.settle(now)
	r.rest(now)
}

// rest lets held parts go on and sets the timer to what is due next.
func (r *run) rest(now time.Time) {
	r.release(now)
	if r.done {
		return
	}
	next := r.expiry()
	if r.gather() && r.objective.After(now) && r.objective.Before(next) {
		next = r.objective
	}
	for i := range r.parts {
		if at, ok := r.parts[i].due(); ok && at.Before(next) {
			next = at
		}
	}
	if next.Before(now) {
		next = now
	}
	r.engine.timers.Set(r, next)
}

// service returns the service of a request: the route's own, or the one that
// is furthest behind its weight's share of the requests.
func (rec *routeRecord) service(rt *route.Route) string {
	if len(rt.Split) == 0 {
		return rt.Service
	}
	var total float64
	for _, w := range rt.Split {
		total += w.Weight
	}
	best := rt.Split[0].Service
	for _, w := range rt.Split {
		rec.credit[w.Service] += w.Weight
		if rec.credit[w.Service] > rec.credit[best] {
			best = w.Service
		}
	}
	rec.credit[best] -= total
	return best
}
