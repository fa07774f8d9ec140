package policy

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/view"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// shape describes a service for tests.
type shape struct {
	name        string
	leaves      int
	servers     int
	slots       int
	connections int
	centres     int
	edit        func(*document.Service)
}

func (s shape) doc() *document.Service {
	name := s.name
	if name == "" {
		name = "svc"
	}
	d := &document.Service{
		Name: name, Version: 1,
		SlotsMean: document.SlotsAreReplicas, ConnectionsOf: document.ConnectionsOfServer, Protocol: document.HTTP1,
		ColdStart: document.ColdStart{Allowance: document.DefaultColdStartAllowance, WarmAfter: document.DefaultWarmAfter},
		Hedging:   document.Hedging{Quantile: document.DefaultHedgeQuantile, Budget: document.DefaultHedgeBudget},
		Retries:   document.Retries{Budget: document.DefaultRetryBudget, Attempts: document.DefaultAttempts},
	}
	for i := range max(s.leaves, 1) {
		l := document.Leaf{Name: fmt.Sprintf("leaf%d", i), Slots: max(s.slots, s.servers), Connections: s.connections}
		for j := range s.servers {
			l.Servers = append(l.Servers, server(i, j, s.centres))
		}
		d.Leaves = append(d.Leaves, l)
	}
	if s.edit != nil {
		s.edit(d)
	}
	return d
}

func server(leaf, n, centres int) document.Server {
	return document.Server{
		ID:         fmt.Sprintf("s%d-%d", leaf, n),
		Address:    fmt.Sprintf("10.%d.%d.%d:80", leaf/250, leaf%250, n+1),
		DataCentre: centre(n, centres),
	}
}

func centre(n, centres int) string { return fmt.Sprintf("dc%d", n%max(centres, 1)) }

func hostList(n, centres int) []view.Host {
	var hosts []view.Host
	for i := range n {
		hosts = append(hosts, view.Host{ID: fmt.Sprintf("h%03d", i), DataCentre: centre(i, centres)})
	}
	return hosts
}

func viewOf(self view.Host, hosts []view.Host, docs ...*document.Service) *view.View {
	v := &view.View{Self: self, Hosts: hosts, Services: make(map[string]*document.Service), ValidUntil: epoch.Add(1000 * time.Hour)}
	for _, d := range docs {
		v.Services[d.Name] = d
	}
	return v
}

func newTestRouter(seed uint64, opts Options) *Router {
	opts.Rand = rand.New(rand.NewPCG(seed, 1))
	return NewRouter(opts)
}

// routers returns one Router for each of n hosts, all with the same view.
func routers(n, centres int, opts Options, docs ...*document.Service) []*Router {
	hosts := hostList(n, centres)
	var out []*Router
	for i, h := range hosts {
		r := newTestRouter(uint64(i), opts)
		r.Apply(epoch, viewOf(h, hosts, docs...))
		out = append(out, r)
	}
	return out
}

func (r *Router) server(service, leaf, id string) *Server {
	for _, srv := range r.services[service].leaves[leaf].servers {
		if srv.ID == id {
			return srv
		}
	}
	return nil
}
