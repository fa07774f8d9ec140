package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

// cases holds the cases by name. Each returns the rules that were broken.
var cases = map[string]func(*world) []string{
	"recover": playRecover, "storm": playStorm, "settings": playSettings, "limits": playLimits, "evacuate": playEvacuate,
}

const requestHost = "desk.example"

func okAnswer(l *leaf, c net.Conn, r *http.Request, _ []byte) bool {
	return l.ok(c, r.Header.Get(headers.RequestID), "answer of "+l.entry.ID)
}

// playLimits raises header_bytes in a new version of the configuration while clients
// keep their connections open, and then sends requests with larger heads.
func playLimits(w *world) []string {
	const oldBytes, newBytes, bigHead = 8 << 10, 32 << 10, 24 << 10
	store := standin.NewStore()
	for i := range 3 {
		l := w.startLeaf(route.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "desk", DataCentre: string(rune('a' + i)), Slots: 6}, okAnswer)
		store.PutServer(l.entry)
	}
	config := func(version int64, headerBytes int) *route.Config {
		return &route.Config{
			Version: version, Services: map[string]route.Service{"desk": {Name: "desk", MaxConnections: 46}},
			Routes: []route.Route{{Name: "r", Host: requestHost, Prefix: "/desk/", Idempotent: true, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2, Priority: 1, Service: "desk"}},
			Limits: route.Limits{HeaderBytes: headerBytes, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		}
	}
	first := newBytes
	if w.trouble {
		first = oldBytes
	}
	store.PutConfig(config(1, first))
	hosts := w.newHosts(2, w.startStore(store))
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.waitReady()
	}
	time.Sleep(contact + time.Second)
	var clients []*client
	sent, refused := 0, 0
	for _, h := range hosts {
		for range 10 {
			clients = append(clients, w.newClient(h.callers()))
		}
	}
	send := func(headBytes int) {
		for i, x := range clients {
			header := http.Header{}
			if headBytes > 0 {
				header.Set("Session", strings.Repeat("s", headBytes))
			}
			r := x.do("GET", requestHost, fmt.Sprintf("/desk/ticket-%d", i), header, nil, 3*time.Second)
			sent++
			if r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 {
				refused++
			}
			w.note("client %d, request %s, head of %d bytes, kept connection %v: %v %q", i, r.id, headBytes+200, r.isKept, r, r.header.Get(headers.Signature))
		}
	}
	for range 3 {
		send(0)
		time.Sleep(time.Second)
	}
	if w.trouble {
		store.PutConfig(config(2, newBytes))
		w.note("version 2 of the configuration acknowledged: header_bytes %d instead of %d", newBytes, oldBytes)
	}
	for range 5 {
		time.Sleep(time.Second)
		send(0)
	}
	for range 3 {
		send(bigHead)
		time.Sleep(500 * time.Millisecond)
	}
	w.note("%d requests sent, %d ended with a 4xx of the host", sent, refused)
	if limit := 5 + float64(sent)/500; float64(refused) > limit {
		return []string{fmt.Sprintf("DENIED: %d of %d requests were ended with a 3xx or 4xx of the host's own, more than %.1f", refused, sent, limit)}
	}
	return nil
}
