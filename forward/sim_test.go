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

// simServer is a backend server in virtual time. Each trouble is a function of
// the time, so that servers can flap.
type simServer struct {
	route.Server
	// slow is how many times longer than usual a request takes.
	slow func(at time.Duration) float64
	// share of the requests that meet the trouble in how.
	share func(at time.Duration) float64
	how   simTrouble
}

// simTrouble is what becomes of a request that meets a server's trouble.
type simTrouble int

const (
	// hangs requests get no answer, broken ones a closed connection, shed ones
	// the server's word that they have not run, unreachable ones never leave
	// the host, failing ones a 500.
	hangs simTrouble = iota
	breaks
	sheds
	unreachable
	fails
)

func always(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

// sim plays requests against simulated servers.
type sim struct {
	*world
	t0      time.Time
	random  *rand.Rand
	servers map[string]*simServer
	events  simEvents
	calls   map[CallID]bool
	started map[RunID]time.Time
	ended   map[RunID]time.Time
	// objective is within which answers count.
	objective time.Duration
}

type simEvent struct {
	at    time.Time
	order int
	do    func()
}

// simEvents are done in the order of their times, and of being added.
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

func (e simOrder) Len() int { return len(e) }
func (e simOrder) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e simOrder) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simOrder) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simOrder) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

const (
	simWork = 20 * time.Millisecond
	// simRate is the requests of this host in a second.
	simRate = 20
	// simSlack is the number of the retry budget, of which this host has a
	// sixth: six calls in ten seconds.
	simSlack = 36
	// simFor is how long requests are sent, the first simCalm without trouble.
	simFor  = 12 * time.Second
	simCalm = 3 * time.Second
	// simFind is allowed for finding out that servers are in trouble.
	simFind = 250 * time.Millisecond
)

func newSim(t *testing.T, shards int) *sim {
	_, names := gatherRoute(shards, 1)
	w := newWorld(t, append(names, "s")...)
	random := rand.New(rand.NewPCG(7, 8))
	w.balancer = policy.NewBalancer(w.now, policy.BalancerOptions{
		Address: "10.1.0.1", DataCentre: "a", Rand: random, RetryRatio: 0.2, RetrySlack: simSlack, RetryWindow: 10 * time.Second,
	})
	w.engine = NewEngine(Options{Balancer: w.balancer, Rand: random, CPUCores: 1})
	s := &sim{
		world: w, t0: w.now, random: random, servers: make(map[string]*simServer), calls: make(map[CallID]bool),
		started: make(map[RunID]time.Time), ended: make(map[RunID]time.Time),
	}
	for _, name := range append(names, "s") {
		for i, dc := range []string{"a", "b", "c"} {
			s.add(route.Server{ID: name + "-" + dc, Service: name, Address: fmt.Sprintf("10.%d.0.1:80", i), DataCentre: dc, Slots: 6})
		}
	}
	return s
}

func (s *sim) add(v route.Server) *simServer {
	x := &simServer{Server: v, slow: always(1), share: always(0)}
	s.servers[v.ID] = x
	return x
}

func (s *sim) publish() {
	p := &route.Topology{Config: &route.Config{Services: map[string]route.Service{}}, Evacuated: map[string]time.Time{}}
	for _, x := range s.servers {
		p.Config.Services[x.Service] = route.Service{Name: x.Service, MaxConnections: 60}
		p.Servers = append(p.Servers, x.Server)
	}
	s.balancer.ApplyPicture(s.now, p)
	s.take(s.engine.ServersChanged(s.now))
}

func (s *sim) at(d time.Duration, do func()) { s.events.add(s.t0.Add(d), do) }

// work carries out what the engine has asked for.
func (s *sim) work() {
	for len(s.sends)+len(s.cancels) > 0 {
		sends, cancels := s.sends, s.cancels
		s.sends, s.cancels = nil, nil
		for _, c := range cancels {
			s.at(s.now.Sub(s.t0)+c.After, func() { s.end(c.Call, Reply{Outcome: Cancelled}) })
		}
		for _, x := range sends {
			s.serve(x)
		}
	}
	for id := range s.finished {
		if _, ok := s.ended[id]; !ok {
			s.ended[id] = s.now
		}
	}
}

func (s *sim) serve(x Send) {
	now := s.now.Sub(s.t0)
	v := s.servers[x.Target.ID]
	s.calls[x.Call] = true
	took := time.Duration(float64(simWork) * v.slow(now) * (0.7 + 0.6*s.random.Float64()))
	r := ok("x")
	if s.random.Float64() < v.share(now) {
		switch v.how {
		case hangs:
			took, r = x.Deadline.Sub(s.now), Reply{Outcome: TimedOut}
		case breaks:
			r = Reply{Outcome: Broken}
		case sheds:
			took, r = time.Millisecond, Reply{Outcome: NotRun}
		case unreachable:
			took, r = time.Millisecond, Reply{Outcome: NotSent}
		case fails:
			r = Reply{Outcome: Answered, Status: http.StatusInternalServerError}
		}
	}
	s.at(now+took, func() { s.end(x.Call, r) })
}

func (s *sim) end(id CallID, r Reply) {
	if s.calls[id] {
		delete(s.calls, id)
		s.take(s.engine.HandleReply(s.now, id, r))
	}
}

