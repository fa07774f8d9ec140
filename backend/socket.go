package backend

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// lingerLimit bounds how long a closed connection counts towards the share while
// the backend server has not closed its side.
const lingerLimit = time.Second

// quota counts connections as the backend server sees them: a connection is
// acquired before it is opened and released once the server has closed its side
// too. It is safe for concurrent use.
type quota struct {
	mu    sync.Mutex
	limit int
	used  int
	// allReleased is signalled when no connection is counted any more.
	allReleased *sync.Cond
	freed       *broadcast
}

func newQuota() *quota {
	q := &quota{freed: newBroadcast()}
	q.allReleased = sync.NewCond(&q.mu)
	return q
}

func (q *quota) setLimit(n int) {
	q.mu.Lock()
	q.limit = n
	q.mu.Unlock()
	q.freed.send()
}

// acquire counts one more connection, or returns false if the limit is reached.
func (q *quota) acquire() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.used >= q.limit {
		return false
	}
	q.used++
	return true
}

func (q *quota) release() {
	q.mu.Lock()
	q.used--
	if q.used == 0 {
		q.allReleased.Broadcast()
	}
	q.mu.Unlock()
	q.freed.send()
}

// drain waits until every connection is released.
func (q *quota) drain() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.used > 0 {
		q.allReleased.Wait()
	}
}

// isFull reports whether the limit is reached.
func (q *quota) isFull() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used >= q.limit
}

// isOverLimit reports whether there are more connections than the limit allows,
// as after it was lowered.
func (q *quota) isOverLimit() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used > q.limit
}

// inUse reports whether any connection is counted.
func (q *quota) inUse() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used > 0
}

// share returns the limit: this host's share of the server's connections.
func (q *quota) share() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.limit
}

// dial acquires and opens a connection. The error is errNoConnection if the
// limit is reached.
func (q *quota) dial(ctx context.Context, _, address string) (net.Conn, error) {
	if !q.acquire() {
		return nil, errNoConnection
	}
	tcp, err := dialTCP(ctx, address)
	if err != nil {
		q.releaseFailed(ctx)
		return nil, err
	}
	s := &socket{TCPConn: tcp, quota: q}
	if conn, ok := ctx.Value(clientConnKey{}).(*clientConn); ok {
		conn.socket = s
	}
	return s, nil
}

// releaseFailed releases a connection that could not be opened: at once if the
// server refused it, after lingerLimit if this side gave up, as the server may
// have accepted it.
func (q *quota) releaseFailed(ctx context.Context) {
	if ctx.Err() == nil {
		q.release()
		return
	}
	time.AfterFunc(lingerLimit, q.release)
}

// dialTCP has the kernel choose the local port when it connects: a socket that is
// bound to port 0 first needs a port that no other connection uses.
func dialTCP(ctx context.Context, address string) (*net.TCPConn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.(*net.TCPConn), nil
}

// socket is a connection that releases its share of the quota once both sides
// have closed it.
type socket struct {
	*net.TCPConn
	quota  *quota
	closed atomic.Bool
	// write is the guard of the call that is being written; nil between calls.
	write atomic.Pointer[writeGuard]
}

// Write calls the guard right before it writes.
func (s *socket) Write(b []byte) (int, error) {
	if g := s.write.Load(); g != nil && !g.allows() {
		return 0, errGuard
	}
	return s.TCPConn.Write(b)
}

// ReadFrom keeps net/http from bypassing Write.
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

// Close closes this side for writing, and the connection once the server has
// closed its side or lingerLimit has passed.
func (s *socket) Close() error {
	if s.closed.Swap(true) {
		return net.ErrClosed
	}
	err := s.CloseWrite()
	// Makes a read that net/http has in progress return.
	_ = s.SetReadDeadline(time.Unix(1, 0))
	go s.linger()
	return err
}

func (s *socket) linger() {
	defer s.quota.release()
	_ = s.SetReadDeadline(time.Now().Add(lingerLimit))
	_, _ = io.Copy(io.Discard, s.TCPConn)
	_ = s.TCPConn.Close()
}
