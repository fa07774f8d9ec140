package control

import "time"

// maxSuspects bounds the crash suspects that a host keeps for gossip. Beyond it
// the oldest one is dropped.
const maxSuspects = 64

// crashSuspects are the crash suspects that this host knows and passes on.
type crashSuspects struct {
	list []suspectEntry
}

// suspectEntry is one known crash suspect.
type suspectEntry struct {
	service     string
	fingerprint uint64
	expiresAt   time.Time
	// changedAt is when the suspect was first reported or its expiry last
	// extended.
	changedAt time.Time
}

// add keeps a reported suspect. It returns true if the suspect is new or its
// expiry was extended by more than a second, so that small differences between
// reports are not passed on again.
func (s *crashSuspects) add(now time.Time, reported CrashSuspect) bool {
	expiresAt := now.Add(fromMs(reported.RemainingMs))
	for i := range s.list {
		entry := &s.list[i]
		if entry.service == reported.Service && entry.fingerprint == reported.Fingerprint {
			if expiresAt.Sub(entry.expiresAt) <= time.Second {
				return false
			}
			entry.expiresAt, entry.changedAt = expiresAt, now
			return true
		}
	}
	if len(s.list) >= maxSuspects {
		s.list = s.list[1:]
	}
	s.list = append(s.list, suspectEntry{service: reported.Service, fingerprint: reported.Fingerprint, expiresAt: expiresAt, changedAt: now})
	return true
}

func (s *crashSuspects) expire(now time.Time) {
	kept := s.list[:0]
	for _, entry := range s.list {
		if now.Before(entry.expiresAt) {
			kept = append(kept, entry)
		}
	}
	s.list = kept
}

// toGossip returns the suspects to include in a message.
func (s *crashSuspects) toGossip(now time.Time) []CrashSuspect {
	var out []CrashSuspect
	for _, entry := range s.list {
		if now.Sub(entry.changedAt) < gossipDuration {
			out = append(out, CrashSuspect{Service: entry.service, Fingerprint: entry.fingerprint, RemainingMs: toMsFloor(entry.expiresAt.Sub(now))})
		}
	}
	return out
}

// AddCrashSuspects adds the suspects that this host has found, and passes new
// ones on at once.
func (s *State) AddCrashSuspects(now time.Time, found []CrashSuspect) {
	changed := false
	for _, suspect := range found {
		changed = s.crashSuspects.add(now, suspect) || changed
	}
	if changed {
		s.propagateNow(now)
	}
}

// mergeCrashSuspects adds the suspects that a peer reports, and passes new ones
// on at once.
func (s *State) mergeCrashSuspects(now time.Time, found []CrashSuspect) {
	changed := false
	for _, suspect := range found {
		if s.crashSuspects.add(now, suspect) {
			s.out.Learn = append(s.out.Learn, suspect)
			changed = true
		}
	}
	if changed {
		s.propagateNow(now)
	}
}
