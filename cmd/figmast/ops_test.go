package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/daemon"
	"github.com/figmast/figmast/internal/fake"
	"github.com/figmast/figmast/internal/fleet"
	"github.com/figmast/figmast/internal/sample"
	"github.com/figmast/figmast/load"
	"github.com/figmast/figmast/timeline"
)

// invoke runs the command with these arguments and returns its output.
func invoke(t *testing.T, line ...string) (string, error) {
	t.Helper()
	var a args
	p, err := arg.NewParser(arg.Config{}, &a)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Parse(line); err != nil {
		t.Fatalf("%v: %v", line, err)
	}
	c := a.command()
	if k, ok := c.(checker); ok {
		if err := k.check(); err != nil {
			return "", err
		}
	}
	var out bytes.Buffer
	err = c.run(context.Background(), &printer{w: &out, json: a.JSON})
	return out.String(), err
}

// startFleet starts two hosts and waits until the first sample service is in
// force on both.
func startFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	is := is.New(t)
	f, err := fleet.Start(context.Background(), fleet.Options{Shape: sample.Shapes()[0], Hosts: 2, Logs: io.Discard})
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(f.Stop(context.Background())) })
	f.Publish(sample.DocumentParams{Version: 1, Snapshot: "monday"})
	waitVersion(t, f, 1)
	return f
}

// waitVersion waits until all hosts are ready, know each other and have at
// least this version in force.
func waitVersion(t *testing.T, f *fleet.Fleet, version uint64) {
	t.Helper()
	for _, h := range f.Hosts {
		has := func() bool {
			var s daemon.Status
			err := get(context.Background(), "http://"+h.OpsListen+"/v1/status", &s)
			return err == nil && s.Ready && len(s.Hosts) == 2 && len(s.Services) == 1 && s.Services[0].Version >= version
		}
		for end := time.Now().Add(20 * time.Second); !has(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%s did not reach version %d in time", h.Host, version)
			}
		}
	}
}

func TestOperatorsCommand(t *testing.T) {
	f := startFleet(t)
	ops := f.Hosts[0].OpsListen + "," + f.Hosts[1].OpsListen
	hosts := f.Hosts[0].CallerListen + "," + f.Hosts[1].CallerListen
	has := func(t *testing.T, text string, parts ...string) {
		t.Helper()
		for _, p := range parts {
			if !strings.Contains(text, p) {
				t.Errorf("%q is missing in\n%s", p, text)
			}
		}
	}
	t.Run("status", func(t *testing.T) {
		is := is.New(t)
		out, err := invoke(t, "status", "--ops", ops)
		is.NoErr(err)
		has(t, out, "host-1", "host-2", "ready", "route-app-1", "monday", "host-1,host-2")
		out, err = invoke(t, "status", "--ops", f.Hosts[0].OpsListen)
		is.NoErr(err)
		has(t, out, "not asked: host-2")
	})
	t.Run("status of an unreachable host", func(t *testing.T) {
		is := is.New(t)
		out, err := invoke(t, "--json", "status", "--ops", ops+",127.0.0.1:1")
		is.Equal(err != nil, true)
		var list []hostReply
		is.NoErr(json.Unmarshal([]byte(out), &list))
		is.Equal(len(list), 3)
		is.True(list[2].Error != "")
		is.Equal(list[0].Status.Services[0].Version, uint64(1))
	})
	t.Run("query and explain", func(t *testing.T) {
		is := is.New(t)
		out, err := invoke(t, "query", "--hosts", hosts, "--service", "route-app-1", "--operation", "gate-note", "--request-id", "q/1", "--payload", `{"yard":17}`)
		is.NoErr(err)
		has(t, out, "request q/1", "coverage 1.0000", "leaf-3")
		out, err = invoke(t, "explain", "q/1", "--ops", ops)
		is.NoErr(err)
		has(t, out, "request q/1 of service route-app-1", "request_started", "request_ended", "answered after")
		_, err = invoke(t, "explain", "no-such-request", "--ops", ops)
		is.True(err != nil)
	})
	t.Run("refused query", func(t *testing.T) {
		is := is.New(t)
		out, err := invoke(t, "--json", "query", "--hosts", hosts, "--service", "nowhere", "--operation", "x")
		is.Equal(err != nil, true)
		var p figmast.Problem
		is.NoErr(json.Unmarshal([]byte(out), &p))
		is.Equal(p.Status, 404)
		is.Equal(p.Outcome, figmast.NotRun)
	})
	t.Run("command", func(t *testing.T) {
		is := is.New(t)
		before := len(onlyCommands(f.Executions("")))
		out, err := invoke(t, "command", "--hosts", hosts, "--service", "route-app-1", "--operation", "book-visit", "--shard-key", "yard-17")
		is.NoErr(err)
		has(t, out, "ran on")
		is.Equal(len(onlyCommands(f.Executions("")))-before, 1)
	})
	t.Run("explain over two hosts", func(t *testing.T) {
		is := is.New(t)
		base := func(i int) string { return "http://" + f.Hosts[i].CallerListen + "/v1/services/route-app-1" }
		var ticket figmast.TicketAnswer
		is.NoErr(post(context.Background(), base(0)+"/tickets", "", struct{}{}, &ticket))
		req := figmast.CommandRequest{Operation: "book-visit", ShardKey: "yard-18", Ticket: ticket.Ticket}
		is.NoErr(post(context.Background(), base(1)+"/command", "c1", req, &figmast.CommandAnswer{}))
		out, err := invoke(t, "--json", "explain", "c1", "--ops", ops)
		is.NoErr(err)
		var events []timeline.Event
		is.NoErr(json.Unmarshal([]byte(out), &events))
		var order []string
		for _, e := range events {
			if e.Kind == timeline.RequestStarted || e.Kind == timeline.RequestEnded {
				order = append(order, e.Host+" "+string(e.Kind))
			}
		}
		is.Equal(order, []string{"host-2 request_started", "host-1 request_started", "host-1 request_ended", "host-2 request_ended"})
		has(t, out, "forwarded")
	})
	t.Run("load", func(t *testing.T) {
		is := is.New(t)
		out, err := invoke(t, "--json", "load", "--hosts", hosts, "--service", "route-app-1", "--operation", "gate-note", "--rate", "100", "--duration", "300ms")
		is.NoErr(err)
		var r load.Report
		is.NoErr(json.Unmarshal([]byte(out), &r))
		is.Equal(r.Sent, int64(30))
		is.Equal(r.Outcomes[load.Answered], int64(30))
		is.Equal(r.CoverageMean, 1.0)
	})
	t.Run("timeline", func(t *testing.T) {
		is := is.New(t)
		out, err := invoke(t, "--json", "timeline", "--ops", ops, "--service", "route-app-1", "--limit", "20")
		is.NoErr(err)
		dec := json.NewDecoder(strings.NewReader(out))
		var last timeline.Stamp
		n := 0
		for ; dec.More(); n++ {
			var e timeline.Event
			is.NoErr(dec.Decode(&e))
			is.True(!e.Stamp.Before(last))
			last = e.Stamp
		}
		is.True(n > 20)
		out, err = invoke(t, "timeline", "--ops", ops, "--limit", "5")
		is.NoErr(err)
		has(t, out, "TIME (UTC)", "request_ended")
	})
	t.Run("timeline --follow, hosts from the environment", func(t *testing.T) {
		is := is.New(t)
		t.Setenv("FIGMAST_OPS", ops)
		var a args
		p, err := arg.NewParser(arg.Config{}, &a)
		is.NoErr(err)
		is.NoErr(p.Parse([]string{"timeline", "--follow", "--request", "f1"}))
		is.NoErr(a.Timeline.check())
		ctx, cancel := context.WithTimeout(context.Background(), 3*followInterval)
		defer cancel()
		go func() {
			time.Sleep(followInterval / 2)
			_, _ = invoke(t, "query", "--hosts", hosts, "--service", "route-app-1", "--operation", "gate-note", "--request-id", "f1")
		}()
		var out bytes.Buffer
		is.NoErr(a.Timeline.run(ctx, &printer{w: &out}))
		has(t, out.String(), "request_started", "request_ended")
		is.Equal(strings.Count(out.String(), "request_ended"), 1) // each event is printed once
	})
	t.Run("status of a data centre that was taken out and put back", func(t *testing.T) {
		is := is.New(t)
		f.Publish(sample.DocumentParams{Version: 2, Snapshot: "monday", DataCentresOut: []string{"ph-mobile"}})
		waitVersion(t, f, 2)
		out, err := invoke(t, "status", "--ops", ops)
		is.NoErr(err)
		has(t, out, "ph-mobile")
		f.Publish(sample.DocumentParams{Version: 3, Snapshot: "monday"})
		waitVersion(t, f, 3)
		out, err = invoke(t, "status", "--ops", ops)
		is.NoErr(err)
		has(t, out, "COLD SERVICE", "route-app-1-l1-s2")
		out, err = invoke(t, "timeline", "--ops", ops, "--service", "route-app-1", "--limit", "50000")
		is.NoErr(err)
		has(t, out, "config_accepted")
	})
}

