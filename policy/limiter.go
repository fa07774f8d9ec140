package policy

import "time"

// Parameters of the concurrency limit of one server.
const (
	// initialLimit is the limit of a new server.
	initialLimit = 16
	// shedDecrease and timeoutDecrease are the factors by which the limit is
	// multiplied after a refusal and after a timeout, slowDecrease that after a
	// slow answer under load.
	shedDecrease    = 0.7
	timeoutDecrease = 0.9
	slowDecrease    = 0.9
	// maxLatencyRatio is the multiple of the baseline latency above which a server
	// counts as slow.
	maxLatencyRatio = 2
	// minLatencyExcess is the least excess over that multiple that counts as slow.
	minLatencyExcess = time.Millisecond
	// baselineWindow is how long the baseline latency is remembered, at least.
	baselineWindow = time.Minute
	// medianSteps sets the step of the median: one part in so many of itself.
	medianSteps = 32
)

// limiter bounds the calls in flight to one server by additive increase and
// multiplicative decrease: the limit grows by one for each round of answers at
// the limit and shrinks by a factor when the server sheds or becomes slow in
// comparison to its latency without load.
type limiter struct {
	limit float64
	// median is a running estimate of the median latency, which stragglers do not
	// move.
	median time.Duration
	// windowMin and previousMin are the lowest medians of the current and the
	// previous window.
	windowMin   time.Duration
	previousMin time.Duration
	windowStart time.Duration
	decreasedAt time.Duration
}

// intLimit returns the limit as a whole number of calls, at least 1.
func (l *limiter) intLimit() int {
	if l.limit == 0 {
		return initialLimit
	}
	return max(int(l.limit), 1)
}

// recordAnswer adjusts the limit after an answer that came with inFlight calls
// in flight.
func (l *limiter) recordAnswer(at time.Duration, s *Server, inFlight int, latency time.Duration) {
	l.updateMedian(latency)
	l.updateBaseline(at)
	if float64(l.median) > maxLatencyRatio*float64(l.baseline())+float64(minLatencyExcess) {
		l.decrease(at, s, slowDecrease)
		return
	}
	if inFlight >= l.intLimit() && l.intLimit() < s.ceiling {
		l.setLimit(l.currentLimit() + 1/l.currentLimit())
	}
}

// updateMedian moves the median one step towards the sample.
func (l *limiter) updateMedian(sample time.Duration) {
	switch {
	case l.median == 0:
		l.median = sample
	case sample > l.median:
		l.median += l.median / medianSteps
	default:
		l.median -= l.median / medianSteps
	}
}

func (l *limiter) updateBaseline(at time.Duration) {
	if l.windowMin == 0 || l.median < l.windowMin {
		l.windowMin = l.median
	}
	if at-l.windowStart >= baselineWindow {
		l.previousMin, l.windowMin, l.windowStart = l.windowMin, l.median, at
	}
}

// baseline returns the lowest median of the current and the previous window,
// taken as the latency without load.
func (l *limiter) baseline() time.Duration {
	if l.previousMin != 0 {
		return min(l.windowMin, l.previousMin)
	}
	return l.windowMin
}

// decrease multiplies the limit by factor, at most once for each round of
// answers.
func (l *limiter) decrease(at time.Duration, s *Server, factor float64) {
	if at-l.decreasedAt < s.latency.mean && l.decreasedAt != 0 {
		return
	}
	l.decreasedAt = at
	l.setLimit(min(l.currentLimit(), float64(s.ceiling)) * factor)
}

// recordShed sets the limit to a part of the calls that were in flight.
func (l *limiter) recordShed(at time.Duration, s *Server, inFlight int) {
	l.setLimit(min(l.currentLimit(), float64(inFlight)))
	l.decrease(at, s, shedDecrease)
}

func (l *limiter) currentLimit() float64 {
	if l.limit == 0 {
		return initialLimit
	}
	return l.limit
}

func (l *limiter) setLimit(v float64) { l.limit = min(max(v, 1), maxInFlight) }
