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

// controller owns control state: its one goroutine changes it, publishes
// views, which traffic loads, and has other goroutines carry out the rest.
type controller struct {
	state  *control.State
	reader *reader
	peers  *peers
	runner *traffic.Runner
	log    *log.Logger
	events *timeline.Ring

	inbox   chan func(now time.Time)
	current atomic.Pointer[view.View]
	// waiting are peers' questions that are not answered yet, by token.
	waiting map[uint64]chan<- control.SyncResponse
	token   uint64
	deaf    bool

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

func newController(s Settings, c *client.Client, p *peers, runner *traffic.Runner, logger *log.Logger, events *timeline.Ring) *controller {
	k := &controller{
		state: control.NewState(control.Options{
			Self:        view.Host{ID: s.Host, Address: s.PeerListen, DataCentre: s.DataCentre},
			Incarnation: time.Now().UnixNano(),
			Seeds:       s.Peers,
			Rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		}),
		peers: p, runner: runner, log: logger, events: events,
		inbox:   make(chan func(time.Time)),
		waiting: make(map[uint64]chan<- control.SyncResponse),
	}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	k.reader = &reader{client: c, log: logger, pass: k.pass}
	return k
}

// View returns the view in force, or nil before the first.
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

// leave tells peers that this host is leaving.
func (c *controller) leave() { c.pass(func(now time.Time) { c.state.Leave(now) }) }

// pass has the control goroutine run f.
func (c *controller) pass(f func(now time.Time)) { c.passUntil(c.ctx, f) }

// passUntil has the control goroutine run f, unless ctx ends first.
func (c *controller) passUntil(ctx context.Context, f func(now time.Time)) {
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
			c.suspect(clock.Now())
		case <-c.ctx.Done():
			c.reader.stopWatch()
			return
		}
		now := clock.Now()
		c.act(c.state.Tick(now))
		c.reader.watch(c.ctx, &c.done, c.state, now)
		c.notePlatform(now)
	}
}

// act carries out what the state wants done.
func (c *controller) act(a control.Actions) {
	for _, v := range a.Verdicts {
		c.record(v)
	}
	if a.View != nil {
		c.publish(a.View, a.Renewed)
	}
	if a.Read || a.Check {
		c.spawn(func() { c.reader.call(c.ctx, c.state, a.Read) })
	}
	for _, q := range a.Asks {
		c.spawn(func() { c.ask(q) })
	}
	for _, r := range a.Replies {
		c.waiting[r.Token] <- r.Answer
		delete(c.waiting, r.Token)
	}
	for _, s := range a.Learn {
		until := clock.Now().Add(time.Duration(s.RemainingMs) * time.Millisecond)
		c.runner.Learn(policy.Suspicion{Service: s.Service, Fingerprint: s.Fingerprint, Until: until})
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

// ask asks a peer and passes its answer on.
func (c *controller) ask(q control.OutgoingRequest) {
	ctx, cancel := context.WithTimeout(c.ctx, q.Timeout)
	defer cancel()
	answer, err := c.peers.ask(ctx, q.To, &q.Ask)
	c.pass(func(now time.Time) {
		if err != nil {
			c.log.Debug("peer not heard", origin(err)...)
			c.state.HandleRequestFailure(now, q.ID)
			return
		}
		c.state.HandleResponse(now, q.ID, answer)
	})
}

// serve answers a peer's question, or returns nil when ctx ends first.
func (c *controller) serve(ctx context.Context, a *control.SyncRequest) *control.SyncResponse {
	out := make(chan control.SyncResponse, 1)
	c.passUntil(ctx, func(now time.Time) {
		c.token++
		c.waiting[c.token] = out
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

// suspect passes on the crash suspects that this host has found.
func (c *controller) suspect(now time.Time) {
	var out []control.CrashSuspect
	for _, s := range c.runner.NewSuspicions() {
		left := s.Until.Sub(now)
		if left > 0 {
			out = append(out, control.CrashSuspect{Service: s.Service, Fingerprint: s.Fingerprint, RemainingMs: uint32(left.Milliseconds())})
		}
	}
	c.state.AddCrashSuspects(now, out)
}

func (c *controller) record(v control.Verdict) {
	c.events.Add(configEvent(v))
	if v.Err != nil {
		c.log.Error("configuration refused", "key", v.Key, "revision", v.Revision, "err", v.Err)
		return
	}
	c.log.Info("configuration in force", "key", v.Key, "revision", v.Revision)
}

// notePlatform logs when the platform falls silent and when it is heard again.
func (c *controller) notePlatform(now time.Time) {
	deaf := c.state.IsConfirmationStale(now)
	if deaf == c.deaf {
		return
	}
	c.deaf = deaf
	detail := "the platform is heard"
	if deaf {
		detail = "the platform is not heard"
	}
	c.log.Warn(detail, "revision", c.state.Revision())
	c.events.Add(timeline.Event{Kind: timeline.PlatformState, Detail: detail})
}
