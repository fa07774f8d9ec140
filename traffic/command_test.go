package traffic_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/view"
)

const booking = `
service: booking
version: 1
operations:
- {name: book, kind: command, deadline: 5s}
leaves:
- name: leaf-0
  slots: 1
  connections: 10
  servers:
  - {id: s0, address: "127.0.0.1:1", data_centre: dc-0}
snapshots:
- {id: monday, partition_map: map-1, weights: [{leaf: leaf-0, weight: 1}]}
`

// slowCarrier answers every call after a while.
type slowCarrier time.Duration

func (c slowCarrier) Call(_ context.Context, s leafcall.Send) leafcall.Result {
	if !s.Guard(time.Now()) {
		return leafcall.Result{Status: leafcall.NotSent}
	}
	time.Sleep(time.Duration(c))
	return leafcall.Result{Status: leafcall.OK, Sent: true, Body: []byte("1")}
}

func (c slowCarrier) Apply([]policy.Share) {}

func newRunner(t *testing.T, c traffic.Carrier) *traffic.Runner {
	t.Helper()
	doc, err := document.Parse([]byte(booking))
	if err != nil {
		t.Fatal(err)
	}
	router := policy.NewRouter(policy.Options{Rand: rand.New(rand.NewPCG(1, 1))})
	var last leafcall.ID
	next := func() leafcall.ID { last++; return last }
	r := traffic.NewRunner(traffic.Options{
		Router:  router,
		Queries: query.NewEngine(query.Options{Router: router, NextCall: next}),
		Commands: command.NewEngine(command.Options{
			Router: router, NextCall: next, Host: "h", Key: []byte("k"), Incarnation: "one", Lifetime: time.Minute,
		}),
		Carrier: c, Clock: time.Now,
	})
	self := view.Host{ID: "h", DataCentre: "dc-0"}
	r.SetView(&view.View{
		Self: self, Hosts: []view.Host{self}, ValidUntil: time.Now().Add(time.Hour),
		Services: map[string]*document.Service{doc.Name: doc},
	})
	return r
}

// TestCommandAnswersAtEachCallersDeadline has two callers with one ticket: each
// is answered at its own deadline, and a drain waits for the run.
func TestCommandAnswersAtEachCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, slowCarrier(2*time.Second))
		go r.Run()
		ticket, p := r.Mint("booking")
		is.True(p == nil)
		start := time.Now()
		send := func(left time.Duration) (*figmast.CommandAnswer, *figmast.Problem) {
			return r.Command(t.Context(), command.Request{
				ID: "r", Service: "booking", Operation: "book", ShardKey: "k", Ticket: ticket.String(), Deadline: start.Add(left),
			})
		}
		go func() {
			_, p := send(700 * time.Millisecond)
			is.Equal(p.Outcome, figmast.Unknown)
			is.Equal(time.Since(start), 700*time.Millisecond)
		}()
		go func() {
			ans, _ := send(4 * time.Second)
			is.Equal(ans.Outcome, figmast.Ran)
			is.Equal(time.Since(start), 2*time.Second)
		}()
		time.Sleep(time.Second)
		left := r.DrainCommands(t.Context())
		is.True(time.Since(start) >= 2*time.Second)
		is.Equal(left.Running+left.Waiting, 0)
		is.Equal(left.Claims, 1) // its outcome goes with the process
		r.Stop()
	})
}
