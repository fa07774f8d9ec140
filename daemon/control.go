package daemon

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/platform"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/view"
)

// controller owns control state: its one goroutine changes it and publishes
// views, which traffic loads.
type controller struct {
	state  *control.State
	reader *reader
	news   chan news
	runner *traffic.Runner
	log    *log.Logger
	events *timeline.Ring

	current atomic.Pointer[view.View]
	// revision that the state has taken in.
	revision int64
	cancel   context.CancelFunc
	done     sync.WaitGroup
}

func newController(s Settings, client *platform.Client, runner *traffic.Runner, logger *log.Logger, events *timeline.Ring) *controller {
	self := view.Host{ID: s.Host, Address: s.PeerListen, DataCentre: s.DataCentre}
	c := &controller{
		state:  control.NewState(control.Options{Self: self}),
		news:   make(chan news),
		runner: runner,
		log:    logger,
		events: events,
	}
	c.reader = &reader{client: client, log: logger, out: c.news}
	return c
}

// View returns the view in force, or nil before the first.
func (c *controller) View() *view.View { return c.current.Load() }

func (c *controller) start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.done.Add(2)
	go func() {
		defer c.done.Done()
		c.reader.run(ctx)
	}()
	go func() {
		defer c.done.Done()
		c.loop(ctx)
	}()
}

func (c *controller) stop() {
	c.cancel()
	c.done.Wait()
}

func (c *controller) loop(ctx context.Context) {
	for {
		select {
		case n := <-c.news:
			c.take(n)
		case <-ctx.Done():
			return
		}
	}
}

func (c *controller) take(n news) {
	for _, e := range n.Events {
		c.record(c.state.Apply(e))
	}
	if len(n.Events) > 0 || n.Confirmed.IsZero() {
		c.revision = max(c.revision, n.Revision)
	}
	if !n.Confirmed.IsZero() && n.Revision <= c.revision {
		c.state.Confirm(n.Confirmed)
	}
	c.publish()
}

func (c *controller) publish() {
	v := c.state.View()
	c.current.Store(v)
	c.runner.SetView(v)
}

func (c *controller) record(v control.Verdict) {
	if v.Err != nil {
		c.log.Error("configuration refused", "key", v.Key, "revision", v.Revision, "err", v.Err)
		c.events.Add(timeline.Event{Kind: timeline.ConfigRefused, Service: v.Key, Detail: v.Err.Error()})
		return
	}
	c.log.Info("configuration in force", "key", v.Key, "revision", v.Revision)
	c.events.Add(timeline.Event{Kind: timeline.ConfigAccepted, Service: v.Key})
}
