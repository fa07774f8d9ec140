package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/internal/fake"
)

// documentVersion returns the version of the document that the host holds, or 0.
func (h *host) documentVersion() uint64 {
	resp, err := http.Get("http://" + h.ops + "/v1/status")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var s struct{ Services []struct{ Version uint64 } }
	if json.NewDecoder(resp.Body).Decode(&s) != nil || len(s.Services) != 1 {
		return 0
	}
	return s.Services[0].Version
}

func (f *fleet) waitVersion(v uint64) {
	f.t.Helper()
	start := time.Now()
	for _, h := range f.hosts {
		waitFor(f.t, fmt.Sprintf("%s to have version %d", h.id, v), func() bool { return h.documentVersion() == v })
	}
	f.t.Logf("version %d everywhere after %v", v, time.Since(start).Round(time.Millisecond))
}

// signal sends a signal to hosts.
func signal(t *testing.T, s syscall.Signal, hosts ...*host) {
	t.Helper()
	for _, h := range hosts {
		if err := h.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
}

// newFiveHostFleet starts five hosts in three data centres.
func newFiveHostFleet(t *testing.T) (*fleet, []string) {
	t.Helper()
	f := newFleet(t)
	servers := startBackends(t, 4)
	f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(1, "monday", servers))
	for i := range 5 {
		f.addHost(fmt.Sprintf("%s%d", f.subnet, 2+i), fmt.Sprintf("dc-%d", i%3))
	}
	f.waitReady()
	for _, h := range f.hosts {
		waitFor(t, "hosts to know each other", func() bool { return knowsHost(h, f.hosts[4].id) && knowsHost(h, f.hosts[0].id) })
	}
	return f, servers
}

func TestOutageOfThePlatform(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, servers := newFiveHostFleet(t)
	calls := f.setMode(fake.Mode{}).Calls
	time.Sleep(2 * time.Second)
	t.Logf("%.1f calls a second to the platform from 5 hosts", float64(f.setMode(fake.Mode{Down: true}).Calls-calls)/2)
	f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(2, "tuesday", servers))
	samples, unready := 0, 0
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range f.hosts {
			samples++
			if !h.ready() {
				unready++
			}
		}
	}
	t.Logf("unready in %d of %d samples", unready, samples)
	is.True(unready*20 <= samples) // a busy machine may stall a process; the tests in virtual time allow none
	isolated, others := f.hosts[0], f.hosts[1:]
	signal(t, syscall.SIGSTOP, others...)
	waitFor(t, "the isolated host to stop serving", func() bool { return !isolated.ready() })
	var problem figmast.Problem
	status := post(t, "http://"+isolated.callers+"/v1/services/route-search/query", figmast.QueryRequest{Operation: "route-sheet"}, &problem)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(problem.Outcome, figmast.NotRun)
	signal(t, syscall.SIGCONT, others...)
	f.waitReady()
	f.setMode(fake.Mode{})
	f.waitVersion(2)
}

func TestStalePlatformAndFreshHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, servers := newFiveHostFleet(t)
	stale := f.setMode(fake.Mode{}).Revision
	f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(2, "tuesday", servers))
	f.waitVersion(2)
	f.setMode(fake.Mode{StaleRevision: stale})
	fresh := f.addHost(f.subnet+"7", "dc-0")
	waitFor(t, "the fresh host to be ready", func() bool {
		ready, version := fresh.ready(), fresh.documentVersion()
		is.True(version == 0 || version == 2)
		return ready
	})
	f.waitReady()
	f.setMode(fake.Mode{})
	f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(3, "wednesday", servers))
	f.waitVersion(3)
}

// TestPausedHostAndDataCentreOut suspends a host under load while an operator takes
// a data centre out. When it resumes with its old document, it must send no work
// to that data centre.
func TestPausedHostAndDataCentreOut(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, servers := newFiveHostFleet(t)
	paused := f.hosts[0]
	stop := make(chan struct{})
	var load sync.WaitGroup
	for range 8 {
		load.Add(1)
		go func() {
			defer load.Done()
			sendQueries(paused, stop)
		}()
	}
	time.Sleep(500 * time.Millisecond)
	signal(t, syscall.SIGSTOP, paused)
	out := append(routeSearchDocument(2, "tuesday", servers), "data_centres_out: [dc-0]\n"...)
	f.publish(configstore.PrefixServices+"route-search", out)
	time.Sleep(4 * time.Second)
	resumedAt := time.Now()
	signal(t, syscall.SIGCONT, paused)
	f.waitReady()
	f.waitVersion(2)
	time.Sleep(500 * time.Millisecond)
	close(stop)
	load.Wait()
	is.Equal(countExecutionsAfter(t, resumedAt, servers[0], servers[2]), 0) // the data centre that is out
	is.True(countExecutionsAfter(t, resumedAt, servers[1], servers[3]) > 0)
}

// sendQueries sends queries to a host until stop is closed.
func sendQueries(h *host, stop <-chan struct{}) {
	client := &http.Client{Timeout: 10 * time.Second}
	for {
		select {
		case <-stop:
			return
		default:
		}
		body, _ := json.Marshal(figmast.QueryRequest{Operation: "route-sheet"})
		resp, err := client.Post("http://"+h.callers+"/v1/services/route-search/query", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// countExecutionsAfter counts the executions on backend servers after a time.
func countExecutionsAfter(t *testing.T, at time.Time, servers ...string) int {
	t.Helper()
	n := 0
	for _, e := range executions(t, servers...) {
		if e.At.After(at) {
			n++
		}
	}
	return n
}
