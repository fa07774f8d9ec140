package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/figmast/figmast/policy"
)

// service holds the queue of parts waiting for one service's servers. Parts
// queue up when there are more requests than this host's connections can take,
// as in a burst or while servers are down.
type service struct {
	engine *Engine
	name   string
	queue  []*part
	// recheckAt is when the queued parts are checked again.
	recheckAt time.Time
	// rate is the rate of completed calls as of rateAt.
	rate   float64
	rateAt time.Time
}

const (
	// rateWindow is the window over which the rate of completed calls is
	// measured.
	rateWindow = time.Second
	// maxWaitShare is the share of its remaining time that a part may be
	// expected to wait, at the current completion rate, before it is refused.
	maxWaitShare = 0.8
	// smallQueue is the number of parts that may be queued ahead without a
	// refusal: the wait for so few is short at any rate.
	smallQueue = 4
	// recheckInterval is how often queued parts are checked for waiting too
	// long; the shortest objectives are a few times as long.
	recheckInterval = 50 * time.Millisecond
	// stalledWaitShare is the share of its time that a part waits for a service
	// that completes no calls, even if few parts are ahead of it. The remainder
	// is little more than a caller needs to try elsewhere.
	stalledWaitShare = 0.5
	// limitPatienceShare is the share of the time left for an answer in time that
	// a part waits for servers with request limits.
	limitPatienceShare = 0.25
)

func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{engine: e, name: name}
		e.services[name] = s
	}
	return s
}

func (s *service) queueLen() int { return len(s.queue) }

