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

// serve listens, hands each connection with its number to a function of its
// own goroutine, and returns the server's peer.
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

// script serves one connection after the other: for each request on a
// connection it writes the next text, and closes the connection at its end. A
// text "reset" resets it, "silent" waits. Further connections stay silent.
func script(t *testing.T, connections ...[]string) Endpoint {
	t.Helper()
	return serve(t, func(number int, c *net.TCPConn) {
		if number < len(connections) {
			play(c, connections[number])
			return
		}
		_, _ = io.Copy(io.Discard, c)
	})
}

func play(c *net.TCPConn, texts []string) {
	r := bufio.NewReader(c)
	for _, text := range texts {
		if _, err := http.ReadRequest(r); err != nil {
			break
		}
		switch text {
		case "reset":
			_ = c.SetLinger(0)
		case "silent":
			time.Sleep(2 * testPatience)
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

// testPatience bounds calls that are to bring an answer, also on a machine that
// is busy with other work.
const testPatience = 5 * time.Second

func newPool() *Pool {
	return NewPool(Options{RequestIDHeader: "X-Id", Now: time.Now, DialTimeout: testPatience})
}

func do(p *Pool, peer Endpoint, id string) (*Response, Outcome, error) {
	return doWithin(p, peer, id, testPatience)
}

func doWithin(p *Pool, peer Endpoint, id string, patience time.Duration) (*Response, Outcome, error) {
	return p.Do(context.Background(), Call{
		Endpoint: peer, Method: http.MethodGet, RequestID: id, Deadline: time.Now().Add(patience), MaxIdle: time.Minute,
		Encode: func(time.Duration) []byte {
			return fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: x\r\nX-Id: %s\r\n\r\n", id)
		},
	})
}

func answer(id, body string, extra ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(extra, ""), body)
}

func TestAnswers(t *testing.T) {
	for name, tt := range map[string]struct {
		text  string
		state Outcome
		body  string
	}{
		"whole":             {answer("1", "hello"), Done, "hello"},
		"chunked":           {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", Done, "hello"},
		"trailers":          {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n5\r\nhello\r\n0\r\nA: b\r\n\r\n", Done, "hello"},
		"interim first":     {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + answer("1", "hello"), Done, "hello"},
		"without a length":  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhello", Done, "hello"},
		"reset, no length":  {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nhelRESET", Broken, ""},
		"cut short":         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nhello", Broken, ""},
		"cut chunk":         {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nhello", Broken, ""},
		"cut last chunk":    {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", Broken, ""},
		"two lengths":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\nContent-Length: 4\r\n\r\nhello", Broken, ""},
		"no HTTP":           {"\x00\x01\x02 garbage\r\n\r\n", Broken, ""},
		"nothing":           {"", Broken, ""},
		"of another":        {answer("2", "other") + answer("1", "hello"), Done, "hello"},
		"only of another":   {answer("2", "other"), Broken, ""},
		"content coding":    {answer("1", "hello", "Content-Encoding: gzip\r\n"), Broken, ""},
		"switches protocol": {"HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n", Broken, ""},
		"reset":             {"reset", Broken, ""},
		"silent":            {"silent", TimedOut, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			patience := testPatience
			if tt.state == TimedOut {
				patience /= 10
			}
			a, state, _ := doWithin(newPool(), script(t, []string{tt.text}), "1", patience)
			is.Equal(state, tt.state)
			if state == Done {
				is.Equal(string(a.Body), tt.body)
			}
		})
	}
}

// TestNothingIsSentTwice: a kept connection that breaks is not replaced and
// the request sent again without anybody's knowing.
func TestNothingIsSentTwice(t *testing.T) {
	is := is.New(t)
	p := newPool()
	peer := script(t, []string{answer("1", "a"), "reset"}, []string{answer("2", "b")})
	_, state, _ := do(p, peer, "1")
	is.Equal(state, Done)
	_, state, _ = do(p, peer, "2")
	is.Equal(state, Broken)
}

// TestBytesAfterAnAnswer belong to no request: the connection is not used
// again, whether they come at once or later.
func TestBytesAfterAnAnswer(t *testing.T) {
	for name, extra := range map[string]string{"at once": answer("1", "a") + answer("1", "again"), "closed": answer("1", "a")} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPool()
			peer := script(t, []string{extra}, []string{answer("2", "b")})
			_, _, err := do(p, peer, "1")
			is.NoErr(err)
			time.Sleep(30 * time.Millisecond) // the server closes or writes on
			a, state, _ := do(p, peer, "2")
			is.Equal(state, Done)
			is.Equal(string(a.Body), "b")
		})
	}
}

func TestConnectionsAreKept(t *testing.T) {
	is := is.New(t)
	p := newPool()
	peer := script(t, []string{answer("1", "a"), answer("2", "b", "Connection: close\r\n"), answer("3", "never")}, []string{answer("3", "c", "Keep-Alive: timeout=1\r\n")}, []string{answer("4", "d")})
	for id, body := range []string{"", "a", "b", "c", "d"} {
		if id == 0 {
			continue
		}
		a, state, _ := do(p, peer, fmt.Sprint(id))
		is.Equal(state, Done)
		is.Equal(string(a.Body), body) // the second connection closes, the third is not kept for a second
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
	_, state, _ := do(newPool(), Endpoint{Address: address}, "1")
	is.Equal(state, NotSent)
	_, state, _ = newPool().Do(context.Background(), Call{Endpoint: script(t, []string{answer("1", "a")}), Deadline: time.Now().Add(-time.Second)})
	is.Equal(state, NotSent) // too late
}

// TestGivenUp: a caller that leaves ends the call within half a second.
func TestGivenUp(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	began := time.Now()
	_, state, _ := newPool().Do(ctx, Call{
		Endpoint: script(t, []string{"silent"}), Method: http.MethodGet, Deadline: time.Now().Add(5 * time.Second),
		Encode: func(time.Duration) []byte { return []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n") },
	})
	is.Equal(state, Cancelled)
	is.True(time.Since(began) < 500*time.Millisecond)
}

// TestAnEarlyAnswer to a long body is handed on, and the connection is not
// used again.
func TestAnEarlyAnswer(t *testing.T) {
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
			_, _ = c.Write([]byte(answer("1", "early")))
		}
	}()
	p := newPool()
	body := make([]byte, 8<<20)
	a, state, _ := p.Do(context.Background(), Call{
		Endpoint: Endpoint{Address: l.Addr().String()}, Method: http.MethodPost, RequestID: "1", Deadline: time.Now().Add(time.Second),
		Encode: func(time.Duration) []byte {
			return append(fmt.Appendf(nil, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", len(body)), body...)
		},
	})
	is.Equal(state, Done)
	is.Equal(string(a.Body), "early")
	is.Equal(p.OpenConns(), 0)
}

func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte(answer("1", "hello")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := new(conn)
		c.meter = &meter{from: strings.NewReader(string(b))}
		c.r = bufio.NewReader(c.meter)
		a, _, err := newPool().readAnswer(c, Call{Method: http.MethodGet, RequestID: "1"})
		if err == nil && a.Status < 200 {
			t.Errorf("an interim answer was taken for a final one: %q", b)
		}
	})
}

func TestRefusesTellsAServerThatHasEnded(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	peer := Endpoint{ServerID: "s", Address: l.Addr().String()}
	p := NewPool(Options{RequestIDHeader: "X-Id", Now: time.Now})
	is.True(!p.RefusesConnections(peer, time.Second))
	is.Equal(p.OpenConns(), 1) // the connection is kept for the next call
	is.True(!p.RefusesConnections(peer, time.Second))
	is.Equal(p.OpenConns(), 1)
	kept, err := l.Accept()
	is.NoErr(err)
	is.NoErr(l.Close())
	is.True(!p.RefusesConnections(peer, time.Second)) // the kept connection is open
	is.NoErr(kept.Close())
	time.Sleep(20 * time.Millisecond)
	is.True(p.RefusesConnections(peer, time.Second))
	is.Equal(p.OpenConns(), 0)
}
