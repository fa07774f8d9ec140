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

// followEvery is how often followed hosts are asked.
const followEvery = 500 * time.Millisecond

// timelineArgs shows the events of all hosts in one order.
type timelineArgs struct {
	opsArgs
	Service string `arg:"--service" help:"only events of that service"`
	Request string `arg:"--request" help:"only events of that request"`
	Server  string `arg:"--server" help:"only events of that backend server"`
	Limit   int    `arg:"--limit" default:"200" help:"the most events of each host, the newest"`
	Follow  bool   `arg:"--follow,-f" help:"go on until interrupted"`
}

func (a *timelineArgs) run(ctx context.Context, out *printer) error {
	since := make(map[string]timeline.Stamp)
	for first := true; ; first = false {
		events, err := a.read(ctx, since)
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
		case <-time.After(followEvery):
		}
	}
}

// read returns the events after since, which it moves on. Hosts that do not
// answer are named; the error tells that none did.
func (a *timelineArgs) read(ctx context.Context, since map[string]timeline.Stamp) ([]timeline.Event, error) {
	var lists [][]timeline.Event
	ask := func(address string) url.Values { return a.query(since[address]) }
	for _, r := range askEach[[]timeline.Event](ctx, a.Ops, "/v1/timeline", ask) {
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

// printEvents prints a table, or lines where more is to follow.
func printEvents(out *printer, events []timeline.Event, table bool) error {
	if out.json {
		for _, e := range events {
			if err := out.line(e); err != nil {
				return err
			}
		}
		return nil
	}
	var rows []string
	for _, e := range events {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", e.Stamp.Time().UTC().Format("15:04:05.000000"), e.Host, e.Kind, about(e)))
	}
	if table {
		out.table("TIME (UTC)\tHOST\tEVENT\tABOUT", rows)
		return nil
	}
	for _, r := range rows {
		out.printf("%s", r)
	}
	return nil
}

// about tells what an event is about, in one line.
func about(e timeline.Event) string {
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

// explainArgs shows what was decided on one request.
type explainArgs struct {
	opsArgs
	Log     []string `arg:"--log" placeholder:"FILE" help:"logs of gateways to look in instead of asking hosts; - is standard input"`
	Request string   `arg:"positional,required" placeholder:"REQUEST-ID" help:"id in the answer, the refusal or the Figmast-Request-Id header"`
}

// check asks for hosts only where no logs are given.
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
	for _, r := range askAll[[]timeline.Event](ctx, a.Ops, "/v1/explain/"+a.Request) {
		if r.err != nil {
			failed++
			fmt.Fprintf(os.Stderr, "figmast: %s: %v\n", r.address, r.err)
		}
		lists = append(lists, r.value)
	}
	events := timeline.Merge(lists...)
	if len(events) == 0 {
		return fmt.Errorf("%s: none of %d hosts remembers it (%d did not answer); hosts keep requests for about 40 seconds", a.Request, len(a.Ops), failed)
	}
	if out.json {
		return out.value(events)
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
		rows = append(rows, fmt.Sprintf("+%.3f ms\t%s\t%s\t%s", float64(e.Stamp.Time().Sub(start))/float64(time.Millisecond), e.Host, e.Kind, about(e)))
	}
	out.table("AFTER\tHOST\tWHAT\tWHY", rows)
}
