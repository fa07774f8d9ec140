package policy

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/figmast/figmast/document"
)

// sim runs Routers of several hosts against modelled backend servers in
// virtual time. Each query asks all leaves of one service.
type sim struct {
	rnd     *rand.Rand
	now     time.Duration
	events  eventHeap
	serial  int
	doc     *document.Service
	hosts   []*Router
	servers map[string]*simServer
	// hedgeAfter replaces the Router's delay and budget: none if negative.
	hedgeAfter time.Duration

	latencies []time.Duration
	wanted    int // leaf calls least needed
	sent      int // leaf calls made
	answered  int
	denied    int // hedges without a token
	missing   map[Reason]int
}

type event struct {
	at     time.Duration
	serial int
	do     func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].serial < h[j].serial
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simServer models a backend server: some workers, a bounded queue, and a
// cold start in which it bears few calls at once and sheds the rest.
type simServer struct {
	centre  string
	workers int
	queue   int
	mean    time.Duration
	slowBy  float64 // of every call
	strag   float64 // odds of a call 20 times slower
	down    bool

	bears    int // calls at once while cold; 0 when warm
	full     int // successes at a full load since bears last doubled
	silent   bool
	inside   int // calls in the server
	busy     []time.Duration
	peakOver int // most calls above what it bore
	overload int // calls that came above what it bore
	calls    int
}

func newSim(seed uint64, hosts, centres int, opts Options, doc *document.Service, mean time.Duration) *sim {
	s := &sim{rnd: rand.New(rand.NewPCG(seed, 99)), doc: doc, servers: make(map[string]*simServer), missing: make(map[Reason]int)}
	s.hosts = routers(hosts, centres, opts, doc)
	for _, l := range doc.Leaves {
		for _, d := range l.Servers {
			s.servers[d.ID] = &simServer{centre: d.DataCentre, workers: 8, queue: 64, mean: mean, slowBy: 1}
		}
	}
	return s
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.serial++
	heap.Push(&s.events, event{s.now + d, s.serial, do})
}

