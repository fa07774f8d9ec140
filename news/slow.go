package news

import "time"

// slowSpan is when the first and the last slow call to a server were sent.
type slowSpan struct{ first, last time.Time }

const (
	// slowLonger is how long calls to a server must have been slow for it to
	// count as slow: servers pause for up to a quarter of a second, and take a
	// while to work off what came meanwhile.
	slowLonger = 450 * time.Millisecond
	// slowFor is how long a report holds after the last slow call.
	slowFor = 2500 * time.Millisecond
	// maxSlow bounds the servers reported, so that a message stays small.
	maxSlow = 128
)

// TakeSlow takes in reports of slow calls and joins them with those known.
func (s *State) TakeSlow(now time.Time, list []Slow) {
	for _, r := range list {
		first, last := now.Add(-time.Duration(r.FirstMs)*time.Millisecond), now.Add(-time.Duration(r.LastMs)*time.Millisecond)
		old, ok := s.slow[r.Server]
		switch {
		case now.Sub(last) > slowFor || !ok && len(s.slow) >= maxSlow:
			continue
		case !ok || first.Sub(old.last) > slowFor:
			s.slow[r.Server] = slowSpan{first, last}
			continue
		case old.first.Sub(last) > slowFor:
			continue
		}
		if old.first.Before(first) {
			first = old.first
		}
		if old.last.After(last) {
			last = old.last
		}
		s.slow[r.Server] = slowSpan{first, last}
	}
}

func (s *State) slowNotes(now time.Time) []Slow {
	var out []Slow
	for server, span := range s.slow {
		if now.Sub(span.last) > slowFor {
			delete(s.slow, server)
			continue
		}
		out = append(out, Slow{server, now.Sub(span.first).Milliseconds(), now.Sub(span.last).Milliseconds()})
	}
	return out
}

// SlowServers returns the servers that the hosts together find slow.
func (s *State) SlowServers(now time.Time) map[string]bool {
	out := make(map[string]bool)
	for server, span := range s.slow {
		if now.Sub(span.last) <= slowFor && span.last.Sub(span.first) >= slowLonger {
			out[server] = true
		}
	}
	return out
}
