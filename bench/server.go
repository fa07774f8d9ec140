package bench

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/figmast/figmast/leafcall"
)

// How a stand-in backend server works.
const (
	workers       = 2
	serviceTime   = 20 * time.Millisecond
	serviceSpread = 0.35 // sigma of the logarithm
	longestQueue  = 16   // beyond it a server sheds
	stragglerRate = 0.01
	stragglerSlow = 20
	coldSlow      = 1.5
	collapsedSlow = 10 // a cold server above its allowance
	fallOver      = 3  // times its allowance
	warmAt        = 32 // an allowance as good as warm
	restart       = time.Second
	poisonWork    = 5 * time.Millisecond
)

// poison is the payload of the query that crashes backend servers.
var poison = []byte(`"crash"`)

// server is a stand-in for one backend server.
type server struct {
	world      *world
	id, leaf   string
	zone       string
	snapshots  map[string][]byte // the answer from each snapshot held
	queue      []*call
	running    []*call
	down       bool
	cold       bool
	turned     time.Duration // when it last turned cold
	allowance  int
	successes  int
	out        time.Duration // new work is counted as wrong from then on
	generation int
}

// body is what a leaf answers from a snapshot.
func body(leaf, snapshot string) []byte { return fmt.Appendf(nil, "%q", leaf+"/"+snapshot) }

func (s *server) load(snapshot string) { s.snapshots[snapshot] = body(s.leaf, snapshot) }

// call is one leaf call on its way.
type call struct {
	send    leafcall.Send
	host    *host
	pool    *pool
	server  *server
	way     time.Duration // one way from the host to the server
	arrived time.Duration
	body    []byte
	held    bool // it has a connection
	closed  bool // the host has its result
}

func (s *server) arrive(c *call) {
	w := s.world
	w.count(c)
	switch {
	case s.down:
		s.reply(c, leafcall.Result{Status: leafcall.NotSent})
	case !c.send.Command && s.snapshots[c.send.Snapshot] == nil:
		s.reply(c, leafcall.Result{Status: leafcall.SnapshotGone, Sent: true})
	case len(s.queue) >= longestQueue:
		s.reply(c, leafcall.Result{Status: leafcall.Shed, Sent: true, RetryAfter: serviceTime})
	default:
		c.arrived, c.body = w.now, s.snapshots[c.send.Snapshot]
		if r := w.open[c.send.RequestID]; r != nil {
			r.ran = true
		}
		s.queue = append(s.queue, c)
		s.checkCold()
		s.next()
	}
}

// checkCold records the work that a cold server got since it turned cold.
func (s *server) checkCold() {
	if !s.cold {
		return
	}
	since := 0
	for _, c := range slices.Concat(s.queue, s.running) {
		if c.arrived > s.turned {
			since++
		}
	}
	s.world.result.ColdExcess = max(s.world.result.ColdExcess, since-s.allowance)
	if since > fallOver*s.allowance {
		s.crash()
	}
}

func (s *server) next() {
	for len(s.running) < workers && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, c)
		if c.send.Command {
			s.world.executed(c)
		}
		s.world.after(s.workTime(c), func() { s.complete(c) })
	}
}

func (s *server) workTime(c *call) time.Duration {
	if bytes.Equal(c.send.Payload, poison) {
		return poisonWork
	}
	w := s.world
	t := float64(serviceTime) * math.Exp(serviceSpread*w.rnd.NormFloat64()-serviceSpread*serviceSpread/2)
	if w.stragglers && w.rnd.Float64() < stragglerRate {
		t *= stragglerSlow
	}
	if s.cold {
		t *= s.coldFactor()
	}
	return time.Duration(t)
}

func (s *server) coldFactor() float64 {
	if len(s.queue)+len(s.running) <= s.allowance {
		return coldSlow
	}
	s.successes = 0
	return collapsedSlow
}

func (s *server) complete(c *call) {
	if !s.drop(c) {
		return
	}
	if bytes.Equal(c.send.Payload, poison) {
		s.crash()
		s.reply(c, leafcall.Result{Status: leafcall.Broken, Sent: true})
		return
	}
	if s.cold {
		s.warm()
	}
	s.reply(c, leafcall.Result{
		Status: leafcall.OK, Sent: true, Snapshot: c.send.Snapshot,
		Body: c.body, Cold: s.saysCold(),
	})
	s.next()
}

// saysCold lies in both directions where the load endpoints lie.
func (s *server) saysCold() bool {
	if s.world.lying {
		return !s.cold && s.zone == zone(1)
	}
	return s.cold && !s.world.silent
}

func (s *server) warm() {
	if s.successes++; s.successes < warmAfter {
		return
	}
	s.successes = 0
	if s.allowance *= 2; s.allowance >= warmAt {
		s.cold = false
	}
}

func (s *server) turnCold() {
	s.cold, s.turned, s.allowance, s.successes = true, s.world.now, coldAllowance, 0
}

// drop takes the call off the server and reports whether it was there.
func (s *server) drop(c *call) bool {
	running, queued := len(s.running), len(s.queue)
	same := func(x *call) bool { return x == c }
	s.running = slices.DeleteFunc(s.running, same)
	s.queue = slices.DeleteFunc(s.queue, same)
	return len(s.running) < running || len(s.queue) < queued
}

// crash breaks all calls; the server comes back cold.
func (s *server) crash() {
	s.world.result.Crashes++
	s.stop()
	generation := s.generation
	s.world.after(restart, func() {
		if s.generation == generation {
			s.start()
		}
	})
}

func (s *server) stop() {
	lost := slices.Concat(s.running, s.queue)
	s.running, s.queue, s.down = nil, nil, true
	s.generation++
	for _, c := range lost {
		s.reply(c, leafcall.Result{Status: leafcall.Broken, Sent: true})
	}
}

func (s *server) start() {
	s.generation++
	s.down = false
	s.turnCold()
}

// reply brings the result back to the host.
func (s *server) reply(c *call, res leafcall.Result) {
	s.world.after(c.way, func() { c.host.result(c, res) })
}
