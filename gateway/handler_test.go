package gateway

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/news"
	"github.com/figmast/figmast/news/feed"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

var testHeaders = Headers{
	RequestID: "X-Id", DeadlineMs: "X-Left", Signature: "X-Sign", ExpectServer: "X-Server", NotRun: "X-Not-Run", Leaving: "X-Leaves", RequestLimit: "X-Limit",
	Signatures: "X-Signs", Missing: "X-Lacks", ReadyPath: "/ready",
}

// backend is a fake backend server. It records its requests byte for byte and
// chooses the response by the path.
type backend struct {
	address       string
	mu            sync.Mutex
	heads         []string
	bodies        []string
	closed        chan struct{}
	closeListener func()
}

func newBackend(t *testing.T) *backend {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	b := &backend{address: l.Addr().String(), closed: make(chan struct{}, 16), closeListener: func() { _ = l.Close() }}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		head, length, err := readHead(r)
		if err != nil {
			b.closed <- struct{}{}
			return
		}
		body := make([]byte, length)
		if _, err := io.ReadFull(r, body); err != nil {
			return
		}
		b.mu.Lock()
		b.heads, b.bodies = append(b.heads, head), append(b.bodies, string(body))
		b.mu.Unlock()
		target := strings.Fields(head)[1]
		_, rest, _ := strings.Cut(head, "X-Id: ")
		id, _, _ := strings.Cut(rest, "\r\n")
		signed := "X-Sign: s\r\nX-Id: " + id + "\r\n" // servers echo the request's ID
		switch {
		case strings.Contains(target, "slow"):
			if _, err := r.Peek(1); err != nil {
				b.closed <- struct{}{}
				return
			}
		case strings.Contains(target, "crash"):
			b.closeListener()
			return
		case strings.Contains(target, "endless"):
			for err := error(nil); err == nil; {
				_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-A: %s", strings.Repeat("a", 4096))
			}
			b.closed <- struct{}{}
			return
		case strings.Contains(target, "takes"):
			time.Sleep(takesTime)
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed+"Content-Length: 4\r\n\r\ndone")
		case strings.Contains(target, "leaves"):
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed+"X-Leaves: 1\r\nContent-Length: 0\r\n\r\n")
		case strings.Contains(target, "limit"):
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed+"X-Limit: 0.5\r\nContent-Length: 0\r\n\r\n")
		case strings.Contains(target, "alone"):
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nRetry-After: 1.5\r\nContent-Length: 0\r\n\r\n")
		case strings.Contains(target, "busy"):
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case strings.Contains(target, "ran503"):
			io.WriteString(c, "HTTP/1.1 503 Busy\r\n"+signed+"Content-Length: 0\r\n\r\n")
		case strings.Contains(target, "unsigned"):
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nIt works!")
		case strings.Contains(target, "status000"):
			io.WriteString(c, "HTTP/1.1 000 Odd\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n"+signed+"Content-Length: 4\r\n\r\nbody")
		case strings.Contains(target, "fails"):
			io.WriteString(c, "HTTP/1.1 500 Oops\r\n"+signed+"Content-Length: 4\r\n\r\noops")
		default:
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+signed+"X-Own: 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\nContent-Length: 16\r\n\r\n<html>0123456789")
		}
	}
}

// takesTime is how long the backend takes for paths with "takes".
const takesTime = 400 * time.Millisecond

func readHead(r *bufio.Reader) (head string, length int, err error) {
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return "", 0, err
		}
		if line == "\r\n" {
			return head, length, nil
		}
		head += line
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			length, _ = strconv.Atoi(strings.TrimSpace(v))
		}
	}
}

type testGateway struct {
	*callerHandler
	address string
	callers *callerListener
}

func newTestGateway(t *testing.T, b *backend) *testGateway {
	return newTestHost(t, b, Settings{Address: "127.0.0.1", DataCentre: "a"})
}

