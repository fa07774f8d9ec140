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
	// RequestIDHeader is the header that servers echo in responses.
	RequestIDHeader string
	// DialTimeout bounds opening a connection; 0 means 250 ms.
	DialTimeout time.Duration
	// MaxBufferedBytes bounds the memory for responses being read, in addition
	// to a little for each; 0 means 32 MB.
	MaxBufferedBytes int64
	// Now returns the time of the host's clock.
	Now func() time.Time
}

const (
	// defaultDialTimeout bounds opening a connection. It is many times a
	// handshake's 6 ms. Waiting for the retransmission of a lost SYN after one
	// second would not help: another server has responded long before.
	defaultDialTimeout = 250 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// announces no timeout.
	defaultIdleTimeout = 10 * time.Second
	// A connection is given up when keepAliveProbes probes have not been answered,
	// the first of which is sent after keepAliveInterval without a packet.
	keepAliveInterval = time.Second
	keepAliveProbes   = 3
	// userTimeout bounds how long sent bytes may stay unacknowledged
	// (TCP_USER_TIMEOUT). It also ends the probes, so it must not be shorter than
	// they take.
	userTimeout = (1 + keepAliveProbes) * keepAliveInterval
	// readBufferBytes fits a part of a query in one read.
	readBufferBytes = 2 << 10
	// asyncWriteBytes is the size from which a request is written while the
	// response is read: a server may respond early and stop reading.
	asyncWriteBytes = 16 << 10
)

// Pool keeps connections to backend servers. It is safe for concurrent use.
type Pool struct {
	opts          Options
	bufferedBytes atomic.Int64
	mu            sync.Mutex
	idle          map[Endpoint][]*conn
	open          int
}

// Endpoint identifies an incarnation of a backend server by its ID and address.
type Endpoint struct {
	ServerID string
	Address  string
}

type conn struct {
	*net.TCPConn
	endpoint      Endpoint
	limitedReader *limitedReader
	r             *bufio.Reader
	lastUsed      time.Time
	idleTimeout   time.Duration
	// hasCarried is set once the connection has carried a call.
	hasCarried bool
}

// NewPool returns a Pool without connections.
func NewPool(opts Options) *Pool {
	if opts.DialTimeout == 0 {
		opts.DialTimeout = defaultDialTimeout
	}
	if opts.MaxBufferedBytes == 0 {
		opts.MaxBufferedBytes = defaultMaxBufferedBytes
	}
	return &Pool{opts: opts, idle: make(map[Endpoint][]*conn)}
}

// OpenConns returns how many connections are open.
func (p *Pool) OpenConns() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// takeIdle returns a usable connection that was idle for less than maxIdle, or
// nil. It closes the connections that it passes over.
func (p *Pool) takeIdle(endpoint Endpoint, maxIdle time.Duration) *conn {
	for {
		c := p.popIdle(endpoint)
		if c == nil {
			return nil
		}
		idle := p.opts.Now().Sub(c.lastUsed)
		if idle < min(c.idleTimeout, maxIdle) && c.isUsable() {
			return c
		}
		p.close(c)
	}
}

func (p *Pool) popIdle(endpoint Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[endpoint]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[endpoint] = list[:len(list)-1]
	return c
}

// putIdle returns a connection to the pool after use.
func (p *Pool) putIdle(c *conn) {
	c.lastUsed = p.opts.Now()
	p.addIdle(c)
}

func (p *Pool) addIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

func (p *Pool) close(c *conn) {
	_ = c.TCPConn.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// PruneIdle closes the connections that have been idle for too long, and those
// to servers that no longer exist.
func (p *Pool) PruneIdle(isLive func(Endpoint) bool) {
	now := p.opts.Now()
	var expired []*conn
	p.mu.Lock()
	for endpoint, list := range p.idle {
		keep := list[:0]
		gone := !isLive(endpoint)
		for _, c := range list {
			if gone || now.Sub(c.lastUsed) >= c.idleTimeout {
				expired = append(expired, c)
				continue
			}
			keep = append(keep, c)
		}
		clear(list[len(keep):])
		if len(keep) == 0 {
			delete(p.idle, endpoint)
			continue
		}
		p.idle[endpoint] = keep
	}
	p.mu.Unlock()
	for _, c := range expired {
		p.close(c)
	}
}

func (p *Pool) dial(ctx context.Context, endpoint Endpoint) (*conn, error) {
	d := net.Dialer{Timeout: p.opts.DialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	}}
	c, err := d.DialContext(ctx, "tcp", endpoint.Address)
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
	limited := &limitedReader{source: tcp}
	return &conn{TCPConn: tcp, endpoint: endpoint, limitedReader: limited, r: bufio.NewReaderSize(limited, readBufferBytes), idleTimeout: defaultIdleTimeout}, nil
}

// RefusesConnections reports whether a server's address refuses connections. It
// opens a connection only if the pool has none that is still open, and keeps it
// for at most maxIdle.
func (p *Pool) RefusesConnections(endpoint Endpoint, maxIdle time.Duration) bool {
	c := p.takeIdle(endpoint, defaultIdleTimeout)
	if c == nil {
		return IsConnRefused(p.Connect(endpoint, maxIdle))
	}
	p.addIdle(c)
	return false
}

// Connect opens a connection to a server and keeps it for at most maxIdle.
func (p *Pool) Connect(endpoint Endpoint, maxIdle time.Duration) error {
	c, err := p.dial(context.Background(), endpoint)
	if err != nil {
		return err
	}
	c.idleTimeout = min(c.idleTimeout, maxIdle)
	p.putIdle(c)
	return nil
}

// IsConnRefused reports whether an error means that nothing listens at the
// address.
func IsConnRefused(err error) bool { return errors.Is(err, unix.ECONNREFUSED) }

// isUsable reports whether the connection is open and has no unread bytes.
func (c *conn) isUsable() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && usable
}

// isTimeout reports whether an error is a passed deadline of a connection.
func isTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
