// Package crash keeps what hosts report of requests that backend servers do not
// survive, and says which requests are refused for it. It does no I/O and reads
// no clock.
package crash

import (
	"strconv"
	"time"
)

// RefusalThreshold is how many servers a request must have crashed before it is refused;
// the users' rule names the third.
const RefusalThreshold = 3

// Report is what a host has found of a request and a backend server.
type Report struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Server is the server's ID.
	Server string `cbor:"2,keyasint"`
	// AgeMs is how long ago it happened, in milliseconds.
	AgeMs   int64  `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	// StartUnixMs tells lifetimes of one server ID apart.
	StartUnixMs int64 `cbor:"5,keyasint"`
	// Answered is set when the server answered the request; else it ended
	// while it worked on it.
	Answered bool `cbor:"6,keyasint,omitempty"`
	// Serial tells answers of one server apart; it is any number of the host
	// that reports.
	Serial int64 `cbor:"7,keyasint,omitempty"`
}

// key names what a report is about, however often it is passed on.
type key struct {
	fingerprint uint64
	lifetime
	serial int64
}

func (p Report) key() key {
	return key{p.Fingerprint, lifetime{p.Service, p.Server, p.StartUnixMs}, p.Serial}
}

// Verdict is what all reports of a request come to.
type Verdict struct {
	// Crashed is how many servers ended under the request and nothing speaks
	// for it.
	Crashed int
	// RefusedFor is how much longer this host refuses the request; 0 is not.
	RefusedFor time.Duration
}

// Refused reports whether the request is refused.
func (v Verdict) Refused() bool { return v.RefusedFor > 0 }

// FormatFingerprint returns a request's fingerprint as logs name it.
func FormatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

// lifetime names one lifetime of a server.
type lifetime struct {
	service string
	server  string
	born    int64
}

// history is what is known of one request.
type history struct {
	// crashed are the servers that ended under it, answered the services that
	// answered it, with when.
	crashed  map[lifetime]event
	answered map[string]event
}

// event is when something happened, and the report that tells it. Its number
// is its place in the order in which reports were taken in.
type event struct {
	at     time.Time
	number uint64
	report Report
}

func newHistory() *history {
	return &history{crashed: make(map[lifetime]event), answered: make(map[string]event)}
}

// takeAnswer notes an answer of a service and reports whether it is news.
func (h *history) takeAnswer(e event) bool {
	service := e.report.Service
	if old, known := h.answered[service]; known && e.at.Sub(old.at) < answerStep {
		return false
	}
	h.answered[service] = e
	return true
}

// takeCrash notes a crash and reports whether it is news. The latest are kept.
func (h *history) takeCrash(e event) bool {
	if len(h.crashed) >= maxServers {
		var oldest lifetime
		first := e.at
		for o, x := range h.crashed {
			if x.at.Before(first) {
				oldest, first = o, x.at
			}
		}
		if first.Equal(e.at) {
			return false
		}
		delete(h.crashed, oldest)
	}
	h.crashed[e.report.key().lifetime] = e
	return true
}

// last returns when the last server ended under the request.
func (h *history) last() time.Time {
	var last time.Time
	for _, e := range h.crashed {
		if e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// enough reports whether the servers that ended suffice for a refusal.
func (h *history) enough() bool { return len(h.crashed) >= RefusalThreshold }

// compare has requests that are or were refused after all others, then those
// that crashed a server last.
func (h *history) compare(o *history) int {
	if h.enough() == o.enough() {
		return h.last().Compare(o.last())
	}
	if o.enough() {
		return -1
	}
	return 1
}

// standing returns when servers ended under the request, without those for
// which something else accounts. A service that has answered the request since
// survives it, and one request that other services answer does not crash every
// server: only those of one service count then.
func (h *history) standing() []time.Time {
	byService := make(map[string][]time.Time)
	var all []time.Time
	for l, e := range h.crashed {
		if answered, ok := h.answered[l.service]; ok && !answered.at.Before(e.at) {
			continue
		}
		byService[l.service] = append(byService[l.service], e.at)
		all = append(all, e.at)
	}
	if !h.answeredSince(all) {
		return all
	}
	var most []time.Time
	for _, list := range byService {
		if len(list) > len(most) {
			most = list
		}
	}
	return most
}

// answeredSince reports whether any server answered after the first crash.
func (h *history) answeredSince(crashes []time.Time) bool {
	for _, answered := range h.answered {
		for _, at := range crashes {
			if !answered.at.Before(at) {
				return true
			}
		}
	}
	return false
}
