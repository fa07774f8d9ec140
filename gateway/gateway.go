package gateway

import (
	"context"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"time"

	"github.com/charmbracelet/log"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/news"
	"github.com/figmast/figmast/news/feed"
	"github.com/figmast/figmast/policy"
)

// Platform is what a host needs of the deployment's platform.
type Platform struct {
	Headers Headers
	Decoder news.Decoder
	Store   feed.Store
	// Reload reads the settings anew.
	Reload func() (Settings, error)
}

// Gateway is one running host.
type Gateway struct {
	settings Settings
	platform Platform
	log      *log.Logger
	lines    *LineQueue
	counts   *counters
	runner   *runner
	door     *door
	feed     *feed.Feed
	callers  *callers
	servers  []*http.Server
	started  time.Time
	stopped  chan struct{}
	shutdown fx.Shutdowner
}

// New returns the fx application of a host.
func New(s Settings, p Platform, l *log.Logger, q *LineQueue) *fx.App {
	return fx.New(
		fx.Supply(s, p, l, q),
		fx.Provide(newGateway),
		fx.Invoke(func(lc fx.Lifecycle, g *Gateway, shutdown fx.Shutdowner) {
			g.shutdown = shutdown
			lc.Append(fx.Hook{OnStart: g.Start, OnStop: g.Stop})
		}),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.Grace),
	)
}

// memoryPart of the host's memory is what the heap may take before the garbage
// collector works harder; the rest is for stacks and sockets.
const memoryPart = 0.6

func newGateway(s Settings, p Platform, l *log.Logger, q *LineQueue) (*Gateway, error) {
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryBytes)))
	g := &Gateway{
		settings: s, platform: p, log: l, lines: q, counts: newCounters(),
		started: clock.Now(), stopped: make(chan struct{}),
	}
	random := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	balancer := policy.NewBalancer(g.started, policy.BalancerOptions{
		Address: s.Address, DataCentre: s.DataCentre, Regions: s.Regions, Rand: random,
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		DrainFor: s.DrainFor, EvacuateFor: s.EvacuateFor,
	})
	engine := forward.NewEngine(forward.Options{Balancer: balancer, Rand: random, CPUCores: s.Processor, Heartbeat: s.Heartbeat})
	g.runner = newRunner(clock.Now, s, p.Headers, balancer, engine, g.counts)
	g.door = &door{runner: g.runner, headers: p.Headers, log: l, counts: g.counts}
	event := func(event string, fields ...any) { l.Info(event, fields...) }
	state := news.NewState(g.started, newsOptions(s, p.Decoder, event))
	port := strconv.Itoa(s.PeerPort)
	var err error
	g.feed, err = feed.New(feed.Options{
		State: state, Store: p.Store, Listen: net.JoinHostPort(s.Address, port), Port: port,
		Clock: clock.Now, Log: event, Exchange: g.believe,
	})
	if err != nil {
		return nil, err
	}
	g.gauges()
	return g, nil
}

// newsOptions returns what the state of news needs of the settings.
func newsOptions(s Settings, d news.Decoder, event func(string, ...any)) news.Options {
	return news.Options{
		Address: s.Address, DataCentre: s.DataCentre, Seeds: s.Seeds, Capacity: s.Strength, Decoder: d,
		ApplyWithin: s.ApplyWithin, Heartbeat: s.Heartbeat, Log: event,
	}
}

func (g *Gateway) gauges() {
	g.counts.set.NewGauge("figmast_backend_connections", func() float64 { return float64(g.runner.pool.Open()) })
	g.counts.set.NewGauge("figmast_requests_in_progress", func() float64 { return float64(g.door.active.Load()) })
	g.counts.set.NewGauge("figmast_log_lines_dropped", func() float64 { return float64(g.lines.Dropped()) })
	g.counts.set.NewGauge("figmast_view_age_seconds", func() float64 { return g.runner.viewAge().Seconds() })
}

// believe takes in what is published.
func (g *Gateway) believe(b feed.View) feed.Observations {
	seen := g.runner.believe(b)
	if b.Topology != nil && b.Topology.Config != nil {
		g.callers.limit(b.Topology.Config.Limits)
	}
	return seen
}

// Start opens the listeners and begins to read what is published.
func (g *Gateway) Start(context.Context) error {
	var err error
	if g.callers, err = listenCallers(g.settings.CallerListen, g.door, g.log); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(g.platform.Headers.ReadyPath, g.ready)
	if err := g.serve(g.settings.ReadyListen, mux); err != nil {
		return err
	}
	if g.settings.ControlListen != "" {
		if err := g.serve(g.settings.ControlListen, mux); err != nil {
			return err
		}
	}
	if g.settings.MetricsPort > 0 {
		address := net.JoinHostPort(g.settings.Address, strconv.Itoa(g.settings.MetricsPort))
		if err := g.serve(address, g.counts.handler()); err != nil {
			return err
		}
	}
	g.runner.begin()
	g.feed.Start()
	go g.reloads()
	g.log.Info("host started", "address", g.settings.Address, "data_centre", g.settings.DataCentre, "callers", g.settings.CallerListen,
		"seeds", g.settings.Seeds, "memory_bytes", g.settings.MemoryBytes, "processor", g.settings.Processor)
	return nil
}

// smallTimeout bounds requests for readiness and metrics.
const smallTimeout = 2 * time.Second

func (g *Gateway) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadTimeout: smallTimeout, WriteTimeout: smallTimeout, IdleTimeout: time.Minute}
	g.servers = append(g.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener failed", "address", address, "err", err)
			_ = g.shutdown.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

// startWithin is how long a host waits at its start for word that what it
// knows is the newest, before it serves with what it has.
const startWithin = 3 * time.Second

// ready answers whether the host takes requests.
func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	p := g.runner.picture.Load()
	known := p != nil && p.Config != nil
	confirmed := g.runner.viewAge() >= 0 || clock.Now().Sub(g.started) > startWithin
	if !known || !confirmed || g.door.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
