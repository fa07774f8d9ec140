package peer

import (
	"sync"

	"github.com/quic-go/quic-go"
)

// Stats is what a transport has sent and received, in bytes of UDP payload,
// and how many connections it has.
type Stats struct {
	BytesSent     uint64
	BytesReceived uint64
	Connections   int
}

// ledger adds up the traffic of connections, those that have ended included.
type ledger struct {
	mu    sync.Mutex
	ended Stats
	open  map[*quic.Conn]struct{}
}

// track counts a connection until the returned function is called.
func (l *ledger) track(c *quic.Conn) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = make(map[*quic.Conn]struct{})
	}
	l.open[c] = struct{}{}
	return func() { l.end(c) }
}

func (l *ledger) end(c *quic.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended.add(c)
	delete(l.open, c)
}

func (s *Stats) add(c *quic.Conn) {
	now := c.ConnectionStats()
	s.BytesSent += now.BytesSent
	s.BytesReceived += now.BytesReceived
}

// Stats returns the transport's traffic so far.
func (t *Transport) Stats() Stats {
	l := &t.ledger
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.ended
	s.Connections = len(l.open)
	for c := range l.open {
		s.add(c)
	}
	return s
}
