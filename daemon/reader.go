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

// watchRetry is the least time between two attempts to watch the platform.
const watchRetry = 500 * time.Millisecond

// reader makes the calls to the platform that control state asks for.
type reader struct {
	client *client.Client
	log    *log.Logger
	// pass hands news to the control goroutine.
	pass func(func(now time.Time))

	// cancel ends the running watch; nil while none runs. It, next and the
	// number of the watch belong to the control goroutine.
	cancel context.CancelFunc
	next   time.Time
	number int
}

// call reads everything, or the newest revision, once.
func (r *reader) call(ctx context.Context, s *control.State, everything bool) {
	limit := control.CheckTimeout
	if everything {
		limit = control.ReadTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	asked := clock.Now()
	report, err := r.read(ctx, s, everything, asked)
	if err != nil {
		r.log.Debug("platform not readable", origin(err)...)
		report = func(time.Time) { s.HandlePlatformFailure() }
	}
	r.pass(report)
}

func (r *reader) read(ctx context.Context, s *control.State, everything bool, asked time.Time) (func(time.Time), error) {
	if everything {
		all, err := r.client.Range(ctx, configstore.PrefixAll)
		return func(time.Time) { s.HandlePlatformContents(asked, all) }, err
	}
	revision, err := r.client.Revision(ctx)
	return func(time.Time) { s.HandlePlatformRevision(asked, revision) }, err
}

// watch starts or stops the watch as control state wants it.
func (r *reader) watch(ctx context.Context, done *sync.WaitGroup, s *control.State, now time.Time) {
	from, wanted := s.WatchFrom(now)
	if !wanted {
		r.stopWatch()
		return
	}
	if r.cancel != nil || now.Before(r.next) {
		return
	}
	r.next = now.Add(watchRetry)
	ctx, cancel := context.WithCancel(ctx)
	r.cancel = cancel
	r.number++
	number := r.number
	done.Add(1)
	go func() {
		defer done.Done()
		defer cancel()
		r.follow(ctx, s, from)
		r.pass(func(time.Time) { r.ended(number) })
	}()
}

func (r *reader) stopWatch() {
	if r.cancel != nil {
		r.cancel()
		r.cancel = nil
	}
}

// follow passes on changes until the watch breaks.
func (r *reader) follow(ctx context.Context, s *control.State, from int64) {
	err := r.client.Watch(ctx, configstore.PrefixAll, from, func(res configstore.WatchResult) {
		r.pass(func(time.Time) { s.HandlePlatformChanges(res.Events) })
	})
	r.log.Debug("watch of the platform ended", origin(err)...)
}

// ended notes that a watch has ended, unless another one runs already.
func (r *reader) ended(number int) {
	if number == r.number {
		r.cancel = nil
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
