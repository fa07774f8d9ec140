package bench

import (
	"bytes"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/figmast/figmast/leafcall"
)

// Parameters of a simulated backend server.
const (
	workers           = 2
	serviceTime       = 20 * time.Millisecond
	serviceSpread     = 0.35 // standard deviation of the logarithm of the service time
	maxQueue          = 16   // a server sheds calls beyond this
	stragglerRate     = 0.01
	stragglerSlowdown = 20
	coldSlowdown      = 1.5
	collapsedSlowdown = 10 // of a cold server above its allowance
	crashAtMultiple   = 3  // a cold server crashes above this multiple of its allowance
	warmAllowance     = 32 // a server is warm once its allowance reaches this
	restartDelay      = time.Second
	poisonWorkTime    = 5 * time.Millisecond
)

// poisonPayload is the payload of the query that crashes backend servers.
var poisonPayload = []byte(`"crash"`)

// server simulates one backend server.
type server struct {
	world      *world
	id, leaf   string
	dataCentre string
	snapshots  map[string][]byte // the answer for each loaded snapshot
	queue      []*call
	running    []*call
	down       bool
	cold       bool
	coldSince  time.Duration // when the server last turned cold
	allowance  int
	successes  int
	noWorkFrom time.Duration // calls from then on count as late; 0 if none do
	generation int
}

// leafAnswer returns the answer of a leaf for a snapshot.
func leafAnswer(leaf, snapshot string) []byte { return fmt.Appendf(nil, "%q", leaf+"/"+snapshot) }

func (s *server) loadSnapshot(snapshot string) { s.snapshots[snapshot] = leafAnswer(s.leaf, snapshot) }

// call is one leaf call in progress.
type call struct {
	send          leafcall.Send
	host          *host
	pool          *pool
	server        *server
	oneWay        time.Duration // latency from the host to the server
	arrived       time.Duration
	body          []byte
	hasConnection bool // it uses a connection of the pool
	finished      bool // the host has its result
}

func (s *server) receive(c *call) {
	w := s.world
	w.recordArrival(c)
	switch {
	case s.down:
		s.reply(c, leafcall.Result{Status: leafcall.NotSent})
	case !c.send.Command && s.snapshots[c.send.Snapshot] == nil:
		s.reply(c, leafcall.Result{Status: leafcall.SnapshotGone, Sent: true})
	case len(s.queue) >= maxQueue:
		s.reply(c, leafcall.Result{Status: leafcall.Shed, Sent: true, RetryAfter: serviceTime})
	default:
		c.arrived, c.body = w.now, s.snapshots[c.send.Snapshot]
		if r := w.openQueries[c.send.RequestID]; r != nil {
			r.accepted = true
		}
		s.queue = append(s.queue, c)
		s.checkColdLoad()
		s.startNext()
	}
}

// checkColdLoad records how far the calls accepted since the server turned cold
// exceed its allowance. Too many crash the server.
func (s *server) checkColdLoad() {
	if !s.cold {
		return
	}
	newWork := 0
	for _, c := range slices.Concat(s.queue, s.running) {
		if c.arrived > s.coldSince {
			newWork++
		}
	}
	s.world.result.ColdExcess = max(s.world.result.ColdExcess, newWork-s.allowance)
	if newWork > crashAtMultiple*s.allowance {
		s.crash()
	}
}

func (s *server) startNext() {
	for len(s.running) < workers && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		s.running = append(s.running, c)
		if c.send.Command {
			s.world.recordExecution(c)
		}
		s.world.after(s.workTime(c), func() { s.complete(c) })
	}
}

func (s *server) workTime(c *call) time.Duration {
	if bytes.Equal(c.send.Payload, poisonPayload) {
		return poisonWorkTime
	}
	w := s.world
	t := float64(serviceTime) * math.Exp(serviceSpread*w.rnd.NormFloat64()-serviceSpread*serviceSpread/2)
	if w.hasStragglers && w.rnd.Float64() < stragglerRate {
		t *= stragglerSlowdown
	}
	if s.cold {
		t *= s.coldFactor()
	}
	return time.Duration(t)
}

func (s *server) coldFactor() float64 {
	if len(s.queue)+len(s.running) <= s.allowance {
		return coldSlowdown
	}
	s.successes = 0
	return collapsedSlowdown
}

func (s *server) complete(c *call) {
	if !s.remove(c) {
		return
	}
	if bytes.Equal(c.send.Payload, poisonPayload) {
		s.crash()
		s.reply(c, leafcall.Result{Status: leafcall.Broken, Sent: true})
		return
	}
	if s.cold {
		s.recordColdSuccess()
	}
	s.reply(c, leafcall.Result{
		Status: leafcall.OK, Sent: true, Snapshot: c.send.Snapshot,
		Body: c.body, Cold: s.reportsCold(),
	})
	s.startNext()
}

// reportsCold returns the cold flag that the server sends with its answers. With
// false load reports, cold servers deny it and warm ones in data centre 1 claim it.
func (s *server) reportsCold() bool {
	if s.world.misreportsCold {
		return !s.cold && s.dataCentre == dataCentreName(1)
	}
	return s.cold && !s.world.hidesCold
}

func (s *server) recordColdSuccess() {
	if s.successes++; s.successes < warmAfter {
		return
	}
	s.successes = 0
	if s.allowance *= 2; s.allowance >= warmAllowance {
		s.cold = false
	}
}

func (s *server) turnCold() {
	s.cold, s.coldSince, s.allowance, s.successes = true, s.world.now, coldAllowance, 0
}

// remove removes the call from the server and reports whether it was there.
func (s *server) remove(c *call) bool {
	running, queued := len(s.running), len(s.queue)
	same := func(x *call) bool { return x == c }
	s.running = slices.DeleteFunc(s.running, same)
	s.queue = slices.DeleteFunc(s.queue, same)
	return len(s.running) < running || len(s.queue) < queued
}

// crash breaks all calls and restarts the server cold after restartDelay, unless
// it was stopped or started in the meantime.
func (s *server) crash() {
	s.world.result.Crashes++
	s.stop()
	generation := s.generation
	s.world.after(restartDelay, func() {
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

// reply delivers the result to the host after the network latency.
func (s *server) reply(c *call, res leafcall.Result) {
	s.world.after(c.oneWay, func() { c.host.handleResult(c, res) })
}
