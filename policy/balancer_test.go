package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

func testBalancer(now time.Time, address, dataCentre string, hosts int) *Balancer {
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

func testPicture(servers ...route.Server) *route.Topology {
	p := &route.Topology{
		Config:    &route.Config{Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 84, ColdRate: 10}}},
		Evacuated: map[string]time.Time{},
	}
	for _, s := range servers {
		s.Service, s.Slots = "s", 6
		p.Servers = append(p.Servers, s)
	}
	return p
}

var threeServers = []route.Server{
	{ID: "1", Address: "10.1.0.1:80", DataCentre: "a"},
	{ID: "2", Address: "10.2.0.1:80", DataCentre: "b"},
	{ID: "3", Address: "10.3.0.1:80", DataCentre: "c"},
}

func TestChoiceOfServers(t *testing.T) {
	now := time.Unix(1000, 0)
	is := is.New(t)
	b := testBalancer(now, "10.0.0.0", "a", 9)
	p := testPicture(threeServers...)
	b.ApplyPicture(now, p)
	choose := func(c Choice) (string, Reason) {
		c.Service, c.Usual = "s", 10*time.Millisecond
		s, why := b.Choose(now, c)
		if s == nil {
			return "", why
		}
		return s.ID, why
	}
	id, _ := choose(Choice{})
	is.Equal(id, "1") // its own data centre
	id, _ = choose(Choice{Homes: []string{"r2"}})
	is.Equal(id, "3") // the only one in the region
	_, why := choose(Choice{Homes: []string{"r3"}})
	is.Equal(why, NoServer)

	p.Evacuated["a"] = time.Time{}
	b.ApplyPicture(now, p)
	id, _ = choose(Choice{})
	is.True(id != "1")
	delete(p.Evacuated, "a")
	p.Servers[0].Draining = true
	b.ApplyPicture(now, p)
	id, _ = choose(Choice{})
	is.True(id != "1")
	p.Servers[0].Draining = false
	b.ApplyPicture(now, p)

	// A call that is overdue keeps others away from its server.
	s, _ := b.Choose(now, Choice{Service: "s"})
	stuck := b.Begin(now, s, 10*time.Millisecond, true)
	now = now.Add(100 * time.Millisecond)
	id, _ = choose(Choice{})
	is.True(id != "1")
	b.Done(now, stuck, ResultOK)

	// A server that cannot be reached is left alone for a while.
	b.Done(now, b.Begin(now, s, 0, true), ResultFailed)
	_, why = choose(Choice{Tried: b.pools["s"].list[1:]})
	is.Equal(why, AllDown)
	now = now.Add(time.Second)
	_, why = choose(Choice{Tried: b.pools["s"].list[1:]})
	is.Equal(why, Picked)
}

func TestASlowServerIsLeftAndTriedAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	is := is.New(t)
	b := testBalancer(now, "10.0.0.0", "a", 9)
	b.ApplyPicture(now, testPicture(threeServers...))
	const usual = 10 * time.Millisecond
	s, _ := b.Choose(now, Choice{Service: "s"})
	is.Equal(s.ID, "1")
	c := b.Begin(now, s, usual, true)
	now = now.Add(10 * usual)
	b.Done(now, c, ResultOK)
	next, _ := b.Choose(now, Choice{Service: "s"})
	is.True(next != s)
	now = now.Add(10 * time.Second)
	next, _ = b.Choose(now, Choice{Service: "s"})
	is.Equal(next, s)
}

// TestAServerThatShedsIsLeft plays servers that refuse six calls of ten while
// one of the three refuses none: most calls go to that one.
func TestAServerThatShedsIsLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	b := testBalancer(now, "10.0.0.0", "a", 9)
	b.ApplyPicture(now, testPicture(threeServers...))
	random := rand.New(rand.NewPCG(5, 6))
	refused := 0
	const calls = 100
	for range calls {
		now = now.Add(600 * time.Millisecond)
		s, _ := b.Choose(now, Choice{Service: "s", Usual: 10 * time.Millisecond})
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

// TestAHostThatHasJustStarted asks no second server away where connections are
// scarce: servers still count those of the hosts that ran before.
func TestAHostThatHasJustStarted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	b := testBalancer(now, "10.0.0.0", "a", 80)
	b.ApplyPicture(now, testPicture(threeServers...))
	tried := b.pools["s"].list[:1]
	_, why := b.Choose(now, Choice{Service: "s", Tried: tried, Spare: true})
	is.Equal(why, AllBusy)
	_, why = b.Choose(now, Choice{Service: "s", Tried: tried})
	is.Equal(why, Picked) // after a failure it may go there
	_, why = b.Choose(now.Add(settleFor), Choice{Service: "s", Tried: tried, Spare: true})
	is.Equal(why, Picked)
}

