package main

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/figmast/figmast/timeline"
)

// followInterval is the interval at which --follow polls the hosts.
const followInterval = 500 * time.Millisecond

// timelineArgs holds the flags of the timeline subcommand, which shows the
// events of all hosts in order.
type timelineArgs struct {
	opsArgs
	Service string `arg:"--service" help:"only events of this service"`
	Request string `arg:"--request" help:"only events of this request"`
	Server  string `arg:"--server" help:"only events of this backend server"`
	Limit   int    `arg:"--limit" default:"200" help:"show at most this many events of each host, the newest"`
	Follow  bool   `arg:"--follow,-f" help:"print new events until interrupted"`
}

func (a *timelineArgs) run(ctx context.Context, out *printer) error {
	since := make(map[string]timeline.Stamp)
	for first := true; ; first = false {
		events, err := a.fetch(ctx, since)
		if err != nil && !a.Follow {
			return err
		}
		if err := printEvents(out, events, first && !a.Follow); err != nil {
			return err
		}
		if !a.Follow {
			return nil
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(followInterval):
		}
	}
}

// fetch returns the events of all hosts after the stamps in since, one for each
// host, and advances them. It prints the error of each host that does not
// answer, and returns an error if none does.
func (a *timelineArgs) fetch(ctx context.Context, since map[string]timeline.Stamp) ([]timeline.Event, error) {
	var lists [][]timeline.Event
	queryFor := func(address string) url.Values { return a.query(since[address]) }
	for _, r := range getEach[[]timeline.Event](ctx, a.Ops, "/v1/timeline", queryFor) {
		if r.err != nil {
			if ctx.Err() == nil {
				fmt.Fprintf(os.Stderr, "figmast: %s: %v\n", r.address, r.err)
			}
			continue
		}
		lists = append(lists, r.value)
		if n := len(r.value); n > 0 {
			since[r.address] = r.value[n-1].Stamp
		}
	}
	if len(lists) == 0 {
		return nil, errors.New("no host answered")
	}
	return timeline.Merge(lists...), nil
}

func (a *timelineArgs) query(since timeline.Stamp) url.Values {
	q := url.Values{"limit": {strconv.Itoa(a.Limit)}}
	for name, value := range map[string]string{"service": a.Service, "request": a.Request, "server": a.Server} {
		if value != "" {
			q.Set(name, value)
		}
	}
	if since != (timeline.Stamp{}) {
		q.Set("since", since.String())
	}
	return q
}

// printEvents prints the events as JSON, as a table, or as lines without a
// header when more events may follow.
func printEvents(out *printer, events []timeline.Event, table bool) error {
	if out.json {
		for _, e := range events {
			if err := out.printJSONLine(e); err != nil {
				return err
			}
		}
		return nil
	}
	var rows []string
	for _, e := range events {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", e.Stamp.Time().UTC().Format("15:04:05.000000"), e.Host, e.Kind, describeEvent(e)))
	}
	if table {
		out.printTable("TIME (UTC)\tHOST\tEVENT\tABOUT", rows)
		return nil
	}
	for _, r := range rows {
		out.printf("%s", r)
	}
	return nil
}

// describeEvent returns the fields and the detail of an event on one line.
func describeEvent(e timeline.Event) string {
	var s string
	for _, part := range []struct{ name, value string }{
		{"service", e.Service}, {"request", e.Request}, {"leaf", e.Leaf}, {"server", e.Server}, {"peer", e.Peer},
	} {
		if part.value != "" {
			s += part.name + " " + part.value + "  "
		}
	}
	return s + e.Detail
}

// explainArgs holds the arguments of the explain subcommand, which shows the
// decisions on one request.
type explainArgs struct {
	opsArgs
	Log     []string `arg:"--log" placeholder:"FILE" help:"gateway logs to search instead of asking hosts; - is standard input"`
	Request string   `arg:"positional,required" placeholder:"REQUEST-ID" help:"id from the answer, the refusal or the Figmast-Request-Id header"`
}

// check requires addresses of hosts only if no logs are given.
func (a *explainArgs) check() error {
	if len(a.Log) > 0 {
		return nil
	}
	return a.opsArgs.check()
}

func (a *explainArgs) run(ctx context.Context, out *printer) error {
	if len(a.Log) > 0 {
		return explainLogs(a.Log, a.Request, out)
	}
	var lists [][]timeline.Event
	failed := 0
	for _, r := range getAll[[]timeline.Event](ctx, a.Ops, "/v1/explain/"+a.Request) {
		if r.err != nil {
			failed++
			fmt.Fprintf(os.Stderr, "figmast: %s: %v\n", r.address, r.err)
		}
		lists = append(lists, r.value)
	}
	events := timeline.Merge(lists...)
	if len(events) == 0 {
		return fmt.Errorf("%s: not found on any of %d hosts (%d did not answer); hosts keep the events of a request for about 40 seconds", a.Request, len(a.Ops), failed)
	}
	if out.json {
		return out.printJSON(events)
	}
	printDecisions(out, events)
	return nil
}

func printDecisions(out *printer, events []timeline.Event) {
	out.printf("request %s of service %s", events[0].Request, events[0].Service)
	start := events[0].Stamp.Time()
	var rows []string
	for _, e := range events {
		e.Request, e.Service = "", ""
		rows = append(rows, fmt.Sprintf("+%.3f ms\t%s\t%s\t%s", float64(e.Stamp.Time().Sub(start))/float64(time.Millisecond), e.Host, e.Kind, describeEvent(e)))
	}
	out.printTable("AFTER\tHOST\tWHAT\tWHY", rows)
}
