// Package command implements at-most-once execution of commands. A command
// carries a ticket. Only the process that minted the ticket runs the command,
// and the first command that this process receives with a ticket claims the
// ticket permanently.
//
// The package is a state machine: its inputs are events and the current time,
// its outputs are actions. It does no I/O, starts no goroutines and reads no
// clock.
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

// WaiterID identifies a caller that waits for a command. An Engine never reuses
// one.
type WaiterID uint64

// Request is a command to run.
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
	// Forwarded is set if the command was forwarded by a peer.
	Forwarded bool
}

// Actions are what the engine's user must carry out, each list in order.
type Actions struct {
	Send    []leafcall.Send
	Forward []Forward
	Finish  []Finish
	// Decisions are reported to operators.
	Decisions []decision.Decision
}

// Forward sends a command to the host that minted its ticket.
type Forward struct {
	Waiter  WaiterID
	To      view.Host
	Request Request
}

// Finish delivers the outcome of a command to a caller. Either Answer or Problem
// is set.
type Finish struct {
	Waiter  WaiterID
	Answer  *figmast.CommandAnswer
	Problem *figmast.Problem
	// NotHanded is only set on the Finish that a Forwarder returns, instead of
	// Answer and Problem. It means that the peer certainly did not receive the
	// command.
	NotHanded bool
}

// Defaults of Options.
const (
	// DefaultMaxTickets is the default of Options.MaxTickets.
	DefaultMaxTickets = 100_000
	// DefaultMaxHeldBytes is the default of Options.MaxHeldBytes.
	DefaultMaxHeldBytes = 32 << 20
)

// Options configure an Engine.
type Options struct {
	Router *policy.Router
	// NextCall returns a new call ID, unique on this host.
	NextCall func() leafcall.ID
	// Host is the ID of this host.
	Host string
	// Key signs tickets. No other process has it.
	Key []byte
	// Incarnation identifies this process. It changes when the host restarts.
	Incarnation string
	// Lifetime is how long a caller may use a ticket.
	Lifetime time.Duration
	// MaxTickets limits the tickets that have not lapsed, and thereby the
	// claims; 0 means DefaultMaxTickets.
	MaxTickets int
	// MaxHeldBytes limits the size of the results kept for resends; 0 means
	// DefaultMaxHeldBytes.
	MaxHeldBytes int
}

// Engine drives all commands of a host. It is not safe for concurrent use.
type Engine struct {
	opts         Options
	tickets      ticketCounter
	lastWaiterID WaiterID
	claims       map[uint64]*claim
	calls        map[leafcall.ID]*claim
	waiters      map[WaiterID]*waiter
	// lapseQueue orders the claims by the lapse of their tickets, and
	// deadlineQueue the waiters by their deadlines.
	lapseQueue    queue[*claim]
	deadlineQueue queue[*waiter]
	// capacityQueue holds the claims that wait for capacity at the backend
	// servers.
	capacityQueue queue[*claim]
	// heldBytes is the size of the results kept for resends.
	heldBytes int
	pauses    pauseDetector
	isClosed  bool
	out       Actions
}

// waiter is a caller that waits for a command.
type waiter struct {
	id            WaiterID
	req           Request
	deadlineEntry *entry[*waiter]
	// claim is what the caller waits for; nil if the command was forwarded.
	claim *claim
}

// NewEngine returns an Engine without tickets or claims.
func NewEngine(opts Options) *Engine {
	if opts.MaxTickets == 0 {
		opts.MaxTickets = DefaultMaxTickets
	}
	if opts.MaxHeldBytes == 0 {
		opts.MaxHeldBytes = DefaultMaxHeldBytes
	}
	return &Engine{
		opts:    opts,
		claims:  make(map[uint64]*claim),
		calls:   make(map[leafcall.ID]*claim),
		waiters: make(map[WaiterID]*waiter),
	}
}

// Start begins a command. If its outcome is already known, its Finish is among
// the returned actions.
func (e *Engine) Start(now time.Time, req Request) (WaiterID, Actions) {
	now = e.advanceClock(now)
	e.lastWaiterID++
	w := &waiter{id: e.lastWaiterID, req: req}
	e.waiters[w.id] = w
	w.deadlineEntry = e.deadlineQueue.add(req.Deadline, w)
	e.route(now, w)
	return w.id, e.takeActions()
}