func onlyCommands(list []fake.Execution) []fake.Execution {
	var out []fake.Execution
	for _, e := range list {
		if e.Command {
			out = append(out, e)
		}
	}
	return out
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	out, err := invoke(t, "check", "../../docs/samples/billing.yaml")
	is.NoErr(err)
	is.True(strings.Contains(out, "ok: service billing"))

	bad := filepath.Join(t.TempDir(), "bad.yaml")
	is.NoErr(os.WriteFile(bad, []byte("service: x\nversion: 1\nleaves: []\n"), 0o600))
	out, err = invoke(t, "--json", "check", bad, "no-such-file")
	is.True(err != nil)
	var list []checkResult
	is.NoErr(json.Unmarshal([]byte(out), &list))
	is.True(len(list[0].Faults) >= 3) // operations, leaves and snapshots are missing
	is.Equal(len(list[1].Faults), 1)
}

func TestFlagFaultsAreListedTogether(t *testing.T) {
	is := is.New(t)
	_, err := invoke(t, "load", "--hosts", "localhost:1", "--service", "s", "--operation", "o", "--payload", "{", "--rate", "0")
	for _, part := range []string{"--hosts", "--payload", "--rate"} {
		is.True(strings.Contains(err.Error(), part))
	}
	_, err = invoke(t, "status")
	is.True(strings.Contains(err.Error(), "FIGMAST_OPS"))
}

// TestPlot checks that every readable report is drawn although another one is
// unreadable, and that the error names the unreadable one.
func TestPlot(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	good, bad := filepath.Join(dir, "day.json"), filepath.Join(dir, "bad.json")
	is.NoErr(os.WriteFile(good, []byte(`{"windows": [{"name": "0", "n": 1, "worth": 1}, {"name": "2", "n": 1, "worth": 0.5}]}`), 0o600))
	is.NoErr(os.WriteFile(bad, []byte(`{}`), 0o600))
	out, err := invoke(t, "plot", "--out", dir, bad, good)
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), bad))
	is.True(strings.Contains(out, filepath.Join(dir, "day.svg")))
	_, err = os.Stat(filepath.Join(dir, "day.svg"))
	is.NoErr(err)
}
