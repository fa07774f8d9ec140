package policy

import (
	"slices"
	"time"
)

// Crash suspects.
const (
	// markFor is how long a broken call is remembered.
	markFor = 2 * time.Minute
	// suspectFor is how long a suspect is refused, and refusalGrowth how many
	// times longer each time that it breaks a call when it is let in again, up
	// to mostRefusal; as package crash has it.
	suspectFor    = 5 * time.Minute
	refusalGrowth = 16
	mostRefusal   = 24 * time.Hour
	// maxSuspects bounds the record; the oldest go first.
	maxSuspects = 1024
	// maxBreaks bounds the servers remembered for one request.
	maxBreaks = 64
	// stormWindow and stormRequests tell a network cut from crashes: so many
	// requests would become suspects within the window.
	stormWindow   = time.Second
	stormRequests = 3
	// tellAfter is how long a finding waits before peers are told, so that a
	// storm shows first.
	tellAfter = 50 * time.Millisecond
	// trialFor is how long a request with a break waits for its one trial.
	trialFor = 300 * time.Millisecond
)

// Suspicion is what hosts tell each other of a request that crashes backend
// servers.
type Suspicion struct {
	Service     string    `cbor:"1,keyasint"`
	Fingerprint uint64    `cbor:"2,keyasint"`
	Until       time.Time `cbor:"3,keyasint"`
}

// suspectKey names a request, however often it is sent.
type suspectKey struct {
	service     string
	fingerprint uint64
}

// suspect is the record of one request whose calls broke off.
type suspect struct {
	// breaks are the servers on which calls broke off.
	breaks []*Server
	// known is when the first break was seen.
	known time.Duration
	last  time.Duration
	// trial is when the one call began that shows whether the request crashes
	// servers; 0 while there is none.
	trial time.Duration
	// refusedAt and refusedUntil are set once the request is refused, times is
	// how often it was.
	refusedAt    time.Duration
	refusedUntil time.Duration
	times        int
}

// goesBefore reports whether the record is dropped before another one: those of
// requests that were never refused first, then the oldest.
func (x *suspect) goesBefore(o *suspect) bool {
	if (x.times > 0) != (o.times > 0) {
		return x.times == 0
	}
	return x.last < o.last
}

// lapsed reports whether the record may be forgotten.
func (x *suspect) lapsed(at time.Duration) bool {
	if x.times > 0 {
		return at-x.refusedUntil > mostRefusal
	}
	return at-x.last > markFor
}

// suspects records the requests that seem to crash backend servers.
type suspects struct {
	byKey map[suspectKey]*suspect
	// fresh are suspects that peers have not been told of.
	fresh []suspectKey
	// refused are the latest that this host found.
	refused []suspectKey
	answers answers
}

func newSuspects() suspects {
	return suspects{byKey: make(map[suspectKey]*suspect)}
}

// reason tells why a request may not be sent now, or Picked. One with a break
// is tried by one call at a time, on leaves that have not answered it.
func (t *suspects) reason(at time.Duration, l *leaf, p PickInfo) Reason {
	x := t.find(at, suspectKey{l.service.name, p.Fingerprint})
	switch {
	case x == nil:
		return Picked
	case x.refusedUntil > at:
		return CrashSuspect
	case t.answers.has(at, l, p.Fingerprint):
		return Picked
	case p.Hedge:
		return CrashSuspect
	case x.trial > 0 && at-x.trial < trialFor:
		return AllBusy
	}
	return Picked
}

// find returns the record of the request, or nil where none is in force.
func (t *suspects) find(at time.Duration, key suspectKey) *suspect {
	if len(t.byKey) == 0 || key.fingerprint == 0 {
		return nil
	}
	x := t.byKey[key]
	if x == nil || x.lapsed(at) {
		return nil
	}
	return x
}

// picked notes that a call of the request is about to begin.
func (t *suspects) picked(at time.Duration, l *leaf, p PickInfo) {
	x := t.find(at, suspectKey{l.service.name, p.Fingerprint})
	if x != nil && !t.answers.has(at, l, p.Fingerprint) {
		x.trial = at
	}
}

// observe takes in how a call ended.
func (t *suspects) observe(at time.Duration, srv *Server, o Observation) {
	if o.Fingerprint == 0 {
		return
	}
	key := suspectKey{srv.Service, o.Fingerprint}
	x := t.find(at, key)
	if x != nil && at-o.Latency >= x.trial {
		x.trial = 0
	}
	switch o.Result {
	case ResultOK:
		t.answers.add(at, srv.leaf, o.Fingerprint)
		t.clear(at, key, x, o)
	case ResultBroken:
		if !t.answers.has(at, srv.leaf, o.Fingerprint) {
			t.broke(at, key, x, srv, o)
		}
	}
}

