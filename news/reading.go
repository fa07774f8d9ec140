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
	// silenceDivisor allows; the pause after changes is within what
	// spreadDivisor adds for hosts that do not read.
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

// minWatchWait is the shortest wait of a watch: it confirms the replica at once.
const minWatchWait = 10 * time.Millisecond

// Watch is a watch of the store that this host has started.
type Watch struct {
	// From is the position that the changes follow.
	From    Position
	AskedAt time.Time
	// Wait is how long the store waits for a first change.
	Wait time.Duration
}

// Timeout returns the timeout of the watch request.
func (w Watch) Timeout() time.Duration { return w.Wait + watchSlack }

// confirmedUntil returns the time until which the answer to the watch is known to
// be current, whenever it arrives. The store answers at some time after it was
// asked: at the first change, or else when the wait is over.
func (w Watch) confirmedUntil(now time.Time, changed bool) time.Time {
	if end := w.AskedAt.Add(w.Wait); !changed && !now.Before(end) {
		return end
	}
	return w.AskedAt
}

// WatchWait returns how long a watch waits for a first change, at most.
func (s *State) WatchWait() time.Duration { return s.opts.ApplyWithin / watchDivisor }

// NextWatch returns the watch to start at now. An answer with changes confirms the
// replica only as of when the store was asked; the watch after it waits so much
// shorter that the age of the replica stays below WatchWait and the pause between
// the two.
func (s *State) NextWatch(now time.Time) Watch {
	left := s.confirmedAt.Add(s.WatchWait()).Sub(now)
	return Watch{From: s.Position(), AskedAt: now, Wait: min(max(left, minWatchWait), s.WatchWait())}
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
