package bench

import (
	"fmt"
	"strconv"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// How callers send commands.
const (
	commandEvery    = 20 * time.Millisecond
	commandDeadline = 400 * time.Millisecond
	// resendCommand is how long a caller waits before it sends a command once
	// more, to any host, with or without an answer; most is how often.
	resendCommand = 120 * time.Millisecond
	mostSends     = 3
	ticketLife    = 5 * time.Second
	dialTimeout   = 50 * time.Millisecond
)

var book = document.Operation{
	Name: "book", Kind: document.Command, Urgency: figmast.Urgent, Worth: 1,
	Deadline: document.Duration(commandDeadline), MaxDeadline: document.Duration(time.Second),
}

// order is one command of a caller.
type order struct {
	command.Request
	ran  int // how often backend servers ran it
	sent int
	done bool // its caller knows that it ran
}

// orders offers commands to the last service.
func (w *world) orders() {
	if w.now >= warmUp+w.config.Length {
		return
	}
	w.after(commandEvery, w.orders)
	w.seq++
	o := &order{Request: command.Request{
		ID: fmt.Sprintf("c%d", w.seq), Service: w.names[len(w.names)-1], Operation: book.Name,
		ShardKey: strconv.FormatUint(w.seq, 10), Payload: []byte(strconv.FormatUint(w.seq, 10)),
		Urgency: book.Urgency, Worth: book.Worth,
	}}
	h := w.balance()
	if w.config.Policy == Figmast {
		t, p := h.commands.Mint(w.time(), w.time(), o.Service)
		if p != nil {
			return
		}
		o.Ticket = t.String()
	}
	w.ordered[o.ID] = o
	w.result.Commands++
	w.after(2*toCaller, func() { w.sendOrder(o) })
}

// sendOrder sends the command to a host, and once more where the caller does not
// know that it ran. Now and then the caller is hasty and sends it twice.
func (w *world) sendOrder(o *order) {
	if o.done || o.sent == mostSends {
		return
	}
	o.sent++
	o.Deadline = w.time().Add(commandDeadline)
	h := w.balance()
	w.after(toCaller, func() { h.command(o) })
	again := resendCommand
	if w.rnd.IntN(hasty) == 0 {
		again = time.Millisecond
	}
	w.after(again, func() { w.sendOrder(o) })
}

// hasty is one in how many sends is repeated at once.
const hasty = 10

func (h *host) command(o *order) {
	if h.world.config.Policy != Figmast {
		h.orderPlainly(o)
		return
	}
	id, acts := h.commands.Start(h.world.time(), o.Request)
	h.orders[id] = func(f command.Finish) { h.world.after(toCaller, func() { o.end(h.world, f) }) }
	h.actCommand(acts)
}

// orderPlainly is the baseline: whatever arrives is run.
func (h *host) orderPlainly(o *order) {
	doc := h.docs[o.Service]
	leaf := doc.Leaves[len(o.ID)%len(doc.Leaves)]
	s := leaf.Servers[h.world.rnd.IntN(len(leaf.Servers))]
	h.send(leafcall.Send{
		ID: h.next(), Command: true, RequestID: o.ID, Payload: o.Payload, Deadline: o.Deadline,
		Server: &policy.Server{Service: o.Service, Leaf: leaf.Name, ID: s.ID, DataCentre: s.DataCentre},
	})
}

// end is what the caller sees.
func (o *order) end(w *world, f command.Finish) {
	switch {
	case f.Answer != nil && !o.done:
		o.done = true
		w.result.CommandsAnswered++
	case f.Problem != nil && f.Problem.Outcome == figmast.NotRun && o.ran > 0:
		w.result.Untrue++
	}
}

// executed records that a backend server began to run a command.
func (w *world) executed(c *call) {
	o := w.ordered[c.send.RequestID]
	if o.ran++; o.ran > 1 {
		w.result.Doubled++
	}
}

func (h *host) actCommand(acts command.Actions) {
	for _, s := range acts.Send {
		h.send(s)
	}
	for _, f := range acts.Forward {
		h.forward(f)
	}
	for _, f := range acts.Finish {
		done := h.orders[f.Waiter]
		delete(h.orders, f.Waiter)
		if done != nil {
			done(f)
		}
	}
	h.wakeCommands()
}

func (h *host) wakeCommands() {
	t, ok := h.commands.Next()
	at := max(t.Sub(epoch), h.world.now)
	if !ok || h.commandsAt > h.world.now && h.commandsAt <= at {
		return
	}
	h.commandsAt = at
	h.world.at(at, func() {
		if h.commandsAt == at {
			h.commandsAt = 0
			h.actCommand(h.commands.Tick(h.world.time()))
		}
	})
}

// forward asks the peer that minted the ticket.
func (h *host) forward(f command.Forward) {
	w := h.world
	back := func(d time.Duration, answer command.Finish) {
		w.after(d, func() { h.actCommand(h.commands.ForwardReply(w.time(), f.Waiter, answer)) })
	}
	for _, peer := range w.hosts {
		if peer.self.ID != f.To.ID {
			continue
		}
		if peer.cut != h.cut {
			back(dialTimeout, command.Finish{NotHanded: true})
			return
		}
		way := w.distance(h.self.DataCentre, peer.self.DataCentre)
		w.after(way, func() {
			id, acts := peer.commands.Start(w.time(), f.Request)
			peer.orders[id] = func(answer command.Finish) { back(way, answer) }
			peer.actCommand(acts)
		})
	}
}
