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

// Sizes and bounds of the trial.
const (
	tryHosts = 3
	tryLimit = 30 * time.Second
	tryPoll  = 10 * time.Millisecond
)

// tryArgs runs a small fleet in this process.
type tryArgs struct{}

// step is one thing that the trial did.
type step struct {
	Step   string `json:"step"`
	TookMs int64  `json:"took_ms"`
	Detail string `json:"detail"`
	// Answer is what a host answered.
	Answer any `json:"answer,omitempty"`
}

// trial is a running trial.
type trial struct {
	out   *printer
	shape sample.Shape
	fleet *fleet.Fleet
	steps []step
	// lastQuery is the request id of the last query.
	lastQuery string
}

func (*tryArgs) run(ctx context.Context, out *printer) error {
	ctx, cancel := context.WithTimeout(ctx, tryLimit)
	defer cancel()
	t := &trial{out: out, shape: sample.Shapes()[0]}
	err := t.run(ctx)
	if out.json {
		return errors.Join(out.value(t.steps), err)
	}
	if err == nil {
		out.printf("\nAll of it worked. docs/OPERATORS.md tells how to run the real thing.")
	}
	return err
}

func (t *trial) run(ctx context.Context) (err error) {
	if err := t.do("start", func() (string, any, error) { return t.start(ctx) }); err != nil {
		return err
	}
	defer func() {
		err = errors.Join(err, t.do("stop", func() (string, any, error) { return t.stop() }))
	}()
	for _, s := range []struct {
		name string
		f    func(context.Context) (string, any, error)
	}{
		{"publish", t.publish},
		{"query", t.query},
		{"explain", t.explain},
		{"command", t.book},
		{"data centre out", t.takeOut},
		{"query", t.query},
		{"data centre back", t.takeBack},
	} {
		if err := t.do(s.name, func() (string, any, error) { return s.f(ctx) }); err != nil {
			return err
		}
	}
	return nil
}

// do runs one step and tells what it did.
func (t *trial) do(name string, f func() (string, any, error)) error {
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
			t.out.printf("%30s %-16s %s", "", e.Kind, about(e))
		}
	}
	return nil
}

func (t *trial) start(ctx context.Context) (string, any, error) {
	var err error
	t.fleet, err = fleet.Start(ctx, fleet.Options{Shape: t.shape, Hosts: tryHosts, Logs: io.Discard})
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("a platform, %d backend servers in %d data centres, %d hosts",
		len(t.fleet.Backends), len(t.shape.DataCentres), tryHosts), nil, nil
}

func (t *trial) stop() (string, any, error) {
	ctx, cancel := context.WithTimeout(context.Background(), tryLimit)
	defer cancel()
	return "every host drained and stopped", nil, t.fleet.Stop(ctx)
}

func (t *trial) publish(ctx context.Context) (string, any, error) {
	t.fleet.Publish(sample.DocumentParams{Version: 1, Snapshot: "monday"})
	if err := t.inForce(ctx, 1); err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("document of %s, version 1, in force on all hosts", t.shape.Service), nil, nil
}

// inForce waits until every host has that version of the document in force
// and knows the other hosts.
func (t *trial) inForce(ctx context.Context, version uint64) error {
	for _, h := range t.fleet.Hosts {
		for !t.hasVersion(ctx, h, version) {
			select {
			case <-ctx.Done():
				return fmt.Errorf("%s has not got version %d: %w", h.Host, version, ctx.Err())
			case <-time.After(tryPoll):
			}
		}
	}
	return nil
}

func (t *trial) hasVersion(ctx context.Context, h *fleet.Host, version uint64) bool {
	var s daemon.Status
	if err := get(ctx, "http://"+h.OpsListen+"/v1/status", &s); err != nil || !s.Ready || len(s.Hosts) < tryHosts {
		return false
	}
	for _, svc := range s.Services {
		if svc.Name == t.shape.Service {
			return svc.Version >= version
		}
	}
	return false
}

// url returns a path of the service at the i-th host.
func (t *trial) url(i int, path string) string {
	return "http://" + t.fleet.Hosts[i].CallerListen + "/v1/services/" + t.shape.Service + path
}

func (t *trial) query(ctx context.Context) (string, any, error) {
	before := t.servedBy()
	var ans figmast.QueryAnswer
	t.lastQuery = uuid.NewString()
	err := post(ctx, t.url(0, "/query"), t.lastQuery, figmast.QueryRequest{Operation: "route-sheet"}, &ans)
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("%d leaves answered from snapshot %s, coverage %.4f; leaf calls by data centre:%s",
		len(ans.Results), ans.Snapshot, ans.Coverage, t.callsSince(before)), ans, nil
}

// servedBy counts the calls that each data centre has run.
func (t *trial) servedBy() map[string]int {
	n := make(map[string]int)
	for _, dc := range t.shape.DataCentres {
		n[dc] = len(t.fleet.Executions(dc))
	}
	return n
}

func (t *trial) callsSince(before map[string]int) string {
	now := t.servedBy()
	var text string
	for _, dc := range t.shape.DataCentres {
		text += fmt.Sprintf(" %s %d", dc, now[dc]-before[dc])
	}
	return text
}

// explain asks the host what it decided on the last query.
func (t *trial) explain(ctx context.Context) (string, any, error) {
	var events []timeline.Event
	err := get(ctx, "http://"+t.fleet.Hosts[0].OpsListen+"/v1/explain/"+t.lastQuery, &events)
	return "what the host decided on that query:", events, err
}

// book sends one booking through two hosts, as a caller does that got no
// answer the first time.
func (t *trial) book(ctx context.Context) (string, any, error) {
	var ticket figmast.TicketAnswer
	if err := post(ctx, t.url(0, "/tickets"), "", struct{}{}, &ticket); err != nil {
		return "", nil, err
	}
	req := figmast.CommandRequest{
		Operation: "book-visit", ShardKey: "yard-17", Ticket: ticket.Ticket,
		Payload: json.RawMessage(`{"yard":17,"gate_code":"4711"}`),
	}
	var ans figmast.CommandAnswer
	for i := 1; i < tryHosts; i++ {
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

func (t *trial) takeOut(ctx context.Context) (string, any, error) {
	out := t.shape.DataCentres[0]
	t.fleet.Publish(sample.DocumentParams{Version: 2, Snapshot: "monday", DataCentresOut: []string{out}})
	if err := t.inForce(ctx, 2); err != nil {
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
	return fmt.Sprintf("%s is out on all hosts; 20 more queries sent it no work", out), nil, nil
}

func (t *trial) takeBack(ctx context.Context) (string, any, error) {
	t.fleet.Publish(sample.DocumentParams{Version: 3, Snapshot: "tuesday"})
	if err := t.inForce(ctx, 3); err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("%s is back, with snapshot tuesday", t.shape.DataCentres[0]), nil, nil
}
