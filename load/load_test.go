package load

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

func TestRateAndOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := 0
		r := Run(context.Background(), Options{Rate: 100, Duration: time.Second, MaxInFlight: 10, Do: func(context.Context) Result {
			n++
			if n%10 == 0 {
				return Result{Outcome: "not_run", Reason: "all_busy", Worth: 2}
			}
			time.Sleep(5 * time.Millisecond)
			return Result{Outcome: Answered, Coverage: 0.5, Worth: 2}
		}})
		is.Equal(r.Sent, int64(100))
		is.Equal(r.Outcomes[Answered], int64(90))
		is.Equal(r.Reasons["all_busy"], int64(10))
		is.Equal(r.Latency.P99, 5.003) // 5 ms rounded to a bucket of three significant digits
		is.Equal(r.CoverageMean, 0.5)
		is.Equal(r.Partial, int64(90))
		is.Equal(r.Worth, 180.0)
		is.Equal(r.WorthOffered, 200.0)
	})
}

// TestStallShowsInLatencies guards against coordinated omission: the latencies
// of requests that were due during a stall include the time that they waited.
func TestStallShowsInLatencies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		r := Run(context.Background(), Options{Rate: 100, Duration: 2 * time.Second, MaxInFlight: 1000, Do: func(context.Context) Result {
			time.Sleep(max(time.Second-time.Since(start), time.Millisecond)) // the service stalls for the first second
			return Result{Outcome: Answered, Coverage: 1}
		}})
		is.Equal(r.Sent, int64(200))
		is.True(r.Latency.P50 < 20)
		is.True(r.Latency.P90 > 700) // 100 of 200 requests wait for up to a second
	})
}

func TestInFlightIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := Run(context.Background(), Options{Rate: 100, Duration: time.Second, MaxInFlight: 3, Do: func(context.Context) Result {
			time.Sleep(10 * time.Second)
			return Result{Outcome: Answered}
		}})
		is.Equal(r.InFlightMax, 3)
		is.Equal(r.Sent, int64(3))
		is.Equal(r.Dropped, int64(97))
	})
}
