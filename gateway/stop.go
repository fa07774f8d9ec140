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
	// leaveAfter is how long the balancer takes to send no new connections: it
	// asks each second and takes a host out after two misses.
	leaveAfter = 2300 * time.Millisecond
	// quietFor is how long no request may have come before a host exits early.
	quietFor = 200 * time.Millisecond
	// graceMargin is kept of the grace period for the exit itself.
	graceMargin = 700 * time.Millisecond
	// drainPoll is how often requests in progress are counted.
	drainPoll = 20 * time.Millisecond
	// reloadEvery is how often the settings are read again without a signal.
	reloadEvery = 2 * time.Second
)

// Stop stops the host so that no request is cut: it reports not ready, lets
// callers go elsewhere, finishes what is in progress and closes.
func (g *Gateway) Stop(context.Context) error {
	began := time.Now()
	g.door.draining.Store(true)
	g.log.Info("host stopping", "requests_in_progress", g.door.active.Load(), "grace_ms", g.settings.Grace.Milliseconds())
	last := began.Add(g.settings.Grace - graceMargin)
	time.Sleep(min(leaveAfter, time.Until(last)))
	for quiet := time.Now(); time.Now().Before(last); time.Sleep(drainPoll) {
		if g.door.active.Load() > 0 {
			quiet = time.Now()
		}
		if time.Since(quiet) >= quietFor {
			break
		}
	}
	if left := g.door.active.Load(); left > 0 {
		g.log.Warn("requests ended by the stop", "requests", left)
		g.runner.endAll()
	}
	ctx, cancel := context.WithDeadline(context.Background(), last.Add(graceMargin/2))
	defer cancel()
	err := g.callers.shutdown(ctx)
	close(g.stopped)
	for _, s := range g.servers {
		_ = s.Close()
	}
	g.log.Info("host stopped", "requests_cut", g.door.active.Load(), "after_ms", time.Since(began).Milliseconds())
	return err
}

// reloads reads the settings again after a signal and from time to time: they
// may change without one.
func (g *Gateway) reloads() {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	ticker := time.NewTicker(reloadEvery)
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
