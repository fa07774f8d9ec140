package news

import (
	"slices"
	"testing"
	"time"
)

// TestSlowSpansOfHosts: a quick answer between slow ones shows that the server
// is not slow, whichever report comes first.
func TestSlowSpansOfHosts(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(ms int) time.Time { return now.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name    string
		reports []Slow
		slow    bool
	}{
		{"one call", []Slow{NewSlow(now, "x", at(-600), at(-600), time.Time{})}, false},
		{"calls of one host", []Slow{NewSlow(now, "x", at(-600), at(-100), time.Time{})}, true},
		{"calls of two hosts", []Slow{NewSlow(now, "x", at(-600), at(-600), time.Time{}), NewSlow(now, "x", at(-100), at(-100), time.Time{})}, true},
		{"a quick one between", []Slow{
			NewSlow(now, "x", at(-600), at(-100), time.Time{}), NewSlow(now, "x", time.Time{}, time.Time{}, at(-300)),
		}, false},
		{"a quick one between, told before", []Slow{
			NewSlow(now, "x", at(-600), at(-600), at(-300)), NewSlow(now, "x", at(-100), at(-100), time.Time{}),
		}, false},
		{"a quick one long before", []Slow{NewSlow(now, "x", at(-600), at(-100), at(-2000))}, true},
		{"a quick one, and slow for long since", []Slow{NewSlow(now, "x", at(-1600), at(-100), at(-800))}, true},
		{"a quick one after", []Slow{
			NewSlow(now, "x", at(-600), at(-100), time.Time{}), NewSlow(now, "x", time.Time{}, time.Time{}, at(-10)),
		}, false},
		{"only quick ones", []Slow{NewSlow(now, "x", time.Time{}, time.Time{}, at(-10))}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			reversed := slices.Clone(c.reports)
			slices.Reverse(reversed)
			for _, list := range [][]Slow{c.reports, reversed} {
				s := NewState(now, Options{Address: "10.0.0.1", ApplyWithin: testApply})
				s.TakeSlow(now, list)
				s.TakeSlow(now, list)
				if got := s.SlowServers(now)["x"].Slow; got != c.slow {
					t.Errorf("slow: %v, want %v, of %v", got, c.slow, list)
				}
			}
		})
	}
}
