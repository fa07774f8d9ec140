package peer

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Stats counts the bytes of UDP payload that a transport has sent and received,
// and its open connections.
type Stats struct {
	BytesSent     uint64
	BytesReceived uint64
	Connections   int
}

// traffic adds up the bytes of all connections, closed ones included.
type traffic struct {
	mu     sync.Mutex
	closed Stats
	open   map[*quic.Conn]struct{}
}

// track counts a connection as open until the returned function is called.
func (tr *traffic) track(c *quic.Conn) (markClosed func()) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.open == nil {
		tr.open = make(map[*quic.Conn]struct{})
	}
	tr.open[c] = struct{}{}
	return func() { tr.markClosed(c) }
}

func (tr *traffic) markClosed(c *quic.Conn) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.closed.add(c)
	delete(tr.open, c)
}

func (s *Stats) add(c *quic.Conn) {
	now := c.ConnectionStats()
	s.BytesSent += now.BytesSent
	s.BytesReceived += now.BytesReceived
}

// Stats returns the transport's traffic so far.
func (t *Transport) Stats() Stats {
	tr := &t.traffic
	tr.mu.Lock()
	defer tr.mu.Unlock()
	s := tr.closed
	s.Connections = len(tr.open)
	for c := range tr.open {
		s.add(c)
	}
	return s
}
