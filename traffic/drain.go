package traffic

import (
	"context"
	"time"

	"github.com/figmast/figmast/command"
)

// Times of Drain.
const (
	// drainPoll is how often it looks.
	drainPoll = 5 * time.Millisecond
	// answerTime is left for the last answers to be written to peers.
	answerTime = 50 * time.Millisecond
)

// Drain takes no more commands and waits until no caller waits and no command
// runs, or until ctx is done; then it returns the cause. It tells what the
// command engine then holds, which is forgotten when the process ends. Calls
// of queries that have been answered may still be ending.
func (r *Runner) Drain(ctx context.Context) (command.Stats, error) {
	for {
		held, idle := r.settled()
		if idle {
			pause(ctx, answerTime)
			return held, nil
		}
		if ctx.Err() != nil {
			return held, context.Cause(ctx)
		}
		pause(ctx, drainPoll)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

func (r *Runner) settled() (held command.Stats, idle bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opts.Commands.Close()
	held = r.opts.Commands.Stats()
	return held, len(r.queries) == 0 && len(r.commands) == 0 && held.Running+held.Waiting == 0
}

// Stop ends Run and gives up queries' calls. It waits for commands to end
// until ctx is done, then gives up the rest, and returns when nothing is left.
func (r *Runner) Stop(ctx context.Context) {
	close(r.stop)
	r.giveUp(func(c call) bool { return !c.command })
	over := context.AfterFunc(ctx, func() { r.giveUp(func(call) bool { return true }) })
	defer over()
	r.working.Wait()
}

func (r *Runner) giveUp(which func(call) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		if which(c) {
			c.cancel()
		}
	}
}
