package forward

import (
	"cmp"
	"slices"
	"time"

	"github.com/figmast/figmast/policy"
)

// service holds the parts that wait for one service's servers. The load that
// it answers: more requests than the connections of this host bear at once,
// as in a burst or while servers are down.
type service struct {
	engine *Engine
	name   string
	queue  []*part
	// reviewAt is when those that wait are looked at again.
	reviewAt time.Time
	// ended and since measure how fast calls end.
	rate   float64
	rateAt time.Time
}

const (
	// rateWindow is over which the rate of ended calls is taken.
	rateWindow = time.Second
	// lateShare of the time left is how long a part may have to wait at the
	// rate of late before it is refused.
	lateShare = 0.8
	// fewWaiting parts are never refused: their wait is short whatever the
	// rate.
	fewWaiting = 4
	// reviewEvery is how often those that wait are looked at again; the
	// shortest objectives are a few times as long.
	reviewEvery = 50 * time.Millisecond
	// stillShare of its time is how long a part waits, even as one of a few,
	// for a service at which no call ends: what is left then is little more
	// than a caller needs to try elsewhere.
	stillShare = 0.5
)

func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		s = &service{engine: e, name: name}
		e.services[name] = s
	}
	return s
}

func (s *service) waiting() int { return len(s.queue) }

// before reports whether a goes ahead of b: requests that can still be
// answered within their objective first, then by priority, then in order of arrival.
func before(now time.Time, a, b *part) int {
	late := func(p *part) int {
		if now.Add(p.run.record.usual()).After(p.run.objective) {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(late(a), late(b)),
		cmp.Compare(a.run.req.Route.Priority, b.run.req.Route.Priority),
		a.run.began.Compare(b.run.began),
	)
}

// ahead reports whether parts wait that go before p.
func (s *service) ahead(p *part) bool {
	for _, q := range s.queue {
		if before(p.run.began, q, p) < 0 {
			return true
		}
	}
	return false
}

// refuses tells whether a part would wait so long that its request is better
// refused at once.
func (s *service) refuses(now time.Time, p *part) (string, bool) {
	first := 0
	for _, q := range s.queue {
		if before(now, q, p) <= 0 {
			first++
		}
	}
	return s.late(now, p, first)
}

// late is refuses for a part that so many others go before.
func (s *service) late(now time.Time, p *part, first int) (string, bool) {
	left := p.run.expiry().Sub(now)
	if first >= fewWaiting {
		return string(policy.AllBusy), s.drain(now, first) > time.Duration(lateShare*float64(left))
	}
	if s.speed(now) > 0 || !p.waiting {
		return "", false
	}
	waited := now.Sub(p.since)
	return string(policy.AllBusy), waited > time.Duration(stillShare*float64(waited+left))
}

// review gives up those that wait in vain since the service has slowed down or
// more urgent requests have come. The load that it answers: servers that hang
// or are lost while a queue stands before them.
func (s *service) review(now time.Time) {
	if now.Before(s.reviewAt) {
		return
	}
	s.reviewAt = now.Add(reviewEvery)
	order := slices.SortedFunc(slices.Values(s.queue), func(a, b *part) int { return before(now, a, b) })
	first := 0
	for _, p := range order {
		if !p.waiting {
			continue // its request has ended in this review
		}
		reason, late := s.late(now, p, first)
		if !late {
			first++
			continue
		}
		p.lose(now, reason)
		p.run.settle(now)
		p.run.rest(now)
	}
}

// drain returns how long it takes until that many waiting parts are served.
func (s *service) drain(now time.Time, n int) time.Duration {
	rate := s.speed(now)
	if rate < 1 {
		rate = 1
	}
	return time.Duration(float64(n) / rate * float64(time.Second))
}

// speed returns how many calls end in a second.
func (s *service) speed(now time.Time) float64 {
	idle := now.Sub(s.rateAt)
	if idle >= rateWindow {
		return 0
	}
	return s.rate * (1 - idle.Seconds()/rateWindow.Seconds())
}

// count notes that a call has ended.
func (s *service) count(now time.Time) {
	s.rate = s.speed(now) + 1
	s.rateAt = now
}

func (s *service) add(now time.Time, p *part) {
	if p.waiting {
		return
	}
	p.waiting, p.since = true, now
	s.queue = append(s.queue, p)
}

func (s *service) remove(p *part) {
	if !p.waiting {
		return
	}
	p.waiting = false
	if i := slices.Index(s.queue, p); i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
}

// serve sends waiting parts while there are servers for them.
func (s *service) serve(now time.Time) {
	for len(s.queue) > 0 {
		p := slices.MinFunc(s.queue, func(a, b *part) int { return before(now, a, b) })
		target, reason := p.choose(now, false)
		if target == nil && waits(reason) {
			return
		}
		s.remove(p)
		if target == nil {
			p.lose(now, string(reason))
		} else {
			p.send(now, target)
		}
		p.run.settle(now)
		p.run.rest(now)
	}
}

const (
	// leastRetryAfter spreads callers that are refused together.
	leastRetryAfter = 30 * time.Millisecond
	mostRetryAfter  = 2 * time.Second
	// downRetryAfter holds where no server can be reached: it is looked for
	// again within about this time.
	downRetryAfter = 250 * time.Millisecond
	// retrySpread is the part of the time that is drawn at random.
	retrySpread = 0.5
)

// retryAfter returns when a refused caller had better come back: when what
// waits has been served, and when servers that asked for back-off take
// calls again.
func (r *run) retryAfter(now time.Time, reason policy.Reason) time.Duration {
	var d time.Duration
	for i := range r.parts {
		s := r.parts[i].service
		if n := s.waiting(); n > 0 {
			d = max(d, s.drain(now, n))
		}
	}
	if reason == policy.NoServer || reason == policy.AllDown || reason == policy.AllOut {
		d = max(d, downRetryAfter)
	}
	d = min(max(d, leastRetryAfter), mostRetryAfter)
	for i := range r.parts {
		if p := &r.parts[i]; p.state != partHave {
			d = max(d, r.engine.opts.Balancer.BackoffLeft(now, p.service.name))
		}
	}
	return d + time.Duration(retrySpread*r.engine.opts.Rand.Float64()*float64(d))
}
