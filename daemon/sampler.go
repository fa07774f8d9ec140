package daemon

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// eventsPerSecond is how many events of requests a host records before it
// keeps those of fewer requests. With timelineSize it lets an operator explain
// a request at least 40 seconds later.
const eventsPerSecond = 3000

// maxSamplingShift bounds the sampling at 1 request in 4096.
const maxSamplingShift = 12

// sampler chooses the requests whose events are kept: all of them while there
// is room, else every second, fourth and so on. The choice depends on the
// request id, so that all hosts keep the same requests. It is safe for
// concurrent use.
type sampler struct {
	clock   func() time.Time
	shift   atomic.Uint32
	counted atomic.Int64
	since   atomic.Int64
}

func newSampler(clock func() time.Time) *sampler {
	s := &sampler{clock: clock}
	s.since.Store(clock().UnixNano())
	return s
}

// keep reports whether the events of that request are recorded.
func (s *sampler) keep(request string) bool {
	shift := s.shift.Load()
	return shift == 0 || xxhash.Sum64String(request)&(1<<shift-1) == 0
}

// oneIn returns how many requests stand behind one that is kept.
func (s *sampler) oneIn() int { return 1 << s.shift.Load() }

// count counts one event and adapts the sampling once a second.
func (s *sampler) count() {
	n := s.counted.Add(1)
	since := s.since.Load()
	now := s.clock().UnixNano()
	if n < eventsPerSecond && now-since < int64(time.Second) {
		return
	}
	if !s.since.CompareAndSwap(since, now) {
		return
	}
	s.counted.Store(0)
	s.adapt(float64(n) / (float64(max(now-since, 1)) / float64(time.Second)))
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
