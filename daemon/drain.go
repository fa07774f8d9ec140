package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

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
	peersErr := h.peers.drain(ctx)
	held, err := h.runner.Drain(ctx)
	h.log.Info("outcomes of commands forgotten", "claims", held.Claims, "unused_tickets", held.Tickets-held.Claims, "running", held.Running)
	if err := errors.Join(peersErr, err); err != nil {
		return fmt.Errorf("requests of peers or commands were cut: %w", err)
	}
	return nil
}

// Times of the end of what peers asked for.
const (
	// peersPoll is how often the end is looked for.
	peersPoll = 5 * time.Millisecond
	// answerLinger is how long the connections to peers stay open for the last
	// answers to arrive, lost packets included.
	answerLinger = 200 * time.Millisecond
)

// drain waits until nothing is in progress for peers and the last answers
// have had time to arrive, or until ctx is done; then it returns the cause.
func (p *peers) drain(ctx context.Context) error {
	for p.serving.Load() > 0 || time.Since(time.Unix(0, p.lastServed.Load())) < answerLinger {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-time.After(peersPoll):
		}
	}
	return nil
}
