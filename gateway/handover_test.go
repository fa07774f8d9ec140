package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"

	"github.com/figmast/figmast/news"
	"github.com/figmast/figmast/news/feed"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// hostPair is a host whose backend server cannot be reached, and one that
// reaches its own.
type hostPair struct {
	isolated, helper *testGateway
	backend          *backend
}

func newHostPair(t *testing.T, helperVersion int64) *hostPair {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.2:0")
	is.NoErr(err)
	port := l.Addr().(*net.TCPAddr).Port
	b := newBackend(t)
	p := &hostPair{backend: b}
	p.isolated = newTestHost(t, nil, Settings{Address: "127.0.0.1", DataCentre: "a", HandoverPort: port, MemoryBytes: 1 << 28})
	p.helper = newTestHost(t, nil, Settings{Address: "127.0.0.2", DataCentre: "a", HandoverPort: port, MemoryBytes: 1 << 28})
	server := p.helper.handoverServer()
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	p.isolated.applyRoutes(2, refusingAddress(t))
	p.helper.applyRoutes(helperVersion, b.address)
	return p
}

// applyRoutes puts a configuration in force with routes for requests that may be
// repeated, and for those that may not.
func (g *testGateway) applyRoutes(version int64, servers ...string) {
	c := &route.Config{
		Version: version, Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 60}},
		Limits: route.Limits{HeaderBytes: 4096, BodyBytes: 64, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		Routes: []route.Route{
			{Name: "one", Host: "h.example", Prefix: "/p/", Service: "s", MaxAttempts: 1, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond},
			{Name: "all", Host: "h.example", Prefix: "/all/", Gather: []string{"s"}, Idempotent: true, MaxAttempts: 2, TopK: 5, MinShardRatio: 1, Timeout: 2 * time.Second, Objective: 200 * time.Millisecond},
		},
	}
	c.Index()
	topology := &route.Topology{Config: c}
	for i, address := range servers {
		topology.Servers = append(topology.Servers, route.Server{ID: fmt.Sprintf("i-%d", i), Service: "s", Address: address, DataCentre: "a", Slots: 4})
	}
	g.runner.applyView(feed.View{
		Hosts: []news.Host{{Address: "127.0.0.1", DataCentre: "a"}, {Address: "127.0.0.2", DataCentre: "a"}}, AgeKnown: true,
		Topology: topology,
	})
}

func TestRequestIsServedThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	p := newHostPair(t, 2)
	resp, body := p.isolated.send(t, "POST /p//a/../b%2f?x=1&&y=%41"+get+"Figmast-Handover-Calls: 7\r\nX-Two: a\r\nX-Two: b\r\nContent-Length: 4\r\n\r\nbody")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "<html>0123456789")
	is.Equal(resp.Header.Get("X-Sign"), "s")
	is.Equal(resp.Header.Get("X-Own"), "1")
	is.Equal(resp.Header.Get("Content-Type"), "")
	is.Equal(len(p.backend.heads), 1)
	is.Equal(p.backend.bodies[0], "body")
	head := p.backend.heads[0]
	is.True(strings.HasPrefix(head, "POST /p//a/../b%2f?x=1&&y=%41 HTTP/1.1\r\nHost: h.example\r\n"))
	is.True(strings.Contains(head, "X-Two: a\r\nX-Two: b\r\n"))
	is.True(strings.Contains(head, "X-Id: r1\r\n"))
	for _, h := range []string{head, fmt.Sprint(resp.Header)} {
		is.True(!strings.Contains(h, "Figmast")) // nothing of the handover leaves the hosts
	}
	var left int
	_, rest, _ := strings.Cut(head, "X-Left: ")
	_, err := fmt.Sscan(rest, &left)
	is.NoErr(err)
	is.True(left > 0 && left <= 400) // what the caller had left

	resp, _ = p.isolated.send(t, "GET /all/x"+get+"\r\n")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(resp.Header.Get("X-Signs"), "s")
}

// TestRefusalOfAnotherHostIsTrue guards against a promise that a request has not
// run which the host that had it did not make.
func TestRefusalOfAnotherHostIsTrue(t *testing.T) {
	for path, status := range map[string]int{
		"/p/busy": http.StatusServiceUnavailable, "/p/ran503": http.StatusBadGateway, "/p/crash": http.StatusBadGateway,
		"/p/fails": http.StatusInternalServerError, "/none/": http.StatusNotFound,
	} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			p := newHostPair(t, 2)
			resp, _ := p.isolated.send(t, "GET "+path+get+"\r\n")
			is.Equal(resp.StatusCode, status)
			p.backend.mu.Lock()
			defer p.backend.mu.Unlock()
			is.True(len(p.backend.heads) <= 1)
		})
	}
}

