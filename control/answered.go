package control

import "time"

// HandleResponse takes in the answer to a question.
func (s *State) HandleResponse(now time.Time, id uint64, in *SyncResponse) {
	q := s.endAsk(now, id)
	if q == nil {
		return
	}
	s.hear(now, in.From, in.Members)
	s.members.alive(in.From.ID)
	if q.leader {
		s.relay.heard = q.to.ID
	}
	s.learnSuspicions(now, in.CrashSuspects)
	missing := s.merge(now, in)
	s.confirmBy(q.at, in)
	s.witness(q.at, in)
	switch {
	case len(missing) > 0:
		s.fetch(now, q, missing)
	case s.differs(now, in):
		s.relay.nextFull = now.Add(fullEvery)
		s.send(now, asked{to: q.to, full: true}, 0)
	default:
		s.fresh.answered[in.From.ID] = true
	}
}

// fetch asks the same peer for documents that it holds, unless it has just
// failed to send them.
func (s *State) fetch(now time.Time, q *asked, missing []string) {
	if len(missing) == len(q.want) {
		return
	}
	s.send(now, asked{to: q.to, full: q.full, want: missing}, 0)
}

// fetching reports whether documents are still to come.
func (s *State) fetching() bool {
	for _, q := range s.relay.asks {
		if len(q.want) > 0 {
			return true
		}
	}
	return false
}

// differs reports whether a peer's whole digest is to be compared: it holds
// something else at the same revision, or this host is fresh.
func (s *State) differs(now time.Time, in *SyncResponse) bool {
	if in.Full || in.Hash == s.table.hash() {
		return false
	}
	return !s.fresh.done || in.Revision == s.table.revision && !now.Before(s.relay.nextFull)
}

// hear takes in what a peer said of itself and of others.
func (s *State) hear(now time.Time, from Member, others []Member) {
	for _, m := range append([]Member{from}, others...) {
		l, listed := s.table.hosts[m.ID]
		listed = listed && l.entry.Address == m.Address && l.entry.DataCentre == m.DataCentre
		s.members.learn(now, m, listed)
	}
}

// merge takes in a peer's configuration and returns the services whose
// documents must be fetched.
func (s *State) merge(now time.Time, in *SyncResponse) []string {
	before := s.table.hash()
	verdicts, removed, missing := s.table.merge(in)
	for _, v := range verdicts {
		s.record(v)
	}
	for _, key := range removed {
		s.removedKey(key)
	}
	if s.table.hash() != before {
		s.tidy(now)
	}
	return missing
}
