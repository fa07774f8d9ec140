package control

import "time"

// HandleResponse processes the response to the request with the given ID.
func (s *State) HandleResponse(now time.Time, id uint64, res *SyncResponse) {
	p := s.removePending(now, id)
	if p == nil {
		return
	}
	s.updateMembers(now, res.From, res.Members)
	s.members.markUp(res.From.ID)
	if p.toParent {
		s.gossip.answeredParentID = p.to.ID
	}
	s.mergeCrashSuspects(now, res.CrashSuspects)
	missing := s.mergeConfiguration(now, res)
	s.confirmFromPeer(p.sentAt, res)
	s.recordAttestations(p.sentAt, res)
	switch {
	case len(missing) > 0:
		s.fetchDocuments(now, p, missing)
	case s.needsFullDigest(now, res):
		s.gossip.nextFullDigest = now.Add(fullDigestInterval)
		s.send(now, pendingRequest{to: p.to, full: true}, 0)
	default:
		s.startup.answeredPeers[res.From.ID] = true
	}
}

// fetchDocuments requests missing documents from the peer that listed them. It
// stops when the peer sent none of those requested last time.
func (s *State) fetchDocuments(now time.Time, p *pendingRequest, missing []string) {
	if len(missing) == len(p.wantDocuments) {
		return
	}
	s.send(now, pendingRequest{to: p.to, full: p.full, wantDocuments: missing}, 0)
}

// isFetching reports whether a request for documents is pending.
func (s *State) isFetching() bool {
	for _, p := range s.gossip.pending {
		if len(p.wantDocuments) > 0 {
			return true
		}
	}
	return false
}

// needsFullDigest reports whether to request the peer's full digest. It is
// needed if the tables differ and either their revisions are equal, so that a
// request for changes would return none, or this host is starting. A started
// host requests one at most every fullDigestInterval.
func (s *State) needsFullDigest(now time.Time, res *SyncResponse) bool {
	if res.Full || res.Hash == s.table.hash() {
		return false
	}
	return !s.startup.done || res.Revision == s.table.revision && !now.Before(s.gossip.nextFullDigest)
}

// updateMembers applies what a peer reports about itself and other hosts.
func (s *State) updateMembers(now time.Time, from Member, others []Member) {
	for _, m := range append([]Member{from}, others...) {
		entry, listed := s.table.hosts[m.ID]
		listed = listed && entry.published.Address == m.Address && entry.published.DataCentre == m.DataCentre
		s.members.update(now, m, listed)
	}
}

// mergeConfiguration merges a peer's configuration into the table and returns
// the services whose documents must be fetched.
func (s *State) mergeConfiguration(now time.Time, res *SyncResponse) []string {
	before := s.table.hash()
	verdicts, removed, missing := s.table.merge(res)
	for _, v := range verdicts {
		s.recordVerdict(v)
	}
	for _, key := range removed {
		s.handleRemovedKey(key)
	}
	if s.table.hash() != before {
		s.refreshHosts(now)
	}
	return missing
}
