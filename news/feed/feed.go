// Package feed carries out what package news decides: it reads the metadata
// store, keeps links to other hosts and hands on what is believed. One
// goroutine owns the State.
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
	// Range returns every entry and the revision that they hold since at the
	// latest. A stale range may be seconds old.
	Range(ctx context.Context, stale bool) ([]news.Item, int64, error)
	// Watch returns what has changed after a revision, and the revision that
	// it reaches; it waits that long for a first change. The error is
	// news.ErrHistoryGone when the store no longer knows.
	Watch(ctx context.Context, after int64, wait time.Duration) ([]news.Item, int64, error)
	// Reset drops open connections.
	Reset()
}

// Options configure a Feed.
type Options struct {
	State *news.State
	Store Store
	// Listen is the address for links of other hosts; Port is theirs.
	Listen string
	Port   string
	// Clock returns the host's time, which goes on during a suspension.
	Clock func() time.Time
	// Log is told of dependencies lost and regained.
	Log func(event string, fields ...any)
	// Exchange gets what is believed from now on and returns what the host has
	// seen since the last time. It must not block.
	Exchange func(View) Observations
}

// View is what the host goes by.
type View struct {
	// Picture is nil when only the rest has changed.
	Picture *route.Picture
	Hosts   []news.Host
	// Crashes is what the hosts together hold against requests.
	Crashes map[uint64]crash.Verdict
	// Slow are the servers that were slow to answer some calls.
	Slow map[string]route.Slowness
	// Age is how long ago the store was known to hold nothing newer; Known is
	// false while that was never known.
	Age      time.Duration
	AgeKnown bool
}

// Observations is what a host tells the others of its calls.
type Observations struct {
	Slow    []news.SlowReport
	Leaving []news.LeavingReport
	Crashes []crash.Report
}

const (
	// tickEvery is how often the State is looked at without an event; it is
	// small against the least bound of 3 s.
	tickEvery = 100 * time.Millisecond
	// crashEvery is how often findings of crashes are sent over one link: many
	// come together when many servers end.
	crashEvery = 100 * time.Millisecond
	// settle is how long to wait after changes before the next watch, so that
	// changes which come together cost one call.
	settle = 250 * time.Millisecond
	// Pauses after a failed read; refused calls are priced too.
	firstPause = 200 * time.Millisecond
	maxPause   = 2 * time.Second
	// rangeWithin bounds a full read.
	rangeWithin = 1500 * time.Millisecond
)

// Feed runs one State.
type Feed struct {
	opts     Options
	events   chan func(now time.Time)
	listener net.Listener
	links    map[string]*link
	children map[*child]bool

	reading bool
	// fresh is set when the next range may not be stale.
	fresh    bool
	pause    time.Duration
	readFrom time.Time
	lost     bool

	stop   context.CancelFunc
	ctx    context.Context
	closed sync.WaitGroup
}

// New returns a Feed that listens for other hosts.
func New(opts Options) (*Feed, error) {
	l, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return nil, err
	}
	f := &Feed{
		opts: opts, listener: l, events: make(chan func(time.Time), 256),
		links: make(map[string]*link), children: make(map[*child]bool),
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	return f, nil
}

// Start begins to read and to serve other hosts.
func (f *Feed) Start() {
	f.closed.Add(2)
	go f.accept()
	go f.run()
}

// Close ends every link and read and waits for them.
func (f *Feed) Close() {
	f.stop()
	_ = f.listener.Close()
	f.closed.Wait()
}

// post hands an event to the owner of the State.
func (f *Feed) post(event func(now time.Time)) {
	select {
	case f.events <- event:
	case <-f.ctx.Done():
	}
}

func (f *Feed) run() {
	defer f.closed.Done()
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-f.ctx.Done():
			f.closeLinks()
			return
		case event := <-f.events:
			event(f.opts.Clock())
		case <-ticker.C:
		}
		f.step(f.opts.Clock())
	}
}

func (f *Feed) step(now time.Time) {
	f.read(now)
	f.link(now)
	f.publish(now)
}

// publish hands on what has changed.
func (f *Feed) publish(now time.Time) {
	s := f.opts.State
	picture, changed := s.Picture(now)
	b := View{Hosts: s.Hosts(now), Crashes: s.CrashVerdicts(now), Slow: s.SlowServers(now)}
	b.Age, b.AgeKnown = s.Age(now)
	if changed {
		b.Picture = picture
	}
	seen := f.opts.Exchange(b)
	s.AddSlowReports(now, seen.Slow)
	s.AddCrashReports(now, seen.Crashes)
	s.AddLeavingReports(now, seen.Leaving)
	f.push(now)
}

// read starts the next read of the store when one is due.
func (f *Feed) read(now time.Time) {
	if f.reading || now.Before(f.readFrom) {
		return
	}
	switch f.opts.State.NextRead(now) {
	case news.ReadRange:
		f.readRange(now)
	case news.ReadWatch:
		if f.fresh {
			f.readRange(now)
			return
		}
		f.watch(now)
	case news.ReadNothing:
	}
}

func (f *Feed) readRange(asked time.Time) {
	stale := !f.fresh
	f.goRead(rangeWithin, func(ctx context.Context) {
		items, revision, err := f.opts.Store.Range(ctx, stale)
		f.post(func(now time.Time) {
			if f.readEnded(now, "range", err) {
				f.fresh = false
				f.opts.State.ApplyRange(now, asked, items, revision, stale)
			}
		})
	})
}

func (f *Feed) watch(asked time.Time) {
	wait, after := f.opts.State.WatchWait(), f.opts.State.Revision()
	f.goRead(f.opts.State.WatchTimeout(), func(ctx context.Context) {
		items, revision, err := f.opts.Store.Watch(ctx, after, wait)
		f.post(func(now time.Time) {
			if !f.readEnded(now, "watch", err) {
				return
			}
			f.opts.State.ApplyWatch(now, asked, items, revision)
			if len(items) > 0 {
				f.readFrom = now.Add(settle)
			}
		})
	})
}

func (f *Feed) goRead(within time.Duration, read func(context.Context)) {
	f.reading = true
	f.closed.Add(1)
	go func() {
		defer f.closed.Done()
		ctx, cancel := context.WithTimeout(f.ctx, within)
		defer cancel()
		read(ctx)
	}()
}

// readEnded notes how a read ended and reports whether it succeeded.
func (f *Feed) readEnded(now time.Time, step string, err error) bool {
	f.reading = false
	if err == nil {
		if f.lost {
			f.opts.Log("store regained", "step", step)
		}
		f.lost, f.pause = false, 0
		return true
	}
	if errors.Is(err, news.ErrHistoryGone) {
		f.fresh = true
		f.opts.Log("store history gone", "revision", f.opts.State.Revision())
		return false
	}
	if !f.lost {
		f.opts.Log("store lost", "step", step, "err", err)
	}
	f.lost = true
	f.pause = min(max(2*f.pause, firstPause), maxPause)
	f.readFrom = now.Add(f.pause)
	f.opts.Store.Reset()
	return false
}

// SetSeeds takes in other seeds.
func (f *Feed) SetSeeds(seeds []string) {
	f.post(func(time.Time) { f.opts.State.SetSeeds(seeds) })
}
