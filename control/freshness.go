package control

import (
	"sort"
	"time"

	"github.com/figmast/figmast/view"
)

// Limits on the age of the configuration that work is dispatched on.
const (
	// MaxViewAge is how long work may be dispatched after the platform was last
	// known to hold nothing newer.
	MaxViewAge = 3 * time.Second
	// MaxQuorumAge is how long work may be dispatched after a majority of the
	// hosts attested that they had neither a fresh confirmation from the
	// platform nor anything newer.
	MaxQuorumAge = 5 * time.Second
	// confirmationStaleAfter is the age at which a confirmation becomes stale:
	// the host then contacts the platform itself and collects attestations from
	// its peers.
	confirmationStaleAfter = time.Second
)

// attestationUnit is the unit of SyncResponse.AttestationAges, in which
// unknownAge stands for hosts without a known attestation.
const (
	attestationUnit = 50 * time.Millisecond
	unknownAge      = 255
)

// confirm records that the platform held nothing newer than the table at the
// given time.
func (s *State) confirm(at time.Time) {
	if at.After(s.confirmedAt) {
		s.confirmedAt = at
	}
}

// IsConfirmationStale reports whether the platform has not confirmed the table
// for confirmationStaleAfter, neither directly nor through peers.
func (s *State) IsConfirmationStale(now time.Time) bool {
	return now.Sub(s.confirmedAt) > confirmationStaleAfter
}

// confirmFromPeer applies a peer's confirmation. Its age counts from when the
// request was sent, not from when the response arrived, so that a response that
// waited in a paused process does not pass for a recent one.
func (s *State) confirmFromPeer(sentAt time.Time, res *SyncResponse) {
	if res.Confirmed && res.Revision == s.table.revision && res.Hash == s.table.hash() {
		s.confirm(sentAt.Add(fromMs(res.HeldMs) - fromMs(res.AgeMs)))
	}
}

// recordAttestations records the attestations in a response, the sender's own
// and those it has collected: at which times which hosts held the same table
// without a fresh confirmation from the platform. A response counts as its
// sender's attestation if it reports the same table and no fresh confirmation.
// Attestations stay valid when the table moves on to a newer revision.
func (s *State) recordAttestations(sentAt time.Time, res *SyncResponse) {
	if res.Revision != s.table.revision || res.Hash != s.table.hash() {
		return
	}
	at := sentAt.Add(fromMs(res.HeldMs))
	if !res.Confirmed || fromMs(res.AgeMs) > confirmationStaleAfter {
		s.recordAttestation(res.From.ID, at)
	}
	ids := s.listedIDs()
	if len(ids) != len(res.AttestationAges) {
		return
	}
	for i, age := range res.AttestationAges {
		if age != unknownAge {
			s.recordAttestation(ids[i], at.Add(-time.Duration(age)*attestationUnit))
		}
	}
}

func (s *State) recordAttestation(id string, at time.Time) {
	if id == s.members.self.ID {
		return
	}
	if p := s.members.getOrCreate(id); at.After(p.attestedAt) {
		p.attestedAt = at
	}
}

// attestationAges returns the ages of the attestations that this host knows of,
// in the order of listedIDs.
func (s *State) attestationAges(now time.Time) []byte {
	ids := s.listedIDs()
	out := make([]byte, len(ids))
	for i, id := range ids {
		out[i] = s.attestationAge(now, id)
	}
	return out
}

// attestationAge returns the age of a host's attestation in units of
// attestationUnit, rounded up, or unknownAge. This host attests for itself
// while its confirmation is stale.
func (s *State) attestationAge(now time.Time, id string) byte {
	if id == s.members.self.ID {
		if s.IsConfirmationStale(now) {
			return 0
		}
		return unknownAge
	}
	p := s.members.byID[id]
	if p == nil || p.attestedAt.IsZero() {
		return unknownAge
	}
	units := (now.Sub(p.attestedAt) + attestationUnit - 1) / attestationUnit
	if units >= unknownAge {
		return unknownAge
	}
	return byte(max(units, 0))
}

// listedIDs returns the IDs of the platform's host list, sorted. Hosts with
// equal tables get the same list.
func (s *State) listedIDs() []string {
	if s.sortedListedIDs == nil || s.sortedListedIDsHash != s.table.hash() {
		s.sortedListedIDs = make([]string, 0, len(s.table.hosts))
		for id := range s.table.hosts {
			s.sortedListedIDs = append(s.sortedListedIDs, id)
		}
		sort.Strings(s.sortedListedIDs)
		s.sortedListedIDsHash = s.table.hash()
	}
	return s.sortedListedIDs
}

// validUntil returns the time until which work may be dispatched on the table:
// MaxViewAge after the last confirmation by the platform or, while that is
// stale and if it is later, MaxQuorumAge after the last time at which a
// majority of the hosts attested that they had nothing newer.
func (s *State) validUntil(now time.Time) time.Time {
	until := s.confirmedAt.Add(MaxViewAge)
	if !s.IsConfirmationStale(now) {
		return until
	}
	if quorumAt, ok := s.quorumTime(now); ok && quorumAt.Add(MaxQuorumAge).After(until) {
		return quorumAt.Add(MaxQuorumAge)
	}
	return until
}

// quorumTime returns the latest time as of which more than half of the hosts
// that are not leaving, including this one, have attested.
func (s *State) quorumTime(now time.Time) (time.Time, bool) {
	var times []time.Time
	hosts := 0
	for _, h := range s.hosts {
		if h.Leaving && h.ID != s.members.self.ID {
			continue
		}
		hosts++
		if t, ok := s.attestationTime(now, h); ok {
			times = append(times, t)
		}
	}
	quorum := hosts/2 + 1
	if len(times) < quorum {
		return time.Time{}, false
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[quorum-1], true
}

// attestationTime returns the time of a host's latest attestation, if there is
// one. For this host that is always now.
func (s *State) attestationTime(now time.Time, h view.Host) (time.Time, bool) {
	if h.ID == s.members.self.ID {
		return now, true
	}
	p := s.members.byID[h.ID]
	if p == nil || p.attestedAt.IsZero() {
		return time.Time{}, false
	}
	return p.attestedAt, true
}
