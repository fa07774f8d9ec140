package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/internal/fake"
)

// clockTick is the unit of CPU times in /proc, 1/100 s on Linux.
const clockTick = time.Second / 100

// BenchmarkQueryProcessorTime measures the CPU time that a host spends on a
// query and on each of its leaf calls, by the number of leaves.
func BenchmarkQueryProcessorTime(b *testing.B) {
	for _, leaves := range []int{10, 30, 93} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) { benchmarkQuery(b, leaves) })
	}
}

func benchmarkQuery(b *testing.B, leaves int) {
	f := newFleet(b)
	servers := startBackends(b, leaves)
	f.publish(configstore.PrefixServices+"wide", wideDocument(servers))
	h := f.addHost("127.0.0.2", "dc-0")
	f.waitReady()
	body, _ := json.Marshal(figmast.QueryRequest{Operation: "search", Payload: json.RawMessage(`{"yard":"17 Elm"}`)})
	sendQuery := func() {
		resp, err := http.Post("http://"+h.callers+"/v1/services/wide/query", "application/json", bytes.NewReader(body))
		if err != nil {
			b.Error(err)
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		var ans figmast.QueryAnswer
		if err := json.Unmarshal(text, &ans); err != nil || ans.Coverage != 1 {
			b.Errorf("status %d: %.300s", resp.StatusCode, text)
		}
	}
	for range 50 {
		sendQuery()
	}
	profileWritten := writeProfile(h)
	before := cpuTime(b, h.cmd.Process.Pid)
	b.ResetTimer()
	const callers = 8
	var next atomic.Int64
	var done sync.WaitGroup
	for range callers {
		done.Go(func() {
			for next.Add(1) <= int64(b.N) {
				sendQuery()
			}
		})
	}
	done.Wait()
	b.StopTimer()
	<-profileWritten
	spent := cpuTime(b, h.cmd.Process.Pid) - before
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N*leaves), "cpu-us/leafcall")
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/query")
	b.ReportMetric(float64(residentBytes(b, h.cmd.Process.Pid))/(1<<20), "MiB")
}

// profileEnvironment is the environment variable that names a file for the host's
// CPU profile.
const profileEnvironment = "FIGMAST_PROFILE"

// writeProfile writes a CPU profile of the host in the background if
// profileEnvironment is set. The channel is closed when it is done.
func writeProfile(h *host) <-chan struct{} {
	done := make(chan struct{})
	name := os.Getenv(profileEnvironment)
	if name == "" {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		resp, err := http.Get("http://" + h.ops + "/debug/pprof/profile?seconds=5")
		if err != nil {
			return
		}
		defer resp.Body.Close()
		text, _ := io.ReadAll(resp.Body)
		_ = os.WriteFile(name, text, 0o600)
	}()
	return done
}

// wideDocument returns a document with one leaf for each server.
func wideDocument(servers []string) []byte {
	var doc, weights strings.Builder
	doc.WriteString("service: wide\nversion: 1\noperations:\n- {name: search, kind: query, deadline: 5s}\nleaves:\n")
	for i, s := range servers {
		id, address, _ := strings.Cut(s, "=")
		fmt.Fprintf(&doc, "- {name: l%d, slots: 1, connections: 40, servers: [{id: %s, address: %q, data_centre: dc-0}]}\n", i, id, address)
		fmt.Fprintf(&weights, "  - {leaf: l%d, weight: 1}\n", i)
	}
	return []byte(doc.String() + "snapshots:\n- id: monday\n  partition_map: m\n  weights:\n" + weights.String())
}

// cpuTime returns the CPU time that a process has used.
func cpuTime(t testing.TB, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	// Of the fields after the process name in parentheses, the 12th and 13th are
	// user and system time.
	fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
	var ticks int64
	for _, i := range []int{11, 12} {
		n, err := strconv.ParseInt(fields[i], 10, 64)
		if err != nil {
			t.Fatal(err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick
}

// residentBytes returns the resident memory of a process.
func residentBytes(t testing.TB, pid int) int64 {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		t.Fatal(err)
	}
	pages, err := strconv.ParseInt(strings.Fields(string(text))[1], 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return pages * int64(os.Getpagesize())
}

// idleFor is how long idle hosts are measured. settleFor passes before that,
// because hosts gossip about new members for some seconds.
const (
	settleFor = 15 * time.Second
	idleFor   = 10 * time.Second
)

// BenchmarkHostAtRest measures the cost of the control plane while there are no
// requests and no changes, by the number of hosts: CPU time, memory, bytes
// to and from other hosts, and calls to the platform. Run it with -benchtime 1x.
func BenchmarkHostAtRest(b *testing.B) {
	for _, hosts := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) { benchmarkIdle(b, hosts) })
	}
}

func benchmarkIdle(b *testing.B, hosts int) {
	f := newFleet(b)
	servers := startBackends(b, 4)
	for i := range hosts {
		f.addHost(fmt.Sprintf("127.0.2.%d", i+2), fmt.Sprintf("dc-%d", i%3))
	}
	f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(1, "monday", servers))
	f.waitReady()
	time.Sleep(settleFor)
	before, calls := f.usage(), f.platformCalls()
	for range b.N {
		time.Sleep(idleFor)
	}
	after := f.usage()
	seconds := float64(b.N) * idleFor.Seconds()
	n := float64(hosts) * seconds
	b.ReportMetric((after.cpuTime-before.cpuTime).Seconds()/n*100, "%core/host")
	b.ReportMetric((after.bytes-before.bytes)/n/1024, "KB/s/host")
	b.ReportMetric(after.memory/float64(hosts)/(1<<20), "MiB/host")
	b.ReportMetric(after.connections/float64(hosts), "peer-conns/host")
	b.ReportMetric(float64(f.platformCalls()-calls)/seconds, "platform-calls/s")
}

// usage is the total resource usage of all hosts so far.
type usage struct {
	cpuTime     time.Duration
	bytes       float64
	memory      float64
	connections float64
}

func (f *fleet) usage() usage {
	var u usage
	for _, h := range f.hosts {
		u.cpuTime += cpuTime(f.t, h.cmd.Process.Pid)
		u.memory += float64(residentBytes(f.t, h.cmd.Process.Pid))
		u.bytes += metricValue(f.t, h, "figmast_peer_sent_bytes") + metricValue(f.t, h, "figmast_peer_received_bytes")
		u.connections += metricValue(f.t, h, "figmast_peer_connections")
	}
	return u
}

// metricValue returns the value of a metric without labels.
func metricValue(t testing.TB, h *host, name string) float64 {
	t.Helper()
	resp, err := http.Get("http://" + h.ops + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if rest, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			v, err := strconv.ParseFloat(rest, 64)
			if err != nil {
				t.Fatal(err)
			}
			return v
		}
	}
	t.Fatalf("%s: metric %s is missing", h.id, name)
	return 0
}

// platformCalls returns how many calls the platform has received.
func (f *fleet) platformCalls() int64 {
	return f.setMode(fake.Mode{}).Calls
}
