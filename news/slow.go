package news

import (
	"time"

	"github.com/figmast/figmast/route"
)

// slowSpan holds when the first and the last slow call to a server were sent,
// and when the last quick one was. updatedAt is when this host or one in its
// subtree last extended it.
type slowSpan struct{ firstSlow, lastSlow, lastQuick, updatedAt time.Time }

// slowSince returns when the current run of slow calls began: the first slow
// call, or the last quick one if that is later.
func (s slowSpan) slowSince() time.Time { return latest(s.firstSlow, s.lastQuick) }

const (
	// minSlowSpan is how long calls to a server must have been slow for the
	// server to count as slow. Servers pause for up to a quarter of a second,
	// and then take a while to work off the calls that have queued up.
	minSlowSpan = 450 * time.Millisecond
	// slowReportTTL is how long a report is valid after the last slow call.
	slowReportTTL = 2500 * time.Millisecond
	// maxSlowReports bounds the servers reported, and so the message size. It
	// allows for every server of the largest known deployment, as each of them
	// pauses now and then.
	maxSlowReports = 512
)

// NewSlowReport returns a report; a zero time means none.
func NewSlowReport(now time.Time, server string, first, last, quick time.Time) SlowReport {
	return SlowReport{server, ageMs(now, first), ageMs(now, last), ageMs(now, quick)}
}

func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(now.Sub(at).Milliseconds(), 0)
}

func timeFromAge(now time.Time, ageMs int64) time.Time {
	if ageMs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// span converts the ages of a report to times.
func (r SlowReport) span(now time.Time) slowSpan {
	return slowSpan{firstSlow: timeFromAge(now, r.FirstAgeMs), lastSlow: timeFromAge(now, r.LastAgeMs), lastQuick: timeFromAge(now, r.QuickAgeMs)}
}

// AddSlowReports adds reports of this host or of downstream hosts.
func (s *State) AddSlowReports(now time.Time, list []SlowReport) { s.addSlowReports(now, list, false) }

// addSlowReports merges reports into the known ones.
func (s *State) addSlowReports(now time.Time, list []SlowReport, fromUpstream bool) {
	for _, r := range list {
		old, known := s.slow[r.Server]
		if !known && (r.LastAgeMs < 0 || len(s.slow) >= maxSlowReports) {
			continue
		}
		span, changed := old.merge(now, r.span(now))
		if !changed {
			continue
		}
		if !fromUpstream {
			span.updatedAt = now
		}
		s.slow[r.Server] = span
	}
}

// merge combines two spans and reports whether the result differs from s by more
// than the rounding of ages. Slow calls that are more than slowReportTTL apart are not combined.
func (s slowSpan) merge(now time.Time, r slowSpan) (slowSpan, bool) {
	out := s
	out.lastQuick = latest(s.lastQuick, r.lastQuick)
	switch {
	case r.lastSlow.IsZero() || now.Sub(r.lastSlow) > slowReportTTL || !s.lastSlow.IsZero() && s.firstSlow.Sub(r.lastSlow) > slowReportTTL:
	case s.lastSlow.IsZero() || r.firstSlow.Sub(s.lastSlow) > slowReportTTL:
		out.firstSlow, out.lastSlow = r.firstSlow, r.lastSlow
	default:
		if r.firstSlow.Before(s.firstSlow) {
			out.firstSlow = r.firstSlow
		}
		out.lastSlow = latest(s.lastSlow, r.lastSlow)
	}
	return out, !out.nearlyEqual(s)
}

// nearlyEqual reports whether two spans differ by no more than the rounding of
// ages in messages.
func (s slowSpan) nearlyEqual(o slowSpan) bool {
	near := func(a, b time.Time) bool { return a.Sub(b).Abs() <= rounding }
	return near(s.firstSlow, o.firstSlow) && near(s.lastSlow, o.lastSlow) && near(s.lastQuick, o.lastQuick)
}

// rounding is how much a time may change by being relayed between hosts.
const rounding = 5 * time.Millisecond

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// slowReports returns the reports to send: to downstream hosts all valid ones,
// to upstreams only those that this host or its subtree has recently extended.
// Expired ones are deleted.
func (s *State) slowReports(now time.Time, forUpstream bool) []SlowReport {
	var out []SlowReport
	for server, span := range s.slow {
		if now.Sub(span.lastSlow) > slowReportTTL {
			delete(s.slow, server)
			continue
		}
		if forUpstream && now.Sub(span.updatedAt) > upstreamRepeatPolls*s.PollInterval() {
			continue
		}
		out = append(out, NewSlowReport(now, server, span.firstSlow, span.lastSlow, span.lastQuick))
	}
	return out
}

// upstreamRepeatPolls is in how many polls a host repeats a report to its
// upstreams, because one poll may be lost.
const upstreamRepeatPolls = 2

// SlowServers combines the reports of all hosts on servers that were slow to
// answer calls.
func (s *State) SlowServers(now time.Time) map[string]route.Slowness {
	out := make(map[string]route.Slowness, len(s.slow))
	for server, span := range s.slow {
		if now.Sub(span.lastSlow) <= slowReportTTL {
			out[server] = route.Slowness{Slow: span.lastSlow.Sub(span.slowSince()) >= minSlowSpan, Since: span.slowSince(), Until: span.lastSlow}
		}
	}
	return out
}
