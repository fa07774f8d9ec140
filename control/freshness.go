package control

import (
	"sort"
	"time"

	"github.com/figmast/figmast/view"
)

// Bounds on the age of what is acted on.
const (
	// MaxViewAge is how long work is dispatched after the platform was last
	// known to hold nothing newer.
	MaxViewAge = 3 * time.Second
	// MaxQuorumAge is how long work is dispatched after more than half of the
	// hosts were known to have heard neither the platform nor anything newer.
	MaxQuorumAge = 5 * time.Second
	// deafAfter is the age of a confirmation at which a host counts as not
	// hearing the platform: it asks the platform itself and looks for
	// witnesses.
	deafAfter = time.Second
)

// witnessUnit is the unit of Answer.Witnesses, and unknownAge marks hosts
// that are no known witnesses.
const (
	witnessUnit = 50 * time.Millisecond
	unknownAge  = 255
)

// confirm records that at a time the platform held nothing newer than the
// table.
func (s *State) confirm(at time.Time) {
	if at.After(s.confirmed) {
		s.confirmed = at
	}
}

// IsConfirmationStale reports whether the platform has not been heard for a while, neither
// directly nor through peers.
func (s *State) IsConfirmationStale(now time.Time) bool { return now.Sub(s.confirmed) > deafAfter }

// confirmBy takes in how recently a peer heard the platform. The age counts
// from when the peer was asked, so that an answer which waited in a paused
// process is as old as the question.
func (s *State) confirmBy(asked time.Time, a *SyncResponse) {
	if a.Confirmed && a.Revision == s.table.revision && a.Hash == s.table.hash() {
		s.confirm(asked.Add(ms(a.HeldMs) - ms(a.AgeMs)))
	}
}

// witness takes in which hosts, the peer first, held the same table and heard
// no platform at a time. They stay good witnesses when the table grows.
func (s *State) witness(asked time.Time, a *SyncResponse) {
	if a.Revision != s.table.revision || a.Hash != s.table.hash() {
		return
	}
	at := asked.Add(ms(a.HeldMs))
	if !a.Confirmed || ms(a.AgeMs) > deafAfter {
		s.witnessOf(a.From.ID, at)
	}
	ids := s.listedIDs()
	if len(ids) != len(a.AttestationAges) {
		return
	}
	for i, age := range a.AttestationAges {
		if age != unknownAge {
			s.witnessOf(ids[i], at.Add(-time.Duration(age)*witnessUnit))
		}
	}
}

func (s *State) witnessOf(id string, at time.Time) {
	if id == s.members.self.ID {
		return
	}
	if p := s.members.get(id); at.After(p.witness) {
		p.witness = at
	}
}

// witnesses returns the ages of the witnesses that this host knows.
func (s *State) witnesses(now time.Time) []byte {
	ids := s.listedIDs()
	out := make([]byte, len(ids))
	for i, id := range ids {
		out[i] = s.witnessAge(now, id)
	}
	return out
}

func (s *State) witnessAge(now time.Time, id string) byte {
	if id == s.members.self.ID {
		if s.IsConfirmationStale(now) {
			return 0
		}
		return unknownAge
	}
	p := s.members.byID[id]
	if p == nil || p.witness.IsZero() {
		return unknownAge
	}
	units := (now.Sub(p.witness) + witnessUnit - 1) / witnessUnit
	if units >= unknownAge {
		return unknownAge
	}
	return byte(max(units, 0))
}

// listedIDs returns the ids of the platform's list, sorted. Hosts with equal
// tables get the same list.
func (s *State) listedIDs() []string {
	if s.ids == nil || s.idsOf != s.table.hash() {
		s.ids = make([]string, 0, len(s.table.hosts))
		for id := range s.table.hosts {
			s.ids = append(s.ids, id)
		}
		sort.Strings(s.ids)
		s.idsOf = s.table.hash()
	}
	return s.ids
}

// validUntil returns until when work may be dispatched on the table: for
// MaxViewAge after the platform, or for MaxWitnessAge after a majority of the
// hosts, were without anything newer.
func (s *State) validUntil(now time.Time) time.Time {
	until := s.confirmed.Add(MaxViewAge)
	if !s.IsConfirmationStale(now) {
		return until
	}
	if at, ok := s.majority(now); ok && at.Add(MaxQuorumAge).After(until) {
		return at.Add(MaxQuorumAge)
	}
	return until
}

// majority returns the latest time at which more than half of the hosts that
// are not leaving, this one included, were witnesses.
func (s *State) majority(now time.Time) (time.Time, bool) {
	var at []time.Time
	n := 0
	for _, h := range s.hosts {
		if h.Leaving && h.ID != s.members.self.ID {
			continue
		}
		n++
		if when, ok := s.witnessTime(now, h); ok {
			at = append(at, when)
		}
	}
	need := n/2 + 1
	if len(at) < need {
		return time.Time{}, false
	}
	sort.Slice(at, func(i, j int) bool { return at[i].After(at[j]) })
	return at[need-1], true
}

func (s *State) witnessTime(now time.Time, h view.Host) (time.Time, bool) {
	if h.ID == s.members.self.ID {
		return now, true
	}
	p := s.members.byID[h.ID]
	if p == nil || p.witness.IsZero() {
		return time.Time{}, false
	}
	return p.witness, true
}
