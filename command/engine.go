// Package command decides how commands run at most once. A command carries a
// ticket; only the process that minted the ticket runs it, and the first
// command that it sees under a ticket claims it for good. The package is a
// state machine: it gets events and the time and gives back actions. It does
// no I/O, starts no goroutines and reads no clock.
package command

import (
	"encoding/json"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
)

// WaiterID names one waiting caller; an Engine never uses one twice.
type WaiterID uint64

// Request is a command as the engine takes it.
type Request struct {
	ID        string
	Service   string
	Operation string
	ShardKey  string
	Ticket    string
	Payload   json.RawMessage
	Urgency   figmast.Urgency
	Worth     float64
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Forwarded is set when a peer sent the command here.
	Forwarded bool
}

// Actions are what the engine wants done, in order.
type Actions struct {
	Send    []leafcall.Send
	Forward []Forward
	Finish  []Finish
	// Decisions tell operators what was decided and why.
	Decisions []decision.Decision
}

// Forward hands a command to the host that minted its ticket.
type Forward struct {
	Waiter  WaiterID
	To      view.Host
	Request Request
}

// Finish hands the final answer to a caller: Answer or Problem is set.
type Finish struct {
	Waiter  WaiterID
	Answer  *figmast.CommandAnswer
	Problem *figmast.Problem
	// NotHanded is set on what a Forwarder returns, instead of the other
	// two, when it is certain that the peer got nothing.
	NotHanded bool
}

// Defaults of Options.
const (
	// DefaultMaxTickets is how many live tickets a process has out at most.
	DefaultMaxTickets = 100_000
	// DefaultMaxHeldBytes bounds the results kept for resends, in bytes.
	DefaultMaxHeldBytes = 32 << 20
)

// Options configure an Engine.
type Options struct {
	Router *policy.Router
	// NextCall returns call ids that the whole host uses once.
	NextCall func() leafcall.ID
	// Host is the id of this host.
	Host string
	// Key signs tickets; it is this process's alone.
	Key []byte
	// Incarnation names this process; a restarted host has another one.
	Incarnation string
	// Lifetime of a ticket.
	Lifetime time.Duration
	// MaxTickets bounds the live tickets, and with them the claims; 0 means
	// DefaultMaxTickets.
	MaxTickets int
	// MaxHeldBytes bounds the results kept for resends; 0 means
	// DefaultMaxHeldBytes.
	MaxHeldBytes int
}

// Engine drives all commands of a host. It is not safe for concurrent use.
type Engine struct {
	opts   Options
	mint   mint
	last   WaiterID
	claims map[uint64]*claim
	calls  map[leafcall.ID]*claim
	waits  map[WaiterID]*wait
	// lapses and deadlines hold the claims and waits by what is due next.
	lapses    queue[*claim]
	deadlines queue[*wait]
	// rooms holds the claims that wait for room at the backend servers.
	rooms queue[*claim]
	// held is the size of the results kept, in bytes.
	held   int
	pauses pauses
	closed bool
	out    Actions
}

// wait is one caller that waits for a command.
type wait struct {
	run WaiterID
	req Request
	due *entry[*wait]
	// claim that the caller waits for; nil while a peer is asked.
	claim *claim
}

// NewEngine returns an Engine without claims.
func NewEngine(opts Options) *Engine {
	if opts.MaxTickets == 0 {
		opts.MaxTickets = DefaultMaxTickets
	}
	if opts.MaxHeldBytes == 0 {
		opts.MaxHeldBytes = DefaultMaxHeldBytes
	}
	return &Engine{
		opts:   opts,
		claims: make(map[uint64]*claim),
		calls:  make(map[leafcall.ID]*claim),
		waits:  make(map[WaiterID]*wait),
	}
}

// Start begins a command. Its Finish may be among the returned actions.
func (e *Engine) Start(now time.Time, req Request) (WaiterID, Actions) {
	now = e.observe(now)
	e.last++
	w := &wait{run: e.last, req: req}
	e.waits[w.run] = w
	w.due = e.deadlines.add(req.Deadline, w)
	e.start(now, w)
	return w.run, e.take()
}

