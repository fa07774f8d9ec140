package policy

import (
	"math/bits"
	"time"
)

// Shape of a histogram: four buckets for each doubling from histogramUnit.
const (
	histogramUnit    = 8 * time.Microsecond
	histogramBuckets = 84
	// histogramFull samples halve all counts, so that old ones fade.
	histogramFull = 1024
	// histogramFew samples are too few for a quantile.
	histogramFew = 20
	// quantileEvery is how many samples a computed quantile is good for.
	quantileEvery = 32
)

// histogram is a small fading record of latencies. An HDR histogram of the
// same range takes tens of kilobytes; a host may keep one for each of
// thousands of leaves.
type histogram struct {
	counts [histogramBuckets]uint16
	total  int
	// fresh counts samples since at was computed for the quantile wanted.
	fresh  int
	wanted float64
	at     time.Duration
	median time.Duration
}

func bucketOf(d time.Duration) int {
	v := uint64(max(d, 0)/histogramUnit) + 4
	octave := bits.Len64(v) - 3
	i := octave*4 + int(v>>octave)&3
	return min(i, histogramBuckets-1)
}

// bucketStart returns the least latency in bucket i.
func bucketStart(i int) time.Duration {
	octave := i / 4
	v := uint64(4+i%4)<<octave - 4
	return time.Duration(v) * histogramUnit
}

func (h *histogram) add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
	h.fresh++
	if h.total >= histogramFull {
		h.fade()
	}
}

func (h *histogram) fade() {
	h.total = 0
	for i := range h.counts {
		h.counts[i] /= 2
		h.total += int(h.counts[i])
	}
}

// want sets the quantile to keep up and returns its latency, or 0 while there
// are too few samples.
func (h *histogram) want(q float64) time.Duration {
	if h.total < histogramFew {
		return 0
	}
	if h.at == 0 || h.fresh >= quantileEvery || q != h.wanted {
		h.at, h.median = h.find(q), h.find(0.5)
		h.wanted, h.fresh = q, 0
	}
	return h.at
}

// quantile returns the latency last computed.
func (h *histogram) quantile() time.Duration { return h.at }

func (h *histogram) find(q float64) time.Duration {
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
