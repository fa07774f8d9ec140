package policy

import "time"

const (
	// allowanceSlices is in how many slices the window of the retry budget is
	// counted.
	allowanceSlices = 20
	// budgetShare is the part of the retry budget that is used.
	budgetShare = 0.9
	// firstSpent is the part of a new host's slack that counts as spent: the
	// process that ran before it may have done so.
	firstSpent = 0.3
)

// allowance counts a service's calls over the window of the retry budget: the
// first of each request, and those beyond.
type allowance struct {
	first, extra [allowanceSlices + 1]float64
	slice        int64
	// sums of all slices.
	firsts, extras float64
}

// advance drops the slices that have left the window.
func (a *allowance) advance(now time.Time, window time.Duration) {
	slice := now.UnixNano() / max(int64(window/allowanceSlices), 1)
	if a.slice == 0 || slice-a.slice > allowanceSlices {
		a.first, a.extra = [allowanceSlices + 1]float64{}, [allowanceSlices + 1]float64{}
		a.firsts, a.extras, a.slice = 0, 0, slice
	}
	for a.slice < slice {
		a.slice++
		i := a.slice % (allowanceSlices + 1)
		a.firsts -= a.first[i]
		a.extras -= a.extra[i]
		a.first[i], a.extra[i] = 0, 0
	}
}

// left returns how many calls beyond the first the budget allows now. The
// oldest slice, which may lie outside the window, counts for what was spent
// and not for what was earned.
func (a *allowance) left(now time.Time, window time.Duration, ratio, slack float64) float64 {
	a.advance(now, window)
	oldest := (a.slice + 1) % (allowanceSlices + 1)
	return budgetShare*(ratio*(a.firsts-a.first[oldest])+slack) - a.extras
}

func (a *allowance) addFirst(now time.Time, window time.Duration) {
	a.advance(now, window)
	a.first[a.slice%(allowanceSlices+1)]++
	a.firsts++
}

func (a *allowance) addExtra(now time.Time, window time.Duration, n float64) {
	a.advance(now, window)
	a.extra[a.slice%(allowanceSlices+1)] += n
	a.extras += n
}
