package forward

import (
	"bytes"
	"slices"
)

// recordBytes is the size of a record of a gather route.
const recordBytes = 16

// greatest returns the greatest n records of all bodies, falling. A remainder
// shorter than a record is left out.
func greatest(bodies [][]byte, n int) []byte {
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
