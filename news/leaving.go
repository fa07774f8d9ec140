package news

import (
	"time"

	"github.com/figmast/figmast/route"
)

// Leaving reports that a lifetime of a server has said in an answer that it
// leaves.
type Leaving struct {
	ID      string `cbor:"1,keyasint"`
	Born    int64  `cbor:"2,keyasint,omitempty"`
	Address string `cbor:"3,keyasint"`
	// AgeMs is how long ago it said so first.
	AgeMs int64 `cbor:"4,keyasint"`
}

// NewLeaving returns the report of a lifetime that said so that long ago.
func NewLeaving(k route.ServerKey, age time.Duration) Leaving {
	return Leaving{ID: k.ID, Born: k.StartUnixMs, Address: k.Address, AgeMs: age.Milliseconds()}
}

func (l Leaving) key() route.ServerKey {
	return route.ServerKey{ID: l.ID, StartUnixMs: l.Born, Address: l.Address}
}

const (
	// leavingFor is how long such a report holds: servers that leave are gone
	// some seconds after their bound. One that stays was wrong.
	leavingFor = 30 * time.Second
	// maxLeaving bounds the reports kept and passed on in one message.
	maxLeaving = 1024
)

// TakeLeaving takes in which servers have said that they leave.
func (s *State) TakeLeaving(now time.Time, list []Leaving) {
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
func (s *State) leavingNotes(now time.Time) []Leaving {
	if len(s.leaving) == 0 {
		return nil
	}
	var out []Leaving
	for _, e := range s.entries {
		if e.kind != KindServer || e.broken || e.Deleted && e.lapsedUntil.IsZero() || e.server.Draining {
			continue
		}
		if at, ok := s.leaving[e.server.Key()]; ok {
			out = append(out, NewLeaving(e.server.Key(), now.Sub(at)))
		}
	}
	return out
}