// start finds the process that may run the command: this one or a peer.
func (e *Engine) start(now time.Time, w *wait) {
	t, err := ParseTicket(w.req.Ticket)
	switch {
	case err != nil || t.Service != w.req.Service:
		e.refuse(w, notATicket(w.req))
	case t.Host != e.opts.Host:
		e.forward(w, t)
	case t.Incarnation != e.opts.Incarnation:
		e.refuse(w, minterGone(t))
	case !genuine(e.opts.Key, t):
		e.refuse(w, forged())
	default:
		e.present(now, w, t)
	}
}

// Tick refuses callers out of time and forgets claims of lapsed tickets.
func (e *Engine) Tick(now time.Time) Actions {
	now = e.observe(now)
	e.mint.lapsed(now)
	e.retryRooms(now)
	for w, ok := e.deadlines.take(now); ok; w, ok = e.deadlines.take(now) {
		e.leave(w)
		e.refuse(w, outOfTime())
	}
	for c, ok := e.lapses.take(now); ok; c, ok = e.lapses.take(now) {
		c.lapsed = true
		e.forget(c)
	}
	return e.take()
}

// Next returns when Tick has something to do.
func (e *Engine) Next() (time.Time, bool) {
	var next time.Time
	deadline, _ := e.deadlines.next()
	lapse, _ := e.lapses.next()
	room, _ := e.rooms.next()
	for _, at := range []time.Time{deadline, lapse, room} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Close ends the taking of new claims and the minting of tickets: a host that
// stops calls it and then waits until Running is 0. Outcomes are still told.
func (e *Engine) Close() { e.closed = true }

// Stats tell what an Engine holds.
type Stats struct {
	// Tickets that may still be used, and Claims among them.
	Tickets, Claims int
	// Running commands have no outcome yet.
	Running int
	// Waiting callers.
	Waiting int
	// HeldBytes is the size of the results kept for resends.
	HeldBytes int
}

// Stats returns what the engine holds.
func (e *Engine) Stats() Stats {
	return Stats{
		Tickets: e.mint.live, Claims: len(e.claims), Running: len(e.calls) + e.rooms.len(),
		Waiting: len(e.waits), HeldBytes: e.held,
	}
}

// finish answers one caller, which then waits no more.
func (e *Engine) finish(w *wait, f Finish) {
	delete(e.waits, w.run)
	e.deadlines.remove(w.due)
	f = f.addressed(w)
	e.out.Finish = append(e.out.Finish, f)
	e.decide(w, decision.Answered, "", "", f.reason())
}

// refuse answers one caller by a problem.
func (e *Engine) refuse(w *wait, p *figmast.Problem) {
	e.decide(w, decision.Refused, "", "", p.Title)
	e.finish(w, Finish{Problem: p})
}

func (e *Engine) decide(w *wait, k decision.Kind, leaf, server, reason string) {
	e.out.Decisions = append(e.out.Decisions, decision.Decision{
		Request: w.req.ID, Service: w.req.Service, Kind: k, Leaf: leaf, Server: server, Reason: reason,
	})
}

func (e *Engine) take() Actions {
	out := e.out
	e.out = Actions{}
	return out
}

// addressed directs the outcome to one waiting caller.
func (f Finish) addressed(w *wait) Finish {
	f.Waiter = w.run
	if f.Answer != nil {
		a := *f.Answer
		a.RequestID = w.req.ID
		f.Answer = &a
	}
	if f.Problem != nil {
		p := *f.Problem
		p.RequestID = w.req.ID
		f.Problem = &p
	}
	return f
}

// reason tells the outcome in a word.
func (f Finish) reason() string {
	if f.Answer != nil {
		return string(f.Answer.Outcome)
	}
	return string(f.Problem.Outcome)
}
