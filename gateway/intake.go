package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/sys/unix"

	"github.com/figmast/figmast/intake"
)

const (
	// callerSocketShare leaves the other sockets to backend servers, other hosts and
	// the metadata store.
	callerSocketShare = 0.75
	// Callers' connections may take a quarter of the memory, at connectionBytes
	// each: the buffers and the stack of one that is receiving a head.
	connectionMemoryDivisor = 4
	connectionBytes         = 32 << 10
	minCallerConnections    = 16
	// processFiles is how many of the process's files are no sockets.
	processFiles = 64
	// defaultIntakeBytes bounds bodies and answers if the memory is not known.
	defaultIntakeBytes = 32 << 20
)

// intakeOptions returns the bounds of callers' connections on a host whose process
// may open a number of files.
func intakeOptions(s Settings, openFiles int) intake.Options {
	sockets := openFiles - processFiles
	if s.MaxSockets > 0 {
		sockets = min(sockets, s.MaxSockets)
	}
	o := intake.Options{MaxConnections: int(callerSocketShare * float64(sockets)), MaxBytes: defaultIntakeBytes}
	if s.MemoryBytes > 0 {
		o.MaxConnections = min(o.MaxConnections, int(s.MemoryBytes/connectionMemoryDivisor/connectionBytes))
		o.MaxBytes = s.MemoryBytes / bufferDivisor
	}
	o.MaxConnections = max(o.MaxConnections, minCallerConnections)
	return o
}

// openFilesLimit returns how many files the process may open.
func openFilesLimit() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, err
	}
	return int(min(limit.Cur, maxOpenFiles)), nil
}

const (
	// maxOpenFiles stands for no limit.
	maxOpenFiles = 1 << 20
	// maxRoomWait is how long new connections wait while there is no room for them;
	// after that they are closed at once, so that callers try another host.
	maxRoomWait      = time.Second
	roomPollInterval = 10 * time.Millisecond
)

// callerConns holds the callers' connections and closes those that the Table gives
// up. It is safe for concurrent use.
type callerConns struct {
	log     *log.Logger
	metrics *hostMetrics
	now     func() time.Time

	mu    sync.Mutex
	table *intake.Table
	most  int
	// fullSince is when there was first no room for a connection, or zero.
	fullSince time.Time
	lines     lineLimiter
}

func newCallerConns(o intake.Options, now func() time.Time, m *hostMetrics, l *log.Logger) *callerConns {
	c := &callerConns{log: l, metrics: m, now: now, table: intake.NewTable(o)}
	m.registerIntake(c)
	return c
}

// counts returns the number of connections, now and at most, and the bytes held.
func (c *callerConns) counts() (open, most int, held int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Len(), c.most, c.table.Held()
}

// callerConn is a caller's connection.
type callerConn struct {
	net.Conn
	conns   *callerConns
	account *intake.Conn
}

// add returns the connection as one of the Table. While all others have requests in
// progress, it waits for one of them to end, and returns nil, and closes the
// connection, once that has lasted for maxRoomWait.
func (c *callerConns) add(conn net.Conn) *callerConn {
	out := &callerConn{Conn: conn, conns: c}
	for {
		evicted, fullFor := c.open(out)
		if evicted != nil {
			c.evict(evicted)
		}
		if out.account != nil {
			return out
		}
		if fullFor >= maxRoomWait {
			c.metrics.connectionsRefused.Inc()
			c.logLimited("connection refused, as all others have requests in progress", "caller", conn.RemoteAddr().String(), "full_for_ms", fullFor.Milliseconds())
			_ = conn.Close()
			return nil
		}
		time.Sleep(roomPollInterval)
	}
}

// open adds the connection to the Table, or returns for how long there has been no
// room for one.
func (c *callerConns) open(out *callerConn) (evicted *intake.Conn, fullFor time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.now()
	out.account, evicted = c.table.Open(now, out)
	if out.account != nil {
		c.most = max(c.most, c.table.Len())
		c.fullSince = time.Time{}
		return evicted, 0
	}
	if c.fullSince.IsZero() {
		c.fullSince = now
	}
	return nil, now.Sub(c.fullSince)
}

// evict closes a connection that the Table has given up.
func (c *callerConns) evict(a *intake.Conn) {
	c.metrics.connectionsEvicted.Inc()
	open, _, held := c.counts()
	c.logLimited("connection closed to make room", "last_phase", a.Phase().String(), "for_ms", c.now().Sub(a.Since()).Milliseconds(), "connections", open, "bytes_held", held)
	_ = a.Closer.Close()
}

// logLimited logs within the limit of log lines.
func (c *callerConns) logLimited(message string, fields ...any) {
	c.mu.Lock()
	skipped, ok := c.lines.admit(c.now())
	c.mu.Unlock()
	if !ok {
		return
	}
	if skipped > 0 {
		fields = append(fields, "lines_left_out", skipped)
	}
	c.log.Warn(message, fields...)
}

// enter records that a connection enters a phase, and reports whether it is still
// open.
func (c *callerConns) enter(a *intake.Conn, p intake.Phase) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Enter(c.now(), a, p)
}

func (c *callerConns) remove(a *intake.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Remove(a)
}

// holding is what a request holds on the account of its connection.
type holding struct {
	conns    *callerConns
	conn     *intake.Conn
	bytes    int64 // guarded by conns.mu
	hasEnded bool
}

// Reserve implements membuf.Account. Nothing is reserved once the request has ended.
func (h *holding) Reserve(n int64) bool {
	ok, evicted := h.reserve(n)
	for _, v := range evicted {
		h.conns.evict(v)
	}
	return ok
}

func (h *holding) reserve(n int64) (ok bool, evicted []*intake.Conn) {
	h.conns.mu.Lock()
	defer h.conns.mu.Unlock()
	if h.hasEnded {
		return false, nil
	}
	if ok, evicted = h.conns.table.Reserve(h.conns.now(), h.conn, n); ok {
		h.bytes += n
	}
	return ok, evicted
}

// Release implements membuf.Account.
func (h *holding) Release(n int64) {
	h.conns.mu.Lock()
	defer h.conns.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	h.conns.table.Release(h.conn, n)
}

// hold reserves the memory of an answer until the request has ended.
func (h *holding) hold(size int) bool { return size <= freeBytes || h.Reserve(int64(size)) }

// end ends the request. The connection's account keeps what is reserved until the
// answer has been written.
func (h *holding) end() {
	h.conns.mu.Lock()
	defer h.conns.mu.Unlock()
	h.hasEnded, h.bytes = true, 0
}

// Close closes the connection and removes it from the Table.
func (c *callerConn) Close() error {
	c.conns.remove(c.account)
	return c.Conn.Close()
}

// CloseWrite closes the sending side after the last answer.
func (c *callerConn) CloseWrite() error {
	c.conns.enter(c.account, intake.Lingering)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

type accountKey struct{}

// connContext makes a connection's account available to its requests.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, accountKey{}, c.(*callerConn).account)
}

// connState follows the connections that net/http keeps for further requests.
func connState(c net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		conn := c.(*callerConn)
		conn.conns.enter(conn.account, intake.Idle)
	}
}
