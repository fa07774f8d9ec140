// Package intake decides which callers' connections a host keeps open, and how much
// memory their requests and answers may hold. It answers crowds of clients that are
// each within the limits of one request: many connections at once, bodies that never
// end, answers that are not read.
//
// When a bound is reached, the connections that have cost the most without a request
// being served are closed, so that ordinary callers are still taken.
package intake

import (
	"io"
	"time"
)

// Options configures a Table.
type Options struct {
	// MaxConnections bounds the callers' connections.
	MaxConnections int
	// MaxBytes bounds the bytes of request bodies, and of answers that are being
	// written, over all connections.
	MaxBytes int64
}

// Phase is what a connection is used for.
type Phase int

// Phases of a connection.
const (
	// Waiting connections have not been used yet, Idle ones wait for a further
	// request. Both may hold a part of a head.
	Waiting Phase = iota
	Idle
	// Receiving connections hold a part of a request's body.
	Receiving
	// Serving connections have a complete request, or its answer is ready.
	Serving
	// Sending connections are being written an answer.
	Sending
	// Lingering connections have been sent their last answer.
	Lingering
)

var phaseNames = map[Phase]string{
	Waiting: "waiting", Idle: "idle", Receiving: "receiving", Serving: "serving", Sending: "sending", Lingering: "lingering",
}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

const (
	// receiveGrace is how long a request may be under way before its connection is
	// closed in favour of others, and idle ones are kept in preference to it.
	receiveGrace = time.Second
	// sendGrace is the same for an answer that is being written; the network takes
	// most answers at once.
	sendGrace = 500 * time.Millisecond
)

// Conn is a caller's connection, or a request of another host.
type Conn struct {
	// Closer closes the connection; nil for a request of another host.
	Closer io.Closer
	phase  Phase
	since  time.Time
	held   int64
	closed bool
	// index is the position in Table.conns; -1 if the connection is not in it.
	index int
}

// Phase returns the connection's phase, the last one if it is closed.
func (c *Conn) Phase() Phase { return c.phase }

// Since returns when the phase began.
func (c *Conn) Since() time.Time { return c.since }

// Held returns the bytes that the connection holds.
func (c *Conn) Held() int64 { return c.held }

// Table holds the callers' connections. It is not safe for concurrent use.
type Table struct {
	opts  Options
	conns []*Conn
	held  int64
}

// NewTable returns an empty Table.
func NewTable(opts Options) *Table { return &Table{opts: opts} }

// Len returns how many connections are open.
func (t *Table) Len() int { return len(t.conns) }

// Held returns the bytes held by all connections.
func (t *Table) Held() int64 { return t.held }

// Open adds a connection. evicted is the connection to close in its favour, or
// nil. If none may be closed, Open returns no connection.
func (t *Table) Open(now time.Time, closer io.Closer) (c, evicted *Conn) {
	if len(t.conns) >= t.opts.MaxConnections {
		if evicted = t.mostExpendable(now); evicted == nil {
			return nil, nil
		}
		t.Remove(evicted)
	}
	c = &Conn{Closer: closer, phase: Waiting, since: now, index: len(t.conns)}
	t.conns = append(t.conns, c)
	return c, evicted
}

// NewGuest returns the account of a request of another host. It counts towards the
// bytes, and is never closed.
func NewGuest(now time.Time) *Conn { return &Conn{phase: Serving, since: now, index: -1} }

// Enter records that a connection enters a phase, and reports whether it is still
// open. An idle connection holds no bytes.
func (t *Table) Enter(now time.Time, c *Conn, p Phase) bool {
	if c.closed {
		return false
	}
	if p == Idle {
		t.Release(c, c.held)
	}
	c.phase, c.since = p, now
	return true
}

// Remove removes a connection that is closed, and releases what it holds.
func (t *Table) Remove(c *Conn) {
	t.Release(c, c.held)
	c.closed = true
	if c.index < 0 {
		return
	}
	last := t.conns[len(t.conns)-1]
	t.conns[c.index], last.index = last, c.index
	t.conns[len(t.conns)-1] = nil
	t.conns = t.conns[:len(t.conns)-1]
	c.index = -1
}

// Reserve reserves n more bytes for a connection and reports whether it may hold
// them. The connections in evicted are to be closed in its favour. A connection may
// hold any number of bytes while no other holds any.
func (t *Table) Reserve(now time.Time, c *Conn, n int64) (ok bool, evicted []*Conn) {
	if c.closed {
		return false, nil
	}
	for t.held+n > t.opts.MaxBytes && t.held > c.held {
		victim := t.costliest(now, c)
		if victim == nil {
			return false, evicted
		}
		t.Remove(victim)
		evicted = append(evicted, victim)
	}
	c.held += n
	t.held += n
	return true, evicted
}

// Release releases bytes that a connection has reserved, at most what it holds.
func (t *Table) Release(c *Conn, n int64) {
	n = min(n, c.held)
	c.held -= n
	t.held -= n
}

// mostExpendable returns the connection to close when there are too many, or nil.
func (t *Table) mostExpendable(now time.Time) *Conn {
	var found *Conn
	best := keep
	for _, c := range t.conns {
		if rank := c.rank(now); rank < best || rank == best && found != nil && c.since.Before(found.since) {
			found, best = c, rank
		}
	}
	return found
}

// Ranks of connections, in the order in which they are closed.
const (
	spent = iota
	overdue
	unneeded
	stalled
	fresh
	keep
)

func (c *Conn) rank(now time.Time) int {
	age := now.Sub(c.since)
	switch c.phase {
	case Lingering:
		return spent
	case Waiting, Receiving:
		if age >= receiveGrace {
			return overdue
		}
		return fresh
	case Idle:
		return unneeded
	case Sending:
		if age >= sendGrace {
			return stalled
		}
	case Serving:
	}
	return keep
}

// costliest returns the connection that has held the most bytes for the longest time
// beyond its grace without being served, or nil.
func (t *Table) costliest(now time.Time, c *Conn) *Conn {
	var found *Conn
	var most float64
	for _, other := range t.conns {
		rank := other.rank(now)
		if other == c || other.held == 0 || rank != overdue && rank != stalled {
			continue
		}
		if cost := float64(other.held) * now.Sub(other.since).Seconds(); cost > most {
			found, most = other, cost
		}
	}
	return found
}
