package query

import (
	"container/heap"
	"time"

	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/policy"
)

// Reasons for refusing a query, in addition to those of the Router.
const (
	reasonDeadline     policy.Reason = "deadline"
	reasonTooLate      policy.Reason = "too_late"   // it cannot finish before its deadline
	reasonQueueFull    policy.Reason = "queue_full" // the queue is full, and all other queries have priority
	reasonOverloaded   policy.Reason = "overloaded" // it was queued for too long
	reasonSnapshotGone policy.Reason = "snapshot_gone"
)

// Limits on queued queries.
const (
	// maxQueueLength is the most queries that one service may queue.
	maxQueueLength = 256
	// maxQueueWait is the longest that a query may be queued.
	maxQueueWait = 100 * time.Millisecond
	// queueWaitDivisor also limits the wait to this fraction (1/4) of the
	// time left until the query's deadline.
	queueWaitDivisor = 4
	// maxQueuedBytes bounds the queued payloads of all services together.
	maxQueuedBytes = 32 << 20
)

// admissionQueue is a heap of a service's queued queries, ordered by
// run.before.
type admissionQueue []*run

func (q admissionQueue) Len() int           { return len(q) }
func (q admissionQueue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q admissionQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].queueIndex, q[j].queueIndex = i, j
}

// Push implements heap.Interface.
func (q *admissionQueue) Push(x any) {
	r := x.(*run)
	r.queueIndex = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *admissionQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	r.queueIndex = notQueued
	return r
}

// urgencyLevels is the number of values of Urgency; rank 0 is the most urgent.
const urgencyLevels = 3

func (r *run) rank() int { return r.req.Urgency.Rank() }

// before orders queries by urgency, then by worth, highest first, then by
// arrival. Comparing worth alone is the same as comparing worth per leaf call,
// because all queries of a service cost the same number of calls.
func (r *run) before(other *run) bool {
	if a, b := r.rank(), other.rank(); a != b {
		return a < b
	}
	if r.req.Worth != other.req.Worth {
		return r.req.Worth > other.req.Worth
	}
	return r.id < other.id
}

// admit starts, queues or refuses a new query.
func (e *Engine) admit(now time.Time, r *run) {
	v := e.opts.Router.View()
	if !v.Valid(now) {
		r.refuse(now, "the configuration view is stale", "admit", policy.StaleView)
		return
	}
	r.doc = v.Services[r.req.Service]
	if r.doc == nil {
		r.refuse(now, "unknown service", "admit", policy.UnknownService)
		return
	}
	r.service = e.service(r.req.Service)
	r.arrivedAt = now
	switch s := r.service; {
	case s.cannotFinish(now, r):
		r.refuse(now, "too little time left", "admit", reasonTooLate)
	case len(s.queue) == 0 && s.canStart(r):
		r.begin(now)
	default:
		s.enqueue(now, r)
		e.startQueued(now, s)
	}
}

// cannotFinish reports whether the query is expected to miss its deadline even
// if it starts now.
func (s *service) cannotFinish(now time.Time, r *run) bool {
	left := r.req.Deadline.Sub(now)
	return left <= 0 || left < s.expectedDuration(now)
}

// canStart reports whether both the service and the host have capacity for the
// query now.
func (s *service) canStart(r *run) bool {
	return s.saturatedLeaves[r.rank()] == 0 && s.engine.hasCallCapacity()
}

// hasStartable reports whether the service has capacity for its first queued
// query. The host may still be at its limit.
func (s *service) hasStartable() bool {
	return len(s.queue) > 0 && s.saturatedLeaves[s.queue[0].rank()] == 0
}

// hasCallCapacity reports whether the host is below its limit on leaf calls.
func (e *Engine) hasCallCapacity() bool { return len(e.calls) < e.opts.MaxCalls }

// enqueue queues the query. While the queue is over its limits, the query with
// the lowest priority is refused, which may be the new one.
func (s *service) enqueue(now time.Time, r *run) {
	e := s.engine
	r.queueDeadline = now.Add(min(maxQueueWait, r.req.Deadline.Sub(now)/queueWaitDivisor))
	heap.Push(&s.queue, r)
	e.queuedBytes += len(r.req.Payload)
	e.timers.Set(r, r.queueDeadline)
	e.recordDecision(r, decision.Queued, nil, string(r.req.Urgency))
	for len(s.queue) > s.queueLimit() || e.queuedBytes > maxQueuedBytes {
		s.lowestPriority().refuse(now, "the service is overloaded", "admit", reasonQueueFull)
	}
}

// minQueueLimit is the lowest queue limit. It applies until the service's
// answer rate is known.
const minQueueLimit = 4

// queueLimit returns how many queries may be queued: as many as the service
// answers within maxQueueWait at its current rate, within fixed bounds.
func (s *service) queueLimit() int {
	return min(max(int(s.answerRate*maxQueueWait.Seconds()), minQueueLimit), maxQueueLength)
}

func (s *service) lowestPriority() *run {
	last := s.queue[0]
	for _, r := range s.queue {
		if last.before(r) {
			last = r
		}
	}
	return last
}

func (s *service) removeQueued(r *run) {
	heap.Remove(&s.queue, r.queueIndex)
	s.engine.queuedBytes -= len(r.req.Payload)
}

// refuseOverdue refuses a query that was not started before its queueDeadline.
func (r *run) refuseOverdue(now time.Time) {
	r.refuse(now, "the service is overloaded", "admit", reasonOverloaded)
}

// startQueued starts queued queries while there is capacity. Services held
// back by the host's limit on leaf calls go first, scheduled by deficit round
// robin; then queries of s start, if s is not nil.
func (e *Engine) startQueued(now time.Time, s *service) {
	if e.scheduler.activeCount() > 0 {
		e.scheduler.startQueries(now, e)
	}
	if s == nil {
		return
	}
	for s.hasStartable() {
		if !e.hasCallCapacity() {
			e.scheduler.activate(s)
			return
		}
		s.startNext(now)
	}
}

// startNext takes the first query off the queue and starts it. It returns the
// query's cost in leaf calls, 0 if it was refused.
func (s *service) startNext(now time.Time) int {
	r := s.queue[0]
	s.removeQueued(r)
	if s.cannotFinish(now, r) {
		r.refuse(now, "too little time left", "admit", reasonTooLate)
		return 0
	}
	r.engine.timers.Stop(r)
	r.begin(now)
	return len(r.parts)
}
