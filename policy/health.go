package policy

import (
	"math"
	"time"
)

// Weights and times of failures.
const (
	shedWeight    = 0.5
	timeoutWeight = 0.5
	// penaltyHalfLife is how fast failures are forgotten.
	penaltyHalfLife = time.Second
	// answerRelief is what an answer leaves of the penalty.
	answerRelief = 0.7
	// leastPenalty is as good as none.
	leastPenalty = 0.03
	// maxPenalty bounds what a row of failures adds up to.
	maxPenalty = 20
	// ejectAfter failures in a row a server is left alone for a while.
	ejectAfter = 2
	// minEjection doubles with each further failure up to maxEjection.
	minEjection = 100 * time.Millisecond
	maxEjection = 5 * time.Second
)

// health is a server's record of failures: a penalty that fades, and an
// ejection after failures in a row.
type health struct {
	penalty float64
	noted   time.Duration
	// row counts failures since the last answer.
	row int
	// until is when an ejected server may be asked again.
	until time.Duration
}

// recent returns the penalty as it has faded.
func (h *health) recent(at time.Duration) float64 {
	if h.penalty == 0 {
		return 0
	}
	p := h.penalty * math.Exp2(-float64(at-h.noted)/float64(penaltyHalfLife))
	if p < leastPenalty {
		h.penalty = 0
		return 0
	}
	return p
}

func (h *health) suffer(at time.Duration, weight float64) {
	h.penalty = min(h.recent(at)+weight, maxPenalty)
	h.noted = at
}

// fail records that the server could not be reached or broke off and reports
// whether that ejects it.
func (h *health) fail(at time.Duration) bool {
	h.suffer(at, 1)
	h.row++
	if h.row < ejectAfter {
		return false
	}
	shift := min(h.row-ejectAfter, 10)
	h.until = at + min(minEjection<<shift, maxEjection)
	return true
}

func (h *health) succeed() {
	h.row = 0
	h.until = 0
	h.penalty *= answerRelief
}

func (h *health) ejected(at time.Duration) bool { return h.until > at }
