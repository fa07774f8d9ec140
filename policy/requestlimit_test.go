package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

// limitFixture is the balancer of one host of a fleet, with servers that name a
// request limit.
type limitFixture struct {
	*Balancer
	now    time.Time
	random *rand.Rand
}

func newLimitFixture(hosts, servers int, limit float64) *limitFixture {
	f := &limitFixture{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(1, 2))}
	f.Balancer = NewBalancer(f.now.Add(-time.Minute), BalancerOptions{
		Address: "host-0", DataCentre: "a", Rand: f.random, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second,
	})
	topology := &route.Topology{Config: &route.Config{Services: map[string]route.Service{"s": {Name: "s"}}}}
	for i := range servers {
		id := fmt.Sprint("server-", i)
		topology.Servers = append(topology.Servers, route.Server{ID: id, Service: "s", Address: id, DataCentre: "a", Slots: 6})
	}
	f.Apply(f.now, topology)
	f.setHosts(hosts)
	for _, t := range f.byKey {
		f.RecordLimit(f.now, f.now, t, route.LimitedTo(limit))
	}
	return f
}

func (f *limitFixture) setHosts(n int) {
	var hosts []string
	for i := range n {
		hosts = append(hosts, fmt.Sprint("host-", i))
	}
	f.ApplyHosts(f.now, hosts, n)
}

// offer offers calls at a mean rate per second and returns how many were sent.
func (f *limitFixture) offer(d time.Duration, rate float64) (sent int) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
		sent += f.call(ChooseInfo{Service: "s", Draw: f.random.Float64()})
	}
	return sent
}

func (f *limitFixture) call(c ChooseInfo) int {
	t, _ := f.Choose(f.now, c)
	if t == nil {
		return 0
	}
	f.Done(f.now, f.Begin(f.now, t, time.Millisecond, true), ResultOK)
	return 1
}

// TestHostSendsItsPartOfARequestLimit: a host sends its part of the servers'
// limits, no more over a long time, and most of it if it has enough requests.
func TestHostSendsItsPartOfARequestLimit(t *testing.T) {
	for _, c := range []struct {
		hosts, servers int
		limit, offered float64
	}{
		{1, 1, 20, 60}, {1, 3, 0.2, 60}, {9, 1, 36, 60}, {9, 3, 4, 30}, {9, 6, 4, 30}, {9, 3, 1, 10}, {85, 3, 15, 10}, {295, 3, 20, 5}, {295, 3, 20, 0.4},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			const duration = 3000 * time.Second
			f := newLimitFixture(c.hosts, c.servers, c.limit)
			part := max(usableLimitShare*c.limit, minLimitRate) * float64(c.servers) / float64(c.hosts) * duration.Seconds()
			sent := float64(f.offer(duration, c.offered))
			if sent > 1.1*part+10 || sent < 0.4*part {
				t.Errorf("%v calls sent, want at most %.0f and at least 0.4 of that", sent, part)
			}
		})
	}
}

// TestSavedRequestsAreBounded: what a host saves up while it has no requests or is
// suspended stays within its part of the burst that the servers bear.
func TestSavedRequestsAreBounded(t *testing.T) {
	for _, c := range []struct {
		hosts int
		limit float64
		most  int
	}{{1, 20, 31}, {9, 36, 6}, {9, 5, 1}, {9, 1, 1}, {295, 20, 1}} {
		is := is.New(t)
		f := newLimitFixture(c.hosts, 1, c.limit)
		f.now = f.now.Add(time.Hour)
		sent := 0
		for range 100 {
			sent += f.call(ChooseInfo{Service: "s", Draw: 0})
		}
		is.True(sent <= c.most)
	}
}

// TestFleetOfUnknownSize: a host that has just started does not take the whole
// limit for itself, and one whose peers fall silent not for a while.
func TestFleetOfUnknownSize(t *testing.T) {
	is := is.New(t)
	f := newLimitFixture(9, 1, 18)
	hostsAssumed := func() int {
		return int(math.Round(usableLimitShare * 18 / f.limitPart(f.now, route.LimitedTo(18)).rate))
	}
	is.Equal(hostsAssumed(), 9)
	f.setHosts(1)
	is.Equal(hostsAssumed(), 9)
	f.now = f.now.Add(goneHostsWindow + time.Second)
	f.setHosts(1)
	is.Equal(hostsAssumed(), 1)
	f.start = f.now
	is.Equal(hostsAssumed(), minHosts)
}

