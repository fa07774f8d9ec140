package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/figmast/figmast/document"
)

// BenchmarkCall measures the decisions for one leaf call.
func BenchmarkCall(b *testing.B) {
	for _, leaves := range []int{30, 300, 3300} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) {
			doc := shape{leaves: leaves, servers: 3, connections: 50, centres: 3}.doc()
			r := routers(9, 3, Options{}, doc)[0]
			b.ReportAllocs()
			b.ResetTimer()
			runCalls(b, r, leaves)
		})
	}
	b.Run("leaves=3300/hosts=620", func(b *testing.B) {
		hosts := hostList(620, 6)
		r := newTestRouter(1, Options{})
		r.Apply(epoch, viewOf(hosts[0], hosts, largestDocument()))
		b.ReportAllocs()
		b.ResetTimer()
		runCalls(b, r, 3300)
	})
}

// largestDocument returns one service as large as all services of the largest
// deployment together.
func largestDocument() *document.Service {
	return shape{leaves: 3300, servers: 3, connections: 50, centres: 6}.doc()
}

func runCalls(b *testing.B, r *Router, leaves int) {
	picks := make([]PickInfo, leaves)
	for i := range picks {
		picks[i] = PickInfo{Service: "svc", Leaf: fmt.Sprintf("leaf%d", i), Fingerprint: uint64(i)}
	}
	now := epoch
	for i := range b.N {
		p := picks[i%leaves]
		now = now.Add(50 * time.Microsecond)
		srv, _ := r.Pick(now, p)
		r.Begin(now, srv)
		r.Holder(srv)
		r.HedgeDelay(p.Service, p.Leaf)
		r.Done(now, srv, Observation{Latency: time.Duration(1+i%5) * time.Millisecond, Fingerprint: p.Fingerprint})
	}
}

// BenchmarkFleetChange measures the arrival and departure of one host in the
// largest deployment.
func BenchmarkFleetChange(b *testing.B) {
	doc := largestDocument()
	hosts := hostList(621, 6)
	views := []int{620, 621}
	r := newTestRouter(1, Options{})
	r.Apply(epoch, viewOf(hosts[0], hosts[:620], doc))
	b.ResetTimer()
	for i := range b.N {
		r.Apply(epoch, viewOf(hosts[0], hosts[:views[i%2]], doc))
	}
}

// BenchmarkFirstView measures the first view of a new host in the largest
// deployment.
func BenchmarkFirstView(b *testing.B) {
	doc := largestDocument()
	hosts := hostList(620, 6)
	b.ReportAllocs()
	for range b.N {
		r := newTestRouter(1, Options{})
		r.Apply(epoch, viewOf(hosts[0], hosts, doc))
	}
}
