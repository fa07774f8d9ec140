package bench

import (
	"math/rand/v2"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/view"
)

// decider is what decides on a host: the query engine or a baseline.
type decider interface {
	Start(now time.Time, req query.Request) (query.RunID, query.Actions)
	Reply(now time.Time, id leafcall.ID, res leafcall.Result) query.Actions
	Tick(now time.Time) query.Actions
	Next() (time.Time, bool)
}

// host is one host of the query tier: the decisions as in the daemon, driven
// by the events of the world.
type host struct {
	world    *world
	self     view.Host
	router   *policy.Router
	decider  decider
	docs     map[string]*document.Service
	pools    map[string]*pool
	calls    map[leafcall.ID]*call
	requests map[query.RunID]*request
	commands *command.Engine
	orders   map[command.WaiterID]func(command.Finish)
	next     func() leafcall.ID
	// commandsAt is when the commands' timer fires.
	commandsAt time.Duration
	ready      bool // as the balancer last saw it
	cut        bool // partitioned from the platform and most hosts
	wakeAt     time.Duration
}

func newHost(w *world, i int, self view.Host) *host {
	h := &host{
		world: w, self: self, pools: make(map[string]*pool),
		calls: make(map[leafcall.ID]*call), requests: make(map[query.RunID]*request),
		orders: make(map[command.WaiterID]func(command.Finish)),
	}
	rnd := rand.New(rand.NewPCG(w.config.Seed, uint64(i)+2))
	h.router = policy.NewRouter(policy.Options{Rand: rnd})
	var last leafcall.ID
	h.next = func() leafcall.ID { last++; return last }
	h.commands = command.NewEngine(command.Options{
		Router: h.router, NextCall: h.next, Host: self.ID, Key: []byte(self.ID), Incarnation: self.ID, Lifetime: ticketLife,
	})
	if w.config.Policy == Figmast {
		h.decider = query.NewEngine(query.Options{Router: h.router, NextCall: h.next})
	} else {
		h.decider = newBaseline(h.router, w.config.Policy, rnd, h.next)
	}
	h.learn()
	h.confirm()
	return h
}

// learn puts the documents now published in force.
func (h *host) learn() {
	if h.cut || !h.world.platform && h.docs != nil {
		return
	}
	h.docs = make(map[string]*document.Service, len(h.world.docs))
	for name, d := range h.world.docs {
		h.docs[name] = d
	}
	h.apply()
	h.share()
}

// share holds the connections that are this host's now.
func (h *host) share() {
	held := make(map[string]bool)
	for _, s := range h.router.Shares() {
		held[s.Server.ID] = true
		h.pool(s.Server).resize(s.Connections)
	}
	for _, s := range h.world.order {
		if p := h.pools[s.id]; p != nil && !held[s.id] {
			p.resize(0)
		}
	}
}

// confirm keeps the view valid while the platform or the peers confirm it,
// spreads crash suspects, and answers the balancer's check.
func (h *host) confirm() {
	if !h.cut {
		h.apply()
	}
	if h.router.Advance(h.world.time()) {
		h.share()
	}
	h.ready = h.router.View().Valid(h.world.time())
	h.world.after(confirmEvery, h.confirm)
}

func (h *host) apply() {
	now := h.world.time()
	h.router.Apply(now, &view.View{
		Self: h.self, Hosts: h.world.members, Services: h.docs, Confirmed: now, ValidUntil: now.Add(viewAge),
	})
	for _, s := range h.router.NewSuspicions() {
		h.world.tell(h, s)
	}
}

func (h *host) pool(srv *policy.Server) *pool {
	p := h.pools[srv.ID]
	if p == nil {
		p = &pool{world: h.world, connect: h.world.connect(srv.Service)}
		h.pools[srv.ID] = p
	}
	return p
}

