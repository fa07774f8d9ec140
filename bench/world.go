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

// event is a callback due at a point of virtual time. Events at the same time
// run in the order of seq.
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

// Delays of the control plane.
const (
	maxPublishDelay = time.Second
	confirmInterval = 250 * time.Millisecond
	viewValidity    = 3 * time.Second
	suspicionDelay  = 100 * time.Millisecond
)

// world is the simulated state of one run: hosts, backend servers and published
// documents.
type world struct {
	workload       Workload
	config         Config
	rnd            *rand.Rand
	now            time.Duration
	events         events
	seq            uint64
	hosts          []*host
	servers        map[string]*server
	serverList     []*server
	docs           map[string]*document.Service
	serviceNames   []string
	members        []view.Host
	hasStragglers  bool
	hidesCold      bool // cold servers do not report that they are cold
	misreportsCold bool
	platformUp     bool // false while the platform is down
	load           float64
	openQueries    map[string]*request
	commands       map[string]*callerCommand
	snapshots      map[string]document.Snapshot // by service and snapshot ID
	result         *Result
}

var epoch = time.Unix(1_800_000_000, 0)

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) after(d time.Duration, do func()) {
	w.seq++
	w.events.push(event{w.now + d, w.seq, do})
}

func (w *world) at(t time.Duration, do func()) { w.after(t-w.now, do) }

func newWorld(c Config) *world {
	w := &world{
		workload: c.Workload, config: c, rnd: rand.New(rand.NewPCG(c.Seed, 1)),
		servers: make(map[string]*server), docs: make(map[string]*document.Service),
		platformUp: true, load: c.Load, result: &Result{Reasons: make(map[string]int)},
		openQueries: make(map[string]*request), commands: make(map[string]*callerCommand), snapshots: make(map[string]document.Snapshot),
	}
	for _, d := range c.Workload.documents() {
		w.docs[d.Name] = d
		w.serviceNames = append(w.serviceNames, d.Name)
		w.snapshots[d.Name+"snap1"] = d.Snapshots[0]
		w.addServers(d)
	}
	for i := range hostCount {
		w.members = append(w.members, view.Host{ID: fmt.Sprintf("host%d", i), DataCentre: dataCentreName(i % c.Workload.DataCentres)})
	}
	for i, m := range w.members {
		w.hosts = append(w.hosts, newHost(w, i, m))
	}
	return w
}

func (w *world) addServers(d *document.Service) {
	for _, l := range d.Leaves {
		for _, s := range l.Servers {
			srv := &server{world: w, id: s.ID, leaf: l.Name, dataCentre: s.DataCentre, snapshots: make(map[string][]byte)}
			srv.loadSnapshot("snap1")
			w.servers[s.ID] = srv
			w.serverList = append(w.serverList, srv)
		}
	}
}

// runUntil executes the events that are due up to the end.
func (w *world) runUntil(end time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= end {
		e := w.events.pop()
		w.now = e.at
		e.do()
	}
}

// publish changes the documents; each host loads them after a random delay.
func (w *world) publish(change func(d *document.Service)) {
	for _, name := range w.serviceNames {
		d := *w.docs[name]
		d.Version++
		change(&d)
		w.docs[name] = &d
	}
	for _, h := range w.hosts {
		w.after(time.Duration(w.rnd.Int64N(int64(maxPublishDelay))), h.loadDocuments)
	}
}

// connectTime returns how long it takes to open a connection to the service's
// servers.
func (w *world) connectTime(service string) time.Duration {
	for _, g := range w.workload.Groups {
		if strings.HasPrefix(service, g.Name) {
			return g.ConnectTime
		}
	}
	return 0
}

func (w *world) latency(a, b string) time.Duration {
	if a == b {
		return sameDataCentreLatency
	}
	return crossDataCentreLatency
}
