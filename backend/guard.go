package backend

import (
	"bytes"
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// errGuard ends a call that is no longer allowed when it is about to be
// written.
var errGuard = errors.New("the call is no longer allowed")

// writeGuard asks a call's guard right before its bytes are written, on the
// goroutine that writes, so that a process that was paused on the way does not
// send.
type writeGuard struct {
	guard func(now time.Time) bool
	clock func() time.Time
	// wrote is set once bytes of the call were let through, and refused when
	// the guard said no.
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

// sentNothing reports whether the guard kept back every byte of the call.
func (g *writeGuard) sentNothing() bool { return g.refused.Load() && !g.wrote.Load() }

// guardedBody is the body of a call on a connection that calls share, where
// bytes of several are written together. net/http reads it right before it
// writes it. The headers may have left by then.
type guardedBody struct {
	io.Reader
	*writeGuard
}

func newGuardedBody(payload []byte, g *writeGuard) *guardedBody {
	g.wrote.Store(true)
	return &guardedBody{Reader: bytes.NewReader(payload), writeGuard: g}
}

// Read asks the guard, then reads.
func (b *guardedBody) Read(p []byte) (int, error) {
	if !b.allows() {
		return 0, errGuard
	}
	return b.Reader.Read(p)
}

// Close does nothing.
func (b *guardedBody) Close() error { return nil }
