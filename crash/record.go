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
	// known, so that an answer a second is passed on at most.
	answerStep = time.Second
	// maxSeen bounds the reports remembered as seen, in each of two
	// generations: eight times what is kept.
	maxSeen = 8 * maxRequests * maxServers
)

// Tracker holds the reports of all hosts. It is not safe for concurrent use.
type Tracker struct {
	host      string
	byRequest map[uint64]*history
	// taken numbers the reports that changed what is known.
	taken uint64
	// seen are the reports taken in or passed over: each counts once. A report
	// that comes back later would push out another, and so on without end, as
	// its age has grown by its time on the way.
	seen, seenBefore map[key]bool
}

// NewTracker returns a Record without reports for the host of that address.
func NewTracker(host string) *Tracker {
	return &Tracker{host: host, byRequest: make(map[uint64]*history), seen: make(map[key]bool)}
}

// Add takes in a report and reports whether it changes what is known.
func (r *Tracker) Add(now time.Time, p Report) bool {
	at := now.Add(-time.Duration(p.AgeMs) * time.Millisecond)
	if now.Sub(at) > 2*mostRefusal {
		return false
	}
	h := r.byRequest[p.Fingerprint]
	if p.Answered && h == nil || r.known(p.key()) {
		return false
	}
	p.AgeMs = 0
	e := event{at, r.taken + 1, p}
	changed := false
	switch {
	case p.Answered:
		changed = h.takeAnswer(e)
	case h != nil:
		changed = h.takeCrash(e)
	case r.makeRoom(at):
		h = newHistory()
		r.byRequest[p.Fingerprint] = h
		changed = h.takeCrash(e)
	}
	if changed {
		r.taken++
	}
	return changed
}

// Version returns how many reports have changed what is known.
func (r *Tracker) Version() uint64 { return r.taken }

// known reports whether a report was seen before, and remembers it.
func (r *Tracker) known(k key) bool {
	if r.seen[k] || r.seenBefore[k] {
		return true
	}
	if len(r.seen) >= maxSeen {
		r.seen, r.seenBefore = make(map[key]bool), r.seen
	}
	r.seen[k] = true
	return false
}

// makeRoom drops the first request in the order of compare. It reports false
// where that would be one whose only crash was at that time.
func (r *Tracker) makeRoom(at time.Time) bool {
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

// Reports returns what is known from the reports taken in after so many others,
// in the order in which they were.
func (r *Tracker) Reports(now time.Time, after uint64) []Report {
	if after >= r.taken {
		return nil
	}
	r.lapse(now)
	var events []event
	for _, h := range r.byRequest {
		for _, e := range h.crashed {
			events = append(events, e)
		}
		for _, e := range h.answered {
			events = append(events, e)
		}
	}
	events = slices.DeleteFunc(events, func(e event) bool { return e.number <= after })
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.number, b.number) })
	var out []Report
	for _, e := range events {
		p := e.report
		p.AgeMs = now.Sub(e.at).Milliseconds()
		out = append(out, p)
	}
	return out
}

// Verdicts returns what the reports come to for each request that a server has
// crashed under.
func (r *Tracker) Verdicts(now time.Time) map[uint64]Verdict {
	r.lapse(now)
	out := make(map[uint64]Verdict)
	for f, h := range r.byRequest {
		if times := h.standing(); len(times) > 0 {
			out[f] = Verdict{Crashed: len(times), RefusedFor: r.refusedFor(now, f, times)}
		}
	}
	return out
}

// CrashedServers returns the servers on record that ended under a request.
func (r *Tracker) CrashedServers(fingerprint uint64) []string {
	var out []string
	if h := r.byRequest[fingerprint]; h != nil {
		for l := range h.crashed {
			out = append(out, l.server)
		}
	}
	slices.Sort(out)
	return out
}

// refusedFor returns how much longer a request is refused under which servers
// ended at those times. Hosts let it in again one after the other, so that the
// first one's finding reaches the others.
func (r *Tracker) refusedFor(now time.Time, fingerprint uint64, times []time.Time) time.Duration {
	if len(times) < RefusalThreshold {
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
func (r *Tracker) lapse(now time.Time) {
	maps.DeleteFunc(r.byRequest, func(_ uint64, h *history) bool {
		keep := suspectFor
		if h.enough() {
			keep = 2 * mostRefusal
		}
		return now.Sub(h.last()) > keep
	})
}
