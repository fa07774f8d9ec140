package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/figmast/figmast/route"
)

// run is one request that a backend server has worked on.
type run struct {
	id, server, service, path string
	began, ended              time.Time
	result                    string
}

// Results of runs.
const (
	resultAtWork   = "at work"
	resultAnswered = "answered 200"
	resultDeadline = "answered 504 at the deadline"
	resultDropped  = "dropped, as the connection was closed"
	resultCrash    = "crashed the server"
)

// runLog holds the runs of all servers.
type runLog struct {
	record *recorder
	mu     sync.Mutex
	runs   []*run
}

func (l *runLog) begin(id string, e route.Server, r *http.Request) *run {
	x := &run{id: id, server: e.ID, service: e.Service, path: r.RequestURI, began: time.Now(), result: resultAtWork}
	l.mu.Lock()
	l.runs = append(l.runs, x)
	l.mu.Unlock()
	l.record.add("server %s runs %s (%s %s, deadline in %s ms)", e.ID, id, r.Method, r.RequestURI, r.Header.Get(headers.DeadlineMs))
	return x
}

func (l *runLog) end(x *run, result string) {
	l.mu.Lock()
	x.ended, x.result = time.Now(), result
	l.mu.Unlock()
	l.record.add("server %s ended %s: %s", x.server, x.id, result)
}

// all returns copies of all runs, in the order in which they began.
func (l *runLog) all() (out []run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range l.runs {
		out = append(out, *x)
	}
	return out
}

// of returns copies of the runs of a request.
func (l *runLog) of(id string) (out []run) {
	for _, x := range l.all() {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}

// server is a sound backend server: it keeps to the users' page on leafs.
type server struct {
	entry route.Server
	runs  *runLog
	slots chan struct{}
	http  *http.Server
	// A request for crashPath crashes the server. onCrash is called then.
	crashPath atomic.Value
	onCrash   func(*server)
}

// startServer starts a server at an address; port 0 stands for any.
func startServer(id, service, zone, address string, slots int, runs *runLog) (*server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &server{
		entry: route.Server{ID: id, StartUnixMs: time.Now().UnixMilli(), Service: service, Address: l.Addr().String(), DataCentre: zone, Slots: slots},
		runs:  runs, slots: make(chan struct{}, slots),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 30 * time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s, nil
}

func (s *server) close() { _ = s.http.Close() }

func sealOf(id, server string) string {
	sum := sha256.Sum256([]byte(id + " " + server))
	return hex.EncodeToString(sum[:8])
}

func answerOf(id, service string) []byte {
	sum := sha256.Sum256([]byte(id + " " + service))
	return sum[:]
}

// ServeHTTP implements http.Handler. A request takes the time in its path, as in
// /w/250/x for 250 ms.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.entry.ID)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get(headers.RequestID)
	reject := func(status int) {
		w.Header().Set(headers.NotRun, "1")
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get(headers.ExpectServer); {
	case expected != "" && expected != s.entry.ID:
		reject(http.StatusMisdirectedRequest)
		return
	case id == "":
		reject(http.StatusBadRequest)
		return
	}
	w.Header().Set(headers.RequestID, id)
	left := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get(headers.DeadlineMs), 64); err == nil {
		left = time.Duration(ms * float64(time.Millisecond))
	}
	deadline := time.After(left)
	select {
	case s.slots <- struct{}{}:
	case <-deadline:
		reject(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.slots }()
	x := s.runs.begin(id, s.entry, r)
	work := 20
	_, _ = fmt.Sscanf(r.URL.Path, "/w/%d/", &work)
	w.Header().Set(headers.Signature, sealOf(id, s.entry.ID))
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
		if s.crashPath.Load() == r.RequestURI {
			s.runs.end(x, resultCrash)
			s.close()
			go s.onCrash(s)
			return
		}
		s.runs.end(x, resultAnswered)
		_, _ = w.Write(answerOf(id, s.entry.Service))
	case <-deadline:
		s.runs.end(x, resultDeadline)
		w.WriteHeader(http.StatusGatewayTimeout)
	case <-r.Context().Done():
		s.runs.end(x, resultDropped)
	}
}
