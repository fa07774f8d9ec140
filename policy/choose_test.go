package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/document"
)

// call makes one call to the server that Pick selects and returns the server.
func call(t *testing.T, r *Router, now time.Time, p PickInfo, o Observation) *Server {
	t.Helper()
	srv, reason := r.Pick(now, p)
	if srv == nil {
		t.Fatalf("no server picked: %s", reason)
	}
	r.Begin(now, srv)
	r.Done(now.Add(o.Latency), srv, o)
	return srv
}

var leaf0 = PickInfo{Service: "svc", Leaf: "leaf0"}

func TestPickReasons(t *testing.T) {
	three := shape{servers: 3, connections: 3, centres: 3}
	cases := []struct {
		name string
		edit func(*document.Service)
		pick PickInfo
		want Reason
	}{
		{"service", nil, PickInfo{Service: "x"}, UnknownService},
		{"leaf", nil, PickInfo{Service: "svc", Leaf: "x"}, UnknownLeaf},
		{"any", nil, leaf0, Picked},
		{"one left", func(d *document.Service) { d.DataCentresOut = []string{"dc0", "dc1"} }, leaf0, Picked},
		{"out", func(d *document.Service) { d.DataCentresOut = []string{"dc0", "dc1", "dc2"} }, leaf0, AllOut},
		{"hedge out", func(d *document.Service) { d.DataCentresOut = []string{"dc0", "dc1", "dc2"} }, PickInfo{Service: "svc", Leaf: "leaf0", Hedge: true}, AllOut},
		{"leaving", func(d *document.Service) {
			for i := range d.Leaves[0].Servers {
				d.Leaves[0].Servers[i].Leaving = true
			}
		}, leaf0, AllOut},
		{"no servers", func(d *document.Service) { d.Leaves[0].Servers = nil }, leaf0, NoServer},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			three.edit = c.edit
			r := routers(1, 1, Options{}, three.doc())[0]
			srv, reason := r.Pick(epoch, c.pick)
			is.Equal(reason, c.want)
			is.Equal(srv != nil, c.want == Picked)
		})
	}
}

func TestInFlightStaysWithinTheConnections(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 2, connections: 3}.doc())[0]
	for range 6 {
		srv, _ := r.Pick(epoch, leaf0)
		is.True(srv != nil)
		r.Begin(epoch, srv)
		is.True(srv.inFlight <= 3)
	}
	_, reason := r.Pick(epoch, leaf0)
	is.Equal(reason, AllBusy)
}

func TestLocalServersArePreferredAtEqualCost(t *testing.T) {
	is := is.New(t)
	r := routers(3, 3, Options{}, shape{servers: 3, connections: 30, centres: 3}.doc())[0]
	now := epoch
	remote := 0
	for range 1000 {
		srv := call(t, r, now, leaf0, Observation{Latency: 5 * time.Millisecond})
		if srv.DataCentre != "dc0" {
			remote++
		}
		now = now.Add(10 * time.Millisecond)
	}
	is.True(remote < 10) // calls cross data centres without need
}

func TestSlowServersAreAvoided(t *testing.T) {
	is := is.New(t)
	slow := func(disabled mechanisms) int {
		r := routers(1, 1, Options{disabled: disabled}, shape{servers: 3, connections: 30}.doc())[0]
		now := epoch
		n := 0
		for range 1000 {
			srv, _ := r.Pick(now, leaf0)
			r.Begin(now, srv)
			latency := 5 * time.Millisecond
			if srv.ID == "s0-0" {
				latency = 100 * time.Millisecond
				n++
			}
			now = now.Add(latency)
			r.Done(now, srv, Observation{Latency: latency})
		}
		return n
	}
	is.True(slow(mechanisms{}) < 50)
	is.True(slow(mechanisms{scoring: true, coldStart: true}) > 250) // one third by chance
}

func TestFailedServersAreEjectedAndProbed(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 2, connections: 30}.doc())[0]
	now := epoch
	down := true
	callsToFailed := func() int {
		n := 0
		for range 1500 {
			srv, _ := r.Pick(now, leaf0)
			r.Begin(now, srv)
			o := Observation{Latency: time.Millisecond}
			if srv.ID == "s0-0" {
				n++
				if down {
					o.Result = ResultNotSent
				}
			}
			now = now.Add(10 * time.Millisecond)
			r.Done(now, srv, o)
		}
		return n
	}
	is.True(callsToFailed() < 25) // probes only
	down = false
	callsToFailed()
	is.True(callsToFailed() > 500) // back in use
}

func TestLastEjectedServerIsProbedOneCallAtATime(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 1, connections: 30}.doc())[0]
	for range 3 {
		call(t, r, epoch, leaf0, Observation{Result: ResultNotSent})
	}
	srv, reason := r.Pick(epoch, leaf0)
	is.Equal(reason, Picked)
	r.Begin(epoch, srv)
	srv, reason = r.Pick(epoch, leaf0)
	is.True(srv == nil)
	is.Equal(reason, AllBusy)
}

func TestEjectedServerIsNotProbedWhileOthersAreBusy(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 2, connections: 1}.doc())[0]
	dead := r.server("svc", "leaf0", "s0-0")
	for range 2 {
		r.Begin(epoch, dead)
		r.Done(epoch, dead, Observation{Result: ResultNotSent})
	}
	srv, _ := r.Pick(epoch, leaf0)
	is.Equal(srv.ID, "s0-1")
	r.Begin(epoch, srv)
	_, reason := r.Pick(epoch, leaf0)
	is.Equal(reason, AllBusy)
}

func TestRemovedServerKeepsItsCalls(t *testing.T) {
	is := is.New(t)
	d := shape{servers: 1, connections: 30}.doc()
	r := routers(1, 1, Options{}, d)[0]
	srv, _ := r.Pick(epoch, leaf0)
	r.Begin(epoch, srv)
	empty := shape{servers: 0, connections: 30}.doc()
	r.Apply(epoch, viewOf(r.View().Self, r.View().Hosts, empty))
	r.Done(epoch, srv, Observation{Latency: time.Millisecond})
	is.Equal(srv.inFlight, 0)
	is.Equal(r.services["svc"].stats.inFlight, 0)
}