// clear forgets breaks of a request that was tried since and answered.
func (t *suspects) clear(at time.Duration, key suspectKey, x *suspect, o Observation) {
	if x != nil && x.refusedUntil <= at && at-o.Latency >= x.known {
		delete(t.byKey, key)
	}
}

// broke records a break. A second one, on another server and of a call that
// was sent when the first was known, makes the request a suspect: calls that
// were sent together may have broken off together for any cause.
func (t *suspects) broke(at time.Duration, key suspectKey, x *suspect, srv *Server, o Observation) {
	if x == nil {
		t.makeRoom(at)
		t.byKey[key] = &suspect{breaks: []*Server{srv}, known: at, last: at}
		return
	}
	x.last = at
	if x.times > 0 {
		t.refuse(at, key, x)
		return
	}
	if contains(x.breaks, srv) {
		return
	}
	if len(x.breaks) < maxBreaks {
		x.breaks = append(x.breaks, srv)
	}
	if x.known > 0 && at-o.Latency >= x.known {
		t.refuse(at, key, x)
	}
}

// refuse makes the request a suspect that peers are to be told of, unless
// many become suspects at once.
func (t *suspects) refuse(at time.Duration, key suspectKey, x *suspect) {
	if x.refusedUntil <= at {
		t.fresh = append(t.fresh, key)
		if !slices.Contains(t.refused, key) { // one request is no storm
			t.refused = append(t.refused, key)
		}
		x.refusedAt = at
		x.refusedUntil = at + refusalFor(x.times)
		x.times++
	}
	t.refused = slices.DeleteFunc(t.refused, func(k suspectKey) bool {
		y := t.byKey[k]
		return y == nil || at-y.refusedAt > stormWindow
	})
	if len(t.refused) >= stormRequests {
		t.calm()
	}
}

// refusalFor returns how long a request is refused that was so often before.
func refusalFor(times int) time.Duration {
	d := suspectFor
	for range times {
		d = min(d*refusalGrowth, mostRefusal)
	}
	return d
}

// calm lets go the suspects found in a storm. It is not their doing, and one
// that does crash servers is found again when it comes alone.
func (t *suspects) calm() {
	for _, key := range t.refused {
		delete(t.byKey, key)
	}
	t.fresh = slices.DeleteFunc(t.fresh, func(key suspectKey) bool {
		return t.byKey[key] == nil
	})
}

// makeRoom drops records that have lapsed, and if none has the oldest, of a
// request that is not refused if there is one.
func (t *suspects) makeRoom(at time.Duration) {
	if len(t.byKey) < maxSuspects {
		return
	}
	var oldest suspectKey
	var first *suspect
	for key, x := range t.byKey {
		if x.lapsed(at) {
			delete(t.byKey, key)
			continue
		}
		if first == nil || x.goesBefore(first) {
			oldest, first = key, x
		}
	}
	if len(t.byKey) >= maxSuspects {
		delete(t.byKey, oldest)
	}
}

// NewSuspicions returns what this host has found since the last call, except
// for findings so new that they may turn out to be a network cut.
func (r *Router) NewSuspicions() []Suspicion {
	var out []Suspicion
	t := &r.suspects
	t.fresh = slices.DeleteFunc(t.fresh, func(key suspectKey) bool {
		x := t.byKey[key]
		if x == nil || x.refusedUntil <= r.last {
			return true
		}
		if r.last-x.refusedAt < tellAfter {
			return false
		}
		out = append(out, Suspicion{
			Service: key.service, Fingerprint: key.fingerprint, Until: r.start.Add(x.refusedUntil),
		})
		return true
	})
	return out
}

// LearnSuspicion takes in a peer's suspicion. It lasts no longer than this host's own
// may, whatever the peer's clock says.
func (r *Router) LearnSuspicion(now time.Time, s Suspicion) {
	at := r.at(now)
	until := min(s.Until.Sub(r.start), at+mostRefusal)
	if until <= at {
		return
	}
	key := suspectKey{s.Service, s.Fingerprint}
	x := r.suspects.byKey[key]
	if x == nil {
		r.suspects.makeRoom(at)
		x = new(suspect)
		r.suspects.byKey[key] = x
	}
	x.last, x.times = at, max(x.times, 1)
	x.refusedUntil = max(x.refusedUntil, until)
}
