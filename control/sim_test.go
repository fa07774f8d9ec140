package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// Step of the virtual time, and delays of messages between hosts and of calls
// to the platform in one direction.
const (
	step          = 10 * time.Millisecond
	messageDelay  = 5 * time.Millisecond
	platformDelay = 3 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// world simulates hosts, the platform and the network between them in virtual
// time.
type world struct {
	now     time.Time
	rand    *rand.Rand
	nodes   map[string]*node
	ids     []string
	queue   map[int64][]delivery
	stopped map[string]bool
	blocked map[[2]string]bool
	loss    float64
	// onMessage, if set, is called for each message between hosts.
	onMessage     func(from, to string, message any)
	requests      int
	platformCalls int
	activations   []activation

	// The platform: revision n is the state after the first n changes.
	changes       []configstore.Event
	changedAt     []time.Time
	readableAt    []time.Time // the latest time at which a change became readable
	platformDown  bool
	noPlatform    map[string]bool // hosts that cannot reach the platform
	staleRevision map[string]int  // the old revision that a host reads
}

// delivery is something that a host is to process.
type delivery struct {
	to  string
	run func(n *node)
}

// node is one simulated host.
type node struct {
	id, dc          string
	state           *State
	view            *view.View
	pausedUntil     time.Time
	inbox           []func(n *node)
	pending         map[uint64]requester
	token           uint64
	watchedRevision int
	learned         []CrashSuspect
	verdicts        []Verdict
	startedAt       time.Time
}

// requester identifies the sender of a request and the request's ID there.
type requester struct {
	id        string
	requestID uint64
}

// activation records that a host put a document in force.
type activation struct {
	host      string
	startedAt time.Time
	doc       *document.Service
}

func newWorld(seed uint64) *world {
	return &world{
		now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node),
		queue: make(map[int64][]delivery), stopped: make(map[string]bool), blocked: make(map[[2]string]bool),
		noPlatform: make(map[string]bool), staleRevision: make(map[string]int),
	}
}

// startFleet adds hosts to each data centre, publishes them in the host list,
// and starts them.
func (w *world) startFleet(dataCentres, perDataCentre int) {
	for c := range dataCentres {
		for i := range perDataCentre {
			w.listHost(fmt.Sprintf("h%d-%d", c, i), fmt.Sprintf("dc-%d", c), false)
		}
	}
	for c := range dataCentres {
		for i := range perDataCentre {
			w.start(fmt.Sprintf("h%d-%d", c, i), fmt.Sprintf("dc-%d", c))
		}
	}
}

// listHost publishes a host in the platform's host list.
func (w *world) listHost(id, dc string, leaving bool) {
	b, _ := json.Marshal(HostEntry{Address: address(id), DataCentre: dc, Leaving: leaving})
	w.put(configstore.PrefixHosts+id, b)
}

// addresses holds the address assigned to each host ID, hostsByAddress the
// reverse.
var addresses, hostsByAddress = make(map[string]string), make(map[string]string)

func address(id string) string {
	if addresses[id] == "" {
		n := len(addresses) + 1
		addresses[id] = fmt.Sprintf("10.0.%d.%d:1", n/256, n%256)
		hostsByAddress[addresses[id]] = id
	}
	return addresses[id]
}

// start starts a host. It replaces a running one with the same ID.
func (w *world) start(id, dc string) *node {
	n := &node{id: id, dc: dc, pending: make(map[uint64]requester), watchedRevision: -1, startedAt: w.now}
	n.state = NewState(Options{
		Self: view.Host{ID: id, Address: address(id), DataCentre: dc}, Incarnation: w.now.UnixNano(),
		Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
	})
	if w.nodes[id] == nil {
		w.ids = append(w.ids, id)
		sort.Strings(w.ids)
	}
	w.nodes[id] = n
	delete(w.stopped, id)
	return n
}

func (w *world) put(key string, value []byte) int64 {
	w.changes = append(w.changes, configstore.Event{Type: "PUT", Kv: configstore.KeyValue{Key: []byte(key), Value: value}})
	return w.assignRevision()
}

