package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

func newTestBalancer(now time.Time, address, dataCentre string, hosts int) *Balancer {
	b := NewBalancer(now, BalancerOptions{
		Address: address, DataCentre: dataCentre, Regions: map[string]string{"a": "r1", "b": "r1", "c": "r2"},
		Rand: rand.New(rand.NewPCG(1, 2)), RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second,
	})
	var addresses []string
	for i := range hosts {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d", i))
	}
	b.ApplyHosts(now, addresses, max(hosts/3, 1))
	return b
}

func newTestTopology(servers ...route.Server) *route.Topology {
	topology := &route.Topology{
		Config:    &route.Config{Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 84, ColdRate: 10}}},
		Evacuated: map[string]time.Time{},
	}
	for _, s := range servers {
		s.Service, s.Slots = "s", 6
		topology.Servers = append(topology.Servers, s)
	}
	return topology
}

var threeServers = []route.Server{
	{ID: "1", Address: "10.1.0.1:80", DataCentre: "a"},
	{ID: "2", Address: "10.2.0.1:80", DataCentre: "b"},
	{ID: "3", Address: "10.3.0.1:80", DataCentre: "c"},
}

func TestChooseServer(t *testing.T) {
	now := time.Unix(1000, 0)
	is := is.New(t)
	b := newTestBalancer(now, "10.0.0.0", "a", 9)
	topology := newTestTopology(threeServers...)
	b.Apply(now, topology)
	choose := func(c ChooseInfo) (string, Reason) {
		c.Service, c.ExpectedLatency = "s", 10*time.Millisecond
		s, why := b.Choose(now, c)
		if s == nil {
			return "", why
		}
		return s.ID, why
	}
	id, _ := choose(ChooseInfo{})
	is.Equal(id, "1") // the local data centre
	id, _ = choose(ChooseInfo{Regions: []string{"r2"}})
	is.Equal(id, "3") // the only server in the region
	_, why := choose(ChooseInfo{Regions: []string{"r3"}})
	is.Equal(why, NoServer)

	topology.Evacuated["a"] = time.Time{}
	b.Apply(now, topology)
	id, _ = choose(ChooseInfo{})
	is.True(id != "1")
	delete(topology.Evacuated, "a")
	topology.Servers[0].Draining = true
	b.Apply(now, topology)
	id, _ = choose(ChooseInfo{})
	is.True(id != "1")
	topology.Servers[0].Draining = false
	b.Apply(now, topology)

	// An overdue call keeps further calls away from its server.
	s, _ := b.Choose(now, ChooseInfo{Service: "s"})
	overdue := b.Begin(now, s, 10*time.Millisecond, true)
	now = now.Add(100 * time.Millisecond)
	id, _ = choose(ChooseInfo{})
	is.True(id != "1")
	b.Done(now, overdue, ResultOK)

	// An unreachable server is ejected for a while.
	b.Done(now, b.Begin(now, s, 0, true), ResultNotSent)
	_, why = choose(ChooseInfo{Tried: b.pools["s"].targets[1:]})
	is.Equal(why, AllDown)
	now = now.Add(time.Second)
	_, why = choose(ChooseInfo{Tried: b.pools["s"].targets[1:]})
	is.Equal(why, Picked)
}

func TestSlowServerIsAvoidedThenTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	is := is.New(t)
	b := newTestBalancer(now, "10.0.0.0", "a", 9)
	b.Apply(now, newTestTopology(threeServers...))
	const expected = 10 * time.Millisecond
	s, _ := b.Choose(now, ChooseInfo{Service: "s"})
	is.Equal(s.ID, "1")
	c := b.Begin(now, s, expected, true)
	now = now.Add(10 * expected)
	b.Done(now, c, ResultOK)
	next, _ := b.Choose(now, ChooseInfo{Service: "s"})
	is.True(next != s)
	now = now.Add(10 * time.Second)
	next, _ = b.Choose(now, ChooseInfo{Service: "s"})
	is.Equal(next, s)
}

// TestServerThatShedsIsAvoided runs three servers of which two refuse six calls
// of ten: most calls must go to the third.
func TestServerThatShedsIsAvoided(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newTestBalancer(now, "10.0.0.0", "a", 9)
	b.Apply(now, newTestTopology(threeServers...))
	random := rand.New(rand.NewPCG(5, 6))
	refused := 0
	const calls = 100
	for range calls {
		now = now.Add(600 * time.Millisecond)
		s, _ := b.Choose(now, ChooseInfo{Service: "s", ExpectedLatency: 10 * time.Millisecond})
		result := ResultOK
		if s.ID != "3" && random.Float64() < 0.6 {
			result = ResultShed
			refused++
		}
		b.Done(now.Add(10*time.Millisecond), b.Begin(now, s, 10*time.Millisecond, true), result)
	}
	if refused > calls*3/10 {
		t.Errorf("%d of %d calls were refused", refused, calls)
	}
}

// TestNoRemoteHedgeJustAfterStart: just after its start, a host must not send
// hedges to remote servers with scarce connections, since these still count the
// connections of the hosts that ran before.
func TestNoRemoteHedgeJustAfterStart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := newTestBalancer(now, "10.0.0.0", "a", 80)
	b.Apply(now, newTestTopology(threeServers...))
	tried := b.pools["s"].targets[:1]
	_, why := b.Choose(now, ChooseInfo{Service: "s", Tried: tried, Hedge: true})
	is.Equal(why, AllBusy)
	_, why = b.Choose(now, ChooseInfo{Service: "s", Tried: tried})
	is.Equal(why, Picked) // a retry after a failure is allowed
	_, why = b.Choose(now.Add(staleConnectionTime), ChooseInfo{Service: "s", Tried: tried, Hedge: true})
	is.Equal(why, Picked)
}

