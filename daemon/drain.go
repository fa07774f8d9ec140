package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/figmast/figmast/timeline"
)

// Stop drains the host and closes it: it reports not ready, serves on while
// the balancer moves callers away, finishes every request, and closes. The
// error tells of requests that were cut because the drain limit passed.
func (h *Host) Stop(ctx context.Context) error {
	h.draining.Store(true)
	h.control.events.Add(timeline.Event{Kind: timeline.HostState, Detail: "draining"})
	h.log.Info("draining", "wait", h.settings.DrainWait, "limit", h.settings.DrainLimit)
	h.control.leave()
	pause(ctx, h.settings.DrainWait)
	limited, cancel := context.WithTimeout(ctx, h.settings.DrainLimit)
	defer cancel()
	err := h.finishRequests(limited)
	h.runner.Stop(limited)
	h.control.stop()
	h.pool.Close()
	h.client.Close()
	err = errors.Join(err, h.peers.transport.Close(), h.ops.Close())
	if err != nil {
		LogFailure(h.log, "host stopped with a failure", err)
		return err
	}
	h.log.Info("host stopped")
	return nil
}

// finishRequests waits for the requests of callers, and then for those of
// peers and for commands whose callers went away.
func (h *Host) finishRequests(ctx context.Context) error {
	if err := h.callers.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests of callers were cut: %w", err)
	}
	held, err := h.runner.Drain(ctx)
	h.log.Info("outcomes of commands forgotten", "claims", held.Claims, "unused_tickets", held.Tickets-held.Claims, "running", held.Running)
	if err != nil {
		return fmt.Errorf("requests of peers or commands were cut: %w", err)
	}
	return nil
}
