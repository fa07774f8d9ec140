package backend

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// errGuard ends a call that is no longer allowed when it is about to be
// written.
var errGuard = errors.New("the call is no longer allowed")

// guardedBody is the body of a call. net/http reads it right before it writes
// the call to the connection, on the goroutine that writes; the guard is asked
// then, so that a process that was paused on the way does not send.
type guardedBody struct {
	io.Reader
	guard func(now time.Time) bool
	clock func() time.Time
	// refused is set when the guard said no: the call was cut off before its
	// body.
	refused atomic.Bool
}

// Read asks the guard, then reads.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.guard != nil && !b.guard(b.clock()) {
		b.refused.Store(true)
		return 0, errGuard
	}
	return b.Reader.Read(p)
}

// Close does nothing.
func (b *guardedBody) Close() error { return nil }
