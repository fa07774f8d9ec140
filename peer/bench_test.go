package peer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/figmast/figmast/internal/certs"
)

// BenchmarkConnections reports the memory of one end of a connection, and the
// bytes of one request and its answer.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				measureConnections(b, n)
				b.StartTimer()
			}
		})
	}
}

func measureConnections(b *testing.B, n int) {
	a, err := certs.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	source := credentials(b, a, "127.0.0.1", time.Hour)
	x := listen(b, "127.0.0.1:0", source)
	var others []*testHost
	for range n {
		others = append(others, listen(b, "127.0.0.1:0", source))
	}
	before := memory()
	for _, y := range others {
		if err := ask(x, y, 5*time.Second); err != nil {
			b.Fatal(err)
		}
	}
	time.Sleep(200 * time.Millisecond)
	b.ReportMetric(float64(memory()-before)/float64(2*n), "bytes/end")
	b.ReportMetric(bytesPerRequest(b, x, others[0]), "bytes/question")
	for _, y := range others {
		_ = y.Close()
	}
	_ = x.Close()
}

// bytesPerRequest returns the size of one request and its answer in QUIC packets,
// acknowledgements included.
func bytesPerRequest(b *testing.B, x, y *testHost) float64 {
	const requests = 50
	conn := x.connectionTo(y.Address()).conn
	before := conn.ConnectionStats()
	for range requests {
		if err := ask(x, y, 5*time.Second); err != nil {
			b.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	after := conn.ConnectionStats()
	return float64(after.BytesSent+after.BytesReceived-before.BytesSent-before.BytesReceived) / requests
}

func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
