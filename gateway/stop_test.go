package gateway

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

// lateRequest is the outcome of a request sent on a kept connection of a host
// that stops.
type lateRequest struct {
	sent   time.Duration
	status int
	err    error
	took   time.Duration
}

// TestStopAnswersLateRequests guards against requests that are taken so late in a
// planned stop that they are cut off or ended after they may have run.
func TestStopAnswersLateRequests(t *testing.T) {
	const (
		grace    = 3 * time.Second
		requests = 24
	)
	is := is.New(t)
	b := newBackend(t)
	h := newTestGateway(t, b)
	g := &Gateway{
		settings: Settings{Grace: grace}, handler: h.callerHandler, runner: h.runner, callers: h.callers, log: h.log,
		stopped: make(chan struct{}),
	}
	h.callers.setLimits(route.Limits{HeaderBytes: 4096, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	conns := make([]net.Conn, requests)
	for i := range conns {
		conns[i] = h.dialKept(t)
	}
	time.Sleep(50 * time.Millisecond) // the server sees all connections as idle

	out := make([]lateRequest, requests)
	var clients sync.WaitGroup
	began := time.Now()
	for i, c := range conns {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * grace / requests)
			out[i] = sendLate(c, i, began)
		}()
	}
	is.NoErr(g.Stop(context.Background()))
	is.True(time.Since(began) < grace)
	for _, c := range conns {
		_ = c.Close() // the process has exited
	}
	clients.Wait()

	b.mu.Lock()
	passedOn := strings.Join(b.heads, "")
	b.mu.Unlock()
	for i, r := range out {
		ran := strings.Contains(passedOn, fmt.Sprintf("/p/takes/%d ", i))
		switch {
		case r.err != nil && ran:
			t.Errorf("request sent at %v was passed on and cut off: %v", r.sent, r.err)
		case r.status == http.StatusServiceUnavailable && ran:
			t.Errorf("request sent at %v was refused although it ran", r.sent)
		case r.status == http.StatusBadGateway:
			t.Errorf("request sent at %v may have run and got no answer", r.sent)
		case r.err == nil && r.status == http.StatusServiceUnavailable && r.took > takesTime/2:
			t.Errorf("request sent at %v was refused only after %v", r.sent, r.took)
		}
	}
}

// dialKept returns a connection that has served one request.
func (g *testGateway) dialKept(t *testing.T) net.Conn {
	t.Helper()
	is := is.New(t)
	c, err := net.Dial("tcp", g.address)
	is.NoErr(err)
	_, err = fmt.Fprintf(c, "GET /none/ HTTP/1.1\r\nHost: h.example\r\nX-Id: first\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusNotFound)
	return c
}

func sendLate(c net.Conn, i int, began time.Time) lateRequest {
	r := lateRequest{sent: time.Since(began)}
	_, r.err = fmt.Fprintf(c, "POST /p/takes/%d HTTP/1.1\r\nHost: h.example\r\nX-Id: r%d\r\nContent-Length: 0\r\n\r\n", i, i)
	if r.err != nil {
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	r.took, r.err = time.Since(began)-r.sent, err
	if err == nil {
		r.status = resp.StatusCode
	}
	return r
}
