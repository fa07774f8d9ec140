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

	"github.com/charmbracelet/log"
	"github.com/google/uuid"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/figmast/figmast/api"
	"github.com/figmast/figmast/backend"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/peer"
	"github.com/figmast/figmast/platform/client"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/traffic"
)

// timelineSize is how many events a host keeps.
const timelineSize = 1 << 16

// Host is one running host of the query tier.
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
}

// New returns the fx application of a host. Logs go to w.
func New(s Settings, w io.Writer) *fx.App {
	return fx.New(
		fx.Supply(s, newLogger(w, s)),
		fx.Provide(newHost),
		fx.Invoke(func(lc fx.Lifecycle, h *Host) {
			lc.Append(fx.Hook{OnStart: h.Start, OnStop: h.Stop})
		}),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StopTimeout(s.DrainWait+s.DrainLimit+stopSlack),
	)
}

// stopSlack is the time a host may take to stop beyond its drain.
const stopSlack = 5 * time.Second

func newHost(s Settings, logger *log.Logger) (*Host, error) {
	key := make([]byte, 32)
	if _, err := rand.Read(key); err != nil {
		return nil, err
	}
	h := &Host{settings: s, log: logger}
	router := policy.NewRouter(policy.Options{Rand: mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))})
	var last leafcall.ID
	next := func() leafcall.ID { last++; return last }
	h.pool = backend.NewPool(backend.Options{Clock: clock.Now, Preopen: true})
	h.peers = &peers{}
	h.runner = traffic.NewRunner(traffic.Options{
		Router:  router,
		Queries: query.NewEngine(query.Options{Router: router, NextCall: next}),
		Commands: command.NewEngine(command.Options{
			Router: router, NextCall: next, Key: key, Incarnation: uuid.NewString(), Lifetime: s.TicketLife,
		}),
		Carrier: h.pool, Forwarder: h.peers, Clock: clock.Now,
	})
	h.peers.runner = h.runner
	h.client = client.New(s.Platform)
	events := timeline.NewRing(s.Host, timelineSize, time.Now)
	h.control = newController(s, h.client, h.peers, h.runner, logger, events)
	h.peers.control, h.peers.events = h.control, events
	h.callers = &http.Server{ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Handler: api.NewHandler(api.Options{
		Host: s.Host, Backend: h.runner, View: h.control.View, Clock: clock.Now, Draining: h.draining.Load,
	})}
	o := &ops{settings: s, view: h.control.View, events: events, draining: &h.draining}
	h.ops = &http.Server{ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes, Handler: o.handler()}
	return h, nil
}

// Limits on requests of callers and operators.
const (
	readHeaderTimeout = 5 * time.Second
	maxHeaderBytes    = 16 << 10
)

// Start opens the listeners and begins to follow the platform.
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
	h.log.Info("host started", "callers", h.settings.CallerListen, "peers", t.Address())
	return nil
}

func (h *Host) listen(s *http.Server, address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			h.log.Error("listener failed", "address", address, "err", err)
		}
	}()
	return nil
}

// Stop drains the host: it reports not ready, waits for the balancer,
// finishes every request, and closes.
func (h *Host) Stop(ctx context.Context) error {
	h.draining.Store(true)
	h.control.leave()
	h.log.Info("draining", "wait", h.settings.DrainWait)
	pause(ctx, h.settings.DrainWait)
	limited, cancel := context.WithTimeout(ctx, h.settings.DrainLimit)
	defer cancel()
	err := h.callers.Shutdown(limited)
	h.runner.Stop()
	h.control.stop()
	h.pool.Close()
	h.client.Close()
	err = errors.Join(err, h.peers.transport.Close(), h.ops.Close())
	h.log.Info("host stopped")
	return err
}
