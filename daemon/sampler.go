package daemon

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// eventsPerSecond is the rate of request events above which a host starts to
// sample requests. Together with timelineSize it ensures that an operator can
// still explain a recorded request 40 seconds later.
const eventsPerSecond = 3000

// maxSamplingShift limits sampling to 1 request in 4096.
const maxSamplingShift = 12

// sampler chooses the requests whose events are recorded: all of them at up to
// eventsPerSecond, and one in two, four and so on at higher rates. The choice
// is made by a hash of the request id, so that hosts with the same factor choose
// the same requests. It is safe for concurrent use.
type sampler struct {
	clock func() time.Time
	// shift is the base-2 logarithm of the sampling factor.
	shift atomic.Uint32
	// events counts the events recorded since windowStart, which is in Unix
	// nanoseconds.
	events      atomic.Int64
	windowStart atomic.Int64
}

func newSampler(clock func() time.Time) *sampler {
	s := &sampler{clock: clock}
	s.windowStart.Store(clock().UnixNano())
	return s
}

// keep reports whether the events of the request are to be recorded.
func (s *sampler) keep(request string) bool {
	shift := s.shift.Load()
	return shift == 0 || xxhash.Sum64String(request)&(1<<shift-1) == 0
}

// samplingFactor returns n if one in n requests is recorded.
func (s *sampler) samplingFactor() int { return 1 << s.shift.Load() }

// countEvent counts a recorded event. It adapts the sampling after a second or
// after eventsPerSecond events, whichever comes first.
func (s *sampler) countEvent() {
	n := s.events.Add(1)
	start := s.windowStart.Load()
	now := s.clock().UnixNano()
	if n < eventsPerSecond && now-start < int64(time.Second) {
		return
	}
	if !s.windowStart.CompareAndSwap(start, now) {
		return
	}
	s.events.Store(0)
	s.adapt(float64(n) / (float64(max(now-start, 1)) / float64(time.Second)))
}

func (s *sampler) adapt(rate float64) {
	shift := s.shift.Load()
	switch {
	case rate > eventsPerSecond && shift < maxSamplingShift:
		s.shift.Store(shift + 1)
	case rate < eventsPerSecond/4 && shift > 0:
		s.shift.Store(shift - 1)
	}
}
