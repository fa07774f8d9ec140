package http1

import (
	"errors"
	"io"
)

const (
	// maxHeadBytes bounds the heads before an answer's body together; the
	// users' limit for the heads of requests is a quarter of it.
	maxHeadBytes = 64 << 10
	// maxAnswerBytes bounds an answer's body; answers are held in memory until
	// they are whole.
	maxAnswerBytes = 8 << 20
	// framing is how many times more bytes than its body an answer may take on
	// the connection: chunks of one byte take six.
	framing = 6
	// smallBody is what each call may hold beside the pool's bound: several
	// times the largest answers of the deployments known.
	smallBody = 32 << 10
	// firstBody is the first buffer of a body: most parts fit it.
	firstBody = 1 << 10
	// defaultReading bounds what is held of answers that are being read.
	defaultReading = 32 << 20
)

var (
	errTooLarge = errors.New("the answer is too large")
	errMemory   = errors.New("too much is held of answers that are being read")
)

// meter reads no more than what is left.
type meter struct {
	from io.Reader
	left int64
}

// Read implements io.Reader.
func (m *meter) Read(b []byte) (int, error) {
	if m.left <= 0 {
		return 0, errTooLarge
	}
	n, err := m.from.Read(b[:min(int64(len(b)), m.left)])
	m.left -= int64(n)
	return n, err
}

// reserve takes memory for an answer that is being read, and reports whether
// there was enough.
func (p *Pool) reserve(n int64) bool {
	if p.reading.Add(n) <= p.opts.MaxBufferedBytes {
		return true
	}
	p.reading.Add(-n)
	return false
}

// readBody reads a body of at most so many bytes.
func (p *Pool) readBody(r io.Reader, most int) ([]byte, error) {
	var reserved int64
	defer func() { p.reading.Add(-reserved) }()
	b := make([]byte, 0, firstBody)
	for {
		if len(b) == cap(b) {
			// The old and the new one are held while the bytes are copied.
			more := 2 * int64(cap(b))
			if more > smallBody {
				if !p.reserve(more) {
					return nil, errMemory
				}
				reserved += more
			}
			larger := append(make([]byte, 0, more), b...)
			if old := int64(cap(b)); old > smallBody {
				p.reading.Add(-old)
				reserved -= old
			}
			b = larger
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > most:
			return nil, errTooLarge
		case err == io.EOF:
			return b, nil
		case err != nil:
			return nil, err
		}
	}
}
