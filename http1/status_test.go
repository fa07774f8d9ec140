package http1

import (
	"bufio"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestInvalidStatusIsNoResponse guards against passing on a response whose status
// HTTP does not have, or taking it for an interim one and the bytes after it for
// the response.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 9\r\n\r\nbody of 1"
	for _, status := range []string{"000", "001", "042", "099", "600", "999", "101", "0200", "20", "1200", "+20", "-20", "2x0", "", "９００"} {
		for name, rest := range map[string]string{
			"empty":                     "Content-Length: 0\r\n\r\n",
			"with a body":               "Content-Length: 9\r\n\r\nbody of 1",
			"in chunks":                 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
			"ended by close":            "Connection: close\r\n\r\nbody of 1",
			"before a sound one":        "Content-Length: 0\r\n\r\n" + sound,
			"as a head before another":  "\r\n" + sound,
			"in front of a status line": sound,
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				endpoint := serve(t, func(_ int, conn *net.TCPConn) {
					defer conn.Close()
					if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
						return
					}
					_, _ = conn.Write([]byte("HTTP/1.1 " + status + " Odd\r\nX-Id: 1\r\nX-Sign: s\r\n" + rest))
				})
				p := newPool()
				a, outcome, err := do(p, endpoint, "1")
				is := is.New(t)
				is.True(a == nil && err != nil)
				is.Equal(outcome, Broken) // it may have run
				is.Equal(p.OpenConns(), 0)
			})
		}
	}
}

// TestInterimResponsesAreSkipped: each status of an interim response, but 101, is
// followed by the response itself.
func TestInterimResponsesAreSkipped(t *testing.T) {
	for _, status := range []string{"100", "102", "103", "199"} {
		is := is.New(t)
		endpoint := serve(t, func(_ int, conn *net.TCPConn) {
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
				return
			}
			_, _ = conn.Write([]byte("HTTP/1.1 " + status + " Interim\r\n\r\n" + response("1", "body of 1")))
		})
		a, outcome, err := do(newPool(), endpoint, "1")
		is.NoErr(err)
		is.Equal(outcome, Done)
		is.Equal(a.Status, http.StatusOK)
	}
}
