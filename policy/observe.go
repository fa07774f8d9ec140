package policy

import "time"

// Result is how a leaf call ended, as far as server selection is concerned.
type Result int

// Results of a leaf call.
const (
	ResultOK           Result = iota
	ResultShed                // the server said that it did not run the call
	ResultNotSent             // nothing was sent: connection refused or not established
	ResultBroken              // the connection broke after the call was sent
	ResultTimeout             // the deadline passed
	ResultCancelled           // cancelled by this host
	ResultInconclusive        // ended on this host or at the holder: says nothing about the server
)

// Observation describes a finished leaf call.
type Observation struct {
	Result  Result
	Latency time.Duration
	// Cold is set when the server reported that it is in cold start.
	Cold bool
	// Fingerprint is that of the request, as in PickInfo.
	Fingerprint uint64
}

// Begin records that a call to srv starts.
func (r *Router) Begin(now time.Time, srv *Server) {
	r.at(now)
	srv.inFlight++
	s := srv.leaf.service
	s.stats.begin()
	s.retries.earn(s.doc.Retries.Budget)
	overflow := srv.leaf.hedges.earn(s.doc.Hedging.Budget)
	s.hedges.earn(overflow)
}

// Done records how a call that was passed to Begin has ended.
func (r *Router) Done(now time.Time, srv *Server, o Observation) {
	at := r.at(now)
	inFlight := srv.inFlight
	srv.inFlight--
	srv.leaf.service.stats.recordResult(at, o.Result)
	if o.Cold {
		srv.warmUp.recordColdSignal(at, srv)
	}
	switch o.Result {
	case ResultOK:
		srv.recordAnswer(at, inFlight, o)
	case ResultCancelled, ResultTimeout:
		srv.recordNoAnswer(at, o)
	case ResultShed:
		srv.recordShed(at, inFlight)
	case ResultNotSent, ResultBroken:
		srv.recordFailure(at)
	}
	if !r.opts.disabled.suspects {
		r.suspects.observe(at, srv, o)
	}
}

// recordAnswer records an answer that came with inFlight calls in flight.
func (s *Server) recordAnswer(at time.Duration, inFlight int, o Observation) {
	typicalLatency := s.leaf.typicalLatency(s)
	s.health.recordSuccess()
	s.latency.add(at, o.Latency)
	s.leaf.recordLatency(s, o.Latency)
	s.limiter.recordAnswer(at, s, inFlight, o.Latency)
	s.warmUp.recordAnswer(at, s, inFlight, sample{latency: o.Latency, typicalLatency: typicalLatency, coldSignal: o.Cold})
}

// recordLatency records a latency for hedging. Latencies of cold servers are
// left out: they would raise the delay after which a warm server gets the
// second attempt.
func (l *leaf) recordLatency(s *Server, latency time.Duration) {
	if s.warmUp.state != cold {
		l.latency.add(latency)
		l.service.latency.add(latency)
	}
}

// recordNoAnswer records a call that ended without an answer; its latency is a
// lower bound of what the server would have taken.
func (s *Server) recordNoAnswer(at time.Duration, o Observation) {
	if o.Latency > s.latency.mean && s.latency.mean > 0 {
		s.latency.add(at, o.Latency)
	}
	if o.Latency >= s.leaf.latency.lastQuantile() {
		s.leaf.recordLatency(s, o.Latency)
	}
	s.warmUp.recordSpeed(at, s, sample{latency: o.Latency, typicalLatency: s.leaf.typicalLatency(s), censored: true})
	if o.Result == ResultTimeout {
		s.health.addPenalty(at, timeoutWeight)
		s.limiter.decrease(at, s, timeoutDecrease)
	}
}

// recordShed records that the server shed a call. What a cold server sheds says
// nothing about its limit when warm.
func (s *Server) recordShed(at time.Duration, inFlight int) {
	s.health.addPenalty(at, shedWeight)
	s.warmUp.recordShed(at, s)
	if s.warmUp.state != cold {
		s.limiter.recordShed(at, s, inFlight)
	}
}

// recordFailure records that the server could not be reached or that the
// connection broke.
func (s *Server) recordFailure(at time.Duration) {
	if s.health.recordFailure(at) {
		s.warmUp.markCold(at, s)
	}
}
