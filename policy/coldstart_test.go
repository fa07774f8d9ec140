package policy

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// All hosts together send a cold server no more than its allowance, even if
// each sends as much as it may.
func TestColdAllowanceIsSharedByTheFleet(t *testing.T) {
	for _, hosts := range []int{1, 2, 9, 40} {
		is := is.New(t)
		doc := shape{servers: 2, connections: 200, centres: 2}.doc()
		all := routers(hosts, 2, Options{}, doc)
		sum, sending := 0, 0
		for _, r := range all {
			r.server("svc", "leaf0", "s0-0").warmUp.markCold(r.last, r.server("svc", "leaf0", "s0-0"))
			n := fill(r, "s0-0")
			sum += n
			if n > 0 {
				sending++
			}
		}
		is.Equal(sum, document.DefaultColdStartAllowance)
		is.Equal(sending, min(hosts, document.DefaultColdStartAllowance))
	}
}

// A leaving host keeps its connections for a while, but not its part of a cold
// server's allowance.
func TestLeavingHostsSendNothingToColdServers(t *testing.T) {
	is := is.New(t)
	doc := shape{servers: 1, connections: 90}.doc()
	hosts := hostList(9, 1)
	all := routers(9, 1, Options{ShareLag: time.Second}, doc)
	later := epoch.Add(time.Minute)
	first := slices.IndexFunc(all, func(r *Router) bool { return r.server("svc", "leaf0", "s0-0").rank == 0 })
	hosts[first].Leaving = true
	sum := 0
	for i, r := range all {
		r.Apply(later, viewOf(hosts[i], hosts, doc))
		srv := r.server("svc", "leaf0", "s0-0")
		is.Equal(srv.share, 10)
		srv.warmUp.markCold(r.last, srv)
		if i != first {
			sum += r.inFlightLimit(r.last, srv)
		}
	}
	is.Equal(sum, document.DefaultColdStartAllowance)
}

// fill begins calls until no server accepts more and returns how many calls
// went to the server with that ID.
func fill(r *Router, id string) int {
	n := 0
	for {
		srv, _ := r.Pick(epoch, leaf0)
		if srv == nil {
			return n
		}
		r.Begin(epoch, srv)
		if srv.ID == id {
			n++
		}
	}
}

// Any of the hosts send to a cold server, in any order. The model doubles the
// server's capacity after the work of WarmAfter successes at full load; there
// may be one call more for each sending host.
func TestColdServersStayWithinTheirCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		doc := shape{servers: 1, connections: 12 * hosts}.doc()
		all := routers(hosts, 1, Options{}, doc)
		var servers []*Server
		for _, r := range all {
			srv := r.server("svc", "leaf0", "s0-0")
			srv.warmUp.markCold(r.last, srv)
			servers = append(servers, srv)
		}
		// Some hosts are idle, the others keep sending.
		busy := rapid.SliceOfNDistinct(rapid.IntRange(0, hosts-1), 1, hosts, rapid.ID[int]).Draw(t, "busy")
		capacity, progress, inFlight := document.DefaultColdStartAllowance, 0.0, 0
		now := epoch
		for range 2000 {
			i := busy[rapid.IntRange(0, len(busy)-1).Draw(t, "host")]
			r, srv := all[i], servers[i]
			now = now.Add(time.Millisecond)
			if rapid.Bool().Draw(t, "send") {
				if srv.inFlight < r.inFlightLimit(r.at(now), srv) {
					r.Begin(now, srv)
					inFlight++
				}
			} else if srv.inFlight > 0 {
				progress += min(float64(inFlight)/float64(capacity), 1)
				if progress >= document.DefaultWarmAfter {
					capacity, progress = 2*capacity, 0
				}
				r.Done(now, srv, Observation{Latency: time.Millisecond})
				inFlight--
			}
			if inFlight > capacity+len(busy) {
				t.Fatalf("%d concurrent calls from %d of %d hosts, the server has capacity for %d", inFlight, len(busy), hosts, capacity)
			}
		}
	})
}

func TestColdDetection(t *testing.T) {
	fine := Observation{Latency: 2 * time.Millisecond}
	cases := []struct {
		name  string
		signs []Observation
		want  warmUpState
	}{
		{"none", []Observation{fine, fine, fine}, warm},
		{"reported by the server", []Observation{{Latency: time.Millisecond, Cold: true}}, cold},
		{"one shed", []Observation{{Result: ResultShed}}, warm},
		{"sheds", []Observation{{Result: ResultShed}, {Result: ResultShed}}, cold},
		{"one refused connection", []Observation{{Result: ResultNotSent}}, warm},
		{"refused connections", []Observation{{Result: ResultNotSent}, {Result: ResultNotSent}}, cold},
		{"one straggler", []Observation{{Latency: time.Second}}, warm},
		{"slow", repeat(Observation{Latency: 20 * time.Millisecond}, 5), cold},
		{"slow calls cancelled after a hedge", repeat(Observation{Latency: 20 * time.Millisecond, Result: ResultCancelled}, 5), cold},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
			for range 300 {
				call(t, r, epoch, leaf0, fine)
			}
			srv := r.server("svc", "leaf0", "s0-0")
			for _, o := range c.signs {
				r.Begin(epoch, srv)
				r.Done(epoch, srv, o)
			}
			is.Equal(srv.warmUp.state, c.want)
		})
	}
}

func repeat(o Observation, n int) []Observation {
	var out []Observation
	for range n {
		out = append(out, o)
	}
	return out
}

