package query

import (
	"math"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/policy"
)

// Constants of the moving averages of a service.
const (
	rateWindow     = time.Second // time constant of the answer rate
	durationWeight = 0.1         // weight of the newest duration in the mean
	// durationHalfLife is the half-life of the mean while no query is answered.
	// Without the decay, a period of slow answers could cause every later query
	// to be refused as too late, and the mean would never be updated again.
	durationHalfLife = time.Second
)

// service is the engine's state of one service.
type service struct {
	engine *Engine
	name   string
	leaves map[string]*leafQueue
	// saturatedLeaves counts, for each rank, the leaves that have reached
	// saturationThreshold.
	saturatedLeaves [urgencyLevels]int
	// running counts the admitted queries in progress.
	running    int
	queue      admissionQueue
	scheduling schedulingState
	// missingCount is the total length of the missing lists of all leaves.
	missingCount int
	// newestID is the newest published snapshot, and newestSince when the
	// engine first saw it.
	newestID    string
	newestSince time.Time

	meanDuration time.Duration // mean duration of an answered query
	lastAnswerAt time.Time     // when the last query was answered
	answerRate   float64       // answers per second
}

// service returns the state of a service in the view, creating it if needed.
func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		e.dropIdleServices()
		s = &service{engine: e, name: name, leaves: make(map[string]*leafQueue)}
		e.services[name] = s
	}
	return s
}

// dropIdleServices drops idle services that are no longer in the view.
func (e *Engine) dropIdleServices() {
	known := e.opts.Router.View().Services
	for name, s := range e.services {
		if known[name] == nil && s.running == 0 && len(s.queue) == 0 {
			delete(e.services, name)
		}
	}
}

// dropRemovedLeaves drops idle leaves that are no longer in the document.
func (s *service) dropRemovedLeaves(doc *document.Service) {
	for name, q := range s.leaves {
		if len(q.parts) == 0 && doc.Leaf(name) == nil {
			s.missingCount -= len(q.missing)
			q.missing, q.isRemoved = nil, true
			delete(s.leaves, name)
		}
	}
}

func (s *service) leaf(name string) *leafQueue {
	q := s.leaves[name]
	if q == nil {
		q = &leafQueue{service: s}
		s.leaves[name] = q
	}
	return q
}

// recordDuration updates the averages with an answered query.
func (s *service) recordDuration(now time.Time, took time.Duration) {
	since := now.Sub(s.lastAnswerAt).Seconds() / rateWindow.Seconds()
	s.answerRate = s.answerRate*math.Exp(-since) + 1/rateWindow.Seconds()
	if s.meanDuration == 0 {
		s.meanDuration = took
	}
	s.meanDuration += time.Duration(durationWeight * float64(took-s.meanDuration))
	s.lastAnswerAt = now
}

// expectedDuration returns how long a query that starts now is expected to take.
func (s *service) expectedDuration(now time.Time) time.Duration {
	idle := float64(now.Sub(s.lastAnswerAt)) / float64(durationHalfLife)
	return time.Duration(float64(s.meanDuration) * math.Exp2(-idle))
}

// Bounds of the time after which a refused caller is told to retry.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// maxRetryJitter is the largest fraction by which the time is extended, so
	// that refused callers do not all retry at once.
	maxRetryJitter = 0.5
)

// retryAfter returns after how long a retry may succeed: the longer of the time
// until the queue has drained and the Router's backoff for the reason, with
// jitter and within the bounds above.
func (r *run) retryAfter(now time.Time, reason policy.Reason) time.Duration {
	wait := r.engine.opts.Router.Backoff(now, r.req.Service, reason)
	if s := r.service; s != nil && s.answerRate > 0 {
		drain := float64(len(s.queue)+1) / s.answerRate * float64(time.Second)
		wait = max(wait, time.Duration(min(drain, float64(maxRetryAfter))))
	}
	const steps = 1 << 10
	jitter := maxRetryJitter * float64((r.fingerprint^uint64(r.id)*0x9E3779B97F4A7C15)>>32%steps) / steps
	return min(max(time.Duration(float64(wait)*(1+jitter)), minRetryAfter), maxRetryAfter)
}
