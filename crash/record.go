package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRequests bounds the requests on record and maxServers the servers of
	// one, so that all reports fit a message of some 60 KB.
	maxRequests = 128
	maxServers  = 8
	// suspectFor is how long too few crashes for a refusal are remembered:
	// callers of such requests were seen to come again every 20 s at most.
	suspectFor = 10 * time.Minute
	// firstRefusal is how long a request is refused after it has crashed enough
	// servers, and refusalGrowth how many times longer after each further
	// episode, up to mostRefusal. The users allow three calls later than that,
	// over a whole day.
	firstRefusal  = time.Minute
	refusalGrowth = 16
	mostRefusal   = 24 * time.Hour
	// episodeGap is the least time between crashes of two episodes: less than
	// firstRefusal, and far more than news takes to reach all hosts.
	episodeGap = 30 * time.Second
	// answerStep is how much later an answer must be to replace one that is
	// known: ages grow by the time on the way each time they are passed on.
	answerStep = time.Second
)

// Record holds the reports of all hosts. It is not safe for concurrent use.
type Record struct {
	host      string
	byRequest map[uint64]*history
}

// NewRecord returns a Record without reports for the host of that address.
func NewRecord(host string) *Record {
	return &Record{host: host, byRequest: make(map[uint64]*history)}
}

// Take takes in a report and reports whether it changes what is known.
func (r *Record) Take(now time.Time, p Report) bool {
	at := now.Add(-time.Duration(p.AgeMs) * time.Millisecond)
	if now.Sub(at) > 2*mostRefusal {
		return false
	}
	h := r.byRequest[p.Fingerprint]
	if p.Answered {
		return h != nil && h.takeAnswer(p.Service, at)
	}
	if h == nil {
		h = newHistory()
		if !r.makeRoom(at) {
			return false
		}
		r.byRequest[p.Fingerprint] = h
	}
	return h.takeCrash(lifetime{p.Service, p.Server, p.Born}, at)
}

// makeRoom drops the first request in the order of compare. It reports false
// where that would be one whose only crash was at that time.
func (r *Record) makeRoom(at time.Time) bool {
	if len(r.byRequest) < maxRequests {
		return true
	}
	least, first := uint64(0), (*history)(nil)
	for _, f := range slices.Sorted(maps.Keys(r.byRequest)) {
		if h := r.byRequest[f]; first == nil || h.compare(first) < 0 {
			least, first = f, h
		}
	}
	if !first.enough() && first.last().After(at) {
		return false
	}
	delete(r.byRequest, least)
	return true
}

// Reports returns what is to be passed on, in a fixed order.
func (r *Record) Reports(now time.Time) []Report {
	r.lapse(now)
	var out []Report
	for f, h := range r.byRequest {
		for l, at := range h.crashed {
			out = append(out, Report{Fingerprint: f, Server: l.server, AgeMs: now.Sub(at).Milliseconds(), Service: l.service, Born: l.born})
		}
		for service, at := range h.answered {
			out = append(out, Report{Fingerprint: f, AgeMs: now.Sub(at).Milliseconds(), Service: service, Answered: true})
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// compare has crashes before answers, as an answer alone says nothing.
func compare(a, b Report) int {
	rank := func(p Report) int {
		if p.Answered {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Fingerprint, b.Fingerprint), cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Server, b.Server), cmp.Compare(a.Born, b.Born),
	)
}

// Verdicts returns what the reports come to for each request that a server has
// crashed under.
func (r *Record) Verdicts(now time.Time) map[uint64]Verdict {
	r.lapse(now)
	out := make(map[uint64]Verdict)
	for f, h := range r.byRequest {
		if times := h.standing(); len(times) > 0 {
			out[f] = Verdict{Crashed: len(times), RefusedFor: r.refusedFor(now, f, times)}
		}
	}
	return out
}

// refusedFor returns how much longer a request is refused under which servers
// ended at those times. Hosts let it in again one after the other, so that the
// first one's finding reaches the others.
func (r *Record) refusedFor(now time.Time, fingerprint uint64, times []time.Time) time.Duration {
	if len(times) < Refuse {
		return 0
	}
	slices.SortFunc(times, time.Time.Compare)
	refusal := firstRefusal
	for i := 1; i < len(times) && refusal < mostRefusal; i++ {
		if times[i].Sub(times[i-1]) > episodeGap {
			refusal *= refusalGrowth
		}
	}
	refusal = min(refusal, mostRefusal)
	spread := time.Duration(float64(refusal) * hostShare(r.host, fingerprint))
	return max(times[len(times)-1].Add(refusal+spread).Sub(now), 0)
}

// hostShare draws a number from 0 to 1 for a host and a request.
func hostShare(host string, fingerprint uint64) float64 {
	return float64(xxhash.Sum64String(host+FormatFingerprint(fingerprint))>>11) / (1 << 53)
}

// lapse forgets requests that have crashed nothing for long.
func (r *Record) lapse(now time.Time) {
	maps.DeleteFunc(r.byRequest, func(_ uint64, h *history) bool {
		keep := suspectFor
		if h.enough() {
			keep = 2 * mostRefusal
		}
		return now.Sub(h.last()) > keep
	})
}
