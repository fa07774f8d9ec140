package forward

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// simServer is a backend server in virtual time. Its faults are functions of
// the time, so that servers can flap.
type simServer struct {
	route.Server
	// slow is the factor by which a request takes longer than usual.
	slow func(at time.Duration) float64
	// faultShare is the share of requests that meet the fault.
	faultShare func(at time.Duration) float64
	fault      simFault
}

// simFault is what happens to a request that meets a server's fault.
type simFault int

const (
	// The server does not answer (faultHang), closes the connection
	// (faultBreak), sheds the request (faultShed), cannot be reached
	// (faultUnreachable), or answers 500 (faultError).
	faultHang simFault = iota
	faultBreak
	faultShed
	faultUnreachable
	faultError
)

func constant(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

// sim sends requests to simulated servers.
type sim struct {
	*harness
	t0      time.Time
	random  *rand.Rand
	servers map[string]*simServer
	events  simEvents
	calls   map[CallID]bool
	started map[RunID]time.Time
	ended   map[RunID]time.Time
	// objective is the time within which an answer counts.
	objective time.Duration
}

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

// simEvents is a queue of events in order of time, then of insertion.
type simEvents struct {
	list  simOrder
	added int
}

func (e *simEvents) add(at time.Time, do func()) {
	e.added++
	heap.Push(&e.list, simEvent{at, e.added, do})
}

func (e *simEvents) next() simEvent { return heap.Pop(&e.list).(simEvent) }

// simOrder implements heap.Interface.
type simOrder []simEvent

func (o simOrder) Len() int { return len(o) }
func (o simOrder) Less(i, j int) bool {
	if o[i].at.Equal(o[j].at) {
		return o[i].order < o[j].order
	}
	return o[i].at.Before(o[j].at)
}
func (o simOrder) Swap(i, j int) { o[i], o[j] = o[j], o[i] }
func (o *simOrder) Push(x any)   { *o = append(*o, x.(simEvent)) }
func (o *simOrder) Pop() any {
	x := (*o)[len(*o)-1]
	*o = (*o)[:len(*o)-1]
	return x
}

const (
	simServiceTime = 20 * time.Millisecond
	// simRate is the number of this host's requests per second.
	simRate = 20
	// simSlack is the fixed part of the retry budget over all hosts. This
	// host's share is a sixth: six calls in ten seconds.
	simSlack = 36
	// simDuration is how long requests are sent, of which simWarmUp is without
	// faults.
	simDuration = 12 * time.Second
	simWarmUp   = 3 * time.Second
	// simDetection is allowed for detecting the faults.
	simDetection = 250 * time.Millisecond
)

func newSim(t *testing.T, shards int) *sim {
	_, names := gatherRoute(shards, 1)
	w := newHarness(t, append(names, "s")...)
	random := rand.New(rand.NewPCG(7, 8))
	w.balancer = policy.NewBalancer(w.now, policy.BalancerOptions{
		Address: "10.1.0.1", DataCentre: "a", Rand: random, RetryRatio: 0.2, RetrySlack: simSlack, RetryWindow: 10 * time.Second,
	})
	w.engine = NewEngine(Options{Balancer: w.balancer, Rand: random, CPUCapacity: 1})
	s := &sim{
		harness: w, t0: w.now, random: random, servers: make(map[string]*simServer), calls: make(map[CallID]bool),
		started: make(map[RunID]time.Time), ended: make(map[RunID]time.Time),
	}
	for _, name := range append(names, "s") {
		for i, dc := range []string{"a", "b", "c"} {
			s.addServer(route.Server{ID: name + "-" + dc, Service: name, Address: fmt.Sprintf("10.%d.0.1:80", i), DataCentre: dc, Slots: 6})
		}
	}
	return s
}

func (s *sim) addServer(v route.Server) *simServer {
	x := &simServer{Server: v, slow: constant(1), faultShare: constant(0)}
	s.servers[v.ID] = x
	return x
}

func (s *sim) publish() {
	topology := &route.Topology{Config: &route.Config{Services: map[string]route.Service{}}, Evacuated: map[string]time.Time{}}
	for _, x := range s.servers {
		topology.Config.Services[x.Service] = route.Service{Name: x.Service, MaxConnections: 60}
		topology.Servers = append(topology.Servers, x.Server)
	}
	s.balancer.Apply(s.now, topology)
	s.apply(s.engine.ServersChanged(s.now))
}

func (s *sim) at(d time.Duration, do func()) { s.events.add(s.t0.Add(d), do) }

// runActions carries out the actions that the engine has requested.
func (s *sim) runActions() {
	for len(s.sends)+len(s.cancels) > 0 {
		sends, cancels := s.sends, s.cancels
		s.sends, s.cancels = nil, nil
		for _, c := range cancels {
			s.at(s.now.Sub(s.t0)+c.After, func() { s.endCall(c.Call, Reply{Outcome: Cancelled}) })
		}
		for _, x := range sends {
			s.startCall(x)
		}
	}
	for id := range s.finished {
		if _, ok := s.ended[id]; !ok {
			s.ended[id] = s.now
		}
	}
}

func (s *sim) startCall(x Send) {
	now := s.now.Sub(s.t0)
	v := s.servers[x.Target.ID]
	s.calls[x.Call] = true
	took := time.Duration(float64(simServiceTime) * v.slow(now) * (0.7 + 0.6*s.random.Float64()))
	r := ok("x")
	if s.random.Float64() < v.faultShare(now) {
		switch v.fault {
		case faultHang:
			took, r = x.Deadline.Sub(s.now), Reply{Outcome: TimedOut}
		case faultBreak:
			r = Reply{Outcome: Broken}
		case faultShed:
			took, r = time.Millisecond, Reply{Outcome: NotRun}
		case faultUnreachable:
			took, r = time.Millisecond, Reply{Outcome: NotSent}
		case faultError:
			r = Reply{Outcome: Answered, Status: http.StatusInternalServerError}
		}
	}
	s.at(now+took, func() { s.endCall(x.Call, r) })
}

func (s *sim) endCall(id CallID, r Reply) {
	if s.calls[id] {
		delete(s.calls, id)
		s.apply(s.engine.HandleReply(s.now, id, r))
	}
}

// play sends requests and returns the share of those sent after the warm-up
// that were answered completely within the objective.
func (s *sim) play(rt *route.Route) float64 {
	s.publish()
	s.objective = rt.Objective
	for d := time.Duration(0); d < simDuration; d += time.Second / simRate {
		s.at(d, func() { s.started[s.start(rt)] = s.now })
	}
	for len(s.events.list) > 0 {
		next := s.events.list[0].at
		if due, ok := s.engine.NextTick(); ok && due.Before(next) {
			if due.After(s.now) {
				s.now = due
			}
			s.apply(s.engine.Tick(s.now))
			s.runActions()
			continue
		}
		e := s.events.next()
		if e.at.After(s.now) {
			s.now = e.at
		}
		e.do()
		s.runActions()
	}
	counted, served := 0, 0
	for id, at := range s.started {
		f, done := s.finished[id]
		if !done {
			s.t.Errorf("request %d has no final answer", id)
		}
		if at.Sub(s.t0) < simWarmUp+simDetection {
			continue
		}
		counted++
		whole := f.Verdict == PassThrough && f.Answer == "whole" || f.Verdict == Merged
		if whole && s.ended[id].Sub(at) <= s.objective {
			served++
		}
	}
	return float64(served) / float64(counted)
}

// afterWarmUp returns a function that is v from the end of the warm-up on.
func afterWarmUp(v, before float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < simWarmUp {
			return before
		}
		return v
	}
}

