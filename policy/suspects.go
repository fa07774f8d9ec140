package policy

import (
	"slices"
	"time"
)

// Times and bounds of crash suspects.
const (
	// breakTTL is how long a broken call is remembered.
	breakTTL = 2 * time.Minute
	// firstRefusal is how long a suspect is refused at first. The time is
	// multiplied by refusalGrowth whenever the request breaks a call after that,
	// up to maxRefusal; package crash follows the same scheme.
	firstRefusal  = 5 * time.Minute
	refusalGrowth = 16
	maxRefusal    = 24 * time.Hour
	// maxSuspects bounds the records; the oldest are evicted.
	maxSuspects = 1024
	// maxBreaks bounds the servers remembered for one request.
	maxBreaks = 64
	// burstWindow and burstRequests tell a network partition from crashes: in a
	// partition, at least burstRequests requests become suspects within the
	// window.
	burstWindow   = time.Second
	burstRequests = 3
	// announceDelay is how long a new suspicion is held back from the peers, so
	// that a burst is detected first.
	announceDelay = 50 * time.Millisecond
	// suspectProbeTimeout is how long a request with a broken call waits for the
	// end of its one probe.
	suspectProbeTimeout = 300 * time.Millisecond
)

// Suspicion is a message between hosts about a request that crashes backend
// servers.
type Suspicion struct {
	Service     string    `cbor:"1,keyasint"`
	Fingerprint uint64    `cbor:"2,keyasint"`
	Until       time.Time `cbor:"3,keyasint"`
}

// suspectKey identifies a request; it is the same for each resend.
type suspectKey struct {
	service     string
	fingerprint uint64
}

// suspect is the record of one request that had broken calls.
type suspect struct {
	// brokenOn are the servers on which calls broke.
	brokenOn []*Server
	// firstBreakAt is when the first break was observed.
	firstBreakAt time.Duration
	updatedAt    time.Duration
	// probeStartedAt is when the probe began, the one call that shows whether the
	// request crashes servers; 0 while there is none. It is unrelated to the probe
	// of an ejected server.
	probeStartedAt time.Duration
	// refusedAt and refusedUntil are set once the request is refused; refusals
	// counts how often that happened.
	refusedAt    time.Duration
	refusedUntil time.Duration
	refusals     int
}

// isEvictedBefore reports whether the record is evicted before another one:
// first those of requests that were never refused, then the oldest.
func (x *suspect) isEvictedBefore(o *suspect) bool {
	if (x.refusals > 0) != (o.refusals > 0) {
		return x.refusals == 0
	}
	return x.updatedAt < o.updatedAt
}

// isExpired reports whether the record may be dropped.
func (x *suspect) isExpired(at time.Duration) bool {
	if x.refusals > 0 {
		return at-x.refusedUntil > maxRefusal
	}
	return at-x.updatedAt > breakTTL
}

// suspects records the requests that seem to crash backend servers.
type suspects struct {
	byKey map[suspectKey]*suspect
	// unannounced are suspects not reported to the peers yet.
	unannounced []suspectKey
	// recentlyRefused are the latest suspects found by this host.
	recentlyRefused []suspectKey
	answered        answerCache
}

func newSuspects() suspects {
	return suspects{byKey: make(map[suspectKey]*suspect)}
}

// refusalReason returns why a request may not be sent now, or Picked. A request
// with a broken call is probed with one call at a time on leaves that have not
// answered it.
func (s *suspects) refusalReason(at time.Duration, l *leaf, p PickInfo) Reason {
	x := s.find(at, suspectKey{l.service.name, p.Fingerprint})
	switch {
	case x == nil:
		return Picked
	case x.refusedUntil > at:
		return CrashSuspect
	case s.answered.has(at, l, p.Fingerprint):
		return Picked
	case p.Hedge:
		return CrashSuspect
	case x.probeStartedAt > 0 && at-x.probeStartedAt < suspectProbeTimeout:
		return AllBusy
	}
	return Picked
}

// find returns the record of the request, or nil if there is none that is
// current.
func (s *suspects) find(at time.Duration, key suspectKey) *suspect {
	if len(s.byKey) == 0 || key.fingerprint == 0 {
		return nil
	}
	x := s.byKey[key]
	if x == nil || x.isExpired(at) {
		return nil
	}
	return x
}

// recordPick records that a call of the request is about to begin.
func (s *suspects) recordPick(at time.Duration, l *leaf, p PickInfo) {
	x := s.find(at, suspectKey{l.service.name, p.Fingerprint})
	if x != nil && !s.answered.has(at, l, p.Fingerprint) {
		x.probeStartedAt = at
	}
}

// observe records how a call ended.
func (s *suspects) observe(at time.Duration, srv *Server, o Observation) {
	if o.Fingerprint == 0 {
		return
	}
	key := suspectKey{srv.Service, o.Fingerprint}
	x := s.find(at, key)
	if x != nil && at-o.Latency >= x.probeStartedAt {
		x.probeStartedAt = 0
	}
	switch o.Result {
	case ResultOK:
		s.answered.add(at, srv.leaf, o.Fingerprint)
		s.clearBreaks(at, key, x, o)
	case ResultBroken:
		if !s.answered.has(at, srv.leaf, o.Fingerprint) {
			s.recordBreak(at, key, x, srv, o)
		}
	}
}

