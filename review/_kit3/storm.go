package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figmast/figmast/route"
)

// playStorm writes a series of configurations in quick succession while the store
// turns two of six hosts away, those that read it, and moves a route to another service
// in the last one.
func playStorm(w *world) []string {
	const (
		hostCount = 6
		// Within the doses of the users' sites: big_config count = 1400, config_storm
		// for_s = 1.5 and gap_s = 0.06, platform_down how = nodes busy, share = 0.35 and
		// for_s = 9.
		extraRoutes = 1400
		versions    = 25
		gap         = 60 * time.Millisecond
		turnedAway  = 3 * time.Second
		shards      = 10
	)
	store := newLogStore()
	services := map[string]route.Service{}
	var oldLeaves []*leaf
	for i := range 4 {
		service := []string{"desk-old", "desk-new"}[i%2]
		services[service] = route.Service{Name: service, MaxConnections: 46}
		l := w.startLeaf(route.Server{ID: fmt.Sprintf("i-%d", i+1), Service: service, DataCentre: string(rune('a' + i/2)), Slots: 6}, serviceAnswer)
		store.putServer(l.entry)
		if service == "desk-old" {
			oldLeaves = append(oldLeaves, l)
		}
	}
	var gather []string
	for i := range shards {
		name := fmt.Sprintf("dispatch-board~%d", i+1)
		gather = append(gather, name)
		services[name] = route.Service{Name: name, MaxConnections: 46}
	}
	version := int64(0)
	writeConfig := func(service string) time.Time {
		version++
		base := route.Route{Host: requestHost, Idempotent: true, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2, Priority: 1}
		desk := base
		desk.Name, desk.Prefix, desk.Service = "desk", "/desk/", service
		c := &route.Config{
			Version: version, Services: services, Routes: []route.Route{desk},
			Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		}
		for i := range extraRoutes {
			r := base
			r.Name, r.Prefix, r.Gather, r.TopK, r.MinShardRatio = fmt.Sprintf("idle-%d", i), fmt.Sprintf("/idle-%d/%d/", i, version), gather, 50, 0.89
			c.Routes = append(c.Routes, r)
		}
		b := encodeConfig(c)
		store.put(names.Config, b)
		w.note("version %d of the configuration acknowledged, %d bytes, /desk/ goes to %s", version, len(b), service)
		return time.Now()
	}
	writeConfig("desk-old")

	var away [hostCount]atomic.Bool
	var mu sync.Mutex
	var watchedAt [hostCount]time.Time
	hosts := w.newHosts(hostCount, "")
	for i, h := range hosts {
		asked := func(path string, status, events, size int) {
			mu.Lock()
			watchedAt[i] = time.Now()
			mu.Unlock()
			if status != http.StatusOK || events > 0 {
				w.note("the store answers %s of %s: %d, %d entries, %d bytes", path, h.Name, status, events, size)
			}
		}
		h.Store = w.startStore(store.serveFor(func() bool { return away[i].Load() }, asked))
		h.start()
	}
	for _, h := range hosts {
		h.waitReady()
	}
	time.Sleep(contact + 2*time.Second)
	// The two hosts that read the store.
	order := []int{0, 1, 2, 3, 4, 5}
	mu.Lock()
	slices.SortFunc(order, func(a, b int) int { return watchedAt[b].Compare(watchedAt[a]) })
	mu.Unlock()
	turnAway := func(is bool) {
		if !w.trouble {
			return
		}
		for _, i := range order[:2] {
			away[i].Store(is)
			w.note("the store turns %s away: %v", hosts[i].Name, is)
		}
	}
	turnAway(true)
	began := time.Now()
	for range versions - 1 {
		writeConfig("desk-old")
		time.Sleep(gap)
	}
	acked := writeConfig("desk-new")
	time.Sleep(time.Until(began.Add(turnedAway)))
	turnAway(false)
	m := move{hosts: hosts, acked: acked, from: time.Now().Add(contact), oldLeaves: oldLeaves, publish: store.putServer, remove: store.remove}
	return m.judge(w, historyTime+6*time.Second)
}
