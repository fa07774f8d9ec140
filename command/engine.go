// Package command decides how commands run at most once. A command carries a
// ticket; only the process that minted the ticket runs it. The package is a
// state machine: it gets events and the time and gives back actions. It does
// no I/O, starts no goroutines and reads no clock.
package command

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
)

// RunID names one waiting caller; an Engine never uses one twice.
type RunID uint64

// Request is a command as the engine takes it.
type Request struct {
	ID        string
	Service   string
	Operation string
	ShardKey  string
	Ticket    string
	Key       string
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
	Run     RunID
	To      view.Host
	Request Request
}

// Finish hands the final answer to a caller: Answer or Problem is set.
type Finish struct {
	Run     RunID
	Answer  *figmast.CommandAnswer
	Problem *figmast.Problem
}

// Options configure an Engine.
type Options struct {
	Router *policy.Router
	// NextCall returns call ids that the whole host uses once.
	NextCall func() leafcall.ID
	// Key signs tickets; it is this process's alone.
	Key []byte
	// Incarnation names this process; a restarted host has another one.
	Incarnation string
	// Lifetime of a ticket.
	Lifetime time.Duration
}

// Engine drives all commands of a host. It is not safe for concurrent use.
type Engine struct {
	opts   Options
	serial uint64
	last   RunID
	claims map[uint64]*claim
	calls  map[leafcall.ID]*claim
	waits  map[RunID]*wait
}

// claim is the one run of a ticket.
type claim struct {
	expires time.Time
	server  *policy.Server
	leaf    string
	sent    time.Time
	waiting []*wait
	final   *Finish
}

// wait is one caller that waits for a command.
type wait struct {
	run RunID
	req Request
}

// NewEngine returns an Engine without claims.
func NewEngine(opts Options) *Engine {
	return &Engine{
		opts:   opts,
		claims: make(map[uint64]*claim),
		calls:  make(map[leafcall.ID]*claim),
		waits:  make(map[RunID]*wait),
	}
}

// Mint returns a new ticket of this process.
func (e *Engine) Mint(now time.Time, service string) Ticket {
	e.serial++
	t := Ticket{
		Host:             e.opts.Router.View().Self.ID,
		Incarnation:      e.opts.Incarnation,
		Service:          service,
		Serial:           e.serial,
		ExpiresUnixMilli: now.Add(e.opts.Lifetime).UnixMilli(),
	}
	t.MAC = sign(e.opts.Key, t)
	return t
}

// Start begins a command. Its Finish may be among the returned actions.
func (e *Engine) Start(now time.Time, req Request) (RunID, Actions) {
	e.last++
	w := &wait{run: e.last, req: req}
	e.waits[w.run] = w
	return w.run, e.start(now, w)
}

func (e *Engine) start(now time.Time, w *wait) Actions {
	v := e.opts.Router.View()
	if !v.Valid(now) {
		return e.refuse(now, w, http.StatusServiceUnavailable, "the configuration view is stale", string(policy.StaleView), figmast.Unknown)
	}
	doc := v.Services[w.req.Service]
	if doc == nil {
		return e.refuse(now, w, http.StatusNotFound, "unknown service", w.req.Service, figmast.NotRun)
	}
	t, err := ParseTicket(w.req.Ticket)
	if err != nil || t.Service != w.req.Service {
		return e.refuse(now, w, http.StatusBadRequest, "not a ticket for this service", "ticket", figmast.NotRun)
	}
	if t.Host != v.Self.ID {
		return e.forward(now, w, t, v)
	}
	if t.Incarnation != e.opts.Incarnation {
		return e.refuse(now, w, http.StatusConflict, "the process that minted the ticket is gone", t.Host, figmast.Unknown)
	}
	if !genuine(e.opts.Key, t) {
		return e.refuse(now, w, http.StatusForbidden, "this host did not mint the ticket", "ticket", figmast.NotRun)
	}
	return e.claim(now, w, t, doc)
}

func (e *Engine) forward(now time.Time, w *wait, t Ticket, v *view.View) Actions {
	h, ok := v.Host(t.Host)
	if !ok || w.req.Forwarded {
		return e.refuse(now, w, http.StatusConflict, "the host that minted the ticket is gone", t.Host, figmast.Unknown)
	}
	req := w.req
	req.Forwarded = true
	return Actions{Forward: []Forward{{Run: w.run, To: h, Request: req}}}
}

func (e *Engine) claim(now time.Time, w *wait, t Ticket, doc *document.Service) Actions {
	if c := e.claims[t.Serial]; c != nil {
		return e.join(c, w)
	}
	if !now.Before(t.Expires()) {
		return e.refuse(now, w, http.StatusGone, "the ticket has expired", "ticket", figmast.Unknown)
	}
	c := &claim{expires: t.Expires(), waiting: []*wait{w}, leaf: pickLeaf(doc, w.req.ShardKey)}
	e.claims[t.Serial] = c
	return e.send(now, c, w)
}

