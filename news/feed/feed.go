// Package feed does the I/O for package news: it reads the metadata store,
// exchanges updates with other hosts over TCP, and hands the resulting view to
// the host. All access to the State is from one goroutine.
package feed

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/news"
	"github.com/figmast/figmast/route"
)

// Store reads the metadata store.
type Store interface {
	// Range returns every entry and a position from which a watch misses no
	// change. The result of a stale range may be seconds old.
	Range(ctx context.Context, stale bool) (news.Answer, error)
	// Watch returns the changes after a revision, and the position that they
	// lead up to. It waits up to the given time for a first change. The error
	// is news.ErrHistoryGone when the store has compacted these changes.
	Watch(ctx context.Context, after int64, wait time.Duration) (news.Answer, error)
	// Reset closes the connections that are not in use. It is called after a
	// failed read.
	Reset()
}

// Options configures a Feed.
type Options struct {
	State *news.State
	Store Store
	// Listen is the address on which this host accepts connections from other
	// hosts, Port the port on which the other hosts do.
	Listen string
	Port   string
	// Clock returns the host's time, which advances during a suspension.
	Clock func() time.Time
	// Log records when the store or a host becomes unreachable, and when the
	// store is reachable again.
	Log func(event string, fields ...any)
	// Exchange receives the current view and returns what the host has observed
	// since the last call. It is called after every event and tick and must not
	// block.
	Exchange func(View) Observations
}

// View is a host's current view of the deployment.
type View struct {
	// Topology is nil when it has not changed since the last view.
	Topology *route.Topology
	Hosts    []news.Host
	// Crashes holds the verdicts on requests that crash servers, from the
	// reports of all hosts.
	Crashes map[uint64]crash.Verdict
	// Slow holds the servers that were slow to answer calls.
	Slow map[string]route.Slowness
	// Limits holds the request limits that servers have named to any host; it is
	// nil when they have not changed since the last view.
	Limits map[route.ServerKey]route.LimitReport
	// Age is how long ago the store was known to hold nothing newer. AgeKnown
	// is false while that was never known.
	Age      time.Duration
	AgeKnown bool
}

// Observations holds what a host reports to the others about its calls.
type Observations struct {
	Slow    []news.SlowReport
	Leaving []news.LeavingReport
	Limits  []news.LimitReport
	Crashes []crash.Report
}

const (
	// tickInterval is how often the State is checked without an event; it is
	// small compared with the lowest configured bound, 3 s.
	tickInterval = 100 * time.Millisecond
	// crashSendInterval is the minimum interval at which crash reports are sent
	// over one connection: there are many at once when many servers crash.
	crashSendInterval = 100 * time.Millisecond
	// settleDelay is how long to wait after changes before the next watch, so
	// that changes in quick succession cost one call.
	settleDelay = 250 * time.Millisecond
	// Delays after a failed read. They back off because the platform charges
	// for refused calls too.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// rangeTimeout bounds a full read.
	rangeTimeout = 1500 * time.Millisecond
)

// Feed runs one State and the connections that it needs.
type Feed struct {
	opts        Options
	events      chan func(now time.Time)
	listener    net.Listener
	upstreams   map[string]*upstream
	downstreams map[*downstream]bool

	isReading     bool
	retryDelay    time.Duration
	nextRead      time.Time
	hasReadFailed bool

	stop    context.CancelFunc
	ctx     context.Context
	running sync.WaitGroup
}

// New returns a Feed that listens for other hosts.
func New(opts Options) (*Feed, error) {
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	f := &Feed{
		opts: opts, listener: l, events: make(chan func(time.Time), 256),
		upstreams: make(map[string]*upstream), downstreams: make(map[*downstream]bool),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f, nil
}

// Start begins to read the store and to serve other hosts.
func (f *Feed) Start() {
	f.running.Add(2)
	go f.accept()
	go f.run()
}

// Close ends every connection and read, and waits for their goroutines.
func (f *Feed) Close() {
	f.stop()
	_ = f.listener.Close()
	f.running.Wait()
}

// post passes an event to the goroutine that owns the State.
func (f *Feed) post(event func(now time.Time)) {
	select {
	case f.events <- event:
	case <-f.ctx.Done():
	}
}

func (f *Feed) run() {
	defer f.running.Done()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			f.closeConnections()
			return
		case event := <-f.events:
			event(f.opts.Clock())
		case <-ticker.C:
		}
		f.step(f.opts.Clock())
	}
}

