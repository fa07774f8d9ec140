package policy

import "time"

// Result is how a leaf call ended, as far as the decisions care.
type Result int

// Results.
const (
	ResultOK           Result = iota
	ResultShed                // the server said it did not run the call
	ResultNotSent             // no byte left: refused or not connected
	ResultBroken              // the connection broke after the call was sent
	ResultTimeout             // the deadline passed
	ResultCancelled           // given up by this host
	ResultInconclusive        // ended on this side or at the holder: tells nothing of the server
)

// Observation is what a finished leaf call tells about its server.
type Observation struct {
	Result  Result
	Latency time.Duration
	// Cold is set when the server said that it is in cold start.
	Cold bool
	// Fingerprint of the request, as in Pick.
	Fingerprint uint64
}

// Begin records that a call to srv starts.
func (r *Router) Begin(now time.Time, srv *Server) {
	r.at(now)
	srv.inFlight++
	s := srv.leaf.service
	s.flow.begin()
	s.retries.earn(s.doc.Retries.Budget)
	spill := srv.leaf.hedges.earn(s.doc.Hedging.Budget)
	s.hedges.earn(spill)
}

// Done records how a call that Begin counted has ended.
func (r *Router) Done(now time.Time, srv *Server, o Observation) {
	at := r.at(now)
	busy := srv.inFlight
	srv.inFlight--
	srv.leaf.service.flow.done(at, o.Result)
	if o.Cold {
		srv.warmth.saidCold(at, srv)
	}
	switch o.Result {
	case ResultOK:
		srv.answered(at, busy, o)
	case ResultCancelled, ResultTimeout:
		srv.outlasted(at, o)
	case ResultShed:
		srv.refused(at, busy)
	case ResultNotSent, ResultBroken:
		srv.lost(at)
	}
	if !r.opts.without.suspects {
		r.suspects.observe(at, srv, o)
	}
}

// answered takes in an answer; busy is how many calls were in flight.
func (s *Server) answered(at time.Duration, busy int, o Observation) {
	peers := s.leaf.typical(s)
	s.health.succeed()
	s.latency.add(at, o.Latency)
	s.leaf.note(s, o.Latency)
	s.limiter.answered(at, s, busy, o.Latency)
	s.warmth.answered(at, s, busy, sample{latency: o.Latency, peers: peers, saidCold: o.Cold})
}

// note records a latency for hedging. Those of cold servers would move the
// delay after which a second attempt goes to a warm one.
func (l *leaf) note(s *Server, latency time.Duration) {
	if s.warmth.state != cold {
		l.latency.add(latency)
		l.service.latency.add(latency)
	}
}

// outlasted takes in a call that ended without an answer: its server would
// have taken longer still.
func (s *Server) outlasted(at time.Duration, o Observation) {
	if o.Latency > s.latency.mean && s.latency.mean > 0 {
		s.latency.add(at, o.Latency)
	}
	if o.Latency >= s.leaf.latency.quantile() {
		s.leaf.note(s, o.Latency)
	}
	s.warmth.note(at, s, sample{latency: o.Latency, peers: s.leaf.typical(s), censored: true})
	if o.Result == ResultTimeout {
		s.health.suffer(at, timeoutWeight)
		s.limiter.cut(at, s, timeoutCut)
	}
}

// refused takes in that the server shed a call. What a cold server refuses
// tells nothing of what it bears when warm.
func (s *Server) refused(at time.Duration, busy int) {
	s.health.suffer(at, shedWeight)
	s.warmth.shed(at, s)
	if s.warmth.state != cold {
		s.limiter.shed(at, s, busy)
	}
}

// lost takes in that the server could not be reached or broke off.
func (s *Server) lost(at time.Duration) {
	if s.health.fail(at) {
		s.warmth.chill(at, s)
	}
}
