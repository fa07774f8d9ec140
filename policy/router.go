// Package policy holds the decisions of the query tier: which backend server
// gets a leaf call, how many at once, when to hedge or retry, and what is
// refused. It does no I/O, starts no goroutines and reads no clock; callers
// hand in the time and serialize all calls on one Router.
package policy

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// Options configure a Router.
type Options struct {
	// Rand breaks ties; it is used from the Router's caller only.
	Rand *rand.Rand
	// ShareLag is how late a host may act on a change that the platform has
	// published, at most. Newcomers wait for it and freed connections are kept
	// back for it, so that the fleet never holds more than a server's limit.
	// Zero means that all hosts change their views at the same moment.
	ShareLag time.Duration
	// HolderConnections is the least number of connections that a host takes
	// to a server when there are fewer connections than hosts; all hosts must
	// agree on it. Zero means 1.
	HolderConnections int

	without mechanisms
}

// mechanisms can be switched off one by one, so that tests and benchmarks
// show what each is for.
type mechanisms struct {
	scoring   bool // replica choice by latency and failures
	coldStart bool
	limiter   bool
	suspects  bool
}

// Router chooses backend servers. It is not safe for concurrent use.
type Router struct {
	opts     Options
	view     *view.View
	services map[string]*service
	// leaves of all services, for passes over every server.
	leaves []*leaf
	fleet  *fleet
	// selfHash is the hash of this host's ID.
	selfHash uint64

	// epoch counts the allotments worked out.
	epoch uint64
	// sharing is set while the view allows connections to be held.
	sharing bool
	// absent are the members that take no new work.
	absent []*member
	// relays is set while peers can hold connections for this host.
	relays bool
	// nextShare is when time alone changes the allotments, or 0.
	nextShare time.Duration

	suspects suspects
	// start and last are the first and the latest time handed in.
	start time.Time
	last  time.Duration
}

// service is what a Router knows of one service.
type service struct {
	name    string
	doc     *document.Service
	leaves  map[string]*leaf
	retries budget
	// hedges takes what the leaves' own budgets cannot hold.
	hedges  budget
	latency histogram
	flow    flow
}

// leaf is what a Router knows of one leaf.
type leaf struct {
	service  *service
	name     string
	hash     uint64
	doc      document.Leaf
	servers  []*Server
	division []divided
	latency  histogram
	hedges   budget
}

// NewRouter returns a Router without a view.
func NewRouter(opts Options) *Router {
	return &Router{
		opts:     opts,
		services: make(map[string]*service),
		fleet:    newFleet(opts.ShareLag),
		suspects: newSuspects(),
	}
}

// View returns the view in force, or nil.
func (r *Router) View() *view.View { return r.view }

// at converts a time to the Router's scale and notes it.
func (r *Router) at(now time.Time) time.Duration {
	if r.start.IsZero() {
		// One second before, so that no moment is 0, which means never.
		r.start = now.Add(-time.Second)
	}
	r.last = max(r.last, now.Sub(r.start))
	return r.last
}

// Apply puts a view in force. What was observed of servers that stay is kept.
func (r *Router) Apply(now time.Time, v *view.View) {
	at := r.at(now)
	old := r.view
	r.view = v
	r.selfHash = xxhash.Sum64String(v.Self.ID)
	r.applyHosts(at, v)
	if old != nil && !old.Valid(now) {
		r.returned(old)
	}
	r.applyServices(at, v)
	r.share(at, v.Valid(now))
}

func (r *Router) applyHosts(at time.Duration, v *view.View) {
	self := r.fleet.self
	came, went := r.fleet.update(at, v)
	if self == r.fleet.self {
		r.rankChanges(came, went)
		return
	}
	for _, l := range r.leaves {
		for _, srv := range l.servers {
			srv.rank = r.fleet.rank(srv)
		}
	}
}

func (r *Router) applyServices(at time.Duration, v *view.View) {
	next := make(map[string]*service, len(v.Services))
	changed := len(v.Services) != len(r.services)
	for name, doc := range v.Services {
		s := r.services[name]
		if s == nil {
			s = newService(name)
		}
		if s.doc != doc {
			changed = true
			r.applyDocument(at, s, doc)
		}
		next[name] = s
	}
	r.services = next
	if changed {
		r.collectLeaves()
	}
}

// collectLeaves lists the leaves anew, in the order of the documents, so that
// equal runs make equal decisions.
func (r *Router) collectLeaves() {
	r.leaves = r.leaves[:0]
	for _, name := range sortedNames(r.services) {
		s := r.services[name]
		for i := range s.doc.Leaves {
			r.leaves = append(r.leaves, s.leaves[s.doc.Leaves[i].Name])
		}
	}
}

func newService(name string) *service {
	return &service{
		name:    name,
		leaves:  make(map[string]*leaf),
		retries: newBudget(retryBurst),
		hedges:  newBudget(hedgePool),
	}
}

func (r *Router) applyDocument(at time.Duration, s *service, doc *document.Service) {
	s.doc = doc
	next := make(map[string]*leaf, len(doc.Leaves))
	for _, d := range doc.Leaves {
		l := s.leaves[d.Name]
		if l == nil {
			l = &leaf{service: s, name: d.Name, hash: xxhash.Sum64String(s.name + "\x00" + d.Name), hedges: newBudget(hedgeBurst)}
		}
		r.applyLeaf(at, l, d)
		next[d.Name] = l
	}
	s.leaves = next
}

func (r *Router) applyLeaf(at time.Duration, l *leaf, d document.Leaf) {
	old := l.servers
	l.doc = d
	l.servers = make([]*Server, 0, len(d.Servers))
	for _, entry := range d.Servers {
		srv := find(old, entry)
		if srv == nil {
			srv = newServer(l, entry)
			srv.rank = r.fleet.rank(srv)
			srv.home = entry.DataCentre == r.view.Self.DataCentre
			srv.warmth.meet(at, len(old) > 0)
		}
		wasOut := srv.out
		srv.leaving = entry.Leaving
		srv.out = l.service.doc.Out(entry.DataCentre)
		if wasOut && !srv.out {
			srv.warmth.chill(at, srv)
		}
		l.servers = append(l.servers, srv)
	}
	for _, srv := range old {
		srv.removed = !contains(l.servers, srv)
	}
}

func find(list []*Server, d document.Server) *Server {
	for _, srv := range list {
		if srv.is(d) {
			return srv
		}
	}
	return nil
}

// sortedNames returns the services' names in order.
func sortedNames(services map[string]*service) []string {
	return slices.Sorted(maps.Keys(services))
}

func contains(list []*Server, srv *Server) bool {
	for _, s := range list {
		if s == srv {
			return true
		}
	}
	return false
}
