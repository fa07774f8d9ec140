package news

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

// TestDrainingSinceCountsFromLastKnownAbsence guards against counting a server's
// drain from when the change arrives here. It counts from the last time at which
// the store is known not to have held the change, however late the change arrives.
func TestDrainingSinceCountsFromLastKnownAbsence(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewState(now, Options{Address: "10.0.0.1", Decoder: testDecoder{}, ApplyWithin: testApply, Heartbeat: time.Second})
	since := func(id string) time.Time {
		topology, _ := s.Topology(now)
		for _, v := range topology.Servers {
			if v.ID == id {
				return v.DrainingSince
			}
		}
		t.Fatalf("no server %s", id)
		return time.Time{}
	}
	evacuatedSince := func() time.Time {
		topology, _ := s.Topology(now)
		return topology.Evacuated["b"]
	}
	s.ApplyRange(now, now, Answer{Items: []Item{
		{Key: "server/x", Value: []byte("5"), Revision: 1}, {Key: "server/old", Value: []byte("-5"), Revision: 2},
		{Key: "server/y", Value: []byte("5"), Revision: 3}, {Key: "out/b", Value: []byte("{}"), Revision: 4},
	}, Position: Position{Revision: 4}}, false)
	is.True(since("old").IsZero()) // it may have been draining for long
	is.True(evacuatedSince().IsZero())
	first := now

	now = now.Add(700 * time.Millisecond)
	s.ApplyWatch(now, Watch{From: s.Position(), AskedAt: now}, Answer{Items: []Item{{Key: "server/x", Value: []byte("-5"), Revision: 5}, {Key: "out/b", Revision: 6, Deleted: true}}, Position: Position{Revision: 6}})
	is.Equal(since("x"), first)
	second := now

	now = now.Add(time.Second)
	s.ApplyUpdate(now, time.Time{}, &Update{Revision: 8, AgeMs: 0, Items: []Item{ // pushed
		{Key: "server/x", Value: []byte("-5"), Revision: 7}, {Key: "out/b", Value: []byte("{}"), Revision: 8},
	}})
	is.Equal(since("x"), first)        // unchanged
	is.Equal(evacuatedSince(), second) // a second evacuation

	now = now.Add(time.Second)
	s.ApplyUpdate(now, now, &Update{Revision: 12, AgeMs: 300, Items: []Item{
		{Key: "server/x", Value: []byte("-6"), Revision: 9}, {Key: "server/y", Revision: 10, Deleted: true},
		{Key: "out/b", Value: []byte("{}"), Revision: 11}, {Key: "server/z", Value: []byte("-1"), Revision: 12},
	}})
	is.Equal(since("x"), second) // another incarnation
	is.Equal(since("z"), second)
	is.Equal(evacuatedSince(), second)
	s.ApplyWatch(now, Watch{From: s.Position(), AskedAt: now}, Answer{Items: []Item{{Key: "server/y", Value: []byte("-5"), Revision: 13}}, Position: Position{Revision: 13}})
	is.True(since("y").IsZero()) // it had been removed before
}

// TestLeavingReportsReachEveryHost checks that a server's announcement that it
// is leaving reaches every host, is valid for that incarnation only, and is no
// longer relayed once the server's entry says that it is draining.
func TestLeavingReportsReachEveryHost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 1)
	f.store.put("server/x", "5")
	f.run(4 * time.Second)
	isLeaving := func(address string) bool {
		topology, _ := f.hosts[address].state.Topology(f.now)
		return len(topology.Servers) == 1 && !topology.Servers[0].LeavingNoticeAt.IsZero()
	}
	var one *testHost
	for _, h := range f.hosts {
		one = h
	}
	one.state.AddLeavingReports(f.now, []LeavingReport{NewLeavingReport(route.ServerKey{ID: "x", StartUnixMs: 5}, 0), NewLeavingReport(route.ServerKey{ID: "x", StartUnixMs: 4}, 0)})
	f.run(testApply)
	for address := range f.hosts {
		is.True(isLeaving(address))
	}
	f.startHost(f.order[0]) // a restarted host gets it from the others
	f.run(testApply)
	is.True(isLeaving(f.order[0]))

	f.store.put("server/x", "-5")
	f.run(testApply)
	for _, h := range f.hosts {
		is.Equal(len(h.state.leavingReports(f.now)), 0)
	}
	f.store.put("server/x", "6") // the server's next incarnation
	f.run(testApply)
	for address := range f.hosts {
		is.True(!isLeaving(address))
	}
	f.run(leavingReportTTL)
	for _, h := range f.hosts {
		_, _ = h.state.Topology(f.now)
		is.Equal(len(h.state.leaving), 0)
	}
}
