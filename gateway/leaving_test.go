package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/http1"
	"github.com/figmast/figmast/policy"
)

// TestLeavingServer: a server's leaving notice is not forwarded to the caller.
// The server gets the requests that no other can take until the drain time is
// over, and none afterwards.
func TestLeavingServer(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	g := newTestGateway(t, b)
	resp, _ := g.send(t, "GET /p/leaves"+get+"\r\n")
	is.Equal(resp.StatusCode, 200)
	is.Equal(resp.Header.Get("X-Sign"), "s")
	is.Equal(resp.Header.Get("X-Leaves"), "")
	g.applyBackend(b) // the server's entry does not announce it
	resp, _ = g.send(t, "GET /p/1"+get+"\r\n")
	is.Equal(resp.StatusCode, 200) // it is the only server
	time.Sleep(800 * time.Millisecond)
	resp, _ = g.send(t, "GET /p/1"+get+"\r\n")
	is.Equal(resp.StatusCode, 503)
	is.Equal(len(b.heads), 2)
}

// TestServerThatAsksForBackoff: a server that asks for backoff gets no requests
// until it is over, and callers are refused at once with a Retry-After.
func TestServerThatAsksForBackoff(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	g := newTestGateway(t, b)
	for range 3 {
		after := g.sendRefused(t, "/p/alone")
		is.True(after > 1 && after < 2.5)
	}
	is.Equal(len(b.heads), 1)
}

// sendRefused sends a request that is to be refused at once and returns its
// Retry-After in seconds.
func (g *testGateway) sendRefused(t *testing.T, target string) float64 {
	t.Helper()
	is := is.New(t)
	began := time.Now()
	resp, _ := g.send(t, "GET "+target+get+"\r\n")
	is.Equal(resp.StatusCode, 503)
	is.True(time.Since(began) < 300*time.Millisecond) // less than the caller's timeout of 400 ms
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	return after
}

// TestServerResponseHeaders covers how the headers and the status of a server's
// response are interpreted.
func TestServerResponseHeaders(t *testing.T) {
	for _, c := range []struct {
		name    string
		status  int
		header  http.Header
		leaving bool
		backoff time.Duration
	}{
		{"nothing", 200, http.Header{}, false, 0},
		{"leaves", 200, http.Header{"X-Leaves": {"1"}}, true, 0},
		{"leaves and fails", 500, http.Header{"X-Leaves": {"1"}}, true, 0},
		{"another value", 200, http.Header{"X-Leaves": {"0"}}, false, 0},
		{"another server at the address", 421, http.Header{"X-Leaves": {"1"}}, false, 0},
		{"leaves and rejects", 503, http.Header{"X-Leaves": {"1"}, "Retry-After": {"2"}, "X-Not-Run": {"1"}}, true, 2 * time.Second},
		{"rejects without the not-run header", 503, http.Header{"Retry-After": {" 0.25 "}}, false, 250 * time.Millisecond},
		{"Retry-After of another error", 429, http.Header{"Retry-After": {"2"}, "X-Not-Run": {"1"}}, false, 0},
		{"Retry-After of a success", 200, http.Header{"Retry-After": {"2"}}, false, 0},
		{"zero", 503, http.Header{"Retry-After": {"0"}}, false, 0},
		{"negative", 503, http.Header{"Retry-After": {"-1"}}, false, 0},
		{"no number", 503, http.Header{"Retry-After": {"NaN"}}, false, 0},
		{"infinite", 503, http.Header{"Retry-After": {"+Inf"}}, false, policy.MaxServerBackoff},
		{"over a minute", 503, http.Header{"Retry-After": {"90"}}, false, 90 * time.Second},
		{"an hour", 503, http.Header{"Retry-After": {"3600"}}, false, time.Hour},
		{"weeks", 503, http.Header{"Retry-After": {"9999999"}}, false, policy.MaxServerBackoff},
		{"a date", 503, http.Header{"Retry-After": {"Fri, 04 Dec 2026 12:00:00 GMT"}}, false, 0},
		{"two", 503, http.Header{"Retry-After": {"1", "3"}}, false, 3 * time.Second},
		{"two, one of them bad", 503, http.Header{"Retry-After": {"1", "x"}}, false, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &runner{headers: testHeaders}
			got := r.newReply(&http1.Response{Status: c.status, Header: c.header}, http1.Done, nil)
			is.Equal(got.Leaving, c.leaving)
			is.Equal(got.Backoff, c.backoff)
			is.Equal(got.Outcome == forward.NotRun, c.header.Get("X-Not-Run") != "" || c.status == 421)
		})
	}
}

// TestNoCallIsWrittenTooLate: a call is not written if its server may no longer
// get calls by then, as after a suspension of the machine.
func TestNoCallIsWrittenTooLate(t *testing.T) {
	is := is.New(t)
	b := newBackend(t)
	g := newTestGateway(t, b)
	r := g.runner
	r.mu.Lock()
	target, _ := r.balancer.Choose(r.now(), policy.ChooseInfo{Service: "s"})
	r.balancer.RecordBackoff(r.now(), target, time.Minute)
	_, actions := r.engine.Start(r.now(), forward.Request{ID: "r", Route: &r.topology.Load().Config.Routes[0], Deadline: r.now().Add(time.Second)})
	r.mu.Unlock()
	is.Equal(len(actions.Send), 0)
	is.True(!r.canSend(target))
	_, outcome, err := r.pool.Do(t.Context(), http1.Call{
		Endpoint: endpointOf(target.Server), Method: http.MethodGet, Deadline: time.Now().Add(time.Second),
		Encode: func(time.Duration) []byte { return []byte("GET / HTTP/1.1\r\n\r\n") },
		Guard:  func() bool { return r.canSend(target) },
	})
	is.True(err != nil)
	is.Equal(outcome, http1.NotSent)
	is.Equal(len(b.heads), 0)
}