// TestServerFaults applies one kind of fault at a time to requests with one
// part and with twelve. The stated target: if each service has a working
// server, at most one request of a hundred is late or lost, after a quarter of
// a second that is allowed for detection.
func TestServerFaults(t *testing.T) {
	const least = 0.99
	flapping := func(at time.Duration) float64 {
		if at < simWarmUp || (at/(700*time.Millisecond))%2 == 0 {
			return 0
		}
		return 1
	}
	// someServers applies do to one server each of a third of the services.
	someServers := func(s *sim, do func(*simServer)) {
		for i, name := range []string{"s", "s0", "s3", "s6", "s9"} {
			if x := s.servers[name+[]string{"-a", "-b", "-c"}[i%3]]; x != nil {
				do(x)
			}
		}
	}
	localServers := func(s *sim, do func(*simServer)) {
		for _, x := range s.servers {
			if x.DataCentre == "a" {
				do(x)
			}
		}
	}
	for _, c := range []struct {
		name   string
		inject func(s *sim)
	}{
		{"calm", func(*sim) {}},
		{"some hang", func(s *sim) { someServers(s, func(x *simServer) { x.faultShare = afterWarmUp(1, 0) }) }},
		{"all of the data centre hang", func(s *sim) { localServers(s, func(x *simServer) { x.faultShare = afterWarmUp(1, 0) }) }},
		{"all of the data centre hang with half of the requests", func(s *sim) { localServers(s, func(x *simServer) { x.faultShare = afterWarmUp(0.5, 0) }) }},
		{"some are eight times slower", func(s *sim) { someServers(s, func(x *simServer) { x.slow = afterWarmUp(8, 1) }) }},
		{"some flap", func(s *sim) {
			someServers(s, func(x *simServer) { x.faultShare, x.fault = flapping, faultUnreachable })
		}},
		{"all of the data centre flap", func(s *sim) {
			localServers(s, func(x *simServer) { x.faultShare, x.fault = flapping, faultUnreachable })
		}},
		{"all of the data centre fail, health good", func(s *sim) {
			localServers(s, func(x *simServer) { x.faultShare, x.fault = afterWarmUp(0.45, 0), faultError })
		}},
		{"all of the data centre shed", func(s *sim) {
			localServers(s, func(x *simServer) { x.faultShare, x.fault = afterWarmUp(0.6, 0), faultShed })
		}},
		{"idle connections are closed early", func(s *sim) {
			for _, x := range s.servers {
				x.faultShare, x.fault = afterWarmUp(0.05, 0), faultBreak
			}
		}},
		{"servers are released one by one", func(s *sim) { replaceServers(s) }},
		{"many servers are added", func(s *sim) {
			s.at(simWarmUp, func() {
				for i := range 100 {
					s.addServer(route.Server{ID: fmt.Sprintf("new-%d", i), Service: fmt.Sprintf("new-%d", i%10), Address: fmt.Sprintf("10.9.%d.1:80", i), DataCentre: "b", Slots: 6})
				}
				s.publish()
			})
		}},
	} {
		for name, rt := range map[string]*route.Route{"one part": simSingle(), "twelve parts": simGather()} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				s := newSim(t, 12)
				c.inject(s)
				if got := s.play(rt); got < least {
					t.Errorf("%.3f of the requests answered in time, want at least %.2f", got, least)
				}
			})
		}
	}
}

func simSingle() *route.Route {
	rt := singleRoute(true)
	rt.Objective = 200 * time.Millisecond
	return rt
}

func simGather() *route.Route {
	rt, _ := gatherRoute(12, 0.9)
	return rt
}

// replaceServers replaces the servers one after the other.
func replaceServers(s *sim) {
	i := 0
	for _, service := range append(simGather().Gather, "s") {
		for _, dc := range []string{"a", "b", "c"} {
			old := s.servers[service+"-"+dc]
			at := simWarmUp + time.Duration(i)*200*time.Millisecond
			i++
			s.at(at, func() {
				v := old.Server
				v.ID += "-next"
				v.Address = "10.8" + v.Address[4:]
				s.addServer(v)
				old.Draining = true
				s.publish()
			})
			s.at(at+time.Second, func() {
				// Calls that still go to the old server cannot reach it.
				old.faultShare, old.fault = constant(1), faultUnreachable
			})
		}
	}
}
