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

// queryEngine routes the queries of a host: query.Engine or a baseline.
type queryEngine interface {
	Start(now time.Time, req query.Request) (query.RunID, query.Actions)
	Reply(now time.Time, id leafcall.ID, res leafcall.Result) query.Actions
	Tick(now time.Time) query.Actions
	Next() (time.Time, bool)
}

// host is one simulated host of the query tier. It uses the engines of the
// daemon, driven by the events of the world.
type host struct {
	world          *world
	self           view.Host
	router         *policy.Router
	queries        queryEngine
	docs           map[string]*document.Service
	pools          map[string]*pool
	calls          map[leafcall.ID]*call
	requests       map[query.RunID]*request
	commandEngine  *command.Engine
	commandWaiters map[command.WaiterID]func(command.Finish)
	nextCall       func() leafcall.ID
	// commandTickAt is when the timer of the command engine fires.
	commandTickAt time.Duration
	ready         bool // at the load balancer's last check
	partitioned   bool // cut off from the platform and most hosts
	tickAt        time.Duration
}

func newHost(w *world, i int, self view.Host) *host {
	h := &host{
		world: w, self: self, pools: make(map[string]*pool),
		calls: make(map[leafcall.ID]*call), requests: make(map[query.RunID]*request),
		commandWaiters: make(map[command.WaiterID]func(command.Finish)),
	}
	rnd := rand.New(rand.NewPCG(w.config.Seed, uint64(i)+2))
	h.router = policy.NewRouter(policy.Options{Rand: rnd})
	var last leafcall.ID
	h.nextCall = func() leafcall.ID { last++; return last }
	h.commandEngine = command.NewEngine(command.Options{
		Router: h.router, NextCall: h.nextCall, Host: self.ID, Key: []byte(self.ID), Incarnation: self.ID, Lifetime: ticketLifetime,
	})
	if w.config.Policy == Figmast {
		h.queries = query.NewEngine(query.Options{Router: h.router, NextCall: h.nextCall})
	} else {
		h.queries = newBaseline(h.router, w.config.Policy, rnd, h.nextCall)
	}
	h.loadDocuments()
	h.confirmView()
	return h
}

// loadDocuments applies the documents that are published now, if the platform is
// reachable. A new host loads them also while the platform is down.
func (h *host) loadDocuments() {
	if h.partitioned || !h.world.platformUp && h.docs != nil {
		return
	}
	h.docs = make(map[string]*document.Service, len(h.world.docs))
	for name, d := range h.world.docs {
		h.docs[name] = d
	}
	h.applyView()
	h.resizePools()
}

// resizePools sets each connection pool to this host's current share.
func (h *host) resizePools() {
	held := make(map[string]bool)
	for _, s := range h.router.Shares() {
		held[s.Server.ID] = true
		h.pool(s.Server).resize(s.Connections)
	}
	for _, s := range h.world.serverList {
		if p := h.pools[s.id]; p != nil && !held[s.id] {
			p.resize(0)
		}
	}
}

// confirmView renews the view while the host is not partitioned, shares new
// crash suspicions and updates the readiness that the load balancer sees. It
// runs every confirmInterval.
func (h *host) confirmView() {
	if !h.partitioned {
		h.applyView()
	}
	if h.router.Advance(h.world.time()) {
		h.resizePools()
	}
	h.ready = h.router.View().Valid(h.world.time())
	h.world.after(confirmInterval, h.confirmView)
}

func (h *host) applyView() {
	now := h.world.time()
	h.router.Apply(now, &view.View{
		Self: h.self, Hosts: h.world.members, Services: h.docs, ConfirmedAt: now, ValidUntil: now.Add(viewValidity),
	})
	for _, s := range h.router.TakeSuspicions() {
		h.world.shareSuspicion(h, s)
	}
}

func (h *host) pool(srv *policy.Server) *pool {
	p := h.pools[srv.ID]
	if p == nil {
		p = &pool{world: h.world, connectTime: h.world.connectTime(srv.Service)}
		h.pools[srv.ID] = p
	}
	return p
}

