package policy

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

func TestPortionsAddUp(t *testing.T) {
	for total := range 60 {
		for n := 1; n < 70; n++ {
			sum := 0
			for rank := range n {
				sum += portion(total, rank, n)
			}
			if sum != total {
				t.Fatalf("the parts of %d over %d hosts add up to %d", total, n, sum)
			}
		}
	}
}

// In this model the platform publishes states; each host applies them late and
// may skip some. A view is valid for modelLag from the last moment at which its
// state was the latest. Nothing else bounds the delay.
const (
	modelLag  = 3 * time.Second
	modelStep = 250 * time.Millisecond
	quietTime = 60 * time.Second
)

// published is one state of the platform.
type published struct {
	at    time.Time
	hosts []view.Host
	doc   *document.Service
}

// process is one running host in the model.
type process struct {
	host         view.Host
	router       *Router
	exitsAt      time.Time
	stateIndex   int
	stalledUntil time.Time
}

type fleetModel struct {
	t         *rapid.T
	now       time.Time
	states    []published
	processes []*process
	started   int
	limit     int
	opts      Options
	// hasRevisions is set where views hold the revision since which their host is
	// listed.
	hasRevisions bool
}

func newFleetModel(t *rapid.T, doc *document.Service, hosts, centres int, opts Options) *fleetModel {
	m := &fleetModel{t: t, now: epoch, limit: doc.Leaves[0].Connections, opts: opts}
	m.states = []published{{at: epoch, doc: doc}}
	for range hosts {
		m.start(centres)
	}
	list := m.listed()
	for _, p := range m.processes {
		list = append(list, p.host)
	}
	m.publish(list, doc)
	return m
}

func (m *fleetModel) start(centres int) *process {
	p := &process{host: view.Host{ID: fmt.Sprintf("h%03d", m.started), DataCentre: centre(m.started, centres)}}
	p.router = newTestRouter(uint64(m.started), m.opts)
	m.started++
	m.processes = append(m.processes, p)
	return p
}

func (m *fleetModel) latest() published { return m.states[len(m.states)-1] }

func (m *fleetModel) listed() []view.Host { return slices.Clone(m.latest().hosts) }

func (m *fleetModel) publish(hosts []view.Host, doc *document.Service) {
	m.states = append(m.states, published{at: m.now, hosts: hosts, doc: doc})
}

// apply gives the process the state with that index.
func (m *fleetModel) apply(p *process, state int) {
	p.stateIndex = state
	s := m.states[state]
	confirmed := m.now
	if state+1 < len(m.states) {
		confirmed = m.states[state+1].at
	}
	v := viewOf(p.host, s.hosts, s.doc)
	v.ValidUntil = confirmed.Add(modelLag)
	v.Unlisted = true
	for _, h := range s.hosts {
		v.Unlisted = v.Unlisted && h.ID != p.host.ID
	}
	if v.Unlisted {
		v.Hosts = append(slices.Clone(s.hosts), p.host)
	} else if m.hasRevisions {
		v.ListedRevision = m.listedSince(p, state)
	}
	p.router.Apply(m.now, v)
}

// listedSince returns the state that added the process to the list, as of the
// given state.
func (m *fleetModel) listedSince(p *process, state int) int64 {
	for state > 0 && slices.Contains(m.states[state-1].hosts, p.host) {
		state--
	}
	return int64(state)
}

// step advances time, lets hosts apply states late and checks the limits.
func (m *fleetModel) step(upToDate bool) {
	m.now = m.now.Add(modelStep)
	m.processes = slices.DeleteFunc(m.processes, func(p *process) bool {
		return !p.exitsAt.IsZero() && !m.now.Before(p.exitsAt)
	})
	for _, p := range m.processes {
		last := len(m.states) - 1
		switch {
		case upToDate:
			m.apply(p, last)
		case m.now.Before(p.stalledUntil):
		case rapid.IntRange(0, 9).Draw(m.t, "look") < 4:
			m.apply(p, rapid.IntRange(max(p.stateIndex, 1), last).Draw(m.t, "state"))
		}
		p.router.Advance(m.now)
	}
	m.check()
}

// heldConnections returns the connections that the fleet may hold, by server
// and in total.
func (m *fleetModel) heldConnections() (map[string]int, int) {
	by := make(map[string]int)
	all := 0
	for _, p := range m.processes {
		for _, s := range p.router.Shares() {
			by[s.Server.ID] += s.Connections
			all += s.Connections
		}
	}
	return by, all
}

func (m *fleetModel) check() {
	by, all := m.heldConnections()
	if m.latest().doc.ConnectionsOf == document.ConnectionsOfLeaf {
		if all > m.limit {
			m.t.Fatalf("%v: the leaf has %d connections, limit %d: %v\n%s", m.now.Sub(epoch), all, m.limit, by, m.describe())
		}
		return
	}
	for id, n := range by {
		if n > m.limit {
			m.t.Fatalf("%v: server %s has %d connections, limit %d\n%s", m.now.Sub(epoch), id, n, m.limit, m.describe())
		}
	}
}

