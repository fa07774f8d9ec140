package news

import (
	"time"

	"github.com/figmast/figmast/route"
)

// LeavingReport reports that a lifetime of a server has said in an answer that it
// leaves.
type LeavingReport struct {
	ID      string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint"`
	// AgeMs is how long ago it said so first.
	AgeMs int64 `cbor:"4,keyasint"`
}

// NewLeavingReport returns the report of a lifetime that said so that long ago.
func NewLeavingReport(k route.Key, age time.Duration) LeavingReport {
	return LeavingReport{ID: k.ID, Born: k.Born, Address: k.Address, AgeMs: age.Milliseconds()}
}

func (l LeavingReport) key() route.Key { return route.Key{ID: l.ID, Born: l.Born, Address: l.Address} }

const (
	// leavingFor is how long such a report holds: servers that leave are gone
	// some seconds after their bound. One that stays was wrong.
	leavingFor = 30 * time.Second
	// maxLeaving bounds the reports kept and passed on in one message.
	maxLeaving = 1024
)

// AddLeavingReports takes in which servers have said that they leave.
func (s *State) AddLeavingReports(now time.Time, list []LeavingReport) {
	for _, l := range list {
		at := now.Add(-time.Duration(l.AgeMs) * time.Millisecond)
		if _, known := s.leaving[l.key()]; known || now.Sub(at) > leavingFor || len(s.leaving) >= maxLeaving {
			continue
		}
		s.leaving[l.key()] = at
		s.dirty = true
		s.opts.Log("server says that it leaves", "server", l.ID, "address", l.Address, "born", l.Born, "age_ms", l.AgeMs)
	}
}

// forgetLeaving drops the reports that no longer hold.
func (s *State) forgetLeaving(now time.Time) {
	for key, at := range s.leaving {
		if now.Sub(at) > leavingFor {
			delete(s.leaving, key)
			s.dirty = true
		}
	}
}

// leavingNotes returns the reports that others may lack: the servers' entries
// do not say it.
func (s *State) leavingNotes(now time.Time) []LeavingReport {
	if len(s.leaving) == 0 {
		return nil
	}
	var out []LeavingReport
	for _, e := range s.entries {
		if e.kind != KindServer || e.broken || e.Deleted && e.lapsedUntil.IsZero() || e.server.Draining {
			continue
		}
		if at, ok := s.leaving[e.server.Key()]; ok {
			out = append(out, NewLeavingReport(e.server.Key(), now.Sub(at)))
		}
	}
	return out
}
