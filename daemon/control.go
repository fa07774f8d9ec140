package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/configstore/client"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/view"
)

// controller owns the control state. A single goroutine changes the state and
// publishes views, which the traffic code loads. Calls to the platform and to
// peers run in goroutines of their own.
type controller struct {
	state  *control.State
	reader *reader
	peers  *peers
	runner *traffic.Runner
	log    *log.Logger
	events *timeline.Ring

	inbox   chan func(now time.Time)
	current atomic.Pointer[view.View]
	// pending holds the channels for the responses to peers' sync requests, by
	// token. token is the last one that was assigned.
	pending map[uint64]chan<- control.SyncResponse
	token   uint64
	// platformDown is the last state that logPlatformState has logged.
	platformDown bool

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newController(s Settings, c *client.Client, p *peers, runner *traffic.Runner, logger *log.Logger, events *timeline.Ring) *controller {
	ctl := &controller{
		state: control.NewState(control.Options{
			Self:        view.Host{ID: s.Host, Address: s.PeerListen, DataCentre: s.DataCentre},
			Incarnation: time.Now().UnixNano(),
			Seeds:       s.Peers,
			Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		peers: p, runner: runner, log: logger, events: events,
		inbox:   make(chan func(time.Time)),
		pending: make(map[uint64]chan<- control.SyncResponse),
	}
	ctl.ctx, ctl.cancel = context.WithCancel(context.Background())
	ctl.reader = &reader{client: c, log: logger, submit: ctl.submit}
	return ctl
}

// View returns the view in force, or nil if none has been published yet.
func (c *controller) View() *view.View { return c.current.Load() }

func (c *controller) start() {
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		c.loop()
	}()
}

func (c *controller) stop() {
	c.cancel()
	c.done.Wait()
}

// leave announces to the peers that this host is shutting down.
func (c *controller) leave() { c.submit(func(now time.Time) { c.state.Leave(now) }) }

// submit runs f on the control goroutine.
func (c *controller) submit(f func(now time.Time)) { c.submitUntil(c.ctx, f) }

// submitUntil runs f on the control goroutine, unless ctx is done first.
func (c *controller) submitUntil(ctx context.Context, f func(now time.Time)) {
	select {
	case c.inbox <- f:
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
}

func (c *controller) loop() {
	tick := time.NewTicker(control.TickInterval)
	defer tick.Stop()
	for {
		select {
		case f := <-c.inbox:
			f(clock.Now())
		case <-tick.C:
			c.reportSuspicions(clock.Now())
		case <-c.ctx.Done():
			c.reader.stopWatch()
			return
		}
		now := clock.Now()
		c.apply(c.state.Tick(now))
		c.reader.updateWatch(c.ctx, &c.done, c.state, now)
		c.logPlatformState(now)
	}
}

// apply carries out the actions that the control state requests.
func (c *controller) apply(a control.Actions) {
	for _, v := range a.Verdicts {
		c.recordVerdict(v)
	}
	if a.View != nil {
		c.publish(a.View, a.Renewed)
	}
	if a.Read || a.Check {
		c.spawn(func() { c.reader.readOnce(c.ctx, c.state, a.Read) })
	}
	for _, q := range a.Asks {
		c.spawn(func() { c.askPeer(q) })
	}
	for _, r := range a.Replies {
		c.pending[r.Token] <- r.Answer
		delete(c.pending, r.Token)
	}
	for _, s := range a.Learn {
		until := clock.Now().Add(time.Duration(s.RemainingMs) * time.Millisecond)
		c.runner.AddSuspicion(policy.Suspicion{Service: s.Service, Fingerprint: s.Fingerprint, Until: until})
	}
}

func (c *controller) spawn(f func()) {
	c.done.Add(1)
	go func() {
		defer c.done.Done()
		f()
	}()
}

func (c *controller) publish(v *view.View, renewed bool) {
	c.current.Store(v)
	if renewed {
		c.runner.RenewView(v)
		return
	}
	c.runner.SetView(v)
}

// askPeer sends a sync request to a peer and passes the response, or the failure,
// to the control state.
func (c *controller) askPeer(q control.OutgoingRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, q.Timeout)
	defer cancel()
	answer, err := c.peers.ask(ctx, q.To, &q.Ask)
	c.submit(func(now time.Time) {
		if err != nil {
			c.log.Debug("peer did not answer", errorFields(err)...)
			c.state.HandleRequestFailure(now, q.ID)
			return
		}
		c.state.HandleResponse(now, q.ID, answer)
	})
}

// serveAsk returns the response to a peer's sync request. It returns nil if ctx is
// done or the controller is stopped first.
func (c *controller) serveAsk(ctx context.Context, a *control.SyncRequest) *control.SyncResponse {
	out := make(chan control.SyncResponse, 1)
	c.submitUntil(ctx, func(now time.Time) {
		c.token++
		c.pending[c.token] = out
		c.state.HandleRequest(now, c.token, a)
	})
	select {
	case answer := <-out:
		return &answer
	case <-ctx.Done():
	case <-c.ctx.Done():
	}
	return nil
}

// reportSuspicions passes the crash suspicions of this host to the
// control state, which shares them with peers.
func (c *controller) reportSuspicions(now time.Time) {
	var out []control.CrashSuspect
	for _, s := range c.runner.TakeSuspicions() {
		left := s.Until.Sub(now)
		if left > 0 {
			out = append(out, control.CrashSuspect{Service: s.Service, Fingerprint: s.Fingerprint, RemainingMs: uint32(left.Milliseconds())})
		}
	}
	c.state.AddCrashSuspects(now, out)
}

func (c *controller) recordVerdict(v control.Verdict) {
	c.events.Add(configEvent(v))
	if v.Err != nil {
		c.log.Error("configuration refused", "key", v.Key, "revision", v.Revision, "err", v.Err)
		return
	}
	c.log.Info("configuration in force", "key", v.Key, "revision", v.Revision)
}

// logPlatformState logs when the platform has not confirmed the configuration for
// some time, neither directly nor through peers, and when it confirms it again.
func (c *controller) logPlatformState(now time.Time) {
	down := c.state.IsConfirmationStale(now)
	if down == c.platformDown {
		return
	}
	c.platformDown = down
	detail := "the platform is reachable"
	if down {
		detail = "the platform is unreachable"
	}
	c.log.Warn(detail, "revision", c.state.Revision())
	c.events.Add(timeline.Event{Kind: timeline.PlatformState, Detail: detail})
}
