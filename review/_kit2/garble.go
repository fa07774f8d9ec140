package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleFaulty of garbleServers are faulty for garbleFor: 50%.
	garbleServers = 4
	garbleFaulty  = 2
	garbleFor     = 5 * time.Second
	// Additional bytes follow on one in garbleEvery of a faulty server's answers: 4%.
	garbleEvery   = 25
	garbleClients = 15
	garblePause   = 50 * time.Millisecond
	garbleWorkMs  = 60
)

// Additional bytes that a faulty server sends. They belong to no request: they do not
// bear the ID of one.
const (
	extraSuccess   = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok\n"
	extraRejection = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

// spoiler adds bytes to the answers of a server.
type spoiler struct {
	// extra holds the additional bytes while the server is faulty.
	extra   atomic.Value
	answers atomic.Int64
	record  *recorder
}

// spoiledConn is a connection on which additional bytes follow some answers late, at
// the point where the next answer is expected.
type spoiledConn struct {
	net.Conn
	// next is to follow the answer being written, pending is due now.
	next, pending string
}

// Write implements net.Conn.
func (c *spoiledConn) Write(b []byte) (int, error) {
	if c.pending != "" {
		if _, err := c.Conn.Write([]byte(c.pending)); err != nil {
			return 0, err
		}
	}
	c.pending, c.next = c.next, ""
	return c.Conn.Write(b)
}

type spoiledListener struct{ net.Listener }

// Accept implements net.Listener.
func (l spoiledListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &spoiledConn{Conn: c}, nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// mark has additional bytes follow the answer to r if it is that one's turn.
func (s *spoiler) mark(r *http.Request, id string) {
	extra, ok := s.extra.Load().(string)
	if !ok || s.answers.Add(1)%garbleEvery != 0 {
		return
	}
	r.Context().Value(connKey{}).(*spoiledConn).next = extra
	s.record.add("additional bytes will follow the answer to %s", id)
}

// playGarble has some servers send a success without ID and seal after a complete
// answer.
func playGarble(r *recorder, trouble bool) (bool, error) {
	f, err := startBilling(r, billingRoute(), garbleServers)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	broken := 0
	for id, a := range f.sendBesideFaults("GET", extraSuccess, trouble) {
		if a.status/100 == 2 && !f.isAnswered(id, a) {
			r.add("%s got a success that no server gave to it: %v", id, a)
			broken++
		}
	}
	r.add("%d requests got a success that no server gave to them", broken)
	return broken > 0, nil
}

// playRejection has some servers send a rejection without ID after a complete answer,
// beside requests that may run only once.
func playRejection(r *recorder, trouble bool) (bool, error) {
	rt := billingRoute()
	rt.Idempotent = false
	f, err := startBilling(r, rt, garbleServers)
	if f != nil {
		defer f.stop()
	}
	if err != nil {
		return false, err
	}
	twice, refused := 0, 0
	for id, a := range f.sendBesideFaults("POST", extraRejection, trouble) {
		runs := f.runs.of(id)
		if len(runs) > 1 {
			r.add("%s ran %d times, its client got %v", id, len(runs), a)
			twice++
		}
		if len(runs) > 0 && a.status == http.StatusServiceUnavailable {
			r.add("%s ran, its client got %v", id, a)
			refused++
		}
	}
	r.add("%d requests that may run only once ran more than once; %d were said not to have run, though they had", twice, refused)
	return twice > 0, nil
}

// sendBesideFaults sends requests while some servers are faulty, and returns the
// answers by the ID of the request.
func (f *fleet) sendBesideFaults(method, extra string, trouble bool) map[string]answer {
	if trouble {
		for _, s := range f.servers[:garbleFaulty] {
			s.spoiler.extra.Store(extra)
			f.record.add("server %s is faulty", s.entry.ID)
		}
	}
	var (
		clients sync.WaitGroup
		mu      sync.Mutex
		answers = make(map[string]answer)
	)
	end := time.Now().Add(garbleFor)
	for i := range garbleClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for j := 0; time.Now().Before(end); j++ {
				id := fmt.Sprintf("lookup-%d-%d", i, j)
				var body []byte
				if method == "POST" {
					body = []byte("bill " + id)
				}
				g := f.gateways[i%len(f.gateways)]
				f.record.add("client sends %s to %s", id, g.name)
				a := send(g.front, method, fmt.Sprintf("/w/%d/%s", garbleWorkMs, id), id, 15*time.Second, body)
				f.record.add("client got for %s: %v", id, a)
				mu.Lock()
				answers[id] = a
				mu.Unlock()
				time.Sleep(garblePause)
			}
		}()
	}
	clients.Wait()
	time.Sleep(time.Second)
	f.record.add("%d requests have ended", len(answers))
	return answers
}
