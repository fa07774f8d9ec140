package news

import "time"

const (
	// crashFor is how long a report is passed on; requests that crash servers
	// come again within seconds.
	crashFor = 60 * time.Second
	// maxCrashes bounds the reports kept, so that a message stays small.
	maxCrashes = 128
)

// ReportCrash takes in what this host has found.
func (s *State) ReportCrash(now time.Time, fingerprint uint64, server string) {
	s.takeCrashes(now, []Crash{{Fingerprint: fingerprint, Server: server}})
}

func (s *State) takeCrashes(now time.Time, list []Crash) {
	for _, c := range list {
		at := now.Add(-time.Duration(c.AgeMs) * time.Millisecond)
		c.AgeMs = 0
		if old, ok := s.crashes[c]; ok && !at.After(old) || now.Sub(at) > crashFor || len(s.crashes) >= maxCrashes {
			continue
		}
		s.crashes[c] = at
	}
}

func (s *State) crashNotes(now time.Time) []Crash {
	var out []Crash
	for c, at := range s.crashes {
		if now.Sub(at) > crashFor {
			delete(s.crashes, c)
			continue
		}
		c.AgeMs = now.Sub(at).Milliseconds()
		out = append(out, c)
	}
	return out
}

// Crashes returns the servers that each request has crashed, fleet-wide.
func (s *State) Crashes(now time.Time) map[uint64]int {
	out := make(map[uint64]int)
	for _, c := range s.crashNotes(now) {
		out[c.Fingerprint]++
	}
	return out
}
