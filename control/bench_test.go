package control

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/view"
)

// bytesPerServer is the approximate size of one backend server in a document.
const bytesPerServer = 70

// documentOfSize returns a document of approximately the given number of bytes,
// most of it backend servers.
func documentOfSize(name string, version, bytes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\nversion: %d\noperations:\n- {name: search, kind: query}\nleaves:\n", name, version)
	leaves := max(bytes/(4*bytesPerServer), 1)
	for l := range leaves {
		fmt.Fprintf(&b, "- name: leaf-%d\n  slots: 3\n  connections: 50\n  servers:\n", l)
		for i := range 3 {
			fmt.Fprintf(&b, "  - {id: s-%d-%d, address: \"10.%d.%d.%d:80\", data_centre: dc-%d}\n", l, i, i, l/250, l%250, i)
		}
	}
	b.WriteString("snapshots:\n- id: monday\n  partition_map: m\n  weights:\n")
	for l := range leaves {
		fmt.Fprintf(&b, "  - {leaf: leaf-%d, weight: 10}\n", l)
	}
	return []byte(b.String())
}

// newLoadedState returns a State that holds documents and hosts.
func newLoadedState(services, bytes, hosts int) *State {
	s := NewState(Options{Self: view.Host{ID: "h-0", Address: "10.0.0.0:1", DataCentre: "dc-0"}, Rand: rand.New(rand.NewPCG(1, 1))})
	all := &configstore.RangeResponse{}
	add := func(key string, value []byte) {
		all.Header.Revision++
		all.Kvs = append(all.Kvs, configstore.KeyValue{Key: []byte(key), Value: value, CreateRevision: all.Header.Revision, ModRevision: all.Header.Revision})
	}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		add(configstore.PrefixServices+name, documentOfSize(name, 1, bytes))
	}
	for i := range hosts {
		b, _ := json.Marshal(HostEntry{Address: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), DataCentre: fmt.Sprintf("dc-%d", i%6)})
		add(fmt.Sprintf("%sh-%d", configstore.PrefixHosts, i), b)
	}
	s.HandlePlatformContents(epoch, all)
	s.startup.done = true
	s.Tick(epoch)
	return s
}

// BenchmarkView measures building the view after a change of the host list.
func BenchmarkView(b *testing.B) {
	for _, size := range []struct{ services, leafs, hosts int }{{10, 30, 9}, {15, 300, 62}, {100, 3300, 620}} {
		b.Run(fmt.Sprintf("leafs=%d/hosts=%d", size.leafs, size.hosts), func(b *testing.B) {
			s := newLoadedState(size.services, size.leafs/size.services*4*bytesPerServer, size.hosts)
			b.ReportAllocs()
			for b.Loop() {
				s.members.changed = true
				s.Tick(epoch)
			}
		})
	}
}

// BenchmarkConfirmation measures extending the validity of a view.
func BenchmarkConfirmation(b *testing.B) {
	for _, hosts := range []int{9, 62, 620} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := newLoadedState(10, 1000, hosts)
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s.confirm(now)
				s.Tick(now)
			}
		})
	}
}

// BenchmarkChange measures applying a changed document: parsing, compression
// and the new view.
func BenchmarkChange(b *testing.B) {
	for _, bytes := range []int{1 << 10, 30 << 10, 800 << 10} {
		s := newLoadedState(100, 1000, 62)
		version := 1
		text := documentOfSize("service-0", 1, bytes)
		b.Run(fmt.Sprintf("bytes=%d", len(text)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				version++
				b.StopTimer()
				revision := configstore.Int64(s.Revision() + 1)
				kv := configstore.KeyValue{Key: []byte(configstore.PrefixServices + "service-0"), Value: documentOfSize("service-0", version, bytes), CreateRevision: 1, ModRevision: revision}
				b.StartTimer()
				s.HandlePlatformChanges([]configstore.Event{{Kv: kv}})
				s.Tick(epoch)
			}
			b.ReportMetric(float64(len(s.table.services["service-0"].compressed)), "bytes-to-a-peer")
		})
	}
}

// BenchmarkDigest measures building and encoding a full digest.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []struct{ services, hosts int }{{10, 9}, {30, 62}, {100, 620}} {
		b.Run(fmt.Sprintf("documents=%d/hosts=%d", size.services, size.hosts), func(b *testing.B) {
			s := newLoadedState(size.services, 1000, size.hosts)
			b.ReportAllocs()
			var n int
			for b.Loop() {
				var out SyncResponse
				s.table.fillDigest(&SyncRequest{Full: true}, &out)
				text, err := cbor.Marshal(out)
				if err != nil {
					b.Fatal(err)
				}
				n = len(text)
			}
			b.ReportMetric(float64(n), "bytes")
		})
	}
}

// BenchmarkMemory reports the heap memory that documents and hosts take.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ services, leafs, hosts int }{{10, 30, 9}, {15, 300, 62}, {100, 3300, 620}} {
		b.Run(fmt.Sprintf("leafs=%d/hosts=%d", size.leafs, size.hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := newLoadedState(size.services, size.leafs/size.services*4*bytesPerServer, size.hosts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		})
	}
}

// relayDataCentres is the number of data centres in BenchmarkRelay.
const relayDataCentres = 3

// BenchmarkRelay simulates a fleet in virtual time, with one change of a
// document in 24 s, and reports the traffic of a host with its peers.
func BenchmarkRelay(b *testing.B) {
	for mode, sizes := range map[string][]int{"up": {9, 63, 225, 621}, "down": {9, 63, 225}} {
		for _, hosts := range sizes {
			b.Run(fmt.Sprintf("platform=%s/hosts=%d", mode, hosts), func(b *testing.B) {
				for b.Loop() {
					runRelay(b, hosts, mode == "down")
				}
			})
		}
	}
}

func runRelay(b *testing.B, hosts int, down bool) {
	const span = 24 * time.Second
	w := newWorld(1)
	w.startFleet(relayDataCentres, hosts/relayDataCentres)
	w.put(configstore.PrefixServices+"a", documentOfSize("a", 1, 10<<10))
	w.run(10 * time.Second)
	w.platformDown = down
	w.run(10 * time.Second)
	bytes, messages, calls := make(map[string]int), make(map[string]int), w.platformCalls
	w.onMessage = func(from, to string, m any) {
		text, err := cbor.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		for _, id := range []string{from, to} {
			bytes[id] += len(text)
			messages[id]++
		}
	}
	w.put(configstore.PrefixServices+"a", documentOfSize("a", 2, 10<<10))
	minValid := hosts
	w.run(span, func() { minValid = min(minValid, w.countValid()) })
	maxBytes, maxMessages, sum := 0, 0, 0
	for id := range bytes {
		maxBytes, maxMessages, sum = max(maxBytes, bytes[id]), max(maxMessages, messages[id]), sum+bytes[id]
	}
	b.ReportMetric(float64(maxBytes)/span.Seconds(), "most-B/s")
	b.ReportMetric(float64(sum)/span.Seconds()/float64(hosts), "mean-B/s")
	b.ReportMetric(float64(maxMessages)/span.Seconds(), "most-messages/s")
	b.ReportMetric(float64(w.platformCalls-calls)/span.Seconds(), "platform-calls/s")
	b.ReportMetric(float64(minValid), "least-valid")
	oldest := time.Duration(0)
	for _, n := range w.nodes {
		oldest = max(oldest, w.now.Sub(n.state.confirmedAt))
	}
	b.ReportMetric(oldest.Seconds(), "oldest-s")
}
