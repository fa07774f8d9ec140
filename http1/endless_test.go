package http1

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endless serves each connection with a beginning and then with the same bytes
// again and again until the caller closes, and tells so.
func endless(t *testing.T, beginning, again string, pause time.Duration) (Endpoint, <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	closed := make(chan struct{}, 64)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, beginning)
				for err == nil {
					_, err = io.WriteString(c, again)
					time.Sleep(pause)
				}
				closed <- struct{}{}
			}()
		}
	}()
	return Endpoint{ServerID: "i-1", Address: l.Addr().String()}, closed
}

const okHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"

var endlessAnswers = map[string]struct{ beginning, again string }{
	"one line":               {"HTTP/1.1 200 OK\r\nX-A: ", strings.Repeat("a", 4096)},
	"status line":            {"", strings.Repeat("a", 4096)},
	"headers":                {okHead, "X-A: " + strings.Repeat("a", 4096) + "\r\n"},
	"interim heads":          {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("a", 4096) + "\r\n\r\n"},
	"body without a length":  {okHead + "\r\n", strings.Repeat("b", 4096)},
	"body in chunks":         {okHead + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + strings.Repeat("b", 4096) + "\r\n"},
	"body in tiny chunks":    {okHead + "Transfer-Encoding: chunked\r\n\r\n", strings.Repeat("1\r\nb\r\n", 512)},
	"body of a great length": {okHead + "Content-Length: 1099511627776\r\n\r\n", strings.Repeat("b", 4096)},
	"trailers":               {okHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: " + strings.Repeat("a", 4096) + "\r\n"},
	"answers to others":      {"", "HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 4096\r\n\r\n" + strings.Repeat("b", 4096)},
}

// TestAnswerWithoutEndIsBrokenOff: the caller is told long before its deadline,
// and the connection is closed.
func TestAnswerWithoutEndIsBrokenOff(t *testing.T) {
	for name, c := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			peer, closed := endless(t, c.beginning, c.again, 0)
			p := newPool()
			_, state, err := doWithin(p, peer, "1", time.Minute)
			is.True(err != nil)
			is.Equal(state, Broken)
			is.Equal(p.OpenConns(), 0)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection is not closed")
			}
		})
	}
}

// TestSlowAnswerWithoutEndEndsAtTheDeadline plays a few bytes at a time.
func TestSlowAnswerWithoutEndEndsAtTheDeadline(t *testing.T) {
	for _, name := range []string{"headers", "body without a length", "body in chunks"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := endlessAnswers[name]
			peer, closed := endless(t, c.beginning, c.again[:min(len(c.again), 40)], 5*time.Millisecond)
			p := newPool()
			_, state, _ := doWithin(p, peer, "1", 200*time.Millisecond)
			is.True(state == TimedOut || state == Broken) // a cut chunk is no chunk
			is.Equal(p.OpenConns(), 0)
			<-closed
		})
	}
}

// TestAnswersWithoutEndFitTheSmallestHost plays many at once: what a host of
// 184 MB holds stays under half of that.
func TestAnswersWithoutEndFitTheSmallestHost(t *testing.T) {
	const (
		calls = 60
		host  = 184 << 20
	)
	is := is.New(t)
	c := endlessAnswers["body without a length"]
	peer, _ := endless(t, c.beginning, c.again, 0)
	p := NewPool(Options{RequestIDHeader: "X-Id", Now: time.Now, DialTimeout: testPatience, MaxBufferedBytes: host / 8})
	var done sync.WaitGroup
	stop := make(chan struct{})
	peak := uint64(0)
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak = max(peak, m.HeapAlloc)
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
	}()
	for range calls {
		done.Add(1)
		go func() {
			defer done.Done()
			_, state, _ := doWithin(p, peer, "1", time.Minute)
			if state != Broken {
				t.Errorf("state %v", state)
			}
		}()
	}
	done.Wait()
	close(stop)
	<-watched
	is.True(peak < host/2)
	is.Equal(p.OpenConns(), 0)
	t.Logf("at most %d MB held", peak>>20)
}
