package policy

import "time"

// Latency is a fading record of latencies.
type Latency struct{ record histogram }

// Add takes in a latency.
func (l *Latency) Add(d time.Duration) { l.record.add(d) }

// Quantile returns a quantile and the median, or zeros while there are too few
// samples.
func (l *Latency) Quantile(q float64) (at, median time.Duration) {
	return l.record.want(q), l.record.median
}
