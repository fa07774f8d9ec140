package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figmast/figmast/route"
)

// leaf is a backend server.
type leaf struct {
	bed   *bed
	entry route.Server
	// answer answers a request that is for this server, and reports whether the
	// connection stays open.
	answer func(l *leaf, c net.Conn, q *request) bool

	listener net.Listener
	mu       sync.Mutex
	runs     []execution
}

// execution is a request that a server has begun to work on.
type execution struct {
	id, path string
	at       time.Time
	// ended is when the server had its answer ready, or noticed that the
	// connection had closed.
	ended time.Time
}

// request is a request as a server has read it.
type request struct {
	*http.Request
	id   string
	body []byte
	// gone is closed when the connection ends while the request is worked on.
	gone chan struct{}
}

// addLeaf starts a server and registers it.
func (b *bed) addLeaf(id, service, zone string, answer func(*leaf, net.Conn, *request) bool) (*leaf, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &leaf{bed: b, answer: answer, listener: listener, entry: route.Server{
		ID: id, Service: service, Address: listener.Addr().String(), DataCentre: zone, Slots: 6, StartUnixMs: time.Now().Add(-time.Minute).UnixMilli(),
	}}
	b.closers = append(b.closers, func() { _ = listener.Close() })
	go l.accept()
	b.store.PutServer(l.entry)
	b.record("server %s of %s at %s registered", id, service, l.entry.Address)
	return l, nil
}

func (l *leaf) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *leaf) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		q := &request{Request: req, id: req.Header.Get(headers.RequestID), body: body, gone: make(chan struct{})}
		if want := req.Header.Get(headers.ExpectServer); want != l.entry.ID {
			l.bed.record("server %s: rejects %s, which expects %s", l.entry.ID, q.id, want)
			if !send(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", headers.RequestID, q.id) {
				return
			}
			continue
		}
		if !l.answer(l, c, q) {
			return
		}
	}
}

// begin records that the server begins to work on a request.
func (l *leaf) begin(q *request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, execution{id: q.id, path: q.RequestURI, at: time.Now()})
	l.bed.record("server %s: runs %s %s %s, deadline %s ms", l.entry.ID, q.id, q.Method, q.RequestURI, q.Header.Get(headers.DeadlineMs))
	return len(l.runs) - 1
}

func (l *leaf) end(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[i].ended = time.Now()
}

// seal returns the receipt of the server's answer to a request.
func (l *leaf) seal(q *request) string { return strings.ReplaceAll(l.entry.ID+"."+q.id, " ", "") }

// success is a complete answer.
func (l *leaf) success(q *request, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		headers.RequestID, q.id, headers.Signature, l.seal(q), len(body), body)
}

func send(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)
	return err == nil
}

// allRuns returns all runs of the server.
func (l *leaf) allRuns() []execution {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]execution(nil), l.runs...)
}
