package news

import (
	"time"

	"github.com/figmast/figmast/crash"
)

// crashes are the reports of requests that crash servers, and what other hosts
// need to be told of them.
type crashes struct {
	record *crash.Record
	// first names the state of the empty record; it differs from that of an
	// earlier run of the host. Each change counts on from it.
	first uint64
	// refused are the requests that this host refuses, for the log.
	refused map[uint64]bool
	// upwards is the state after the last change that upstreams may not know.
	upwards uint64
}

func newCrashes(now time.Time, host string) crashes {
	return crashes{record: crash.NewRecord(host), first: uint64(now.UnixNano()), refused: make(map[uint64]bool)}
}

// at names the state of the reports.
func (c *crashes) at() uint64 { return c.first + c.record.Taken() }

// since returns the reports that came after a state, or all where the state is
// none of this run's.
func (c *crashes) since(now time.Time, known uint64) []crash.Report {
	if known < c.first || known > c.at() {
		known = c.first
	}
	return c.record.Reports(now, known-c.first)
}

// source is where reports come from.
type source int

const (
	fromThisHost source = iota
	fromUpstream
	fromBelow
)

// AddCrashReports takes in what this host has found of requests that crash servers.
func (s *State) AddCrashReports(now time.Time, list []crash.Report) {
	s.takeCrashes(now, fromThisHost, list)
}

func (s *State) takeCrashes(now time.Time, from source, list []crash.Report) {
	c := &s.crashes
	for _, p := range list {
		if !c.record.Take(now, p) {
			continue
		}
		if from != fromUpstream {
			c.upwards = c.at()
		}
		if from == fromThisHost {
			s.logCrash(p)
		}
	}
}

func (s *State) logCrash(p crash.Report) {
	event := "server ended under a request"
	if p.Answered {
		event = "suspected request answered"
	}
	s.opts.Log(event, "content", crash.FormatFingerprint(p.Fingerprint), "service", p.Service, "server", p.Server, "age_ms", p.AgeMs)
}

// CrashVerdicts returns what the reports of all hosts come to.
func (s *State) CrashVerdicts(now time.Time) map[uint64]crash.Verdict {
	verdicts := s.crashes.record.Verdicts(now)
	s.logRefusals(verdicts)
	return verdicts
}

// logRefusals tells which requests are refused from now on, and which no longer.
func (s *State) logRefusals(verdicts map[uint64]crash.Verdict) {
	c := &s.crashes
	for f, v := range verdicts {
		if v.Refused() && !c.refused[f] {
			c.refused[f] = true
			s.opts.Log("request refused", "content", crash.FormatFingerprint(f), "crashed", v.Crashed, "refused_for_ms", v.RefusedFor.Milliseconds(), "servers", c.record.Servers(f))
		}
	}
	for f := range c.refused {
		if v := verdicts[f]; !v.Refused() {
			delete(c.refused, f)
			s.opts.Log("request let in again", "content", crash.FormatFingerprint(f), "crashed", v.Crashed)
		}
	}
}

// CrashSeqs names the state of the reports, and the state that upstreams are to
// be told of at once.
func (s *State) CrashSeqs() (at, upwards uint64) { return s.crashes.at(), s.crashes.upwards }

// addCrashes adds the reports to an update that the other host has not.
func (s *State) addCrashes(now time.Time, u *Update, known uint64) {
	u.CrashSeq, u.Crashes = s.crashes.at(), s.crashes.since(now, known)
}

// pollCrashes adds the reports to a poll that the other host has not; last is
// its last answer, or nil.
func (s *State) pollCrashes(now time.Time, p *Poll, last *Update) {
	var known uint64
	if last != nil {
		p.CrashAck, known = last.CrashSeq, last.CrashAck
	}
	p.CrashSeq, p.Crashes = s.crashes.at(), s.crashes.since(now, known)
}
