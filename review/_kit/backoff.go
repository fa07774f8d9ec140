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
	// stayAway is for how long the overloaded server wants nothing from a host, and
	// overload for how long it rejects requests.
	stayAway     = 90 * time.Second
	askFor       = time.Second
	backoffSlack = 500 * time.Millisecond
	// maxArrivals is how many requests may still reach the server from one host.
	maxArrivals = 2
	lookPause   = 80 * time.Millisecond
)

// stayAwayLog is what the overloaded server has said and got, by host.
type stayAwayLog struct {
	mu       sync.Mutex
	asking   bool
	askedAt  map[string]time.Time
	arrivals map[string]int
	first    map[string]time.Duration
}

// askedToStayAway has one of three servers reject the requests of a second with a
// long Retry-After.
func askedToStayAway(b *bed) ([]string, error) {
	if err := b.addHosts(3); err != nil {
		return nil, err
	}
	b.store.PutConfig(configOf(plainRoute("lookup", plainPrefix, "desk", true, 3*time.Second, 200*time.Millisecond)))
	s := &stayAwayLog{askedAt: make(map[string]time.Time), arrivals: make(map[string]int), first: make(map[string]time.Duration)}
	for i := range 3 {
		answer := answerAtOnce
		if i == 0 {
			answer = func(l *leaf, c net.Conn, q *request) bool { return s.answer(l, c, q) }
		}
		if _, err := b.addLeaf(fmt.Sprintf("i-desk%d", i+1), "desk", fmt.Sprintf("zone-%d", i+1), answer); err != nil {
			return nil, err
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for n := range 9 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			lookUntil(done, b, n, lookPause)
		}()
	}
	time.Sleep(2 * time.Second)
	s.setAsking(b.trouble)
	b.record("i-desk1 asks to stay away: %v", b.trouble)
	time.Sleep(askFor)
	s.setAsking(false)
	b.record("i-desk1 asks no more")
	time.Sleep(stayAway)
	close(done)
	clients.Wait()
	var broken []string
	for host, n := range s.arrivals {
		if n > maxArrivals {
			broken = append(broken, fmt.Sprintf("BUDGET: %d requests reached i-desk1 from %s from %v after it had asked that host to stay away for %v", n, host, s.first[host].Round(time.Millisecond), stayAway))
		}
	}
	return broken, nil
}

func (s *stayAwayLog) setAsking(v bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asking = v
}

// answer rejects a request, or counts and serves it. Clients put the name of their
// host into the path.
func (s *stayAwayLog) answer(l *leaf, c net.Conn, q *request) bool {
	host := q.URL.Query().Get("host")
	s.mu.Lock()
	at, asked := s.askedAt[host]
	if since := time.Since(at); asked && since > backoffSlack && since < stayAway {
		s.arrivals[host]++
		if s.arrivals[host] == 1 {
			s.first[host] = since
		}
		l.bed.record("server %s: %s from %s %v after it asked that host to stay away", l.entry.ID, q.id, host, since.Round(time.Millisecond))
	}
	asking := s.asking
	if asking && !asked {
		s.askedAt[host] = time.Now()
	}
	s.mu.Unlock()
	if asking {
		l.bed.record("server %s: rejects %s of %s, Retry-After %v", l.entry.ID, q.id, host, stayAway)
		return send(c, "HTTP/1.1 503 Service Unavailable\r\n%s: %s\r\n%s: 1\r\nRetry-After: %d\r\nContent-Length: 0\r\n\r\n",
			headers.RequestID, q.id, headers.NotRun, int(stayAway.Seconds()))
	}
	return answerAtOnce(l, c, q)
}

// lookUntil sends requests to one host, with pauses, until done is closed.
func lookUntil(done chan struct{}, b *bed, n int, pause time.Duration) {
	h := b.hosts[n%len(b.hosts)]
	var c *conn
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(pause/2 + rand.N(pause)):
		}
		if c == nil {
			var err error
			if c, err = h.dial(); err != nil {
				b.record("client %d: not connected: %v", n, err)
				continue
			}
		}
		id := fmt.Sprintf("c%02d-%05d", n, i)
		r := c.do(http.MethodGet, plainPrefix+id+"?host="+h.Name, id, 3*time.Second, "")
		b.record("client %d: %s at %s got %v", n, id, h.Name, r)
		if r.err != nil || r.closing {
			_ = c.Close()
			c = nil
		}
	}
}
