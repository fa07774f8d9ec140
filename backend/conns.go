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

// conns are this host's connections to one backend server.
type conns struct {
	// ctx ends when the pool closes.
	ctx       context.Context
	address   string
	query     *url.URL
	command   *url.URL
	protocol  document.Protocol
	transport *http.Transport
	places    *places

	mu   sync.Mutex
	open []*link
}

func newConns(ctx context.Context, address string, protocol document.Protocol) *conns {
	p := new(http.Protocols)
	p.SetHTTP1(protocol == document.HTTP1)
	p.SetUnencryptedHTTP2(protocol == document.HTTP2)
	c := &conns{
		ctx: ctx, address: address, protocol: protocol, places: newPlaces(),
		query:   &url.URL{Scheme: "http", Host: address, Path: PathQuery},
		command: &url.URL{Scheme: "http", Host: address, Path: PathCommand},
	}
	c.transport = &http.Transport{Protocols: p, DisableCompression: true, DialContext: c.places.dial}
	return c
}

// setLimit changes the share. Connections above it are closed once their
// calls have ended; 0 retires the server.
func (c *conns) setLimit(n int) {
	c.places.setLimit(n)
	c.trim()
}

// trim closes idle connections above the share.
func (c *conns) trim() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prune()
	kept := c.open[:0]
	excess := len(c.open) - c.places.share()
	for _, l := range c.open {
		if excess > 0 && l.InFlight() == 0 {
			excess--
			_ = l.Close()
			continue
		}
		kept = append(kept, l)
	}
	clear(c.open[len(kept):])
	c.open = kept
}

// changed is called when a connection may have room again. It must not take
// mu, as net/http may call it from within calls made under mu.
func (c *conns) changed(*http.ClientConn) {
	c.places.freed.send()
	if c.places.over() {
		go c.trim()
	}
}

// openTimeout bounds how long a connection takes to open.
const openTimeout = time.Second

// freeWait bounds how long a call waits for a connection whose last call has
// just ended: the decisions count a call as over a moment before net/http
// hands its connection back.
const freeWait = 50 * time.Millisecond

// get returns a connection with room for one call, reserved.
func (c *conns) get(ctx context.Context) (*link, error) {
	limit := time.NewTimer(freeWait)
	defer limit.Stop()
	for {
		freed := c.places.freed.wait()
		if l := c.reserve(); l != nil {
			return l, nil
		}
		err := c.openFor(ctx)
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

// openFor opens a connection and waits for it. When ctx ends first, the
// connection is opened all the same and serves later calls: the backend
// server may have taken it already, and giving it up would free its place too
// early.
func (c *conns) openFor(ctx context.Context) error {
	if c.places.full() {
		return errNoConnection
	}
	opened := make(chan error, 1)
	go func() { opened <- c.openOne() }()
	select {
	case err := <-opened:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve returns a connection with room, or nil. It takes the one opened
// last, so that connections beyond need stay idle, and looks for failed ones
// only when none has room.
func (c *conns) reserve() *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range slices.Backward(c.open) {
		if l.Available() > 0 && l.Reserve() == nil {
			return l
		}
	}
	c.prune()
	return nil
}

// openOne opens one connection. The error is errNoConnection when the share is
// used up.
func (c *conns) openOne() error {
	if c.places.full() {
		return errNoConnection
	}
	ctx, cancel := context.WithTimeout(c.ctx, openTimeout)
	defer cancel()
	l := new(link)
	cc, err := c.transport.NewClientConn(withLink(ctx, l), "http", c.address)
	if err != nil {
		return err
	}
	l.ClientConn = cc
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places.share() == 0 {
		_ = cc.Close()
		return errNoConnection
	}
	c.open = append(c.open, l)
	cc.SetStateHook(c.changed)
	return nil
}

// prune drops connections that have failed. The caller holds mu.
func (c *conns) prune() {
	kept := c.open[:0]
	for _, l := range c.open {
		if l.Err() == nil {
			kept = append(kept, l)
		}
	}
	clear(c.open[len(kept):])
	c.open = kept
}

// close closes every connection; drain waits for the last.
func (c *conns) close() {
	c.places.setLimit(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.open {
		_ = l.Close()
	}
	c.open = nil
}

// unused reports whether the server is retired and its last connection gone.
func (c *conns) unused() bool { return c.places.share() == 0 && !c.places.taken() }

func (c *conns) drain() { c.places.drain() }

// connsKey tells when two shares are of the same backend server.
type connsKey struct {
	address  string
	protocol document.Protocol
}

func keyOf(s policy.Share) connsKey {
	return connsKey{address: s.Server.Address, protocol: s.Protocol}
}
