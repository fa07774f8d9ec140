package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

// newReachBalancer returns a balancer with n servers of one service.
func newReachBalancer(now time.Time, n int) (*Balancer, []*Target) {
	b := NewBalancer(now, BalancerOptions{Address: "10.0.0.1", DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2)), RetryWindow: 10 * time.Second})
	topology := &route.Topology{Config: &route.Config{Services: map[string]route.Service{"s": {Name: "s"}}}}
	for i := range n {
		topology.Servers = append(topology.Servers, route.Server{ID: fmt.Sprint("i-", i), Service: "s", Address: fmt.Sprintf("10.1.0.%d:80", i), DataCentre: "a", Slots: 4})
	}
	b.Apply(now, topology)
	return b, b.pools["s"].targets
}

// TestReachStates plays what a host observes and the state that follows.
func TestReachStates(t *testing.T) {
	const latency = 20 * time.Millisecond
	call := func(b *Balancer, now time.Time, targets ...*Target) {
		for _, x := range targets {
			b.Begin(now, x, latency, true)
		}
	}
	for name, c := range map[string]struct {
		servers int
		play    func(b *Balancer, s []*Target, now time.Time)
		silent  bool
		// reached are the results of the probes, end is the state after them.
		reached []bool
		end     ReachState
	}{
		"no calls":                 {5, func(*Balancer, []*Target, time.Time) {}, false, nil, Reachable},
		"three hang":               {5, func(b *Balancer, s []*Target, now time.Time) { call(b, now, s[:3]...) }, true, []bool{false, false, false}, Isolated},
		"two hang":                 {5, func(b *Balancer, s []*Target, now time.Time) { call(b, now, s[:2]...) }, false, nil, Reachable},
		"both of two hang":         {2, func(b *Balancer, s []*Target, now time.Time) { call(b, now, s...) }, true, []bool{false, false}, Isolated},
		"the only one hangs":       {1, func(b *Balancer, s []*Target, now time.Time) { call(b, now, s...) }, false, nil, Reachable},
		"three hang, a probe gets": {5, func(b *Balancer, s []*Target, now time.Time) { call(b, now, s[:3]...) }, true, []bool{false, true, false}, Reachable},
		"three fail": {5, func(b *Balancer, s []*Target, _ time.Time) {
			for _, x := range s[:3] {
				b.RecordPathFailure(x)
			}
		}, true, []bool{false, false, false}, Isolated},
		"three fail, another answers": {5, func(b *Balancer, s []*Target, now time.Time) {
			for _, x := range s[:3] {
				b.RecordPathFailure(x)
			}
			b.RecordAnswer(now.Add(100 * time.Millisecond))
		}, false, nil, Reachable},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			b, targets := newReachBalancer(now, c.servers)
			c.play(b, targets, now)
			change, probes := b.CheckReach(now.Add(silenceTime))
			is.Equal(change != nil, c.silent)
			is.Equal(len(probes), len(c.reached))
			for _, reached := range c.reached {
				b.RecordProbe(now.Add(silenceTime), reached)
			}
			is.Equal(b.ReachState(), c.end)
		})
	}
}

// TestHostRecoversStepByStep: after an isolation, the number of requests that the
// host serves itself doubles with each answered one, and what it found of the
// servers meanwhile is forgotten.
func TestHostRecoversStepByStep(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b, targets := newReachBalancer(now, 3)
	for _, x := range targets {
		b.Done(now, b.Begin(now, x, time.Millisecond, true), ResultNotSent)
		b.RecordNotConnected(x)
	}
	now = now.Add(silenceTime)
	b.CheckReach(now)
	for range targets {
		b.RecordProbe(now, false)
	}
	limit, limited := b.DirectLimit()
	is.True(limited)
	is.Equal(limit, 0)
	usable, _ := b.Capacity(now, "s")
	is.Equal(usable, 3) // the ejection of 100 ms is over
	_, probes := b.CheckReach(now)
	is.Equal(len(probes), 0)
	now = now.Add(isolationProbeInterval)
	_, probes = b.CheckReach(now)
	is.Equal(len(probes), 1)
	b.RecordProbe(now, true)
	is.Equal(b.ReachState(), Recovering)
	for _, x := range targets {
		is.Equal(x.currentFailureShare(now), 0.0)
	}
	for want := 2; b.ReachState() == Recovering; want *= 2 {
		limit, _ := b.DirectLimit()
		is.Equal(limit, want)
		b.RecordServed()
	}
	_, limited = b.DirectLimit()
	is.True(!limited)
}

// TestSlowCallsOfAnIsolatedHostAreNotReported: they say nothing about the servers.
func TestSlowCallsOfAnIsolatedHostAreNotReported(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b, targets := newReachBalancer(now, 3)
	var calls []*Call
	for _, x := range targets {
		calls = append(calls, b.Begin(now, x, 10*time.Millisecond, true))
	}
	now = now.Add(silenceTime)
	b.CheckReach(now)
	for _, c := range calls {
		b.Done(now, c, ResultCancelled)
	}
	is.Equal(len(b.TakeSlowSpans()), 0)
	for range targets {
		b.RecordProbe(now, false)
	}
	is.Equal(b.ReachState(), Isolated)
	is.Equal(len(b.TakeSlowSpans()), 0)
	b.RecordProbe(now, true)
	is.Equal(len(b.TakeSlowSpans()), 0)
}
