package news

import (
	"slices"
	"testing"
	"time"
)

// TestSlowSpansOfHosts checks that a quick answer between slow ones shows that
// the server is not slow, in whichever order the reports arrive.
func TestSlowSpansOfHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name    string
		reports []SlowReport
		slow    bool
	}{
		{"one call", []SlowReport{NewSlowReport(now, "x", at(-600), at(-600), time.Time{})}, false},
		{"calls of one host", []SlowReport{NewSlowReport(now, "x", at(-600), at(-100), time.Time{})}, true},
		{"calls of two hosts", []SlowReport{NewSlowReport(now, "x", at(-600), at(-600), time.Time{}), NewSlowReport(now, "x", at(-100), at(-100), time.Time{})}, true},
		{"a quick call between", []SlowReport{
			NewSlowReport(now, "x", at(-600), at(-100), time.Time{}), NewSlowReport(now, "x", time.Time{}, time.Time{}, at(-300)),
		}, false},
		{"a quick call between, reported first", []SlowReport{
			NewSlowReport(now, "x", at(-600), at(-600), at(-300)), NewSlowReport(now, "x", at(-100), at(-100), time.Time{}),
		}, false},
		{"a quick call long before", []SlowReport{NewSlowReport(now, "x", at(-600), at(-100), at(-2000))}, true},
		{"a quick call, then slow calls for long", []SlowReport{NewSlowReport(now, "x", at(-1600), at(-100), at(-800))}, true},
		{"a quick call after", []SlowReport{
			NewSlowReport(now, "x", at(-600), at(-100), time.Time{}), NewSlowReport(now, "x", time.Time{}, time.Time{}, at(-10)),
		}, false},
		{"only quick calls", []SlowReport{NewSlowReport(now, "x", time.Time{}, time.Time{}, at(-10))}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reversed := slices.Clone(c.reports)
			slices.Reverse(reversed)
			for _, list := range [][]SlowReport{c.reports, reversed} {
				s := NewState(now, Options{Address: "10.0.0.1", ApplyWithin: testApply})
				s.AddSlowReports(now, list)
				s.AddSlowReports(now, list)
				if got := s.SlowServers(now)["x"].Slow; got != c.slow {
					t.Errorf("slow: %v, want %v, of %v", got, c.slow, list)
				}
			}
		})
	}
}
