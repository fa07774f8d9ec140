package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/daemon"
	"github.com/figmast/figmast/internal/fleet"
	"github.com/figmast/figmast/internal/sample"
	"github.com/figmast/figmast/timeline"
)

// Number of hosts, timeout and poll interval of the trial.
const (
	trialHosts        = 3
	trialTimeout      = 30 * time.Second
	trialPollInterval = 10 * time.Millisecond
)

// tryArgs holds the arguments of the try subcommand, which runs a small fleet
// in this process. It has none.
type tryArgs struct{}

// step is the result of one step of the trial.
type step struct {
	Step   string `json:"step"`
	TookMs int64  `json:"took_ms"`
	Detail string `json:"detail"`
	// Answer is what a host answered.
	Answer any `json:"answer,omitempty"`
}

// trial holds the state of one run of the try subcommand.
type trial struct {
	out   *printer
	shape sample.Shape
	fleet *fleet.Fleet
	steps []step
	// lastQuery is the request id of the last query.
	lastQuery string
}

func (*tryArgs) run(ctx context.Context, out *printer) error {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	t := &trial{out: out, shape: sample.Shapes()[0]}
	err := t.run(ctx)
	if out.json {
		return errors.Join(out.printJSON(t.steps), err)
	}
	if err == nil {
		out.printf("\nAll steps succeeded. docs/OPERATORS.md describes how to run a real fleet.")
	}
	return err
}

func (t *trial) run(ctx context.Context) (err error) {
	if err := t.runStep("start", func() (string, any, error) { return t.start(ctx) }); err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, t.runStep("stop", func() (string, any, error) { return t.stop() }))
	}()
	for _, s := range []struct {
		name string
		f    func(context.Context) (string, any, error)
	}{
		{"publish", t.publish},
		{"query", t.query},
		{"explain", t.explain},
		{"command", t.sendBooking},
		{"data centre out", t.takeDataCentreOut},
		{"query", t.query},
		{"data centre back", t.restoreDataCentre},
	} {
		if err := t.runStep(s.name, func() (string, any, error) { return s.f(ctx) }); err != nil {
			return err
		}
	}
	return nil
}

// runStep runs one step, records it and prints its result.
func (t *trial) runStep(name string, f func() (string, any, error)) error {
	start := time.Now()
	detail, answer, err := f()
	took := time.Since(start).Milliseconds()
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	t.steps = append(t.steps, step{Step: name, TookMs: took, Detail: detail, Answer: answer})
	if t.out.json {
		return nil
	}
	t.out.printf("%-18s %5d ms  %s", name, took, detail)
	if events, ok := answer.([]timeline.Event); ok {
		for _, e := range events {
			e.Request, e.Service = "", ""
			t.out.printf("%30s %-16s %s", "", e.Kind, describeEvent(e))
		}
	}
	return nil
}

func (t *trial) start(ctx context.Context) (string, any, error) {
	var err error
	t.fleet, err = fleet.Start(ctx, fleet.Options{Shape: t.shape, Hosts: trialHosts, Logs: io.Discard})
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("a platform, %d backend servers in %d data centres, %d hosts",
		len(t.fleet.Backends), len(t.shape.DataCentres), trialHosts), nil, nil
}

func (t *trial) stop() (string, any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), trialTimeout)
	defer cancel()
	return "all hosts drained and stopped", nil, t.fleet.Stop(ctx)
}

func (t *trial) publish(ctx context.Context) (string, any, error) {
	t.fleet.Publish(sample.DocumentParams{Version: 1, Snapshot: "monday"})
	if err := t.waitForVersion(ctx, 1); err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("document of %s, version 1, in force on all hosts", t.shape.Service), nil, nil
}

// waitForVersion waits until every host has at least this version of the
// document in force and knows the other hosts.
func (t *trial) waitForVersion(ctx context.Context, version uint64) error {
	for _, h := range t.fleet.Hosts {
		for !t.hasVersion(ctx, h, version) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s did not reach version %d: %w", h.Host, version, ctx.Err())
			case <-time.After(trialPollInterval):
			}
		}
	}
	return nil
}

