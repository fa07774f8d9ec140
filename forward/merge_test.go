package forward

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestGreatest(t *testing.T) {
	is := is.New(t)
	a, b, c := bytes.Repeat([]byte{1}, recordBytes), bytes.Repeat([]byte{2}, recordBytes), bytes.Repeat([]byte{3}, recordBytes)
	join := func(list ...[]byte) []byte { return bytes.Join(list, nil) }
	is.Equal(greatest([][]byte{join(a, c), join(b, c)}, 3), join(c, c, b)) // equal records all count
	is.Equal(greatest([][]byte{join(a, []byte("short"))}, 3), a)           // a remainder is no record
	is.Equal(len(greatest(nil, 3)), 0)
}
