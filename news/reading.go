package news

import "time"

// Read is the kind of request to send to the store next.
type Read int

// Kinds of reads.
const (
	ReadNothing Read = iota
	// ReadStaleRange is a full read that may be stale. It is followed by ReadRange,
	// one that is not.
	ReadStaleRange
	ReadRange
	ReadWatch
)

// Intervals, as divisors of ApplyWithin.
const (
	// watchDivisor sets how long a watch waits; its answer confirms that there
	// is no change. This wait, the poll interval of a leader and that of a
	// host behind it come to nine twentieths of ApplyWithin, less than
	// silenceDivisor allows.
	watchDivisor = 4
	// silenceDivisor sets after how long without updates a host reads the store
	// itself, and spreadDivisor how much longer each host waits than the one
	// before it in the relay order.
	silenceDivisor = 2
	spreadDivisor  = 40
	// maxSpreadRank is the rank from which on hosts wait no longer.
	maxSpreadRank = 6
	// pollDivisor sets how often a host polls its upstreams.
	pollDivisor = 10
)

// watchSlack is how much longer than its wait a watch may take: several times
// the 4 ms that the platform specifies for an answer.
const watchSlack = 400 * time.Millisecond

// WatchWait returns how long a watch waits for a first change.
func (s *State) WatchWait() time.Duration { return s.opts.ApplyWithin / watchDivisor }

// WatchTimeout returns the timeout of a watch request.
func (s *State) WatchTimeout() time.Duration { return s.WatchWait() + watchSlack }

// watchConfirmedUntil returns the time until which a watch answer that is
// processed at now is known to be current. The store answers when something
// changes or when the wait is over, but a host that was suspended processes the
// answer later.
func (s *State) watchConfirmedUntil(now, asked time.Time, changed bool) time.Time {
	end := asked.Add(s.WatchWait())
	switch {
	case now.Before(end), changed && now.Sub(asked) <= s.WatchTimeout():
		return now
	case changed:
		return asked
	}
	return end
}

// PollInterval returns the interval between two polls of an upstream.
func (s *State) PollInterval() time.Duration { return s.opts.ApplyWithin / pollDivisor }

// NextRead returns the kind of request to send to the store now.
func (s *State) NextRead(now time.Time) Read {
	reads, rank, silence := s.shouldRead(now)
	if reads != s.isReading {
		s.isReading = reads
		s.opts.Log("reading the store", "reads", reads, "rank", rank, "hosts", len(s.members.live(now)), "silence_ms", silence.Milliseconds())
	}
	switch {
	case !reads:
		return ReadNothing
	case s.revision == 0 && !s.needsRange:
		return ReadStaleRange
	case s.needsRange:
		return ReadRange
	}
	return ReadWatch
}

// shouldRead reports whether this host reads the store: the first hosts in the
// relay order do, and those that have received no update in time. It also
// returns the values that decided it, for the log.
func (s *State) shouldRead(now time.Time) (reads bool, rank int, silence time.Duration) {
	if !s.members.hasJoined && now.Sub(s.members.startedAt) < joinTimeout {
		return false, 0, 0
	}
	rank = s.rank(now)
	lastRelayed := s.relayedAt
	if lastRelayed.IsZero() {
		lastRelayed = s.startedAt
	}
	silence = now.Sub(lastRelayed)
	maxSilence := s.opts.ApplyWithin/silenceDivisor + time.Duration(min(rank, maxSpreadRank))*s.opts.ApplyWithin/spreadDivisor
	return rank < readerCount || silence > maxSilence, rank, silence
}
