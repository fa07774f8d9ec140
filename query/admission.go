package query

import (
	"container/heap"
	"time"

	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/policy"
)

// Reasons for refusing a query, beside the Router's.
const (
	deadline     policy.Reason = "deadline"
	tooLate      policy.Reason = "too_late"   // it could not end in time
	queueFull    policy.Reason = "queue_full" // others are ahead
	overloaded   policy.Reason = "overloaded" // its turn did not come
	snapshotGone policy.Reason = "snapshot_gone"
)

// Bounds of the queues.
const (
	// longestQueue is how many queries of a service may wait.
	longestQueue = 256
	// longestHold is how long a query waits for its turn at most.
	longestHold = 100 * time.Millisecond
	// holdShare of the time left is the other bound of the wait.
	holdShare = 4
	// maxQueuedBytes bounds the payloads that wait, of all services.
	maxQueuedBytes = 32 << 20
)

// admissionQueue is a heap of a service's queries that wait, the first to be
// served first.
type admissionQueue []*run

func (q admissionQueue) Len() int           { return len(q) }
func (q admissionQueue) Less(i, j int) bool { return q[i].before(q[j]) }
func (q admissionQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].place, q[j].place = i, j
}

// Push adds a run; it serves container/heap.
func (q *admissionQueue) Push(x any) {
	r := x.(*run)
	r.place = len(*q)
	*q = append(*q, r)
}

// Pop removes the last run; it serves container/heap.
func (q *admissionQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	r.place = noPlace
	return r
}

// ranks is how many urgencies there are.
const ranks = 3

func (r *run) rank() int { return r.req.Urgency.Rank() }

// before orders queries: urgent ones first, then by worth for each leaf call,
// then by arrival. All queries of a service cost the same number of calls.
func (r *run) before(other *run) bool {
	if a, b := r.rank(), other.rank(); a != b {
		return a < b
	}
	if r.req.Worth != other.req.Worth {
		return r.req.Worth > other.req.Worth
	}
	return r.id < other.id
}

// admit starts a query, queues it, or refuses it at once.
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
	r.arrived = now
	switch s := r.service; {
	case s.late(now, r):
		r.refuse(now, "too little time left", "admit", tooLate)
	case len(s.queue) == 0 && s.free(r):
		r.begin(now)
	default:
		s.enqueue(now, r)
		e.pump(now, s)
	}
}

// late reports whether the query could not end in time if it started now.
func (s *service) late(now time.Time, r *run) bool {
	left := r.req.Deadline.Sub(now)
	return left <= 0 || left < s.needs(now)
}

// free reports whether the service takes the query now.
func (s *service) free(r *run) bool { return s.crowded[r.rank()] == 0 && s.engine.room() }

// ready reports whether a query waits that the service itself can take.
func (s *service) ready() bool {
	return len(s.queue) > 0 && s.crowded[s.queue[0].rank()] == 0
}

// room reports whether the host takes more leaf calls.
func (e *Engine) room() bool { return len(e.calls) < e.opts.MaxCalls }

// enqueue lets the query wait for its turn; where too many wait, the last of
// them is refused.
func (s *service) enqueue(now time.Time, r *run) {
	e := s.engine
	r.hold = now.Add(min(longestHold, r.req.Deadline.Sub(now)/holdShare))
	heap.Push(&s.queue, r)
	e.queued += len(r.req.Payload)
	e.timers.Set(r, r.hold)
	e.decide(r, decision.Queued, nil, string(r.req.Urgency))
	for len(s.queue) > s.longest() || e.queued > maxQueuedBytes {
		s.lastInLine().refuse(now, "the service is overloaded", "admit", queueFull)
	}
}

// leastQueue is how many queries may wait before the drain is known.
const leastQueue = 4

// longest returns how many queries can have their turn before they are
// refused, by the rate at which the service answers.
func (s *service) longest() int {
	return min(max(int(s.rate*longestHold.Seconds()), leastQueue), longestQueue)
}

func (s *service) lastInLine() *run {
	last := s.queue[0]
	for _, r := range s.queue {
		if last.before(r) {
			last = r
		}
	}
	return last
}

func (s *service) unqueue(r *run) {
	heap.Remove(&s.queue, r.place)
	s.engine.queued -= len(r.req.Payload)
}

// expire refuses a query whose turn has not come.
func (r *run) expire(now time.Time) {
	r.refuse(now, "the service is overloaded", "admit", overloaded)
}

// pump starts queued queries while there is room: of the service, or by turns
// where the host's bound keeps several services waiting.
func (e *Engine) pump(now time.Time, s *service) {
	if e.fair.waiting() > 0 {
		e.fair.serve(now, e)
	}
	if s == nil {
		return
	}
	for s.ready() {
		if !e.room() {
			e.fair.join(s)
			return
		}
		s.startFirst(now)
	}
}

// startFirst starts the query whose turn it is and returns its cost in leaf
// calls.
func (s *service) startFirst(now time.Time) int {
	r := s.queue[0]
	s.unqueue(r)
	if s.late(now, r) {
		r.refuse(now, "too little time left", "admit", tooLate)
		return 0
	}
	r.engine.timers.Stop(r)
	r.begin(now)
	return len(r.parts)
}
