package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/daemon"
	"github.com/figmast/figmast/internal/fake"
	"github.com/figmast/figmast/internal/fleet"
	"github.com/figmast/figmast/internal/sample"
)

// logBuffer collects log output. It is safe for concurrent use.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// startFleet runs hosts with the first sample service until the test ends.
func startFleet(t *testing.T, hosts int, settings func(*daemon.Settings)) testFleet {
	t.Helper()
	return startFleetWithShape(t, sample.Shapes()[0], hosts, settings)
}

func startFleetWithShape(t *testing.T, shape sample.Shape, hosts int, settings func(*daemon.Settings)) testFleet {
	t.Helper()
	is := is.New(t)
	logs := &logBuffer{}
	f, err := fleet.Start(context.Background(), fleet.Options{Shape: shape, Hosts: hosts, Logs: logs, Settings: settings})
	is.NoErr(err)
	t.Cleanup(func() {
		is.NoErr(f.Stop(context.Background()))
		http.DefaultClient.CloseIdleConnections()
	})
	f.Publish(sample.DocumentParams{Version: 1, Snapshot: "monday"})
	for _, h := range f.Hosts {
		waitFor(t, func() bool { return queryStatus(t, h) == http.StatusOK })
	}
	return testFleet{f, logs}
}

func waitFor(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal("the condition did not hold within 20 seconds")
}

// queryStatus sends a query and returns the status code, or 0 without an answer.
func queryStatus(t *testing.T, h *fleet.Host) int {
	t.Helper()
	body := strings.NewReader(`{"operation":"route-sheet"}`)
	req, err := http.NewRequest(http.MethodPost, "http://"+h.CallerListen+"/v1/services/route-app-1/query", body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(figmast.HeaderDeadline, queryDeadlineMs)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	if resp.StatusCode != http.StatusOK {
		t.Logf("query refused: %s", text)
	}
	return resp.StatusCode
}

// queryDeadlineMs is the deadline of test queries in milliseconds. It is long
// enough for a busy machine.
const queryDeadlineMs = "2000"

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

func TestMetricsArePerHost(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, nil)
	for range 5 {
		is.Equal(queryStatus(t, f.Hosts[0]), http.StatusOK)
	}
	_, firstMetrics := get(t, "http://"+f.Hosts[0].OpsListen+"/metrics")
	_, secondMetrics := get(t, "http://"+f.Hosts[1].OpsListen+"/metrics")
	answered := func(n int) string {
		return fmt.Sprintf(`figmast_requests_total{service="route-app-1",kind="query",outcome="answered"} %d`, n)
	}
	is.True(strings.Contains(firstMetrics, answered(6))) // one more from startFleet
	is.True(strings.Contains(secondMetrics, answered(1)))
	for _, name := range []string{
		`figmast_leaf_calls_total{status="ok"}`, "figmast_leaf_call_duration_seconds_bucket", "figmast_request_duration_seconds_bucket",
		"figmast_view_age_seconds", "figmast_ready 1", "figmast_hosts 2", "figmast_services 1", "figmast_backend_connections ", "figmast_backend_connections_allowed ", "go_goroutines", "process_cpu_seconds_total",
	} {
		if !strings.Contains(firstMetrics, name) {
			t.Errorf("%s is missing", name)
		}
	}
}

func TestOperatorsInterface(t *testing.T) {
	f := startFleet(t, 1, nil)
	base := "http://" + f.Hosts[0].OpsListen
	for _, c := range []struct {
		path   string
		status int
		field  string
	}{
		{"/healthz", 200, ""},
		{"/readyz", 200, ""},
		{"/v1/status", 200, ""},
		{"/v1/timeline", 200, ""},
		{"/v1/timeline?limit=0", 400, "limit"},
		{"/v1/timeline?limit=many", 400, "limit"},
		{"/v1/timeline?since=yesterday", 400, "since"},
		{"/v1/timeline?servce=x", 400, "servce"},
		{"/v1/timeline?request=" + strings.Repeat("x", 300), 400, "request"},
		{"/v1/explain/a/b", 200, ""},
		{"/v2/status", 404, ""},
	} {
		t.Run(c.path, func(t *testing.T) {
			is := is.New(t)
			status, body := get(t, base+c.path)
			is.Equal(status, c.status)
			var p figmast.Problem
			if status/100 == 4 {
				is.NoErr(json.Unmarshal([]byte(body), &p))
			}
			is.Equal(p.Field, c.field)
		})
	}
}

