package news

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

// TestLimitReportsReachEveryHost checks that a server's request limit, its changes
// and its end reach every host, also one that starts later, and that reports of an
// unchanged limit are not repeated for ever.
func TestLimitReportsReachEveryHost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 1)
	f.store.put("server/x", "5")
	f.run(4 * time.Second)
	key := route.ServerKey{ID: "x", StartUnixMs: 5}
	limitAt := func(address string) route.RequestLimit { return f.hosts[address].state.limits[key].Limit }
	report := func(limit route.RequestLimit) {
		f.hosts[f.order[4]].state.AddLimitReports(f.now, []LimitReport{NewLimitReport(key, limit, 0)})
		f.run(testApply)
		for address := range f.hosts {
			is.Equal(limitAt(address), limit)
		}
	}
	report(route.LimitedTo(36))
	report(route.LimitedTo(4.5))
	f.run(testApply)
	for _, h := range f.hosts {
		is.Equal(len(h.state.limitReports(f.now, false)), 0)
	}
	f.startHost(f.order[0])
	f.run(testApply)
	is.Equal(limitAt(f.order[0]), route.LimitedTo(4.5))
	report(route.NoLimit)
	f.run(limitTTL + testApply)
	for _, h := range f.hosts {
		is.Equal(len(h.state.limits), 0)
	}
}

// TestLatestLimitReportCounts checks that an older report does not replace a newer
// one, whatever the order in which they arrive, and that the limits of servers that
// are gone are dropped.
func TestLatestLimitReportCounts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewState(now, Options{Address: "10.0.0.1", Decoder: testDecoder{}, ApplyWithin: testApply, Heartbeat: time.Second})
	s.ApplyRange(now, now, Answer{Items: []Item{{Key: "server/x", Value: []byte("5"), Revision: 1}}, Position: Position{Revision: 1}}, false)
	key := route.ServerKey{ID: "x", StartUnixMs: 5}
	add := func(limit route.RequestLimit, age time.Duration) {
		s.AddLimitReports(now, []LimitReport{NewLimitReport(key, limit, age)})
	}
	add(route.NoLimit, 0) // no limit was known
	is.Equal(s.LimitReports(), nil)
	add(route.LimitedTo(9), 200*time.Millisecond)
	add(route.LimitedTo(20), 300*time.Millisecond)
	is.Equal(s.LimitReports()[key].Limit, route.LimitedTo(9))
	is.Equal(s.LimitReports(), nil) // unchanged
	add(route.NoLimit, 100*time.Millisecond)
	add(route.LimitedTo(9), 150*time.Millisecond)
	is.Equal(s.LimitReports()[key].Limit, route.NoLimit)

	add(route.LimitedTo(9), 0)
	_, _ = s.Topology(now)
	now = now.Add(10 * limitTTL)
	_, _ = s.Topology(now)
	is.Equal(s.LimitReports()[key].Limit, route.LimitedTo(9)) // the server is still there
	s.ApplyWatch(now, Watch{From: s.Position(), AskedAt: now}, Answer{Items: []Item{{Key: "server/x", Revision: 2, Deleted: true}}, Position: Position{Revision: 2}})
	now = now.Add(reregisterWithin)
	_, _ = s.Topology(now)
	_, _ = s.Topology(now.Add(limitTTL + time.Second))
	is.Equal(s.LimitReports(), map[route.ServerKey]route.LimitReport{})
}
