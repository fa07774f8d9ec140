package query

import "math/bits"

// coverageSteps is the resolution of a reported coverage: it is rounded down
// to a multiple of 1/coverageSteps.
const coverageSteps = 10_000

// floorShare returns got/total rounded down to a multiple of 1/coverageSteps,
// or 0 if total is 0.
func floorShare(got, total uint64) float64 {
	if total == 0 {
		return 0
	}
	if got >= total {
		return 1
	}
	hi, lo := bits.Mul64(got, coverageSteps)
	steps, _ := bits.Div64(hi, lo, total)
	return float64(steps) / coverageSteps
}