func (h *host) applyActions(acts query.Actions) {
	for _, s := range acts.Send {
		h.sendCall(s)
	}
	for _, c := range acts.Cancel {
		h.cancelCall(c.ID)
	}
	for _, f := range acts.Finish {
		r := h.requests[f.Run]
		delete(h.requests, f.Run)
		h.world.after(callerLatency, func() { h.world.finishQuery(r, f) })
	}
	h.scheduleTick()
}

func (h *host) scheduleTick() {
	t, ok := h.queries.Next()
	if !ok {
		return
	}
	at := max(t.Sub(epoch), h.world.now)
	if h.tickAt > h.world.now && h.tickAt <= at {
		return
	}
	h.tickAt = at
	h.world.at(at, func() {
		if h.tickAt == at {
			h.tickAt = 0
			h.applyActions(h.queries.Tick(h.world.time()))
		}
	})
}

func (h *host) startQuery(r *request) {
	id, acts := h.queries.Start(h.world.time(), r.Request)
	h.requests[id] = r
	h.applyActions(acts)
}

func (h *host) sendCall(s leafcall.Send) {
	sender := h
	for _, other := range h.world.hosts {
		if other.self.ID == s.Via.ID {
			sender = other
		}
	}
	srv := h.world.servers[s.Server.ID]
	c := &call{send: s, host: h, pool: sender.pool(s.Server), server: srv}
	h.calls[s.ID] = c
	oneWay := h.world.latency(sender.self.DataCentre, srv.dataCentre)
	if sender != h {
		oneWay += h.world.latency(h.self.DataCentre, sender.self.DataCentre)
	}
	c.oneWay = oneWay
	c.pool.acquire(func() bool {
		if c.finished {
			return false
		}
		if s.Guard != nil && !s.Guard(h.world.time()) {
			h.world.after(0, func() { h.handleResult(c, leafcall.Result{Status: leafcall.NotSent}) })
			return false
		}
		c.hasConnection = true
		h.world.after(oneWay, func() { srv.receive(c) })
		return true
	})
}

func (h *host) cancelCall(id leafcall.ID) {
	c := h.calls[id]
	if c == nil {
		return
	}
	h.world.after(c.oneWay, func() {
		if c.server.remove(c) {
			c.server.startNext()
		}
	})
	// Deliver the result as an event of its own: the engine must not get a reply
	// while its actions are still being applied.
	h.world.after(0, func() { h.handleResult(c, leafcall.Result{Status: leafcall.Cancelled, Sent: c.hasConnection}) })
}

func (h *host) handleResult(c *call, res leafcall.Result) {
	if c.finished {
		return
	}
	c.finished = true
	delete(h.calls, c.send.ID)
	if c.hasConnection {
		c.pool.release(res.Status == leafcall.Cancelled || res.Status == leafcall.Broken || res.Status == leafcall.NotSent)
	}
	if !c.send.Command {
		h.applyActions(h.queries.Reply(h.world.time(), c.send.ID, res))
	} else if h.world.config.Policy == Figmast {
		h.applyCommandActions(h.commandEngine.Reply(h.world.time(), c.send.ID, res))
	} else if res.Status == leafcall.OK {
		h.world.after(callerLatency, func() {
			h.world.commands[c.send.RequestID].finish(h.world, command.Finish{Answer: &figmast.CommandAnswer{}})
		})
	}
}

// pool holds a host's pre-opened connections to one backend server.
type pool struct {
	world       *world
	connectTime time.Duration
	limit       int
	free        int
	waiting     []func() bool
}

func (p *pool) resize(limit int) {
	p.free += limit - p.limit
	p.limit = limit
	p.serveWaiting()
}

// acquire calls use once a connection is free; use reports whether it takes it.
func (p *pool) acquire(use func() bool) {
	p.waiting = append(p.waiting, use)
	p.serveWaiting()
}

// release returns a connection to the pool. A broken one is replaced first,
// which takes connectTime.
func (p *pool) release(broken bool) {
	if broken {
		p.world.after(p.connectTime, func() { p.release(false) })
		return
	}
	p.free++
	p.serveWaiting()
}

func (p *pool) serveWaiting() {
	for p.free > 0 && len(p.waiting) > 0 {
		use := p.waiting[0]
		p.waiting = p.waiting[1:]
		if use() {
			p.free--
		}
	}
}
