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

// Every host fills a cold server as far as it may: together they send no more
// than the allowance, and one call more for each sending host.
func TestColdAllowanceIsSharedByTheFleet(t *testing.T) {
	for _, hosts := range []int{1, 2, 9, 40} {
		is := is.New(t)
		doc := shape{servers: 2, connections: 200, centres: 2}.doc()
		all := routers(hosts, 2, Options{}, doc)
		sum, sending := 0, 0
		for _, r := range all {
			r.server("svc", "leaf0", "s0-0").warmth.chill(r.last, r.server("svc", "leaf0", "s0-0"))
			n := fill(r, "s0-0")
			sum += n
			if n > 0 {
				sending++
			}
		}
		is.Equal(sum, document.DefaultAllowance)
		is.Equal(sending, min(hosts, document.DefaultAllowance))
	}
}

// A host that leaves holds its connections for a while, but not its part of
// a cold server's allowance.
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
		srv.warmth.chill(r.last, srv)
		if i != first {
			sum += r.bound(r.last, srv)
		}
	}
	is.Equal(sum, document.DefaultAllowance)
}

// fill begins calls until none is left and returns how many went to the
// server.
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

// A cold server is filled by any of the hosts, in any order. It bears twice as
// much after as much work as WarmAfter successes at all that it bears.
func TestColdServersGetNoMoreThanTheyBear(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		doc := shape{servers: 1, connections: 12 * hosts}.doc()
		all := routers(hosts, 1, Options{}, doc)
		var servers []*Server
		for _, r := range all {
			srv := r.server("svc", "leaf0", "s0-0")
			srv.warmth.chill(r.last, srv)
			servers = append(servers, srv)
		}
		// Some hosts are idle, the rest keep sending.
		busy := rapid.SliceOfNDistinct(rapid.IntRange(0, hosts-1), 1, hosts, rapid.ID[int]).Draw(t, "busy")
		bears, work, inside := document.DefaultAllowance, 0.0, 0
		now := epoch
		for range 2000 {
			i := busy[rapid.IntRange(0, len(busy)-1).Draw(t, "host")]
			r, srv := all[i], servers[i]
			now = now.Add(time.Millisecond)
			if rapid.Bool().Draw(t, "send") {
				if srv.inFlight < r.bound(r.at(now), srv) {
					r.Begin(now, srv)
					inside++
				}
			} else if srv.inFlight > 0 {
				work += min(float64(inside)/float64(bears), 1)
				if work >= document.DefaultWarmAfter {
					bears, work = 2*bears, 0
				}
				r.Done(now, srv, Observation{Latency: time.Millisecond})
				inside--
			}
			if inside > bears+len(busy) {
				t.Fatalf("%d calls at once from %d of %d hosts, the server bears %d", inside, len(busy), hosts, bears)
			}
		}
	})
}

