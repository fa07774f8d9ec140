package news

import "time"

// Read is what to ask the store next.
type Read int

// Reads.
const (
	ReadNothing Read = iota
	ReadRange
	ReadWatch
)

// Parts of ApplyWithin.
const (
	// watchPart is how long a watch waits: its answer confirms that there is
	// no news. That, a poll of a leader and one of a host on the way come to
	// nine twentieths, which is less than silencePart allows.
	watchPart = 4
	// silencePart is after how long without news a host reads for itself, and
	// spreadPart by how much those that come later wait longer.
	silencePart = 2
	spreadPart  = 40
	// spreadRanks is how many hosts wait for each other.
	spreadRanks = 6
	// pollPart is how often a host asks its upstreams.
	pollPart = 10
)

// watchSlack is how much longer than its wait a watch may take: several times
// the 4 ms that the platform names.
const watchSlack = 400 * time.Millisecond

// WatchWait returns how long a watch of the store waits for a first change.
func (s *State) WatchWait() time.Duration { return s.opts.ApplyWithin / watchPart }

// WatchTimeout returns how long a watch may take in all.
func (s *State) WatchTimeout() time.Duration { return s.WatchWait() + watchSlack }

// watchedUntil returns until when an answer to a watch at now is known to hold.
// The store gives it when something changes or when the wait is over; a host
// that was suspended takes it in later.
func (s *State) watchedUntil(now, asked time.Time, changed bool) time.Time {
	end := asked.Add(s.WatchWait())
	switch {
	case now.Before(end), changed && now.Sub(asked) <= s.WatchTimeout():
		return now
	case changed:
		return asked
	}
	return end
}

// PollInterval returns how often to ask the upstreams.
func (s *State) PollInterval() time.Duration { return s.opts.ApplyWithin / pollPart }

// NextRead returns what to ask the store now.
func (s *State) NextRead(now time.Time) Read {
	reads, rank, silence := s.reads(now)
	if reads != s.reading {
		s.reading = reads
		s.opts.Log("reading the store", "reads", reads, "rank", rank, "hosts", len(s.members.live(now)), "silence_ms", silence.Milliseconds())
	}
	switch {
	case !reads:
		return ReadNothing
	case s.revision == 0:
		return ReadRange
	}
	return ReadWatch
}

// reads reports whether this host reads the store: the first hosts do, and
// those that have heard nothing from them in time. It returns what decided it.
func (s *State) reads(now time.Time) (reads bool, rank int, silence time.Duration) {
	if !s.members.joined && now.Sub(s.members.started) < joinWithin {
		return false, 0, 0
	}
	rank = s.rank(now)
	heard := s.relayed
	if heard.IsZero() {
		heard = s.started
	}
	silence = now.Sub(heard)
	most := s.opts.ApplyWithin/silencePart + time.Duration(min(rank, spreadRanks))*s.opts.ApplyWithin/spreadPart
	return rank < watchers || silence > most, rank, silence
}
