package gateway

import (
	"context"
	"os"
	"os/signal"
	"slices"
	"sync"
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
	closed := g.shutdownServers(cutoff.Add(exitMargin / 2))
	select {
	case <-closed:
	case <-time.After(time.Until(cutoff)):
		// Connections that have not been used yet, and requests in progress, keep
		// their servers open until now.
		g.log.Warn("requests ended by shutdown", "requests", g.handler.active.Load())
		g.runner.finishAll()
		<-closed
	}
	close(g.stopped)
	for _, s := range g.servers {
		_ = s.Close()
	}
	_, most, _ := g.handler.conns.counts()
	g.log.Info("host stopped", "requests_cut", g.handler.active.Load(), "after_ms", time.Since(began).Milliseconds(), "most_caller_connections", most)
	return nil
}

// shutdownServers shuts down all servers whose requests may be in progress, at the
// same time: one that waited for another would go on taking requests. The returned
// channel is closed when they are shut down or the deadline has passed; the
// connections left then have no complete request.
func (g *Gateway) shutdownServers(deadline time.Time) <-chan struct{} {
	servers := g.callers.stopAccepting()
	if g.handoverServer != nil {
		servers = append(servers, g.handoverServer)
	}
	var open sync.WaitGroup
	for _, s := range servers {
		open.Go(func() {
			ctx, cancel := context.WithDeadline(context.Background(), deadline)
			defer cancel()
			if err := s.Shutdown(ctx); err != nil {
				g.log.Warn("connections closed by shutdown", "err", err)
			}
		})
	}
	closed := make(chan struct{})
	go func() {
		open.Wait()
		close(closed)
	}()
	return closed
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
