package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

// playSettings moves the metadata store to another address: the settings files name it,
// two of three hosts get SIGHUP, and the old address is given up after that. Then the operator
// moves a route to another service.
func playSettings(w *world) []string {
	store := standin.NewStore()
	var oldLeaves []*leaf
	for i := range 4 {
		service := []string{"desk-old", "desk-new"}[i%2]
		l := w.startLeaf(route.Server{ID: fmt.Sprintf("i-%d", i+1), Service: service, DataCentre: string(rune('a' + i/2)), Slots: 6}, serviceAnswer)
		store.PutServer(l.entry)
		if service == "desk-old" {
			oldLeaves = append(oldLeaves, l)
		}
	}
	config := func(version int64, service string) *route.Config {
		return &route.Config{
			Version: version, Services: map[string]route.Service{"desk-old": {Name: "desk-old", MaxConnections: 46}, "desk-new": {Name: "desk-new", MaxConnections: 46}},
			Routes: []route.Route{{Name: "r", Host: requestHost, Prefix: "/desk/", Idempotent: true, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2, Priority: 1, Service: service}},
			Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		}
	}
	store.PutConfig(config(1, "desk-old"))
	oldAddress, giveUp := w.serve(store)
	newAddress, _ := w.serve(store)
	hosts := w.newHosts(3, oldAddress)
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.waitReady()
	}
	time.Sleep(contact + time.Second)
	if w.trouble {
		for i, h := range hosts {
			h.Store = newAddress
			h.writeSettings()
			w.note("the settings file of %s names %s as the store's address", h.Name, newAddress)
			if i < 2 { // the file may also change without a signal
				h.signal(syscall.SIGHUP)
			}
		}
		time.Sleep(5 * time.Second)
		giveUp()
		w.note("the store's old address %s is given up, %s still serves", oldAddress, newAddress)
	}
	time.Sleep(contact + time.Second)
	store.PutConfig(config(2, "desk-new"))
	acked := time.Now()
	w.note("version 2 acknowledged: the route goes to desk-new instead of desk-old")
	m := move{hosts: hosts, acked: acked, from: acked, oldLeaves: oldLeaves, publish: store.PutServer, remove: store.RemoveServer}
	return m.judge(w, 20*time.Second)
}

// serviceHeader tells the cases which service has run a request.
const serviceHeader = "Service"

func serviceAnswer(l *leaf, c net.Conn, r *http.Request, _ []byte) bool {
	l.runs.Add(1)
	return l.success(c, r.Header.Get(headers.RequestID), serviceHeader+": "+l.entry.Service+"\r\n", strings.Repeat("b", 100))
}
