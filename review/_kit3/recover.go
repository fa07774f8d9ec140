package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/figmast/figmast/platform/standin"
	"github.com/figmast/figmast/route"
)

// playRecover kills all hosts at once, as a day's final fault does, and starts them
// again. Shortly after, all leaves of one of ten shards crash for some seconds. All
// clients ask for the same route sheet.
func playRecover(w *world) []string {
	const (
		hostCount = 3
		shards    = 10
		copies    = 3
		work      = 28 * time.Millisecond
		perHost   = 8
		// pause between two requests of a client: all send about 225 a second.
		pause       = 72 * time.Millisecond
		patience    = 3 * time.Second         // the clients' deadline
		apart       = 10 * time.Millisecond   // between the crashes of two leaves
		downTime    = 800 * time.Millisecond  // closing kill_all: down_s = 0.83
		crashTime   = 4500 * time.Millisecond // srv_crash how = all: for_s = 4.9
		recoverTime = 12 * time.Second        // recover_s
		judgedTime  = 25 * time.Second
	)
	store := standin.NewStore()
	answer := func(l *leaf, c net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(work)
		return l.ok(c, r.Header.Get(headers.RequestID), fmt.Sprintf("%-16.16s", l.entry.ID))
	}
	services := make(map[string]route.Service)
	var gather []string
	var crashing []*leaf
	start := func(i, copy, generation int) *leaf {
		l := w.startLeaf(route.Server{
			ID: fmt.Sprintf("i-%d-%d-%d", i, copy, generation), Service: gather[i], DataCentre: string(rune('a' + copy)), Slots: 6,
		}, answer)
		store.PutServer(l.entry)
		return l
	}
	for i := range shards {
		gather = append(gather, fmt.Sprintf("board~%d", i+1))
		services[gather[i]] = route.Service{Name: gather[i], MaxConnections: 46}
		for copy := range copies {
			if l := start(i, copy, 1); i == 0 {
				crashing = append(crashing, l)
			}
		}
	}
	config := func(version int64) *route.Config {
		return &route.Config{
			Version: version, Services: services,
			Routes: []route.Route{{
				Name: "route-sheet", Host: requestHost, Prefix: "/sheet/", Idempotent: true, Timeout: 3 * time.Second, Objective: 200 * time.Millisecond,
				MaxAttempts: 2, Priority: 1, Gather: gather, TopK: 50, MinShardRatio: 0.89,
			}},
			Limits: route.Limits{HeaderBytes: 16 << 10, BodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		}
	}
	store.PutConfig(config(1))
	hosts := w.newHosts(hostCount, w.startStore(store))
	for _, h := range hosts {
		h.start()
	}
	for _, h := range hosts {
		h.waitReady()
	}
	time.Sleep(2 * time.Second)

	type seen struct {
		at     time.Time
		status int
	}
	var mu sync.Mutex
	var all []seen
	stop := make(chan struct{})
	var done sync.WaitGroup
	for i := range hostCount * perHost {
		done.Go(func() {
			x := w.newClient(hosts[i%hostCount].callers())
			other := w.newClient(hosts[(i+1)%hostCount].callers())
			path := "/sheet/today"
			for {
				select {
				case <-stop:
					return
				default:
				}
				at := time.Now()
				r := x.do("GET", requestHost, path, nil, nil, patience)
				w.note("client %d, request %s: %v, missing parts %q %.80q", i, r.id, r, r.header.Get(headers.Missing), failure(r))
				if left := patience - time.Since(at); r.status != http.StatusOK && left > 0 {
					// One retry over a new connection, which reaches another host, when
					// the answer says or a third of the time left is over.
					time.Sleep(min(retryAfter(r), left/3))
					other.close()
					r = other.do("GET", requestHost, path, nil, nil, patience-time.Since(at))
					w.note("client %d, retry as request %s: %v, missing parts %q %.80q", i, r.id, r, r.header.Get(headers.Missing), failure(r))
				}
				mu.Lock()
				all = append(all, seen{at, r.status})
				mu.Unlock()
				time.Sleep(pause)
			}
		})
	}
	time.Sleep(contact)
	store.PutConfig(config(2))
	w.note("version 2 acknowledged; the final fault: all processes are killed")
	fault := time.Now()
	for _, h := range hosts {
		h.signal(syscall.SIGKILL)
	}
	time.Sleep(downTime)
	for _, h := range hosts {
		<-h.exited
		h.start()
	}
	back := time.Now()
	for _, h := range hosts {
		h.waitReady()
	}
	time.Sleep(time.Until(back.Add(2 * time.Second)))
	if w.trouble {
		for _, l := range crashing {
			l.stop()
			w.note("%s of %s crashes", l.entry.ID, l.entry.Service)
			time.Sleep(apart)
		}
		time.Sleep(crashTime)
		for i, l := range crashing {
			store.RemoveServer(l.entry.ID)
			n := start(0, i, 2)
			w.note("%s of %s is back as %s", l.entry.ID, l.entry.Service, n.entry.ID)
		}
	}
	time.Sleep(time.Until(back.Add(recoverTime + judgedTime)))
	close(stop)
	done.Wait()
	before, servedBefore, after, servedAfter := 0, 0, 0, 0
	for _, s := range all {
		isServed := s.status == http.StatusOK
		switch {
		case s.at.Before(fault):
			before++
			if isServed {
				servedBefore++
			}
		case s.at.After(back.Add(recoverTime)):
			after++
			if isServed {
				servedAfter++
			}
		}
	}
	w.note("before the final fault %d of %d requests were served; of those sent later than recover_s after the machines were back, %d of %d", servedBefore, before, servedAfter, after)
	if before == 0 || after == 0 || 4*servedBefore < before {
		panic(notRun{"too few requests were served before the final fault"})
	}
	if 4*servedAfter < after {
		return []string{fmt.Sprintf("RECOVER: of the requests sent later than recover_s after the machines were back, %d of %d were served, and %d of %d before the final fault", servedAfter, after, servedBefore, before)}
	}
	return nil
}

// failure returns what a host says of a request that it has not served.
func failure(r result) string {
	if r.status == 0 || r.status == http.StatusOK {
		return ""
	}
	return "Retry-After " + r.header.Get("Retry-After") + ": " + r.body
}

// retryAfter returns when a client may try again.
func retryAfter(r result) time.Duration {
	seconds, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}