// newTestHost returns a host that hands over requests if the settings name a
// handover port.
func newTestHost(t *testing.T, b *backend, s Settings) *testGateway {
	now := clock.Now()
	random := rand.New(rand.NewPCG(1, 2))
	balancer := policy.NewBalancer(now, policy.BalancerOptions{Address: s.Address, DataCentre: "a", Rand: random, RetryRatio: 0.2, RetrySlack: 60, RetryWindow: 10 * time.Second, DrainFor: 800 * time.Millisecond})
	logger, lines := NewLogger(io.Discard, "h")
	t.Cleanup(lines.Close)
	metrics := newHostMetrics()
	var peers *handover.Peers
	if s.HandoverPort > 0 {
		peers = handover.NewPeers(handover.Options{Address: s.Address, DataCentre: s.DataCentre, Rand: random})
	}
	engine := forward.NewEngine(forward.Options{Balancer: balancer, Rand: random, CPUCapacity: 1, Peers: peers})
	r := newRunner(clock.Now, s, testHeaders, balancer, engine, metrics, logger)
	r.start()
	t.Cleanup(r.shutdown)
	conns := newCallerConns(intakeOptions(s, 4096), clock.Now, metrics, logger)
	g := &testGateway{callerHandler: &callerHandler{runner: r, headers: testHeaders, conns: conns, log: logger, metrics: metrics}}
	c, err := listenCallers("127.0.0.1:0", g.callerHandler, conns, logger)
	if err != nil {
		t.Fatal(err)
	}
	g.callers, g.address = c, c.listener.Addr().String()
	t.Cleanup(func() {
		_ = c.listener.Close()
		for _, s := range c.servers {
			_ = s.Server.Close()
		}
	})
	if b != nil {
		g.applyBackend(b)
	}
	return g
}

func (g *testGateway) applyBackend(b *backend) {
	c := &route.Config{
		Version: 1, Services: map[string]route.Service{"s": {Name: "s", MaxConnections: 60}},
		Limits: route.Limits{HeaderBytes: 4096, BodyBytes: 64, HeaderTimeout: time.Second, IdleTimeout: time.Second},
		Routes: []route.Route{
			{Name: "one", Host: "h.example", Prefix: "/p/", Service: "s", MaxAttempts: 1, Timeout: 500 * time.Millisecond, Objective: 200 * time.Millisecond},
			{Name: "all", Host: "h.example", Prefix: "/all/", Gather: []string{"s"}, Idempotent: true, MaxAttempts: 1, TopK: 5, MinShardRatio: 1, Timeout: time.Second, Objective: 200 * time.Millisecond},
		},
	}
	c.Index()
	g.runner.applyView(feed.View{
		Hosts: []news.Host{{Address: "127.0.0.1", DataCentre: "a"}}, AgeKnown: true,
		Topology: &route.Topology{Config: c, Servers: []route.Server{{ID: "i-1", Service: "s", Address: b.address, DataCentre: "a", Slots: 4}}},
	})
	g.callers.setLimits(c.Limits)
}

// send writes text on a new connection and returns the response.
func (g *testGateway) send(t *testing.T, text string) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", g.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

const get = " HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\nX-Left: 400\r\n"

func TestPathAndHeadersAreForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	g := newTestGateway(t, b)
	resp, body := g.send(t, "GET /p//a/../b%2f%C3%a9?x=1&&y=%41;z"+get+"X-Server: forged\r\nConnection: x-mine\r\nX-Mine: 1\r\nTE: trailers\r\nX-Two: a\r\nX-Two: b\r\n\r\n")
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, "<html>0123456789")
	is.Equal(resp.Header.Get("X-Sign"), "s")
	is.Equal(resp.Header.Get("X-Own"), "1")
	is.Equal(resp.Header.Get("X-Hop"), "")        // hop-by-hop
	is.Equal(resp.Header.Get("Content-Type"), "") // not sniffed
	head := b.heads[0]
	is.True(strings.HasPrefix(head, "GET /p//a/../b%2f%C3%a9?x=1&&y=%41;z HTTP/1.1\r\nHost: h.example\r\n"))
	is.True(strings.Contains(head, "\r\nX-Id: r1\r\n"))
	is.True(strings.Contains(head, "\r\nX-Server: i-1\r\n"))
	is.Equal(strings.Count(head, "X-Server"), 1)
	is.Equal(strings.Count(head, "X-Left"), 1)
	is.Equal(strings.Count(head, "X-Two"), 2)
	is.True(!strings.Contains(head, "X-Mine") && !strings.Contains(head, "Te:") && !strings.Contains(head, "Connection"))
	left, err := strconv.Atoi(strings.TrimSpace(strings.SplitN(strings.SplitN(head, "X-Left: ", 2)[1], "\r\n", 2)[0]))
	is.NoErr(err)
	is.True(left > 0 && left <= 400)
}

