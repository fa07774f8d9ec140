// Package soak runs the real programs as separate processes on loopback while
// faults are injected from outside, in series drawn from one seed, and checks
// the promises from what callers and backend servers have seen.
package soak

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/figmast/figmast/gateway"
	"github.com/figmast/figmast/platform"
	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

// Options configure a run.
type Options struct {
	// Program is the path of figmast-gateway, Dir where logs are kept, in a
	// folder for each seed.
	Program string
	Dir     string
	Seed    uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Hosts and Clients are how many run.
	Hosts, Clients int
	// CrashRequests has one client send a request that ends every server that runs
	// it.
	CrashRequests bool
	// ServersPerService is how many backend servers each service begins with; 0 means 3.
	ServersPerService int
	// ThirdOctet is the first host's last octets' base, so that runs do not meet.
	ThirdOctet int
}

// Report is what a run found.
type Report struct {
	Requests, Served, Refused, Failed, Unanswered int
	Faults                                        []string
	// Stalled is how long the run itself did not get to run, in sum.
	Stalled time.Duration
}

const (
	gatherShards = 5
	leastShare   = 0.6
	topRecords   = 10
	// perService is how many servers a service begins with.
	perService = 3
	// warmUp is how long hosts take to find each other and the entries.
	warmUp = 3 * time.Second
	// clientPause is a client's mean pause between requests.
	clientPause = 15 * time.Millisecond
)

// services of the run: the gather route's shards, and two for other requests.
var plainServices = []string{"alpha", "beta"}

// world is everything that a run has started.
type world struct {
	opts     Options
	headers  gateway.Headers
	random   *rand.Rand
	store    *standin.Store
	server   *http.Server
	hosts    []*host
	backends []*backend
	ledger   ledger
	drained  map[string]time.Time
	moves    []move
	version  int64
	next     int
	notes    *notes
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	o.Dir = filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Report{}, err
	}
	n, err := newNotes(filepath.Join(o.Dir, "notes.log"))
	if err != nil {
		return Report{}, err
	}
	defer n.close()
	w := &world{
		opts: o, headers: platform.Headers(), random: rand.New(rand.NewPCG(o.Seed, 1)), store: standin.NewStore(),
		drained: make(map[string]time.Time), notes: n,
	}
	defer w.end()
	if err := w.begin(); err != nil {
		return Report{}, err
	}
	c := &clients{hosts: w.hosts, headers: w.headers, pause: clientPause}
	clientsCtx, stop := context.WithCancel(ctx)
	defer stop()
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); c.run(clientsCtx, o.Clients, o.Seed) }()
	if o.CrashRequests {
		done.Add(1)
		go func() { defer done.Done(); c.crashing(clientsCtx, rand.New(rand.NewPCG(o.Seed, 2))) }()
	}
	err = w.trouble(ctx)
	stop()
	done.Wait()
	if err != nil {
		return Report{}, err
	}
	h := &history{results: c.results, runs: make(map[string][]execution), moves: w.moves, world: w}
	w.ledger.mu.Lock()
	for _, x := range w.ledger.runs {
		h.runs[x.request] = append(h.runs[x.request], x)
	}
	h.turned, h.drained = w.ledger.turned, maps.Clone(w.drained)
	w.ledger.mu.Unlock()
	r := h.report()
	r.Stalled = n.stalled()
	for _, f := range r.Faults {
		n.add("promise broken: %s", f)
	}
	return r, nil
}

func (h *history) report() Report {
	r := Report{Requests: len(h.results), Faults: h.check()}
	for _, x := range h.results {
		switch {
		case x.status == http.StatusOK:
			r.Served++
		case x.status == http.StatusServiceUnavailable:
			r.Refused++
		case x.status != 0:
			r.Failed++
		default:
			r.Unanswered++
		}
	}
	return r
}

func (w *world) begin() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }() // it ends with the run
	for _, service := range append(w.shards(), plainServices...) {
		for i := range cmp.Or(w.opts.ServersPerService, perService) {
			if err := w.addBackend(service, i); err != nil {
				return err
			}
		}
	}
	w.configure(plainServices[0])
	var seeds []string
	for i := range w.opts.Hosts {
		address := fmt.Sprintf("127.1.%d.%d", w.opts.ThirdOctet, i+1)
		if i < 3 {
			seeds = append(seeds, address)
		}
		p, err := newLink("127.0.0.1:0", l.Addr().String())
		if err != nil {
			return err
		}
		w.hosts = append(w.hosts, &host{program: w.opts.Program, dir: w.opts.Dir, store: p, Host: standin.Host{
			Name: fmt.Sprintf("host-%d", i+1), Address: address, DataCentre: zone(i), Store: p.address(),
			Callers: callersPort, Ready: readyPort, Control: controlPort, First: firstPort, Last: lastPort, Grace: grace, Apply: apply,
		}})
	}
	for _, h := range w.hosts {
		h.Seeds = seeds
		if err := h.start(); err != nil {
			return err
		}
	}
	time.Sleep(warmUp)
	return nil
}

func zone(i int) string { return string(rune('a' + i%3)) }

func (w *world) shards() []string {
	var out []string
	for i := range gatherShards {
		out = append(out, fmt.Sprintf("shard-%d", i))
	}
	return out
}

// allowed reports whether any configuration lets a kind of request go to a
// service.
func (w *world) allowed(kind, service string) bool {
	switch kind {
	case kindGather:
		return len(service) > 6 && service[:6] == "shard-"
	case kindOnce:
		return service == plainServices[0]
	}
	return service == plainServices[0] || service == plainServices[1]
}

func (w *world) addBackend(service string, i int) error {
	w.next++
	b, err := newBackend(route.Server{
		ID: fmt.Sprintf("i-%d", w.next), StartUnixMs: time.Now().UnixMilli(), Service: service, DataCentre: zone(i), Slots: 8,
	}, w.headers, &w.ledger, w.opts.Seed+uint64(w.next))
	if err != nil {
		return err
	}
	b.crash = w.crash
	w.backends = append(w.backends, b)
	w.store.PutServer(b.entry)
	return nil
}

// configure publishes a version in which repeatable requests go to a service.
func (w *world) configure(service string) {
	w.version++
	base := route.Route{Host: hostName, Timeout: 3 * time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 2}
	once, repeat, gather := base, base, base
	once.Name, once.Prefix, once.Service = kindOnce, "/"+kindOnce+"/", plainServices[0]
	repeat.Name, repeat.Prefix, repeat.Service, repeat.Idempotent = kindRepeat, "/"+kindRepeat+"/", service, true
	gather.Name, gather.Prefix, gather.Gather, gather.Idempotent = kindGather, "/"+kindGather+"/", w.shards(), true
	gather.TopK, gather.MinShardRatio = topRecords, leastShare
	c := &route.Config{
		Version: w.version, Routes: []route.Route{once, repeat, gather}, Services: make(map[string]route.Service),
		Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 18, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, s := range append(w.shards(), plainServices...) {
		c.Services[s] = route.Service{Name: s, MaxConnections: 200}
	}
	w.moves = append(w.moves, move{time.Now(), service})
	w.store.PutConfig(c)
	w.notes.add("version %d: %s at %s", w.version, kindRepeat, service)
}

func (w *world) end() {
	var done sync.WaitGroup
	for _, h := range w.hosts {
		if h.cmd == nil {
			continue
		}
		done.Add(1)
		go func() { defer done.Done(); h.end() }()
	}
	done.Wait()
	for _, b := range w.backends {
		b.close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}
