package http1

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serve listens, calls handle for each connection with its number on a goroutine
// of its own, and returns the server's endpoint.
func serve(t *testing.T, handle func(number int, c *net.TCPConn)) Endpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for number := 0; ; number++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go handle(number, c.(*net.TCPConn))
		}
	}()
	return Endpoint{ServerID: "i-1", Address: l.Addr().String()}
}

// serveScript serves each connection with its list of responses: it writes the
// next one for each request, and closes the connection after the last. "reset"
// resets the connection, "silent" waits beyond the timeout. Further connections
// get no response.
func serveScript(t *testing.T, connections ...[]string) Endpoint {
	t.Helper()
	return serve(t, func(number int, c *net.TCPConn) {
		if number < len(connections) {
			playScript(c, connections[number])
			return
		}
		_, _ = io.Copy(io.Discard, c)
	})
}

func playScript(c *net.TCPConn, responses []string) {
	r := bufio.NewReader(c)
	for _, text := range responses {
		if _, err := http.ReadRequest(r); err != nil {
			break
		}
		switch text {
		case "reset":
			_ = c.SetLinger(0)
		case "silent":
			time.Sleep(2 * testTimeout)
		default:
			if cut, ok := strings.CutSuffix(text, "RESET"); ok {
				_, _ = c.Write([]byte(cut))
				time.Sleep(20 * time.Millisecond)
				_ = c.SetLinger(0)
				break
			}
			_, _ = c.Write([]byte(text))
		}
	}
	_ = c.Close()
}

// testTimeout bounds calls that are expected to get a response. It is generous,
// as the machine may be busy with other work.
const testTimeout = 5 * time.Second

func newPool() *Pool {
	return NewPool(Options{RequestIDHeader: "X-Id", Now: time.Now, DialTimeout: testTimeout})
}

func do(p *Pool, endpoint Endpoint, id string) (*Response, Outcome, error) {
	return doWithin(p, endpoint, id, testTimeout)
}

func doWithin(p *Pool, endpoint Endpoint, id string, timeout time.Duration) (*Response, Outcome, error) {
	return p.Do(context.Background(), Call{
		Endpoint: endpoint, Method: http.MethodGet, RequestID: id, Deadline: time.Now().Add(timeout), IdleTimeout: time.Minute,
		Encode: func(time.Duration) []byte {
			return fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: x\r\nX-Id: %s\r\n\r\n", id)
		},
	})
}

func response(id, body string, extra ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(extra, ""), body)
}

func TestAnswers(t *testing.T) {
	for name, tt := range map[string]struct {
		text    string
		outcome Outcome
		body    string
	}{
		"whole":             {response("1", "hello"), Done, "hello"},
		"chunked":           {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Done, "hello"},
		"trailers":          {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n", Done, "hello"},
		"interim first":     {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + response("1", "hello"), Done, "hello"},
		"without a length":  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello", Done, "hello"},
		"reset, no length":  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhelRESET", Broken, ""},
		"cut short":         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhello", Broken, ""},
		"cut chunk":         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", Broken, ""},
		"cut last chunk":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", Broken, ""},
		"two lengths":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", Broken, ""},
		"no HTTP":           {"\x00\x01\x02 garbage\r\n\r\n", Broken, ""},
		"nothing":           {"", Broken, ""},
		"of another":        {response("2", "other") + response("1", "hello"), Done, "hello"},
		"only of another":   {response("2", "other"), Broken, ""},
		"content coding":    {response("1", "hello", "Content-Encoding: gzip\r\n"), Broken, ""},
		"switches protocol": {"HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n", Broken, ""},
		"reset":             {"reset", Broken, ""},
		"silent":            {"silent", TimedOut, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			timeout := testTimeout
			if tt.outcome == TimedOut {
				timeout /= 10
			}
			a, outcome, _ := doWithin(newPool(), serveScript(t, []string{tt.text}), "1", timeout)
			is.Equal(outcome, tt.outcome)
			if outcome == Done {
				is.Equal(string(a.Body), tt.body)
			}
		})
	}
}

// TestNothingIsSentTwice: if a reused connection breaks, the request is not sent
// again on a new one behind the caller's back.
func TestNothingIsSentTwice(t *testing.T) {
	is := is.New(t)
	p := newPool()
	endpoint := serveScript(t, []string{response("1", "a"), "reset"}, []string{response("2", "b")})
	_, outcome, _ := do(p, endpoint, "1")
	is.Equal(outcome, Done)
	_, outcome, _ = do(p, endpoint, "2")
	is.Equal(outcome, Broken)
}

