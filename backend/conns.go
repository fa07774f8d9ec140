package backend

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/policy"
)

var errNoConnection = errors.New("every connection of this host's share is in use")

// conns are this host's connections to one backend server.
type conns struct {
	address   string
	transport *http.Transport

	mu sync.Mutex
	// limit is this host's share of the server's connections.
	limit int
	// opening counts connections that are being opened.
	opening int
	open    []*http.ClientConn
	closed  bool
}

func newConns(address string, protocol document.Protocol) *conns {
	p := new(http.Protocols)
	p.SetHTTP1(protocol == document.HTTP1)
	p.SetUnencryptedHTTP2(protocol == document.HTTP2)
	t := &http.Transport{Protocols: p, DisableCompression: true}
	return &conns{address: address, transport: t}
}

// setLimit changes the share; idle connections above it are closed.
func (c *conns) setLimit(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit = n
	kept := c.open[:0]
	excess := len(c.open) - n
	for _, cc := range c.open {
		if excess > 0 && cc.InFlight() == 0 {
			excess--
			_ = cc.Close()
			continue
		}
		kept = append(kept, cc)
	}
	c.open = kept
}

// get returns a connection with room for one call, reserved.
func (c *conns) get(ctx context.Context) (*http.ClientConn, error) {
	c.mu.Lock()
	c.prune()
	for _, cc := range c.open {
		if cc.Available() > 0 && cc.Reserve() == nil {
			c.mu.Unlock()
			return cc, nil
		}
	}
	if c.closed || len(c.open)+c.opening >= c.limit {
		c.mu.Unlock()
		return nil, errNoConnection
	}
	c.opening++
	c.mu.Unlock()
	return c.dial(ctx, true)
}

// dial opens a connection that opening already counts.
func (c *conns) dial(ctx context.Context, reserve bool) (*http.ClientConn, error) {
	cc, err := c.transport.NewClientConn(ctx, "http", c.address)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opening--
	if err != nil {
		return nil, err
	}
	if c.closed {
		_ = cc.Close()
		return nil, errNoConnection
	}
	if reserve {
		if err := cc.Reserve(); err != nil {
			_ = cc.Close()
			return nil, err
		}
	}
	c.open = append(c.open, cc)
	return cc, nil
}

// fill opens one connection if the share leaves room, and reports whether
// there may be room for more.
func (c *conns) fill(ctx context.Context) bool {
	c.mu.Lock()
	c.prune()
	if c.closed || len(c.open)+c.opening >= c.limit {
		c.mu.Unlock()
		return false
	}
	c.opening++
	c.mu.Unlock()
	_, err := c.dial(ctx, false)
	return err == nil
}

// prune drops connections that have failed. The caller holds mu.
func (c *conns) prune() {
	kept := c.open[:0]
	for _, cc := range c.open {
		if cc.Err() == nil {
			kept = append(kept, cc)
		}
	}
	clear(c.open[len(kept):])
	c.open = kept
}

func (c *conns) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for _, cc := range c.open {
		_ = cc.Close()
	}
	c.open = nil
}

// connsKey tells when two shares are of the same backend server.
type connsKey struct {
	address  string
	protocol document.Protocol
}

func keyOf(s policy.Share) connsKey {
	return connsKey{address: s.Server.Address, protocol: s.Protocol}
}
