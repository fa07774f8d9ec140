package daemon

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/charmbracelet/log"
	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/view"
)

// testRecorder returns a recorder with one service that has that many leaves.
func testRecorder(leaves int) *recorder {
	r := newRecorder(metrics.NewSet(), timeline.NewRing("h", 1<<10, time.Now), log.New(io.Discard))
	v := &view.View{Services: map[string]*document.Service{"s": {Name: "s", Leaves: make([]document.Leaf, leaves)}}}
	r.view = func() *view.View { return v }
	return r
}

func send(request string) leafcall.Send {
	return leafcall.Send{RequestID: request, Server: &policy.Server{Service: "s", Leaf: "l", ID: "x"}}
}

func eventKinds(r *recorder) string {
	var s []string
	for _, e := range r.events.Events() {
		s = append(s, string(e.Kind))
	}
	return strings.Join(s, " ")
}

func exposition(r *recorder) string {
	var b strings.Builder
	r.metricSet.WritePrometheus(&b)
	return b.String()
}

func TestRecorderKeepsWhatIsNoteworthy(t *testing.T) {
	ok := leafcall.Result{Status: leafcall.OK, Sent: true}
	for _, c := range []struct {
		name   string
		leaves int
		res    leafcall.Result
		took   time.Duration
		want   string
	}{
		{"answer of a narrow service", 3, ok, time.Millisecond, "call_ended"},
		{"answer of a wide service", 93, ok, time.Millisecond, ""},
		{"slow answer of a wide service", 93, ok, 10 * time.Millisecond, "call_ended"},
		{"answer of a cold server", 93, leafcall.Result{Status: leafcall.OK, Cold: true}, time.Millisecond, "call_ended"},
		{"shed", 93, leafcall.Result{Status: leafcall.Shed}, time.Millisecond, "call_ended"},
		{"status of another release", 93, leafcall.Result{Status: 99}, time.Millisecond, "call_ended"},
		{"cancelled", 93, leafcall.Result{Status: leafcall.Cancelled, Err: errors.New("x")}, time.Millisecond, "call_cancelled"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := testRecorder(c.leaves)
			r.serviceMetrics("s").addSample(time.Millisecond)
			r.CallEnded(send("q"), c.res, c.took)
			is.Equal(eventKinds(r), c.want)
		})
	}
}

func TestRecorderBoundsFirstCalls(t *testing.T) {
	is := is.New(t)
	r := testRecorder(93)
	var list []decision.Decision
	for i := range 93 {
		list = append(list, decision.Decision{Request: "q", Service: "s", Kind: decision.Sent, Leaf: fmt.Sprint(i)})
	}
	list = append(list, decision.Decision{Request: "q", Service: "s", Kind: decision.Hedged, Reason: "slow"})
	r.Decided(list)
	is.Equal(eventKinds(r), "sent sent sent sent hedged call_sent")
	is.True(strings.Contains(r.events.Events()[5].Detail, "89 more first calls"))
	is.True(strings.Contains(exposition(r), `figmast_decisions_total{kind="sent"} 93`))
}

func TestRecorderCountsOutcomes(t *testing.T) {
	r := testRecorder(3)
	s := traffic.Start{Request: "q", Service: "s", Kind: document.Query}
	r.Started(s)
	r.Ended(traffic.End{Start: s, Answered: true, Coverage: 0.5, Took: time.Millisecond})
	r.Ended(traffic.End{Start: s, Problem: &figmast.Problem{Title: "full", Step: "admit", Outcome: figmast.NotRun}})
	r.Ended(traffic.End{Start: s})
	text := exposition(r)
	for _, line := range []string{
		`figmast_requests_total{service="s",kind="query",outcome="answered"} 1`,
		`figmast_requests_total{service="s",kind="query",outcome="not_run"} 1`,
		`figmast_requests_total{service="s",kind="query",outcome="caller_gone"} 1`,
		`figmast_refusals_total{service="s",step="admit",title="full"} 1`,
		`figmast_partial_answers_total{service="s"} 1`,
	} {
		if !strings.Contains(text, line) {
			t.Errorf("%s is missing", line)
		}
	}
}

func BenchmarkCallEnded(b *testing.B) {
	r := testRecorder(93)
	s, res := send("q"), leafcall.Result{Status: leafcall.OK, Sent: true}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.CallEnded(s, res, time.Millisecond)
		}
	})
}
