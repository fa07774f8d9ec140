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

// sim runs Routers of several hosts against simulated backend servers in
// virtual time. Each query calls all leaves of one service.
type sim struct {
	rand     *rand.Rand
	now      time.Duration
	events   eventHeap
	sequence int
	doc      *document.Service
	hosts    []*Router
	servers  map[string]*simServer
	// hedgeAfter replaces the Router's hedge delay and budget; negative means no
	// hedges.
	hedgeAfter time.Duration

	latencies    []time.Duration
	leafCalls    int // leaf calls without retries and hedges
	sent         int // leaf calls made
	answered     int
	deniedHedges int // hedges without a token
	missing      map[Reason]int
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// simServer simulates a backend server: some workers, a bounded queue, and a
// cold start in which it accepts few concurrent calls and sheds the rest.
type simServer struct {
	centre        string
	workers       int
	queue         int
	mean          time.Duration
	slowdown      float64 // factor on every call
	stragglerOdds float64 // odds of a call 20 times slower
	down          bool

	coldLimit     int // concurrent calls while cold; 0 when warm
	fullSuccesses int // successes at full load since coldLimit last doubled
	hidesCold     bool
	inFlight      int // calls in the server
	busyUntil     []time.Duration
	peakExcess    int // most calls above coldLimit
	excessCalls   int // calls that arrived above coldLimit
	calls         int
}

func newSim(seed uint64, hosts, centres int, opts Options, doc *document.Service, mean time.Duration) *sim {
	s := &sim{rand: rand.New(rand.NewPCG(seed, 99)), doc: doc, servers: make(map[string]*simServer), missing: make(map[Reason]int)}
	s.hosts = routers(hosts, centres, opts, doc)
	for _, l := range doc.Leaves {
		for _, d := range l.Servers {
			s.servers[d.ID] = &simServer{centre: d.DataCentre, workers: 8, queue: 64, mean: mean, slowdown: 1}
		}
	}
	return s
}

func (s *sim) time() time.Time { return epoch.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	s.sequence++
	heap.Push(&s.events, event{s.now + d, s.sequence, do})
}

// run sends queries at the rate for the span and waits for the last answer.
func (s *sim) run(rate float64, span time.Duration) {
	end := s.now + span
	var next func()
	next = func() {
		if s.now >= end {
			return
		}
		s.query(s.rand.IntN(len(s.hosts)))
		s.after(time.Duration(s.rand.ExpFloat64()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

// simCall is one leaf's part of a query.
type simCall struct {
	sim      *sim
	router   *Router
	pick     PickInfo
	done     bool
	attempts int
	running  int
	finish   func()
}

func (s *sim) query(host int) {
	start := s.now
	left := len(s.doc.Leaves)
	for _, l := range s.doc.Leaves {
		s.leafCalls++
		c := &simCall{sim: s, router: s.hosts[host], pick: PickInfo{Service: s.doc.Name, Leaf: l.Name}}
		c.finish = func() {
			left--
			if left == 0 {
				s.latencies = append(s.latencies, s.now-start)
			}
		}
		c.attempt(false)
	}
}

func (c *simCall) attempt(hedge bool) {
	c.pick.Hedge = hedge
	srv, reason := c.router.Pick(c.sim.time(), c.pick)
	if srv == nil {
		c.fail(reason)
		return
	}
	c.router.Begin(c.sim.time(), srv)
	c.pick.Tried = append(slices.Clone(c.pick.Tried), srv)
	c.attempts++
	c.running++
	c.sim.sent++
	sent := c.sim.now
	c.sim.serve(c.router, srv, func(res Result, coldSignal bool) {
		c.running--
		if c.done {
			res = ResultCancelled
		}
		c.router.Done(c.sim.time(), srv, Observation{Result: res, Latency: c.sim.now - sent, Cold: coldSignal})
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
		if c.done || c.running != 1 || c.attempts != 1 {
			return
		}
		if c.sim.hedgeAfter == 0 && !c.router.SpendHedge(c.sim.time(), c.pick.Service, c.pick.Leaf) {
			c.sim.deniedHedges++
			return
		}
		c.attempt(true)
	})
}

func (c *simCall) end(res Result) {
	switch {
	case c.done:
	case res == ResultOK:
		c.done = true
		c.sim.answered++
		c.finish()
	case c.running == 0 && c.attempts < 3 && c.router.SpendRetry(c.sim.time(), c.pick.Service):
		c.attempt(false)
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

// serve simulates one call to a server.
func (s *sim) serve(r *Router, srv *Server, reply func(Result, bool)) {
	m := s.servers[srv.ID]
	oneWay := 250 * time.Microsecond
	if m.centre != r.View().Self.DataCentre {
		oneWay = time.Millisecond
	}
	s.after(oneWay, func() {
		res, took, coldSignal := m.enter(s)
		s.after(took, func() {
			if res == ResultOK {
				m.leave()
			}
			s.after(oneWay, func() { reply(res, coldSignal) })
		})
	})
}

// enter accepts or refuses a call and returns its result and duration.
func (m *simServer) enter(s *sim) (Result, time.Duration, bool) {
	m.calls++
	if m.down {
		return ResultNotSent, 0, false
	}
	coldSignal := m.coldLimit > 0 && !m.hidesCold
	if m.coldLimit > 0 && m.inFlight >= m.coldLimit {
		m.excessCalls++
		m.peakExcess = max(m.peakExcess, m.inFlight+1-m.coldLimit)
		return ResultShed, 0, coldSignal
	}
	if m.inFlight >= m.workers+m.queue {
		return ResultShed, 0, coldSignal
	}
	m.inFlight++
	work := time.Duration((0.5 + s.rand.ExpFloat64()*0.5) * float64(m.mean) * m.slowdown)
	if s.rand.Float64() < m.stragglerOdds {
		work *= 20
	}
	return ResultOK, m.schedule(s.now, work), coldSignal
}

// schedule assigns the work to the first free worker and returns how long it
// takes until the work is done.
func (m *simServer) schedule(now, work time.Duration) time.Duration {
	if len(m.busyUntil) < m.workers {
		m.busyUntil = append(m.busyUntil, 0)
	}
	i := 0
	for j := range m.busyUntil {
		if m.busyUntil[j] < m.busyUntil[i] {
			i = j
		}
	}
	m.busyUntil[i] = max(m.busyUntil[i], now) + work
	return m.busyUntil[i] - now
}

func (m *simServer) leave() {
	if m.coldLimit > 0 && m.inFlight >= m.coldLimit {
		m.fullSuccesses++
		if m.fullSuccesses >= document.DefaultWarmAfter {
			m.fullSuccesses = 0
			m.coldLimit *= 2
		}
		if m.coldLimit > 2*m.workers {
			m.coldLimit = 0
		}
	}
	m.inFlight--
}

func (s *sim) quantile(q float64) time.Duration {
	sorted := slices.Sorted(slices.Values(s.latencies))
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(math.Ceil(q*float64(len(sorted))))-1, len(sorted)-1)]
}

func (s *sim) coverage() float64 { return float64(s.answered) / float64(s.leafCalls) }

func (s *sim) extraLoad() float64 { return float64(s.sent)/float64(s.leafCalls) - 1 }

func (s *sim) String() string {
	return fmt.Sprintf("p50 %v p99 %v p99.9 %v coverage %.4f extra %.3f denied %d missing %v",
		s.quantile(.5).Round(100*time.Microsecond), s.quantile(.99).Round(100*time.Microsecond),
		s.quantile(.999).Round(100*time.Microsecond), s.coverage(), s.extraLoad(), s.deniedHedges, s.missing)
}

// reset clears the measurements.
func (s *sim) reset() {
	s.latencies, s.leafCalls, s.sent, s.answered, s.deniedHedges = nil, 0, 0, 0, 0
	s.missing = make(map[Reason]int)
}

// setDataCentresOut takes the given data centres out on all hosts.
func (s *sim) setDataCentresOut(centres ...string) {
	d := *s.doc
	d.Version++
	d.DataCentresOut = centres
	s.doc = &d
	for _, r := range s.hosts {
		r.Apply(s.time(), viewOf(r.View().Self, r.View().Hosts, s.doc))
	}
}
