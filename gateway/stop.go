package gateway

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

const (
	// balancerDelay is how long the load balancer takes to stop sending new
	// connections: it probes readiness every second and removes a host after
	// two failures.
	balancerDelay = 2300 * time.Millisecond
	// quietPeriod is how long there must have been no request in progress for a
	// host to exit before the end of the grace period.
	quietPeriod = 200 * time.Millisecond
	// exitMargin is the part of the grace period reserved for the exit itself.
	exitMargin = 700 * time.Millisecond
	// drainPollInterval is how often the requests in progress are counted.
	drainPollInterval = 20 * time.Millisecond
	// reloadInterval is how often the settings are reloaded without a signal.
	reloadInterval = 2 * time.Second
)

// Stop shuts the host down gracefully: it reports not ready, waits until the
// load balancer sends nothing more, finishes the requests in progress and
// closes the listeners. Requests that cannot end in time are refused.
func (g *Gateway) Stop(context.Context) error {
	began := time.Now()
	g.handler.draining.Store(true)
	g.log.Info("host stopping", "requests_in_progress", g.handler.active.Load(), "grace_ms", g.settings.Grace.Milliseconds())
	cutoff := began.Add(g.settings.Grace - exitMargin)
	g.runner.stopAt(g.settings.Grace - exitMargin)
	time.Sleep(min(balancerDelay, time.Until(cutoff)))
	for quietSince := time.Now(); time.Now().Before(cutoff); time.Sleep(drainPollInterval) {
		if g.handler.active.Load() > 0 {
			quietSince = time.Now()
		}
		if time.Since(quietSince) >= quietPeriod {
			break
		}
	}
	if left := g.handler.active.Load(); left > 0 {
		g.log.Warn("requests ended by shutdown", "requests", left)
		g.runner.finishAll()
	}
	ctx, cancel := context.WithDeadline(context.Background(), cutoff.Add(exitMargin/2))
	defer cancel()
	err := g.callers.shutdown(ctx)
	close(g.stopped)
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.log.Info("host stopped", "requests_cut", g.handler.active.Load(), "after_ms", time.Since(began).Milliseconds())
	return err
}

// runReload reloads the settings on SIGHUP and periodically, as they may change
// without a signal.
func (g *Gateway) runReload() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	seeds := g.settings.Seeds
	for {
		signalled := false
		select {
		case <-g.stopped:
			return
		case <-hup:
			signalled = true
		case <-ticker.C:
		}
		s, err := g.platform.Reload()
		if err != nil {
			g.log.Error("settings not reloaded", "err", err)
			continue
		}
		if changed := !slices.Equal(s.Seeds, seeds); changed || signalled {
			g.log.Info("settings reloaded", "signal", signalled, "seeds_changed", changed, "seeds", s.Seeds)
			seeds = s.Seeds
			g.feed.SetSeeds(s.Seeds)
		}
	}
}
