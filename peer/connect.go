package peer

import (
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// connection is a connection to one address, or an attempt to open one.
type connection struct {
	// done is closed when the attempt has ended; conn and err are valid then.
	done chan struct{}
	conn *quic.Conn
	err  error
}

// isUsable reports whether the connection is open or being opened.
func (c *connection) isUsable() bool {
	select {
	case <-c.done:
		return c.err == nil && c.conn.Context().Err() == nil
	default:
		return true
	}
}

// hasConn reports whether the attempt has resulted in conn.
func (c *connection) hasConn(conn *quic.Conn) bool {
	select {
	case <-c.done:
		return c.conn == conn
	default:
		return false
	}
}

// connect returns the connection to an address. Concurrent callers share one
// attempt to open it.
func (t *Transport) connect(ctx context.Context, address string) (*quic.Conn, error) {
	c := t.connectionTo(address)
	select {
	case <-c.done:
		return c.conn, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// connectionTo returns the connection to an address, or starts an attempt to open
// one.
func (t *Transport) connectionTo(address string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[address]; c != nil && c.isUsable() {
		return c
	}
	c := &connection{done: make(chan struct{})}
	if err := t.ctx.Err(); err != nil {
		c.err = err
		close(c.done)
		return c
	}
	t.conns[address] = c
	t.goroutines.Add(1)
	go t.dial(address, c)
	return c
}

// dial opens a connection, waits until it is closed and then removes it from
// conns.
func (t *Transport) dial(address string, c *connection) {
	defer t.goroutines.Done()
	c.conn, c.err = t.dialQUIC(address)
	close(c.done)
	if c.err == nil {
		stop := closeAtExpiry(c.conn)
		markClosed := t.traffic.track(c.conn)
		<-c.conn.Context().Done()
		markClosed()
		stop()
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == c {
		delete(t.conns, address)
	}
}

func (t *Transport) dialQUIC(address string) (*quic.Conn, error) {
	conf, err := t.clientTLS(address)
	if err != nil {
		return nil, err
	}
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(t.ctx, handshakeTimeout)
	defer cancel()
	return t.quic.Dial(ctx, addr, conf, quicConfig())
}

// closeAtExpiry closes a connection when the peer's certificate expires, unless
// the returned function is called before.
func closeAtExpiry(c *quic.Conn) (stop func()) {
	certificates := c.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return func() {}
	}
	left := time.Until(certificates[0].NotAfter)
	timer := time.AfterFunc(left, func() { _ = c.CloseWithError(codeExpired, "the certificate has expired") })
	return func() { timer.Stop() }
}

// forget makes the next request open a new connection: a peer that is silent may
// have been replaced, which an open connection reveals only at its idle timeout.
// Other requests on the old connection continue.
func (t *Transport) forget(address string, c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.conns[address]; known != nil && known.hasConn(c) {
		delete(t.conns, address)
	}
}
