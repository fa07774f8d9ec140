package news

import (
	"time"

	"github.com/figmast/figmast/crash"
)

// TakeCrashes takes in what this host has found of requests that crash servers.
func (s *State) TakeCrashes(now time.Time, list []crash.Report) {
	s.takeCrashes(now, "this host", list)
}

// takeCrashes takes in reports from this host or from another one.
func (s *State) takeCrashes(now time.Time, from string, list []crash.Report) {
	for _, p := range list {
		if !s.crashes.Take(now, p) {
			continue
		}
		event := "server crashed by a request"
		if p.Answered {
			event = "suspected request answered"
		}
		s.opts.Log(event, "content", crash.FormatFingerprint(p.Fingerprint), "service", p.Service, "server", p.Server, "from", from, "age_ms", p.AgeMs)
	}
}

// Crashes returns what the reports of all hosts come to.
func (s *State) Crashes(now time.Time) map[uint64]crash.Verdict { return s.crashes.Verdicts(now) }
