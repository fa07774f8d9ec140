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

// Parameters of the callers that send commands.
const (
	commandInterval = 20 * time.Millisecond
	commandDeadline = 400 * time.Millisecond
	// commandResendAfter is how long a caller waits before it resends a command that
	// it does not know to have run, to any host; maxSends bounds the sends.
	commandResendAfter = 120 * time.Millisecond
	maxSends           = 3
	ticketLifetime     = 5 * time.Second
	dialTimeout        = 50 * time.Millisecond
)

var bookOperation = document.Operation{
	Name: "book", Kind: document.Command, Urgency: figmast.Urgent, Worth: 1,
	Deadline: document.Duration(commandDeadline), MaxDeadline: document.Duration(time.Second),
}

// callerCommand is one command of a caller and what happened to it.
type callerCommand struct {
	command.Request
	executions int // times that backend servers ran it
	sends      int
	knownToRun bool // the caller has an answer that it ran
}

// offerCommands offers a command to the last service every commandInterval.
func (w *world) offerCommands() {
	if w.now >= warmUp+w.config.Length {
		return
	}
	w.after(commandInterval, w.offerCommands)
	w.seq++
	o := &callerCommand{Request: command.Request{
		ID: fmt.Sprintf("c%d", w.seq), Service: w.serviceNames[len(w.serviceNames)-1], Operation: bookOperation.Name,
		ShardKey: strconv.FormatUint(w.seq, 10), Payload: []byte(strconv.FormatUint(w.seq, 10)),
		Urgency: bookOperation.Urgency, Worth: bookOperation.Worth,
	}}
	h := w.pickHost()
	if w.config.Policy == Figmast {
		t, p := h.commandEngine.Mint(w.time(), w.time(), o.Service)
		if p != nil {
			return
		}
		o.Ticket = t.String()
	}
	w.commands[o.ID] = o
	w.result.Commands++
	w.after(2*callerLatency, func() { w.sendCommand(o) })
}

// sendCommand sends the command to a host and resends it, up to maxSends times,
// until the caller knows that it ran. One send in hastyOneIn is resent at once,
// so that two sends are in progress together.
func (w *world) sendCommand(o *callerCommand) {
	if o.knownToRun || o.sends == maxSends {
		return
	}
	o.sends++
	o.Deadline = w.time().Add(commandDeadline)
	h := w.pickHost()
	w.after(callerLatency, func() { h.startCommand(o) })
	resendAfter := commandResendAfter
	if w.rnd.IntN(hastyOneIn) == 0 {
		resendAfter = time.Millisecond
	}
	w.after(resendAfter, func() { w.sendCommand(o) })
}

// hastyOneIn is how many sends there are for each one that is repeated at once.
const hastyOneIn = 10

func (h *host) startCommand(o *callerCommand) {
	if h.world.config.Policy != Figmast {
		h.runBaselineCommand(o)
		return
	}
	id, acts := h.commandEngine.Start(h.world.time(), o.Request)
	h.commandWaiters[id] = func(f command.Finish) { h.world.after(callerLatency, func() { o.finish(h.world, f) }) }
	h.applyCommandActions(acts)
}

// runBaselineCommand is the baseline without tickets: every send is executed.
func (h *host) runBaselineCommand(o *callerCommand) {
	doc := h.docs[o.Service]
	leaf := doc.Leaves[len(o.ID)%len(doc.Leaves)]
	s := leaf.Servers[h.world.rnd.IntN(len(leaf.Servers))]
	h.sendCall(leafcall.Send{
		ID: h.nextCall(), Command: true, RequestID: o.ID, Payload: o.Payload, Deadline: o.Deadline,
		Server: &policy.Server{Service: o.Service, Leaf: leaf.Name, ID: s.ID, DataCentre: s.DataCentre},
	})
}

// finish records the outcome that the caller sees.
func (c *callerCommand) finish(w *world, f command.Finish) {
	switch {
	case f.Answer != nil && !c.knownToRun:
		c.knownToRun = true
		w.result.CommandsAnswered++
	case f.Problem != nil && f.Problem.Outcome == figmast.NotRun && c.executions > 0:
		w.result.Untrue++
	}
}

// recordExecution counts a command that a backend server has begun to run.
func (w *world) recordExecution(c *call) {
	o := w.commands[c.send.RequestID]
	if o.executions++; o.executions > 1 {
		w.result.Doubled++
	}
}

func (h *host) applyCommandActions(acts command.Actions) {
	for _, s := range acts.Send {
		h.sendCall(s)
	}
	for _, f := range acts.Forward {
		h.forward(f)
	}
	for _, f := range acts.Finish {
		done := h.commandWaiters[f.Waiter]
		delete(h.commandWaiters, f.Waiter)
		if done != nil {
			done(f)
		}
	}
	h.scheduleCommandTick()
}

func (h *host) scheduleCommandTick() {
	t, ok := h.commandEngine.Next()
	at := max(t.Sub(epoch), h.world.now)
	if !ok || h.commandTickAt > h.world.now && h.commandTickAt <= at {
		return
	}
	h.commandTickAt = at
	h.world.at(at, func() {
		if h.commandTickAt == at {
			h.commandTickAt = 0
			h.applyCommandActions(h.commandEngine.Tick(h.world.time()))
		}
	})
}

// forward sends the command to the peer that minted its ticket.
func (h *host) forward(f command.Forward) {
	w := h.world
	replyAfter := func(d time.Duration, answer command.Finish) {
		w.after(d, func() { h.applyCommandActions(h.commandEngine.ForwardReply(w.time(), f.Waiter, answer)) })
	}
	for _, peer := range w.hosts {
		if peer.self.ID != f.To.ID {
			continue
		}
		if peer.partitioned != h.partitioned {
			replyAfter(dialTimeout, command.Finish{NotHanded: true})
			return
		}
		oneWay := w.latency(h.self.DataCentre, peer.self.DataCentre)
		w.after(oneWay, func() {
			id, acts := peer.commandEngine.Start(w.time(), f.Request)
			peer.commandWaiters[id] = func(answer command.Finish) { replyAfter(oneWay, answer) }
			peer.applyCommandActions(acts)
		})
	}
}
