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
	if err := post(ctx, a.url(a.Hosts[0], "/query"), a.requestID(), req, &ans); err != nil {
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

// commandArgs runs one command.
type commandArgs struct {
	callerArgs
	ShardKey string `arg:"--shard-key,required" help:"chooses the leaf"`
	Ticket   string `arg:"--ticket" help:"ticket of an earlier try of the same command"`
}

// resends is how often a command whose outcome is not known yet, or that was
// not run, is sent again. The ticket makes it safe.
const (
	resends    = 3
	resendWait = 200 * time.Millisecond
)

func (a *commandArgs) run(ctx context.Context, out *printer) error {
	req := figmast.CommandRequest{
		Operation: a.Op, ShardKey: a.ShardKey, Ticket: a.Ticket, Payload: a.payload(),
		Urgency: figmast.Urgency(a.Urgency), Worth: a.Worth,
	}
	if req.Ticket == "" {
		var t figmast.TicketAnswer
		if err := post(ctx, a.url(a.Hosts[0], "/tickets"), "", struct{}{}, &t); err != nil {
			return refused(out, err)
		}
		req.Ticket = t.Ticket
	}
	ans, err := a.send(ctx, req)
	if err != nil {
		if !out.json {
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

// send sends the command through each host in turn until one knows what
// became of it.
func (a *commandArgs) send(ctx context.Context, req figmast.CommandRequest) (figmast.CommandAnswer, error) {
	var ans figmast.CommandAnswer
	id := a.requestID()
	for i := 0; ; i++ {
		host := a.Hosts[i%len(a.Hosts)]
		err := post(ctx, a.url(host, "/command"), id, req, &ans)
		if err == nil || i == resends || !mayResend(err) {
			return ans, err
		}
		select {
		case <-ctx.Done():
			return ans, err
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
