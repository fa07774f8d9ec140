package control

import "time"

// Bounds on the start of a fresh host.
const (
	// freshPeers is how many peers a fresh host hears before it serves, as far
	// as there are so many.
	freshPeers = 3
	// freshPatience is how long it waits for them once it has read the
	// platform: a fleet whose other hosts are all gone must start.
	freshPatience = 10 * time.Second
)

// freshness is what a fresh host has heard so far.
type freshness struct {
	done bool
	// platform is set once the platform was read, and since is when.
	platform bool
	since    time.Time
	// answered are the peers heard.
	answered map[string]bool
}

// ready reports whether the host knows enough to serve. The platform alone
// may be stale, or hold a document that the fleet refused; peers alone may be
// cut off. A host that hears no platform needs witnesses besides, as any host.
func (s *State) ready(now time.Time) bool {
	f := &s.fresh
	if f.done {
		return true
	}
	if f.platform && f.since.IsZero() {
		f.since = now
	}
	others := 0
	for _, h := range s.hosts {
		if h.ID != s.members.self.ID && !h.Leaving {
			others++
		}
	}
	heard := len(f.answered) >= min(freshPeers, others)
	late := f.platform && now.Sub(f.since) > freshPatience
	loaded := s.table.revision > 0 && !s.fetching()
	f.done = loaded && (late || heard && (f.platform || others > 0))
	return f.done
}
