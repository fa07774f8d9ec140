package http1

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Options configure a Pool.
type Options struct {
	// RequestIDHeader is the header that an answer echoes.
	RequestIDHeader string
	// DialTimeout bounds opening a connection; 0 means 250 ms.
	DialTimeout time.Duration
	// MaxBufferedBytes bounds the memory held by answers that are being read, in
	// bytes, beside a little for each; 0 means 32 MB.
	MaxBufferedBytes int64
	// Now returns the host's time.
	Now func() time.Time
}

const (
	// dialTimeout bounds opening a connection: many handshakes of 6 ms. A lost
	// opening packet is sent again after a second, when another server has
	// long answered.
	dialTimeout = 250 * time.Millisecond
	// idleFor is how long a connection is kept to a server that states no
	// timeout.
	idleFor = 10 * time.Second
	// freshFor is how lately a connection must have been used for a call that
	// may not run twice.
	freshFor = 250 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged.
	userTimeout = 3 * time.Second
	// readBuffer holds a part of a query in one read.
	readBuffer = 2 << 10
	// writeAside is the size of a request from which on it is written while
	// the answer is read: a server may answer early and stop reading.
	writeAside = 16 << 10
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	opts    Options
	reading atomic.Int64
	mu      sync.Mutex
	idle    map[Endpoint][]*conn
	open    int
}

// Endpoint names the lifetime of a server and its address.
type Endpoint struct {
	ServerID string
	Address  string
}

type conn struct {
	*net.TCPConn
	peer  Endpoint
	meter *meter
	r     *bufio.Reader
	used  time.Time
	limit time.Duration
}

// NewPool returns a Pool without connections.
func NewPool(opts Options) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = dialTimeout
	}
	if opts.MaxBufferedBytes == 0 {
		opts.MaxBufferedBytes = defaultReading
	}
	return &Pool{opts: opts, idle: make(map[Endpoint][]*conn)}
}

// OpenConns returns how many connections are open.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// take returns an idle connection on which nothing has arrived, or nil.
func (p *Pool) take(peer Endpoint, within time.Duration) *conn {
	for {
		c := p.pop(peer)
		if c == nil {
			return nil
		}
		idle := p.opts.Now().Sub(c.used)
		if idle < min(c.limit, within) && c.quiet() {
			return c
		}
		p.close(c)
	}
}

func (p *Pool) pop(peer Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[peer]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[peer] = list[:len(list)-1]
	return c
}

// put keeps a connection that has just been used.
func (p *Pool) put(c *conn) {
	c.used = p.opts.Now()
	p.keep(c)
}

func (p *Pool) keep(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.peer] = append(p.idle[c.peer], c)
}

func (p *Pool) close(c *conn) {
	_ = c.TCPConn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// PruneIdle closes connections that have been idle for too long, and those to
// servers that are gone.
func (p *Pool) PruneIdle(live func(Endpoint) bool) {
	now := p.opts.Now()
	var old []*conn
	p.mu.Lock()
	for peer, list := range p.idle {
		keep := list[:0]
		gone := !live(peer)
		for _, c := range list {
			if gone || now.Sub(c.used) >= c.limit {
				old = append(old, c)
				continue
			}
			keep = append(keep, c)
		}
		clear(list[len(keep):])
		if len(keep) == 0 {
			delete(p.idle, peer)
			continue
		}
		p.idle[peer] = keep
	}
	p.mu.Unlock()
	for _, c := range old {
		p.close(c)
	}
}

func (p *Pool) dial(ctx context.Context, peer Endpoint) (*conn, error) {
	d := net.Dialer{Timeout: p.opts.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: userTimeout, Interval: time.Second, Count: 3,
	}}
	c, err := d.DialContext(ctx, "tcp", peer.Address)
	if err != nil {
		return nil, err
	}
	tcp := c.(*net.TCPConn)
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
	}
	p.mu.Lock()
	p.open++
	p.mu.Unlock()
	m := &meter{from: tcp}
	return &conn{TCPConn: tcp, peer: peer, meter: m, r: bufio.NewReaderSize(m, readBuffer), limit: idleFor}, nil
}

// RefusesConnections reports whether nothing takes connections at a server's address. It
// opens a connection only where none is kept that is still open, and keeps it
// for that long.
func (p *Pool) RefusesConnections(peer Endpoint, keepIdle time.Duration) bool {
	c := p.take(peer, idleFor)
	if c == nil {
		var err error
		if c, err = p.dial(context.Background(), peer); err != nil {
			return IsConnRefused(err)
		}
		c.limit, c.used = min(c.limit, keepIdle), p.opts.Now()
	}
	p.keep(c)
	return false
}

// IsConnRefused reports whether an error says that nothing listens at the address.
func IsConnRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }

// quiet reports whether the connection is open and nothing has arrived on it.
func (c *conn) quiet() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// timedOut reports whether an error is a connection's deadline.
func timedOut(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
