package policy

import "time"

// LatencyHistogram is a decaying histogram of latencies.
type LatencyHistogram struct{ histogram histogram }

// Add records a latency.
func (l *LatencyHistogram) Add(d time.Duration) { l.histogram.add(d) }

// Quantile returns the latency at a quantile, and the median; both are zero
// while there are too few samples.
func (l *LatencyHistogram) Quantile(q float64) (at, median time.Duration) {
	return l.histogram.trackQuantile(q), l.histogram.median
}
