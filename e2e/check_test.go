package e2e

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/internal/fake"
)

// statedBounds are the documented bounds of the promises.
var statedBounds = bounds{inForce: 3 * time.Second, stopWork: 3 * time.Second, coldSlack: 3, coldNotice: time.Second}

// validHistory returns a history in which every promise holds.
func validHistory() *history {
	t0 := time.Unix(1000, 0)
	doc := &document.Service{
		Name: "route-search", Version: 1, ColdStart: document.ColdStart{Allowance: 2},
		Leaves: []document.Leaf{
			{Name: "a", Servers: []document.Server{{ID: "a1", DataCentre: "dc-1"}}},
			{Name: "b", Servers: []document.Server{{ID: "b1", DataCentre: "dc-2"}}},
		},
		Snapshots: []document.Snapshot{{ID: "monday", Weights: []document.LeafWeight{{Leaf: "a", Weight: 2}, {Leaf: "b", Weight: 1}}}},
	}
	out := *doc
	out.Version = 2
	out.DataCentresOut = []string{"dc-2"}
	part := func(leaf, server string) figmast.LeafResult {
		b, _ := json.Marshal(fake.Result{Leaf: leaf, Server: server, Snapshot: "monday", Echo: json.RawMessage(`{"n":1}`)})
		return figmast.LeafResult{Leaf: leaf, Result: b}
	}
	return &history{
		published: []publication{{t0, doc}, {t0.Add(10 * time.Second), &out}},
		queries: []queryRecord{{
			id: "q1", host: "h1", payload: `{"n":1}`, start: t0.Add(time.Second), end: t0.Add(2 * time.Second),
			answer: &figmast.QueryAnswer{
				RequestID: "q1", Snapshot: "monday", DocumentVersion: 1, Coverage: 1,
				Results: []figmast.LeafResult{part("a", "a1"), part("b", "b1")},
			},
		}, {
			id: "q2", host: "h1", payload: `{"n":1}`, start: t0.Add(20 * time.Second), end: t0.Add(21 * time.Second),
			answer: &figmast.QueryAnswer{
				RequestID: "q2", Snapshot: "monday", DocumentVersion: 2, Coverage: 0.6666,
				Results: []figmast.LeafResult{part("a", "a1")},
			},
		}},
		commands: []commandRecord{
			{id: "c1", payload: `{"strap":1}`, answer: &figmast.CommandAnswer{Outcome: figmast.Ran}},
			{id: "c2", payload: `{"strap":2}`, problem: &figmast.Problem{Outcome: figmast.NotRun}},
		},
		executions: map[string][]fake.Execution{
			"a1": {
				{Attempt: "q1/1", Leaf: "a", Snapshot: "monday", At: t0.Add(time.Second), InFlight: 1},
				{Attempt: "q2/1", Leaf: "a", Snapshot: "monday", At: t0.Add(20 * time.Second), Cold: true, InFlight: 2},
				{Attempt: "c1/1", Leaf: "a", Command: true, Payload: json.RawMessage(`{"strap":1}`), At: t0.Add(22 * time.Second), Cold: true, InFlight: 2},
			},
			"b1": {{Attempt: "q1/2", Leaf: "b", Snapshot: "monday", At: t0.Add(time.Second), InFlight: 1}},
		},
	}
}

func TestCheckerPassesASoundHistory(t *testing.T) {
	is := is.New(t)
	is.Equal(validHistory().check(statedBounds), nil)
}

// TestCheckerFindsEachBreach breaks each promise in turn in a valid history and
// checks that the violation is reported.
func TestCheckerFindsEachBreach(t *testing.T) {
	for _, test := range []struct {
		name, want string
		modify     func(h *history)
	}{
		{"mixed snapshots", "in an answer for snapshot", func(h *history) { h.queries[0].answer.Snapshot = "tuesday" }},
		{"coverage rounded up", "coverage 0.6667 reported", func(h *history) { h.queries[1].answer.Coverage = 0.6667 }},
		{"part that never ran", "never ran leaf b", func(h *history) { h.executions["b1"] = nil }},
		{"leaf counted twice", "counted twice", func(h *history) {
			a := h.queries[1].answer
			a.Results = append(a.Results, a.Results[0])
		}},
		{"another request's answer", "got the answer to {\"n\":1}", func(h *history) { h.queries[0].payload = `{"n":2}` }},
		{"false not run", "refused as not run, ran 1 times", func(h *history) { h.executions["a1"][2].Payload = json.RawMessage(`{"strap":2}`) }},
		{"command run twice", "ran 2 times", func(h *history) { h.executions["a1"] = append(h.executions["a1"], h.executions["a1"][2]) }},
		{"false run", "never executed", func(h *history) { h.commands[0].payload = `{"strap":9}` }},
		{"work for a data centre out", "after version 2 took it out", func(h *history) {
			h.executions["b1"][0].At = h.published[1].at.Add(statedBounds.stopWork + time.Millisecond)
		}},
		{"too much for a cold server", "cold server a1 had 6 calls", func(h *history) { h.executions["a1"][2].InFlight = 6 }},
		{"old version", "answered with version 1, expected at least 2", func(h *history) { h.queries[1].answer.DocumentVersion = 1 }},
		{"going back", "went back from version 2 to 1", func(h *history) {
			h.queries[0].answer.DocumentVersion = 2
			h.queries[1].answer.DocumentVersion = 1
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := validHistory()
			test.modify(h)
			found := strings.Join(h.check(statedBounds), "\n")
			if !strings.Contains(found, test.want) {
				t.Errorf("found %q, want %q", found, test.want)
			}
		})
	}
}
