package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/figmast/figmast/timeline"
)

// Stop shuts the host down gracefully. The host first reports that it is not
// ready and keeps serving while the load balancer takes it out. Then it
// finishes the requests in progress and closes. The error reports requests that
// were cut off at the drain limit, and listeners that failed to close.
func (h *Host) Stop(ctx context.Context) error {
	h.draining.Store(true)
	h.control.events.Add(timeline.Event{Kind: timeline.HostState, Detail: "draining"})
	h.log.Info("draining", "wait", h.settings.DrainWait, "limit", h.settings.DrainLimit)
	h.control.leave()
	sleep(ctx, h.settings.DrainWait)
	drainCtx, cancel := context.WithTimeout(ctx, h.settings.DrainLimit)
	defer cancel()
	err := h.finishRequests(drainCtx)
	h.runner.Stop(drainCtx)
	h.control.stop()
	h.pool.Close()
	h.client.Close()
	err = errors.Join(err, h.peers.transport.Close(), h.ops.Close())
	if err != nil {
		LogFailure(h.log, "host stopped with an error", err)
		return err
	}
	h.log.Info("host stopped")
	return nil
}

// finishRequests waits for the requests of callers, then for those of peers and
// for commands whose callers have disconnected.
func (h *Host) finishRequests(ctx context.Context) error {
	if err := h.callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests of callers were cut off: %w", err)
	}
	peersErr := h.peers.drain(ctx)
	stats, err := h.runner.Drain(ctx)
	h.log.Info("command outcomes discarded at shutdown", "claims", stats.Claims, "unused_tickets", stats.Tickets-stats.Claims, "running", stats.Running)
	if err := errors.Join(peersErr, err); err != nil {
		return fmt.Errorf("requests of peers or commands were cut off: %w", err)
	}
	return nil
}

// Intervals used while draining the requests of peers.
const (
	// drainPollInterval is how often drain checks whether it is done.
	drainPollInterval = 5 * time.Millisecond
	// answerGracePeriod is how long the connections to peers stay open so that
	// the last answers arrive, including retransmissions of lost packets.
	answerGracePeriod = 200 * time.Millisecond
)

// drain waits until no request of a peer is in progress and answerGracePeriod
// has passed since the last one. If ctx is done first, it returns the cause.
func (p *peers) drain(ctx context.Context) error {
	for p.serving.Load() > 0 || time.Since(time.Unix(0, p.lastServed.Load())) < answerGracePeriod {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(drainPollInterval):
		}
	}
	return nil
}