func (t *trial) hasVersion(ctx context.Context, h *fleet.Host, version uint64) bool {
	var s daemon.Status
	if err := get(ctx, "http://"+h.OpsListen+"/v1/status", &s); err != nil || !s.Ready || len(s.Hosts) < trialHosts {
		return false
	}
	for _, svc := range s.Services {
		if svc.Name == t.shape.Service {
			return svc.Version >= version
		}
	}
	return false
}

// url returns the URL of a path of the service on the i-th host.
func (t *trial) url(i int, path string) string {
	return "http://" + t.fleet.Hosts[i].CallerListen + "/v1/services/" + t.shape.Service + path
}

func (t *trial) query(ctx context.Context) (string, any, error) {
	before := t.countCalls()
	var ans figmast.QueryAnswer
	t.lastQuery = uuid.NewString()
	err := post(ctx, t.url(0, "/query"), t.lastQuery, figmast.QueryRequest{Operation: "route-sheet"}, &ans)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("%d leaves answered from snapshot %s, coverage %.4f; leaf calls by data centre:%s",
		len(ans.Results), ans.Snapshot, ans.Coverage, t.formatCallsSince(before)), ans, nil
}

// countCalls returns how many calls the backend servers of each data centre
// have run.
func (t *trial) countCalls() map[string]int {
	n := make(map[string]int)
	for _, dc := range t.shape.DataCentres {
		n[dc] = len(t.fleet.Executions(dc))
	}
	return n
}

func (t *trial) formatCallsSince(before map[string]int) string {
	now := t.countCalls()
	var text string
	for _, dc := range t.shape.DataCentres {
		text += fmt.Sprintf(" %s %d", dc, now[dc]-before[dc])
	}
	return text
}

// explain fetches the decisions of the first host on the last query.
func (t *trial) explain(ctx context.Context) (string, any, error) {
	var events []timeline.Event
	err := get(ctx, "http://"+t.fleet.Hosts[0].OpsListen+"/v1/explain/"+t.lastQuery, &events)
	return "decisions of the host on that query:", events, err
}

// sendBooking sends one booking through two hosts with the same ticket, as a
// caller does that got no answer to its first attempt, and checks that it ran
// once.
func (t *trial) sendBooking(ctx context.Context) (string, any, error) {
	var ticket figmast.TicketAnswer
	if err := post(ctx, t.url(0, "/tickets"), "", struct{}{}, &ticket); err != nil {
		return "", nil, err
	}
	req := figmast.CommandRequest{
		Operation: "book-visit", ShardKey: "yard-17", Ticket: ticket.Ticket,
		Payload: json.RawMessage(`{"yard":17,"gate_code":"4711"}`),
	}
	var ans figmast.CommandAnswer
	for i := 1; i < trialHosts; i++ {
		if err := post(ctx, t.url(i, "/command"), uuid.NewString(), req, &ans); err != nil {
			return "", nil, err
		}
	}
	ran := 0
	for _, e := range t.fleet.Executions("") {
		if e.Command {
			ran++
		}
	}
	if ran != 1 {
		return "", nil, fmt.Errorf("the booking ran %d times", ran)
	}
	return fmt.Sprintf("a booking sent through two hosts ran once, on %s", ans.Server), ans, nil
}

func (t *trial) takeDataCentreOut(ctx context.Context) (string, any, error) {
	out := t.shape.DataCentres[0]
	t.fleet.Publish(sample.DocumentParams{Version: 2, Snapshot: "monday", DataCentresOut: []string{out}})
	if err := t.waitForVersion(ctx, 2); err != nil {
		return "", nil, err
	}
	before := len(t.fleet.Executions(out))
	for range 20 {
		if _, _, err := t.query(ctx); err != nil {
			return "", nil, err
		}
	}
	if n := len(t.fleet.Executions(out)) - before; n != 0 {
		return "", nil, fmt.Errorf("%s got %d calls while it was out", out, n)
	}
	return fmt.Sprintf("%s is out on all hosts; 20 more queries sent it no calls", out), nil, nil
}

func (t *trial) restoreDataCentre(ctx context.Context) (string, any, error) {
	t.fleet.Publish(sample.DocumentParams{Version: 3, Snapshot: "tuesday"})
	if err := t.waitForVersion(ctx, 3); err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("%s is back, with snapshot tuesday", t.shape.DataCentres[0]), nil, nil
}
