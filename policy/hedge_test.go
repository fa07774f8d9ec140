package policy

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/figmast/figmast/document"
)

func TestHistogramQuantile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h histogram
		latencies := rapid.SliceOfN(rapid.Int64Range(int64(10*time.Microsecond), int64(20*time.Second)), histogramMinSamples, histogramMaxSamples-1).Draw(t, "latencies")
		below := func(d time.Duration) int {
			n := 0
			for _, l := range latencies {
				if time.Duration(l) <= d {
					n++
				}
			}
			return n
		}
		for _, l := range latencies {
			h.add(time.Duration(l))
		}
		q := rapid.Float64Range(0.5, 0.99).Draw(t, "quantile")
		d := h.trackQuantile(q)
		// A bucket spans at most a quarter of its start.
		if float64(below(d+d/4+histogramUnit)) < q*float64(len(latencies)) {
			t.Fatalf("%v is too low for %v", d, q)
		}
		if float64(below(d-d/4-histogramUnit)) > q*float64(len(latencies))+1 {
			t.Fatalf("%v is too high for %v", d, q)
		}
	})
}

func TestHistogramDecaysAndStaysBounded(t *testing.T) {
	is := is.New(t)
	var h histogram
	for range 5 * histogramMaxSamples {
		h.add(time.Millisecond)
	}
	for range 4 * histogramMaxSamples {
		h.add(time.Hour)
	}
	is.True(h.total < histogramMaxSamples)
	is.True(h.trackQuantile(0.5) > time.Second)
}

func TestHedgeDelayOfLeafThenService(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{leaves: 2, servers: 3, connections: 50}.doc())[0]
	is.Equal(r.HedgeDelay("svc", "leaf0"), defaultHedgeDelay)
	for range 2 * histogramMinSamples {
		call(t, r, epoch, leaf0, Observation{Latency: 10 * time.Millisecond})
	}
	near := func(d time.Duration) bool { return d > 8*time.Millisecond && d < 13*time.Millisecond }
	is.True(near(r.HedgeDelay("svc", "leaf0")))
	is.True(near(r.HedgeDelay("svc", "leaf1")))
	is.Equal(r.HedgeDelay("svc", "nowhere"), defaultHedgeDelay)
}

func TestBudgets(t *testing.T) {
	is := is.New(t)
	doc := shape{leaves: 2, servers: 3, connections: 50}.doc()
	r := routers(1, 1, Options{}, doc)[0]
	spendAll := func() (hedges, retries int) {
		for r.SpendHedge(epoch, "svc", "leaf0") {
			hedges++
		}
		for r.SpendRetry(epoch, "svc") {
			retries++
		}
		return hedges, retries
	}
	spendAll()
	const calls = 200
	for range calls {
		call(t, r, epoch, leaf0, Observation{Latency: time.Millisecond})
	}
	hedges, retries := spendAll()
	is.Equal(hedges, int(calls*document.DefaultHedgeBudget))
	is.True(retries == calls*document.DefaultRetryBudget || retries == calls*document.DefaultRetryBudget-1)
	is.True(!r.SpendHedge(epoch, "svc", "nowhere"))
	is.True(!r.SpendRetry(epoch, "nowhere"))
}

func TestHedgesStopUnderOverload(t *testing.T) {
	is := is.New(t)
	r := routers(1, 1, Options{}, shape{servers: 3, connections: 50}.doc())[0]
	for i := range 1000 {
		o := Observation{Latency: time.Millisecond}
		if i%5 == 0 {
			o.Result = ResultShed
		}
		call(t, r, epoch, leaf0, o)
	}
	is.True(!r.SpendHedge(epoch, "svc", "leaf0"))
	is.True(r.SpendRetry(epoch, "svc"))
}

// Target: with 1 % of calls 20 times slower on 30 leaves, the query's p99 is
// within twice the p99 without stragglers, at no more than 5 % extra load.
func TestStragglersAreHedged(t *testing.T) {
	is := is.New(t)
	run := func(stragglers float64, hedgeAfter time.Duration) *sim {
		s := newSim(1, 9, 3, Options{}, shape{leaves: 30, servers: 3, connections: 30, centres: 3}.doc(), 5*time.Millisecond)
		s.hedgeAfter = hedgeAfter
		for _, m := range s.servers {
			m.stragglerOdds = stragglers
		}
		s.run(300, 2*time.Second)
		s.reset()
		s.run(300, 8*time.Second)
		return s
	}
	baseline, hedged, never, fixedDelay := run(0, 0), run(.01, 0), run(.01, -1), run(.01, 10*time.Millisecond)
	t.Logf("no stragglers: %v\nhedged: %v\nnever: %v\nafter 10 ms: %v", baseline, hedged, never, fixedDelay)
	is.True(hedged.quantile(.99) <= 2*baseline.quantile(.99))
	is.True(hedged.extraLoad() <= 0.05)
	is.True(never.quantile(.99) > 4*baseline.quantile(.99))
}
