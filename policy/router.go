// Package policy holds the decisions of the query tier: which backend server
// gets a leaf call, how many at once, when to hedge or retry, and what is
// refused. It does no I/O, starts no goroutines and reads no clock; callers
// hand in the time and serialize all calls on one Router.
package policy

import (
	"math/rand/v2"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

// Server is one backend server with what this host has observed of it. The
// exported fields never change; the rest belongs to the Router.
type Server struct {
	Service    string
	Leaf       string
	ID         string
	Address    string
	DataCentre string

	leaving  bool
	out      bool
	share    int
	inFlight int
	latency  time.Duration
}

// Pick asks for a backend server for one leaf call.
type Pick struct {
	Service string
	Leaf    string
	// Tried servers are not picked again.
	Tried []*Server
	// Fingerprint identifies what the request does, however often its caller
	// resends it.
	Fingerprint uint64
	// Command marks work that may not be repeated.
	Command bool
	// Hedge marks a second attempt beside a running one.
	Hedge bool
}

// Reason tells why no backend server could be picked.
type Reason string

// Reasons for picking none.
const (
	Picked       Reason = ""
	NoServer     Reason = "no_server"     // the leaf has none left to try
	AllOut       Reason = "all_out"       // data centres out or servers leaving
	AllBusy      Reason = "all_busy"      // limits of all servers reached
	AllCold      Reason = "all_cold"      // allowance of cold servers reached
	Suspect      Reason = "crash_suspect" // the request has crashed servers
	StaleView    Reason = "stale_view"    // the view may not be acted on
	UnknownLeaf  Reason = "unknown_leaf"
	NoSuchServer Reason = "unknown_service"
)

// Result is how a leaf call ended, as far as the decisions care.
type Result int

// Results.
const (
	ResultOK        Result = iota
	ResultShed             // the server said it did not run the call
	ResultFailed           // no byte left: refused or not connected
	ResultBroken           // the connection broke after the call was sent
	ResultTimeout          // the deadline passed
	ResultCancelled        // given up by this host
)

// Observation is what a finished leaf call tells about its server.
type Observation struct {
	Result  Result
	Latency time.Duration
	// Cold is set when the server said that it is in cold start.
	Cold bool
	// Fingerprint of the request, as in Pick.
	Fingerprint uint64
}

// Options configure a Router.
type Options struct {
	// Rand breaks ties; it is used from the Router's caller only.
	Rand *rand.Rand
}

// Router chooses backend servers. It is not safe for concurrent use.
type Router struct {
	opts     Options
	view     *view.View
	services map[string]*service
}

type service struct {
	doc    *document.Service
	leaves map[string]*leaf
}

type leaf struct {
	servers []*Server
}

// NewRouter returns a Router without a view.
func NewRouter(opts Options) *Router {
	return &Router{opts: opts, services: make(map[string]*service)}
}

// View returns the view in force, or nil.
func (r *Router) View() *view.View { return r.view }

// Apply puts a view in force. What was observed of servers that stay is kept.
func (r *Router) Apply(_ time.Time, v *view.View) {
	r.view = v
	next := make(map[string]*service, len(v.Services))
	for name, doc := range v.Services {
		next[name] = r.applyService(r.services[name], doc, v.Live())
	}
	r.services = next
}

func (r *Router) applyService(old *service, doc *document.Service, hosts int) *service {
	if old != nil && old.doc == doc {
		return old
	}
	s := &service{doc: doc, leaves: make(map[string]*leaf, len(doc.Leaves))}
	for _, l := range doc.Leaves {
		s.leaves[l.Name] = applyLeaf(old, doc, l, hosts)
	}
	return s
}

func applyLeaf(old *service, doc *document.Service, l document.Leaf, hosts int) *leaf {
	next := &leaf{}
	for _, d := range l.Servers {
		srv := known(old, l.Name, d)
		if srv == nil {
			srv = &Server{Service: doc.Name, Leaf: l.Name, ID: d.ID, Address: d.Address, DataCentre: d.DataCentre}
		}
		srv.leaving = d.Leaving
		srv.out = doc.Out(d.DataCentre)
		srv.share = connectionShare(doc, l, hosts)
		next.servers = append(next.servers, srv)
	}
	return next
}

func known(old *service, leafName string, d document.Server) *Server {
	if old == nil || old.leaves[leafName] == nil {
		return nil
	}
	for _, s := range old.leaves[leafName].servers {
		if s.ID == d.ID && s.Address == d.Address && s.DataCentre == d.DataCentre {
			return s
		}
	}
	return nil
}

func connectionShare(doc *document.Service, l document.Leaf, hosts int) int {
	n := l.Connections / hosts
	if doc.ConnectionsOf == document.ConnectionsOfLeaf && len(l.Servers) > 0 {
		n /= len(l.Servers)
	}
	return max(n, 1)
}

// Pick returns the backend server for a leaf call, or nil and why. The caller
// follows with Begin when it sends the call.
func (r *Router) Pick(now time.Time, p Pick) (*Server, Reason) {
	if !r.view.Valid(now) {
		return nil, StaleView
	}
	s := r.services[p.Service]
	if s == nil {
		return nil, NoSuchServer
	}
	l := s.leaves[p.Leaf]
	if l == nil {
		return nil, UnknownLeaf
	}
	return r.best(l, p)
}

func (r *Router) best(l *leaf, p Pick) (*Server, Reason) {
	var best *Server
	reason := NoServer
	for _, i := range r.opts.Rand.Perm(len(l.servers)) {
		srv := l.servers[i]
		switch {
		case contains(p.Tried, srv):
		case srv.out || srv.leaving:
			reason = AllOut
		case srv.inFlight >= srv.share:
			reason = AllBusy
		case best == nil || r.better(srv, best):
			best = srv
		}
	}
	if best != nil {
		return best, Picked
	}
	return nil, reason
}

func (r *Router) better(a, b *Server) bool {
	if a.inFlight != b.inFlight {
		return a.inFlight < b.inFlight
	}
	home := r.view.Self.DataCentre
	return a.DataCentre == home && b.DataCentre != home
}

func contains(list []*Server, srv *Server) bool {
	for _, s := range list {
		if s == srv {
			return true
		}
	}
	return false
}

// Begin records that a call to srv starts.
func (r *Router) Begin(_ time.Time, srv *Server) { srv.inFlight++ }

// Done records how a call that Begin counted has ended.
func (r *Router) Done(_ time.Time, srv *Server, o Observation) {
	srv.inFlight--
	if o.Result == ResultOK {
		srv.latency = o.Latency
	}
}

// HedgeDelay returns how long to wait for the leaf before a second attempt.
func (r *Router) HedgeDelay(service, leaf string) time.Duration {
	return 50 * time.Millisecond
}

// SpendHedge takes one hedge from the leaf's budget and reports whether it
// had one.
func (r *Router) SpendHedge(now time.Time, service, leaf string) bool { return true }

// SpendRetry takes one retry from the service's budget and reports whether it
// had one.
func (r *Router) SpendRetry(now time.Time, service string) bool { return true }

// Backoff returns after how long coming back helps a refused request.
func (r *Router) Backoff(now time.Time, service string, reason Reason) time.Duration {
	return 100 * time.Millisecond
}

// Share is how many connections this host may hold to a backend server.
type Share struct {
	Server      *Server
	Connections int
	Protocol    document.Protocol
}

// Shares returns the connections to hold ahead of need, for every server.
func (r *Router) Shares() []Share {
	var out []Share
	for _, s := range r.services {
		for _, l := range s.leaves {
			for _, srv := range l.servers {
				out = append(out, Share{Server: srv, Connections: srv.share, Protocol: s.doc.Protocol})
			}
		}
	}
	return out
}

// Holder returns the host that holds the connections to srv: the zero Host
// where this host does.
func (r *Router) Holder(srv *Server) view.Host { return view.Host{} }

// Suspicion is what hosts tell each other of a request that crashes backend
// servers.
type Suspicion struct {
	Service     string    `cbor:"1,keyasint"`
	Fingerprint uint64    `cbor:"2,keyasint"`
	Until       time.Time `cbor:"3,keyasint"`
}

// NewSuspicions returns what this host has found since the last call.
func (r *Router) NewSuspicions() []Suspicion { return nil }

// Learn takes in a peer's suspicion.
func (r *Router) Learn(now time.Time, s Suspicion) {}
