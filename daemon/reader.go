package daemon

import (
	"context"
	"time"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/platform"
)

// Intervals of reading the platform.
const (
	confirmEvery = time.Second
	readTimeout  = time.Second
	retryEvery   = 500 * time.Millisecond
)

// news is what a reader tells the control loop.
type news struct {
	// Events are changes, oldest first.
	Events []platform.Event
	// Revision that Events bring the reader to, or that the platform was
	// seen to be at.
	Revision int64
	// Confirmed is when the platform was asked, if it answered.
	Confirmed time.Time
}

// reader follows the platform and passes on its news.
type reader struct {
	client *platform.Client
	log    *log.Logger
	out    chan<- news
}

// run follows the platform until ctx is done.
func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := r.follow(ctx); err != nil && ctx.Err() == nil {
			r.log.Warn("platform not readable", origin(err)...)
		}
		pause(ctx, retryEvery)
	}
}

// follow reads everything, then watches until something fails.
func (r *reader) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	start := clock.Now()
	all, err := r.client.Range(ctx, platform.PrefixAll)
	if err != nil {
		return err
	}
	n := news{Revision: int64(all.Header.Revision), Confirmed: start}
	for _, kv := range all.Kvs {
		n.Events = append(n.Events, platform.Event{Kv: kv})
	}
	r.pass(ctx, n)
	go r.confirm(ctx, cancel)
	return r.client.Watch(ctx, platform.PrefixAll, n.Revision+1, func(res platform.WatchResult) {
		r.pass(ctx, news{Events: res.Events, Revision: int64(res.Header.Revision)})
	})
}

// confirm asks for the newest revision again and again; it cancels the watch
// when the platform stops answering.
func (r *reader) confirm(ctx context.Context, cancel context.CancelFunc) {
	defer cancel()
	for {
		pause(ctx, confirmEvery)
		start := clock.Now()
		short, done := context.WithTimeout(ctx, readTimeout)
		rev, err := r.client.Revision(short)
		done()
		if err != nil {
			return
		}
		r.pass(ctx, news{Revision: rev, Confirmed: start})
	}
}

func (r *reader) pass(ctx context.Context, n news) {
	select {
	case r.out <- n:
	case <-ctx.Done():
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
