package http1

import (
	"errors"
	"io"
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
	// initialBodyBytes is the initial size of a body's buffer; most parts fit.
	initialBodyBytes = 1 << 10
	// defaultMaxBufferedBytes bounds the memory for responses being read.
	defaultMaxBufferedBytes = 32 << 20
)

var (
	errTooLarge    = errors.New("the answer is too large")
	errBufferLimit = errors.New("too much is held of answers that are being read")
)

// limitedReader reads at most left bytes and then fails with errTooLarge.
type limitedReader struct {
	source io.Reader
	left   int64
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	n, err := l.source.Read(b[:min(int64(len(b)), l.left)])
	l.left -= int64(n)
	return n, err
}

// reserve reserves memory for a response that is being read, and reports
// whether there was enough.
func (p *Pool) reserve(n int64) bool {
	if p.bufferedBytes.Add(n) <= p.opts.MaxBufferedBytes {
		return true
	}
	p.bufferedBytes.Add(-n)
	return false
}

// readBody reads a body of at most maxBytes bytes.
func (p *Pool) readBody(r io.Reader, maxBytes int) ([]byte, error) {
	var reserved int64
	defer func() { p.bufferedBytes.Add(-reserved) }()
	b := make([]byte, 0, initialBodyBytes)
	for {
		if len(b) == cap(b) {
			// The old buffer and the new one, of twice its size, are held while the
			// bytes are copied.
			newCap := 2 * int64(cap(b))
			if newCap > unreservedBodyBytes {
				if !p.reserve(newCap) {
					return nil, errBufferLimit
				}
				reserved += newCap
			}
			grown := append(make([]byte, 0, newCap), b...)
			if oldCap := int64(cap(b)); oldCap > unreservedBodyBytes {
				p.bufferedBytes.Add(-oldCap)
				reserved -= oldCap
			}
			b = grown
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > maxBytes:
			return nil, errTooLarge
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}
