package command_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
)

// Times of the world, all virtual.
const (
	lifetime  = 8 * time.Second
	tickEvery = 500 * time.Millisecond
	viewAge   = 3 * time.Second
	slowest   = 300 * time.Millisecond // of one message, unless it is held up
	settled   = 2 * time.Minute        // after which nothing is under way
)

// planted switches a mechanism off, to see that the checks notice.
type planted struct {
	sameIdentity bool // a replaced process keeps incarnation and key
	noGuard      bool // carriers write without asking the guard
	lyingCarrier bool // carriers call a broken connection not sent
	lyingEntry   bool // an unhandled sending is told as not_run of the ticket
}

// world is a few hosts, backend servers and callers in virtual time.
type world struct {
	rand    *rand.Rand
	planted planted
	doc     *document.Service
	now     time.Time
	events  eventQueue
	seq     int
	hosts   []*host
	cuts    map[[2]int]time.Time
	tickets []*ticket
	ops     []*op
	runs    []execution
	faults  []error
	// crossed is an answer of a peer to some earlier command.
	crossed command.Finish
	calls   leafcall.ID
}

// host is one place for a process; replacing it starts another process.
type host struct {
	index  int
	id     string
	engine *command.Engine
	router *policy.Router
	paused time.Time
	stale  time.Time
	epoch  int
	routes map[command.WaiterID]func(command.Finish)
}

type ticket struct{ text string }

// op is one sending of a ticket by a caller.
type op struct {
	ticket, variant int
	called, ended   time.Time
	finish          *command.Finish
}

// execution is one run of a command on a backend server.
type execution struct {
	Ticket, Variant int
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}

const oneLeaf = `
service: booking
version: 1
operations:
- {name: book, kind: command, deadline: 5s}
leaves:
- name: leaf-0
  slots: 3
  connections: 300
  servers:
  - {id: s0, address: "127.0.0.1:1", data_centre: dc-0}
  - {id: s1, address: "127.0.0.1:2", data_centre: dc-1}
  - {id: s2, address: "127.0.0.1:3", data_centre: dc-2}
snapshots:
- {id: monday, partition_map: map-1, weights: [{leaf: leaf-0, weight: 1}]}
`

func newWorld(seed uint64, p planted) *world {
	doc, err := document.Parse([]byte(oneLeaf))
	if err != nil {
		panic(err)
	}
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 1)), planted: p, doc: doc,
		now: time.Unix(1_700_000_000, 0), cuts: make(map[[2]int]time.Time),
	}
	for i := range 3 {
		w.hosts = append(w.hosts, &host{index: i})
		w.replace(i, false)
	}
	return w
}

// replace starts a new process in the place of a host, maybe under a new id.
func (w *world) replace(i int, rename bool) {
	h := w.hosts[i]
	epoch := h.epoch + 1
	if h.id == "" || rename {
		h.id = fmt.Sprintf("host-%d-%d", i, epoch)
	}
	identity := fmt.Sprintf("%d-%d", i, epoch)
	if w.planted.sameIdentity {
		identity = fmt.Sprint(i)
	}
	router := policy.NewRouter(policy.Options{Rand: w.rand})
	next := *h
	next.epoch, next.router, next.paused, next.stale = epoch, router, time.Time{}, time.Time{}
	next.routes = make(map[command.WaiterID]func(command.Finish))
	next.engine = command.NewEngine(command.Options{
		Router: router, NextCall: func() leafcall.ID { w.calls++; return w.calls },
		Host: h.id, Key: []byte(identity), Incarnation: identity, Lifetime: lifetime,
	})
	h.epoch = -1 // events of the old process go nowhere
	w.hosts[i] = &next
	w.publish(&next)
	w.tick(&next)
}

// publish gives the host the view as it now is.
func (w *world) publish(h *host) {
	v := &view.View{
		Self:     view.Host{ID: h.id},
		Services: map[string]*document.Service{w.doc.Name: w.doc},
	}
	for i, other := range w.hosts {
		v.Hosts = append(v.Hosts, view.Host{ID: other.id, Address: fmt.Sprint(i)})
	}
	v.ValidUntil = w.now.Add(viewAge)
	h.router.Apply(w.now, v)
}

func (w *world) tick(h *host) {
	w.on(h, tickEvery, func() {
		if !w.now.Before(h.stale) {
			w.publish(h)
		}
		w.carry(h, h.engine.Tick(w.now))
		w.tick(h)
	})
}

// after does something once the time has passed.
func (w *world) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, do: do})
}

// on does something at a host: not while it is paused, never once it is gone.
func (w *world) on(h *host, d time.Duration, do func()) {
	w.after(d, func() {
		switch {
		case h.epoch < 0:
		case w.now.Before(h.paused):
			w.on(h, h.paused.Sub(w.now)+w.upTo(time.Millisecond), do)
		default:
			do()
		}
	})
}

func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *world) upTo(d time.Duration) time.Duration { return time.Duration(w.rand.Int64N(int64(d))) }
func (w *world) chance(p float64) bool              { return w.rand.Float64() < p }

func (w *world) mint(host int) {
	h := w.hosts[host]
	if w.now.Before(h.paused) {
		return
	}
	t, p := h.engine.Mint(w.now, w.now, w.doc.Name)
	if p == nil {
		w.tickets = append(w.tickets, &ticket{text: t.String()})
	}
}

