package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// crashContent takes the place of the request ID in the path of the request
	// that crashes every backend server that runs it.
	crashContent = "crash"
	// maxCrashPause bounds the pause between two such requests.
	maxCrashPause = 1500 * time.Millisecond
	// entryExpiry is three server heartbeats, after which a directory entry expires.
	entryExpiry = 3600 * time.Millisecond
	// maxLateCrashes is how often the request may reach servers more than
	// settleTime after it crashed the third one. The users set this limit.
	maxLateCrashes = 3
)

// sendCrashRequests sends a request that crashes servers, always of the same kind,
// to random hosts until ctx is done.
func (c *clients) sendCrashRequests(ctx context.Context, random *rand.Rand) {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	kind := kinds[random.IntN(len(kinds))]
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.Int64N(int64(maxCrashPause))))
		c.add(c.send(t, c.hosts[random.IntN(len(c.hosts))], kind, fmt.Sprintf("%s%06x", crashContent, i), crashContent))
	}
}

// crashBackend crashes a backend server: its connections are reset and refused until
// it restarts at the same address, under the same ID or a new one.
func (w *world) crashBackend(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.down = true
	b.link.stop()
	old, sameID := b.entry.ID, b.random.IntN(2) == 0
	restartAfter := 200*time.Millisecond + time.Duration(b.random.Int64N(int64(3*time.Second)))
	w.events.add("%s crashed on a request, restarts in %v, same ID %v", old, restartAfter, sameID)
	if !sameID {
		time.AfterFunc(entryExpiry, func() { w.removeServer(old) })
	}
	time.AfterFunc(restartAfter, func() { w.restartBackend(b, sameID) })
}

func (w *world) restartBackend(b *backend, sameID bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.leaving {
		return
	}
	b.entry.StartUnixMs = time.Now().UnixMilli()
	b.limit = 0
	if !sameID {
		b.idChanges++
		b.entry.ID = fmt.Sprintf("%s.%d", strings.SplitN(b.entry.ID, ".", 2)[0], b.idChanges)
	}
	if err := b.link.resume(); err != nil {
		w.events.add("%s did not restart: %v", b.entry.ID, err)
		return
	}
	b.down = false
	w.store.PutServer(b.entry)
}

// checkCrashes checks that a request that crashes servers stops reaching them within
// settleTime after the third crash. Of later arrivals, maxLateCrashes are allowed;
// those from hosts that a fault affected do not count.
func (h *history) checkCrashes(byID map[string]*result) []string {
	var all []execution
	for _, runs := range h.executions {
		for _, x := range runs {
			if strings.Contains(x.path, "/"+crashContent+"?") {
				all = append(all, x)
			}
		}
	}
	if len(all) < 3 {
		return nil
	}
	slices.SortFunc(all, func(a, b execution) int { return a.at.Compare(b.at) })
	third := all[2].at
	var late []string
	for _, x := range all {
		r := byID[x.request]
		if x.at.Sub(third) > settleTime && r != nil && r.host.isUndisturbed(x.at.Add(-settleTime), x.at, false) {
			late = append(late, fmt.Sprintf("%s at %s by %s", x.request, x.server, r.host.Name))
		}
	}
	h.world.events.add("the request that crashes servers reached %d, %d of them late from hosts without faults", len(all), len(late))
	if len(late) <= maxLateCrashes {
		return nil
	}
	return []string{fmt.Sprintf("a request that had crashed three servers reached servers %d times more than %v after that: %s", len(late), settleTime, strings.Join(late, ", "))}
}
