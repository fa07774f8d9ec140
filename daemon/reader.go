package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/configstore/client"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/internal/clock"
)

// watchRetryInterval is the minimum time between two attempts to watch the
// platform.
const watchRetryInterval = 500 * time.Millisecond

// reader makes the calls to the platform that the control state requests.
type reader struct {
	client *client.Client
	log    *log.Logger
	// submit runs a function on the control goroutine.
	submit func(func(now time.Time))

	// cancel ends the running watch; it is nil if none is running. nextWatch is
	// the earliest time for another attempt, and watchNumber identifies the
	// last one. Only the control goroutine uses these fields.
	cancel      context.CancelFunc
	nextWatch   time.Time
	watchNumber int
}

// readOnce reads either everything or only the newest revision from the platform
// and reports the result to the control state.
func (r *reader) readOnce(ctx context.Context, s *control.State, everything bool) {
	limit := control.CheckTimeout
	if everything {
		limit = control.ReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := clock.Now()
	report, err := r.read(ctx, s, everything, asked)
	if err != nil {
		r.log.Debug("reading the platform failed", errorFields(err)...)
		report = func(time.Time) { s.PlatformFailed() }
	}
	r.submit(report)
}

func (r *reader) read(ctx context.Context, s *control.State, everything bool, asked time.Time) (func(time.Time), error) {
	if everything {
		all, err := r.client.Range(ctx, configstore.PrefixAll)
		return func(time.Time) { s.PlatformRead(asked, all) }, err
	}
	revision, err := r.client.Revision(ctx)
	return func(time.Time) { s.PlatformAt(asked, revision) }, err
}

// updateWatch starts or stops the watch of the platform as the control state
// requires.
func (r *reader) updateWatch(ctx context.Context, done *sync.WaitGroup, s *control.State, now time.Time) {
	from, wanted := s.Watching(now)
	if !wanted {
		r.stopWatch()
		return
	}
	if r.cancel != nil || now.Before(r.nextWatch) {
		return
	}
	r.nextWatch = now.Add(watchRetryInterval)
	ctx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	r.watchNumber++
	number := r.watchNumber
	done.Add(1)
	go func() {
		defer done.Done()
		defer cancel()
		r.runWatch(ctx, s, from)
		r.submit(func(time.Time) { r.watchEnded(number) })
	}()
}

func (r *reader) stopWatch() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// runWatch reports changes to the control state until the watch ends.
func (r *reader) runWatch(ctx context.Context, s *control.State, from int64) {
	err := r.client.Watch(ctx, configstore.PrefixAll, from, func(res configstore.WatchResult) {
		r.submit(func(time.Time) { s.PlatformChanged(res.Events) })
	})
	r.log.Debug("watch of the platform ended", errorFields(err)...)
}

// watchEnded records that a watch has ended. It ignores a watch that another one
// has replaced.
func (r *reader) watchEnded(number int) {
	if number == r.watchNumber {
		r.cancel = nil
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
