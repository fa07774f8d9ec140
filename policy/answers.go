package policy

import "time"

// Bounds of the record of answered requests.
const (
	answerSlots = 4096
	answerFor   = time.Minute
)

// answers remembers which requests backend servers of a leaf have answered of
// late: such a request is not what breaks a server of that leaf. It forgets
// when requests share a slot; then an innocent one counts as unknown.
type answers [answerSlots]answer

// answer is one leaf's answer to one request.
type answer struct {
	id uint64
	at time.Duration
}

func answerID(l *leaf, fingerprint uint64) uint64 { return rendezvous(fingerprint, l.hash) }

func (a *answers) add(at time.Duration, l *leaf, fingerprint uint64) {
	id := answerID(l, fingerprint)
	a[id%answerSlots] = answer{id, at}
}

func (a *answers) has(at time.Duration, l *leaf, fingerprint uint64) bool {
	id := answerID(l, fingerprint)
	x := a[id%answerSlots]
	return x.id == id && at-x.at < answerFor
}