func (h *host) act(acts query.Actions) {
	for _, s := range acts.Send {
		h.send(s)
	}
	for _, c := range acts.Cancel {
		h.cancel(c.ID)
	}
	for _, f := range acts.Finish {
		r := h.requests[f.Run]
		delete(h.requests, f.Run)
		h.world.after(toCaller, func() { h.world.finished(r, f) })
	}
	h.schedule()
}

func (h *host) schedule() {
	t, ok := h.decider.Next()
	if !ok {
		return
	}
	at := max(t.Sub(epoch), h.world.now)
	if h.wakeAt > h.world.now && h.wakeAt <= at {
		return
	}
	h.wakeAt = at
	h.world.at(at, func() {
		if h.wakeAt == at {
			h.wakeAt = 0
			h.act(h.decider.Tick(h.world.time()))
		}
	})
}

func (h *host) start(r *request) {
	id, acts := h.decider.Start(h.world.time(), r.Request)
	h.requests[id] = r
	h.act(acts)
}

func (h *host) send(s leafcall.Send) {
	carrier := h
	for _, other := range h.world.hosts {
		if other.self.ID == s.Via.ID {
			carrier = other
		}
	}
	srv := h.world.servers[s.Server.ID]
	c := &call{send: s, host: h, pool: carrier.pool(s.Server), server: srv}
	h.calls[s.ID] = c
	way := h.world.distance(carrier.self.DataCentre, srv.zone)
	if carrier != h {
		way += h.world.distance(h.self.DataCentre, carrier.self.DataCentre)
	}
	c.way = way
	c.pool.get(func() bool {
		if c.closed {
			return false
		}
		if s.Guard != nil && !s.Guard(h.world.time()) {
			h.world.after(0, func() { h.result(c, leafcall.Result{Status: leafcall.NotSent}) })
			return false
		}
		c.held = true
		h.world.after(way, func() { srv.arrive(c) })
		return true
	})
}

func (h *host) cancel(id leafcall.ID) {
	c := h.calls[id]
	if c == nil {
		return
	}
	h.world.after(c.way, func() {
		if c.server.drop(c) {
			c.server.next()
		}
	})
	// The host learns of it once the action is carried out, not before.
	h.world.after(0, func() { h.result(c, leafcall.Result{Status: leafcall.Cancelled, Sent: c.held}) })
}

func (h *host) result(c *call, res leafcall.Result) {
	if c.closed {
		return
	}
	c.closed = true
	delete(h.calls, c.send.ID)
	if c.held {
		c.pool.put(res.Status == leafcall.Cancelled || res.Status == leafcall.Broken || res.Status == leafcall.NotSent)
	}
	if !c.send.Command {
		h.act(h.decider.Reply(h.world.time(), c.send.ID, res))
	} else if h.world.config.Policy == Figmast {
		h.actCommand(h.commands.Reply(h.world.time(), c.send.ID, res))
	} else if res.Status == leafcall.OK {
		h.world.after(toCaller, func() {
			h.world.ordered[c.send.RequestID].end(h.world, command.Finish{Answer: &figmast.CommandAnswer{}})
		})
	}
}

// pool is a host's connections to one backend server, opened ahead of need.
type pool struct {
	world   *world
	connect time.Duration
	limit   int
	free    int
	waiting []func() bool
}

func (p *pool) resize(limit int) {
	p.free += limit - p.limit
	p.limit = limit
	p.serve()
}

// get calls use with a connection; use reports whether it still wants one.
func (p *pool) get(use func() bool) {
	p.waiting = append(p.waiting, use)
	p.serve()
}

// put gives a connection back; a broken one is replaced first.
func (p *pool) put(broken bool) {
	if broken {
		p.world.after(p.connect, func() { p.put(false) })
		return
	}
	p.free++
	p.serve()
}

func (p *pool) serve() {
	for p.free > 0 && len(p.waiting) > 0 {
		use := p.waiting[0]
		p.waiting = p.waiting[1:]
		if use() {
			p.free--
		}
	}
}