// compareUrgency orders parts for dispatch: first those that can still be
// answered within their objective, then by priority, then by arrival.
func compareUrgency(now time.Time, a, b *part) int {
	late := func(p *part) int {
		if now.Add(p.run.stats.medianLatency()).After(p.run.objective) {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(late(a), late(b)),
		cmp.Compare(a.run.req.Route.Priority, b.run.req.Route.Priority),
		a.run.startedAt.Compare(b.run.startedAt),
	)
}

// hasMoreUrgent reports whether any queued part is more urgent than p.
func (s *service) hasMoreUrgent(p *part) bool {
	for _, q := range s.queue {
		if compareUrgency(p.run.startedAt, q, p) < 0 {
			return true
		}
	}
	return false
}

// shouldRefuse reports, with a reason, whether a part would wait so long that
// its request should be refused at once.
func (s *service) shouldRefuse(now time.Time, p *part) (string, bool) {
	ahead := 0
	for _, q := range s.queue {
		if compareUrgency(now, q, p) <= 0 {
			ahead++
		}
	}
	return s.waitTooLong(now, p, ahead)
}

// waitTooLong reports whether a part with that many parts ahead of it would
// wait too long.
func (s *service) waitTooLong(now time.Time, p *part, ahead int) (string, bool) {
	remaining := p.run.expiry().Sub(now)
	if wait := s.engine.opts.Balancer.LimitWait(now, s.name, ahead+1, p.run.isUrgent()); wait > 0 {
		return string(policy.AllLimited), wait > p.run.limitPatience(now)
	}
	if ahead >= smallQueue {
		return string(policy.AllBusy), s.queueDelay(now, ahead) > time.Duration(maxWaitShare*float64(remaining))
	}
	if s.completionRate(now) > 0 || !p.waiting {
		return "", false
	}
	waited := now.Sub(p.waitingSince)
	return string(policy.AllBusy), waited > time.Duration(stalledWaitShare*float64(waited+remaining))
}

// recheckQueue fails queued parts whose wait has become hopeless because the
// service has slowed down or more urgent requests have arrived. This happens
// when servers hang or are lost while parts are queued for them.
func (s *service) recheckQueue(now time.Time) {
	if now.Before(s.recheckAt) {
		return
	}
	s.recheckAt = now.Add(recheckInterval)
	s.dispatch(now)
	order := slices.SortedFunc(slices.Values(s.queue), func(a, b *part) int { return compareUrgency(now, a, b) })
	ahead := 0
	for _, p := range order {
		if !p.waiting {
			continue // its request has ended during this check
		}
		reason, late := s.waitTooLong(now, p, ahead)
		if !late {
			ahead++
			continue
		}
		p.fail(now, reason)
		p.run.settle(now)
		p.run.reschedule(now)
	}
}

// limitPatience returns how long a part may wait for servers with request limits.
// A caller that is refused early can still be answered in time by another host,
// which may have capacity left.
func (r *run) limitPatience(now time.Time) time.Duration {
	if inTime := r.objective.Sub(now); inTime > 0 {
		return time.Duration(limitPatienceShare * float64(inTime))
	}
	return time.Duration(limitPatienceShare * float64(r.expiry().Sub(now)))
}

// queueDelay returns how long it takes to dispatch n queued parts.
func (s *service) queueDelay(now time.Time, n int) time.Duration {
	rate := s.completionRate(now)
	if rate < 1 {
		rate = 1
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// completionRate returns the number of calls that complete per second.
func (s *service) completionRate(now time.Time) float64 {
	idle := now.Sub(s.rateAt)
	if idle >= rateWindow {
		return 0
	}
	return s.rate * (1 - idle.Seconds()/rateWindow.Seconds())
}

// countCompletion counts a completed call.
func (s *service) countCompletion(now time.Time) {
	s.rate = s.completionRate(now) + 1
	s.rateAt = now
}

func (s *service) enqueue(now time.Time, p *part) {
	if p.waiting {
		return
	}
	p.waiting, p.waitingSince = true, now
	s.queue = append(s.queue, p)
}

func (s *service) dequeue(p *part) {
	if !p.waiting {
		return
	}
	p.waiting = false
	if i := slices.Index(s.queue, p); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// dispatch sends queued parts while servers are available.
func (s *service) dispatch(now time.Time) {
	for len(s.queue) > 0 {
		p := slices.MinFunc(s.queue, func(a, b *part) int { return compareUrgency(now, a, b) })
		target, reason := p.choose(now, false)
		if target == nil && mayBecomeFree(reason) {
			return
		}
		s.dequeue(p)
		if target == nil {
			p.fail(now, string(reason))
		} else {
			p.send(now, target)
		}
		p.run.settle(now)
		p.run.reschedule(now)
	}
}

const (
	// minRetryAfter is long enough for retryJitter to spread out the retries of
	// callers that are refused together.
	minRetryAfter = 30 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// unreachableRetryAfter is used if no server can be reached: servers are
	// checked again at about this interval.
	unreachableRetryAfter = 250 * time.Millisecond
	// retryJitter is the share of the delay that is added at random.
	retryJitter = 0.5
)

// retryAfter returns how long a refused caller should wait: until the queue has
// been dispatched and servers that asked for back-off accept calls again.
func (r *run) retryAfter(now time.Time, reason policy.Reason) time.Duration {
	var d time.Duration
	for i := range r.parts {
		s := r.parts[i].service
		if n := s.queueLen(); n > 0 {
			d = max(d, s.queueDelay(now, n))
		}
	}
	if reason == policy.NoServer || reason == policy.AllDown || reason == policy.AllOut {
		d = max(d, unreachableRetryAfter)
	}
	if reason == policy.AllLimited {
		d = max(d, r.limitWait(now))
	}
	d = min(max(d, minRetryAfter), maxRetryAfter)
	for i := range r.parts {
		if p := &r.parts[i]; p.state != partAnswered {
			d = max(d, r.engine.opts.Balancer.BackoffLeft(now, p.service.name))
		}
	}
	return d + time.Duration(retryJitter*r.engine.opts.Rand.Float64()*float64(d))
}

// limitWait returns how long it takes until this host may call the servers of
// every part, the queued parts included.
func (r *run) limitWait(now time.Time) (longest time.Duration) {
	for i := range r.parts {
		s := r.parts[i].service
		longest = max(longest, r.engine.opts.Balancer.LimitWait(now, s.name, s.queueLen()+1, r.isUrgent()))
	}
	return longest
}
