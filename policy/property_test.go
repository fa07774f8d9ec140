package policy

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// In any order of events, no call goes to a server that is out or leaving or
// was tried before, beyond a limit, or on an expired view.
func TestPicksFollowTheView(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPickModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"apply": m.apply, "pick": m.pick, "done": m.done, "wait": m.advance, "": m.check,
		})
	})
}

type pickModel struct {
	router     *Router
	now        time.Time
	doc        *document.Service
	hosts      []view.Host
	validUntil time.Time
	running    []*Server
}

func newPickModel(t *rapid.T) *pickModel {
	m := &pickModel{router: newTestRouter(rapid.Uint64().Draw(t, "seed"), Options{ShareLag: time.Second}), now: epoch}
	m.apply(t)
	return m
}

func (m *pickModel) apply(t *rapid.T) {
	m.hosts = hostList(rapid.IntRange(1, 5).Draw(t, "hosts"), 2)
	m.doc = shape{leaves: 2, servers: 4, connections: 12, centres: 2, edit: func(d *document.Service) {
		d.DataCentresOut = rapid.SampledFrom([][]string{nil, {"dc0"}, {"dc1"}, {"dc0", "dc1"}}).Draw(t, "out")
		d.ConnectionsOf = rapid.SampledFrom([]document.ConnectionScope{document.ConnectionsOfLeaf, document.ConnectionsOfServer}).Draw(t, "scope")
		for i := range d.Leaves[0].Servers {
			d.Leaves[0].Servers[i].Leaving = rapid.Bool().Draw(t, "leaving")
		}
		d.Leaves[1].Servers = d.Leaves[1].Servers[rapid.IntRange(0, 4).Draw(t, "gone"):]
	}}.doc()
	m.validUntil = m.now.Add(time.Duration(rapid.IntRange(0, 5).Draw(t, "valid")) * time.Second)
	v := viewOf(m.hosts[0], m.hosts, m.doc)
	v.ValidUntil = m.validUntil
	m.router.Apply(m.now, v)
}

func (m *pickModel) pick(t *rapid.T) {
	leafName := rapid.SampledFrom([]string{"leaf0", "leaf1"}).Draw(t, "leaf")
	l := m.router.services["svc"].leaves[leafName]
	p := PickInfo{Service: "svc", Leaf: leafName, Hedge: rapid.Bool().Draw(t, "hedge"), Fingerprint: rapid.Uint64Range(0, 3).Draw(t, "request")}
	for _, srv := range l.servers {
		if rapid.Bool().Draw(t, "tried") {
			p.Tried = append(p.Tried, srv)
		}
	}
	srv, reason := m.router.Pick(m.now, p)
	if srv == nil {
		if reason == Picked {
			t.Fatal("no server and no reason")
		}
		return
	}
	d := *m.doc.Leaf(leafName)
	i := slices.IndexFunc(d.Servers, srv.matches)
	switch {
	case !m.now.Before(m.validUntil):
		t.Fatal("picked a server on an expired view")
	case i < 0 || d.Servers[i].Leaving || m.doc.IsDataCentreOut(srv.DataCentre):
		t.Fatalf("picked %s, which may not get new work", srv.ID)
	case contains(p.Tried, srv):
		t.Fatalf("picked %s, which was tried before", srv.ID)
	case srv.share == 0 && m.router.Holder(srv).ID == "":
		t.Fatalf("picked %s, which this host reaches neither directly nor through a holder", srv.ID)
	}
	m.router.Begin(m.now, srv)
	m.running = append(m.running, srv)
	if srv.inFlight > srv.ceiling {
		t.Fatalf("%d calls in flight to %s, limit %d", srv.inFlight, srv.ID, srv.ceiling)
	}
}

func (m *pickModel) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "call")
	srv := m.running[i]
	m.running = slices.Delete(m.running, i, i+1)
	m.router.Done(m.now, srv, Observation{
		Result:      Result(rapid.IntRange(int(ResultOK), int(ResultInconclusive)).Draw(t, "result")),
		Latency:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond,
		Cold:        rapid.Bool().Draw(t, "cold"),
		Fingerprint: rapid.Uint64Range(0, 3).Draw(t, "request"),
	})
}

func (m *pickModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
	m.router.Advance(m.now)
}

// check compares the Router's counts with the calls in progress.
func (m *pickModel) check(t *rapid.T) {
	if n := m.router.services["svc"].stats.inFlight; n != len(m.running) {
		t.Fatalf("%d calls counted, %d in progress", n, len(m.running))
	}
	for _, reason := range []Reason{AllBusy, AllCold, AllOut, CrashSuspect, StaleView} {
		if d := m.router.Backoff(m.now, "svc", reason); d <= 0 || d > 2*firstRefusal {
			t.Fatalf("backoff of %v for %s", d, reason)
		}
	}
}
