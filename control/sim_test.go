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

// step of the virtual time, and delay of a message between hosts.
const (
	step     = 10 * time.Millisecond
	oneWay   = 5 * time.Millisecond
	readTime = 3 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// world is some hosts, the platform and the network between them, in virtual
// time.
type world struct {
	now   time.Time
	rand  *rand.Rand
	nodes map[string]*node
	ids   []string
	queue map[int64][]delivery
	dead  map[string]bool
	cuts  map[[2]string]bool
	loss  float64
	// sent is told of each message between hosts, if set.
	sent   func(from, to string, message any)
	asks   int
	calls  int
	events []observed

	// The platform: revision n is the state after the first n changes.
	changes  []configstore.Event
	changed  []time.Time
	readable []time.Time // when a change could be read at the latest
	down     bool
	deafTo   map[string]bool // hosts that cannot reach the platform
	staleFor map[string]int  // hosts that read an old revision
}

type delivery struct {
	to  string
	run func(n *node)
}

type node struct {
	id, dc   string
	state    *State
	view     *view.View
	paused   time.Time
	inbox    []func(n *node)
	pending  map[uint64]asker
	token    uint64
	watch    int
	learned  []CrashSuspect
	verdicts []Verdict
	born     time.Time
}

type asker struct {
	id  string
	ask uint64
}

// observed is a document that a host put in force, one after the other.
type observed struct {
	host string
	born time.Time
	doc  *document.Service
}

func newWorld(seed uint64) *world {
	return &world{
		now: epoch, rand: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*node),
		queue: make(map[int64][]delivery), dead: make(map[string]bool), cuts: make(map[[2]string]bool),
		deafTo: make(map[string]bool), staleFor: make(map[string]int),
	}
}

// fleet adds hosts to each data centre, lists them, and starts them.
func (w *world) fleet(centres, perCentre int) {
	for c := range centres {
		for i := range perCentre {
			w.list(fmt.Sprintf("h%d-%d", c, i), fmt.Sprintf("dc-%d", c), false)
		}
	}
	for c := range centres {
		for i := range perCentre {
			w.start(fmt.Sprintf("h%d-%d", c, i), fmt.Sprintf("dc-%d", c))
		}
	}
}

func (w *world) list(id, dc string, leaving bool) {
	b, _ := json.Marshal(HostEntry{Address: address(id), DataCentre: dc, Leaving: leaving})
	w.put(configstore.PrefixHosts+id, b)
}

// addresses gives each id an IP number and port of its own.
var addresses, names = make(map[string]string), make(map[string]string)

func address(id string) string {
	if addresses[id] == "" {
		n := len(addresses) + 1
		addresses[id] = fmt.Sprintf("10.0.%d.%d:1", n/256, n%256)
		names[addresses[id]] = id
	}
	return addresses[id]
}

// start runs a host, in place of one with the same id.
func (w *world) start(id, dc string) *node {
	n := &node{id: id, dc: dc, pending: make(map[uint64]asker), watch: -1, born: w.now}
	n.state = NewState(Options{
		Self: view.Host{ID: id, Address: address(id), DataCentre: dc}, Incarnation: w.now.UnixNano(),
		Rand: rand.New(rand.NewPCG(w.rand.Uint64(), 2)),
	})
	if w.nodes[id] == nil {
		w.ids = append(w.ids, id)
		sort.Strings(w.ids)
	}
	w.nodes[id] = n
	delete(w.dead, id)
	return n
}

func (w *world) put(key string, value []byte) int64 {
	w.changes = append(w.changes, configstore.Event{Type: "PUT", Kv: configstore.KeyValue{Key: []byte(key), Value: value}})
	return w.stamp()
}

func (w *world) del(key string) int64 {
	w.changes = append(w.changes, configstore.Event{Type: configstore.EventDelete, Kv: configstore.KeyValue{Key: []byte(key)}})
	return w.stamp()
}

func (w *world) stamp() int64 {
	last := len(w.changes) - 1
	kv := &w.changes[last].Kv
	w.changed = append(w.changed, w.now)
	w.readable = append(w.readable, w.now)
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

// at returns what the platform held at a revision.
func (w *world) at(revision int) *configstore.RangeResponse {
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

func (w *world) revisionFor(id string) int {
	if r, stale := w.staleFor[id]; stale {
		return r
	}
	return len(w.changes)
}

func (w *world) after(d time.Duration, to string, run func(n *node)) {
	slot := (w.now.Add(d).UnixNano() + int64(step) - 1) / int64(step)
	w.queue[slot] = append(w.queue[slot], delivery{to, run})
}

// run lets time pass; each is called after every step.
func (w *world) run(d time.Duration, each ...func()) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		slot := w.now.UnixNano() / int64(step)
		for _, m := range w.queue[slot] {
			if n := w.nodes[m.to]; n != nil && !w.dead[m.to] {
				n.inbox = append(n.inbox, m.run)
			}
		}
		delete(w.queue, slot)
		for _, id := range w.ids {
			if n := w.nodes[id]; !w.dead[id] && w.now.After(n.paused) {
				w.turn(n)
			}
		}
		for _, f := range each {
			f()
		}
	}
}

