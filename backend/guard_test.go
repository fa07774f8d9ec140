package backend

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// TestGuardIsAskedAtTheWrite: the guard allows a call at the first check and
// refuses it at the write, as after a suspension of the process in between.
// Nothing is sent.
func TestGuardIsAskedAtTheWrite(t *testing.T) {
	for name, payload := range map[string]string{"empty": "", "small": `{"strap":7}`, "large": strings.Repeat("x", 1<<16)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ran := 0
			srv := httptest.NewServer(countBodies(&ran))
			defer srv.Close()
			pool := NewPool(Options{Clock: time.Now})
			defer pool.Close()
			server := &policy.Server{Service: "s", Leaf: "l", ID: "x", Address: srv.Listener.Addr().String()}
			pool.Apply([]policy.Share{{Server: server, Connections: 1, Protocol: document.HTTP1}})
			asked := 0
			guard := func(time.Time) bool { asked++; return asked == 1 }
			res := pool.Call(context.Background(), leafcall.Send{Server: server, Payload: []byte(payload), Deadline: time.Now().Add(5 * time.Second), Guard: guard})
			is.Equal(res.Status, leafcall.NotSent)
			is.True(res.NotRun())
			is.Equal(ran, 0)
		})
	}
}

// countBodies counts the requests that arrive complete.
func countBodies(n *int) http.HandlerFunc {
	return func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			*n++
		}
	}
}
