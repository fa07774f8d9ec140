package query

import "math/bits"

// reaches reports whether got/total is at least steps/coverageSteps, exactly.
func reaches(got, total, steps uint64) bool {
	gotHi, gotLo := bits.Mul64(got, coverageSteps)
	wantHi, wantLo := bits.Mul64(total, steps)
	if gotHi != wantHi {
		return gotHi > wantHi
	}
	return gotLo >= wantLo
}