// turn lets a host take in what has arrived and act.
func (w *world) turn(n *node) {
	inbox := n.inbox
	n.inbox = nil
	for _, f := range inbox {
		f(n)
	}
	w.watchFor(n)
	out := n.state.Tick(w.now)
	n.verdicts = append(n.verdicts, out.Verdicts...)
	n.learned = append(n.learned, out.Learn...)
	if out.View != nil {
		w.observe(n, out.View)
	}
	if out.Read || out.Check {
		w.callPlatform(n, out.Read)
	}
	for _, q := range out.Asks {
		w.carry(n, q)
	}
	for _, r := range out.Replies {
		w.reply(n, r)
	}
}

func (w *world) observe(n *node, v *view.View) {
	for name, doc := range v.Services {
		if n.view == nil || n.view.Services[name] != doc {
			w.events = append(w.events, observed{n.id, n.born, doc})
		}
	}
	n.view = v
}

func (w *world) reaches(n *node) bool { return !w.down && !w.deafTo[n.id] }

func (w *world) watchFor(n *node) {
	from, ok := n.state.WatchFrom(w.now)
	if !ok || !w.reaches(n) {
		n.watch = -1
		return
	}
	if n.watch < 0 {
		n.watch = int(from) - 1
		w.calls++
	}
	if until := w.revisionFor(n.id); until > n.watch {
		n.state.HandlePlatformChanges(w.changes[n.watch:until])
		n.watch = until
	}
}

func (w *world) callPlatform(n *node, read bool) {
	w.calls++
	state, asked := n.state, w.now
	if !w.reaches(n) {
		w.after(CheckTimeout, n.id, func(n *node) {
			if n.state == state {
				state.HandlePlatformFailure()
			}
		})
		return
	}
	revision := w.revisionFor(n.id)
	w.after(2*readTime, n.id, func(n *node) {
		switch {
		case n.state != state:
		case read:
			state.HandlePlatformContents(asked, w.at(revision))
		default:
			state.HandlePlatformRevision(asked, int64(revision))
		}
	})
}

// passes reports whether a message gets through.
func (w *world) passes(from, to string) bool {
	return !w.cuts[[2]string{from, to}] && !w.dead[to] && w.nodes[to] != nil && w.rand.Float64() >= w.loss
}

func (w *world) carry(n *node, q OutgoingRequest) {
	w.asks++
	state := n.state
	w.after(q.Timeout, n.id, func(n *node) {
		if n.state == state {
			state.HandleRequestFailure(w.now, q.ID)
		}
	})
	to := names[q.To]
	if !w.passes(n.id, to) {
		return
	}
	from, ask := n.id, q.Ask
	if w.sent != nil {
		w.sent(from, to, ask)
	}
	w.after(oneWay, to, func(peer *node) {
		peer.token++
		peer.pending[peer.token] = asker{from, q.ID}
		peer.state.HandleRequest(w.now, peer.token, &ask)
	})
}

func (w *world) reply(n *node, r Reply) {
	to := n.pending[r.Token]
	delete(n.pending, r.Token)
	if !w.passes(n.id, to.id) {
		return
	}
	if w.sent != nil {
		w.sent(n.id, to.id, r.Answer)
	}
	w.after(oneWay, to.id, func(peer *node) { peer.state.HandleResponse(w.now, to.ask, &r.Answer) })
}

// split cuts the hosts of one side off from all others, both ways.
func (w *world) split(side ...string) {
	in := make(map[string]bool)
	for _, id := range side {
		in[id] = true
	}
	for _, a := range w.ids {
		for _, b := range w.ids {
			if in[a] != in[b] {
				w.cuts[[2]string{a, b}] = true
			}
		}
	}
}

func (w *world) heal() { w.cuts = make(map[[2]string]bool) }

// text is a document of a service; note tells documents of one version apart.
func text(name string, version int, note string, out ...string) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\nversion: %d\noperations:\n- {name: search, kind: query}\n", name, version)
	b.WriteString("leaves:\n- {name: l, slots: 9, connections: 9, servers: [")
	for i, dc := range out {
		fmt.Fprintf(&b, "{id: s%d, address: \"127.0.0.1:%d\", data_centre: %s},", i, 9000+i, dc)
	}
	fmt.Fprintf(&b, "]}\ndata_centres_out: [%s]\n", strings.Join(out, ", "))
	fmt.Fprintf(&b, "snapshots:\n- {id: s-%s, partition_map: m, weights: [{leaf: l, weight: 1}]}\n", note)
	return []byte(b.String())
}

func (w *world) publish(name string, version int, note string, out ...string) int64 {
	return w.put(configstore.PrefixServices+name, text(name, version, note, out...))
}

// inForce returns version and note of the document that a host holds, or "".
func (n *node) inForce(name string) string {
	if n.view == nil || n.view.Services[name] == nil {
		return ""
	}
	doc := n.view.Services[name]
	return fmt.Sprintf("%d%s", doc.Version, strings.TrimPrefix(doc.Snapshots[0].ID, "s"))
}