// TestLostHandoverIsNotCalledNotRun covers a host that ends while it has the
// request.
func TestLostHandoverIsNotCalledNotRun(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.2:0")
	is.NoErr(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_ = c.Close()
		}
	}()
	t.Cleanup(func() { _ = l.Close() })
	g := newTestHost(t, nil, Settings{Address: "127.0.0.1", DataCentre: "a", HandoverPort: l.Addr().(*net.TCPAddr).Port, MemoryBytes: 1 << 28})
	g.applyRoutes(1, refusingAddress(t))
	resp, _ := g.send(t, "POST /p/a"+get+"Content-Length: 0\r\n\r\n")
	is.Equal(resp.StatusCode, http.StatusBadGateway)
}

func TestHostWithOlderConfigurationTakesNoHandover(t *testing.T) {
	is := is.New(t)
	p := newHostPair(t, 1)
	resp, _ := p.isolated.send(t, "GET /p/a"+get+"\r\n")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	is.Equal(len(p.backend.heads), 0)
}

func TestRequestIsHandedOverOnlyOnce(t *testing.T) {
	is := is.New(t)
	p := newHostPair(t, 2)
	p.helper.applyRoutes(3, "127.0.0.1:1")
	began := time.Now()
	resp, _ := p.isolated.send(t, "GET /p/a"+get+"\r\n")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(time.Since(began) < 300*time.Millisecond) // at once, as nobody can serve it
}

// TestCallerThatLeavesEndsTheHandover: the server must drop the request of a
// caller that is gone.
func TestCallerThatLeavesEndsTheHandover(t *testing.T) {
	p := newHostPair(t, 2)
	c, err := net.Dial("tcp", p.isolated.address)
	is := is.New(t)
	is.NoErr(err)
	_, err = fmt.Fprint(c, "GET /all/slow HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Left: 2000\r\n\r\n")
	is.NoErr(err)
	time.Sleep(100 * time.Millisecond)
	_ = c.Close()
	select {
	case <-p.backend.closed:
	case <-time.After(500 * time.Millisecond): // the platform's bound
		t.Error("the server still has the request of a caller that is gone")
	}
}

func TestHandoverHeadersAreChecked(t *testing.T) {
	for _, value := range []string{"", "x", "-1", "1.5", strconv.Itoa(1<<62) + "0"} {
		h := http.Header{
			headerHandoverFrom: {"127.0.0.1"}, headerHandoverConfig: {"1"}, headerHandoverElapsed: {value}, headerHandoverCalls: {"0"},
		}
		is := is.New(t)
		is.Equal(readGuest(h), nil)
		is.Equal(len(h), 0)
	}
}

// boundSocket returns a socket that is bound to a loopback address, and the address.
func boundSocket(t *testing.T) (fd int, address string) {
	t.Helper()
	is := is.New(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	is.NoErr(err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	is.NoErr(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := unix.Getsockname(fd)
	is.NoErr(err)
	return fd, fmt.Sprintf("127.0.0.1:%d", bound.(*unix.SockaddrInet4).Port)
}

// refusingAddress returns a loopback address that refuses connections. Its port stays
// taken, so that no other process can listen there.
func refusingAddress(t *testing.T) string {
	_, address := boundSocket(t)
	return address
}

// silentAddress returns a loopback address at which connection attempts get no
// answer: the queue of new connections is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	fd, address := boundSocket(t)
	is.New(t).NoErr(unix.Listen(fd, 0))
	for {
		c, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = c.Close() })
	}
}

// TestIsolatedHostServesThroughAnotherHost plays servers that are silent, and
// servers that refuse connections, for one host only.
func TestIsolatedHostServesThroughAnotherHost(t *testing.T) {
	const servers = 4
	for name, address := range map[string]func(*testing.T) string{
		"silent": silentAddress,
		"refuse": refusingAddress,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newHostPair(t, 2)
			var unreachable []string
			for range servers {
				unreachable = append(unreachable, address(t))
			}
			p.isolated.applyRoutes(2, unreachable...)
			for i := range 20 {
				resp, _ := p.isolated.send(t, "GET /all/x"+strings.Replace(get, "400", "2000", 1)+"\r\n")
				if resp.StatusCode != http.StatusOK {
					t.Errorf("request %d got status %d", i, resp.StatusCode)
				}
				time.Sleep(20 * time.Millisecond)
			}
			is.Equal(p.isolated.metrics.reach.Load(), int64(policy.Isolated))
			began := time.Now()
			resp, _ := p.isolated.send(t, "GET /p/x"+get+"\r\n")
			is.Equal(resp.StatusCode, http.StatusOK)
			is.True(time.Since(began) < 100*time.Millisecond) // without an attempt at the servers

			reached := newBackend(t)
			p.isolated.applyRoutes(3, reached.address)
			p.helper.applyRoutes(3, p.backend.address)
			for end := time.Now().Add(3 * time.Second); p.isolated.metrics.reach.Load() != int64(policy.Reachable); time.Sleep(10 * time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("the host did not find that it reaches servers again")
				}
				resp, _ := p.isolated.send(t, "GET /all/x"+get+"\r\n")
				is.Equal(resp.StatusCode, http.StatusOK)
			}
			reached.mu.Lock()
			defer reached.mu.Unlock()
			is.True(len(reached.heads) > 0)
		})
	}
}
