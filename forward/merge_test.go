package forward

import (
	"bytes"
	"testing"

	"github.com/matryer/is"
)

func TestMergeTop(t *testing.T) {
	is := is.New(t)
	a, b, c := bytes.Repeat([]byte{1}, recordBytes), bytes.Repeat([]byte{2}, recordBytes), bytes.Repeat([]byte{3}, recordBytes)
	join := func(list ...[]byte) []byte { return bytes.Join(list, nil) }
	is.Equal(mergeTop([][]byte{join(a, c), join(b, c)}, 3), join(c, c, b)) // equal records are all kept
	is.Equal(mergeTop([][]byte{join(a, []byte("short"))}, 3), a)           // the incomplete record is dropped
	is.Equal(len(mergeTop(nil, 3)), 0)
}
