package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	poisonPath  = plainPrefix + "poison"
	poisonPause = 2 * time.Second
	poisonTries = 26
	// A crashed server is back after downFor; the entry of the crashed lifetime
	// expires after entryExpiry.
	downFor     = 2500 * time.Millisecond
	entryExpiry = 3600 * time.Millisecond
	contactTime = 4 * time.Second
	// maxRetries is how many retries may reach servers after the third crash.
	maxRetries = 3
)

// fleetOfLeafs starts a new server for each one that crashes.
type fleetOfLeafs struct {
	bed *bed

	mu      sync.Mutex
	started int
	crashes []time.Time
	// reached holds when each attempt of the crashing request first reached a
	// server.
	reached map[string]time.Time
	conns   map[*leaf][]net.Conn
}

func (f *fleetOfLeafs) start(zone string) error {
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("i-desk%d", f.started)
	f.mu.Unlock()
	_, err := f.bed.addLeaf(id, "desk", zone, f.answer)
	return err
}

func (f *fleetOfLeafs) answer(l *leaf, c net.Conn, q *request) bool {
	f.mu.Lock()
	f.conns[l] = append(f.conns[l], c)
	f.mu.Unlock()
	if !f.bed.trouble || q.URL.Path != poisonPath {
		return answerAtOnce(l, c, q)
	}
	l.begin(q)
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, known := f.reached[q.id]; !known {
		f.reached[q.id] = time.Now()
	}
	f.crashes = append(f.crashes, time.Now())
	f.bed.record("server %s: crashes under %s, crash %d", l.entry.ID, q.id, len(f.crashes))
	_ = l.listener.Close()
	for _, x := range f.conns[l] {
		_ = x.Close()
	}
	entry := l.entry
	time.AfterFunc(entryExpiry, func() { f.bed.store.RemoveServer(entry.ID) })
	time.AfterFunc(downFor, func() {
		if err := f.start(entry.DataCentre); err != nil {
			f.bed.record("no new server: %v", err)
		}
	})
	return false
}

// requestThatCrashesServers repeats a request that crashes the servers that run it;
// each attempt has the same path and body, and a query of its own.
func requestThatCrashesServers(b *bed) ([]string, error) {
	if err := b.addHosts(3); err != nil {
		return nil, err
	}
	b.store.PutConfig(configOf(plainRoute("lookup", plainPrefix, "desk", true, 3*time.Second, 200*time.Millisecond)))
	f := &fleetOfLeafs{bed: b, reached: make(map[string]time.Time), conns: make(map[*leaf][]net.Conn)}
	for i := range 9 {
		if err := f.start(fmt.Sprintf("zone-%d", i%3+1)); err != nil {
			return nil, err
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			lookUntil(done, b, n, lookPause)
		}()
	}
	for n := range poisonTries {
		h := b.hosts[n%len(b.hosts)]
		id := fmt.Sprintf("p%03d", n)
		path := fmt.Sprintf("%s?attempt=%d", poisonPath, n)
		if os.Getenv("SAME_QUERY") != "" {
			path = poisonPath + "?attempt=0"
		}
		r := h.ask(http.MethodGet, path, id, 3*time.Second, "")
		b.record("client of the crashing request: %s at %s got %v", path, h.Name, r)
		time.Sleep(poisonPause)
	}
	close(done)
	clients.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashes) < 3 {
		return nil, nil
	}
	retries := 0
	for id, at := range f.reached {
		if after := at.Sub(f.crashes[2]); after > contactTime {
			b.record("%s reached a server %v after the third crash", id, after.Round(time.Millisecond))
			retries++
		}
	}
	b.record("%d crashes, %d retries reached servers more than %v after the third crash", len(f.crashes), retries, contactTime)
	if retries > maxRetries {
		return []string{fmt.Sprintf("BUDGET: the request reached servers in %d retries more than %v after it had crashed the third; %d servers crashed", retries, contactTime, len(f.crashes))}, nil
	}
	return nil, nil
}
