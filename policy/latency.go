package policy

import "time"

// LatencyHistogram is a fading record of latencies.
type LatencyHistogram struct{ record histogram }

// Add takes in a latency.
func (l *LatencyHistogram) Add(d time.Duration) { l.record.add(d) }

// Quantile returns a quantile and the median, or zeros while there are too few
// samples.
func (l *LatencyHistogram) Quantile(q float64) (at, median time.Duration) {
	return l.record.want(q), l.record.median
}
