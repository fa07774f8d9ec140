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

// callerArgs holds the flags shared by the subcommands that send requests.
type callerArgs struct {
	Hosts   addresses `arg:"--hosts,env:FIGMAST_HOSTS" placeholder:"IP:PORT,..." help:"caller addresses of the hosts or of the load balancer, separated by commas"`
	Service string    `arg:"--service,required" help:"service to send the request to"`
	Op      string    `arg:"--operation,required" help:"operation of the service"`
	Payload string    `arg:"--payload" placeholder:"JSON" help:"payload in JSON"`
	Urgency string    `arg:"--urgency" help:"urgent, normal or bulk; the operation's urgency if not given"`
	Worth   float64   `arg:"--worth" help:"worth of an answer; the operation's worth if not given"`
	Request string    `arg:"--request-id" help:"request id; generated if not given"`
}

// check validates the flags and returns all errors joined.
func (a callerArgs) check() error {
	var errs []error
	if len(a.Hosts) == 0 {
		errs = append(errs, errors.New("--hosts or FIGMAST_HOSTS: no host given"))
	}
	errs = append(errs, checkAddresses("--hosts", a.Hosts))
	if a.Payload != "" && !json.Valid([]byte(a.Payload)) {
		errs = append(errs, errors.New("--payload: not valid JSON"))
	}
	return errors.Join(errs...)
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

// queryArgs holds the flags of the query subcommand, which sends one query.
type queryArgs struct{ callerArgs }

func (a *queryArgs) run(ctx context.Context, out *printer) error {
	req := figmast.QueryRequest{Operation: a.Op, Payload: a.payload(), Urgency: figmast.Urgency(a.Urgency), Worth: a.Worth}
	var ans figmast.QueryAnswer
	id := a.requestID()
	err := a.sendWithRetries(ctx, func(host string) error { return post(ctx, a.url(host, "/query"), id, req, &ans) })
	if err != nil {
		return reportRefusal(out, err)
	}
	if out.json {
		return out.printJSON(ans)
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
	out.printTable("LEAF\tRESULT", rows)
	return nil
}

// Number of retries of a request, and the delay before each.
const (
	maxRetries = 3
	retryDelay = 200 * time.Millisecond
)

// sendWithRetries calls send with each host in turn until one returns a final
// answer or maxRetries is reached.
func (a callerArgs) sendWithRetries(ctx context.Context, send func(host string) error) error {
	for i := 0; ; i++ {
		err := send(a.Hosts[i%len(a.Hosts)])
		if err == nil || i == maxRetries || !canRetry(err) {
			return err
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(retryDelay):
		}
	}
}

// canRetry reports whether a retry may succeed: either no answer arrived, or
// the refusal says after how long to retry.
func canRetry(err error) bool {
	p := asProblem(err)
	return p == nil || p.RetryAfterMs > 0
}

// commandArgs holds the flags of the command subcommand, which runs one command.
type commandArgs struct {
	callerArgs
	ShardKey string `arg:"--shard-key,required" help:"key that selects the leaf"`
	Ticket   string `arg:"--ticket" help:"ticket of an earlier attempt of the same command"`
}

func (a *commandArgs) run(ctx context.Context, out *printer) error {
	req := figmast.CommandRequest{
		Operation: a.Op, ShardKey: a.ShardKey, Ticket: a.Ticket, Payload: a.payload(),
		Urgency: figmast.Urgency(a.Urgency), Worth: a.Worth,
	}
	var ans figmast.CommandAnswer
	id := a.requestID()
	err := a.sendWithRetries(ctx, func(host string) error {
		if req.Ticket == "" {
			var t figmast.TicketAnswer
			if err := post(ctx, a.url(host, "/tickets"), "", struct{}{}, &t); err != nil {
				return err
			}
			req.Ticket = t.Ticket
		}
		err := post(ctx, a.url(host, "/command"), id, req, &ans)
		if isNotRun(err) && a.Ticket == "" {
			req.Ticket = "" // the command will never run under this ticket; get a new one
		}
		return err
	})
	if err != nil {
		if req.Ticket != "" && !out.json {
			out.printf("ticket %s", req.Ticket)
		}
		return reportRefusal(out, err)
	}
	if out.json {
		return out.printJSON(ans)
	}
	out.printf("request %s: %s on %s of %s", ans.RequestID, ans.Outcome, ans.Server, ans.Leaf)
	out.printf("%s", ans.Result)
	return nil
}

// isNotRun reports whether err is a refusal which guarantees that the command
// will never run under its ticket.
func isNotRun(err error) bool {
	p := asProblem(err)
	return p != nil && p.Outcome == figmast.NotRun
}

// reportRefusal prints a refusal and returns errFailed. It returns any other
// error unchanged.
func reportRefusal(out *printer, err error) error {
	p := asProblem(err)
	if p == nil {
		return err
	}
	if out.json {
		return errors.Join(out.printJSON(p), errFailed)
	}
	out.printf("refused: %d %s: %s", p.Status, p.Title, p.Detail)
	out.printf("outcome %s; step %s; peer %s; request %s", p.Outcome, p.Step, p.Peer, p.RequestID)
	if p.RetryAfterMs > 0 {
		out.printf("retry after %d ms", p.RetryAfterMs)
	}
	return errFailed
}
