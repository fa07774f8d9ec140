package http1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResponseCutShortIsNoResponse guards against a response whose server stops
// after any of its bytes and closes being taken for a complete one.
func TestResponseCutShortIsNoResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Sign: s\r\nX-Leaves: 1\r\nX-Limit: 5\r\nKeep-Alive: timeout=20\r\n"
	for _, c := range []struct {
		name, method, text string
		// headOnly is set where only a cut in the head can be seen.
		headOnly bool
	}{
		{"length", http.MethodGet, head + "Content-Length: 9\r\n\r\nbody of 1", false},
		{"empty", http.MethodGet, head + "Content-Length: 0\r\n\r\n", false},
		{"chunks", http.MethodGet, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n5\r\n of 1\r\n0\r\n\r\n", false},
		{"no length", http.MethodGet, head + "\r\nbody of 1", true},
		{"no length, closed", http.MethodGet, head + "Connection: close\r\n\r\nbody of 1", true},
		{"interim", http.MethodGet, "HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n" + head + "Content-Length: 9\r\n\r\nbody of 1", false},
		{"head request", http.MethodHead, head + "Content-Length: 9\r\n\r\n", false},
		{"no content", http.MethodGet, strings.Replace(head, "200 OK", "204 No Content", 1) + "\r\n", false},
		{"failure", http.MethodGet, strings.Replace(head, "200 OK", "503 Busy", 1) + "Retry-After: 9\r\nContent-Length: 0\r\n\r\n", false},
		{"line feeds", http.MethodGet, strings.ReplaceAll(head+"Content-Length: 9\r\n\r\n", "\r\n", "\n") + "body of 1", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			cuts := len(c.text)
			if c.headOnly {
				cuts = strings.Index(c.text, "\r\n\r\n") + 4
			}
			for n := range cuts {
				endpoint := serve(t, func(_ int, conn *net.TCPConn) {
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = conn.Write([]byte(c.text[:n]))
				})
				a, outcome, err := newPool().Do(t.Context(), Call{
					Endpoint: endpoint, Method: c.method, RequestID: "1", Deadline: time.Now().Add(5 * time.Second), IdleTimeout: time.Second,
					Encode: func(time.Duration) []byte {
						return fmt.Appendf(nil, "%s / HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\n\r\n", c.method)
					},
				})
				if outcome == Done || a != nil {
					t.Fatalf("cut after %d of %d bytes: %+v", n, len(c.text), a)
				}
				is.New(t).True(err != nil)
			}
		})
	}
}