// play sends requests and returns the share of those sent after the calm time
// that were answered whole within the objective.
func (s *sim) play(rt *route.Route) float64 {
	s.publish()
	s.objective = rt.Objective
	for d := time.Duration(0); d < simFor; d += time.Second / simRate {
		s.at(d, func() { s.started[s.start(rt)] = s.now })
	}
	for len(s.events.list) > 0 {
		next := s.events.list[0].at
		if due, ok := s.engine.NextTick(); ok && due.Before(next) {
			if due.After(s.now) {
				s.now = due
			}
			s.take(s.engine.Tick(s.now))
			s.work()
			continue
		}
		e := s.events.next()
		if e.at.After(s.now) {
			s.now = e.at
		}
		e.do()
		s.work()
	}
	asked, served := 0, 0
	for id, at := range s.started {
		f, done := s.finished[id]
		if !done {
			s.t.Errorf("request %d has no final answer", id)
		}
		if at.Sub(s.t0) < simCalm+simFind {
			continue
		}
		asked++
		whole := f.Verdict == PassThrough && f.Answer == "whole" || f.Verdict == Merged
		if whole && s.ended[id].Sub(at) <= s.objective {
			served++
		}
	}
	return float64(served) / float64(asked)
}

// during returns v from the end of the calm time on, and none before.
func during(v, none float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < simCalm {
			return none
		}
		return v
	}
}

// TestServersInTrouble plays one kind of trouble at a time against requests of
// one part and of twelve, and asks for the share that is answered in time.
// The stated target: where each service has a server that works, at most one
// of a hundred is late or lost, after a fourth of a second that is allowed for
// finding out.
func TestServersInTrouble(t *testing.T) {
	const least = 0.99
	flap := func(at time.Duration) float64 {
		if at < simCalm || (at/(700*time.Millisecond))%2 == 0 {
			return 0
		}
		return 1
	}
	// some are one server each of a third of the services.
	some := func(s *sim, do func(*simServer)) {
		for i, name := range []string{"s", "s0", "s3", "s6", "s9"} {
			if x := s.servers[name+[]string{"-a", "-b", "-c"}[i%3]]; x != nil {
				do(x)
			}
		}
	}
	local := func(s *sim, do func(*simServer)) {
		for _, x := range s.servers {
			if x.DataCentre == "a" {
				do(x)
			}
		}
	}
	for _, c := range []struct {
		name    string
		trouble func(s *sim)
	}{
		{"calm", func(*sim) {}},
		{"some hang", func(s *sim) { some(s, func(x *simServer) { x.share = during(1, 0) }) }},
		{"all of the data centre hang", func(s *sim) { local(s, func(x *simServer) { x.share = during(1, 0) }) }},
		{"all of the data centre hang with half of the requests", func(s *sim) { local(s, func(x *simServer) { x.share = during(0.5, 0) }) }},
		{"some are eight times slower", func(s *sim) { some(s, func(x *simServer) { x.slow = during(8, 1) }) }},
		{"some flap", func(s *sim) { some(s, func(x *simServer) { x.share, x.how = flap, unreachable }) }},
		{"all of the data centre flap", func(s *sim) { local(s, func(x *simServer) { x.share, x.how = flap, unreachable }) }},
		{"all of the data centre fail, health good", func(s *sim) { local(s, func(x *simServer) { x.share, x.how = during(0.45, 0), fails }) }},
		{"all of the data centre shed", func(s *sim) { local(s, func(x *simServer) { x.share, x.how = during(0.6, 0), sheds }) }},
		{"idle connections are closed early", func(s *sim) {
			for _, x := range s.servers {
				x.share, x.how = during(0.05, 0), breaks
			}
		}},
		{"servers are released one by one", func(s *sim) { release(s) }},
		{"many servers are added", func(s *sim) {
			s.at(simCalm, func() {
				for i := range 100 {
					s.add(route.Server{ID: fmt.Sprintf("new-%d", i), Service: fmt.Sprintf("new-%d", i%10), Address: fmt.Sprintf("10.9.%d.1:80", i), DataCentre: "b", Slots: 6})
				}
				s.publish()
			})
		}},
	} {
		for name, rt := range map[string]*route.Route{"one part": simSingle(), "twelve parts": simGather()} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				s := newSim(t, 12)
				c.trouble(s)
				if got := s.play(rt); got < least {
					t.Errorf("%.3f answered in time, less than %.2f", got, least)
				}
			})
		}
	}
}

func simSingle() *route.Route {
	rt := single(true)
	rt.Objective = 200 * time.Millisecond
	return rt
}

func simGather() *route.Route {
	rt, _ := gatherRoute(12, 0.9)
	return rt
}

// release has one server after the other leave, with another in its place.
func release(s *sim) {
	i := 0
	for _, service := range append(simGather().Gather, "s") {
		for _, dc := range []string{"a", "b", "c"} {
			old := s.servers[service+"-"+dc]
			at := simCalm + time.Duration(i)*200*time.Millisecond
			i++
			s.at(at, func() {
				v := old.Server
				v.ID += "-next"
				v.Address = "10.8" + v.Address[4:]
				s.add(v)
				old.Draining = true
				s.publish()
			})
			s.at(at+time.Second, func() {
				// Whoever still asks the one that has left cannot reach it.
				old.share, old.how = always(1), unreachable
			})
		}
	}
}
