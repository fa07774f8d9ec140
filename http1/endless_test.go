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

// serveEndless writes prefix on each connection and then repeated again and
// again until the client closes it, which the returned channel reports.
func serveEndless(t *testing.T, prefix, repeated string, pause time.Duration) (Endpoint, <-chan struct{}) {
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
				_, err := io.WriteString(c, prefix)
				for err == nil {
					_, err = io.WriteString(c, repeated)
					time.Sleep(pause)
				}
				closed <- struct{}{}
			}()
		}
	}()
	return Endpoint{ServerID: "i-1", Address: l.Addr().String()}, closed
}

const okHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"

var endlessResponses = map[string]struct{ prefix, repeated string }{
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

// TestEndlessResponseFailsBeforeDeadline: an endless response fails the call long
// before its deadline, and the connection is closed.
func TestEndlessResponseFailsBeforeDeadline(t *testing.T) {
	for name, c := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			endpoint, closed := serveEndless(t, c.prefix, c.repeated, 0)
			p := newPool()
			_, outcome, err := doWithin(p, endpoint, "1", time.Minute)
			is.True(err != nil)
			is.Equal(outcome, Broken)
			is.Equal(p.OpenConns(), 0)
			select {
			case <-closed:
			case <-time.After(5 * time.Second):
				t.Error("the connection is not closed")
			}
		})
	}
}

// TestSlowEndlessResponseEndsAtDeadline: an endless response of a few bytes
// at a time ends at the call's deadline.
func TestSlowEndlessResponseEndsAtDeadline(t *testing.T) {
	for _, name := range []string{"headers", "body without a length", "body in chunks"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := endlessResponses[name]
			endpoint, closed := serveEndless(t, c.prefix, c.repeated[:min(len(c.repeated), 40)], 5*time.Millisecond)
			p := newPool()
			_, outcome, _ := doWithin(p, endpoint, "1", 200*time.Millisecond)
			is.True(outcome == TimedOut || outcome == Broken) // a truncated chunk is malformed
			is.Equal(p.OpenConns(), 0)
			<-closed
		})
	}
}

// TestEndlessResponsesFitSmallestHost: with many endless responses at once,
// the heap stays under half the memory of the smallest host, which has 184 MB.
func TestEndlessResponsesFitSmallestHost(t *testing.T) {
	const (
		calls      = 60
		hostMemory = 184 << 20
	)
	is := is.New(t)
	c := endlessResponses["body without a length"]
	endpoint, _ := serveEndless(t, c.prefix, c.repeated, 0)
	p := NewPool(Options{RequestIDHeader: "X-Id", Now: time.Now, DialTimeout: testTimeout, MaxBufferedBytes: hostMemory / 8})
	var done sync.WaitGroup
	stop := make(chan struct{})
	peak := uint64(0)
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
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
			_, outcome, _ := doWithin(p, endpoint, "1", time.Minute)
			if outcome != Broken {
				t.Errorf("outcome %v", outcome)
			}
		}()
	}
	done.Wait()
	close(stop)
	<-sampled
	is.True(peak < hostMemory/2)
	is.Equal(p.OpenConns(), 0)
	t.Logf("at most %d MB held", peak>>20)
}
