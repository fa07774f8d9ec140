package http1

import (
	"io"
	"net/http"

	"github.com/figmast/figmast/internal/membuf"
)

const (
	// maxHeadBytes bounds the total size of the heads before a response's body,
	// interim ones included. The users' limit for request heads is a quarter of
	// it.
	maxHeadBytes = 64 << 10
	// defaultMaxBodyBytes bounds a response's body, as responses are held in
	// memory until they are complete.
	defaultMaxBodyBytes = 8 << 20
	// maxFramingFactor bounds the bytes on the connection as a multiple of the
	// body's: a chunk of one byte takes six.
	maxFramingFactor = 6
	// unreservedBodyBytes is the size up to which a buffer does not count
	// towards the pool's limit: several times the largest responses in known
	// deployments.
	unreservedBodyBytes = 32 << 10
	// defaultMaxBufferedBytes bounds the memory for responses being read.
	defaultMaxBufferedBytes = 32 << 20
)

// limitedReader reads at most left bytes and then fails with membuf.ErrTooLarge.
type limitedReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, membuf.ErrTooLarge
	}
	n, err := l.source.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}

// bufferAccount accounts for the buffers of responses that are being read.
type bufferAccount struct{ *Pool }

// Reserve implements membuf.Account.
func (a bufferAccount) Reserve(n int64) bool {
	if a.bufferedBytes.Add(n) <= a.opts.MaxBufferedBytes {
		return true
	}
	a.bufferedBytes.Add(-n)
	return false
}

// Release implements membuf.Account.
func (a bufferAccount) Release(n int64) { a.bufferedBytes.Add(-n) }

// readHeldBody reads a response's body after it has reserved the memory that the call
// holds for it, or afterwards if the server declares no length.
func (p *Pool) readHeldBody(resp *http.Response, call Call, maxBytes int) ([]byte, error) {
	length := resp.ContentLength
	if resp.Body == http.NoBody {
		length = 0 // a response to HEAD declares a length without a body
	}
	if length > int64(maxBytes) {
		return nil, membuf.ErrTooLarge
	}
	isHeld := call.Hold == nil
	if !isHeld && length > 0 {
		if !call.Hold(int(length)) {
			return nil, membuf.ErrNoMemory
		}
		isHeld = true
	}
	b, err := p.readBody(resp.Body, length, maxBytes)
	if err == nil && !isHeld && !call.Hold(len(b)) {
		return nil, membuf.ErrNoMemory
	}
	return b, err
}

// readBody reads a body of at most maxBytes bytes. length is the one that is declared,
// or -1.
func (p *Pool) readBody(r io.Reader, length int64, maxBytes int) ([]byte, error) {
	account := bufferAccount{p}
	b, reserved, err := membuf.ReadAll(r, membuf.Options{MaxBytes: maxBytes, Length: length, FreeBytes: unreservedBodyBytes, Account: account})
	account.Release(reserved)
	return b, err
}
