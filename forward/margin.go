package forward

import "time"

const (
	// wayMargin is kept for the way of an answer back to the caller and for
	// what the request took to get here: a round trip of 6 ms and a new
	// connection of 6 ms.
	wayMargin = 12 * time.Millisecond
	// partWork is the processor time that a part takes after its answer has
	// come: half of the 100 us of a whole call (docs/CAPACITY.md).
	partWork = 50 * time.Microsecond
)

// deliveryMargin returns how long before a caller's objective an answer of so
// many parts must leave a host that has that part of a processor. Parts come
// in close together, so that their work stands before the answer.
func deliveryMargin(processor float64, parts int) time.Duration {
	return wayMargin + time.Duration(float64(parts)*float64(partWork)/processor)
}
