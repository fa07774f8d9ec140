package membuf

import (
	"bytes"
	"errors"
	"io"
	"strconv"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// account counts the bytes that are reserved, now and at most.
type account struct{ limit, held, most int64 }

func (a *account) Reserve(n int64) bool {
	if a.held+n > a.limit {
		return false
	}
	a.held += n
	a.most = max(a.most, a.held)
	return true
}

func (a *account) Release(n int64) { a.held -= n }

func TestReadAll(t *testing.T) {
	for _, size := range []int{0, 1, 1023, 1024, 1025, 4096, 4097, 100_000, 262_144} {
		for _, length := range []int64{-1, int64(size), int64(size) / 2} {
			t.Run(strconv.Itoa(size)+" of "+strconv.FormatInt(length, 10), func(t *testing.T) {
				is := is.New(t)
				want := bytes.Repeat([]byte("x"), size)
				a := &account{limit: 1 << 20}
				got, reserved, err := ReadAll(iotest.HalfReader(bytes.NewReader(want)), Options{MaxBytes: size, Length: length, FreeBytes: 4096, Account: a})
				is.NoErr(err)
				is.True(bytes.Equal(got, want))
				is.Equal(a.held, reserved)
				is.True(size <= 4096 || reserved >= int64(size))
				if length == int64(size) && size > 4096 {
					is.Equal(reserved, int64(size)+1) // no more than declared
				}
				is.True(a.most <= 4*int64(size)+1)
			})
		}
	}
}

// TestReadAllReleasesAfterAnError guards against memory that stays reserved for
// streams that fail, are too long, or find none left.
func TestReadAllReleasesAfterAnError(t *testing.T) {
	errBroken := errors.New("broken")
	for name, tt := range map[string]struct {
		r     io.Reader
		limit int64
		want  error
	}{
		"broken":    {io.MultiReader(bytes.NewReader(make([]byte, 50_000)), iotest.ErrReader(errBroken)), 1 << 20, errBroken},
		"too long":  {bytes.NewReader(make([]byte, 70_000)), 1 << 20, ErrTooLarge},
		"no memory": {bytes.NewReader(make([]byte, 60_000)), 40_000, ErrNoMemory},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := &account{limit: tt.limit}
			b, reserved, err := ReadAll(tt.r, Options{MaxBytes: 65_000, Length: -1, FreeBytes: 4096, Account: a})
			is.True(errors.Is(err, tt.want))
			is.Equal(len(b), 0)
			is.Equal(reserved, int64(0))
			is.Equal(a.held, int64(0))
		})
	}
}