// join waits for, or repeats, the outcome of a command that was claimed.
func (e *Engine) join(c *claim, w *wait) Actions {
	if c.final == nil {
		c.waiting = append(c.waiting, w)
		return Actions{}
	}
	delete(e.waits, w.run)
	return Actions{Finish: []Finish{c.final.addressed(w)}}
}

func (e *Engine) send(now time.Time, c *claim, w *wait) Actions {
	router := e.opts.Router
	srv, reason := router.Pick(now, policy.Pick{Service: w.req.Service, Leaf: c.leaf, Command: true})
	if srv == nil {
		f := Finish{Problem: e.problem(now, w, http.StatusServiceUnavailable, "no backend server", string(reason), figmast.NotRun)}
		return e.finish(c, f)
	}
	router.Begin(now, srv)
	c.server = srv
	c.sent = now
	id := e.opts.NextCall()
	e.calls[id] = c
	return Actions{Send: []leafcall.Send{{
		ID: id, Server: srv, RequestID: w.req.ID, Operation: w.req.Operation,
		Payload: w.req.Payload, Deadline: w.req.Deadline, Command: true,
	}}}
}

// Reply hands in how a call ended.
func (e *Engine) Reply(now time.Time, id leafcall.ID, res leafcall.Result) Actions {
	c := e.calls[id]
	if c == nil {
		return Actions{}
	}
	delete(e.calls, id)
	e.opts.Router.Done(now, c.server, policy.Observation{Latency: now.Sub(c.sent), Cold: res.Cold})
	w := c.waiting[0]
	f := Finish{}
	switch {
	case res.Status == leafcall.OK:
		f.Answer = &figmast.CommandAnswer{
			RequestID: w.req.ID, Service: w.req.Service, Outcome: figmast.Ran,
			Leaf: c.leaf, Server: c.server.ID, Result: res.Body,
		}
	case res.NotRun():
		f.Problem = e.problem(now, w, http.StatusServiceUnavailable, "the backend server did not run the command", c.server.ID, figmast.NotRun)
	default:
		f.Problem = e.problem(now, w, http.StatusBadGateway, "the command may have run", c.server.ID, figmast.Unknown)
	}
	return e.finish(c, f)
}

// Forwarded hands in a peer's answer to a Forward: Answer or Problem is set,
// or neither where the peer could not be asked.
func (e *Engine) Forwarded(now time.Time, run RunID, f Finish) Actions {
	w := e.waits[run]
	if w == nil {
		return Actions{}
	}
	delete(e.waits, run)
	if f.Answer == nil && f.Problem == nil {
		f.Problem = e.problem(now, w, http.StatusBadGateway, "the host that minted the ticket cannot be reached", "forward", figmast.Unknown)
	}
	return Actions{Finish: []Finish{f.addressed(w)}}
}

// Tick forgets claims of lapsed tickets and refuses callers out of time.
func (e *Engine) Tick(now time.Time) Actions {
	var out Actions
	for serial, c := range e.claims {
		if c.final != nil && now.After(c.expires) {
			delete(e.claims, serial)
		}
	}
	return out
}

func (e *Engine) finish(c *claim, f Finish) Actions {
	c.final = &f
	var out Actions
	for _, w := range c.waiting {
		delete(e.waits, w.run)
		out.Finish = append(out.Finish, f.addressed(w))
	}
	c.waiting = nil
	return out
}

// addressed directs the outcome to one waiting caller.
func (f Finish) addressed(w *wait) Finish {
	f.Run = w.run
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

func (e *Engine) refuse(now time.Time, w *wait, status int, title, detail string, o figmast.Outcome) Actions {
	delete(e.waits, w.run)
	return Actions{Finish: []Finish{{Run: w.run, Problem: e.problem(now, w, status, title, detail, o)}}}
}

func (e *Engine) problem(now time.Time, w *wait, status int, title, detail string, o figmast.Outcome) *figmast.Problem {
	p := &figmast.Problem{
		Type: "about:blank", Title: title, Status: status, Detail: detail,
		RequestID: w.req.ID, Step: "command", Outcome: o,
	}
	if status == http.StatusServiceUnavailable {
		p.RetryAfterMs = e.opts.Router.Backoff(now, w.req.Service, policy.AllBusy).Milliseconds()
	}
	return p
}

// pickLeaf returns the leaf that holds the key in the newest snapshot.
func pickLeaf(doc *document.Service, key string) string {
	snap := doc.Snapshots[len(doc.Snapshots)-1]
	var best string
	var bestScore uint64
	for _, w := range snap.Weights {
		if w.Weight == 0 {
			continue
		}
		score := xxhash.Sum64String(w.Leaf + "\x00" + key)
		if best == "" || score > bestScore {
			best, bestScore = w.Leaf, score
		}
	}
	return best
}
