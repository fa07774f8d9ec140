// Package soak runs the real programs as separate processes on loopback, injects a
// sequence of faults drawn from a seed, and checks the promises of the system
// against what clients and backend servers observed.
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
	// Program is the path of figmast-gateway. Dir is where logs are kept, in a
	// subfolder for each seed.
	Program string
	Dir     string
	Seed    uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Hosts and Clients are the numbers of hosts and clients.
	Hosts, Clients int
	// CrashRequests adds a client that sends a request which crashes every backend
	// server that runs it.
	CrashRequests bool
	// ServersPerService is how many backend servers each service starts with; 0
	// means 3.
	ServersPerService int
	// ThirdOctet is the third octet of the hosts' loopback addresses. Concurrent
	// runs need different ones.
	ThirdOctet int
}

// Report is the result of a run.
type Report struct {
	// Requests is the number of requests. The others count them by status:
	// Served 200, Refused 503, Failed any other, Unanswered none.
	Requests, Served, Refused, Failed, Unanswered int
	// Faults describes the promises that were broken.
	Faults []string
	// Stalled is the total time for which the run itself was not scheduled.
	Stalled time.Duration
}

const (
	gatherShards  = 5
	minShardRatio = 0.6
	topRecords    = 10
	// defaultServersPerService is how many backend servers a service starts with.
	defaultServersPerService = 3
	// warmUp is the time given to hosts to discover each other and the servers.
	warmUp = 3 * time.Second
	// clientPause is the mean pause of a client between requests.
	clientPause = 15 * time.Millisecond
)

// plainServices are the services of requests that are not gathered. The gather
// route has a service for each shard.
var plainServices = []string{"alpha", "beta"}

// world holds everything that a run has started, and what it published.
type world struct {
	opts          Options
	headers       gateway.Headers
	random        *rand.Rand
	store         *standin.Store
	server        *http.Server
	hosts         []*host
	backends      []*backend
	log           requestLog
	leavingSince  map[string]time.Time
	routeChanges  []routeChange
	configVersion int64
	lastBackend   int
	events        *eventLog

	// publishing guards what a restored store is written again from: config is the
	// newest configuration, removed are the servers whose entries were removed.
	// backends are added under it.
	publishing sync.Mutex
	config     *route.Config
	removed    []string
}

// Run executes one run, whose faults are drawn from o.Seed, and checks it.
func Run(ctx context.Context, o Options) (Report, error) {
	o.Dir = filepath.Join(o.Dir, fmt.Sprintf("seed-%d", o.Seed))
	if err := os.MkdirAll(o.Dir, 0o700); err != nil {
		return Report{}, err
	}
	n, err := newEventLog(filepath.Join(o.Dir, "notes.log"))
	if err != nil {
		return Report{}, err
	}
	defer n.close()
	w := &world{
		opts: o, headers: platform.Headers(), random: rand.New(rand.NewPCG(o.Seed, 1)), store: standin.NewStore(),
		leavingSince: make(map[string]time.Time), events: n,
	}
	defer w.stop()
	if err := w.start(); err != nil {
		return Report{}, err
	}
	c := &clients{hosts: w.hosts, headers: w.headers, meanPause: clientPause}
	clientsCtx, stop := context.WithCancel(ctx)
	defer stop()
	var done sync.WaitGroup
	done.Add(1)
	go func() { defer done.Done(); c.run(clientsCtx, o.Clients, o.Seed) }()
	if o.CrashRequests {
		done.Add(1)
		go func() { defer done.Done(); c.sendCrashRequests(clientsCtx, rand.New(rand.NewPCG(o.Seed, 2))) }()
	}
	w.scheduleRestore()
	err = w.injectFaults(ctx)
	stop()
	done.Wait()
	if err != nil {
		return Report{}, err
	}
	h := &history{results: c.results, executions: make(map[string][]execution), routeChanges: w.routeChanges, world: w}
	w.log.mu.Lock()
	for _, x := range w.log.executions {
		h.executions[x.request] = append(h.executions[x.request], x)
	}
	h.rejections, h.leavingSince = w.log.rejections, maps.Clone(w.leavingSince)
	w.log.mu.Unlock()
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

func (w *world) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.server = &http.Server{Handler: w.store, ReadHeaderTimeout: time.Second}
	go func() { _ = w.server.Serve(l) }() // it returns when the run closes the server
	for _, service := range append(w.shards(), plainServices...) {
		for i := range w.serversPerService() {
			if err := w.addBackend(service, i); err != nil {
				return err
			}
		}
	}
	w.publishConfig(plainServices[0])
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
		w.hosts = append(w.hosts, &host{program: w.opts.Program, dir: w.opts.Dir, storeLink: p, Host: standin.Host{
			Name: fmt.Sprintf("host-%d", i+1), Address: address, DataCentre: dataCentreName(i), Store: p.address(),
			CallerPort: callersPort, ReadyPort: readyPort, ControlPort: controlPort, FirstInternalPort: firstPort, LastInternalPort: lastPort, Grace: stopGrace, ApplyWithin: applyBound,
		}})
	}
	for _, h := range w.hosts {
		h.Seeds = seeds
		if err := h.start(); err != nil {
			return err
		}
	}
	time.Sleep(warmUp)
	w.startLimits()
	return nil
}

