package bench

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// event is something due in virtual time.
type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	(*e)[len(*e)-1] = event{}
	*e = (*e)[:len(*e)-1]
	return last
}

func (e *events) push(x event) { heap.Push(e, x) }
func (e *events) pop() event   { return heap.Pop(e).(event) }

// How news spreads.
const (
	longestPublish = time.Second
	confirmEvery   = 250 * time.Millisecond
	viewAge        = 3 * time.Second
	suspicionDelay = 100 * time.Millisecond
)

// world is one run: hosts, backend servers and what is in force.
type world struct {
	workload   Workload
	config     Config
	rnd        *rand.Rand
	now        time.Duration
	queue      events
	seq        uint64
	hosts      []*host
	servers    map[string]*server
	order      []*server
	docs       map[string]*document.Service
	names      []string
	members    []view.Host
	stragglers bool
	silent     bool // cold servers do not say so
	lying      bool
	platform   bool // false while the platform is down
	load       float64
	open       map[string]*request
	ordered    map[string]*order
	snapshots  map[string]document.Snapshot // by service and id
	result     *Result
}

var epoch = time.Unix(1_800_000_000, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	w.queue.push(event{w.now + d, w.seq, do})
}

func (w *world) at(t time.Duration, do func()) { w.after(t-w.now, do) }

func newWorld(c Config) *world {
	w := &world{
		workload: c.Workload, config: c, rnd: rand.New(rand.NewPCG(c.Seed, 1)),
		servers: make(map[string]*server), docs: make(map[string]*document.Service),
		platform: true, load: c.Load, result: &Result{Reasons: make(map[string]int)},
		open: make(map[string]*request), ordered: make(map[string]*order), snapshots: make(map[string]document.Snapshot),
	}
	for _, d := range c.Workload.documents() {
		w.docs[d.Name] = d
		w.names = append(w.names, d.Name)
		w.snapshots[d.Name+"snap1"] = d.Snapshots[0]
		w.addServers(d)
	}
	for i := range hostCount {
		w.members = append(w.members, view.Host{ID: fmt.Sprintf("host%d", i), DataCentre: zone(i % c.Workload.DataCentres)})
	}
	for i, m := range w.members {
		w.hosts = append(w.hosts, newHost(w, i, m))
	}
	return w
}

func (w *world) addServers(d *document.Service) {
	for _, l := range d.Leaves {
		for _, s := range l.Servers {
			srv := &server{world: w, id: s.ID, leaf: l.Name, zone: s.DataCentre, snapshots: make(map[string][]byte)}
			srv.load("snap1")
			w.servers[s.ID] = srv
			w.order = append(w.order, srv)
		}
	}
}

// run carries out events until the end.
func (w *world) run(end time.Duration) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := w.queue.pop()
		w.now = e.at
		e.do()
	}
}

// publish changes the documents and spreads them to the hosts.
func (w *world) publish(change func(d *document.Service)) {
	for _, name := range w.names {
		d := *w.docs[name]
		d.Version++
		change(&d)
		w.docs[name] = &d
	}
	for _, h := range w.hosts {
		w.after(time.Duration(w.rnd.Int64N(int64(longestPublish))), h.learn)
	}
}

// connect returns what a new connection to the service's servers costs.
func (w *world) connect(service string) time.Duration {
	for _, g := range w.workload.Groups {
		if strings.HasPrefix(service, g.Name) {
			return g.ConnectTime
		}
	}
	return 0
}

func (w *world) distance(a, b string) time.Duration {
	if a == b {
		return withinZone
	}
	return betweenZones
}
