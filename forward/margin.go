package forward

import "time"

const (
	// networkMargin covers the way of the answer back to the caller and of the
	// request to this host: a round trip of 6 ms and a connection setup of 6
	// ms.
	networkMargin = 12 * time.Millisecond
	// partCPUTime is the CPU time spent on a part after its response has
	// arrived: half of the 100 us of a whole call (docs/CAPACITY.md).
	partCPUTime = 50 * time.Microsecond
)

// deliveryMargin returns how long before the caller's objective an answer with
// that many parts must leave a host of that CPU capacity. The parts arrive close
// together, so all of their processing delays the answer.
func deliveryMargin(cpuCapacity float64, parts int) time.Duration {
	return networkMargin + time.Duration(float64(parts)*float64(partCPUTime)/cpuCapacity)
}
