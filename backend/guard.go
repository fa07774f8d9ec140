package backend

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// errGuard fails a call that its guard refuses right before the write.
var errGuard = errors.New("the call is no longer allowed")

// writeGuard calls a call's guard right before its bytes are written, on the
// goroutine that writes, so that a process that was suspended before the write
// does not send.
type writeGuard struct {
	guard func(now time.Time) bool
	clock func() time.Time
	// wrote is set once bytes of the call may have been written: when the guard
	// has allowed it, or from the start for a guardedBody. refused is set when
	// the guard has returned false.
	wrote   atomic.Bool
	refused atomic.Bool
}

func (g *writeGuard) allows() bool {
	if g.guard != nil && !g.guard(g.clock()) {
		g.refused.Store(true)
		return false
	}
	g.wrote.Store(true)
	return true
}

// sentNothing reports whether the guard blocked every byte of the call.
func (g *writeGuard) sentNothing() bool { return g.refused.Load() && !g.wrote.Load() }

// guardedBody is the body of a call on a multiplexed connection (HTTP/2), where
// the bytes of several calls are written together. net/http reads the body right
// before it writes it. The headers may have been sent by then.
type guardedBody struct {
	io.Reader
	*writeGuard
}

func newGuardedBody(payload []byte, g *writeGuard) *guardedBody {
	g.wrote.Store(true)
	return &guardedBody{Reader: bytes.NewReader(payload), writeGuard: g}
}

// Read calls the guard before it reads.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.allows() {
		return 0, errGuard
	}
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (b *guardedBody) Close() error { return nil }
