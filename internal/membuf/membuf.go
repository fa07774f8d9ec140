// Package membuf reads streams into memory within a bound that many of them share.
package membuf

import (
	"errors"
	"io"
)

// initialBytes is the initial size of a buffer; most bodies fit.
const initialBytes = 1 << 10

// Errors of ReadAll.
var (
	// ErrTooLarge means that the stream is longer than allowed.
	ErrTooLarge = errors.New("the body is too large")
	// ErrNoMemory means that the account has not enough left.
	ErrNoMemory = errors.New("too much memory is held by other bodies")
)

// Account accounts for the memory of buffers.
type Account interface {
	// Reserve reserves n more bytes and reports whether they may be held.
	Reserve(n int64) bool
	// Release releases bytes that were reserved.
	Release(n int64)
}

// Options configures ReadAll.
type Options struct {
	// MaxBytes bounds the stream's length in bytes.
	MaxBytes int
	// Length is the stream's length if it is known, else a negative number.
	Length int64
	// FreeBytes is the size up to which a buffer is not accounted for.
	FreeBytes int64
	Account   Account
}

// ReadAll reads a stream to its end. The result holds reserved bytes of the account,
// which the caller releases. After an error nothing is reserved. The error is
// ErrTooLarge, ErrNoMemory or that of the stream.
func ReadAll(r io.Reader, o Options) (b []byte, reserved int64, err error) {
	defer func() {
		if err != nil {
			o.Account.Release(reserved)
			b, reserved = nil, 0
		}
	}()
	b = make([]byte, 0, initialBytes)
	for {
		if len(b) == cap(b) {
			// The old buffer and the new one are held while the bytes are copied.
			newCap := o.grow(int64(cap(b)))
			if newCap > o.FreeBytes {
				if !o.Account.Reserve(newCap) {
					return b, reserved, ErrNoMemory
				}
				reserved += newCap
			}
			oldCap := int64(cap(b))
			b = append(make([]byte, 0, newCap), b...)
			if oldCap > o.FreeBytes {
				o.Account.Release(oldCap)
				reserved -= oldCap
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case len(b) > o.MaxBytes:
			return b, reserved, ErrTooLarge
		case err == io.EOF:
			return b, reserved, nil
		case err != nil:
			return b, reserved, err
		}
	}
}

// grow returns the capacity after the given one: twice as much, but no more than
// what is known to come and the byte in which the end is seen.
func (o Options) grow(old int64) int64 {
	if o.Length >= old && o.Length < 2*old {
		return o.Length + 1
	}
	return 2 * old
}