func (w *world) serversPerService() int {
	return cmp.Or(w.opts.ServersPerService, defaultServersPerService)
}

func dataCentreName(i int) string { return string(rune('a' + i%3)) }

func (w *world) shards() []string {
	var out []string
	for i := range gatherShards {
		out = append(out, fmt.Sprintf("shard-%d", i))
	}
	return out
}

// mayServe reports whether any configuration of the run routes a kind of request to
// a service.
func (w *world) mayServe(kind, service string) bool {
	switch kind {
	case kindGather:
		return len(service) > 6 && service[:6] == "shard-"
	case kindOnce:
		return service == plainServices[0]
	}
	return service == plainServices[0] || service == plainServices[1]
}

func (w *world) addBackend(service string, i int) error {
	w.lastBackend++
	b, err := newBackend(route.Server{
		ID: fmt.Sprintf("i-%d", w.lastBackend), StartUnixMs: time.Now().UnixMilli(), Service: service, DataCentre: dataCentreName(i), Slots: 8,
	}, w.headers, &w.log, w.opts.Seed+uint64(w.lastBackend))
	if err != nil {
		return err
	}
	b.onCrash = w.crashBackend
	w.publishing.Lock()
	defer w.publishing.Unlock()
	w.backends = append(w.backends, b)
	w.store.PutServer(b.entry)
	return nil
}

// publishConfig publishes a configuration that sends repeatable requests to the
// service.
func (w *world) publishConfig(service string) {
	w.configVersion++
	base := route.Route{Host: requestHost, Timeout: 3 * time.Second, Objective: 150 * time.Millisecond, MaxAttempts: 2}
	once, repeat, gather := base, base, base
	once.Name, once.Prefix, once.Service = kindOnce, "/"+kindOnce+"/", plainServices[0]
	repeat.Name, repeat.Prefix, repeat.Service, repeat.Idempotent = kindRepeat, "/"+kindRepeat+"/", service, true
	gather.Name, gather.Prefix, gather.Gather, gather.Idempotent = kindGather, "/"+kindGather+"/", w.shards(), true
	gather.TopK, gather.MinShardRatio = topRecords, minShardRatio
	c := &route.Config{
		Version: w.configVersion, Routes: []route.Route{once, repeat, gather}, Services: make(map[string]route.Service),
		Limits: route.Limits{HeaderBytes: 16384, BodyBytes: 1 << 18, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for _, s := range append(w.shards(), plainServices...) {
		c.Services[s] = route.Service{Name: s, MaxConnections: 200}
	}
	w.routeChanges = append(w.routeChanges, routeChange{time.Now(), service})
	w.publishing.Lock()
	defer w.publishing.Unlock()
	w.config = c
	w.store.PutConfig(c)
	w.events.add("configuration version %d: route %s to service %s", w.configVersion, kindRepeat, service)
}

func (w *world) stop() {
	var done sync.WaitGroup
	for _, h := range w.hosts {
		if h.cmd == nil {
			continue
		}
		done.Add(1)
		go func() { defer done.Done(); h.stop() }()
	}
	done.Wait()
	for _, b := range w.backends {
		b.close()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
}
