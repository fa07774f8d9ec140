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

// Times of the simulation, all virtual.
const (
	lifetime     = 8 * time.Second
	tickInterval = 500 * time.Millisecond
	viewValidity = 3 * time.Second
	maxDelay     = 300 * time.Millisecond // of one message, unless it is delayed further
	settleTime   = 2 * time.Minute        // after which nothing is in progress
)

// injectedFaults switch off mechanisms, to test that the checks detect it.
type injectedFaults struct {
	reuseIdentity      bool // a replaced process keeps incarnation and key
	skipGuard          bool // the transport writes without checking the guard
	misreportBroken    bool // the transport reports a broken connection as not sent
	misreportUnhandled bool // an unhandled submission is reported as not_run
}

// simulation simulates hosts, backend servers and callers in virtual time.
type simulation struct {
	rand        *rand.Rand
	injected    injectedFaults
	doc         *document.Service
	now         time.Time
	events      eventQueue
	seq         int
	hosts       []*host
	partitions  map[[2]int]time.Time // until when two hosts are partitioned
	tickets     []*ticket
	submissions []*submission
	executions  []execution
	violations  []error
	// otherAnswer is a peer's answer to an earlier command.
	otherAnswer command.Finish
	calls       leafcall.ID
}

// host runs one process at a time. Replacing it starts another process.
type host struct {
	index       int
	id          string
	engine      *command.Engine
	router      *policy.Router
	pausedUntil time.Time
	staleUntil  time.Time // until when the host gets no newer view
	epoch       int       // number of the process; -1 once it has been replaced
	replyTo     map[command.WaiterID]func(command.Finish)
}

type ticket struct{ text string }

// submission is one request of a caller with a ticket. ticket is an index of
// simulation.tickets; variant, 0 or 1, selects the content of the command.
type submission struct {
	ticket, variant int
	called, ended   time.Time
	finish          *command.Finish
}

// execution is one execution of a command on a backend server.
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