// send lets a caller send a ticket's command through a host.
func (w *world) send(ticketIndex, variant, host int, left time.Duration) {
	o := &op{ticket: ticketIndex, variant: variant, called: w.now}
	w.ops = append(w.ops, o)
	payload, err := json.Marshal(execution{Ticket: ticketIndex, Variant: variant})
	if err != nil {
		panic(err)
	}
	req := command.Request{
		ID: fmt.Sprintf("r%d", len(w.ops)), Service: w.doc.Name, Operation: "book",
		ShardKey: "strap-7", Ticket: w.tickets[ticketIndex].text, Payload: payload,
	}
	h := w.hosts[host]
	w.on(h, w.upTo(slowest), func() {
		req.Deadline = w.now.Add(left)
		w.begin(h, req, func(f command.Finish) { o.finish, o.ended = &f, w.now })
	})
}

func (w *world) begin(h *host, req command.Request, reply func(command.Finish)) {
	run, acts := h.engine.Start(w.now, req)
	h.routes[run] = reply
	w.carry(h, acts)
}

func (w *world) carry(h *host, acts command.Actions) {
	for _, s := range acts.Send {
		w.on(h, w.upTo(slowest), func() { w.write(h, s) })
	}
	for _, f := range acts.Forward {
		w.forward(h, f)
	}
	for _, f := range acts.Finish {
		reply := h.routes[f.Waiter]
		if reply == nil {
			w.faults = append(w.faults, fmt.Errorf("%s: run %d finished twice", h.id, f.Waiter))
			continue
		}
		delete(h.routes, f.Waiter)
		reply(f)
	}
}

// write is what a carrier does once it has a connection.
func (w *world) write(h *host, s leafcall.Send) {
	reply := func(d time.Duration, res leafcall.Result) {
		w.on(h, d, func() { w.carry(h, h.engine.Reply(w.now, s.ID, res)) })
	}
	valid := s.Guard(w.now) && h.router.View().Valid(w.now)
	if w.chance(0.1) || !valid && !w.planted.noGuard {
		reply(0, leafcall.Result{Status: leafcall.NotSent})
		return
	}
	if !w.now.Before(s.Deadline) {
		w.faults = append(w.faults, fmt.Errorf("%s: written after the deadline", s.RequestID))
	}
	reply(max(s.Deadline.Add(s.Linger).Sub(w.now), 0), leafcall.Result{Status: leafcall.Timeout, Sent: true})
	broken := leafcall.Result{Status: leafcall.Broken, Sent: !w.planted.lyingCarrier}
	delay := w.upTo(slowest)
	if w.chance(0.1) {
		delay += w.upTo(4 * time.Second)
	}
	switch n := w.rand.IntN(10); {
	case n < 2:
		reply(delay, leafcall.Result{Status: leafcall.Shed, Sent: true})
	case n < 3: // lost on its way
		reply(delay, broken)
	case n < 5: // runs, and breaks
		w.after(delay, func() { w.run(s); reply(0, broken) })
	case n < 6: // runs, and says nothing
		w.after(delay, func() { w.run(s) })
	default:
		w.after(delay, func() { w.run(s); reply(w.upTo(slowest), leafcall.Result{Status: leafcall.OK, Sent: true}) })
	}
}

func (w *world) run(s leafcall.Send) {
	var x execution
	if err := json.Unmarshal(s.Payload, &x); err != nil {
		panic(err)
	}
	w.runs = append(w.runs, x)
}

// forward carries a command to the process in the place of its minter. The
// message may be lost, held up or doubled; the answer lost or crossed.
func (w *world) forward(h *host, f command.Forward) {
	left := f.Request.Deadline.Sub(w.now)
	answer := func(d time.Duration, r command.Finish) {
		w.on(h, d, func() { w.carry(h, h.engine.ForwardReply(w.now, f.Waiter, r)) })
	}
	answer(max(left, 0), command.Finish{})
	var to int
	if _, err := fmt.Sscan(f.To.Address, &to); err != nil {
		panic(err)
	}
	peer := w.hosts[to]
	cut := w.now.Before(w.cuts[[2]int{h.index, to}]) || w.now.Before(w.cuts[[2]int{to, h.index}])
	if cut && w.chance(0.5) {
		answer(w.upTo(slowest), command.Finish{NotHanded: true})
		return
	}
	for range 1 + w.rand.IntN(10)/8 {
		if cut || w.chance(0.1) {
			continue
		}
		delay := w.upTo(slowest)
		if w.chance(0.1) {
			delay += w.upTo(6 * time.Second)
		}
		w.on(peer, delay, func() {
			req := f.Request
			req.Deadline = w.now.Add(left)
			w.begin(peer, req, func(r command.Finish) {
				if w.chance(0.05) {
					answer(w.upTo(slowest), w.crossed)
				}
				if !w.chance(0.1) {
					answer(w.upTo(slowest), r)
				}
				w.crossed = r
			})
		})
	}
}

// title tells an answer in a few words.
func (o *op) title() string {
	switch {
	case o.finish == nil:
		return "no answer"
	case o.finish.Answer != nil:
		return string(o.finish.Answer.Outcome)
	default:
		return o.finish.Problem.Title + " (" + string(o.finish.Problem.Outcome) + ")"
	}
}

func (o *op) outcome() (figmast.Outcome, bool) {
	switch {
	case o.finish == nil:
		return figmast.Unknown, false
	case o.finish.Answer != nil:
		return o.finish.Answer.Outcome, false
	default:
		return o.finish.Problem.Outcome, o.finish.Problem.Unhandled
	}
}