// TestLimitOfOlderAnswers: an answer to a call that was sent before the limit was
// heard of does not lift it, a later one does, and another incarnation is not
// bound by it.
func TestLimitOfOlderAnswers(t *testing.T) {
	is := is.New(t)
	f := newLimitFixture(9, 1, 18)
	target := f.byID["server-0"]
	f.TakeLimitChanges()
	f.RecordLimit(f.now.Add(time.Second), f.now.Add(-time.Millisecond), target, route.NoLimit)
	is.Equal(target.heardLimit.limit, route.LimitedTo(18))
	f.RecordLimit(f.now.Add(time.Second), f.now.Add(time.Millisecond), target, route.NoLimit)
	is.Equal(target.heardLimit.limit, route.NoLimit)
	changes := f.TakeLimitChanges()
	is.Equal(len(changes), 1)
	is.Equal(changes[0].At, f.now.Add(time.Millisecond))

	f.RecordLimit(f.now.Add(2*time.Second), f.now, target, route.LimitedTo(5))
	f.RecordLimit(f.now.Add(3*time.Second), f.now.Add(3*time.Second), target, route.RequestLimit{}) // an answer that cannot be read
	is.Equal(target.heardLimit.limit, route.LimitedTo(5))
	next := target.Server
	next.StartUnixMs++
	f.Apply(f.now, &route.Topology{Config: &route.Config{}, Servers: []route.Server{next}})
	is.Equal(f.byID["server-0"].heardLimit.limit, route.RequestLimit{})
}

// TestReportedLimits: limits that other hosts report hold unless this host has
// heard something newer itself, also for servers that are published later.
func TestReportedLimits(t *testing.T) {
	is := is.New(t)
	f := newLimitFixture(9, 1, 18)
	target := f.byID["server-0"]
	report := func(at time.Time, l route.RequestLimit) {
		f.SetReportedLimits(f.now, map[route.ServerKey]route.LimitReport{target.Key(): {Limit: l, At: at}})
	}
	report(f.now.Add(-time.Second), route.LimitedTo(5))
	is.Equal(target.heardLimit.limit, route.LimitedTo(18))
	report(f.now.Add(-time.Second), route.NoLimit)
	is.Equal(target.heardLimit.limit, route.LimitedTo(18))
	report(f.now.Add(time.Millisecond), route.LimitedTo(5))
	is.Equal(target.heardLimit.limit, route.LimitedTo(5))
	report(f.now.Add(-100*time.Millisecond), route.NoLimit) // a little late
	is.Equal(target.heardLimit.limit, route.NoLimit)

	later := route.Server{ID: "later", Service: "s", Address: "later"}
	f.SetReportedLimits(f.now, map[route.ServerKey]route.LimitReport{later.Key(): {Limit: route.LimitedTo(2), At: f.now}})
	f.Apply(f.now, &route.Topology{Config: &route.Config{}, Servers: []route.Server{later}})
	is.Equal(f.byID["later"].heardLimit.limit, route.LimitedTo(2))
}

// TestLimitReserves: hedges and requests of lower priority leave part of what is
// saved to urgent ones.
func TestLimitReserves(t *testing.T) {
	is := is.New(t)
	f := newLimitFixture(1, 1, 20)
	f.now = f.now.Add(time.Minute)
	use := func(c ChooseInfo) (n int) {
		for c.Service = "s"; f.call(c) > 0; n++ {
		}
		return n
	}
	hedges := use(ChooseInfo{Hedge: true})
	others := use(ChooseInfo{})
	urgent := use(ChooseInfo{Urgent: true})
	is.True(hedges > 10 && others > 5 && urgent > 5)
	_, reason := f.Choose(f.now, ChooseInfo{Service: "s", Urgent: true})
	is.Equal(reason, AllLimited)
	is.True(f.LimitWait(f.now, "s", 1, true) > 0)
}
