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
	// crashContent stands in the path of the request that ends every server
	// that runs it, where others have their ID.
	crashContent = "crash"
	// maxCrashPause bounds the pause between two of them.
	maxCrashPause = 1500 * time.Millisecond
	// entryLapse is three heartbeats of servers, after which an entry lapses.
	entryLapse = 3600 * time.Millisecond
	// maxLateCrashes is how often the request may reach servers later than
	// settleTime after it has ended the third, as the users' rule says.
	maxLateCrashes = 3
)

// sendCrashRequests sends a request that ends servers, of one kind, to any host until
// ctx is done.
func (c *clients) sendCrashRequests(ctx context.Context, random *rand.Rand) {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	kind := kinds[random.IntN(len(kinds))]
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.Int64N(int64(maxCrashPause))))
		c.add(c.send(t, c.hosts[random.IntN(len(c.hosts))], kind, fmt.Sprintf("%s%06x", crashContent, i), crashContent))
	}
}

// crashBackend ends a backend server's lifetime: its connections are reset and refused
// until another lifetime begins at its address, under the same ID or a new one.
func (w *world) crashBackend(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.down = true
	b.link.stop()
	old, sameID := b.entry.ID, b.random.IntN(2) == 0
	back := 200*time.Millisecond + time.Duration(b.random.Int64N(int64(3*time.Second)))
	w.events.add("%s ended under a request, back in %v, same ID %v", old, back, sameID)
	if !sameID {
		time.AfterFunc(entryLapse, func() { w.store.RemoveServer(old) })
	}
	time.AfterFunc(back, func() { w.restartBackend(b, sameID) })
}

func (w *world) restartBackend(b *backend, sameID bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.leaving {
		return
	}
	b.entry.StartUnixMs = time.Now().UnixMilli()
	if !sameID {
		b.idChanges++
		b.entry.ID = fmt.Sprintf("%s.%d", strings.SplitN(b.entry.ID, ".", 2)[0], b.idChanges)
	}
	if err := b.link.resume(); err != nil {
		w.events.add("%s is not back: %v", b.entry.ID, err)
		return
	}
	b.down = false
	w.store.PutServer(b.entry)
}

// checkCrashes checks that a request that ends servers reaches no more of them once
// it has ended three.
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
	h.world.events.add("the request that ends servers reached %d, %d of them late, from hosts left alone", len(all), len(late))
	if len(late) <= maxLateCrashes {
		return nil
	}
	return []string{fmt.Sprintf("a request that had ended three servers reached servers %d times later than %v after that: %s", len(late), settleTime, strings.Join(late, ", "))}
}
