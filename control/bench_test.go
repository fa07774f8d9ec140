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

// serverLine is about what one backend server takes in a document, in bytes.
const serverLine = 70

// docOf is a document of about that many bytes, most of it backend servers.
func docOf(name string, version, bytes int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service: %s\nversion: %d\noperations:\n- {name: search, kind: query}\nleaves:\n", name, version)
	leaves := max(bytes/(4*serverLine), 1)
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

// loaded is a State that holds documents and hosts.
func loaded(services, bytes, hosts int) *State {
	s := NewState(Options{Self: view.Host{ID: "h-0", Address: "10.0.0.0:1", DataCentre: "dc-0"}, Rand: rand.New(rand.NewPCG(1, 1))})
	all := &configstore.RangeResponse{}
	add := func(key string, value []byte) {
		all.Header.Revision++
		all.Kvs = append(all.Kvs, configstore.KeyValue{Key: []byte(key), Value: value, CreateRevision: all.Header.Revision, ModRevision: all.Header.Revision})
	}
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		add(configstore.PrefixServices+name, docOf(name, 1, bytes))
	}
	for i := range hosts {
		b, _ := json.Marshal(HostEntry{Address: fmt.Sprintf("10.0.%d.%d:1", i/256, i%256), DataCentre: fmt.Sprintf("dc-%d", i%6)})
		add(fmt.Sprintf("%sh-%d", configstore.PrefixHosts, i), b)
	}
	s.HandlePlatformContents(epoch, all)
	s.fresh.done = true
	s.Tick(epoch)
	return s
}

// BenchmarkView builds the view after a change of the host list.
func BenchmarkView(b *testing.B) {
	for _, size := range []struct{ services, leafs, hosts int }{{10, 30, 9}, {15, 300, 62}, {100, 3300, 620}} {
		b.Run(fmt.Sprintf("leafs=%d/hosts=%d", size.leafs, size.hosts), func(b *testing.B) {
			s := loaded(size.services, size.leafs/size.services*4*serverLine, size.hosts)
			b.ReportAllocs()
			for b.Loop() {
				s.members.changed = true
				s.Tick(epoch)
			}
		})
	}
}

// BenchmarkConfirmation extends the validity of a view.
func BenchmarkConfirmation(b *testing.B) {
	for _, hosts := range []int{9, 62, 620} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			s := loaded(10, 1000, hosts)
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

// BenchmarkChange takes in a changed document: parse, pack and view.
func BenchmarkChange(b *testing.B) {
	for _, bytes := range []int{1 << 10, 30 << 10, 800 << 10} {
		s := loaded(100, 1000, 62)
		version := 1
		text := docOf("service-0", 1, bytes)
		b.Run(fmt.Sprintf("bytes=%d", len(text)), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				version++
				b.StopTimer()
				revision := configstore.Int64(s.Revision() + 1)
				kv := configstore.KeyValue{Key: []byte(configstore.PrefixServices + "service-0"), Value: docOf("service-0", version, bytes), CreateRevision: 1, ModRevision: revision}
				b.StartTimer()
				s.HandlePlatformChanges([]configstore.Event{{Kv: kv}})
				s.Tick(epoch)
			}
			b.ReportMetric(float64(len(s.table.services["service-0"].packed)), "bytes-to-a-peer")
		})
	}
}

// BenchmarkDigest builds and encodes a whole digest.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []struct{ services, hosts int }{{10, 9}, {30, 62}, {100, 620}} {
		b.Run(fmt.Sprintf("documents=%d/hosts=%d", size.services, size.hosts), func(b *testing.B) {
			s := loaded(size.services, 1000, size.hosts)
			b.ReportAllocs()
			var n int
			for b.Loop() {
				var out SyncResponse
				s.table.digest(&SyncRequest{Full: true}, &out)
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

// BenchmarkMemory reports what the documents and hosts take in memory.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []struct{ services, leafs, hosts int }{{10, 30, 9}, {15, 300, 62}, {100, 3300, 620}} {
		b.Run(fmt.Sprintf("leafs=%d/hosts=%d", size.leafs, size.hosts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := loaded(size.services, size.leafs/size.services*4*serverLine, size.hosts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "bytes")
		})
	}
}

// relayCentres is the number of data centres in BenchmarkRelay.
const relayCentres = 3

// BenchmarkRelay runs a fleet in virtual time, with one change of a document
// in 24 s, and reports what a host exchanges with others.
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
	w.fleet(relayCentres, hosts/relayCentres)
	w.put(configstore.PrefixServices+"a", docOf("a", 1, 10<<10))
	w.run(10 * time.Second)
	w.down = down
	w.run(10 * time.Second)
	bytes, messages, calls := make(map[string]int), make(map[string]int), w.calls
	w.sent = func(from, to string, m any) {
		text, err := cbor.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		for _, id := range []string{from, to} {
			bytes[id] += len(text)
			messages[id]++
		}
	}
	w.put(configstore.PrefixServices+"a", docOf("a", 2, 10<<10))
	least := hosts
	w.run(span, func() { least = min(least, w.valid()) })
	most, mostMessages, sum := 0, 0, 0
	for id := range bytes {
		most, mostMessages, sum = max(most, bytes[id]), max(mostMessages, messages[id]), sum+bytes[id]
	}
	b.ReportMetric(float64(most)/span.Seconds(), "most-B/s")
	b.ReportMetric(float64(sum)/span.Seconds()/float64(hosts), "mean-B/s")
	b.ReportMetric(float64(mostMessages)/span.Seconds(), "most-messages/s")
	b.ReportMetric(float64(w.calls-calls)/span.Seconds(), "platform-calls/s")
	b.ReportMetric(float64(least), "least-valid")
	oldest := time.Duration(0)
	for _, n := range w.nodes {
		oldest = max(oldest, w.now.Sub(n.state.confirmed))
	}
	b.ReportMetric(oldest.Seconds(), "oldest-s")
}
