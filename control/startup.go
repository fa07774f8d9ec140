package control

import "time"

// Limits on the cold start of a host.
const (
	// startupPeers is how many peers a starting host must have responses from
	// before it serves, or all of them if there are fewer.
	startupPeers = 3
	// startupPeerWait is how long it waits for them once it has read the
	// platform. It must not wait for ever: a fleet whose other hosts are all
	// gone has to start.
	startupPeerWait = 10 * time.Second
)

// startup tracks what a starting host has received so far.
type startup struct {
	done bool
	// platformRead is set once the platform was read, and platformReadAt is
	// when.
	platformRead   bool
	platformReadAt time.Time
	// answeredPeers are the IDs of the peers whose responses left nothing to
	// fetch.
	answeredPeers map[string]bool
}

// isReady reports whether the host knows enough to serve. The platform alone
// may be stale, or hold a document that the fleet refused; peers alone may be
// partitioned from the rest. Without a fresh confirmation from the platform a
// starting host also needs a quorum of attestations, like any other host.
func (s *State) isReady(now time.Time) bool {
	st := &s.startup
	if st.done {
		return true
	}
	if st.platformRead && st.platformReadAt.IsZero() {
		st.platformReadAt = now
	}
	others := 0
	for _, h := range s.hosts {
		if h.ID != s.members.self.ID && !h.Leaving {
			others++
		}
	}
	enoughPeers := len(st.answeredPeers) >= min(startupPeers, others)
	timedOut := st.platformRead && now.Sub(st.platformReadAt) > startupPeerWait
	loaded := s.table.revision > 0 && !s.isFetching()
	st.done = loaded && (timedOut || enoughPeers && (st.platformRead || others > 0))
	return st.done
}
