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
				t.Fatalf("%d over %d sums to %d", total, n, sum)
			}
		}
	}
}

// The model: the platform publishes states; each host applies them late and
// may skip some. A view is valid for shareLag from the last moment at which
// its state was the newest. That is the only bound on lateness.
const (
	modelLag  = 3 * time.Second
	modelStep = 250 * time.Millisecond
	calmTime  = 60 * time.Second
)

// published is one state of the platform.
type published struct {
	at    time.Time
	hosts []view.Host
	doc   *document.Service
}

// process is one running host in the model.
type process struct {
	host   view.Host
	router *Router
	dies   time.Time
	state  int
	blind  time.Time
}

type fleetModel struct {
	t      *rapid.T
	now    time.Time
	states []published
	alive  []*process
	born   int
	limit  int
	opts   Options
	// revisions is set where views tell since when their host is listed.
	revisions bool
}

func newFleetModel(t *rapid.T, doc *document.Service, hosts, centres int, opts Options) *fleetModel {
	m := &fleetModel{t: t, now: epoch, limit: doc.Leaves[0].Connections, opts: opts}
	m.states = []published{{at: epoch, doc: doc}}
	for range hosts {
		m.start(centres)
	}
	list := m.listed()
	for _, p := range m.alive {
		list = append(list, p.host)
	}
	m.publish(list, doc)
	return m
}

func (m *fleetModel) start(centres int) *process {
	p := &process{host: view.Host{ID: fmt.Sprintf("h%03d", m.born), DataCentre: centre(m.born, centres)}}
	p.router = newTestRouter(uint64(m.born), m.opts)
	m.born++
	m.alive = append(m.alive, p)
	return p
}

func (m *fleetModel) newest() published { return m.states[len(m.states)-1] }

func (m *fleetModel) listed() []view.Host { return slices.Clone(m.newest().hosts) }

func (m *fleetModel) publish(hosts []view.Host, doc *document.Service) {
	m.states = append(m.states, published{at: m.now, hosts: hosts, doc: doc})
}

// apply gives the process the state with that index.
func (m *fleetModel) apply(p *process, state int) {
	p.state = state
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
	} else if m.revisions {
		v.ListedRevision = m.listedSince(p, state)
	}
	p.router.Apply(m.now, v)
}

// listedSince returns the state that put the process on the list as of state.
func (m *fleetModel) listedSince(p *process, state int) int64 {
	for state > 0 && slices.Contains(m.states[state-1].hosts, p.host) {
		state--
	}
	return int64(state)
}

// step moves time on, lets hosts see news late and checks the limits.
func (m *fleetModel) step(prompt bool) {
	m.now = m.now.Add(modelStep)
	m.alive = slices.DeleteFunc(m.alive, func(p *process) bool {
		return !p.dies.IsZero() && !m.now.Before(p.dies)
	})
	for _, p := range m.alive {
		last := len(m.states) - 1
		switch {
		case prompt:
			m.apply(p, last)
		case m.now.Before(p.blind):
		case rapid.IntRange(0, 9).Draw(m.t, "look") < 4:
			m.apply(p, rapid.IntRange(max(p.state, 1), last).Draw(m.t, "state"))
		}
		p.router.Advance(m.now)
	}
	m.check()
}

// held returns the connections that the fleet may hold, by server and in all.
func (m *fleetModel) held() (map[string]int, int) {
	by := make(map[string]int)
	all := 0
	for _, p := range m.alive {
		for _, s := range p.router.Shares() {
			by[s.Server.ID] += s.Connections
			all += s.Connections
		}
	}
	return by, all
}

func (m *fleetModel) check() {
	by, all := m.held()
	if m.newest().doc.ConnectionsOf == document.ConnectionsOfLeaf {
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

// describe tells what each host counts.
func (m *fleetModel) describe() string {
	var b strings.Builder
	for i, s := range m.states {
		fmt.Fprintf(&b, "state %d at %v:", i, s.at.Sub(epoch))
		for _, h := range s.hosts {
			fmt.Fprintf(&b, " %s", h.ID)
		}
		b.WriteByte('\n')
	}
	for _, p := range m.alive {
		fmt.Fprintf(&b, "%s in state %d counts %d:", p.host.ID, p.state, p.router.fleet.size())
		for _, s := range p.router.Shares() {
			fmt.Fprintf(&b, " %s=%d", s.Server.ID, s.Connections)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// disturb makes one change of the fleet or of the document.
func (m *fleetModel) disturb(centres int) {
	switch rapid.IntRange(0, 6).Draw(m.t, "event") {
	case 0, 1:
		p := m.start(centres)
		m.publish(append(m.listed(), p.host), m.newest().doc)
	case 2, 3:
		m.delist()
	case 4:
		if len(m.alive) == 0 {
			return
		}
		p := rapid.SampledFrom(m.alive).Draw(m.t, "blind")
		p.blind = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(m.t, "seconds")) * time.Second)
	case 5:
		m.publish(m.listed(), m.edit())
	case 6:
		m.relist()
	}
}

// delist takes a host off the list; its process may live on for a while, or
// for good, and may be listed again.
func (m *fleetModel) delist() {
	hosts := m.listed()
	if len(hosts) < 2 {
		return
	}
	i := rapid.IntRange(0, len(hosts)-1).Draw(m.t, "delisted")
	gone := hosts[i]
	m.publish(slices.Delete(hosts, i, i+1), m.newest().doc)
	for _, p := range m.alive {
		if p.host.ID == gone.ID && rapid.Bool().Draw(m.t, "dies") {
			p.dies = m.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(m.t, "after")) * time.Second)
		}
	}
}

// edit takes a server out or brings it back, or replaces one.
func (m *fleetModel) edit() *document.Service {
	d := *m.newest().doc
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
	for _, p := range m.alive {
		hosts = append(hosts, p.host)
	}
	m.publish(hosts, m.newest().doc)
}

func shareProperty(opts Options) func(*rapid.T) {
	return func(t *rapid.T) {
		reading := rapid.SampledFrom([]document.ConnectionReading{document.ConnectionsOfLeaf, document.ConnectionsOfServer}).Draw(t, "reading")
		limit := rapid.IntRange(5, 110).Draw(t, "limit")
		centres := rapid.IntRange(1, 4).Draw(t, "centres")
		doc := shape{servers: rapid.IntRange(1, 6).Draw(t, "servers"), connections: limit, centres: centres, edit: func(d *document.Service) {
			d.ConnectionsOf = reading
		}}.doc()
		m := newFleetModel(t, doc, rapid.IntRange(1, 14).Draw(t, "hosts"), centres, opts)
		m.revisions = rapid.Bool().Draw(t, "revisions")
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			for range rapid.IntRange(0, 40).Draw(t, "steps") {
				m.step(false)
			}
			m.disturb(centres)
		}
		m.alive = slices.DeleteFunc(m.alive, func(p *process) bool { return !p.dies.IsZero() })
		m.relist()
		for range int(calmTime / modelStep) {
			m.step(true)
		}
		checkUse(t, m)
	}
}

