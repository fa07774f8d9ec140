package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/view"
)

// fakeRunner answers every request, but panics on the operation "panic".
type fakeRunner struct {
	lastQuery query.Request
	// size is the size of the result in an answer, in bytes.
	size int
}

func (f *fakeRunner) Query(_ context.Context, r query.Request) (*figmast.QueryAnswer, *figmast.Problem) {
	if r.Operation == "panic" {
		panic("test panic")
	}
	f.lastQuery = r
	result := json.RawMessage(`"` + strings.Repeat("x", f.size) + `"`)
	return &figmast.QueryAnswer{RequestID: r.ID, Coverage: 1, Results: []figmast.LeafResult{{Leaf: "l", Result: result}}}, nil
}

func (f *fakeRunner) Command(_ context.Context, r command.Request) (*figmast.CommandAnswer, *figmast.Problem) {
	return &figmast.CommandAnswer{RequestID: r.ID, Outcome: figmast.Ran}, nil
}

func (f *fakeRunner) Mint(service string) (command.Ticket, *figmast.Problem) {
	return command.Ticket{Host: "h", Service: service}, nil
}

var started = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// bodyTimeout is short to speed up the tests of slow callers.
const bodyTimeout = 200 * time.Millisecond

func newHandler(b Runner, draining bool) http.Handler {
	return newHandlerWithMemory(b, draining, DefaultBodyMemory)
}

func newHandlerWithMemory(b Runner, draining bool, bodyMemory int64) http.Handler {
	op := func(name string, kind document.Kind) document.Operation {
		return document.Operation{
			Name: name, Kind: kind, Urgency: figmast.Normal, Worth: 2,
			Deadline: document.Duration(time.Second), MaxDeadline: document.Duration(2 * time.Second),
		}
	}
	v := &view.View{Services: map[string]*document.Service{"straps": {Name: "straps", Operations: []document.Operation{
		op("status", document.Query), op("panic", document.Query), op("book", document.Command),
	}}}}
	return NewHandler(Options{
		Host: "h", Runner: b, View: func() *view.View { return v }, Clock: func() time.Time { return started },
		Draining: func() bool { return draining }, BodyTimeout: bodyTimeout, WriteTimeout: bodyTimeout, BodyMemory: bodyMemory,
		Log: log.New(io.Discard), Metrics: metrics.NewSet(),
	})
}

// TestBodiesAreBounded guards against bodies that are not finished, each within its
// own limit, taking the memory of the process.
func TestBodiesAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHandlerWithMemory(&fakeRunner{}, false, 128<<10) // two of the bodies do not fit
	payload := strings.Repeat("x", 60<<10)
	text := `{"operation":"status","payload":"` + payload + `"}`
	unfinished, rest := io.Pipe()
	r := httptest.NewRequest("POST", queryPath, unfinished)
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		h.ServeHTTP(httptest.NewRecorder(), r)
	}()
	_, err := io.WriteString(rest, text)
	is.NoErr(err)
	w := send(h, "POST", queryPath, nil, text)
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.True(w.Header().Get("Retry-After") != "")
	is.Equal(send(h, "POST", queryPath, nil, `{"operation":"status"}`).Code, http.StatusOK)
	is.NoErr(rest.Close())
	<-answered
	is.Equal(send(h, "POST", queryPath, nil, text).Code, http.StatusOK)
}

