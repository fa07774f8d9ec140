package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/internal/fake"
	"github.com/figmast/figmast/load"
)

// newScenario starts a fleet with one host in each data centre.
func newScenario(t *testing.T, seed uint64, extra ...string) *scenario {
	s := &scenario{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), fleet: newFleet(t),
		history:        &history{executions: make(map[string][]fake.Execution)},
		dataCentresOut: make(map[string]bool), leaving: make(map[string]bool), cold: make(map[string]bool),
	}
	s.servers = startBackends(t, faultLeaves*faultDataCentres)
	for _, srv := range s.servers {
		s.setBehaviour(srv, fake.Behaviour{Latency: backendLatency})
	}
	s.publish()
	for i := range faultDataCentres {
		s.hosts = append(s.hosts, s.fleet.addHost(fmt.Sprintf("127.0.0.%d", i+2), dataCentreName(i), extra...))
	}
	s.fleet.waitReady()
	first := append([]*host(nil), s.hosts...)
	s.ready.Store(&first)
	return s
}

// TestRollingRestartCutsNoRequest replaces every host in turn under load. Each new
// host is ready before the old one gets SIGTERM, so every request must be answered.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	is := is.New(t)
	const drainWait = "1s"
	s := newScenario(t, 1, "--drain-wait", drainWait)
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { s.pollReadiness(stop) })
	for range queryWorkers {
		callers.Go(func() { s.callUntil(stop, s.sendQuery) })
	}
	for range commandWorkers {
		callers.Go(func() { s.callUntil(stop, s.sendCommand) })
	}
	for i := range s.hosts {
		old := s.hosts[i]
		fresh := s.fleet.addHost(fmt.Sprintf("127.0.1.%d", i+2), dataCentreName(i), "--drain-wait", drainWait)
		waitFor(t, "the new host", fresh.ready)
		s.mu.Lock()
		s.hosts[i] = fresh
		s.mu.Unlock()
		is.NoErr(old.cmd.Process.Signal(syscall.SIGTERM))
		is.Equal(old.exitCode(t), 0)
		s.fleet.unpublish(configstore.PrefixHosts + old.id)
	}
	close(stop)
	callers.Wait()
	s.collect()
	for _, f := range s.history.check(statedBounds) {
		t.Error(f)
	}
	is.True(len(s.history.queries) > 100)
	for _, q := range s.history.queries {
		if q.connectionLost || q.answer == nil {
			t.Errorf("query %s to %s was not answered: connection lost %t, problem %v", q.id, q.host, q.connectionLost, q.problem)
		}
	}
	for _, c := range s.history.commands {
		if c.connectionLost || c.answer == nil {
			t.Errorf("command %s to %s was not answered: connection lost %t, problem %v", c.id, c.host, c.connectionLost, c.problem)
		}
	}
}

// Parameters of the request storm, which offers five times the capacity of the
// backend servers.
const (
	stormFactor   = 5
	stormLatency  = 20 * time.Millisecond
	stormSlots    = 4
	stormServers  = faultDataCentres
	stormSeconds  = 4
	stormInFlight = 4000
	// stormMemory bounds how much the resident memory of a host may grow.
	stormMemory = 256 << 20
)

// TestStormKeepsMemoryBounded overloads a host with five times the capacity. Its
// memory must stay bounded, refusals must carry a retry time, and at least half the
// capacity must still be answered.
func TestStormKeepsMemoryBounded(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	servers := startBackends(t, 2*stormServers)
	for _, srv := range servers {
		var done any
		post(t, "http://"+backendAddress(srv)+fake.PathBehaviour, fake.Behaviour{Latency: stormLatency}, &done)
	}
	f.publish(configstore.PrefixServices+"route-search", stormDocument(servers))
	h := f.addHost("127.0.0.2", "dc-0")
	f.waitReady()
	waitFor(t, "an answer", func() bool { return sendQuery(h) == nil })
	idle := residentBytes(t, h.cmd.Process.Pid)
	capacity := float64(stormServers*stormSlots) / stormLatency.Seconds()
	report := load.Run(context.Background(), load.Options{
		Rate: stormFactor * capacity, Duration: stormSeconds * time.Second, MaxInFlight: stormInFlight,
		Do: func(context.Context) load.Result { return stormQuery(h) },
	})
	storm := residentBytes(t, h.cmd.Process.Pid)
	t.Logf("capacity %.0f/s; %+v; memory %d MiB when idle, %d MiB after the storm", capacity, report, idle>>20, storm>>20)
	is.True(storm-idle < stormMemory)
	is.Equal(report.Outcomes["cut"], int64(0))
	is.Equal(report.Outcomes["no time to come back"], int64(0))
	is.True(float64(report.Outcomes["answered"])/stormSeconds > capacity/2)
	waitFor(t, "an answer after the storm", func() bool { return sendQuery(h) == nil })
}

// stormClient keeps its connections open, as a load balancer does.
var stormClient = &http.Client{Timeout: clientTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: stormInFlight}}

// stormQuery sends one query and classifies the outcome: "cut" is a lost
// connection, "no time to come back" a refusal without a retry time.
func stormQuery(h *host) load.Result {
	var ans figmast.QueryAnswer
	body := figmast.QueryRequest{Operation: "route-sheet", Payload: json.RawMessage(`{}`)}
	p, connectionLost := exchangeWith(stormClient, h, "query", "", body, &ans)
	switch {
	case connectionLost:
		return load.Result{Outcome: "cut"}
	case p == nil:
		return load.Result{Outcome: "answered", Coverage: ans.Coverage, Worth: 1}
	case p.RetryAfterMs <= 0:
		return load.Result{Outcome: "no time to come back", Reason: p.Title}
	}
	return load.Result{Outcome: "refused", Reason: p.Title}
}

// stormDocument returns a document with two leaves whose servers have few slots.
func stormDocument(servers []string) []byte {
	doc := "service: route-search\nversion: 1\nslots_mean: concurrency\nconnections_of: server\n" +
		"operations:\n- {name: route-sheet, kind: query, deadline: 500ms}\nleaves:\n"
	for leaf := range 2 {
		doc += fmt.Sprintf("- name: leaf-%d\n  slots: %d\n  connections: 40\n  servers:\n", leaf, stormSlots)
		for i := range stormServers {
			spec := servers[leaf*stormServers+i]
			doc += fmt.Sprintf("  - {id: s%d-%d, address: %q, data_centre: dc-%d}\n", leaf, i, backendAddress(spec), i)
		}
	}
	return []byte(doc + "snapshots:\n- {id: monday, partition_map: m, weights: [{leaf: leaf-0, weight: 1}, {leaf: leaf-1, weight: 1}]}\n")
}
