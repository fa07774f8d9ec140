package query

import (
	"math"
	"time"

	"github.com/figmast/figmast/policy"
)

// Time constants of what is measured of a service.
const (
	rateWindow    = time.Second
	durationShare = 0.1 // weight of the newest duration in the mean
	// durationHalfLife is how fast the mean is forgotten while nothing ends,
	// so that a bad spell cannot refuse everything for good.
	durationHalfLife = time.Second
)

// service is what the engine keeps of one service.
type service struct {
	engine *Engine
	name   string
	leaves map[string]*leafQueue
	// crowded counts, for each rank, the leaves at which as many parts wait as
	// may.
	crowded [ranks]int
	// running counts admitted queries.
	running int
	queue   admissionQueue
	turn    turn
	// marks counts those of all leaves.
	marks int
	// newest is the newest snapshot published, and newestSince its age.
	newest      string
	newestSince time.Time

	typical  time.Duration // mean duration of an answered query
	measured time.Time
	rate     float64 // answers a second
}

// service returns the state of a service that is in the view.
func (e *Engine) service(name string) *service {
	s := e.services[name]
	if s == nil {
		e.forget()
		s = &service{engine: e, name: name, leaves: make(map[string]*leafQueue)}
		e.services[name] = s
	}
	return s
}

// forget drops idle services that are no longer in the view.
func (e *Engine) forget() {
	known := e.opts.Router.View().Services
	for name, s := range e.services {
		if known[name] == nil && s.running == 0 && len(s.queue) == 0 {
			delete(e.services, name)
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

// observe takes in how long an answered query took.
func (s *service) observe(now time.Time, took time.Duration) {
	since := now.Sub(s.measured).Seconds() / rateWindow.Seconds()
	s.rate = s.rate*math.Exp(-since) + 1/rateWindow.Seconds()
	if s.typical == 0 {
		s.typical = took
	}
	s.typical += time.Duration(durationShare * float64(took-s.typical))
	s.measured = now
}

// needs returns how long a query is expected to take once it starts.
func (s *service) needs(now time.Time) time.Duration {
	idle := float64(now.Sub(s.measured)) / float64(durationHalfLife)
	return time.Duration(float64(s.typical) * math.Exp2(-idle))
}

// Bounds of the time after which a refused caller is asked to come back.
const (
	soonest = 50 * time.Millisecond
	latest  = 5 * time.Second
	// spread is the part of it by which callers are kept from coming back all
	// at once.
	spread = 0.5
)

// comeBack returns when coming back helps: once the queue has drained, or
// what the Router says for the reason.
func (r *run) comeBack(now time.Time, reason policy.Reason) time.Duration {
	wait := r.engine.opts.Router.Backoff(now, r.req.Service, reason)
	if s := r.service; s != nil && s.rate > 0 {
		drain := float64(len(s.queue)+1) / s.rate * float64(time.Second)
		wait = max(wait, time.Duration(min(drain, float64(latest))))
	}
	const steps = 1 << 10
	jitter := spread * float64((r.fingerprint^uint64(r.id)*0x9E3779B97F4A7C15)>>32%steps) / steps
	return min(max(time.Duration(float64(wait)*(1+jitter)), soonest), latest)
}
