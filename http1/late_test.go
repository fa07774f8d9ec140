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

// repeater serves connections on which the first answer is followed by a second
// copy of it: so many bytes of it before the next request is read, the rest
// before that one's answer.
func repeater(t *testing.T, early int, sent chan<- struct{}) Endpoint {
	t.Helper()
	return serve(t, func(number int, c *net.TCPConn) { repeat(c, number == 0, early, sent) })
}

func repeat(c net.Conn, again bool, early int, sent chan<- struct{}) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Id")
		own := answer(id, "body of "+id)
		if _, err := c.Write([]byte(own)); err != nil {
			return
		}
		if !again {
			continue
		}
		again = false
		time.Sleep(time.Millisecond) // the first answer is read by itself
		_, _ = c.Write([]byte(own[:early]))
		sent <- struct{}{}
		if _, err := r.Peek(1); err != nil {
			return
		}
		_, _ = c.Write([]byte(own[early:]))
	}
}

// TestASecondCopyIsNobodysAnswer: a second copy of an answer that comes late,
// split at any byte around the next request, never answers that one. Where its
// first bytes have come before, the connection is not used again.
func TestASecondCopyIsNobodysAnswer(t *testing.T) {
	for early := range len(answer("1", "body of 1")) + 1 {
		t.Run(fmt.Sprint(early), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			sent := make(chan struct{}, 1)
			p, peer := newPool(), repeater(t, early, sent)
			a, state, _ := do(p, peer, "1")
			is.Equal(state, Done)
			is.Equal(string(a.Body), "body of 1")
			<-sent
			for id := 2; id < 5; id++ {
				a, state, err := do(p, peer, fmt.Sprint(id))
				if state != Done {
					t.Fatalf("request %d: %v", id, err)
				}
				is.Equal(string(a.Body), fmt.Sprintf("body of %d", id))
			}
		})
	}
}
