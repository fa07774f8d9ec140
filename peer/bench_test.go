package peer

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/figmast/figmast/internal/certs"
)

// BenchmarkConnections reports the memory of one end of a connection, and the
// bytes of one question and answer.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{3, 9, 27} {
		b.Run(fmt.Sprintf("peers=%d", n), func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				connections(b, n)
				b.StartTimer()
			}
		})
	}
}

func connections(b *testing.B, n int) {
	a, err := certs.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	source := credentials(b, a, "127.0.0.1", time.Hour)
	x := listen(b, "127.0.0.1:0", source)
	var others []*hub
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
	b.ReportMetric(perQuestion(b, x, others[0]), "bytes/question")
	for _, y := range others {
		_ = y.Close()
	}
	_ = x.Close()
}

// perQuestion returns what one question and its answer take in QUIC packets,
// acknowledgements included.
func perQuestion(b *testing.B, x, y *hub) float64 {
	const questions = 50
	conn := x.connection(y.Address()).conn
	before := conn.ConnectionStats()
	for range questions {
		if err := ask(x, y, 5*time.Second); err != nil {
			b.Fatal(err)
		}
		time.Sleep(30 * time.Millisecond)
	}
	after := conn.ConnectionStats()
	return float64(after.BytesSent+after.BytesReceived-before.BytesSent-before.BytesReceived) / questions
}

func memory() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}