func TestBodies(t *testing.T) {
	b := newBackend(t)
	g := newTestGateway(t, b)
	for name, tt := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"with a length": {"POST /p/1" + get + "Content-Length: 5\r\n\r\nhello", 200, "hello"},
		"empty":         {"POST /p/2" + get + "Content-Length: 0\r\n\r\n", 200, ""},
		"in chunks":     {"PUT /p/3" + get + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n", 200, "hello"},
		"too long":      {"POST /p/4" + get + "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65), 413, ""},
		"two lengths":   {"POST /p/5" + get + "Content-Length: 5\r\nContent-Length: 6\r\n\r\nhello!", 400, ""},
		"both framings": {"POST /p/6" + get + "Transfer-Encoding: gzip, chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", 501, ""},
		"folded header": {"GET /p/7" + get + "X-A: b\r\n c\r\n\r\n", 200, ""},
		"space in name": {"GET /p/8" + get + "X-A : b\r\n\r\n", 400, ""},
		"bad escape":    {"GET /p/%zz" + get + "\r\n", 400, ""},
		"long header":   {"GET /p/9" + get + "X-A: " + strings.Repeat("y", 16<<10) + "\r\n\r\n", 431, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			before := len(b.heads)
			resp, _ := g.send(t, tt.text)
			is.Equal(resp.StatusCode, tt.status)
			if tt.status == 200 {
				is.Equal(b.bodies[before], tt.body)
				is.True(!strings.Contains(b.heads[before], "\r\n c")) // folded header lines are not forwarded as such
				return
			}
			is.Equal(len(b.heads), before) // nothing was forwarded
		})
	}
}

func TestVerdicts(t *testing.T) {
	b := newBackend(t)
	g := newTestGateway(t, b)
	for name, tt := range map[string]struct {
		text   string
		status int
		sign   string
	}{
		"no route":           {"GET /q/1" + get + "\r\n", 404, ""},
		"refused, not run":   {"POST /p/busy" + get + "Content-Length: 0\r\n\r\n", 503, ""},
		"503 that ran":       {"POST /p/ran503" + get + "Content-Length: 0\r\n\r\n", 502, ""},
		"failure":            {"POST /p/fails" + get + "Content-Length: 0\r\n\r\n", 500, "s"},
		"head without end":   {"POST /p/endless" + get + "Content-Length: 0\r\n\r\n", 502, ""},
		"silent":             {"POST /p/slow" + get + "Content-Length: 0\r\n\r\n", 504, ""},
		"deadline passed":    {"GET /p/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: r\r\nX-Left: 0\r\n\r\n", 503, ""},
		"absolute target":    {"GET http://h.example/p/1" + get + "\r\n", 200, "s"},
		"without a deadline": {"GET /p/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: r\r\n\r\n", 200, "s"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, _ := g.send(t, tt.text)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(resp.Header.Get("X-Sign"), tt.sign)
		})
	}
	is := is.New(t)
	resp, body := g.send(t, "GET /all/1"+get+"\r\n")
	is.Equal(resp.Header.Get("X-Signs"), "s")
	is.Equal(resp.Header.Get("X-Lacks"), "")
	is.Equal(body, "<html>0123456789")
}

func TestWithoutAConfiguration(t *testing.T) {
	is := is.New(t)
	g := newTestGateway(t, nil)
	resp, _ := g.send(t, "GET /q/1"+get+"\r\n")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable) // never 404
	is.True(resp.Header.Get("Retry-After") != "")
	g.draining.Store(true)
	resp, _ = g.send(t, "GET /q/1"+get+"\r\n")
	is.True(resp.Close)
}

