package query

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/view"
)

// BenchmarkQuery measures complete queries, with an answer from each leaf,
// while eight others are in progress.
func BenchmarkQuery(b *testing.B) {
	for _, leaves := range []int{30, 93, 300} {
		b.Run(fmt.Sprintf("leaves=%d", leaves), func(b *testing.B) { benchmarkQuery(b, leaves, 8) })
	}
}

func benchmarkQuery(b *testing.B, leaves, beside int) {
	doc := testDocument(leaves, 3)
	for i := range doc.Leaves {
		doc.Leaves[i].Connections = 1000
	}
	now := time.Unix(1e9, 0)
	router := policy.NewRouter(policy.Options{Rand: rand.New(rand.NewPCG(1, 1))})
	self := view.Host{ID: "h", DataCentre: "dc0"}
	router.Apply(now, &view.View{
		Self: self, Hosts: []view.Host{self}, Services: map[string]*document.Service{"s": doc},
		Confirmed: now, ValidUntil: now.Add(1000 * time.Hour),
	})
	var last leafcall.ID
	e := NewEngine(Options{Router: router, MaxCalls: 1 << 20, NextCall: func() leafcall.ID { last++; return last }})
	payload := []byte(`"x"`)
	var open []leafcall.Send
	start := func() {
		_, acts := e.Start(now, Request{
			ID: "r", Service: "s", Operation: "op", Payload: payload, Urgency: figmast.Urgent, Worth: 1,
			Deadline: now.Add(time.Second),
		})
		open = append(open, acts.Send...)
	}
	for range beside {
		start()
	}
	b.ReportAllocs()
	calls, finished := 0, 0
	for b.Loop() {
		start()
		now = now.Add(time.Millisecond)
		open = append(open, e.Tick(now).Send...)
		for range min(leaves, len(open)) {
			s := open[0]
			open = open[1:]
			acts := e.Reply(now, s.ID, leafcall.Result{Status: leafcall.OK, Sent: true, Snapshot: s.Snapshot, Body: payload})
			open = append(open, acts.Send...)
			finished += len(acts.Finish)
			calls++
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(max(calls, 1)), "ns/leafcall")
	b.ReportMetric(float64(calls)/float64(max(finished, 1)), "leafcalls/answer")
}
