package http1

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// serveDuplicate serves connections. On the first one, the first response is
// followed by a duplicate: its first early bytes are written before the next
// request arrives, the rest before the response to that request.
func serveDuplicate(t *testing.T, early int, sent chan<- struct{}) Endpoint {
	t.Helper()
	return serve(t, func(number int, c *net.TCPConn) { writeDuplicate(c, number == 0, early, sent) })
}

func writeDuplicate(c net.Conn, duplicate bool, early int, sent chan<- struct{}) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Id")
		text := response(id, "body of "+id)
		if _, err := c.Write([]byte(text)); err != nil {
			return
		}
		if !duplicate {
			continue
		}
		duplicate = false
		time.Sleep(time.Millisecond) // so that the first response is read by itself
		_, _ = c.Write([]byte(text[:early]))
		sent <- struct{}{}
		if _, err := r.Peek(1); err != nil {
			return
		}
		_, _ = c.Write([]byte(text[early:]))
	}
}

// TestDuplicateResponseIsNeverUsed: a late duplicate of a response, split at any
// byte around the next request, is never taken for the response to that request.
// If its first bytes arrive before the request, the connection is not used again.
func TestDuplicateResponseIsNeverUsed(t *testing.T) {
	for early := range len(response("1", "body of 1")) + 1 {
		t.Run(fmt.Sprint(early), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sent := make(chan struct{}, 1)
			p, endpoint := newPool(), serveDuplicate(t, early, sent)
			a, outcome, _ := do(p, endpoint, "1")
			is.Equal(outcome, Done)
			is.Equal(string(a.Body), "body of 1")
			<-sent
			for id := 2; id < 5; id++ {
				a, outcome, err := do(p, endpoint, fmt.Sprint(id))
				if outcome != Done {
					t.Fatalf("request %d: %v", id, err)
				}
				is.Equal(string(a.Body), fmt.Sprintf("body of %d", id))
			}
		})
	}
}

// TestResponseWithoutIDProvesNothingOnKeptConnection guards against a late copy of a
// rejection, which names no request, being taken for the answer to the next request
// on the connection.
func TestResponseWithoutIDProvesNothingOnKeptConnection(t *testing.T) {
	const rejection = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	for name, tt := range map[string]struct {
		nonIdempotent bool
		status        int
		unidentified  bool
		connections   int
	}{
		"may be repeated":     {false, http.StatusServiceUnavailable, true, 1},
		"may not be repeated": {true, http.StatusOK, false, 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			connections := make(chan int, 8)
			endpoint := serve(t, func(number int, c *net.TCPConn) {
				defer c.Close()
				connections <- number
				r := bufio.NewReader(c)
				for i := 0; ; i++ {
					req, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					text := response(req.Header.Get("X-Id"), "ran")
					if number == 0 && i < 2 {
						text = rejection // the second one is a copy of the first
					}
					if _, err := c.Write([]byte(text)); err != nil {
						return
					}
				}
			})
			p := newPool()
			call := func(id string) (*Response, Outcome, error) {
				return p.Do(t.Context(), Call{
					Endpoint: endpoint, Method: http.MethodGet, RequestID: id, Deadline: time.Now().Add(5 * time.Second), IdleTimeout: time.Second, NonIdempotent: tt.nonIdempotent,
					Encode: func(time.Duration) []byte {
						return fmt.Appendf(nil, "GET / HTTP/1.1\r\nHost: h\r\nX-Id: %s\r\n\r\n", id)
					},
				})
			}
			a, outcome, err := call("1")
			is.NoErr(err)
			is.Equal(outcome, Done)
			is.True(!a.Unidentified) // nothing else can have come on a new connection
			a, outcome, err = call("2")
			is.NoErr(err)
			is.Equal(outcome, Done)
			is.Equal(a.Status, tt.status)
			is.Equal(a.Unidentified, tt.unidentified)
			is.Equal(len(connections), tt.connections)
			if tt.unidentified {
				is.Equal(p.OpenConns(), 0) // the connection is not used again
			}
		})
	}
}