// TestALifetimeIsItsOwnServer: a server that starts again under its ID.
func TestALifetimeIsItsOwnServer(t *testing.T) {
	now := time.Unix(1000, 0)
	is := is.New(t)
	b := testBalancer(now, "10.0.0.0", "a", 9)
	b.ApplyPicture(now, testPicture(route.Server{ID: "1", StartUnixMs: 1, Address: "10.1.0.1:80", DataCentre: "a"}))
	old, _ := b.Choose(now, Choice{Service: "s"})
	b.Done(now, b.Begin(now, old, 0, true), ResultFailed)
	b.ApplyPicture(now, testPicture(route.Server{ID: "1", StartUnixMs: 2, Address: "10.1.0.1:80", DataCentre: "a"}))
	fresh, why := b.Choose(now, Choice{Service: "s"})
	is.Equal(why, Picked) // what the old one failed does not count
	is.True(fresh != old)
}

// TestSumsOverTheFleet: the parts of all hosts stay under the sums.
func TestSumsOverTheFleet(t *testing.T) {
	now := time.Unix(1000, 0)
	const hosts = 30
	cold := threeServers[0]
	cold.ColdLeft = 10 * time.Second
	var all []*Balancer
	for i := range hosts {
		dc := []string{"a", "b", "c"}[i%3]
		b := testBalancer(now, fmt.Sprintf("10.0.0.%d", i), dc, hosts)
		b.ApplyPicture(now, testPicture(cold))
		all = append(all, b)
	}
	retries, connections, coldCalls := 0, 0, 0
	for _, b := range all {
		connections += b.pools["s"].list[0].limit
	}
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
		for _, b := range all {
			if b.SpendRetry(now, "s") {
				retries++
			}
			if s, _ := b.Choose(now, Choice{Service: "s"}); s != nil {
				b.Done(now, b.Begin(now, s, 0, false), ResultOK)
				coldCalls++
			}
		}
	}
	is := is.New(t)
	is.True(connections <= 84)
	is.True(retries <= 60) // no request was a first one: the ratio adds nothing
	is.True(retries >= hosts/2)
	is.True(coldCalls <= 10*10) // 10 a second
	is.True(coldCalls >= 30)
}

// TestHostsThatAreGoneStillCount: their calls are in the window of the budget.
func TestHostsThatAreGoneStillCount(t *testing.T) {
	now := time.Unix(1000, 0)
	is := is.New(t)
	b := testBalancer(now, "10.0.0.0", "a", 30)
	share := b.slack()
	b.ApplyHosts(now.Add(time.Second), []string{"10.0.0.0"}, 1)
	is.Equal(b.slack(), share)
	b.ApplyHosts(now.Add(hostsFor+2*time.Second), []string{"10.0.0.0"}, 1)
	is.True(b.slack() > share)
}

// TestRetryBudget plays requests of which every one asks for a second call and
// holds each window to the budget, at a load that comes and goes.
func TestRetryBudget(t *testing.T) {
	now := time.Unix(1000, 0)
	b := testBalancer(now, "10.0.0.0", "a", 6)
	b.ApplyPicture(now, testPicture(threeServers...))
	type moment struct {
		at    time.Time
		first bool
	}
	var history []moment
	random := rand.New(rand.NewPCG(3, 4))
	for end := now.Add(60 * time.Second); now.Before(end); {
		gap := 20 * time.Millisecond
		if now.Second()%20 < 8 {
			gap = 500 * time.Millisecond
		}
		now = now.Add(time.Duration(random.Int64N(int64(2 * gap))))
		if s, _ := b.Choose(now, Choice{Service: "s"}); s != nil {
			b.Done(now, b.Begin(now, s, 0, true), ResultOK)
			history = append(history, moment{now, true})
		}
		if b.SpendRetry(now, "s") {
			history = append(history, moment{now, false})
		}
	}
	spent := 0
	for i, m := range history {
		if m.first {
			continue
		}
		spent++
		firsts, extras := 0, 0
		for _, x := range history[:i+1] {
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
			t.Fatalf("%d calls beyond the first in the window up to %v, more than %.1f", extras, m.at, most)
		}
	}
	if spent < 100 {
		t.Errorf("only %d calls beyond the first in a minute", spent)
	}
}

// TestCallsThatAServerCanWorkOn: the hosts of a server's data centre together
// fill its slots, the others as many again, within its connections.
func TestCallsThatAServerCanWorkOn(t *testing.T) {
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
			b := testBalancer(now, "10.0.0.0", "a", c.hosts)
			p := testPicture(threeServers...)
			p.Config.Services["s"] = route.Service{Name: "s", MaxConnections: c.connections}
			for i := range p.Servers {
				p.Servers[i].Slots = c.slots
			}
			b.ApplyPicture(now, p)
			is.Equal(b.pools["s"].list[0].limit, c.local)
			is.Equal(b.pools["s"].list[1].limit, c.away)
		})
	}
}