func (w *world) remove(key string) int64 {
	w.changes = append(w.changes, configstore.Event{Type: configstore.EventDelete, Kv: configstore.KeyValue{Key: []byte(key)}})
	return w.assignRevision()
}

// assignRevision sets the revisions and times of the last change.
func (w *world) assignRevision() int64 {
	last := len(w.changes) - 1
	kv := &w.changes[last].Kv
	w.changedAt = append(w.changedAt, w.now)
	w.readableAt = append(w.readableAt, w.now)
	kv.ModRevision = configstore.Int64(last + 1)
	kv.CreateRevision = kv.ModRevision
	for _, e := range w.changes[:last] {
		switch {
		case string(e.Kv.Key) != string(kv.Key):
		case e.Type == configstore.EventDelete:
			kv.CreateRevision = configstore.Int64(last + 1)
		case kv.CreateRevision == configstore.Int64(last+1):
			kv.CreateRevision = e.Kv.CreateRevision
		}
	}
	return int64(last + 1)
}

// contentsAt returns the platform's contents at a revision.
func (w *world) contentsAt(revision int) *configstore.RangeResponse {
	values := make(map[string]configstore.KeyValue)
	for _, e := range w.changes[:revision] {
		if e.Type == configstore.EventDelete {
			delete(values, string(e.Kv.Key))
		} else {
			values[string(e.Kv.Key)] = e.Kv
		}
	}
	out := &configstore.RangeResponse{Header: configstore.Header{Revision: configstore.Int64(revision)}}
	for _, kv := range values {
		out.Kvs = append(out.Kvs, kv)
	}
	return out
}

// revisionFor returns the platform's revision as a host sees it.
func (w *world) revisionFor(id string) int {
	if r, stale := w.staleRevision[id]; stale {
		return r
	}
	return len(w.changes)
}

// deliverAfter has a host process something after a delay.
func (w *world) deliverAfter(d time.Duration, to string, run func(n *node)) {
	slot := (w.now.Add(d).UnixNano() + int64(step) - 1) / int64(step)
	w.queue[slot] = append(w.queue[slot], delivery{to, run})
}

// run advances the virtual time by d. It calls the functions in each after
// every step.
func (w *world) run(d time.Duration, each ...func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		slot := w.now.UnixNano() / int64(step)
		for _, m := range w.queue[slot] {
			if n := w.nodes[m.to]; n != nil && !w.stopped[m.to] {
				n.inbox = append(n.inbox, m.run)
			}
		}
		delete(w.queue, slot)
		for _, id := range w.ids {
			if n := w.nodes[id]; !w.stopped[id] && w.now.After(n.pausedUntil) {
				w.runHost(n)
			}
		}
		for _, f := range each {
			f()
		}
	}
}

// runHost has a host process what has arrived, and carries out its actions.
func (w *world) runHost(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, f := range inbox {
		f(n)
	}
	w.runWatch(n)
	out := n.state.Tick(w.now)
	n.verdicts = append(n.verdicts, out.Verdicts...)
	n.learned = append(n.learned, out.Learn...)
	if out.View != nil {
		w.recordView(n, out.View)
	}
	if out.Read || out.Check {
		w.callPlatform(n, out.Read)
	}
	for _, req := range out.Asks {
		w.sendRequest(n, req)
	}
	for _, r := range out.Replies {
		w.sendResponse(n, r)
	}
}

// recordView puts a view in force on a host and records the documents that it
// activates.
func (w *world) recordView(n *node, v *view.View) {
	for name, doc := range v.Services {
		if n.view == nil || n.view.Services[name] != doc {
			w.activations = append(w.activations, activation{n.id, n.startedAt, doc})
		}
	}
	n.view = v
}

func (w *world) reachesPlatform(n *node) bool { return !w.platformDown && !w.noPlatform[n.id] }

// runWatch starts or stops a host's watch as its state requests, and delivers
// the changes since the last call.
func (w *world) runWatch(n *node) {
	from, ok := n.state.WatchFrom(w.now)
	if !ok || !w.reachesPlatform(n) {
		n.watchedRevision = -1
		return
	}
	if n.watchedRevision < 0 {
		n.watchedRevision = int(from) - 1
		w.platformCalls++
	}
	if until := w.revisionFor(n.id); until > n.watchedRevision {
		n.state.HandlePlatformChanges(w.changes[n.watchedRevision:until])
		n.watchedRevision = until
	}
}

