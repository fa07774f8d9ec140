package policy

import "time"

// Bounds of the cache of answered requests.
const (
	answerCacheSlots = 4096
	answerTTL        = time.Minute
)

// answerCache remembers which requests the backend servers of a leaf have
// answered recently: such a request is not what crashes a server of that leaf.
// Requests that share a slot overwrite each other; an overwritten one counts as
// never answered.
type answerCache [answerCacheSlots]answerEntry

// answerEntry records one leaf's answer to one request.
type answerEntry struct {
	id uint64
	at time.Duration
}

func answerID(l *leaf, fingerprint uint64) uint64 { return rendezvous(fingerprint, l.hash) }

func (a *answerCache) add(at time.Duration, l *leaf, fingerprint uint64) {
	id := answerID(l, fingerprint)
	a[id%answerCacheSlots] = answerEntry{id, at}
}

func (a *answerCache) has(at time.Duration, l *leaf, fingerprint uint64) bool {
	id := answerID(l, fingerprint)
	x := a[id%answerCacheSlots]
	return x.id == id && at-x.at < answerTTL
}