// clearBreaks drops the record of a request that is not refused now if the
// answered call was sent after the first break.
func (s *suspects) clearBreaks(at time.Duration, key suspectKey, x *suspect, o Observation) {
	if x != nil && x.refusedUntil <= at && at-o.Latency >= x.firstBreakAt {
		delete(s.byKey, key)
	}
}

// recordBreak records a broken call. The request becomes a suspect by a second
// break on another server, of a call sent after the first break was observed: calls
// that were in flight together may break together for any reason.
func (s *suspects) recordBreak(at time.Duration, key suspectKey, x *suspect, srv *Server, o Observation) {
	if x == nil {
		s.evict(at)
		s.byKey[key] = &suspect{brokenOn: []*Server{srv}, firstBreakAt: at, updatedAt: at}
		return
	}
	x.updatedAt = at
	if x.refusals > 0 {
		s.refuse(at, key, x)
		return
	}
	if contains(x.brokenOn, srv) {
		return
	}
	if len(x.brokenOn) < maxBreaks {
		x.brokenOn = append(x.brokenOn, srv)
	}
	if x.firstBreakAt > 0 && at-o.Latency >= x.firstBreakAt {
		s.refuse(at, key, x)
	}
}

// refuse makes the request a suspect to be announced to the peers, unless many
// requests become suspects at once.
func (s *suspects) refuse(at time.Duration, key suspectKey, x *suspect) {
	if x.refusedUntil <= at {
		s.unannounced = append(s.unannounced, key)
		if !slices.Contains(s.recentlyRefused, key) { // one recurring request is not a burst
			s.recentlyRefused = append(s.recentlyRefused, key)
		}
		x.refusedAt = at
		x.refusedUntil = at + refusalDuration(x.refusals)
		x.refusals++
	}
	s.recentlyRefused = slices.DeleteFunc(s.recentlyRefused, func(k suspectKey) bool {
		y := s.byKey[k]
		return y == nil || at-y.refusedAt > burstWindow
	})
	if len(s.recentlyRefused) >= burstRequests {
		s.releaseBurst()
	}
}

// refusalDuration returns how long a request is refused after the given number
// of earlier refusals.
func refusalDuration(refusals int) time.Duration {
	d := firstRefusal
	for range refusals {
		d = min(d*refusalGrowth, maxRefusal)
	}
	return d
}

// releaseBurst drops the suspects found in a burst, which points to a network
// partition. A request that does crash servers is found again when it comes
// alone.
func (s *suspects) releaseBurst() {
	for _, key := range s.recentlyRefused {
		delete(s.byKey, key)
	}
	s.unannounced = slices.DeleteFunc(s.unannounced, func(key suspectKey) bool {
		return s.byKey[key] == nil
	})
}

// evict makes room for one record if there are maxSuspects: it drops the expired
// records or, if there is none, the oldest record, preferably of a request that
// was never refused.
func (s *suspects) evict(at time.Duration) {
	if len(s.byKey) < maxSuspects {
		return
	}
	var oldest suspectKey
	var first *suspect
	for key, x := range s.byKey {
		if x.isExpired(at) {
			delete(s.byKey, key)
			continue
		}
		if first == nil || x.isEvictedBefore(first) {
			oldest, first = key, x
		}
	}
	if len(s.byKey) >= maxSuspects {
		delete(s.byKey, oldest)
	}
}

// TakeSuspicions returns the suspicions found by this host since the last call,
// except those so new that they may turn out to be a network partition.
func (r *Router) TakeSuspicions() []Suspicion {
	var out []Suspicion
	t := &r.suspects
	t.unannounced = slices.DeleteFunc(t.unannounced, func(key suspectKey) bool {
		x := t.byKey[key]
		if x == nil || x.refusedUntil <= r.last {
			return true
		}
		if r.last-x.refusedAt < announceDelay {
			return false
		}
		out = append(out, Suspicion{
			Service: key.service, Fingerprint: key.fingerprint, Until: r.start.Add(x.refusedUntil),
		})
		return true
	})
	return out
}

// AddSuspicion records a peer's suspicion. It lasts no longer than one of
// this host's own could, whatever the peer's clock says.
func (r *Router) AddSuspicion(now time.Time, s Suspicion) {
	at := r.at(now)
	until := min(s.Until.Sub(r.start), at+maxRefusal)
	if until <= at {
		return
	}
	key := suspectKey{s.Service, s.Fingerprint}
	x := r.suspects.byKey[key]
	if x == nil {
		r.suspects.evict(at)
		x = new(suspect)
		r.suspects.byKey[key] = x
	}
	x.updatedAt, x.refusals = at, max(x.refusals, 1)
	x.refusedUntil = max(x.refusedUntil, until)
}