func (w *world) callPlatform(n *node, read bool) {
	w.platformCalls++
	state, requestedAt := n.state, w.now
	if !w.reachesPlatform(n) {
		w.deliverAfter(CheckTimeout, n.id, func(n *node) {
			if n.state == state {
				state.HandlePlatformFailure()
			}
		})
		return
	}
	revision := w.revisionFor(n.id)
	w.deliverAfter(2*platformDelay, n.id, func(n *node) {
		switch {
		case n.state != state:
		case read:
			state.HandlePlatformContents(requestedAt, w.contentsAt(revision))
		default:
			state.HandlePlatformRevision(requestedAt, int64(revision))
		}
	})
}

// delivers reports whether the network delivers a message.
func (w *world) delivers(from, to string) bool {
	return !w.blocked[[2]string{from, to}] && !w.stopped[to] && w.nodes[to] != nil && w.rand.Float64() >= w.loss
}

func (w *world) sendRequest(n *node, out OutgoingRequest) {
	w.requests++
	state := n.state
	w.deliverAfter(out.Timeout, n.id, func(n *node) {
		if n.state == state {
			state.HandleRequestFailure(w.now, out.ID)
		}
	})
	to := hostsByAddress[out.To]
	if !w.delivers(n.id, to) {
		return
	}
	from, req := n.id, out.Ask
	if w.onMessage != nil {
		w.onMessage(from, to, req)
	}
	w.deliverAfter(messageDelay, to, func(peer *node) {
		peer.token++
		peer.pending[peer.token] = requester{from, out.ID}
		peer.state.HandleRequest(w.now, peer.token, &req)
	})
}

func (w *world) sendResponse(n *node, r Reply) {
	to := n.pending[r.Token]
	delete(n.pending, r.Token)
	if !w.delivers(n.id, to.id) {
		return
	}
	if w.onMessage != nil {
		w.onMessage(n.id, to.id, r.Answer)
	}
	w.deliverAfter(messageDelay, to.id, func(peer *node) { peer.state.HandleResponse(w.now, to.requestID, &r.Answer) })
}

// partition cuts all connections, in both directions, between the given hosts
// and all others.
func (w *world) partition(side ...string) {
	in := make(map[string]bool)
	for _, id := range side {
		in[id] = true
	}
	for _, a := range w.ids {
		for _, b := range w.ids {
			if in[a] != in[b] {
				w.blocked[[2]string{a, b}] = true
			}
		}
	}
}

func (w *world) heal() { w.blocked = make(map[[2]string]bool) }

// documentText returns a service document. The label distinguishes documents
// with the same version; out are the data centres taken out of service.
func documentText(name string, version int, label string, out ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\nversion: %d\noperations:\n- {name: search, kind: query}\n", name, version)
	b.WriteString("leaves:\n- {name: l, slots: 9, connections: 9, servers: [")
	for i, dc := range out {
		fmt.Fprintf(&b, "{id: s%d, address: \"127.0.0.1:%d\", data_centre: %s},", i, 9000+i, dc)
	}
	fmt.Fprintf(&b, "]}\ndata_centres_out: [%s]\n", strings.Join(out, ", "))
	fmt.Fprintf(&b, "snapshots:\n- {id: s-%s, partition_map: m, weights: [{leaf: l, weight: 1}]}\n", label)
	return []byte(b.String())
}

func (w *world) publish(name string, version int, label string, out ...string) int64 {
	return w.put(configstore.PrefixServices+name, documentText(name, version, label, out...))
}

// inForce returns the version and label of the document that is in force on a
// host, or "" if there is none.
func (n *node) inForce(name string) string {
	if n.view == nil || n.view.Services[name] == nil {
		return ""
	}
	doc := n.view.Services[name]
	return fmt.Sprintf("%d%s", doc.Version, strings.TrimPrefix(doc.Snapshots[0].ID, "s"))
}