// send handles one request and returns the recorded response.
func send(h http.Handler, method, path string, header map[string]string, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	for k, v := range header {
		r.Header.Set(k, v)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const (
	queryPath   = "/v1/services/straps/query"
	commandPath = "/v1/services/straps/command"
)

func TestQueryDefaults(t *testing.T) {
	is := is.New(t)
	b := &fakeRunner{}
	w := send(newHandler(b, false), "POST", queryPath, map[string]string{figmast.HeaderRequestID: "q1"}, `{"operation":"status","payload":{"a":1,"a":2}}`)
	is.Equal(w.Code, 200)
	is.Equal(w.Header().Get(figmast.HeaderHost), "h")
	is.Equal(b.lastQuery.ID, "q1")
	is.Equal(b.lastQuery.Urgency, figmast.Normal)
	is.Equal(b.lastQuery.Worth, 2.0)
	is.Equal(b.lastQuery.Deadline, started.Add(time.Second))
	is.Equal(string(b.lastQuery.Payload), `{"a":1,"a":2}`) // the payload is passed to the leaf unchanged
}

// refusals are requests, each with the expected status and the field that the
// problem names.
var refusals = []struct {
	name, method, path string
	header             map[string]string
	body               string
	status             int
	field              string
}{
	{"unknown path", "POST", "/v1/other", nil, "{}", 404, ""},
	{"doubled slash", "POST", "//v1/services/straps/query", nil, "{}", 404, ""},
	{"method", "GET", queryPath, nil, "", 405, ""},
	{"unknown service", "POST", "/v1/services/bags/query", nil, `{"operation":"status"}`, 404, "service"},
	{"unknown service for a ticket", "POST", "/v1/services/bags/tickets", nil, "", 404, "service"},
	{"no body", "POST", queryPath, nil, "", 400, "body"},
	{"cut body", "POST", queryPath, nil, `{"operation":`, 400, "body"},
	{"no object", "POST", queryPath, nil, `[]`, 400, "body"},
	{"two values", "POST", queryPath, nil, `{"operation":"status"}{}`, 400, "body"},
	{"unknown field", "POST", queryPath, nil, `{"operation":"status","x":1}`, 400, "x"},
	{"repeated field", "POST", queryPath, nil, `{"operation":"status","operation":"panic"}`, 400, "operation"},
	{"repeated field in capitals", "POST", queryPath, nil, `{"operation":"status","Operation":"panic"}`, 400, "Operation"},
	{"wrong type", "POST", queryPath, nil, `{"operation":7}`, 400, "operation"},
	{"content type", "POST", queryPath, map[string]string{"Content-Type": "text/plain"}, `{"operation":"status"}`, 415, "Content-Type"},
	{"no operation", "POST", queryPath, nil, `{}`, 400, "operation"},
	{"operation of the other kind", "POST", queryPath, nil, `{"operation":"book"}`, 400, "operation"},
	{"urgency", "POST", queryPath, nil, `{"operation":"status","urgency":"high"}`, 400, "urgency"},
	{"worth below 0", "POST", queryPath, nil, `{"operation":"status","worth":-1}`, 400, "worth"},
	{"worth too large", "POST", queryPath, nil, `{"operation":"status","worth":1e300}`, 400, "worth"},
	{"deadline in words", "POST", queryPath, map[string]string{figmast.HeaderDeadline: "soon"}, `{"operation":"status"}`, 400, figmast.HeaderDeadline},
	{"deadline of 0", "POST", queryPath, map[string]string{figmast.HeaderDeadline: "0"}, `{"operation":"status"}`, 400, figmast.HeaderDeadline},
	{"deadline too long", "POST", queryPath, map[string]string{figmast.HeaderDeadline: "2001"}, `{"operation":"status"}`, 400, figmast.HeaderDeadline},
	{"long request id", "POST", queryPath, map[string]string{figmast.HeaderRequestID: strings.Repeat("a", 129)}, `{"operation":"status"}`, 400, figmast.HeaderRequestID},
	{"request id with a space", "POST", queryPath, map[string]string{figmast.HeaderRequestID: "a b"}, `{"operation":"status"}`, 400, figmast.HeaderRequestID},
	{"request id beyond ASCII", "POST", queryPath, map[string]string{figmast.HeaderRequestID: "ä"}, `{"operation":"status"}`, 400, figmast.HeaderRequestID},
	{"large body", "POST", queryPath, nil, `{"payload":"` + strings.Repeat("a", MaxBodyBytes) + `"}`, 413, "body"},
	{"deep body", "POST", queryPath, nil, `{"payload":` + strings.Repeat("[", 500_000) + `}`, 400, "body"},
	{"cut command", "POST", commandPath, nil, `{"operation":"book","shard_key":"k","ticket":"t`, 400, "body"},
	{"no shard key", "POST", commandPath, nil, `{"operation":"book","ticket":"t"}`, 400, "shard_key"},
	{"no ticket", "POST", commandPath, nil, `{"operation":"book","shard_key":"k"}`, 400, "ticket"},
	{"ticket and key", "POST", commandPath, nil, `{"operation":"book","shard_key":"k","ticket":"t","key":"x"}`, 400, "key"},
	{"long ticket", "POST", commandPath, nil, `{"operation":"book","shard_key":"k","ticket":"` + strings.Repeat("t", 1025) + `"}`, 400, "ticket"},
}

// wantOutcome returns the expected outcome of a refusal. It is Unknown for a command
// that has, or may have, a ticket, because the host does not know the outcome of
// other attempts with the ticket.
func wantOutcome(path, name string) figmast.Outcome {
	if path == commandPath && name != "no ticket" {
		return figmast.Unknown
	}
	return figmast.NotRun
}

func TestRefusals(t *testing.T) {
	h := newHandler(&fakeRunner{}, false)
	for _, c := range refusals {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := send(h, c.method, c.path, c.header, c.body)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
			var p figmast.Problem
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
			is.Equal(p.Field, c.field)
			is.Equal(p.Status, c.status)
			is.Equal(p.Outcome, wantOutcome(c.path, c.name))
			is.Equal(p.Unhandled, c.path == commandPath)
			is.True(p.RequestID != "" && p.Peer == "h" && p.Title != "" && p.Step != "")
			is.True(w.Body.Len() < 1000) // a refusal quotes only a little of the input
		})
	}
}

