package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	drainBound = applyWithin
	// cutFor is how long the readers are cut off from the store.
	cutFor = time.Second
	// Times from one change in the store to the next: the readers ask again by then
	// after the first one.
	firstChange  = 300 * time.Millisecond
	secondChange = 20 * time.Millisecond
	drainChange  = 50 * time.Millisecond
	// drainLeafs servers of one slot serve the route; one of them leaves.
	drainLeafs  = 7
	drainWork   = 60 * time.Millisecond
	hostClients = 9
)

// drainLog is when the leaving server was acknowledged as draining, and the requests
// that reached it later than it may get any.
type drainLog struct {
	bed     *bed
	leaving string

	mu    sync.Mutex
	acked time.Time
	late  []string
	last  time.Duration
}

// arrive records a request that has reached the leaving server.
func (d *drainLog) arrive(l *leaf, q *request) {
	if l.entry.ID != d.leaving {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	after := time.Since(d.acked)
	if !d.acked.IsZero() {
		d.last = after
	}
	if d.acked.IsZero() || after <= drainBound {
		return
	}
	host := q.URL.Query().Get("host")
	d.bed.record("server %s: %s of %s reaches it %v after it was acknowledged as draining", l.entry.ID, q.id, host, after.Round(time.Millisecond))
	d.late = append(d.late, host)
}

// readersCutWhileServerLeaves cuts the hosts that read the store off from it for a
// second while a server leaves.
func readersCutWhileServerLeaves(b *bed) ([]string, error) {
	if err := b.addHosts(fleetSize); err != nil {
		return nil, err
	}
	gates, err := b.addGates()
	if err != nil {
		return nil, err
	}
	for i, h := range b.hosts {
		h.DataCentre = fmt.Sprintf("zone-%d", i%zoneCount+1)
	}
	b.store.PutConfig(configOf(
		plainRoute("lookup", plainPrefix, "desk", true, 3*time.Second, 200*time.Millisecond),
		plainRoute("other", "/other/", "side", true, 3*time.Second, 200*time.Millisecond)))
	d := &drainLog{bed: b, leaving: "i-desk1"}
	var leaving *leaf
	for i := range drainLeafs {
		l, err := b.addLeaf(fmt.Sprintf("i-desk%d", i+1), "desk", fmt.Sprintf("zone-%d", i%zoneCount+1), func(l *leaf, c net.Conn, q *request) bool {
			d.arrive(l, q)
			time.Sleep(drainWork)
			return send(c, "%s", l.success(q, "body of "+q.id))
		})
		if err != nil {
			return nil, err
		}
		l.entry.Slots = 1
		b.store.PutServer(l.entry)
		if l.entry.ID == d.leaving {
			leaving = l
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	readers, err := b.findReaders(gates)
	if err != nil {
		return nil, err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n := range fleetSize * hostClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			lookUntil(done, b, n, 5*time.Millisecond)
		}()
	}
	time.Sleep(3 * time.Second)

	if _, err := b.addLeaf("i-side1", "side", "zone-1", answerAtOnce); err != nil {
		return nil, err
	}
	time.Sleep(firstChange)
	for _, h := range readers {
		if b.trouble {
			gates[h].hold(cutFor)
			b.record("%s is cut off from the store for %v", h.Name, cutFor)
		}
	}
	time.Sleep(secondChange)
	if _, err := b.addLeaf("i-side2", "side", "zone-2", answerAtOnce); err != nil {
		return nil, err
	}
	time.Sleep(drainChange)
	entry := leaving.entry
	entry.Draining = true
	b.store.PutServer(entry)
	d.mu.Lock()
	d.acked = time.Now()
	d.mu.Unlock()
	b.record("server %s acknowledged as draining", entry.ID)
	time.Sleep(drainBound + 3*time.Second)
	close(done)
	clients.Wait()

	d.mu.Lock()
	defer d.mu.Unlock()
	inTouch := 0
	for _, name := range d.late {
		if !slices.ContainsFunc(readers, func(h *host) bool { return h.Name == name }) {
			inTouch++
		}
	}
	b.record("the last request reached %s %v after it was acknowledged as draining", entry.ID, d.last.Round(time.Millisecond))
	b.record("%d late requests, %d of them from hosts that were not cut off", len(d.late), inTouch)
	if inTouch > 0 {
		return []string{fmt.Sprintf("DRAIN: %d requests from hosts in touch reached %s later than %v after it was acknowledged as draining, the last %v after", inTouch, entry.ID, drainBound, d.last.Round(time.Millisecond))}, nil
	}
	return nil, nil
}
