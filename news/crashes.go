package news

import (
	"time"

	"github.com/figmast/figmast/crash"
)

// crashState holds the reports of requests that crash servers, and the sequence
// numbers by which they are exchanged with other hosts.
type crashState struct {
	tracker *crash.Tracker
	// firstSeq is the sequence number before the first report. Each change adds
	// one to it. It is derived from the start time, so that numbers from an
	// earlier run of the host are not mistaken for current ones.
	firstSeq uint64
	// refused holds the requests that are currently refused, to log each change
	// once.
	refused map[uint64]bool
	// upstreamSeq is the sequence number after the last report that upstreams
	// may lack.
	upstreamSeq uint64
}

func newCrashState(now time.Time, host string) crashState {
	return crashState{tracker: crash.NewTracker(host), firstSeq: uint64(now.UnixNano()), refused: make(map[uint64]bool)}
}

// seq returns the current sequence number of the reports.
func (c *crashState) seq() uint64 { return c.firstSeq + c.tracker.Version() }

// since returns the reports added after the acknowledged sequence number, or
// all reports if that number is not from this run.
func (c *crashState) since(now time.Time, ack uint64) []crash.Report {
	if ack < c.firstSeq || ack > c.seq() {
		ack = c.firstSeq
	}
	return c.tracker.Reports(now, ack-c.firstSeq)
}

// source is where a crash report was received from.
type source int

const (
	fromThisHost source = iota
	fromUpstream
	fromDownstream
)

// AddCrashReports adds the crash reports of this host.
func (s *State) AddCrashReports(now time.Time, list []crash.Report) {
	s.addCrashReports(now, fromThisHost, list)
}

func (s *State) addCrashReports(now time.Time, from source, list []crash.Report) {
	c := &s.crashes
	for _, p := range list {
		if !c.tracker.Add(now, p) {
			continue
		}
		if from != fromUpstream {
			c.upstreamSeq = c.seq()
		}
		if from == fromThisHost {
			s.logCrash(p)
		}
	}
}

func (s *State) logCrash(p crash.Report) {
	event := "server crashed while processing a request"
	if p.Answered {
		event = "suspected request answered"
	}
	s.opts.Log(event, "content", crash.FormatFingerprint(p.Fingerprint), "service", p.Service, "server", p.Server, "age_ms", p.AgeMs)
}

// CrashVerdicts returns the verdicts that follow from the reports of all hosts,
// by the fingerprint of the request.
func (s *State) CrashVerdicts(now time.Time) map[uint64]crash.Verdict {
	verdicts := s.crashes.tracker.Verdicts(now)
	s.logRefusals(verdicts)
	return verdicts
}

// logRefusals logs which requests start or stop being refused.
func (s *State) logRefusals(verdicts map[uint64]crash.Verdict) {
	c := &s.crashes
	for f, v := range verdicts {
		if v.Refused() && !c.refused[f] {
			c.refused[f] = true
			s.opts.Log("request refused", "content", crash.FormatFingerprint(f), "crashed", v.Crashed, "refused_for_ms", v.RefusedFor.Milliseconds(), "servers", c.tracker.CrashedServers(f))
		}
	}
	for f := range c.refused {
		if v := verdicts[f]; !v.Refused() {
			delete(c.refused, f)
			s.opts.Log("request admitted again", "content", crash.FormatFingerprint(f), "crashed", v.Crashed)
		}
	}
}

// CrashSeqs returns the current sequence number of the reports, and the one up
// to which upstreams must get them without waiting for the next regular poll.
func (s *State) CrashSeqs() (seq, upstreamSeq uint64) { return s.crashes.seq(), s.crashes.upstreamSeq }

// setUpdateCrashes adds the reports that the polling host lacks to an update.
func (s *State) setUpdateCrashes(now time.Time, u *Update, ack uint64) {
	u.CrashSeq, u.Crashes = s.crashes.seq(), s.crashes.since(now, ack)
}

// setPollCrashes adds the reports that the polled host lacks to a poll; last is
// that host's last answer, or nil.
func (s *State) setPollCrashes(now time.Time, p *Poll, last *Update) {
	var ack uint64
	if last != nil {
		p.CrashAck, ack = last.CrashSeq, last.CrashAck
	}
	p.CrashSeq, p.Crashes = s.crashes.seq(), s.crashes.since(now, ack)
}