// route handles the command here if this process minted its ticket, and forwards
// it if another host did.
func (e *Engine) route(now time.Time, w *waiter) {
	t, err := ParseTicket(w.req.Ticket)
	switch {
	case err != nil || t.Service != w.req.Service:
		e.refuse(w, invalidTicket(w.req))
	case t.Host != e.opts.Host:
		e.forward(w, t)
	case t.Incarnation != e.opts.Incarnation:
		e.refuse(w, minterGone(t))
	case !hasValidMAC(e.opts.Key, t):
		e.refuse(w, forgedTicket())
	default:
		e.useTicket(now, w, t)
	}
}

// Tick handles all timers that are due: it retries commands that wait for
// capacity, refuses callers whose deadline has passed and drops the claims of
// lapsed tickets.
func (e *Engine) Tick(now time.Time) Actions {
	now = e.advanceClock(now)
	e.tickets.dropLapsed(now)
	e.retryWaiting(now)
	for w, ok := e.deadlineQueue.popDue(now); ok; w, ok = e.deadlineQueue.popDue(now) {
		e.detach(w)
		e.refuse(w, deadlineExceeded())
	}
	for c, ok := e.lapseQueue.popDue(now); ok; c, ok = e.lapseQueue.popDue(now) {
		c.hasLapsed = true
		e.dropIfDone(c)
	}
	return e.takeActions()
}

// Next returns when Tick must be called next; ok is false if no timer is set.
func (e *Engine) Next() (time.Time, bool) {
	var next time.Time
	deadline, _ := e.deadlineQueue.nextDue()
	lapse, _ := e.lapseQueue.nextDue()
	retry, _ := e.capacityQueue.nextDue()
	for _, at := range []time.Time{deadline, lapse, retry} {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next, !next.IsZero()
}

// Close stops the minting of tickets and the acceptance of new claims. During a
// graceful shutdown the host calls it and then waits until Stats().Running is 0.
// Outcomes are still reported.
func (e *Engine) Close() { e.isClosed = true }

// Stats describe the state of an Engine.
type Stats struct {
	// Tickets counts the tickets that have not lapsed. Claims counts the claims,
	// including those still running after their tickets have lapsed.
	Tickets, Claims int
	// Running counts the claimed commands without an outcome.
	Running int
	// Waiting counts the waiting callers.
	Waiting int
	// HeldBytes is the size of the results kept for resends.
	HeldBytes int
}

// Stats returns the current state.
func (e *Engine) Stats() Stats {
	return Stats{
		Tickets: e.tickets.live, Claims: len(e.claims), Running: len(e.calls) + e.capacityQueue.len(),
		Waiting: len(e.waiters), HeldBytes: e.heldBytes,
	}
}

// finish answers one caller and removes it from the waiters.
func (e *Engine) finish(w *waiter, f Finish) {
	delete(e.waiters, w.id)
	e.deadlineQueue.remove(w.deadlineEntry)
	f = f.forWaiter(w)
	e.out.Finish = append(e.out.Finish, f)
	e.recordDecision(w, decision.Answered, "", "", f.outcome())
}

// refuse answers one caller with a problem.
func (e *Engine) refuse(w *waiter, p *figmast.Problem) {
	e.recordDecision(w, decision.Refused, "", "", p.Title)
	e.finish(w, Finish{Problem: p})
}

func (e *Engine) recordDecision(w *waiter, k decision.Kind, leaf, server, reason string) {
	e.out.Decisions = append(e.out.Decisions, decision.Decision{
		Request: w.req.ID, Service: w.req.Service, Kind: k, Leaf: leaf, Server: server, Reason: reason,
	})
}

func (e *Engine) takeActions() Actions {
	out := e.out
	e.out = Actions{}
	return out
}

// forWaiter returns a copy of the outcome, addressed to one waiting caller.
func (f Finish) forWaiter(w *waiter) Finish {
	f.Waiter = w.id
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

// outcome returns the outcome as text for a decision.
func (f Finish) outcome() string {
	if f.Answer != nil {
		return string(f.Answer.Outcome)
	}
	return string(f.Problem.Outcome)
}