const oneLeafDocument = `
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

func newSimulation(seed uint64, faults injectedFaults) *simulation {
	doc, err := document.Parse([]byte(oneLeafDocument))
	if err != nil {
		panic(err)
	}
	sim := &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)), injected: faults, doc: doc,
		now: time.Unix(1_700_000_000, 0), partitions: make(map[[2]int]time.Time),
	}
	for i := range 3 {
		sim.hosts = append(sim.hosts, &host{index: i})
		sim.replace(i, false)
	}
	return sim
}

// replace replaces the process of host i, under a new host ID if rename is set.
func (sim *simulation) replace(i int, rename bool) {
	h := sim.hosts[i]
	epoch := h.epoch + 1
	if h.id == "" || rename {
		h.id = fmt.Sprintf("host-%d-%d", i, epoch)
	}
	identity := fmt.Sprintf("%d-%d", i, epoch)
	if sim.injected.reuseIdentity {
		identity = fmt.Sprint(i)
	}
	router := policy.NewRouter(policy.Options{Rand: sim.rand})
	next := *h
	next.epoch, next.router, next.pausedUntil, next.staleUntil = epoch, router, time.Time{}, time.Time{}
	next.replyTo = make(map[command.WaiterID]func(command.Finish))
	next.engine = command.NewEngine(command.Options{
		Router: router, NextCall: func() leafcall.ID { sim.calls++; return sim.calls },
		Host: h.id, Key: []byte(identity), Incarnation: identity, Lifetime: lifetime,
	})
	h.epoch = -1 // events of the old process are dropped
	sim.hosts[i] = &next
	sim.publish(&next)
	sim.scheduleTick(&next)
}

// publish gives the host the current view.
func (sim *simulation) publish(h *host) {
	v := &view.View{
		Self:     view.Host{ID: h.id},
		Services: map[string]*document.Service{sim.doc.Name: sim.doc},
	}
	for i, other := range sim.hosts {
		v.Hosts = append(v.Hosts, view.Host{ID: other.id, Address: fmt.Sprint(i)})
	}
	v.ValidUntil = sim.now.Add(viewValidity)
	h.router.Apply(sim.now, v)
}

func (sim *simulation) scheduleTick(h *host) {
	sim.scheduleOn(h, tickInterval, func() {
		if !sim.now.Before(h.staleUntil) {
			sim.publish(h)
		}
		sim.execute(h, h.engine.Tick(sim.now))
		sim.scheduleTick(h)
	})
}

// schedule calls do after the delay.
func (sim *simulation) schedule(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now.Add(d), seq: sim.seq, do: do})
}

// scheduleOn calls do on a host after the delay: later if the host is paused,
// never if it has been replaced.
func (sim *simulation) scheduleOn(h *host, d time.Duration, do func()) {
	sim.schedule(d, func() {
		switch {
		case h.epoch < 0:
		case sim.now.Before(h.pausedUntil):
			sim.scheduleOn(h, h.pausedUntil.Sub(sim.now)+sim.randomDuration(time.Millisecond), do)
		default:
			do()
		}
	})
}

func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

func (sim *simulation) randomDuration(d time.Duration) time.Duration {
	return time.Duration(sim.rand.Int64N(int64(d)))
}
func (sim *simulation) chance(p float64) bool { return sim.rand.Float64() < p }

func (sim *simulation) mint(host int) {
	h := sim.hosts[host]
	if sim.now.Before(h.pausedUntil) {
		return
	}
	t, p := h.engine.Mint(sim.now, sim.now, sim.doc.Name)
	if p == nil {
		sim.tickets = append(sim.tickets, &ticket{text: t.String()})
	}
}

// send submits a ticket's command to a host.
func (sim *simulation) send(ticketIndex, variant, host int, left time.Duration) {
	o := &submission{ticket: ticketIndex, variant: variant, called: sim.now}
	sim.submissions = append(sim.submissions, o)
	payload, err := json.Marshal(execution{Ticket: ticketIndex, Variant: variant})
	if err != nil {
		panic(err)
	}
	req := command.Request{
		ID: fmt.Sprintf("r%d", len(sim.submissions)), Service: sim.doc.Name, Operation: "book",
		ShardKey: "strap-7", Ticket: sim.tickets[ticketIndex].text, Payload: payload,
	}
	h := sim.hosts[host]
	sim.scheduleOn(h, sim.randomDuration(maxDelay), func() {
		req.Deadline = sim.now.Add(left)
		sim.begin(h, req, func(f command.Finish) { o.finish, o.ended = &f, sim.now })
	})
}

func (sim *simulation) begin(h *host, req command.Request, reply func(command.Finish)) {
	id, acts := h.engine.Start(sim.now, req)
	h.replyTo[id] = reply
	sim.execute(h, acts)
}

func (sim *simulation) execute(h *host, acts command.Actions) {
	for _, s := range acts.Send {
		sim.scheduleOn(h, sim.randomDuration(maxDelay), func() { sim.write(h, s) })
	}
	for _, f := range acts.Forward {
		sim.forward(h, f)
	}
	for _, f := range acts.Finish {
		reply := h.replyTo[f.Waiter]
		if reply == nil {
			sim.violations = append(sim.violations, fmt.Errorf("%s: waiter %d finished twice", h.id, f.Waiter))
			continue
		}
		delete(h.replyTo, f.Waiter)
		reply(f)
	}
}

// write simulates the transport's call over an established connection.
func (sim *simulation) write(h *host, s leafcall.Send) {
	reply := func(d time.Duration, res leafcall.Result) {
		sim.scheduleOn(h, d, func() { sim.execute(h, h.engine.Reply(sim.now, s.ID, res)) })
	}
	valid := s.Guard(sim.now) && h.router.View().Valid(sim.now)
	if sim.chance(0.1) || !valid && !sim.injected.skipGuard {
		reply(0, leafcall.Result{Status: leafcall.NotSent})
		return
	}
	if !sim.now.Before(s.Deadline) {
		sim.violations = append(sim.violations, fmt.Errorf("%s: written after the deadline", s.RequestID))
	}
	reply(max(s.Deadline.Add(s.Linger).Sub(sim.now), 0), leafcall.Result{Status: leafcall.Timeout, Sent: true})
	broken := leafcall.Result{Status: leafcall.Broken, Sent: !sim.injected.misreportBroken}
	delay := sim.randomDuration(maxDelay)
	if sim.chance(0.1) {
		delay += sim.randomDuration(4 * time.Second)
	}
	switch n := sim.rand.IntN(10); {
	case n < 2:
		reply(delay, leafcall.Result{Status: leafcall.Shed, Sent: true})
	case n < 3: // lost in transit
		reply(delay, broken)
	case n < 5: // runs, then the connection breaks
		sim.schedule(delay, func() { sim.runCommand(s); reply(0, broken) })
	case n < 6: // runs without an answer
		sim.schedule(delay, func() { sim.runCommand(s) })
	default:
		sim.schedule(delay, func() {
			sim.runCommand(s)
			reply(sim.randomDuration(maxDelay), leafcall.Result{Status: leafcall.OK, Sent: true})
		})
	}
}

func (sim *simulation) runCommand(s leafcall.Send) {
	var x execution
	if err := json.Unmarshal(s.Payload, &x); err != nil {
		panic(err)
	}
	sim.executions = append(sim.executions, x)
}

// forward delivers a command to the process that now runs on the host named in
// its ticket. The message may be lost, delayed or duplicated; the answer may be
// lost or replaced by the answer to another command.
func (sim *simulation) forward(h *host, f command.Forward) {
	left := f.Request.Deadline.Sub(sim.now)
	answer := func(d time.Duration, r command.Finish) {
		sim.scheduleOn(h, d, func() { sim.execute(h, h.engine.ForwardReply(sim.now, f.Waiter, r)) })
	}
	answer(max(left, 0), command.Finish{})
	var to int
	if _, err := fmt.Sscan(f.To.Address, &to); err != nil {
		panic(err)
	}
	peer := sim.hosts[to]
	isPartitioned := sim.now.Before(sim.partitions[[2]int{h.index, to}]) || sim.now.Before(sim.partitions[[2]int{to, h.index}])
	if isPartitioned && sim.chance(0.5) {
		answer(sim.randomDuration(maxDelay), command.Finish{NotHanded: true})
		return
	}
	for range 1 + sim.rand.IntN(10)/8 {
		if isPartitioned || sim.chance(0.1) {
			continue
		}
		delay := sim.randomDuration(maxDelay)
		if sim.chance(0.1) {
			delay += sim.randomDuration(6 * time.Second)
		}
		sim.scheduleOn(peer, delay, func() {
			req := f.Request
			req.Deadline = sim.now.Add(left)
			sim.begin(peer, req, func(r command.Finish) {
				if sim.chance(0.05) {
					answer(sim.randomDuration(maxDelay), sim.otherAnswer)
				}
				if !sim.chance(0.1) {
					answer(sim.randomDuration(maxDelay), r)
				}
				sim.otherAnswer = r
			})
		})
	}
}

// title returns a short description of the answer.
func (s *submission) title() string {
	switch {
	case s.finish == nil:
		return "no answer"
	case s.finish.Answer != nil:
		return string(s.finish.Answer.Outcome)
	default:
		return s.finish.Problem.Title + " (" + string(s.finish.Problem.Outcome) + ")"
	}
}

func (s *submission) outcome() (figmast.Outcome, bool) {
	switch {
	case s.finish == nil:
		return figmast.Unknown, false
	case s.finish.Answer != nil:
		return s.finish.Answer.Outcome, false
	default:
		return s.finish.Problem.Outcome, s.finish.Problem.Unhandled
	}
}