// TestCallerDisconnect: when a caller disconnects, the call for its repeatable
// request is cancelled within half a second.
func TestCallerDisconnect(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	g := newTestGateway(t, b)
	c, err := net.Dial("tcp", g.address)
	is.NoErr(err)
	_, err = io.WriteString(c, "GET /all/slow"+get+"\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(c.Close())
	select {
	case <-b.closed:
	case <-time.After(500 * time.Millisecond):
		t.Error("the call still runs half a second after its caller disconnected")
	}
}

// TestServerCrashDuringRequestIsReported uses a server that stops listening and
// closes the connection when it gets the request, as a crashed process does. The
// crash is reported, and a request that is known to crash servers is refused.
func TestServerCrashDuringRequestIsReported(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	g := newTestGateway(t, b)
	resp, _ := g.send(t, "POST /p/crash"+get+"Content-Length: 0\r\n\r\n")
	is.Equal(resp.StatusCode, http.StatusBadGateway)
	is.True(resp.Header.Get("Retry-After") != "")
	var reports []crash.Report
	for end := time.Now().Add(2 * time.Second); len(reports) == 0 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		reports = g.runner.applyView(feed.View{Hosts: []news.Host{{Address: "127.0.0.1", DataCentre: "a"}}, AgeKnown: true}).Crashes
	}
	is.Equal(len(reports), 1)
	is.Equal(reports[0].Server, "i-1")
	is.Equal(reports[0].Service, "s")
	f := reports[0].Fingerprint
	g.runner.applyView(feed.View{Crashes: map[uint64]crash.Verdict{f: {Crashed: crash.RefusalThreshold, RefusedFor: time.Minute}}})
	resp, body := g.send(t, "POST /p/crash"+get+"Content-Length: 0\r\n\r\n")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, "has crashed 3 servers"))
	is.True(resp.Header.Get("Retry-After") != "")
}

// TestInvalidStatusIsNeverPassedOn guards against an answer with a status that HTTP
// does not have, or the bytes after it, reaching a caller: directly, as a part of a
// merged answer, or through another host.
func TestInvalidStatusIsNeverPassedOn(t *testing.T) {
	for name, tt := range map[string]struct {
		host func(*testing.T) *testGateway
		path string
	}{
		"plain":        {func(t *testing.T) *testGateway { return newTestGateway(t, newBackend(t)) }, "/p/status000"},
		"merged":       {func(t *testing.T) *testGateway { return newTestGateway(t, newBackend(t)) }, "/all/status000"},
		"other host":   {func(t *testing.T) *testGateway { return newHostPair(t, 2).isolated }, "/p/status000"},
		"merged there": {func(t *testing.T) *testGateway { return newHostPair(t, 2).isolated }, "/all/status000"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, _ := tt.host(t).send(t, "GET "+tt.path+get+"\r\n")
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(resp.Header.Get("X-Sign"), "")
			is.Equal(resp.Header.Get("X-Signs"), "")
		})
	}
}

// TestUnsignedSuccessIsNotPassedOn guards against a success that no backend server
// gave, but a program at the address of an odd entry.
func TestUnsignedSuccessIsNotPassedOn(t *testing.T) {
	for _, path := range []string{"/p/unsigned", "/all/unsigned"} {
		for name, host := range map[string]func(*testing.T) *testGateway{
			"direct":     func(t *testing.T) *testGateway { return newTestGateway(t, newBackend(t)) },
			"other host": func(t *testing.T) *testGateway { return newHostPair(t, 2).isolated },
		} {
			t.Run(path+" "+name, func(t *testing.T) {
				is := is.New(t)
				resp, body := host(t).send(t, "GET "+path+get+"\r\n")
				is.Equal(resp.StatusCode, http.StatusBadGateway)
				is.True(!strings.Contains(body, "It works!"))
			})
		}
	}
}

