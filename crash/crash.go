// Package crash collects the hosts' reports of requests that crash backend
// servers and decides which requests are refused as a result. It does no I/O
// and reads no clock.
package crash

import (
	"strconv"
	"time"
)

// RefusalThreshold is the number of servers that a request must have crashed
// before it is refused. The users require a refusal after the third crash.
const RefusalThreshold = 3

// Report is a host's finding about a request and a backend server.
type Report struct {
	Fingerprint uint64 `cbor:"1,keyasint"`
	// Server is the server's ID.
	Server string `cbor:"2,keyasint"`
	// AgeMs is how long ago the event happened, in milliseconds.
	AgeMs   int64  `cbor:"3,keyasint"`
	Service string `cbor:"4,keyasint"`
	// StartUnixMs distinguishes incarnations that share a server ID.
	StartUnixMs int64 `cbor:"5,keyasint"`
	// Answered is set if the server answered the request; otherwise the server
	// ended while working on it.
	Answered bool `cbor:"6,keyasint,omitempty"`
	// Serial distinguishes several answers of one server; the reporting host
	// may choose any number.
	Serial int64 `cbor:"7,keyasint,omitempty"`
}

// key identifies what a report is about, however often the report is forwarded.
type key struct {
	fingerprint uint64
	incarnation
	serial int64
}

func (r Report) key() key {
	return key{r.Fingerprint, incarnation{r.Service, r.Server, r.StartUnixMs}, r.Serial}
}

// Verdict is the conclusion from all reports about a request.
type Verdict struct {
	// Crashed is the number of crashes that count against the request: those
	// that its later answers do not refute.
	Crashed int
	// RefusedFor is how much longer this host refuses the request; 0 means that
	// it does not.
	RefusedFor time.Duration
}

// Refused reports whether the request is refused.
func (v Verdict) Refused() bool { return v.RefusedFor > 0 }

// FormatFingerprint returns a request's fingerprint as it appears in logs.
func FormatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

// incarnation identifies one incarnation of a server.
type incarnation struct {
	service     string
	server      string
	startUnixMs int64
}

// history holds what is known about one request.
type history struct {
	// crashed holds the servers that ended while running the request, answered
	// the latest answer by service.
	crashed  map[incarnation]event
	answered map[string]event
}

// event is a report with the time at which the event happened. Its sequence is
// its position in the order in which reports were added.
type event struct {
	at       time.Time
	sequence uint64
	report   Report
}

func newHistory() *history {
	return &history{crashed: make(map[incarnation]event), answered: make(map[string]event)}
}

// addAnswer records an answer of a service, unless it is less than
// minAnswerInterval later than the known one, and reports whether it did.
func (h *history) addAnswer(e event) bool {
	service := e.report.Service
	if old, known := h.answered[service]; known && e.at.Sub(old.at) < minAnswerInterval {
		return false
	}
	h.answered[service] = e
	return true
}

// addCrash records a crash and reports whether it did: the latest maxServers
// crashes are kept.
func (h *history) addCrash(e event) bool {
	if len(h.crashed) >= maxServers {
		var oldest incarnation
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
	h.crashed[e.report.key().incarnation] = e
	return true
}

// lastCrash returns the time of the request's last crash.
func (h *history) lastCrash() time.Time {
	var last time.Time
	for _, e := range h.crashed {
		if e.at.After(last) {
			last = e.at
		}
	}
	return last
}

// reachesThreshold reports whether there are enough crashes for a refusal.
func (h *history) reachesThreshold() bool { return len(h.crashed) >= RefusalThreshold }

// compareForEviction orders requests for eviction: first those with too few
// crashes for a refusal, and among equals those whose last crash is oldest.
func (h *history) compareForEviction(o *history) int {
	if h.reachesThreshold() == o.reachesThreshold() {
		return h.lastCrash().Compare(o.lastCrash())
	}
	if o.reachesThreshold() {
		return -1
	}
	return 1
}

// countedCrashes returns the times of the crashes that count against the
// request. A crash does not count if the same service has answered the request
// since. If other services have answered it since, the request does not crash
// every server, and only the crashes of one service count: the one with the
// most.
func (h *history) countedCrashes() []time.Time {
	byService := make(map[string][]time.Time)
	var all []time.Time
	for inc, e := range h.crashed {
		if answered, ok := h.answered[inc.service]; ok && !answered.at.Before(e.at) {
			continue
		}
		byService[inc.service] = append(byService[inc.service], e.at)
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

// answeredSince reports whether any service has answered since the first of the
// crashes.
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
