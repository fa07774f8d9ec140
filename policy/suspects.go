package policy

import (
	"slices"
	"time"
)

// Crash suspects.
const (
	// crashesToRefuse is on how many servers a request must have broken off.
	crashesToRefuse = 2
	// markFor is how long one break is remembered, suspectFor how long a
	// suspect is refused.
	markFor    = 2 * time.Minute
	suspectFor = 5 * time.Minute
	// maxSuspects bounds the record; the oldest go first.
	maxSuspects = 1024
	// maxBreaks bounds the servers remembered for one request.
	maxBreaks = 64
	// stormWindow and stormRequests tell a network cut: so many requests broke
	// off on several servers within the window.
	stormWindow   = time.Second
	stormRequests = 3
	// stormLead is how many times the runner-up's servers a request must have
	// broken off on to be a suspect in a storm.
	stormLead = 2
	// tellAfter is how long a finding waits before peers are told, so that a
	// storm shows first.
	tellAfter = 200 * time.Millisecond
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
	last   time.Duration
	// refusedUntil is set once the request is refused.
	refusedUntil time.Duration
}

// suspects records the requests that seem to crash backend servers.
type suspects struct {
	byKey map[suspectKey]*suspect
	// fresh are suspects that peers have not been told of.
	fresh []suspectKey
}

func newSuspects() suspects {
	return suspects{byKey: make(map[suspectKey]*suspect)}
}

// refuses reports whether the pick is for a request that may not be sent. A
// request with one break may be tried once more, but not twice at once.
func (t *suspects) refuses(at time.Duration, service string, p Pick) bool {
	if len(t.byKey) == 0 || p.Fingerprint == 0 {
		return false
	}
	x := t.byKey[suspectKey{service, p.Fingerprint}]
	if x == nil {
		return false
	}
	if x.refusedUntil > at {
		return true
	}
	return p.Hedge && at-x.last < markFor
}

// observe takes in how a call ended.
func (t *suspects) observe(at time.Duration, srv *Server, o Observation, on bool) {
	if o.Fingerprint == 0 || !on {
		return
	}
	key := suspectKey{srv.Service, o.Fingerprint}
	switch {
	case o.Result == ResultBroken:
		t.broke(at, key, srv)
	case o.Result == ResultOK && len(t.byKey) > 0:
		t.clear(at, key, srv)
	}
}

// clear forgets breaks on the leaf's servers once one of them has answered
// the request.
func (t *suspects) clear(at time.Duration, key suspectKey, srv *Server) {
	x := t.byKey[key]
	if x == nil || x.refusedUntil > at {
		return
	}
	kept := x.breaks[:0]
	for _, b := range x.breaks {
		if b.leaf != srv.leaf {
			kept = append(kept, b)
		}
	}
	x.breaks = kept
	if len(kept) == 0 {
		delete(t.byKey, key)
	}
}

func (t *suspects) broke(at time.Duration, key suspectKey, srv *Server) {
	x := t.byKey[key]
	if x == nil {
		t.makeRoom(at)
		x = &suspect{}
		t.byKey[key] = x
	}
	if at-x.last > markFor {
		x.breaks = nil
	}
	x.last = at
	if len(x.breaks) < maxBreaks && !contains(x.breaks, srv) {
		x.breaks = append(x.breaks, srv)
	}
	if len(x.breaks) >= crashesToRefuse {
		t.judge(at, key, x)
	}
}

// judge decides on a request that broke off on enough servers. Where many
// requests did of late, only one that stands out is refused, and others that
// were refused before that showed are let go.
func (t *suspects) judge(at time.Duration, key suspectKey, x *suspect) {
	c := t.count(at)
	if c.requests < stormRequests {
		t.refuse(at, key, x)
		return
	}
	for key, y := range t.byKey {
		switch {
		case !y.recent(at):
		case len(y.breaks) >= stormLead*c.mostBut(y):
			t.refuse(at, key, y)
		default:
			y.refusedUntil = 0
		}
	}
}

// refuse makes the request a suspect that peers are to be told of.
func (t *suspects) refuse(at time.Duration, key suspectKey, x *suspect) {
	if x.refusedUntil <= at && !slices.Contains(t.fresh, key) {
		t.fresh = append(t.fresh, key)
	}
	x.refusedUntil = at + suspectFor
}

// recent reports whether the request broke off on several servers of late.
func (x *suspect) recent(at time.Duration) bool {
	return at-x.last <= stormWindow && len(x.breaks) >= crashesToRefuse
}

// stormCount tells how many requests broke off on several servers of late and
// on how many servers the worst two did.
type stormCount struct {
	requests int
	most     int
	second   int
}

func (t *suspects) count(at time.Duration) stormCount {
	var c stormCount
	for _, x := range t.byKey {
		if !x.recent(at) {
			continue
		}
		c.requests++
		n := len(x.breaks)
		if n > c.most {
			c.most, n = n, c.most
		}
		c.second = max(c.second, n)
	}
	return c
}

// mostBut returns the most servers of a request other than x.
func (c stormCount) mostBut(x *suspect) int {
	if len(x.breaks) == c.most {
		return c.second
	}
	return c.most
}

// makeRoom drops records that have lapsed, and the oldest if none has.
func (t *suspects) makeRoom(at time.Duration) {
	if len(t.byKey) < maxSuspects {
		return
	}
	var oldest suspectKey
	var oldestAt time.Duration = -1
	for key, x := range t.byKey {
		if at-x.last > markFor && x.refusedUntil <= at {
			delete(t.byKey, key)
			continue
		}
		if oldestAt < 0 || x.last < oldestAt {
			oldest, oldestAt = key, x.last
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
		if r.last-x.last < tellAfter {
			return false
		}
		out = append(out, Suspicion{
			Service: key.service, Fingerprint: key.fingerprint, Until: r.start.Add(x.refusedUntil),
		})
		return true
	})
	return out
}

// Learn takes in a peer's suspicion. It lasts no longer than this host's own
// would, whatever the peer's clock says.
func (r *Router) Learn(now time.Time, s Suspicion) {
	at := r.at(now)
	until := min(s.Until.Sub(r.start), at+suspectFor)
	if until <= at {
		return
	}
	key := suspectKey{s.Service, s.Fingerprint}
	x := r.suspects.byKey[key]
	if x == nil {
		r.suspects.makeRoom(at)
		x = &suspect{}
		r.suspects.byKey[key] = x
	}
	x.last = at
	x.refusedUntil = max(x.refusedUntil, until)
}
