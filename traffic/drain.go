package traffic

import (
	"context"
	"time"

	"github.com/figmast/figmast/command"
)

// Times of Drain.
const (
	// drainPollInterval is how often Drain checks whether it is done.
	drainPollInterval = 5 * time.Millisecond
	// answerGracePeriod is how long Drain waits at the end, so that the last
	// answers can be written to peers.
	answerGracePeriod = 50 * time.Millisecond
)

// Drain stops accepting new commands and waits until no caller waits and no
// command runs. If ctx is done first, it returns the cause. It also returns the
// state of the command engine, which is lost when the process ends. Calls of
// queries that have been answered may still be in progress afterwards.
func (r *Runner) Drain(ctx context.Context) (command.Stats, error) {
	for {
		stats, idle := r.drainState()
		if idle {
			sleep(ctx, answerGracePeriod)
			return stats, nil
		}
		if ctx.Err() != nil {
			return stats, context.Cause(ctx)
		}
		sleep(ctx, drainPollInterval)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *Runner) drainState() (stats command.Stats, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Commands.Close()
	stats = r.opts.Commands.Stats()
	return stats, len(r.queries) == 0 && len(r.commands) == 0 && stats.Running+stats.Waiting == 0
}

// Stop ends Run and cancels the calls of queries. It lets the calls of commands
// end until ctx is done, then cancels those too, and returns when no call and no
// forwarded command is in progress. Forwarded commands end by their deadlines.
func (r *Runner) Stop(ctx context.Context) {
	close(r.stop)
	r.cancelCalls(func(c call) bool { return !c.isCommand })
	stopWatching := context.AfterFunc(ctx, func() { r.cancelCalls(func(call) bool { return true }) })
	defer stopWatching()
	r.inFlight.Wait()
}

func (r *Runner) cancelCalls(matches func(call) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if matches(c) {
			c.cancel()
		}
	}
}
