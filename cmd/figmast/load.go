package main

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/load"
)

// maxLoadDuration bounds a run.
const maxLoadDuration = time.Hour

// loadArgs sends requests at a rate and measures.
type loadArgs struct {
	callerArgs
	Rate     float64       `arg:"--rate" default:"50" help:"requests a second"`
	Duration time.Duration `arg:"--duration" default:"10s" help:"how long to send"`
	InFlight int           `arg:"--max-in-flight" default:"256" help:"the most requests in progress; what is due beyond it is dropped and counted"`
	ShardKey string        `arg:"--shard-key" help:"send commands, with this start of the shard key, in place of queries"`
}

func (a *loadArgs) check() error {
	faults := []error{a.callerArgs.check()}
	if !(a.Rate > 0 && a.Rate <= 1e6) {
		faults = append(faults, errors.New("--rate: not above 0"))
	}
	if a.Duration <= 0 || a.Duration > maxLoadDuration {
		faults = append(faults, fmt.Errorf("--duration: not in 0 to %v", maxLoadDuration))
	}
	if a.InFlight < 1 {
		faults = append(faults, errors.New("--max-in-flight: below 1"))
	}
	return errors.Join(faults...)
}

func (a *loadArgs) run(ctx context.Context, out *printer) error {
	var turn atomic.Uint64
	do := func(ctx context.Context) load.Result {
		n := turn.Add(1)
		host := a.Hosts[n%uint64(len(a.Hosts))]
		if a.ShardKey != "" {
			return a.command(ctx, host, n)
		}
		return a.query(ctx, host)
	}
	report := load.Run(ctx, load.Options{Rate: a.Rate, Duration: a.Duration, MaxInFlight: a.InFlight, Do: do})
	if out.json {
		return out.value(report)
	}
	printReport(out, report)
	return nil
}

func (a *loadArgs) query(ctx context.Context, host string) load.Result {
	req := figmast.QueryRequest{Operation: a.Op, Payload: a.payload(), Urgency: figmast.Urgency(a.Urgency), Worth: a.Worth}
	var ans figmast.QueryAnswer
	err := post(ctx, a.url(host, "/query"), uuid.NewString(), req, &ans)
	return a.result(err, ans.Coverage)
}

func (a *loadArgs) command(ctx context.Context, host string, n uint64) load.Result {
	var t figmast.TicketAnswer
	if err := post(ctx, a.url(host, "/tickets"), "", struct{}{}, &t); err != nil {
		return a.result(err, 0)
	}
	req := figmast.CommandRequest{
		Operation: a.Op, ShardKey: fmt.Sprintf("%s%d", a.ShardKey, n), Ticket: t.Ticket, Payload: a.payload(),
		Urgency: figmast.Urgency(a.Urgency), Worth: a.Worth,
	}
	var ans figmast.CommandAnswer
	return a.result(post(ctx, a.url(host, "/command"), uuid.NewString(), req, &ans), 1)
}

// result counts a worth of 1 where the caller names none.
func (a *loadArgs) result(err error, coverage float64) load.Result {
	r := load.Result{Outcome: load.Answered, Coverage: coverage, Worth: max(a.Worth, 0)}
	if r.Worth == 0 {
		r.Worth = 1
	}
	if err == nil {
		return r
	}
	r.Outcome, r.Reason = "failed", "no answer"
	if p := asProblem(err); p != nil {
		r.Outcome, r.Reason = string(p.Outcome), p.Title
	}
	return r
}

func printReport(out *printer, r load.Report) {
	out.printf("%d sent in %.1f s at %g a second; at most %d in progress, %d dropped", r.Sent, r.Seconds, r.Rate, r.InFlightMax, r.Dropped)
	out.table("\tMEAN\tP50\tP90\tP99\tP99.9\tMAX (ms from when due)", []string{
		percentileRow("answered", r.Latency), percentileRow("refused", r.Refusals),
	})
	out.printf("coverage %.4f in the mean, %d answers partial; worth %.0f of %.0f", r.CoverageMean, r.Partial, r.Worth, r.WorthOffered)
	out.table("OUTCOME\tREQUESTS", counts(r.Outcomes))
	if len(r.Reasons) > 0 {
		out.table("REFUSAL\tREQUESTS", counts(r.Reasons))
	}
}

func percentileRow(name string, p load.Percentiles) string {
	return fmt.Sprintf("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f", name, p.Mean, p.P50, p.P90, p.P99, p.P999, p.Max)
}

func counts(m map[string]int64) []string {
	var rows []string
	for name, n := range m {
		rows = append(rows, fmt.Sprintf("%s\t%d", name, n))
	}
	sort.Strings(rows)
	return rows
}
