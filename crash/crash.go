// Package crash keeps what hosts report of requests that backend servers do not
// survive, and says which requests are refused for it. It does no I/O and reads
// no clock.
package crash

import (
	"strconv"
	"time"
)

// Refuse is how many servers a request must have crashed before it is refused;
// the users' rule names the third.
const Refuse = 3

// Report is what a host has found of a request and a backend server.
type Report struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Server is the server's ID.
	Server string `cbor:"2,keyasint"`
	// AgeMs is how long ago it happened, in milliseconds.
	AgeMs   int64  `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	// Born tells lifetimes of one server ID apart.
	Born int64 `cbor:"5,keyasint"`
	// Answered is set when the server answered the request; else it ended
	// while it worked on it.
	Answered bool `cbor:"6,keyasint,omitempty"`
}

// Verdict is what all reports of a request come to.
type Verdict struct {
	// Crashed is how many servers ended under the request and nothing speaks
	// for it.
	Crashed int
}

// Refused reports whether the request is refused.
func (v Verdict) Refused() bool { return v.Crashed >= Refuse }

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
	crashed  map[lifetime]time.Time
	answered map[string]time.Time
}

func newHistory() *history {
	return &history{crashed: make(map[lifetime]time.Time), answered: make(map[string]time.Time)}
}

// standing returns when servers ended under the request, without those for
// which something else accounts. A service that has answered the request since
// survives it, and one request that other services answer does not crash every
// server: only those of one service count then.
func (h *history) standing() []time.Time {
	byService := make(map[string][]time.Time)
	var all []time.Time
	for l, at := range h.crashed {
		if answered, ok := h.answered[l.service]; ok && !answered.Before(at) {
			continue
		}
		byService[l.service] = append(byService[l.service], at)
		all = append(all, at)
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
			if !answered.Before(at) {
				return true
			}
		}
	}
	return false
}