func TestSignsOfCold(t *testing.T) {
	fine := Observation{Latency: 2 * time.Millisecond}
	cases := []struct {
		name  string
		signs []Observation
		want  state
	}{
		{"none", []Observation{fine, fine, fine}, warm},
		{"said", []Observation{{Latency: time.Millisecond, Cold: true}}, cold},
		{"one shed", []Observation{{Result: ResultShed}}, warm},
		{"sheds", []Observation{{Result: ResultShed}, {Result: ResultShed}}, cold},
		{"one refused connection", []Observation{{Result: ResultNotSent}}, warm},
		{"refused connections", []Observation{{Result: ResultNotSent}, {Result: ResultNotSent}}, cold},
		{"one straggler", []Observation{{Latency: time.Second}}, warm},
		{"slow", repeat(Observation{Latency: 20 * time.Millisecond}, 5), cold},
		{"slow beyond a hedge", repeat(Observation{Latency: 20 * time.Millisecond, Result: ResultCancelled}, 5), cold},
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
			is.Equal(srv.warmth.state, c.want)
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

func TestServersMetLater(t *testing.T) {
	is := is.New(t)
	three := shape{servers: 3, connections: 50, centres: 3}.doc()
	r := routers(1, 1, Options{}, three)[0]
	is.Equal(r.server("svc", "leaf0", "s0-0").warmth.state, unknown) // a fresh host takes the fleet as it is
	is.True(fill(r, "s0-0") > 2)

	four := shape{servers: 4, connections: 50, centres: 3}.doc()
	r.Apply(epoch, viewOf(r.View().Self, r.View().Hosts, four))
	is.Equal(r.server("svc", "leaf0", "s0-3").warmth.state, cold) // added while others are known

	out := shape{servers: 4, connections: 50, centres: 3, edit: func(d *document.Service) { d.DataCentresOut = []string{"dc1"} }}.doc()
	r.Apply(epoch, viewOf(r.View().Self, r.View().Hosts, out))
	r.Apply(epoch, viewOf(r.View().Self, r.View().Hosts, four))
	is.Equal(r.server("svc", "leaf0", "s0-1").warmth.state, cold) // its data centre was out
}

// A whole data centre comes back cold without saying so, under load.
func TestColdDataCentreComesBack(t *testing.T) {
	is := is.New(t)
	run := func(off mechanisms) (s *sim, overload, peak int) {
		s = newSim(1, 9, 3, Options{without: off}, shape{leaves: 3, servers: 6, connections: 50, centres: 3}.doc(), 5*time.Millisecond)
		s.run(3000, time.Second)
		s.outs("dc0")
		s.run(3000, 500*time.Millisecond)
		for _, m := range s.servers {
			if m.centre == "dc0" {
				m.bears, m.silent = document.DefaultAllowance, true
			}
		}
		s.outs()
		s.reset()
		s.run(3000, 2*time.Second)
		for _, m := range s.servers {
			overload += m.overload
			peak = max(peak, m.peakOver)
		}
		return s, overload, peak
	}
	s, overload, peak := run(mechanisms{})
	_, without, _ := run(mechanisms{coldStart: true})
	t.Logf("%v; %d calls above what the servers bore, %d at once; %d without", s, overload, peak, without)
	is.True(s.coverage() >= 0.999)
	is.True(peak <= len(s.hosts)) // one more for each sending host
	is.True(overload*5 < without)
}

// A leaf whose servers all turn cold at once serves what they bear and gets
// back to full coverage by ramping.
func TestWholeLeafTurnsCold(t *testing.T) {
	is := is.New(t)
	s := newSim(1, 9, 3, Options{}, shape{leaves: 3, servers: 6, connections: 50, centres: 3}.doc(), 5*time.Millisecond)
	s.run(3000, time.Second)
	for id, m := range s.servers {
		if id[:3] == "s0-" {
			m.bears = document.DefaultAllowance
		}
	}
	s.run(3000, 3*time.Second)
	s.reset()
	s.run(3000, 2*time.Second)
	t.Log(s)
	is.True(s.coverage() >= 0.999)
}

// A server that always says it is cold is believed until it has borne a warm
// server's work.
func TestAServerThatAlwaysSaysColdIsUsed(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 2, connections: 8}.doc())[0]
	srv := r.server("svc", "leaf0", "s0-0")
	now := epoch
	lie := Observation{Latency: time.Millisecond, Cold: true}
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		n := 0
		for ; srv.inFlight < r.bound(r.at(now), srv); n++ {
			r.Begin(now, srv)
		}
		for range n {
			r.Done(now, srv, lie)
		}
	}
	is.Equal(srv.warmth.state, warm)
	r.Begin(now, srv)
	r.Done(now, srv, Observation{Latency: time.Millisecond})
	r.Begin(now, srv)
	r.Done(now, srv, lie)
	is.Equal(srv.warmth.state, cold) // believed again once it has spoken the truth
}

// Hosts that may not send at first join in by time, the nearest first.
func TestColdServersWidenToOtherHosts(t *testing.T) {
	is := is.New(t)
	all := routers(9, 1, Options{}, shape{servers: 1, connections: 90}.doc())
	sending := func(after time.Duration) int {
		n := 0
		for _, r := range all {
			if r.bound(r.at(epoch.Add(after)), r.server("svc", "leaf0", "s0-0")) > 0 {
				n++
			}
		}
		return n
	}
	for _, r := range all {
		srv := r.server("svc", "leaf0", "s0-0")
		srv.warmth.chill(r.last, srv)
	}
	is.Equal(sending(0), 2)
	is.Equal(sending(widenAfter), 4)
	is.Equal(sending(2*widenAfter), 8)
	is.Equal(sending(3*widenAfter), 9)
}

func TestAFreshHostAsksAnUnknownServerOnce(t *testing.T) {
	is := is.New(t)
	hosts := []view.Host{{ID: "h0", DataCentre: "dc0"}}
	r := newTestRouter(1, Options{})
	r.Apply(epoch, viewOf(hosts[0], hosts, shape{servers: 3, connections: 9}.doc()))
	for _, id := range []string{"s0-0", "s0-1"} {
		srv := r.server("svc", "leaf0", id)
		r.Begin(epoch, srv)
		r.Done(epoch, srv, Observation{Latency: time.Millisecond})
	}
	is.Equal(r.bound(r.last, r.server("svc", "leaf0", "s0-2")), 1)
	is.Equal(r.bound(r.last, r.server("svc", "leaf0", "s0-1")), 9)
}
