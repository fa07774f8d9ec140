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

// maxLoadDuration bounds --duration.
const maxLoadDuration = time.Hour

// loadArgs holds the flags of the load subcommand, which sends requests at a
// fixed rate and measures the answers.
type loadArgs struct {
	callerArgs
	Rate     float64       `arg:"--rate" default:"50" help:"requests per second"`
	Duration time.Duration `arg:"--duration" default:"10s" help:"how long to send requests"`
	InFlight int           `arg:"--max-in-flight" default:"256" help:"maximum number of requests in flight; requests due beyond it are dropped and counted"`
	ShardKey string        `arg:"--shard-key" help:"send commands instead of queries, with shard keys that start with this prefix"`
}

func (a *loadArgs) check() error {
	errs := []error{a.callerArgs.check()}
	if !(a.Rate > 0 && a.Rate <= 1e6) {
		errs = append(errs, errors.New("--rate: must be above 0 and at most 1000000"))
	}
	if a.Duration <= 0 || a.Duration > maxLoadDuration {
		errs = append(errs, fmt.Errorf("--duration: must be above 0 and at most %v", maxLoadDuration))
	}
	if a.InFlight < 1 {
		errs = append(errs, errors.New("--max-in-flight: must be at least 1"))
	}
	return errors.Join(errs...)
}

func (a *loadArgs) run(ctx context.Context, out *printer) error {
	var sequence atomic.Uint64
	do := func(ctx context.Context) load.Result {
		n := sequence.Add(1)
		host := a.Hosts[n%uint64(len(a.Hosts))]
		if a.ShardKey != "" {
			return a.command(ctx, host, n)
		}
		return a.query(ctx, host)
	}
	report := load.Run(ctx, load.Options{Rate: a.Rate, Duration: a.Duration, MaxInFlight: a.InFlight, Do: do})
	if out.json {
		return out.printJSON(report)
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

// result classifies one request by its error. Without --worth, a request
// counts with a worth of 1.
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
	out.printf("%d sent in %.1f s at %g per second; at most %d in flight, %d dropped", r.Sent, r.Seconds, r.Rate, r.InFlightMax, r.Dropped)
	out.printTable("\tMEAN\tP50\tP90\tP99\tP99.9\tMAX (ms since due)", []string{
		percentileRow("answered", r.Latency), percentileRow("refused", r.Refusals),
	})
	out.printf("mean coverage %.4f, %d partial answers; worth %.0f of %.0f offered", r.CoverageMean, r.Partial, r.Worth, r.WorthOffered)
	out.printTable("OUTCOME\tREQUESTS", countRows(r.Outcomes))
	if len(r.Reasons) > 0 {
		out.printTable("REFUSAL\tREQUESTS", countRows(r.Reasons))
	}
}

func percentileRow(name string, p load.Percentiles) string {
	return fmt.Sprintf("%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f", name, p.Mean, p.P50, p.P90, p.P99, p.P999, p.Max)
}

func countRows(m map[string]int64) []string {
	var rows []string
	for name, n := range m {
		rows = append(rows, fmt.Sprintf("%s\t%d", name, n))
	}
	sort.Strings(rows)
	return rows
}
