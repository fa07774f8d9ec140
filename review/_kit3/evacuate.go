package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

// playEvacuate evacuates a data centre and then restores the store from a copy that
// does not have the evacuation yet. The operator writes it again some seconds later.
func playEvacuate(w *world) []string {
	const (
		evacuateTime = 5 * time.Second // evacuate_ms
		copyAge      = 6 * time.Second
		awayTime     = time.Second
		rewriteAfter = 9 * time.Second
	)
	store := standin.NewStore()
	var away atomic.Bool
	type arrival struct {
		at       time.Time
		id, leaf string
	}
	var mu sync.Mutex
	var arrivals []arrival
	answer := func(l *leaf, c net.Conn, r *http.Request, _ []byte) bool {
		id := r.Header.Get(headers.RequestID)
		if l.entry.DataCentre == "a" {
			mu.Lock()
			arrivals = append(arrivals, arrival{time.Now(), id, l.entry.ID})
			mu.Unlock()
			w.note("request %s reaches %s in data centre a", id, l.entry.ID)
		}
		time.Sleep(10 * time.Millisecond)
		return l.ok(c, id, "answer of "+l.entry.ID)
	}
	for i := range 6 {
		l := w.startLeaf(route.Server{ID: fmt.Sprintf("i-%d", i+1), Service: "desk", DataCentre: string(rune('a' + i%3)), Slots: 6}, answer)
		store.PutServer(l.entry)
	}
	store.PutConfig(&route.Config{
		Version: 1, Services: map[string]route.Service{"desk": {Name: "desk", MaxConnections: 46}},
		Routes: []route.Route{{Name: "r", Host: requestHost, Prefix: "/desk/", Idempotent: true, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond, MaxAttempts: 2, Priority: 1, Service: "desk"}},
		Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	})
	address := w.startStore(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if away.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		store.ServeHTTP(rw, r)
	}))
	hosts := w.newHosts(3, address)
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.waitReady()
	}
	time.Sleep(contact + copyAge)
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range 9 {
		done.Go(func() {
			x := w.newClient(hosts[i%3].callers())
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				x.do("GET", requestHost, fmt.Sprintf("/desk/%d-%d", i, n), nil, nil, 3*time.Second)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Second)
	store.PutEntry(names.Evacuation+"a", []byte("{}"))
	acked := time.Now()
	w.note("the store acknowledges the evacuation of data centre a")
	time.Sleep(4 * time.Second)
	if w.trouble {
		away.Store(true)
		w.note("the store is away")
		time.Sleep(awayTime)
		era := store.Restore(copyAge)
		away.Store(false)
		w.note("the store is back from a copy %v old, era %d", copyAge, era)
	}
	back := time.Now()
	time.Sleep(rewriteAfter)
	store.PutEntry(names.Evacuation+"a", []byte("{}"))
	w.note("the operator has written the evacuation again")
	time.Sleep(2 * time.Second)
	close(stop)
	done.Wait()
	from := acked.Add(evacuateTime + judgeSlack)
	if w.trouble {
		if at := back.Add(contact); at.After(from) {
			from = at // the store is stable again
		}
	}
	late := 0
	for _, a := range arrivals {
		if a.at.After(from) {
			late++
		}
	}
	w.note("%d requests reached data centre a in all, %d later than evacuate_ms after the acknowledgement", len(arrivals), late)
	if late > 0 {
		return []string{fmt.Sprintf("EVAC: %d requests reached leafs of data centre a later than evacuate_ms after its evacuation was acknowledged; it was not taken back", late)}
	}
	return nil
}
