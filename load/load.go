// Package load is an open-loop load generator. It sends requests at a fixed
// rate, whether or not earlier ones have ended, and measures the latency of each
// from the time at which it was due. A stall of the service therefore shows in
// the latencies of all requests that it delays (no coordinated omission).
package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histogram, in microseconds.
const (
	lowestMicros      = 1
	highestMicros     = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result is the result of one request.
type Result struct {
	// Outcome is "answered", the outcome of a refusal, or "failed".
	Outcome string
	// Reason is the title of a refusal, or the reason of a failure.
	Reason   string
	Coverage float64
	Worth    float64
}

// Answered is the Outcome of an answered request.
const Answered = "answered"

// Options configure a run.
type Options struct {
	// Rate is the number of requests per second.
	Rate float64
	// Duration is how long requests are sent; Run then waits for those in
	// flight.
	Duration time.Duration
	// MaxInFlight is the maximum number of requests in flight. Requests that are
	// due beyond it are counted as dropped instead of sent.
	MaxInFlight int
	// Do sends one request.
	Do func(ctx context.Context) Result
}

// Report holds the measurements of a run.
type Report struct {
	Rate        float64 `json:"rate"`
	Seconds     float64 `json:"seconds"`
	Sent        int64   `json:"sent"`
	Dropped     int64   `json:"dropped"`
	InFlightMax int     `json:"in_flight_max"`
	// Outcomes and Reasons count requests by Result.Outcome and Result.Reason.
	Outcomes map[string]int64 `json:"outcomes"`
	Reasons  map[string]int64 `json:"reasons,omitempty"`
	// Latency is the time from when answered requests were due until they
	// ended, in milliseconds.
	Latency Percentiles `json:"latency_ms"`
	// Refusals is the same for requests that were refused or failed.
	Refusals Percentiles `json:"refusal_latency_ms"`
	// CoverageMean is the mean coverage of answered requests; Partial counts
	// those with a coverage below 1.
	CoverageMean float64 `json:"coverage_mean"`
	Partial      int64   `json:"partial"`
	// Worth is the total worth of answered requests, WorthOffered of all
	// requests that were sent.
	Worth        float64 `json:"worth"`
	WorthOffered float64 `json:"worth_offered"`
}

// Percentiles summarises a latency distribution, in milliseconds.
type Percentiles struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99_9"`
	Max  float64 `json:"max"`
}

// run is the state of a run in progress.
type run struct {
	opts  Options
	clock func() time.Time

	mu          sync.Mutex
	inFlight    int
	report      Report
	answered    *hdrhistogram.Histogram
	refused     *hdrhistogram.Histogram
	coverageSum float64
}

// Run sends requests until the duration is over or ctx is done, waits for those
// in flight and reports on all of them.
func Run(ctx context.Context, opts Options) Report {
	r := &run{
		opts: opts, clock: time.Now,
		answered: hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
		refused:  hdrhistogram.New(lowestMicros, highestMicros, significantDigits),
	}
	r.report = Report{Rate: opts.Rate, Outcomes: make(map[string]int64), Reasons: make(map[string]int64)}
	start := r.clock()
	var sending sync.WaitGroup
	for i := 0; ; i++ {
		due := start.Add(time.Duration(float64(i) / opts.Rate * float64(time.Second)))
		if due.Sub(start) >= opts.Duration || !r.sleepUntil(ctx, due) {
			break
		}
		if !r.begin() {
			continue
		}
		sending.Add(1)
		go func() {
			defer sending.Done()
			res := opts.Do(ctx)
			r.end(res, r.clock().Sub(due))
		}()
	}
	sending.Wait()
	return r.finish(r.clock().Sub(start))
}

// sleepUntil waits until that time and returns true, or returns false as soon
// as ctx is done.
func (r *run) sleepUntil(ctx context.Context, at time.Time) bool {
	wait := at.Sub(r.clock())
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin counts a due request as sent or dropped, and reports whether it may be
// sent.
func (r *run) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.inFlight >= r.opts.MaxInFlight {
		r.report.Dropped++
		return false
	}
	r.inFlight++
	r.report.Sent++
	r.report.InFlightMax = max(r.report.InFlightMax, r.inFlight)
	return true
}

func (r *run) end(res Result, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.report.Outcomes[res.Outcome]++
	r.report.WorthOffered += res.Worth
	micros := min(max(took.Microseconds(), lowestMicros), highestMicros)
	if res.Outcome != Answered {
		r.report.Reasons[res.Reason]++
		_ = r.refused.RecordValue(micros) // cannot fail: micros is within the bounds
		return
	}
	_ = r.answered.RecordValue(micros) // cannot fail: micros is within the bounds
	r.report.Worth += res.Worth
	r.coverageSum += res.Coverage
	if res.Coverage < 1 {
		r.report.Partial++
	}
}

func (r *run) finish(took time.Duration) Report {
	out := r.report
	out.Seconds = took.Seconds()
	out.Latency = percentiles(r.answered)
	out.Refusals = percentiles(r.refused)
	if n := r.answered.TotalCount(); n > 0 {
		out.CoverageMean = r.coverageSum / float64(n)
	}
	return out
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	if h.TotalCount() == 0 {
		return Percentiles{}
	}
	at := func(p float64) float64 { return float64(h.ValueAtPercentile(p)) / 1000 }
	return Percentiles{Mean: h.Mean() / 1000, P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.Max()) / 1000}
}
