package backend

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/policy"
)

var errNoConnection = errors.New("every connection of this host's share is in use")

// serverConns holds this host's connections to one backend server.
type serverConns struct {
	// ctx ends when the pool closes.
	ctx       context.Context
	address   string
	query     *url.URL
	command   *url.URL
	protocol  document.Protocol
	transport *http.Transport
	quota     *quota

	mu   sync.Mutex
	open []*clientConn
}

func newServerConns(ctx context.Context, address string, protocol document.Protocol) *serverConns {
	p := new(http.Protocols)
	p.SetHTTP1(protocol == document.HTTP1)
	p.SetUnencryptedHTTP2(protocol == document.HTTP2)
	c := &serverConns{
		ctx: ctx, address: address, protocol: protocol, quota: newQuota(),
		query:   &url.URL{Scheme: "http", Host: address, Path: PathQuery},
		command: &url.URL{Scheme: "http", Host: address, Path: PathCommand},
	}
	c.transport = &http.Transport{Protocols: p, DisableCompression: true, DialContext: c.quota.dial}
	return c
}

// setLimit changes the share of connections. Those in excess of it are closed
// once their calls have ended; 0 removes the server.
func (c *serverConns) setLimit(n int) {
	c.quota.setLimit(n)
	c.closeExcess()
}

// closeExcess closes idle connections in excess of the share.
func (c *serverConns) closeExcess() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeFailed()
	kept := c.open[:0]
	excess := len(c.open) - c.quota.share()
	for _, conn := range c.open {
		if excess > 0 && conn.InFlight() == 0 {
			excess--
			_ = conn.Close()
			continue
		}
		kept = append(kept, conn)
	}
	clear(c.open[len(kept):])
	c.open = kept
}

// onStateChange is called when a connection may have capacity again. It must
// not lock mu, as net/http may call it from within calls made under mu.
func (c *serverConns) onStateChange(*http.ClientConn) {
	c.quota.freed.send()
	if c.quota.isOverLimit() {
		go c.closeExcess()
	}
}

// openTimeout bounds how long a connection takes to open.
const openTimeout = time.Second

// maxFreeWait bounds how long a call waits for a connection whose last call has
// just ended: that call counts as finished in the decisions slightly before
// net/http makes its connection available again.
const maxFreeWait = 50 * time.Millisecond

// acquire returns a connection with capacity for one call, and reserves it.
func (c *serverConns) acquire(ctx context.Context) (*clientConn, error) {
	limit := time.NewTimer(maxFreeWait)
	defer limit.Stop()
	for {
		freed := c.quota.freed.wait()
		if conn := c.reserve(); conn != nil {
			return conn, nil
		}
		err := c.openAndWait(ctx)
		if err == nil {
			continue
		}
		if !errors.Is(err, errNoConnection) {
			return nil, err
		}
		select {
		case <-freed:
		case <-limit.C:
			return nil, errNoConnection
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// openAndWait opens a connection and waits for it. If ctx ends first, the
// connection is opened nevertheless and serves later calls: the backend server
// may have accepted it already, and abandoning it would take it out of the quota
// too early.
func (c *serverConns) openAndWait(ctx context.Context) error {
	if c.quota.isFull() {
		return errNoConnection
	}
	opened := make(chan error, 1)
	go func() { opened <- c.openConn() }()
	select {
	case err := <-opened:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve returns a connection with capacity, reserved, or nil. It prefers the
// one opened last, so that surplus connections stay idle, and looks for failed
// ones only if none has capacity.
func (c *serverConns) reserve() *clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range slices.Backward(c.open) {
		if conn.Available() > 0 && conn.Reserve() == nil {
			return conn
		}
	}
	c.removeFailed()
	return nil
}

// openConn opens one connection. The error is errNoConnection if the share is
// used up.
func (c *serverConns) openConn() error {
	if c.quota.isFull() {
		return errNoConnection
	}
	ctx, cancel := context.WithTimeout(c.ctx, openTimeout)
	defer cancel()
	conn := new(clientConn)
	cc, err := c.transport.NewClientConn(withClientConn(ctx, conn), "http", c.address)
	if err != nil {
		return err
	}
	conn.ClientConn = cc
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.quota.share() == 0 {
		_ = cc.Close()
		return errNoConnection
	}
	c.open = append(c.open, conn)
	cc.SetStateHook(c.onStateChange)
	return nil
}

// removeFailed removes connections that have failed. The caller holds mu.
func (c *serverConns) removeFailed() {
	kept := c.open[:0]
	for _, conn := range c.open {
		if conn.Err() == nil {
			kept = append(kept, conn)
		}
	}
	clear(c.open[len(kept):])
	c.open = kept
}

// close closes every connection. drain waits until the last one is released.
func (c *serverConns) close() {
	c.quota.setLimit(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.open {
		_ = conn.Close()
	}
	c.open = nil
}

// isUnused reports whether the share is 0 and no connection is left.
func (c *serverConns) isUnused() bool { return c.quota.share() == 0 && !c.quota.inUse() }

func (c *serverConns) drain() { c.quota.drain() }

// serverKey identifies the backend server of a share. Shares with equal keys are
// added up.
type serverKey struct {
	address  string
	protocol document.Protocol
}

func keyOf(s policy.Share) serverKey {
	return serverKey{address: s.Server.Address, protocol: s.Protocol}
}