// TestHalfClosedCallerGetsNoSuccess guards against an answer that no backend server
// gave to a caller that closes its sending side and still reads.
func TestHalfClosedCallerGetsNoSuccess(t *testing.T) {
	b := newBackend(t)
	g := newTestGateway(t, b)
	for name, request := range map[string]string{
		"request in progress": "GET /p/slow" + strings.Replace(get, "400", "5000", 1) + "\r\n",
		"merged":              "GET /all/slow" + strings.Replace(get, "400", "5000", 1) + "\r\n",
		"unfinished body":     "POST /p/1" + get + "Content-Length: 9\r\n\r\nhalf",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", g.address)
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = io.WriteString(c, request)
			is.NoErr(err)
			time.Sleep(50 * time.Millisecond)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			answer, _ := io.ReadAll(c)
			is.True(!strings.HasPrefix(string(answer), "HTTP/1.1 2"))
		})
	}
}

// TestLogLines: log lines beyond the queue's length or the rate limit are
// counted and dropped, and a write never blocks.
func TestLogLines(t *testing.T) {
	is := is.New(t)
	gate := make(chan struct{})
	q := &LineQueue{lines: make(chan []byte, 2), closing: make(chan struct{}), done: make(chan struct{})}
	go q.write(writerFunc(func(b []byte) (int, error) { <-gate; return len(b), nil }))
	for range 10 {
		_, err := q.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(q.Dropped() >= 7)
	close(gate)
	q.Close()
	dropped := q.Dropped()
	_, err := q.Write([]byte("line\n")) // by a request that outlasts the host
	is.NoErr(err)
	is.Equal(q.Dropped(), dropped+1)

	var l lineLimiter
	now := time.Unix(1000, 0)
	written := 0
	for range 10 * logBurst {
		if _, ok := l.admit(now); ok {
			written++
		}
	}
	is.Equal(written, logBurst)
	skipped, ok := l.admit(now.Add(time.Second))
	is.True(ok)
	is.Equal(skipped, int64(9*logBurst))
}

type writerFunc func([]byte) (int, error)

func (f writerFunc) Write(b []byte) (int, error) { return f(b) }

// TestNewsOptions: every option of the news state is set. A missing one once
// caused removed servers to be kept.
func TestNewsOptions(t *testing.T) {
	o := newsOptions(Settings{
		Address: "10.0.0.1", DataCentre: "a", Seeds: []string{"10.0.0.2"}, RelayCapacity: 1, ApplyWithin: time.Second, Heartbeat: time.Second,
	}, nilDecoder{}, func(string, ...any) {})
	v := reflect.ValueOf(o)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Errorf("%s is not set", v.Type().Field(i).Name)
		}
	}
}

type nilDecoder struct{ news.Decoder }

// TestExpectContinue: a caller that sends Expect: 100-continue gets status 100
// before its body is read, the header is not forwarded, and a request that would
// be rejected is rejected without its body.
func TestExpectContinue(t *testing.T) {
	b := newBackend(t)
	g := newTestGateway(t, b)
	for name, tt := range map[string]struct {
		head  string
		first string
	}{
		"goes on":  {"POST /p/1" + get + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 100 Continue\r\n"},
		"too long": {"POST /p/2" + get + "Expect: 100-continue\r\nContent-Length: 65\r\n\r\n", "HTTP/1.1 413 "},
		"no route": {"POST /else" + get + "Expect: 100-continue\r\nContent-Length: 5\r\n\r\n", "HTTP/1.1 404 "},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", g.address)
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = io.WriteString(c, tt.head)
			is.NoErr(err)
			before := len(b.heads)
			r := bufio.NewReader(c)
			line, err := r.ReadString('\n')
			is.NoErr(err)
			is.True(strings.HasPrefix(line, tt.first))
			is.Equal(len(b.heads), before) // nothing was forwarded yet
			if name != "goes on" {
				return
			}
			_, err = r.ReadString('\n') // the empty line after the interim response
			is.NoErr(err)
			_, err = io.WriteString(c, "hello")
			is.NoErr(err)
			resp, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			is.Equal(b.bodies[before], "hello")
			is.True(!strings.Contains(b.heads[before], "Expect"))
		})
	}
}