// TestDrainServesUntilStopped checks that a leaving host reports not ready at
// once, still answers queries, and finishes a command whose caller has
// disconnected.
func TestDrainServesUntilStopped(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 1, func(s *daemon.Settings) { s.DrainWait = 300 * time.Millisecond })
	h := f.Hosts[0]
	for _, b := range f.Backends {
		b.SetBehaviour(fake.Behaviour{Latency: 600 * time.Millisecond})
	}
	var ticket figmast.TicketAnswer
	postJSON(t, context.Background(), h, "/tickets", struct{}{}, &ticket)
	callerCtx, disconnect := context.WithCancel(context.Background())
	returned := make(chan struct{})
	go func() {
		defer close(returned)
		postJSON(t, callerCtx, h, "/command", figmast.CommandRequest{Operation: "book-visit", ShardKey: "k", Ticket: ticket.Ticket}, nil)
	}()
	waitFor(t, func() bool { return countCommands(f) == 1 })
	disconnect()
	<-returned

	stopped := make(chan error, 1)
	go func() { stopped <- h.Stop(context.Background()) }()
	waitFor(t, func() bool {
		status, _ := get(t, "http://"+h.OpsListen+"/readyz")
		return status == http.StatusServiceUnavailable
	})
	is.Equal(queryStatus(t, h), http.StatusOK) // takes longer than DrainWait
	is.NoErr(<-stopped)
	is.True(strings.Contains(f.logs.String(), `"msg":"host stopped"`))
	for line := range strings.Lines(f.logs.String()) {
		is.True(json.Valid([]byte(line)))
	}
}

// TestDrainFinishesForwardedCommands checks that a leaving host still answers
// the commands that a peer has forwarded to it.
func TestDrainFinishesForwardedCommands(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2, func(s *daemon.Settings) { s.DrainWait = 0 })
	minter, entry := f.Hosts[0], f.Hosts[1]
	waitFor(t, func() bool {
		_, status := get(t, "http://"+entry.OpsListen+"/v1/status")
		return strings.Contains(status, minter.Host)
	})
	for _, b := range f.Backends {
		b.SetBehaviour(fake.Behaviour{Latency: 300 * time.Millisecond})
	}
	const n = 16
	answers := make(chan figmast.CommandAnswer, n)
	for i := range n {
		var ticket figmast.TicketAnswer
		postJSON(t, context.Background(), minter, "/tickets", struct{}{}, &ticket)
		go func() {
			var a figmast.CommandAnswer
			req := figmast.CommandRequest{Operation: "book-visit", ShardKey: fmt.Sprint(i), Ticket: ticket.Ticket}
			postJSON(t, context.Background(), entry, "/command", req, &a)
			answers <- a
		}()
	}
	waitFor(t, func() bool { return countCommands(f) == n })
	is.NoErr(minter.Stop(context.Background()))
	for range n {
		is.Equal((<-answers).Outcome, figmast.Ran)
	}
}

// TestDrainFinishesRelayedCalls checks that a leaving host finishes the leaf
// calls that it makes for a peer over its own connections.
func TestDrainFinishesRelayedCalls(t *testing.T) {
	is := is.New(t)
	shape := sample.Shapes()[0]
	shape.Leaves, shape.Slots, shape.Connections = 1, 1, 1
	f := startFleetWithShape(t, shape, 2, func(s *daemon.Settings) { s.DrainWait = 0 })
	var holder, other *fleet.Host
	waitFor(t, func() bool {
		holder, other = f.Hosts[0], f.Hosts[1]
		if connections(t, holder) == 0 {
			holder, other = other, holder
		}
		return connections(t, holder) == 1 && connections(t, other) == 0 && queryStatus(t, other) == http.StatusOK
	})
	for _, b := range f.Backends {
		b.SetBehaviour(fake.Behaviour{Latency: 500 * time.Millisecond})
	}
	var ticket figmast.TicketAnswer
	postJSON(t, context.Background(), other, "/tickets", struct{}{}, &ticket)
	answer := make(chan figmast.CommandAnswer, 1)
	go func() {
		var a figmast.CommandAnswer
		postJSON(t, context.Background(), other, "/command", figmast.CommandRequest{Operation: "book-visit", ShardKey: "k", Ticket: ticket.Ticket}, &a)
		answer <- a
	}()
	waitFor(t, func() bool { return countCommands(f) == 1 })
	is.NoErr(holder.Stop(context.Background()))
	is.Equal((<-answer).Outcome, figmast.Ran)
}

// connections returns the number of connections from the host to backend servers.
func connections(t *testing.T, h *fleet.Host) int {
	t.Helper()
	_, text := get(t, "http://"+h.OpsListen+"/metrics")
	n := -1
	for line := range strings.Lines(text) {
		_, _ = fmt.Sscanf(line, "figmast_backend_connections %d", &n)
	}
	return n
}

func countCommands(f testFleet) int {
	n := 0
	for _, e := range f.Executions("") {
		if e.Command {
			n++
		}
	}
	return n
}

// postJSON sends a body to the sample service and decodes the response into
// answer, unless answer is nil.
func postJSON(t *testing.T, ctx context.Context, h *fleet.Host, path string, body, answer any) {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Error(err)
	}
	req, err := http.NewRequestWithContext(ctx, "POST", "http://"+h.CallerListen+"/v1/services/route-app-1"+path, bytes.NewReader(b))
	if err != nil {
		t.Error(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if answer == nil {
		return
	}
	if err != nil {
		t.Error(err)
		return
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		t.Error(err)
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
