package query

import "math/bits"

// coverageSteps is how many steps a reported coverage is rounded down to.
const coverageSteps = 10_000

// floorShare returns got/total rounded down to coverageSteps; 0 where there
// is nothing to cover.
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
