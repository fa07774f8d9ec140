package bench

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func shortRun(p Policy, faults ...Fault) Config {
	return Config{Workload: Strapwell, Policy: p, Faults: faults, Seed: 7, Load: ordinaryLoad, Length: 7 * time.Second}
}

// TestPromises checks the guarantees of the query tier under combined faults,
// against what the simulated backend servers recorded.
func TestPromises(t *testing.T) {
	results := RunAll([]Config{
		shortRun(Figmast, DataCentreMove, Partition), shortRun(Figmast, ServersLeaving),
		shortRun(Figmast, SnapshotChange, Stragglers), shortRun(Figmast, UnreportedColdStart, CrashQuery),
	})
	for _, r := range results {
		t.Run(r.Fault, func(t *testing.T) {
			is := is.New(t)
			is.Equal(r.Untrue, 0)
			is.Equal(r.LateCalls, 0)
			is.Equal(r.Doubled, 0)
			is.True(r.ColdExcess <= hostCount)
			is.True(r.Worth >= 0.99)
		})
	}
}

// TestTargets checks the targets that a single run can show; see docs/BENCH.md.
func TestTargets(t *testing.T) {
	is := is.New(t)
	wide := Config{Workload: Wide, Policy: Figmast, Seed: 7, Load: ordinaryLoad, Length: runLength}
	slowWide := wide
	slowWide.Faults = []Fault{Stragglers}
	fullWide := wide
	fullWide.Faults = []Fault{Overload}
	fullWide.Length = 4 * time.Second
	results := RunAll([]Config{wide, slowWide, shortRun(Figmast, ReplicaLoss), fullWide})
	plain, slow, loss, full := results[0], results[1], results[2], results[3]
	is.True(slow.P99 <= 2*plain.P99)
	is.True(slow.Extra <= 0.05)
	is.True(loss.Coverage >= 0.999)
	is.True(full.Goodput >= 0.9)
	is.True(full.Urgent >= 0.95) // urgent queries alone are within the capacity
}

// TestDeterminism guards against results that depend on map iteration order:
// the same seed must give the same figures.
func TestDeterminism(t *testing.T) {
	is := is.New(t)
	c := shortRun(Figmast, DataCentreMove, Stragglers)
	c.Length = 4 * time.Second
	results := RunAll([]Config{c, c})
	is.Equal(results[1], results[0])
}
