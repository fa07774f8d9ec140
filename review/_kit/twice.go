package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// rejectShare is the share of requests that each server rejects, garbleShare the
	// share of rejections that a faulty server sends twice.
	rejectShare = 0.45
	garbleShare = 0.03
	// The servers are faulty for faultyFor, five times, with a pause between.
	faultyFor   = 5 * time.Second
	faultyPause = 2 * time.Second
	faultyTimes = 5
	// bookingLeafs servers serve the route, of which faultyLeafs are faulty.
	bookingLeafs = 5
	faultyLeafs  = 3
	clientCount  = 12
	bookingWork  = 15 * time.Millisecond
)

// garbler sends some rejections twice: the second copy comes where the next
// response on the connection is expected.
type garbler struct {
	mu     sync.Mutex
	faulty bool
	// owed holds the connections on which a second copy is still to come.
	owed   map[net.Conn]string
	copies int
}

func (g *garbler) setFaulty(v bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faulty = v
}

func (g *garbler) takeOwed(c net.Conn) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	text := g.owed[c]
	delete(g.owed, c)
	if text != "" {
		g.copies++
	}
	return text
}

func (g *garbler) maybeOwe(c net.Conn, text string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.faulty || rand.Float64() >= garbleShare {
		return false
	}
	g.owed[c] = text
	return true
}

// secondCopyOfARejection has servers send some of their rejections twice, beside
// requests that may run only once.
func secondCopyOfARejection(b *bed) ([]string, error) {
	if err := b.addHosts(3); err != nil {
		return nil, err
	}
	b.store.PutConfig(configOf(plainRoute("booking", oncePrefix, "desk", false, 3*time.Second, 200*time.Millisecond)))
	g := &garbler{owed: make(map[net.Conn]string)}
	var leafs []*leaf
	for i := range bookingLeafs {
		canBeFaulty := i < faultyLeafs
		l, err := b.addLeaf(fmt.Sprintf("i-desk%d", i+1), "desk", fmt.Sprintf("zone-%d", i%3+1), func(l *leaf, c net.Conn, q *request) bool {
			return answerBooking(l, c, q, g, canBeFaulty)
		})
		if err != nil {
			return nil, err
		}
		leafs = append(leafs, l)
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	replies := make(map[string]reply)
	var mu sync.Mutex
	for n := range clientCount {
		clients.Add(1)
		go func() {
			defer clients.Done()
			bookUntil(done, b, n, func(id string, r reply) {
				mu.Lock()
				defer mu.Unlock()
				replies[id] = r
			})
		}()
	}
	for range faultyTimes {
		b.record("servers begin to send second copies: %v", b.trouble)
		g.setFaulty(b.trouble)
		time.Sleep(faultyFor)
		b.record("servers stop to send second copies")
		g.setFaulty(false)
		time.Sleep(faultyPause)
	}
	close(done)
	clients.Wait()
	b.record("%d requests, %d second copies", len(replies), g.copies)
	return checkOnce(leafs, replies), nil
}

func answerBooking(l *leaf, c net.Conn, q *request, g *garbler, canBeFaulty bool) bool {
	if text := g.takeOwed(c); text != "" {
		l.bed.record("server %s: the second copy of an earlier rejection comes before its answer to %s", l.entry.ID, q.id)
		if !send(c, "%s", text) {
			return false
		}
	} else if rand.Float64() < rejectShare {
		text := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headers.NotRun)
		twice := canBeFaulty && g.maybeOwe(c, text)
		l.bed.record("server %s: rejects %s, and will send that twice: %v", l.entry.ID, q.id, twice)
		return send(c, "%s", text)
	}
	i := l.begin(q)
	time.Sleep(bookingWork)
	l.end(i)
	ok := send(c, "%s", l.success(q, "booked "+q.id))
	l.bed.record("server %s: has run %s, answer sent: %v", l.entry.ID, q.id, ok)
	return ok
}

// bookUntil sends requests over kept connections until done is closed.
func bookUntil(done chan struct{}, b *bed, n int, report func(string, reply)) {
	h := b.hosts[n%len(b.hosts)]
	var c *conn
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(time.Duration(20+rand.IntN(40)) * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = h.dial(); err != nil {
				b.record("client %d: not connected: %v", n, err)
				continue
			}
		}
		id := fmt.Sprintf("c%02d-%05d", n, i)
		r := c.do(http.MethodPost, oncePrefix+id, id, 3*time.Second, "booking "+id)
		b.record("client %d: %s at %s got %v", n, id, h.Name, r)
		report(id, r)
		if r.err != nil || r.closing {
			_ = c.Close()
			c = nil
		}
	}
}

// checkOnce returns the requests that ran more than once, or ran although their
// client was told that they did not.
func checkOnce(leafs []*leaf, replies map[string]reply) (broken []string) {
	runs := make(map[string][]string)
	for _, l := range leafs {
		for _, x := range l.allRuns() {
			runs[x.id] = append(runs[x.id], l.entry.ID)
		}
	}
	for id, at := range runs {
		r := replies[id]
		switch {
		case len(at) > 1:
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times, at %v; its client got %v", id, len(at), at, r))
		case r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests:
			broken = append(broken, fmt.Sprintf("REFUSED: %s ran at %v; its client got %v", id, at, r))
		}
	}
	return broken
}
