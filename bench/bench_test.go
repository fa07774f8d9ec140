package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func quick(p Policy, faults ...Fault) Config {
	return Config{Workload: Strapwell, Policy: p, Faults: faults, Seed: 7, Load: ordinaryLoad, Length: 7 * time.Second}
}

// What the query tier promises holds under each pair of faults here; the
// stand-ins' own records decide.
func TestPromises(t *testing.T) {
	for _, faults := range [][]Fault{{Move, Partition}, {Drain}, {SnapshotChange, Stragglers}} {
		r := Run(quick(Figmast, faults...))
		t.Run(r.Fault, func(t *testing.T) {
			is := is.New(t)
			is.Equal(r.Untrue, 0)
			is.Equal(r.LateCalls, 0)
			is.True(r.Worth > 0.8)
		})
	}
}

// The same seed gives the same figures, whatever the order of maps.
func TestDeterminism(t *testing.T) {
	is := is.New(t)
	c := quick(Figmast, Move, Stragglers)
	first := Run(c)
	for range 2 {
		is.Equal(Run(c), first)
	}
}