// TestRestartedServerHasNoHistory restarts a server under its ID and address.
func TestRestartedServerHasNoHistory(t *testing.T) {
	now := time.Unix(1000, 0)
	is := is.New(t)
	b := newTestBalancer(now, "10.0.0.0", "a", 9)
	b.Apply(now, newTestTopology(route.Server{ID: "1", StartUnixMs: 1, Address: "10.1.0.1:80", DataCentre: "a"}))
	old, _ := b.Choose(now, ChooseInfo{Service: "s"})
	b.Done(now, b.Begin(now, old, 0, true), ResultNotSent)
	b.Apply(now, newTestTopology(route.Server{ID: "1", StartUnixMs: 2, Address: "10.1.0.1:80", DataCentre: "a"}))
	restarted, why := b.Choose(now, ChooseInfo{Service: "s"})
	is.Equal(why, Picked) // failures of the old incarnation do not count
	is.True(restarted != old)
}

// TestFleetWideLimits checks that all hosts together stay within the limits of
// connections, retries and calls to a cold server.
func TestFleetWideLimits(t *testing.T) {
	now := time.Unix(1000, 0)
	const hosts = 30
	cold := threeServers[0]
	cold.ColdLeft = 10 * time.Second
	var all []*Balancer
	for i := range hosts {
		dc := []string{"a", "b", "c"}[i%3]
		b := newTestBalancer(now, fmt.Sprintf("10.0.0.%d", i), dc, hosts)
		b.Apply(now, newTestTopology(cold))
		all = append(all, b)
	}
	retries, connections, coldCalls := 0, 0, 0
	for _, b := range all {
		connections += b.pools["s"].targets[0].limit
	}
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for _, b := range all {
			if b.SpendRetry(now, "s") {
				retries++
			}
			if s, _ := b.Choose(now, ChooseInfo{Service: "s"}); s != nil {
				b.Done(now, b.Begin(now, s, 0, false), ResultOK)
				coldCalls++
			}
		}
	}
	is := is.New(t)
	is.True(connections <= 84)
	is.True(retries <= 60) // no request made a first call, so that the ratio adds nothing
	is.True(retries >= hosts/2)
	is.True(coldCalls <= 10*10) // 10 a second
	is.True(coldCalls >= 30)
}

// TestDepartedHostsStillCount: the calls of departed hosts are still within the
// window of the retry budget.
func TestDepartedHostsStillCount(t *testing.T) {
	now := time.Unix(1000, 0)
	is := is.New(t)
	b := newTestBalancer(now, "10.0.0.0", "a", 30)
	share := b.retrySlack()
	b.ApplyHosts(now.Add(time.Second), []string{"10.0.0.0"}, 1)
	is.Equal(b.retrySlack(), share)
	b.ApplyHosts(now.Add(goneHostsWindow+2*time.Second), []string{"10.0.0.0"}, 1)
	is.True(b.retrySlack() > share)
}

// TestRetryBudget sends requests that all ask for a second call, at a varying
// rate, and checks that every window stays within the budget.
func TestRetryBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newTestBalancer(now, "10.0.0.0", "a", 6)
	b.Apply(now, newTestTopology(threeServers...))
	type event struct {
		at    time.Time
		first bool
	}
	var events []event
	random := rand.New(rand.NewPCG(3, 4))
	for end := now.Add(60 * time.Second); now.Before(end); {
		gap := 20 * time.Millisecond
		if now.Second()%20 < 8 {
			gap = 500 * time.Millisecond
		}
		now = now.Add(time.Duration(random.Int64N(int64(2 * gap))))
		if s, _ := b.Choose(now, ChooseInfo{Service: "s"}); s != nil {
			b.Done(now, b.Begin(now, s, 0, true), ResultOK)
			events = append(events, event{now, true})
		}
		if b.SpendRetry(now, "s") {
			events = append(events, event{now, false})
		}
	}
	spent := 0
	for i, m := range events {
		if m.first {
			continue
		}
		spent++
		firsts, extras := 0, 0
		for _, x := range events[:i+1] {
			if m.at.Sub(x.at) > 10*time.Second {
				continue
			}
			if x.first {
				firsts++
			} else {
				extras++
			}
		}
		if most := 0.2*float64(firsts) + 60.0/6; float64(extras) > most {
			t.Fatalf("%d extra calls in the window ending at %v, budget %.1f", extras, m.at, most)
		}
	}
	if spent < 100 {
		t.Errorf("only %d extra calls in a minute", spent)
	}
}

// TestCallLimitFollowsSlots: the hosts of a server's data centre together fill
// its slots, the remote hosts as many again, within its connections.
func TestCallLimitFollowsSlots(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		hosts, slots, connections int
		local, away               int
	}{
		{hosts: 9, slots: 6, connections: 84, local: 2, away: 1},
		{hosts: 9, slots: 16, connections: 0, local: 6, away: 3},
		{hosts: 9, slots: 16, connections: 30, local: 3, away: 3},
		{hosts: 3, slots: 6, connections: 84, local: 6, away: 3},
		{hosts: 90, slots: 6, connections: 84, local: 1, away: 1},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			is := is.New(t)
			b := newTestBalancer(now, "10.0.0.0", "a", c.hosts)
			topology := newTestTopology(threeServers...)
			topology.Config.Services["s"] = route.Service{Name: "s", MaxConnections: c.connections}
			for i := range topology.Servers {
				topology.Servers[i].Slots = c.slots
			}
			b.Apply(now, topology)
			is.Equal(b.pools["s"].targets[0].limit, c.local)
			is.Equal(b.pools["s"].targets[1].limit, c.away)
		})
	}
}