func TestAddedAndReturningServersStartCold(t *testing.T) {
	is := is.New(t)
	three := shape{servers: 3, connections: 50, centres: 3}.doc()
	r := routers(1, 1, Options{}, three)[0]
	is.Equal(r.server("svc", "leaf0", "s0-0").warmUp.state, unknown) // a new host does not assume that the servers it finds are cold
	is.True(fill(r, "s0-0") > 2)

	four := shape{servers: 4, connections: 50, centres: 3}.doc()
	r.Apply(epoch, viewOf(r.View().Self, r.View().Hosts, four))
	is.Equal(r.server("svc", "leaf0", "s0-3").warmUp.state, cold) // added while others are known

	out := shape{servers: 4, connections: 50, centres: 3, edit: func(d *document.Service) { d.DataCentresOut = []string{"dc1"} }}.doc()
	r.Apply(epoch, viewOf(r.View().Self, r.View().Hosts, out))
	r.Apply(epoch, viewOf(r.View().Self, r.View().Hosts, four))
	is.Equal(r.server("svc", "leaf0", "s0-1").warmUp.state, cold) // its data centre was out
}

// Under load, a whole data centre returns cold without reporting it.
func TestColdDataCentreReturns(t *testing.T) {
	is := is.New(t)
	run := func(disabled mechanisms) (s *sim, excess, peakExcess int) {
		s = newSim(1, 9, 3, Options{disabled: disabled}, shape{leaves: 3, servers: 6, connections: 50, centres: 3}.doc(), 5*time.Millisecond)
		s.run(3000, time.Second)
		s.setDataCentresOut("dc0")
		s.run(3000, 500*time.Millisecond)
		for _, m := range s.servers {
			if m.centre == "dc0" {
				m.coldLimit, m.hidesCold = document.DefaultColdStartAllowance, true
			}
		}
		s.setDataCentresOut()
		s.reset()
		s.run(3000, 2*time.Second)
		for _, m := range s.servers {
			excess += m.excessCalls
			peakExcess = max(peakExcess, m.peakExcess)
		}
		return s, excess, peakExcess
	}
	s, excess, peakExcess := run(mechanisms{})
	_, excessWithout, _ := run(mechanisms{coldStart: true})
	t.Logf("%v; %d calls above the servers' cold limits, at most %d at once; %d without cold start control", s, excess, peakExcess, excessWithout)
	is.True(s.coverage() >= 0.999)
	is.True(peakExcess <= len(s.hosts)) // one more for each sending host
	is.True(excess*5 < excessWithout)
}

// When all servers of a leaf turn cold at once, the leaf serves what they can
// take and returns to full coverage as they warm up.
func TestWholeLeafTurnsCold(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 9, 3, Options{}, shape{leaves: 3, servers: 6, connections: 50, centres: 3}.doc(), 5*time.Millisecond)
	s.run(3000, time.Second)
	for id, m := range s.servers {
		if id[:3] == "s0-" {
			m.coldLimit = document.DefaultColdStartAllowance
		}
	}
	s.run(3000, 3*time.Second)
	s.reset()
	s.run(3000, 2*time.Second)
	t.Log(s)
	is.True(s.coverage() >= 0.999)
}

// A server that always reports itself cold counts as warm once it has taken a
// warm server's load.
func TestPermanentColdSignalIsIgnored(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 2, connections: 8}.doc())[0]
	srv := r.server("svc", "leaf0", "s0-0")
	now := epoch
	coldAnswer := Observation{Latency: time.Millisecond, Cold: true}
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		n := 0
		for ; srv.inFlight < r.inFlightLimit(r.at(now), srv); n++ {
			r.Begin(now, srv)
		}
		for range n {
			r.Done(now, srv, coldAnswer)
		}
	}
	is.Equal(srv.warmUp.state, warm)
	r.Begin(now, srv)
	r.Done(now, srv, Observation{Latency: time.Millisecond})
	r.Begin(now, srv)
	r.Done(now, srv, coldAnswer)
	is.Equal(srv.warmUp.state, cold) // the signal counts again after an answer without it
}

// Hosts that may not send to a cold server at first join in over time.
func TestColdServersRampUpToOtherHosts(t *testing.T) {
	is := is.New(t)
	all := routers(9, 1, Options{}, shape{servers: 1, connections: 90}.doc())
	sending := func(after time.Duration) int {
		n := 0
		for _, r := range all {
			if r.inFlightLimit(r.at(epoch.Add(after)), r.server("svc", "leaf0", "s0-0")) > 0 {
				n++
			}
		}
		return n
	}
	for _, r := range all {
		srv := r.server("svc", "leaf0", "s0-0")
		srv.warmUp.markCold(r.last, srv)
	}
	is.Equal(sending(0), 2)
	is.Equal(sending(doublingInterval), 4)
	is.Equal(sending(2*doublingInterval), 8)
	is.Equal(sending(3*doublingInterval), 9)
}

func TestNewHostSendsOneCallToAnUnknownServer(t *testing.T) {
	is := is.New(t)
	hosts := []view.Host{{ID: "h0", DataCentre: "dc0"}}
	r := newTestRouter(1, Options{})
	r.Apply(epoch, viewOf(hosts[0], hosts, shape{servers: 3, connections: 9}.doc()))
	for _, id := range []string{"s0-0", "s0-1"} {
		srv := r.server("svc", "leaf0", id)
		r.Begin(epoch, srv)
		r.Done(epoch, srv, Observation{Latency: time.Millisecond})
	}
	is.Equal(r.inFlightLimit(r.last, r.server("svc", "leaf0", "s0-2")), 1)
	is.Equal(r.inFlightLimit(r.last, r.server("svc", "leaf0", "s0-1")), 9)
}
