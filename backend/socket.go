package backend

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// lingerLimit bounds how long a closed connection keeps its place in the
// share while the backend server has not closed its side.
const lingerLimit = time.Second

// places counts connections as the backend server sees them: a place is taken
// before a connection is opened and given back once the server has closed its
// side too. It is safe for concurrent use.
type places struct {
	mu    sync.Mutex
	limit int
	used  int
	// idle is signalled when no place is used.
	idle  *sync.Cond
	freed *broadcast
}

func newPlaces() *places {
	p := &places{freed: newBroadcast()}
	p.idle = sync.NewCond(&p.mu)
	return p
}

func (p *places) setLimit(n int) {
	p.mu.Lock()
	p.limit = n
	p.mu.Unlock()
	p.freed.send()
}

// take reports whether there was a place left, and takes it.
func (p *places) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.used >= p.limit {
		return false
	}
	p.used++
	return true
}

func (p *places) release() {
	p.mu.Lock()
	p.used--
	if p.used == 0 {
		p.idle.Broadcast()
	}
	p.mu.Unlock()
	p.freed.send()
}

// drain waits until no place is used.
func (p *places) drain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for p.used > 0 {
		p.idle.Wait()
	}
}

// full reports whether every place is taken.
func (p *places) full() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used >= p.limit
}

// over reports whether more places are taken than the limit now allows.
func (p *places) over() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used > p.limit
}

// taken reports whether any place is.
func (p *places) taken() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used > 0
}

// share returns the limit.
func (p *places) share() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limit
}

// dial takes a place and opens a connection in it. The error is
// errNoConnection when no place is left.
func (p *places) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if !p.take() {
		return nil, errNoConnection
	}
	tcp, err := dialTCP(ctx, address)
	if err != nil {
		p.releaseFailed(ctx)
		return nil, err
	}
	s := &socket{TCPConn: tcp, places: p}
	if l, ok := ctx.Value(linkKey{}).(*link); ok {
		l.socket = s
	}
	return s, nil
}

// releaseFailed gives back the place of a connection that could not be
// opened: at once when the server refused it, after lingerLimit when this side
// gave up, as the server may have taken it.
func (p *places) releaseFailed(ctx context.Context) {
	if ctx.Err() == nil {
		p.release()
		return
	}
	time.AfterFunc(lingerLimit, p.release)
}

// dialTCP leaves the local port to the kernel at connect time: a socket bound
// to port 0 first needs a port that no other connection has.
func dialTCP(ctx context.Context, address string) (*net.TCPConn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// socket is a connection that gives its place back when both sides have
// closed it.
type socket struct {
	*net.TCPConn
	places *places
	closed atomic.Bool
	// write guards the call that is being written; nil between calls.
	write atomic.Pointer[writeGuard]
}

// Write asks the guard of the call right before the bytes leave.
func (s *socket) Write(b []byte) (int, error) {
	if g := s.write.Load(); g != nil && !g.allows() {
		return 0, errGuard
	}
	return s.TCPConn.Write(b)
}

// ReadFrom keeps net/http from writing past Write.
func (s *socket) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{s}, r)
}

// Read fails once this side has closed the connection.
func (s *socket) Read(b []byte) (int, error) {
	if s.closed.Load() {
		return 0, net.ErrClosed
	}
	n, err := s.TCPConn.Read(b)
	if s.closed.Load() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes this side, and the rest when the other side has followed or
// lingerLimit has passed.
func (s *socket) Close() error {
	if s.closed.Swap(true) {
		return net.ErrClosed
	}
	err := s.CloseWrite()
	// A read that net/http has in progress must return now.
	_ = s.SetReadDeadline(time.Unix(1, 0))
	go s.linger()
	return err
}

func (s *socket) linger() {
	defer s.places.release()
	_ = s.SetReadDeadline(time.Now().Add(lingerLimit))
	_, _ = io.Copy(io.Discard, s.TCPConn)
	_ = s.TCPConn.Close()
}
