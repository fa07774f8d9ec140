package peer

import (
	"context"
	"net"
	"time"

	"github.com/quic-go/quic-go"
)

// connection is a connection to one address, or the attempt to get one.
type connection struct {
	// done is closed when the attempt has ended; conn and err hold then.
	done chan struct{}
	conn *quic.Conn
	err  error
}

// usable reports whether the connection stands or is being made.
func (c *connection) usable() bool {
	select {
	case <-c.done:
		return c.err == nil && c.conn.Context().Err() == nil
	default:
		return true
	}
}

// made reports whether the attempt has ended with that connection.
func (c *connection) made(conn *quic.Conn) bool {
	select {
	case <-c.done:
		return c.conn == conn
	default:
		return false
	}
}

// connect returns the connection to an address. Callers at the same time
// share one attempt.
func (t *Transport) connect(ctx context.Context, address string) (*quic.Conn, error) {
	c := t.connection(address)
	select {
	case <-c.done:
		return c.conn, c.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (t *Transport) connection(address string) *connection {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.conns[address]; c != nil && c.usable() {
		return c
	}
	c := &connection{done: make(chan struct{})}
	if err := t.ctx.Err(); err != nil {
		c.err = err
		close(c.done)
		return c
	}
	t.conns[address] = c
	t.serving.Add(1)
	go t.dial(address, c)
	return c
}

// dial makes a connection and forgets it when it has ended.
func (t *Transport) dial(address string, c *connection) {
	defer t.serving.Done()
	c.conn, c.err = t.dialQUIC(address)
	close(c.done)
	if c.err == nil {
		stop := closeAtExpiry(c.conn)
		end := t.ledger.track(c.conn)
		<-c.conn.Context().Done()
		end()
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

// closeAtExpiry closes a connection when the peer's certificate expires, until
// the returned function is called.
func closeAtExpiry(c *quic.Conn) (stop func()) {
	certificates := c.ConnectionState().TLS.PeerCertificates
	if len(certificates) == 0 {
		return func() {}
	}
	left := time.Until(certificates[0].NotAfter)
	timer := time.AfterFunc(left, func() { _ = c.CloseWithError(codeExpired, "the certificate has expired") })
	return func() { timer.Stop() }
}

// forget makes the next request dial anew: a peer that is silent may have been
// replaced, which an open connection shows only when it idles out. Other
// requests on the connection go on.
func (t *Transport) forget(address string, c *quic.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known := t.conns[address]; known != nil && known.made(c) {
		delete(t.conns, address)
	}
}
