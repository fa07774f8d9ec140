package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// fleetServer runs as many calls at a time as it has slots, in order of
// arrival.
type fleetServer struct {
	route.Server
	// slow is the factor by which a call takes longer than usual.
	slow    float64
	running int
	queue   []fleetCall
}

type fleetCall struct {
	host int
	id   CallID
}

// fleet simulates many hosts that share the same servers.
type fleet struct {
	now     time.Time
	random  *rand.Rand
	engines []*Engine
	servers map[string]*fleetServer
	events  simEvents
	started map[fleetCall]time.Time
	inTime  int
	rt      *route.Route
}

// newFleet returns hosts and servers. One of each shard's three servers is
// slower than the others.
func newFleet(hosts int, rt *route.Route, slow float64) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(3, 4)), servers: make(map[string]*fleetServer),
		started: make(map[fleetCall]time.Time), rt: rt,
	}
	topology := &route.Topology{Config: &route.Config{Services: map[string]route.Service{}}, Evacuated: map[string]time.Time{}}
	for i, shard := range rt.Gather {
		topology.Config.Services[shard] = route.Service{Name: shard, MaxConnections: 46}
		for j, dc := range []string{"a", "b", "c"} {
			s := &fleetServer{slow: 1, Server: route.Server{
				ID: shard + dc, Service: shard, Address: fmt.Sprintf("10.%d.%d.1:80", j, i), DataCentre: dc, Slots: 6,
			}}
			if (i+j)%3 == 0 {
				s.slow = slow
			}
			f.servers[s.ID] = s
			topology.Servers = append(topology.Servers, s.Server)
		}
	}
	var addresses []string
	for i := range hosts {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d", i))
	}
	for i := range hosts {
		b := policy.NewBalancer(f.now, policy.BalancerOptions{
			Address: addresses[i], DataCentre: string(rune('a' + i%3)), Rand: f.random, RetryRatio: 0.2, RetrySlack: 58, RetryWindow: 10 * time.Second,
		})
		b.Apply(f.now, topology)
		b.ApplyHosts(f.now, addresses, hosts/3)
		f.engines = append(f.engines, NewEngine(Options{Balancer: b, Rand: f.random, CPUCapacity: 1}))
	}
	return f
}

func (f *fleet) apply(host int, a Actions) {
	for _, x := range a.Finish {
		if x.Verdict == Merged && f.now.Sub(f.started[fleetCall{host, CallID(x.Run)}]) <= f.rt.Objective {
			f.inTime++
		}
	}
	for _, c := range a.Cancel {
		f.events.add(f.now.Add(c.After), func() { f.endCall(fleetCall{host, c.Call}, Reply{Outcome: Cancelled}) })
	}
	for _, x := range a.Send {
		s := f.servers[x.Target.ID]
		s.queue = append(s.queue, fleetCall{host, x.Call})
		f.startQueued(s)
	}
}

func (f *fleet) startQueued(s *fleetServer) {
	for s.running < s.Slots && len(s.queue) > 0 {
		c := s.queue[0]
		s.queue = s.queue[1:]
		if f.engines[c.host].calls[c.id] == nil {
			continue // cancelled while in the server's queue
		}
		s.running++
		took := time.Duration(float64(simServiceTime) * s.slow * (0.7 + 0.6*f.random.Float64()))
		f.events.add(f.now.Add(took), func() {
			s.running--
			f.endCall(c, ok("x"))
			f.startQueued(s)
		})
	}
}

func (f *fleet) endCall(c fleetCall, r Reply) {
	f.apply(c.host, f.engines[c.host].HandleReply(f.now, c.id, r))
}

// play sends requests at the given rate per second, spread over all hosts, and
// returns the share that is answered within the objective.
func (f *fleet) play(rate int, duration time.Duration) float64 {
	begin, n := f.now, 0
	for d := time.Duration(0); d < duration; d += time.Second / time.Duration(rate) {
		n++
		host := n % len(f.engines)
		f.events.add(begin.Add(d), func() {
			id, a := f.engines[host].Start(f.now, Request{ID: "r", Route: f.rt, Deadline: f.now.Add(f.rt.Timeout), Fingerprint: uint64(n)})
			f.started[fleetCall{host, CallID(id)}] = f.now
			f.apply(host, a)
		})
	}
	for len(f.events.list) > 0 {
		first, due := -1, f.events.list[0].at
		for i, e := range f.engines {
			if at, ok := e.NextTick(); ok && at.Before(due) {
				first, due = i, at
			}
		}
		if due.After(f.now) {
			f.now = due
		}
		if first >= 0 {
			f.apply(first, f.engines[first].Tick(f.now))
			continue
		}
		f.events.next().do()
	}
	return float64(f.inTime) / float64(n)
}

// TestQueuesFormAtHostsNotServers simulates a burst near the servers' capacity
// (650 of 675 requests a second) from nine hosts in three data centres, while
// one server of three is four times slower. The stated target is that nine of
// ten answers are in time.
func TestQueuesFormAtHostsNotServers(t *testing.T) {
	rt, _ := gatherRoute(12, 0.9)
	f := newFleet(9, rt, 4)
	const (
		rate  = 650
		least = 0.9
	)
	if got := f.play(rate, 3*time.Second); got < least {
		t.Errorf("%.3f of the requests answered in time, want at least %.2f", got, least)
	}
}
