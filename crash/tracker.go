package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxRequests bounds the requests tracked and maxServers the crashes of
	// each, so that all reports fit into a message of some 60 KB.
	maxRequests = 128
	maxServers  = 8
	// suspectRetention is how long requests with too few crashes for a refusal
	// are remembered: callers of such requests retry after 20 s at most.
	suspectRetention = 10 * time.Minute
	// initialRefusal is how long a request is refused once it has crashed
	// enough servers. After each further episode of crashes the refusal is
	// refusalGrowth times longer, up to maxRefusal. The users allow three calls
	// after the third crash, over a whole day.
	initialRefusal = time.Minute
	refusalGrowth  = 16
	maxRefusal     = 24 * time.Hour
	// episodeGap is the least time between crashes of two episodes: less than
	// initialRefusal, and far more than reports take to reach all hosts.
	episodeGap = 30 * time.Second
	// minAnswerInterval is how much later an answer must be to replace a known
	// one. It limits the answers that are forwarded to one a second.
	minAnswerInterval = time.Second
	// maxSeen bounds the keys in each of the two generations of seen reports:
	// eight times the number of reports kept.
	maxSeen = 8 * maxRequests * maxServers
)

// Tracker holds the reports of all hosts. It is not safe for concurrent use.
type Tracker struct {
	host      string
	byRequest map[uint64]*history
	// version counts the reports that changed the state.
	version uint64
	// seen holds the keys of all reports that were added or rejected, so that
	// each counts once. Otherwise a report that comes back, with its age grown
	// by the time in transit, would push out another one, which would come back
	// in turn, without end.
	seen, seenPrevious map[key]bool
}

// NewTracker returns a Tracker without reports for the host with the given
// address.
func NewTracker(host string) *Tracker {
	return &Tracker{host: host, byRequest: make(map[uint64]*history), seen: make(map[key]bool)}
}

// Add adds a report and reports whether it changed the state.
func (t *Tracker) Add(now time.Time, p Report) bool {
	at := now.Add(-time.Duration(p.AgeMs) * time.Millisecond)
	if now.Sub(at) > 2*maxRefusal {
		return false
	}
	h := t.byRequest[p.Fingerprint]
	if p.Answered && h == nil || t.markSeen(p.key()) {
		return false
	}
	p.AgeMs = 0
	e := event{at, t.version + 1, p}
	changed := false
	switch {
	case p.Answered:
		changed = h.addAnswer(e)
	case h != nil:
		changed = h.addCrash(e)
	case t.evictFor(at):
		h = newHistory()
		t.byRequest[p.Fingerprint] = h
		changed = h.addCrash(e)
	}
	if changed {
		t.version++
	}
	return changed
}

// Version returns the number of reports that have changed the state.
func (t *Tracker) Version() uint64 { return t.version }

// markSeen remembers the key and reports whether it was known.
func (t *Tracker) markSeen(k key) bool {
	if t.seen[k] || t.seenPrevious[k] {
		return true
	}
	if len(t.seen) >= maxSeen {
		t.seen, t.seenPrevious = make(map[key]bool), t.seen
	}
	t.seen[k] = true
	return false
}

// evictFor makes room for a request that crashed a server at the given time, by
// dropping the first request in the order of compareForEviction. It reports
// false if that request is the new one.
func (t *Tracker) evictFor(at time.Time) bool {
	if len(t.byRequest) < maxRequests {
		return true
	}
	evicted, first := uint64(0), (*history)(nil)
	for _, f := range slices.Sorted(maps.Keys(t.byRequest)) {
		if h := t.byRequest[f]; first == nil || h.compareForEviction(first) < 0 {
			evicted, first = f, h
		}
	}
	if !first.reachesThreshold() && first.lastCrash().After(at) {
		return false
	}
	delete(t.byRequest, evicted)
	return true
}

// Reports returns the known reports that were added after the given version, in
// the order in which they were added.
func (t *Tracker) Reports(now time.Time, after uint64) []Report {
	if after >= t.version {
		return nil
	}
	t.expire(now)
	var events []event
	for _, h := range t.byRequest {
		for _, e := range h.crashed {
			events = append(events, e)
		}
		for _, e := range h.answered {
			events = append(events, e)
		}
	}
	events = slices.DeleteFunc(events, func(e event) bool { return e.sequence <= after })
	slices.SortFunc(events, func(a, b event) int { return cmp.Compare(a.sequence, b.sequence) })
	var out []Report
	for _, e := range events {
		p := e.report
		p.AgeMs = now.Sub(e.at).Milliseconds()
		out = append(out, p)
	}
	return out
}

// Verdicts returns the verdict on each request with crashes that count against
// it.
func (t *Tracker) Verdicts(now time.Time) map[uint64]Verdict {
	t.expire(now)
	out := make(map[uint64]Verdict)
	for f, h := range t.byRequest {
		if times := h.countedCrashes(); len(times) > 0 {
			out[f] = Verdict{Crashed: len(times), RefusedFor: t.refusedFor(now, f, times)}
		}
	}
	return out
}

// CrashedServers returns the known servers that ended while running the
// request.
func (t *Tracker) CrashedServers(fingerprint uint64) []string {
	var out []string
	if h := t.byRequest[fingerprint]; h != nil {
		for inc := range h.crashed {
			out = append(out, inc.server)
		}
	}
	slices.Sort(out)
	return out
}

// refusedFor returns how much longer a request with crashes at the given times
// is refused. The refusal ends at a different time on each host, so that a
// further crash at one host becomes known before the others admit the request.
func (t *Tracker) refusedFor(now time.Time, fingerprint uint64, times []time.Time) time.Duration {
	if len(times) < RefusalThreshold {
		return 0
	}
	slices.SortFunc(times, time.Time.Compare)
	refusal := initialRefusal
	for i := 1; i < len(times) && refusal < maxRefusal; i++ {
		if times[i].Sub(times[i-1]) > episodeGap {
			refusal *= refusalGrowth
		}
	}
	refusal = min(refusal, maxRefusal)
	jitter := time.Duration(float64(refusal) * hostJitter(t.host, fingerprint))
	return max(times[len(times)-1].Add(refusal+jitter).Sub(now), 0)
}

// hostJitter returns a number from 0 to 1 that depends on the host and the
// request.
func hostJitter(host string, fingerprint uint64) float64 {
	return float64(xxhash.Sum64String(host+FormatFingerprint(fingerprint))>>11) / (1 << 53)
}

// expire drops requests whose last crash is too old to matter.
func (t *Tracker) expire(now time.Time) {
	maps.DeleteFunc(t.byRequest, func(_ uint64, h *history) bool {
		retention := suspectRetention
		if h.reachesThreshold() {
			retention = 2 * maxRefusal
		}
		return now.Sub(h.lastCrash()) > retention
	})
}