// describe prints the published states and the shares of each host.
func (m *fleetModel) describe() string {
	var b strings.Builder
	for i, s := range m.states {
		fmt.Fprintf(&b, "state %d at %v:", i, s.at.Sub(epoch))
		for _, h := range s.hosts {
			fmt.Fprintf(&b, " %s", h.ID)
		}
		b.WriteByte('\n')
	}
	for _, p := range m.processes {
		fmt.Fprintf(&b, "%s in state %d counts %d:", p.host.ID, p.stateIndex, p.router.fleet.size())
		for _, s := range p.router.Shares() {
			fmt.Fprintf(&b, " %s=%d", s.Server.ID, s.Connections)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// randomEvent changes the fleet or the document.
func (m *fleetModel) randomEvent(centres int) {
	switch rapid.IntRange(0, 6).Draw(m.t, "event") {
	case 0, 1:
		p := m.start(centres)
		m.publish(append(m.listed(), p.host), m.latest().doc)
	case 2, 3:
		m.delist()
	case 4:
		if len(m.processes) == 0 {
			return
		}
		p := rapid.SampledFrom(m.processes).Draw(m.t, "stalled")
		p.stalledUntil = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(m.t, "seconds")) * time.Second)
	case 5:
		m.publish(m.listed(), m.editDocument())
	case 6:
		m.relist()
	}
}

// delist removes a host from the list. Its process may exit later or run on,
// and may be listed again.
func (m *fleetModel) delist() {
	hosts := m.listed()
	if len(hosts) < 2 {
		return
	}
	i := rapid.IntRange(0, len(hosts)-1).Draw(m.t, "delisted")
	gone := hosts[i]
	m.publish(slices.Delete(hosts, i, i+1), m.latest().doc)
	for _, p := range m.processes {
		if p.host.ID == gone.ID && rapid.Bool().Draw(m.t, "exits") {
			p.exitsAt = m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(m.t, "after")) * time.Second)
		}
	}
}

// editDocument changes whether a server is leaving, or replaces one.
func (m *fleetModel) editDocument() *document.Service {
	d := *m.latest().doc
	d.Version++
	l := d.Leaves[0]
	l.Servers = slices.Clone(l.Servers)
	i := rapid.IntRange(0, len(l.Servers)-1).Draw(m.t, "server")
	if rapid.Bool().Draw(m.t, "leave") {
		l.Servers[i].Leaving = !l.Servers[i].Leaving
	} else {
		l.Servers[i].ID += "x"
	}
	d.Leaves = []document.Leaf{l}
	return &d
}

// relist puts every running process on the list.
func (m *fleetModel) relist() {
	var hosts []view.Host
	for _, p := range m.processes {
		hosts = append(hosts, p.host)
	}
	m.publish(hosts, m.latest().doc)
}

func sharesProperty(opts Options) func(*rapid.T) {
	return func(t *rapid.T) {
		scope := rapid.SampledFrom([]document.ConnectionScope{document.ConnectionsOfLeaf, document.ConnectionsOfServer}).Draw(t, "scope")
		limit := rapid.IntRange(5, 110).Draw(t, "limit")
		centres := rapid.IntRange(1, 4).Draw(t, "centres")
		doc := shape{servers: rapid.IntRange(1, 6).Draw(t, "servers"), connections: limit, centres: centres, edit: func(d *document.Service) {
			d.ConnectionsOf = scope
		}}.doc()
		m := newFleetModel(t, doc, rapid.IntRange(1, 14).Draw(t, "hosts"), centres, opts)
		m.hasRevisions = rapid.Bool().Draw(t, "revisions")
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				m.step(false)
			}
			m.randomEvent(centres)
		}
		m.processes = slices.DeleteFunc(m.processes, func(p *process) bool { return !p.exitsAt.IsZero() })
		m.relist()
		for range int(quietTime / modelStep) {
			m.step(true)
		}
		checkUtilisation(t, m)
	}
}

// checkUtilisation checks that a fleet without changes uses most of its
// connections.
func checkUtilisation(t *rapid.T, m *fleetModel) {
	by, all := m.heldConnections()
	active := 0
	for _, s := range m.latest().doc.Leaves[0].Servers {
		if !s.Leaving {
			active++
		}
	}
	if active == 0 || len(m.processes) == 0 {
		return
	}
	want := m.limit
	if m.latest().doc.ConnectionsOf == document.ConnectionsOfServer {
		want *= active
	}
	if all*10 < want*8 {
		t.Fatalf("a quiet fleet of %d holds %d of %d connections: %v", len(m.processes), all, want, by)
	}
}

func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, sharesProperty(Options{ShareLag: modelLag}))
}

