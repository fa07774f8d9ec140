// Package policy holds the routing decisions: which backend server gets a call,
// how many calls run at once, when to hedge or retry, and what is refused. It
// does no I/O, starts no goroutines and reads no clock; callers pass in the
// time and serialize all calls on one Router or Balancer.
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
	// Rand is used for load distribution and jitter, only in calls on the Router.
	Rand *rand.Rand
	// ShareLag is the longest delay with which a host acts on a change that the
	// platform has published. New hosts wait that long and freed connections stay
	// reserved that long, so that the fleet never holds more than a server's
	// limit. Zero means that all hosts change their views at the same moment.
	ShareLag time.Duration
	// HolderConnections is the least number of connections that a host holds to a
	// server if it holds any; it matters where there are fewer connections than
	// hosts. All hosts must use the same value. Zero means 1.
	HolderConnections int

	disabled mechanisms
}

// mechanisms disables parts of the policy one by one, so that tests and
// benchmarks show the effect of each.
type mechanisms struct {
	scoring   bool // server selection by latency and failures
	coldStart bool
	limiter   bool
	suspects  bool
}

// Router chooses backend servers for leaf calls. It is not safe for concurrent
// use.
type Router struct {
	opts     Options
	view     *view.View
	services map[string]*service
	// leaves holds the leaves of all services.
	leaves []*leaf
	fleet  *fleet
	// selfHash is the hash of this host's ID.
	selfHash uint64

	// epoch counts the computations of the shares.
	epoch uint64
	// sharesInForce is set while the shares are those of a valid view; clearing it
	// makes Advance compute them anew.
	sharesInForce bool
	// inactive holds the other members that take no new work.
	inactive []*member
	// hasPeerHolders is set while peers can hold connections for this host.
	hasPeerHolders bool
	// nextShareAt is when the shares next change by time alone, or 0.
	nextShareAt time.Duration

	suspects suspects
	// start and last are the first and the latest time passed in.
	start time.Time
	last  time.Duration
}

// service is the Router's record of one service.
type service struct {
	name    string
	doc     *document.Service
	leaves  map[string]*leaf
	retries tokenBucket
	// hedges is the pool for tokens that the leaves' own budgets cannot hold.
	hedges  tokenBucket
	latency histogram
	stats   callStats
}

// leaf is the Router's record of one leaf.
type leaf struct {
	service  *service
	name     string
	hash     uint64
	doc      document.Leaf
	servers  []*Server
	division []divisionEntry
	latency  histogram
	hedges   tokenBucket
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

// at converts a time to the Router's scale and records it as the latest.
func (r *Router) at(now time.Time) time.Duration {
	if r.start.IsZero() {
		// Start at one second, as 0 means never.
		r.start = now.Add(-time.Second)
	}
	r.last = max(r.last, now.Sub(r.start))
	return r.last
}

// Apply puts a view in force. Observations of servers that are still in it are
// kept.
func (r *Router) Apply(now time.Time, v *view.View) {
	at := r.at(now)
	old := r.view
	r.view = v
	r.selfHash = xxhash.Sum64String(v.Self.ID)
	r.applyHosts(at, v)
	if old != nil && !old.Valid(now) {
		r.rejoinAfterLapse(old)
	}
	r.applyServices(at, v)
	r.computeShares(at, v.Valid(now))
}

func (r *Router) applyHosts(at time.Duration, v *view.View) {
	self := r.fleet.self
	added, removed := r.fleet.update(at, v)
	if self == r.fleet.self {
		r.updateRanks(added, removed)
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

// collectLeaves rebuilds the list of leaves in the order of the documents, so
// that runs are reproducible.
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
		retries: newTokenBucket(retryBurst),
		hedges:  newTokenBucket(hedgePoolSize),
	}
}

func (r *Router) applyDocument(at time.Duration, s *service, doc *document.Service) {
	s.doc = doc
	next := make(map[string]*leaf, len(doc.Leaves))
	for _, d := range doc.Leaves {
		l := s.leaves[d.Name]
		if l == nil {
			l = &leaf{service: s, name: d.Name, hash: xxhash.Sum64String(s.name + "\x00" + d.Name), hedges: newTokenBucket(hedgeBurst)}
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
		srv := findServer(old, entry)
		if srv == nil {
			srv = newServer(l, entry)
			srv.rank = r.fleet.rank(srv)
			srv.local = entry.DataCentre == r.view.Self.DataCentre
			srv.warmUp.start(at, len(old) > 0)
		}
		wasOut := srv.dataCentreOut
		srv.leaving = entry.Leaving
		srv.dataCentreOut = l.service.doc.IsDataCentreOut(entry.DataCentre)
		if wasOut && !srv.dataCentreOut {
			srv.warmUp.markCold(at, srv)
		}
		l.servers = append(l.servers, srv)
	}
	for _, srv := range old {
		srv.removed = !contains(l.servers, srv)
	}
}

func findServer(list []*Server, d document.Server) *Server {
	for _, srv := range list {
		if srv.matches(d) {
			return srv
		}
	}
	return nil
}

// sortedNames returns the names of the services in order.
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
