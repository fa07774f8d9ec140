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
	// crashPause bounds the pause between two of them.
	crashPause = 1500 * time.Millisecond
	// crashLapse is three heartbeats of servers, after which an entry lapses.
	crashLapse = 3600 * time.Millisecond
	// mostLateCrashes is how often the request may reach servers later than
	// settleTime after it has ended the third, as the users' rule says.
	mostLateCrashes = 3
)

// crashing sends a request that ends servers, of one kind, to any host until
// ctx is done.
func (c *clients) crashing(ctx context.Context, random *rand.Rand) {
	t := &http.Transport{DisableCompression: true}
	defer t.CloseIdleConnections()
	kind := kinds[random.IntN(len(kinds))]
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(time.Duration(random.Int64N(int64(crashPause))))
		c.add(c.send(t, c.hosts[random.IntN(len(c.hosts))], kind, fmt.Sprintf("%s%06x", crashContent, i), crashContent))
	}
}

// crash ends a backend server's lifetime: its connections are reset and refused
// until another lifetime begins at its address, under the same ID or a new one.
func (w *world) crash(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return
	}
	b.down = true
	b.link.stop()
	old, sameID := b.entry.ID, b.random.IntN(2) == 0
	back := 200*time.Millisecond + time.Duration(b.random.Int64N(int64(3*time.Second)))
	w.notes.add("%s ended under a request, back in %v, same ID %v", old, back, sameID)
	if !sameID {
		time.AfterFunc(crashLapse, func() { w.store.RemoveServer(old) })
	}
	time.AfterFunc(back, func() { w.revive(b, sameID) })
}

func (w *world) revive(b *backend, sameID bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed || b.leaving {
		return
	}
	b.entry.StartUnixMs = time.Now().UnixMilli()
	if !sameID {
		b.lives++
		b.entry.ID = fmt.Sprintf("%s.%d", strings.SplitN(b.entry.ID, ".", 2)[0], b.lives)
	}
	if err := b.link.resume(); err != nil {
		w.notes.add("%s is not back: %v", b.entry.ID, err)
		return
	}
	b.down = false
	w.store.PutServer(b.entry)
}

// crashes checks that a request that ends servers reaches no more of them once
// it has ended three.
func (h *history) crashes(byID map[string]*result) []string {
	var all []execution
	for _, runs := range h.runs {
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
		if x.at.Sub(third) > settleTime && r != nil && r.host.calm(x.at.Add(-settleTime), x.at, false) {
			late = append(late, fmt.Sprintf("%s at %s by %s", x.request, x.server, r.host.Name))
		}
	}
	h.world.notes.add("the request that ends servers reached %d, %d of them late, from hosts left alone", len(all), len(late))
	if len(late) <= mostLateCrashes {
		return nil
	}
	return []string{fmt.Sprintf("a request that had ended three servers reached servers %d times later than %v after that: %s", len(late), settleTime, strings.Join(late, ", "))}
}
