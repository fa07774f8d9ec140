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

// stoppingHost is a host that stops, with a listener for other hosts' requests.
type stoppingHost struct {
	*testGateway
	gateway  *Gateway
	backend  *backend
	handover string
}

// passedOn returns the heads of the requests that the backend server has got.
func (h *stoppingHost) passedOn() string {
	h.backend.mu.Lock()
	defer h.backend.mu.Unlock()
	return strings.Join(h.backend.heads, "")
}

func newStoppingHost(t *testing.T, grace time.Duration) *stoppingHost {
	t.Helper()
	b := newBackend(t)
	h := newTestGateway(t, b)
	g := &Gateway{
		settings: Settings{Grace: grace}, handler: h.callerHandler, runner: h.runner, callers: h.callers, log: h.log,
		stopped: make(chan struct{}),
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	address := l.Addr().String()
	is.New(t).NoErr(l.Close())
	g.handoverServer = h.handoverServer()
	is.New(t).NoErr(g.serve(address, g.handoverServer))
	return &stoppingHost{testGateway: h, gateway: g, backend: b, handover: address}
}

// TestStopAnswersRequestsThatOutlastIt guards against requests that are taken while
// a stop waits for an unused connection, or that other hosts have handed over, and
// that the exit of the process cuts off.
func TestStopAnswersRequestsThatOutlastIt(t *testing.T) {
	const (
		grace    = 5 * time.Second
		lateSend = grace - exitMargin - 400*time.Millisecond
	)
	limits := func(idle time.Duration) route.Limits {
		return route.Limits{HeaderBytes: 4096, HeaderTimeout: 10 * time.Second, IdleTimeout: idle}
	}
	dial := func(t *testing.T, address string) net.Conn {
		t.Helper()
		c, err := net.Dial("tcp", address)
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	for name, tt := range map[string]struct {
		// connect returns the connections that requests are sent on, sendAt after the
		// stop signal.
		connect func(*testing.T, *stoppingHost) []net.Conn
		sendAt  time.Duration
		head    string
	}{
		"kept connection beside an unused one of earlier limits": {
			connect: func(t *testing.T, h *stoppingHost) []net.Conn {
				h.callers.setLimits(limits(15 * time.Second))
				dial(t, h.address)
				time.Sleep(50 * time.Millisecond) // it is accepted under these limits
				h.callers.setLimits(limits(20 * time.Second))
				return []net.Conn{h.dialKept(t)}
			},
			sendAt: lateSend,
		},
		"unused connection": {
			connect: func(t *testing.T, h *stoppingHost) []net.Conn {
				h.callers.setLimits(limits(15 * time.Second))
				return []net.Conn{dial(t, h.address)}
			},
			sendAt: lateSend,
		},
		"requests of another host": {
			connect: func(t *testing.T, h *stoppingHost) (conns []net.Conn) {
				for range 40 {
					conns = append(conns, dial(t, h.handover))
				}
				return conns
			},
			sendAt: -100 * time.Millisecond,
			head:   "Figmast-Handover-From: 127.0.0.9\r\nFigmast-Handover-Config: 1\r\nFigmast-Handover-Elapsed-Ms: 0\r\nFigmast-Handover-Calls: 0\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := newStoppingHost(t, grace)
			h.runner.topology.Load().Config.Routes[1].Timeout = 10 * time.Second
			conns := tt.connect(t, h)
			began := time.Now().Add(max(-tt.sendAt, 0))
			errs := make([]error, len(conns))
			var clients sync.WaitGroup
			for i, c := range conns {
				clients.Add(1)
				go func() {
					defer clients.Done()
					time.Sleep(time.Until(began.Add(tt.sendAt)))
					_, err := fmt.Fprintf(c, "GET /all/slow HTTP/1.1\r\nHost: h.example\r\nX-Id: late-%d\r\n%s\r\n", i, tt.head)
					if err != nil {
						return // closed before the request was sent
					}
					_, errs[i] = http.ReadResponse(bufio.NewReader(c), nil)
				}()
			}
			time.Sleep(time.Until(began))
			_ = h.gateway.Stop(context.Background())
			is.True(time.Since(began) < grace)
			for _, c := range conns {
				_ = c.Close() // the process has exited
			}
			clients.Wait()
			passedOn := h.passedOn()
			for i, err := range errs {
				if err != nil && strings.Contains(passedOn, fmt.Sprintf("X-Id: late-%d\r\n", i)) {
					t.Errorf("request %d was passed on and cut off: %v", i, err)
				}
			}
		})
	}
}
