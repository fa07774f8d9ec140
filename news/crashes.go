package news

import (
	"strconv"
	"time"
)

const (
	// crashFor is how long a report is passed on; requests that crash servers
	// come again within seconds.
	crashFor = 60 * time.Second
	// maxCrashes bounds the reports kept, so that a message stays small.
	maxCrashes = 128
)

// ReportCrash takes in what this host has found.
func (s *State) ReportCrash(now time.Time, fingerprint uint64, server string) {
	s.takeCrashes(now, "this host", []Crash{{Fingerprint: fingerprint, Server: server}})
}

// takeCrashes takes in reports from this host or from another one.
func (s *State) takeCrashes(now time.Time, from string, list []Crash) {
	for _, c := range list {
		age := time.Duration(c.AgeMs) * time.Millisecond
		at := now.Add(-age)
		c.AgeMs = 0
		old, known := s.crashes[c]
		switch {
		case known && !at.After(old) || age > crashFor:
			continue
		case len(s.crashes) >= maxCrashes:
			if !s.crashesFull {
				s.logCrash("crash reports left out", c, from, age)
			}
			s.crashesFull = true
			continue
		case !known:
			s.logCrash("server crashed by a request", c, from, age)
		}
		s.crashes[c] = at
	}
}

func (s *State) logCrash(event string, c Crash, from string, age time.Duration) {
	s.opts.Log(event, "content", FormatFingerprint(c.Fingerprint), "server", c.Server, "from", from, "age_ms", age.Milliseconds(), "reports", len(s.crashes))
}

// FormatFingerprint returns a request's fingerprint as logs name it.
func FormatFingerprint(f uint64) string { return strconv.FormatUint(f, 16) }

func (s *State) crashNotes(now time.Time) []Crash {
	var out []Crash
	for c, at := range s.crashes {
		if now.Sub(at) > crashFor {
			delete(s.crashes, c)
			s.crashesFull = false
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