// One host learns late that another has replaced it: without the wait of the
// new host, both hold connections.
func TestNewHostsWaitForThoseTheyReplace(t *testing.T) {
	is := is.New(t)
	held := func(lag time.Duration) int {
		doc := shape{servers: 1, connections: 30}.doc()
		hosts := hostList(4, 1)
		before, after := hosts[:3], []view.Host{hosts[0], hosts[1], hosts[3]}
		sum := 0
		for i, h := range hosts {
			r := newTestRouter(uint64(i), Options{ShareLag: lag})
			r.Apply(epoch, viewOf(h, before, doc))
			if i != 2 {
				r.Apply(epoch.Add(time.Minute), viewOf(h, after, doc))
			}
			for _, s := range r.Shares() {
				sum += s.Connections
			}
		}
		return sum
	}
	is.Equal(held(0), 40) // limit 30
	is.True(held(modelLag) <= 30)
}

func TestHoldersWithMoreHostsThanConnections(t *testing.T) {
	for scope, connections := range map[document.ConnectionScope]int{
		document.ConnectionsOfLeaf:   50,
		document.ConnectionsOfServer: 6 * 50,
	} {
		t.Run(string(scope), func(t *testing.T) {
			doc := shape{servers: 6, connections: 50, centres: 6, edit: func(d *document.Service) { d.ConnectionsOf = scope }}.doc()
			testHolders(t, routers(620, 6, Options{}, doc), connections)
		})
	}
}

func testHolders(t *testing.T, all []*Router, connections int) {
	is := is.New(t)
	holders := make(map[[2]string]bool) // server and host
	for _, r := range all {
		for _, s := range r.Shares() {
			is.Equal(s.Connections, 1)
			is.Equal(s.Server.DataCentre, r.View().Self.DataCentre) // holders are in the server's data centre
			holders[[2]string{s.Server.ID, r.View().Self.ID}] = true
		}
	}
	is.Equal(len(holders), connections)
	callsThrough := make(map[string]int)
	for _, r := range all {
		srv, reason := r.Pick(epoch, leaf0)
		is.Equal(reason, Picked)
		h := r.Holder(srv)
		if h.ID == "" {
			h = r.View().Self
		}
		is.True(holders[[2]string{srv.ID, h.ID}])
		callsThrough[h.ID]++
	}
	is.True(len(callsThrough) > connections/2) // calls spread over the holders
	for _, n := range callsThrough {
		is.True(n < 5*len(all)/connections)
	}
}

func TestConcurrencySlotsAreShared(t *testing.T) {
	is := is.New(t)
	doc := shape{servers: 1, slots: 6, connections: 50, edit: func(d *document.Service) {
		d.SlotsMean = document.SlotsAreConcurrency
	}}.doc()
	sum := 0
	for _, r := range routers(9, 3, Options{}, doc) {
		srv := r.server("svc", "leaf0", "s0-0")
		if srv.share > 0 {
			sum += srv.ceiling
			continue
		}
		is.True(r.Holder(srv).ID != "")
	}
	is.Equal(sum, 6)
}

func TestSharesEndWithTheView(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(1, Options{ShareLag: time.Second})
	h := hostList(1, 1)
	v := viewOf(h[0], h, shape{servers: 1, connections: 10}.doc())
	v.ValidUntil = epoch.Add(10 * time.Second)
	r.Apply(epoch, v)
	is.Equal(len(r.Shares()), 0) // a new host waits
	is.True(!r.Advance(epoch.Add(time.Second)))
	is.True(r.Advance(epoch.Add(2 * time.Second)))
	is.Equal(r.Shares()[0].Connections, 10)
	is.True(r.Advance(epoch.Add(10 * time.Second)))
	is.Equal(len(r.Shares()), 0)
	back := epoch.Add(10 * time.Second)
	_, reason := r.Pick(back, PickInfo{Service: "svc", Leaf: "leaf0"})
	is.Equal(reason, StaleView)

	// Other hosts may have removed this host from the list and taken over its
	// share.
	renewed := *v
	renewed.ValidUntil = back.Add(time.Hour)
	r.Renew(&renewed)
	r.Advance(back)
	is.Equal(len(r.Shares()), 0)
	is.True(r.Advance(back.Add(2 * time.Second)))
	is.Equal(len(r.Shares()), 1)
}

func TestHostThatStayedListedKeepsItsShare(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(1, Options{ShareLag: time.Second})
	h := hostList(1, 1)
	v := viewOf(h[0], h, shape{servers: 1, connections: 10}.doc())
	v.ListedRevision = 7
	v.ValidUntil = epoch.Add(10 * time.Second)
	r.Apply(epoch, v)
	r.Advance(epoch.Add(10 * time.Second))
	renewed := *v
	renewed.ValidUntil = epoch.Add(time.Hour)
	r.Renew(&renewed)
	is.True(r.Advance(epoch.Add(11 * time.Second)))
	is.Equal(r.Shares()[0].Connections, 10)
}
