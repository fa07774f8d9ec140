package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"

	figmast "github.com/figmast/figmast"
)

// callerArgs are shared by what acts as a caller.
type callerArgs struct {
	Hosts   addresses `arg:"--hosts,env:FIGMAST_HOSTS" placeholder:"IP:PORT,..." help:"callers' addresses of hosts, or the balancer's, separated by commas"`
	Service string    `arg:"--service,required" help:"service to ask"`
	Op      string    `arg:"--operation,required" help:"operation of the service"`
	Payload string    `arg:"--payload" placeholder:"JSON" help:"payload in JSON"`
	Urgency string    `arg:"--urgency" help:"urgent, normal or bulk; the operation's if not given"`
	Worth   float64   `arg:"--worth" help:"worth of an answer; the operation's if not given"`
	Request string    `arg:"--request-id" help:"request id; made up if not given"`
}

// check returns every fault of the flags.
func (a callerArgs) check() error {
	var faults []error
	if len(a.Hosts) == 0 {
		faults = append(faults, errors.New("--hosts or FIGMAST_HOSTS: no host given"))
	}
	faults = append(faults, checkAddresses("--hosts", a.Hosts))
	if a.Payload != "" && !json.Valid([]byte(a.Payload)) {
		faults = append(faults, errors.New("--payload: not JSON"))
	}
	return errors.Join(faults...)
}

func (a callerArgs) payload() json.RawMessage {
	if a.Payload == "" {
		return nil
	}
	return json.RawMessage(a.Payload)
}

func (a callerArgs) requestID() string {
	if a.Request != "" {
		return a.Request
	}
	return uuid.NewString()
}

func (a callerArgs) url(host, path string) string {
	return "http://" + host + "/v1/services/" + a.Service + path
}

// queryArgs sends one query.
type queryArgs struct{ callerArgs }

func (a *queryArgs) run(ctx context.Context, out *printer) error {
	req := figmast.QueryRequest{Operation: a.Op, Payload: a.payload(), Urgency: figmast.Urgency(a.Urgency), Worth: a.Worth}
	var ans figmast.QueryAnswer
	id := a.requestID()
	err := a.tryHosts(ctx, func(host string) error { return post(ctx, a.url(host, "/query"), id, req, &ans) })
	if err != nil {
		return refused(out, err)
	}
	if out.json {
		return out.value(ans)
	}
	out.printf("request %s: snapshot %s, partition map %s, coverage %.4f, document version %d",
		ans.RequestID, ans.Snapshot, ans.PartitionMap, ans.Coverage, ans.DocumentVersion)
	var rows []string
	for _, r := range ans.Results {
		rows = append(rows, fmt.Sprintf("%s\t%s", r.Leaf, r.Result))
	}
	for _, m := range ans.Missing {
		rows = append(rows, fmt.Sprintf("%s\tmissing: %s", m.Leaf, m.Reason))
	}
	out.table("LEAF\tRESULT", rows)
	return nil
}

// How often a request is sent again, and how long the command waits before.
const (
	resends    = 3
	resendWait = 200 * time.Millisecond
)

// tryHosts sends through each host in turn until one gives a final answer.
func (a callerArgs) tryHosts(ctx context.Context, send func(host string) error) error {
	for i := 0; ; i++ {
		err := send(a.Hosts[i%len(a.Hosts)])
		if err == nil || i == resends || !mayResend(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(resendWait):
		}
	}
}

// mayResend reports whether another send may tell more: no answer came, or
// the refusal says when to come back.
func mayResend(err error) bool {
	p := asProblem(err)
	return p == nil || p.RetryAfterMs > 0
}

// commandArgs runs one command.
type commandArgs struct {
	callerArgs
	ShardKey string `arg:"--shard-key,required" help:"chooses the leaf"`
	Ticket   string `arg:"--ticket" help:"ticket of an earlier try of the same command"`
}

func (a *commandArgs) run(ctx context.Context, out *printer) error {
	req := figmast.CommandRequest{
		Operation: a.Op, ShardKey: a.ShardKey, Ticket: a.Ticket, Payload: a.payload(),
		Urgency: figmast.Urgency(a.Urgency), Worth: a.Worth,
	}
	var ans figmast.CommandAnswer
	id := a.requestID()
	err := a.tryHosts(ctx, func(host string) error {
		if req.Ticket == "" {
			var t figmast.TicketAnswer
			if err := post(ctx, a.url(host, "/tickets"), "", struct{}{}, &t); err != nil {
				return err
			}
			req.Ticket = t.Ticket
		}
		err := post(ctx, a.url(host, "/command"), id, req, &ans)
		if notRun(err) && a.Ticket == "" {
			req.Ticket = "" // it has not run under this ticket and never will
		}
		return err
	})
	if err != nil {
		if req.Ticket != "" && !out.json {
			out.printf("ticket %s", req.Ticket)
		}
		return refused(out, err)
	}
	if out.json {
		return out.value(ans)
	}
	out.printf("request %s: %s on %s of %s", ans.RequestID, ans.Outcome, ans.Server, ans.Leaf)
	out.printf("%s", ans.Result)
	return nil
}

// notRun reports whether err is a refusal of a command that never runs under
// its ticket.
func notRun(err error) bool {
	p := asProblem(err)
	return p != nil && p.Outcome == figmast.NotRun
}

// refused prints a refusal and ends with exitFailed; other errors pass.
func refused(out *printer, err error) error {
	p := asProblem(err)
	if p == nil {
		return err
	}
	if out.json {
		return errors.Join(out.value(p), errFailed)
	}
	out.printf("refused: %d %s: %s", p.Status, p.Title, p.Detail)
	out.printf("outcome %s; step %s; peer %s; request %s", p.Outcome, p.Step, p.Peer, p.RequestID)
	if p.RetryAfterMs > 0 {
		out.printf("come back after %d ms", p.RetryAfterMs)
	}
	return errFailed
}