// TestBytesAfterResponse: a connection is not used again if bytes follow the
// response, or if the server closes it.
func TestBytesAfterResponse(t *testing.T) {
	for name, extra := range map[string]string{"at once": response("1", "a") + response("1", "again"), "closed": response("1", "a")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool()
			endpoint := serveScript(t, []string{extra}, []string{response("2", "b")})
			_, _, err := do(p, endpoint, "1")
			is.NoErr(err)
			time.Sleep(30 * time.Millisecond) // the server closes the connection or writes more
			a, outcome, _ := do(p, endpoint, "2")
			is.Equal(outcome, Done)
			is.Equal(string(a.Body), "b")
		})
	}
}

func TestConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	p := newPool()
	endpoint := serveScript(t, []string{response("1", "a"), response("2", "b", "Connection: close\r\n"), response("3", "never")}, []string{response("3", "c", "Keep-Alive: timeout=1\r\n")}, []string{response("4", "d")})
	for id, body := range []string{"", "a", "b", "c", "d"} {
		if id == 0 {
			continue
		}
		a, outcome, _ := do(p, endpoint, fmt.Sprint(id))
		is.Equal(outcome, Done)
		is.Equal(string(a.Body), body) // the first connection is closed by its second response; a timeout of one second is too short to keep the second
	}
	is.Equal(p.OpenConns(), 1)
	p.PruneIdle(func(Endpoint) bool { return false })
	is.Equal(p.OpenConns(), 0)
}

func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := l.Addr().String()
	is.NoErr(l.Close())
	_, outcome, _ := do(newPool(), Endpoint{Address: address}, "1")
	is.Equal(outcome, NotSent)
	_, outcome, _ = newPool().Do(context.Background(), Call{Endpoint: serveScript(t, []string{response("1", "a")}), Deadline: time.Now().Add(-time.Second)})
	is.Equal(outcome, NotSent) // the deadline has passed
}

// TestCancelled: a call ends within half a second once its context is cancelled.
func TestCancelled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	began := time.Now()
	_, outcome, _ := newPool().Do(ctx, Call{
		Endpoint: serveScript(t, []string{"silent"}), Method: http.MethodGet, Deadline: time.Now().Add(5 * time.Second),
		Encode: func(time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n") },
	})
	is.Equal(outcome, Cancelled)
	is.True(time.Since(began) < 500*time.Millisecond)
}

// TestEarlyResponse: a response that comes before a long body is written is
// returned, and the connection is not used again.
func TestEarlyResponse(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 100))
			_, _ = c.Write([]byte(response("1", "early")))
		}
	}()
	p := newPool()
	body := make([]byte, 8<<20)
	a, outcome, _ := p.Do(context.Background(), Call{
		Endpoint: Endpoint{Address: l.Addr().String()}, Method: http.MethodPost, RequestID: "1", Deadline: time.Now().Add(time.Second),
		Encode: func(time.Duration) []byte {
			return append(fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
		},
	})
	is.Equal(outcome, Done)
	is.Equal(string(a.Body), "early")
	is.Equal(p.OpenConns(), 0)
}

func FuzzReadResponse(f *testing.F) {
	f.Add([]byte(response("1", "hello")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := new(conn)
		c.limitedReader = &limitedReader{source: strings.NewReader(string(b))}
		c.r = bufio.NewReader(c.limitedReader)
		a, _, err := newPool().readResponse(c, Call{Method: http.MethodGet, RequestID: "1"})
		if err == nil && a.Status < 200 {
			t.Errorf("an interim response was taken for a final one: %q", b)
		}
	})
}

func TestRefusesConnectionsAfterServerEnd(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	endpoint := Endpoint{ServerID: "s", Address: l.Addr().String()}
	p := NewPool(Options{RequestIDHeader: "X-Id", Now: time.Now})
	is.True(!p.RefusesConnections(endpoint, time.Second))
	is.Equal(p.OpenConns(), 1) // the connection stays in the pool for the next call
	is.True(!p.RefusesConnections(endpoint, time.Second))
	is.Equal(p.OpenConns(), 1)
	kept, err := l.Accept()
	is.NoErr(err)
	is.NoErr(l.Close())
	is.True(!p.RefusesConnections(endpoint, time.Second)) // the pooled connection is still open
	is.NoErr(kept.Close())
	time.Sleep(20 * time.Millisecond)
	is.True(p.RefusesConnections(endpoint, time.Second))
	is.Equal(p.OpenConns(), 0)
}
