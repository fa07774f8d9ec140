package policy

import (
	"math"
	"time"
)

// Weights and times of failures.
const (
	shedWeight    = 0.5
	timeoutWeight = 0.5
	// penaltyHalfLife is the half-life of the penalty.
	penaltyHalfLife = time.Second
	// successFactor is the part of the penalty that remains after an answer.
	successFactor = 0.7
	// minPenalty is the penalty below which it counts as zero.
	minPenalty = 0.03
	// maxPenalty bounds the penalty of many failures.
	maxPenalty = 20
	// ejectAfter is how many consecutive failures eject a server.
	ejectAfter = 2
	// minEjection is the first ejection time; it doubles with each further failure
	// up to maxEjection.
	minEjection = 100 * time.Millisecond
	maxEjection = 5 * time.Second
)

// health is a server's failure record: a decaying penalty, and an ejection
// after consecutive failures.
type health struct {
	penalty   float64
	penaltyAt time.Duration
	// consecutiveFailures counts failures since the last answer.
	consecutiveFailures int
	// ejectedUntil is when an ejected server may be called again.
	ejectedUntil time.Duration
}

// currentPenalty returns the decayed penalty.
func (h *health) currentPenalty(at time.Duration) float64 {
	if h.penalty == 0 {
		return 0
	}
	p := h.penalty * math.Exp2(-float64(at-h.penaltyAt)/float64(penaltyHalfLife))
	if p < minPenalty {
		h.penalty = 0
		return 0
	}
	return p
}

func (h *health) addPenalty(at time.Duration, weight float64) {
	h.penalty = min(h.currentPenalty(at)+weight, maxPenalty)
	h.penaltyAt = at
}

// recordFailure records that the server could not be reached or that the
// connection broke, and reports whether that ejects the server.
func (h *health) recordFailure(at time.Duration) bool {
	h.addPenalty(at, 1)
	h.consecutiveFailures++
	if h.consecutiveFailures < ejectAfter {
		return false
	}
	shift := min(h.consecutiveFailures-ejectAfter, 10)
	h.ejectedUntil = at + min(minEjection<<shift, maxEjection)
	return true
}

func (h *health) recordSuccess() {
	h.consecutiveFailures = 0
	h.ejectedUntil = 0
	h.penalty *= successFactor
}

func (h *health) isEjected(at time.Duration) bool { return h.ejectedUntil > at }
