package daemon

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/figmast/figmast/api"
	"github.com/figmast/figmast/backend"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/configstore/client"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/peer"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/relay"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/view"
)

// timelineSize is the number of request events that a host keeps.
const timelineSize = 1 << 17

// Host is a running host of the query tier, with its listeners and connections.
type Host struct {
	settings Settings
	log      *log.Logger
	control  *controller
	runner   *traffic.Runner
	pool     *backend.Pool
	peers    *peers
	client   *client.Client
	callers  *http.Server
	ops      *http.Server
	draining atomic.Bool
	shutdown fx.Shutdowner
}

// New returns the fx application of a host, which writes its logs to w.
func New(s Settings, w io.Writer) *fx.App {
	return fx.New(
		fx.Supply(s, NewLogger(w, s)),
		fx.Provide(newHost),
		fx.Invoke(func(lc fx.Lifecycle, h *Host, shutdown fx.Shutdowner) {
			h.shutdown = shutdown
			lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.DrainWait+s.DrainLimit+stopMargin),
	)
}

// stopMargin is the time that a host may take to stop in addition to DrainWait and
// DrainLimit.
const stopMargin = 5 * time.Second

func newHost(s Settings, logger *log.Logger) (*Host, error) {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	h := &Host{settings: s, log: logger}
	metricSet := metrics.NewSet()
	events := timeline.NewRing(s.Host, timelineSize, time.Now)
	recorder := newRecorder(metricSet, events, logger)
	recorder.view = h.view
	router := policy.NewRouter(policy.Options{
		Rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())), ShareLag: s.ShareLag,
	})
	var lastCall leafcall.ID
	nextCall := func() leafcall.ID { lastCall++; return lastCall }
	h.pool = backend.NewPool(backend.Options{Clock: clock.Now, Preopen: true})
	h.peers = &peers{relayed: metricSet.NewCounter("figmast_relayed_calls_total")}
	h.peers.relay = relay.New(relay.Options{
		Direct: h.pool, Peers: h.peers, Clock: clock.Now, View: h.view, Admission: h.peers,
	})
	h.runner = traffic.NewRunner(traffic.Options{
		Router:  router,
		Queries: query.NewEngine(query.Options{Router: router, NextCall: nextCall}),
		Commands: command.NewEngine(command.Options{
			Router: router, NextCall: nextCall, Host: s.Host, Key: key, Incarnation: uuid.NewString(), Lifetime: s.TicketLifetime,
		}),
		Transport: h.peers.relay, Forwarder: h.peers, Clock: clock.Now, Recorder: recorder,
	})
	h.peers.runner = h.runner
	h.client = client.New(s.Platform)
	h.control = newController(s, h.client, h.peers, h.runner, logger, events)
	h.peers.control, h.peers.events = h.control, events
	h.callers = h.newServer(api.NewHandler(api.Options{
		Host: s.Host, Runner: h.runner, View: h.control.View, Clock: clock.Now,
		Draining: h.draining.Load, BodyMemory: s.BodyMemoryMB << 20, Log: logger, Metrics: metricSet,
	}))
	o := &ops{
		settings: s, view: h.control.View, events: events, draining: &h.draining,
		metricSet: metricSet, report: h.runner.Report, peers: h.peers.stats, runnerReady: h.runner.IsReady,
	}
	o.registerGauges()
	metricSet.NewGauge("figmast_backend_connections", func() float64 { open, _ := h.pool.Connections(); return float64(open) })
	metricSet.NewGauge("figmast_backend_connections_allowed", func() float64 { _, allowed := h.pool.Connections(); return float64(allowed) })
	h.ops = h.newServer(o.handler())
	h.ops.ReadTimeout, h.ops.WriteTimeout = opsReadTimeout, opsWriteTimeout
	return h, nil
}

// Limits on HTTP requests of callers and operators.
const (
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	// These bound whole requests of operators, which have no bodies. Package
	// api sets the timeouts for the bodies and answers of callers.
	opsReadTimeout  = 10 * time.Second
	opsWriteTimeout = 30 * time.Second
)

func (h *Host) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       h.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
}

// view returns the view in force, or nil if there is none yet.
func (h *Host) view() *view.View { return h.control.View() }

// Start opens the listeners and starts to read the configuration from the
// platform. If it returns an error, it has closed all listeners again.
func (h *Host) Start(context.Context) error {
	t, err := peer.Listen(peer.Options{Address: h.settings.PeerListen, TLS: h.settings.credentials().Load, Handler: h.peers.serve})
	if err != nil {
		return err
	}
	h.peers.transport = t
	if err := h.listen(h.callers, h.settings.CallerListen); err != nil {
		return errors.Join(err, t.Close())
	}
	if err := h.listen(h.ops, h.settings.OpsListen); err != nil {
		return errors.Join(err, h.callers.Close(), t.Close())
	}
	go h.runner.Run()
	h.control.start()
	h.log.Info("host started", "callers", h.settings.CallerListen, "ops", h.settings.OpsListen, "peers", t.Address())
	return nil
}

func (h *Host) listen(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go h.serve(s, l)
	return nil
}

// serve accepts connections until the server is closed. If the listener fails,
// it shuts the host down with exit code 1.
func (h *Host) serve(s *http.Server, l net.Listener) {
	err := s.Serve(l)
	if errors.Is(err, http.ErrServerClosed) {
		return
	}
	h.log.Error("listener failed", "step", "accept", "address", l.Addr(), "err", err)
	_ = h.shutdown.Shutdown(fx.ExitCode(1))
}
