package news

import (
	"time"

	"github.com/figmast/figmast/route"
)

// ServerRef names an incarnation of a server in a report.
type ServerRef struct {
	ID          string `cbor:"1,keyasint"`
	StartUnixMs int64  `cbor:"2,keyasint,omitempty"`
	Address     string `cbor:"3,keyasint"`
}

func newServerRef(k route.ServerKey) ServerRef { return ServerRef{k.ID, k.StartUnixMs, k.Address} }

func (r ServerRef) key() route.ServerKey {
	return route.ServerKey{ID: r.ID, StartUnixMs: r.StartUnixMs, Address: r.Address}
}

// LeavingReport reports that an incarnation of a server announced in an answer
// that it is leaving.
type LeavingReport struct {
	ServerRef
	// AgeMs is how long ago the server first announced it.
	AgeMs int64 `cbor:"4,keyasint"`
}

// NewLeavingReport returns a report of an announcement made age ago.
func NewLeavingReport(k route.ServerKey, age time.Duration) LeavingReport {
	return LeavingReport{ServerRef: newServerRef(k), AgeMs: age.Milliseconds()}
}

const (
	// leavingReportTTL is how long a report is valid. Servers that leave are
	// gone some seconds after their drain limit, so the announcement of one
	// that is still there was wrong.
	leavingReportTTL = 30 * time.Second
	// maxLeavingReports bounds the reports kept, and thus those in one message.
	maxLeavingReports = 1024
)

// AddLeavingReports records which servers have announced that they are leaving.
func (s *State) AddLeavingReports(now time.Time, list []LeavingReport) {
	for _, l := range list {
		at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
		if _, known := s.leaving[l.key()]; known || now.Sub(at) > leavingReportTTL || len(s.leaving) >= maxLeavingReports {
			continue
		}
		s.leaving[l.key()] = at
		s.dirty = true
		s.opts.Log("server announced that it is leaving", "server", l.ID, "address", l.Address, "born", l.StartUnixMs, "age_ms", l.AgeMs)
	}
}

// expireLeaving removes the reports that are no longer valid.
func (s *State) expireLeaving(now time.Time) {
	for key, at := range s.leaving {
		if now.Sub(at) > leavingReportTTL {
			delete(s.leaving, key)
			s.dirty = true
		}
	}
}

// leavingReports returns the reports for servers whose entries do not say yet
// that they are draining.
func (s *State) leavingReports(now time.Time) []LeavingReport {
	if len(s.leaving) == 0 {
		return nil
	}
	var out []LeavingReport
	for _, e := range s.entries {
		if e.kind != KindServer || e.isInvalid || e.Deleted && e.retainedUntil.IsZero() || e.server.Draining {
			continue
		}
		if at, ok := s.leaving[e.server.Key()]; ok {
			out = append(out, NewLeavingReport(e.server.Key(), now.Sub(at)))
		}
	}
	return out
}
