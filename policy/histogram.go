package policy

import (
	"math/bits"
	"time"
)

// Layout of a histogram: four buckets for each power of two, in units of
// histogramUnit.
const (
	histogramUnit    = 8 * time.Microsecond
	histogramBuckets = 84
	// histogramMaxSamples is the number of samples at which all counts are halved,
	// so that old samples lose weight.
	histogramMaxSamples = 1024
	// histogramMinSamples is the number of samples below which there is no
	// quantile.
	histogramMinSamples = 20
	// quantileRefresh is the number of samples after which a cached quantile is
	// recomputed.
	quantileRefresh = 32
)

// histogram is a compact decaying histogram of latencies. An HDR histogram of
// the same range takes tens of kilobytes, and a host may keep one for each of
// thousands of leaves.
type histogram struct {
	counts [histogramBuckets]uint16
	total  int
	// newSamples counts samples since quantileLatency and median were computed.
	newSamples      int
	trackedQuantile float64
	quantileLatency time.Duration
	median          time.Duration
}

func bucketOf(d time.Duration) int {
	v := uint64(max(d, 0)/histogramUnit) + 4
	octave := bits.Len64(v) - 3
	i := octave*4 + int(v>>octave)&3
	return min(i, histogramBuckets-1)
}

// bucketStart returns the lowest latency in bucket i.
func bucketStart(i int) time.Duration {
	octave := i / 4
	v := uint64(4+i%4)<<octave - 4
	return time.Duration(v) * histogramUnit
}

func (h *histogram) add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
	h.newSamples++
	if h.total >= histogramMaxSamples {
		h.decay()
	}
}

func (h *histogram) decay() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// trackQuantile returns the latency at the quantile, recomputed from time to
// time, or 0 while there are too few samples.
func (h *histogram) trackQuantile(q float64) time.Duration {
	if h.total < histogramMinSamples {
		return 0
	}
	if h.quantileLatency == 0 || h.newSamples >= quantileRefresh || q != h.trackedQuantile {
		h.quantileLatency, h.median = h.computeQuantile(q), h.computeQuantile(0.5)
		h.trackedQuantile, h.newSamples = q, 0
	}
	return h.quantileLatency
}

// lastQuantile returns the latency that trackQuantile computed last.
func (h *histogram) lastQuantile() time.Duration { return h.quantileLatency }

func (h *histogram) computeQuantile(q float64) time.Duration {
	left := q * float64(h.total)
	for i, n := range h.counts {
		if left <= float64(n) && n > 0 {
			start, end := bucketStart(i), bucketStart(i+1)
			return start + time.Duration(left/float64(n)*float64(end-start))
		}
		left -= float64(n)
	}
	return bucketStart(histogramBuckets)
}