func (f *Feed) step(now time.Time) {
	f.startRead(now)
	f.pollUpstreams(now)
	f.exchangeView(now)
}

// exchangeView hands the current view to the host and applies what it has
// observed.
func (f *Feed) exchangeView(now time.Time) {
	s := f.opts.State
	topology, changed := s.Topology(now)
	view := View{Hosts: s.Hosts(now), Crashes: s.CrashVerdicts(now), Slow: s.SlowServers(now), Limits: s.LimitReports()}
	view.Age, view.AgeKnown = s.Age(now)
	if changed {
		view.Topology = topology
	}
	observed := f.opts.Exchange(view)
	s.AddSlowReports(now, observed.Slow)
	s.AddCrashReports(now, observed.Crashes)
	s.AddLeavingReports(now, observed.Leaving)
	s.AddLimitReports(now, observed.Limits)
	f.pushUpdates(now)
}

// startRead starts the next read of the store if one is due.
func (f *Feed) startRead(now time.Time) {
	if f.isReading || now.Before(f.nextRead) {
		return
	}
	switch f.opts.State.NextRead(now) {
	case news.ReadStaleRange:
		f.startRange(now, true)
	case news.ReadRange:
		f.startRange(now, false)
	case news.ReadWatch:
		f.startWatch(now)
	case news.ReadNothing:
	}
}

func (f *Feed) startRange(asked time.Time, stale bool) {
	f.runRead(rangeTimeout, func(ctx context.Context) {
		answer, err := f.opts.Store.Range(ctx, stale)
		f.post(func(now time.Time) {
			if f.finishRead(now, "range", err) {
				f.opts.State.ApplyRange(now, asked, answer, stale)
			}
		})
	})
}

func (f *Feed) startWatch(now time.Time) {
	w := f.opts.State.NextWatch(now)
	f.runRead(w.Timeout(), func(ctx context.Context) {
		answer, err := f.opts.Store.Watch(ctx, w.From.Revision, w.Wait)
		f.post(func(now time.Time) {
			if !f.finishRead(now, "watch", err) {
				return
			}
			f.opts.State.ApplyWatch(now, w, answer)
			if len(answer.Items) > 0 && !answer.MayBePartial {
				f.nextRead = now.Add(settleDelay)
			}
		})
	})
}

func (f *Feed) runRead(timeout time.Duration, read func(context.Context)) {
	f.isReading = true
	f.running.Add(1)
	go func() {
		defer f.running.Done()
		ctx, cancel := context.WithTimeout(f.ctx, timeout)
		defer cancel()
		read(ctx)
	}()
}

// finishRead records how a read ended, schedules a retry after a failure, and
// reports whether the read succeeded. If the store has compacted the changes, the
// next read is a full one, without a delay.
func (f *Feed) finishRead(now time.Time, step string, err error) bool {
	f.isReading = false
	if err == nil {
		if f.hasReadFailed {
			f.opts.Log("store read succeeded again", "step", step)
		}
		f.hasReadFailed, f.retryDelay = false, 0
		return true
	}
	if errors.Is(err, news.ErrHistoryGone) {
		f.opts.State.MarkHistoryGone()
		f.opts.Log("store history compacted", "revision", f.opts.State.Revision())
		return false
	}
	if !f.hasReadFailed {
		f.opts.Log("store read failed", "step", step, "err", err)
	}
	f.hasReadFailed = true
	f.retryDelay = min(max(2*f.retryDelay, minRetryDelay), maxRetryDelay)
	f.nextRead = now.Add(f.retryDelay)
	f.opts.Store.Reset()
	return false
}

// SetSeeds replaces the seeds.
func (f *Feed) SetSeeds(seeds []string) {
	f.post(func(time.Time) { f.opts.State.SetSeeds(seeds) })
}
