package news

import (
	"time"

	"github.com/figmast/figmast/route"
)

// slowSpan is when the first and the last slow call to a server were sent, and
// when the last quick one was. told is when this host or one below it last
// added to it.
type slowSpan struct{ first, last, quick, told time.Time }

// since returns when the first call was sent of those that were slow without a
// quick one after it.
func (s slowSpan) since() time.Time { return later(s.first, s.quick) }

const (
	// slowLonger is how long calls to a server must have been slow for it to
	// count as slow: servers pause for up to a quarter of a second, and take a
	// while to work off what came meanwhile.
	slowLonger = 450 * time.Millisecond
	// slowFor is how long a report holds after the last slow call.
	slowFor = 2500 * time.Millisecond
	// maxSlow bounds the servers reported, so that a message stays small: those
	// of the largest deployment known, each of which pauses now and then.
	maxSlow = 512
)

// NewSlowReport returns a report; zero times are none.
func NewSlowReport(now time.Time, server string, first, last, quick time.Time) SlowReport {
	return SlowReport{server, ageMs(now, first), ageMs(now, last), ageMs(now, quick)}
}

func ageMs(now, at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return max(now.Sub(at).Milliseconds(), 0)
}

func timeOf(now time.Time, ageMs int64) time.Time {
	if ageMs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// span returns the times of a report.
func (r SlowReport) span(now time.Time) slowSpan {
	return slowSpan{first: timeOf(now, r.FirstAgeMs), last: timeOf(now, r.LastAgeMs), quick: timeOf(now, r.QuickAgeMs)}
}

// AddSlowReports takes in reports of this host or of hosts below it.
func (s *State) AddSlowReports(now time.Time, list []SlowReport) { s.takeSlow(now, list, false) }

// takeSlow joins reports with those known.
func (s *State) takeSlow(now time.Time, list []SlowReport, fromUpstream bool) {
	for _, r := range list {
		old, known := s.slow[r.Server]
		if !known && (r.LastAgeMs < 0 || len(s.slow) >= maxSlow) {
			continue
		}
		span, changed := old.join(now, r.span(now))
		if !changed {
			continue
		}
		if !fromUpstream {
			span.told = now
		}
		s.slow[r.Server] = span
	}
}

// join returns what two reports come to, and whether that is more than the
// first one says. Slow calls far apart do not belong together.
func (s slowSpan) join(now time.Time, r slowSpan) (slowSpan, bool) {
	out := s
	out.quick = later(s.quick, r.quick)
	switch {
	case r.last.IsZero() || now.Sub(r.last) > slowFor || !s.last.IsZero() && s.first.Sub(r.last) > slowFor:
	case s.last.IsZero() || r.first.Sub(s.last) > slowFor:
		out.first, out.last = r.first, r.last
	default:
		if r.first.Before(s.first) {
			out.first = r.first
		}
		out.last = later(s.last, r.last)
	}
	return out, !out.same(s)
}

// same reports whether two spans differ by no more than messages round.
func (s slowSpan) same(o slowSpan) bool {
	near := func(a, b time.Time) bool { return a.Sub(b).Abs() <= rounding }
	return near(s.first, o.first) && near(s.last, o.last) && near(s.quick, o.quick)
}

// rounding is by how much a time changes that goes round between hosts.
const rounding = 5 * time.Millisecond

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// slowNotes returns the reports for hosts that ask this one, or those that
// this host and the ones below it added to of late for its upstreams.
func (s *State) slowNotes(now time.Time, upwards bool) []SlowReport {
	var out []SlowReport
	for server, span := range s.slow {
		if now.Sub(span.last) > slowFor {
			delete(s.slow, server)
			continue
		}
		if upwards && now.Sub(span.told) > upwardsPolls*s.PollInterval() {
			continue
		}
		out = append(out, NewSlowReport(now, server, span.first, span.last, span.quick))
	}
	return out
}

// upwardsPolls is in how many polls of its upstreams a host repeats what it
// has added, as one may be lost.
const upwardsPolls = 2

// SlowServers returns what the hosts together know of servers that were slow
// to answer some calls.
func (s *State) SlowServers(now time.Time) map[string]route.Slowness {
	out := make(map[string]route.Slowness, len(s.slow))
	for server, span := range s.slow {
		if now.Sub(span.last) <= slowFor {
			out[server] = route.Slowness{Slow: span.last.Sub(span.since()) >= slowLonger, Since: span.since(), Until: span.last}
		}
	}
	return out
}
