package gateway

import (
	"context"
	"errors"
	"fmt"
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
	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/intake"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/news"
	"github.com/figmast/figmast/news/feed"
	"github.com/figmast/figmast/policy"
)

// Platform provides what a host needs from the deployment's platform.
type Platform struct {
	Headers Headers
	Decoder news.Decoder
	Store   feed.Store
	// Reload reads the settings again.
	Reload func() (Settings, error)
}

// Gateway is one host with its listeners, its request handler and its feed of
// published changes.
type Gateway struct {
	settings Settings
	platform Platform
	intake   intake.Options
	log      *log.Logger
	lines    *LineQueue
	metrics  *hostMetrics
	runner   *runner
	handler  *callerHandler
	feed     *feed.Feed
	callers  *callerListener
	// servers holds all other servers, handoverServer among them; it is nil if no
	// requests of other hosts are taken.
	servers        []*http.Server
	handoverServer *http.Server
	started        time.Time
	stopped        chan struct{}
	shutdown       fx.Shutdowner
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

// heapFraction is the part of the host's memory that the heap may take before
// the garbage collector works harder. The rest is for stacks and sockets.
const heapFraction = 0.6

func newGateway(s Settings, p Platform, l *log.Logger, q *LineQueue) (*Gateway, error) {
	debug.SetMemoryLimit(int64(heapFraction * float64(s.MemoryBytes)))
	g := &Gateway{
		settings: s, platform: p, log: l, lines: q, metrics: newHostMetrics(),
		started: clock.Now(), stopped: make(chan struct{}),
	}
	random := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	balancer := policy.NewBalancer(g.started, policy.BalancerOptions{
		Address: s.Address, DataCentre: s.DataCentre, Regions: s.Regions, Rand: random,
		RetryRatio: s.RetryRatio, RetrySlack: s.RetrySlack, RetryWindow: s.RetryWindow,
		DrainFor: s.DrainFor, EvacuateFor: s.EvacuateFor,
	})
	var peers *handover.Peers
	if s.HandoverPort > 0 {
		peers = handover.NewPeers(handover.Options{Address: s.Address, DataCentre: s.DataCentre, Regions: s.Regions, Rand: random})
	}
	engine := forward.NewEngine(forward.Options{Balancer: balancer, Rand: random, CPUCapacity: s.CPUCapacity, Heartbeat: s.Heartbeat, Peers: peers})
	g.runner = newRunner(clock.Now, s, p.Headers, balancer, engine, g.metrics, l)
	files, err := openFilesLimit()
	if err != nil {
		return nil, fmt.Errorf("limit of open files: %w", err)
	}
	g.intake = intakeOptions(s, files)
	conns := newCallerConns(g.intake, clock.Now, g.metrics, l)
	g.handler = &callerHandler{runner: g.runner, headers: p.Headers, conns: conns, log: l, metrics: g.metrics}
	event := func(event string, fields ...any) { l.Info(event, fields...) }
	state := news.NewState(g.started, newsOptions(s, p.Decoder, event))
	port := strconv.Itoa(s.PeerPort)
	g.feed, err = feed.New(feed.Options{
		State: state, Store: p.Store, Listen: net.JoinHostPort(s.Address, port), Port: port,
		Clock: clock.Now, Log: event, Exchange: g.applyView,
	})
	if err != nil {
		return nil, err
	}
	g.registerGauges()
	return g, nil
}

// newsOptions derives the options of the news state from the settings.
func newsOptions(s Settings, d news.Decoder, event func(string, ...any)) news.Options {
	return news.Options{
		Address: s.Address, DataCentre: s.DataCentre, Seeds: s.Seeds, RelayCapacity: s.RelayCapacity, Decoder: d,
		ApplyWithin: s.ApplyWithin, Heartbeat: s.Heartbeat, Log: event,
	}
}

func (g *Gateway) registerGauges() {
	g.metrics.set.NewGauge("figmast_backend_connections", func() float64 { return float64(g.runner.pool.OpenConns()) })
	g.metrics.set.NewGauge("figmast_requests_in_progress", func() float64 { return float64(g.handler.active.Load()) })
	g.metrics.set.NewGauge("figmast_log_lines_dropped", func() float64 { return float64(g.lines.Dropped()) })
	g.metrics.set.NewGauge("figmast_view_age_seconds", func() float64 { return g.runner.viewAge().Seconds() })
}

// applyView applies the feed's current view and returns what this host has
// observed since the last one.
func (g *Gateway) applyView(v feed.View) feed.Observations {
	observed := g.runner.applyView(v)
	if v.Topology != nil && v.Topology.Config != nil {
		g.callers.setLimits(v.Topology.Config.Limits)
	}
	return observed
}

// Start opens the listeners and starts to follow published changes.
func (g *Gateway) Start(context.Context) error {
	var err error
	if g.callers, err = listenCallers(g.settings.CallerListen, g.handler, g.handler.conns, g.log); err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc(g.platform.Headers.ReadyPath, g.handleReady)
	if err := g.startServer(g.settings.ReadyListen, mux); err != nil {
		return err
	}
	if g.settings.ControlListen != "" {
		if err := g.startServer(g.settings.ControlListen, mux); err != nil {
			return err
		}
	}
	if g.settings.HandoverPort > 0 {
		address := net.JoinHostPort(g.settings.Address, strconv.Itoa(g.settings.HandoverPort))
		g.handoverServer = g.handler.handoverServer()
		if err := g.serve(address, g.handoverServer); err != nil {
			return err
		}
	}
	if g.settings.MetricsPort > 0 {
		address := net.JoinHostPort(g.settings.Address, strconv.Itoa(g.settings.MetricsPort))
		if err := g.startServer(address, g.metrics.handler()); err != nil {
			return err
		}
	}
	g.runner.start()
	g.feed.Start()
	go g.runReload()
	g.log.Info("host started", "address", g.settings.Address, "data_centre", g.settings.DataCentre, "callers", g.settings.CallerListen,
		"seeds", g.settings.Seeds, "memory_bytes", g.settings.MemoryBytes, "processor", g.settings.CPUCapacity,
		"max_caller_connections", g.intake.MaxConnections, "max_caller_bytes", g.intake.MaxBytes)
	return nil
}

// auxiliaryTimeout bounds readiness probes and metrics requests.
const auxiliaryTimeout = 2 * time.Second

func (g *Gateway) startServer(address string, h http.Handler) error {
	return g.serve(address, &http.Server{Handler: h, ReadTimeout: auxiliaryTimeout, WriteTimeout: auxiliaryTimeout, IdleTimeout: time.Minute})
}

// serve runs a server until the host stops.
func (g *Gateway) serve(address string, s *http.Server) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	g.servers = append(g.servers, s)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			g.log.Error("listener failed", "address", address, "err", err)
			_ = g.shutdown.Shutdown(fx.ExitCode(1))
		}
	}()
	return nil
}

// maxStartupWait is how long a starting host waits for confirmation that its
// configuration is current before it reports ready without it.
const maxStartupWait = 3 * time.Second

// handleReady answers a readiness probe.
func (g *Gateway) handleReady(w http.ResponseWriter, _ *http.Request) {
	topology := g.runner.topology.Load()
	hasConfig := topology != nil && topology.Config != nil
	isCurrent := g.runner.viewAge() >= 0 || clock.Now().Sub(g.started) > maxStartupWait
	if !hasConfig || !isCurrent || g.handler.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
