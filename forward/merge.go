package forward

import (
	"bytes"
	"slices"
)

// recordBytes is the size of a record of a gather route.
const recordBytes = 16

// mergeTop returns the n greatest records of all bodies in descending order. A
// remainder shorter than a record is dropped.
func mergeTop(bodies [][]byte, n int) []byte {
	var records [][]byte
	for _, b := range bodies {
		for len(b) >= recordBytes {
			records = append(records, b[:recordBytes])
			b = b[recordBytes:]
		}
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if len(records) > n {
		records = records[:n]
	}
	return slices.Concat(records...)
}