// run sends queries at the rate for the span and waits for the last answer.
func (s *sim) run(rate float64, span time.Duration) {
	end := s.now + span
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		s.query(s.rnd.IntN(len(s.hosts)))
		s.after(time.Duration(s.rnd.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
}

// simCall is one leaf's part of a query.
type simCall struct {
	sim     *sim
	router  *Router
	pick    PickInfo
	done    bool
	tries   int
	running int
	finish  func()
}

func (s *sim) query(host int) {
	start := s.now
	left := len(s.doc.Leaves)
	for _, l := range s.doc.Leaves {
		s.wanted++
		c := &simCall{sim: s, router: s.hosts[host], pick: PickInfo{Service: s.doc.Name, Leaf: l.Name}}
		c.finish = func() {
			left--
			if left == 0 {
				s.latencies = append(s.latencies, s.now-start)
			}
		}
		c.try(false)
	}
}

func (c *simCall) try(hedge bool) {
	c.pick.Hedge = hedge
	srv, reason := c.router.Pick(c.sim.time(), c.pick)
	if srv == nil {
		c.fail(reason)
		return
	}
	c.router.Begin(c.sim.time(), srv)
	c.pick.Tried = append(slices.Clone(c.pick.Tried), srv)
	c.tries++
	c.running++
	c.sim.sent++
	sent := c.sim.now
	c.sim.serve(c.router, srv, func(res Result, saidCold bool) {
		c.running--
		if c.done {
			res = ResultCancelled
		}
		c.router.Done(c.sim.time(), srv, Observation{Result: res, Latency: c.sim.now - sent, Cold: saidCold})
		c.end(res)
	})
	if c.sim.hedgeAfter < 0 {
		return
	}
	delay := c.sim.hedgeAfter
	if delay == 0 {
		delay = c.router.HedgeDelay(c.pick.Service, c.pick.Leaf)
	}
	c.sim.after(delay, func() {
		if c.done || c.running != 1 || c.tries != 1 {
			return
		}
		if c.sim.hedgeAfter == 0 && !c.router.SpendHedge(c.sim.time(), c.pick.Service, c.pick.Leaf) {
			c.sim.denied++
			return
		}
		c.try(true)
	})
}

func (c *simCall) end(res Result) {
	switch {
	case c.done:
	case res == ResultOK:
		c.done = true
		c.sim.answered++
		c.finish()
	case c.running == 0 && c.tries < 3 && c.router.SpendRetry(c.sim.time(), c.pick.Service):
		c.try(false)
	default:
		c.fail("failed")
	}
}

func (c *simCall) fail(reason Reason) {
	if c.done || c.running > 0 {
		return
	}
	c.done = true
	c.sim.missing[reason]++
	c.finish()
}

// serve models one call to a server.
func (s *sim) serve(r *Router, srv *Server, reply func(Result, bool)) {
	m := s.servers[srv.ID]
	oneWay := 250 * time.Microsecond
	if m.centre != r.View().Self.DataCentre {
		oneWay = time.Millisecond
	}
	s.after(oneWay, func() {
		res, took, said := m.enter(s)
		s.after(took, func() {
			if res == ResultOK {
				m.leave()
			}
			s.after(oneWay, func() { reply(res, said) })
		})
	})
}

// enter takes a call in and returns how it will end and after how long.
func (m *simServer) enter(s *sim) (Result, time.Duration, bool) {
	m.calls++
	if m.down {
		return ResultNotSent, 0, false
	}
	said := m.bears > 0 && !m.silent
	if m.bears > 0 && m.inside >= m.bears {
		m.overload++
		m.peakOver = max(m.peakOver, m.inside+1-m.bears)
		return ResultShed, 0, said
	}
	if m.inside >= m.workers+m.queue {
		return ResultShed, 0, said
	}
	m.inside++
	work := time.Duration((0.5 + s.rnd.ExpFloat64()*0.5) * float64(m.mean) * m.slowBy)
	if s.rnd.Float64() < m.strag {
		work *= 20
	}
	return ResultOK, m.schedule(s.now, work), said
}

// schedule gives the work to the first free worker.
func (m *simServer) schedule(now, work time.Duration) time.Duration {
	if len(m.busy) < m.workers {
		m.busy = append(m.busy, 0)
	}
	i := 0
	for j := range m.busy {
		if m.busy[j] < m.busy[i] {
			i = j
		}
	}
	m.busy[i] = max(m.busy[i], now) + work
	return m.busy[i] - now
}

func (m *simServer) leave() {
	if m.bears > 0 && m.inside >= m.bears {
		m.full++
		if m.full >= document.DefaultWarmAfter {
			m.full = 0
			m.bears *= 2
		}
		if m.bears > 2*m.workers {
			m.bears = 0
		}
	}
	m.inside--
}

func (s *sim) quantile(q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(s.latencies))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(math.Ceil(q*float64(len(sorted))))-1, len(sorted)-1)]
}

func (s *sim) coverage() float64 { return float64(s.answered) / float64(s.wanted) }

func (s *sim) extra() float64 { return float64(s.sent)/float64(s.wanted) - 1 }

func (s *sim) String() string {
	return fmt.Sprintf("p50 %v p99 %v p99.9 %v coverage %.4f extra %.3f denied %d missing %v",
		s.quantile(.5).Round(100*time.Microsecond), s.quantile(.99).Round(100*time.Microsecond),
		s.quantile(.999).Round(100*time.Microsecond), s.coverage(), s.extra(), s.denied, s.missing)
}

// reset forgets what was measured so far.
func (s *sim) reset() {
	s.latencies, s.wanted, s.sent, s.answered, s.denied = nil, 0, 0, 0, 0
	s.missing = make(map[Reason]int)
}

// outs takes data centres out on all hosts.
func (s *sim) outs(centres ...string) {
	d := *s.doc
	d.Version++
	d.DataCentresOut = centres
	s.doc = &d
	for _, r := range s.hosts {
		r.Apply(s.time(), viewOf(r.View().Self, r.View().Hosts, s.doc))
	}
}