func TestPanicIsAnsweredAsUnknown(t *testing.T) {
	is := is.New(t)
	w := send(newHandler(&fakeRunner{}, false), "POST", queryPath, nil, `{"operation":"panic"}`)
	is.Equal(w.Code, 500)
	var p figmast.Problem
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &p))
	is.Equal(p.Outcome, figmast.Unknown)
}

func TestDrainingHostAnswersAndCloses(t *testing.T) {
	is := is.New(t)
	w := send(newHandler(&fakeRunner{}, true), "POST", queryPath, nil, `{"operation":"status"}`)
	is.Equal(w.Code, 200)
	is.Equal(w.Header().Get("Connection"), "close")
}

// TestSlowBody checks that a caller that stops in the middle of a body gets a
// refusal, and that the host closes the connection.
func TestSlowBody(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(newHandler(&fakeRunner{}, false))
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n{", queryPath)
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
	got, err := io.ReadAll(c) // returns when the host closes the connection
	is.NoErr(err)
	is.True(bytes.HasPrefix(got, []byte("HTTP/1.1 408 ")))
}

// TestSlowReader checks that the host closes the connection of a caller that does
// not read its answer.
func TestSlowReader(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewUnstartedServer(newHandler(&fakeRunner{size: 32 << 20}, false))
	closed := make(chan struct{})
	srv.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateClosed {
			close(closed)
		}
	}
	srv.Start()
	defer srv.Close()
	c, err := net.Dial("tcp", srv.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	body := `{"operation":"status"}`
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", queryPath, len(body), body)
	is.NoErr(err)
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("the host has not closed the connection")
	}
}

// FuzzBody checks that no body makes the handler panic, and that each gets an answer
// or a refusal in valid JSON.
func FuzzBody(f *testing.F) {
	for _, c := range refusals {
		if len(c.body) < 2000 {
			f.Add(c.body, true)
		}
	}
	f.Add(`{"operation":"status","payload":{"yard":17},"urgency":"urgent","worth":2.5}`, true)
	f.Add(`{"operation":"book","shard_key":"k","ticket":"t"}`, false)
	h := newHandler(&fakeRunner{}, false)
	f.Fuzz(func(t *testing.T, body string, isQuery bool) {
		path := commandPath
		if isQuery {
			path = queryPath
		}
		if strings.Contains(body, "panic") {
			return
		}
		w := send(h, "POST", path, nil, body)
		if w.Code != 200 && w.Code/100 != 4 {
			t.Fatal(w.Code, w.Body)
		}
		if !json.Valid(w.Body.Bytes()) {
			t.Fatalf("not JSON: %s", w.Body)
		}
	})
}