// checkUse demands that a quiet fleet uses what it may.
func checkUse(t *rapid.T, m *fleetModel) {
	by, all := m.held()
	active := 0
	for _, s := range m.newest().doc.Leaves[0].Servers {
		if !s.Leaving {
			active++
		}
	}
	if active == 0 || len(m.alive) == 0 {
		return
	}
	want := m.limit
	if m.newest().doc.ConnectionsOf == document.ConnectionsOfServer {
		want *= active
	}
	if all*10 < want*8 {
		t.Fatalf("a quiet fleet of %d holds %d of %d connections: %v", len(m.alive), all, want, by)
	}
}

func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, shareProperty(Options{ShareLag: modelLag}))
}

// One host learns late that another has taken its place: without the wait
// both hold connections.
func TestNewcomersWaitForTheHostsBeforeThem(t *testing.T) {
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

func TestManyHostsShareThroughHolders(t *testing.T) {
	for reading, connections := range map[document.ConnectionReading]int{
		document.ConnectionsOfLeaf:   50,
		document.ConnectionsOfServer: 6 * 50,
	} {
		t.Run(string(reading), func(t *testing.T) {
			doc := shape{servers: 6, connections: 50, centres: 6, edit: func(d *document.Service) { d.ConnectionsOf = reading }}.doc()
			testHolders(t, routers(620, 6, Options{}, doc), connections)
		})
	}
}

func testHolders(t *testing.T, all []*Router, connections int) {
	is := is.New(t)
	holds := make(map[[2]string]bool) // server and host
	for _, r := range all {
		for _, s := range r.Shares() {
			is.Equal(s.Connections, 1)
			is.Equal(s.Server.DataCentre, r.View().Self.DataCentre) // holders stand beside the server
			holds[[2]string{s.Server.ID, r.View().Self.ID}] = true
		}
	}
	is.Equal(len(holds), connections)
	asked := make(map[string]int)
	for _, r := range all {
		srv, reason := r.Pick(epoch, leaf0)
		is.Equal(reason, Picked)
		h := r.Holder(srv)
		if h.ID == "" {
			h = r.View().Self
		}
		is.True(holds[[2]string{srv.ID, h.ID}])
		asked[h.ID]++
	}
	is.True(len(asked) > connections/2) // calls spread over the holders
	for _, n := range asked {
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

func TestShareOfAnInvalidViewIsDropped(t *testing.T) {
	is := is.New(t)
	r := newTestRouter(1, Options{ShareLag: time.Second})
	h := hostList(1, 1)
	v := viewOf(h[0], h, shape{servers: 1, connections: 10}.doc())
	v.ValidUntil = epoch.Add(10 * time.Second)
	r.Apply(epoch, v)
	is.Equal(len(r.Shares()), 0) // a newcomer waits
	is.True(!r.Advance(epoch.Add(time.Second)))
	is.True(r.Advance(epoch.Add(2 * time.Second)))
	is.Equal(r.Shares()[0].Connections, 10)
	is.True(r.Advance(epoch.Add(10 * time.Second)))
	is.Equal(len(r.Shares()), 0)
	back := epoch.Add(10 * time.Second)
	_, reason := r.Pick(back, PickInfo{Service: "svc", Leaf: "leaf0"})
	is.Equal(reason, StaleView)

	// Others may have taken this host off the list and given its share away.
	renewed := *v
	renewed.ValidUntil = back.Add(time.Hour)
	r.Renew(&renewed)
	r.Advance(back)
	is.Equal(len(r.Shares()), 0)
	is.True(r.Advance(back.Add(2 * time.Second)))
	is.Equal(len(r.Shares()), 1)
}

func TestAHostThatStayedListedKeepsItsShare(t *testing.T) {
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
