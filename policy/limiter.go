package policy

import "time"

// How the limit of calls in flight to one server moves.
const (
	// firstLimit is where a server starts.
	firstLimit = 16
	// shedCut and timeoutCut are what is left of the limit after a refusal and
	// after a timeout; slowCut after an answer under load that came slowly.
	shedCut    = 0.7
	timeoutCut = 0.9
	slowCut    = 0.9
	// slowLoad is how many times its usual latency a server may take.
	slowLoad = 2
	// slowMargin is the least excess that counts as slow.
	slowMargin = time.Millisecond
	// usualWindow is how long the usual latency is remembered, at least.
	usualWindow = time.Minute
	// medianSteps is in how many steps the median moves by its own size.
	medianSteps = 32
)

// limiter bounds the calls in flight to one server: it grows by one for each
// round of answers at the limit and shrinks by a factor when the server sheds
// or becomes slow against its latency without load.
type limiter struct {
	limit float64
	// median follows the median latency, which stragglers do not move.
	median time.Duration
	// usual and previous are the least medians of two windows.
	usual    time.Duration
	previous time.Duration
	windowAt time.Duration
	cutAt    time.Duration
}

// whole returns the limit in calls, at least 1.
func (l *limiter) whole() int {
	if l.limit == 0 {
		return firstLimit
	}
	return max(int(l.limit), 1)
}

// answered moves the limit after an answer with busy calls in flight.
func (l *limiter) answered(at time.Duration, s *Server, busy int, latency time.Duration) {
	l.follow(latency)
	l.remember(at)
	if float64(l.median) > slowLoad*float64(l.base())+float64(slowMargin) {
		l.cut(at, s, slowCut)
		return
	}
	if busy >= l.whole() && l.whole() < s.ceiling {
		l.set(l.current() + 1/l.current())
	}
}

// follow moves the median a step towards the sample.
func (l *limiter) follow(sample time.Duration) {
	switch {
	case l.median == 0:
		l.median = sample
	case sample > l.median:
		l.median += l.median / medianSteps
	default:
		l.median -= l.median / medianSteps
	}
}

func (l *limiter) remember(at time.Duration) {
	if l.usual == 0 || l.median < l.usual {
		l.usual = l.median
	}
	if at-l.windowAt >= usualWindow {
		l.previous, l.usual, l.windowAt = l.usual, l.median, at
	}
}

// base returns the latency without load, as far as seen.
func (l *limiter) base() time.Duration {
	if l.previous != 0 {
		return min(l.usual, l.previous)
	}
	return l.usual
}

// cut shrinks the limit to a part, once for each round of answers.
func (l *limiter) cut(at time.Duration, s *Server, left float64) {
	if at-l.cutAt < s.latency.mean && l.cutAt != 0 {
		return
	}
	l.cutAt = at
	l.set(min(l.current(), float64(s.ceiling)) * left)
}

// shed shrinks the limit to a part of what was in flight.
func (l *limiter) shed(at time.Duration, s *Server, busy int) {
	l.set(min(l.current(), float64(busy)))
	l.cut(at, s, shedCut)
}

func (l *limiter) current() float64 {
	if l.limit == 0 {
		return firstLimit
	}
	return l.limit
}

func (l *limiter) set(v float64) { l.limit = min(max(v, 1), maxInFlight) }
