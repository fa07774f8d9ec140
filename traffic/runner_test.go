package traffic_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/query"
	"github.com/figmast/figmast/traffic"
	"github.com/figmast/figmast/view"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const sample = `
service: route-search
version: 1
operations:
- {name: route-sheet, kind: query}
- {name: book, kind: command}
leaves:
- {name: a, slots: 2, connections: 40, servers: [{id: a1, address: "127.0.0.1:1", data_centre: dc}]}
- {name: b, slots: 2, connections: 40, servers: [{id: b1, address: "127.0.0.1:2", data_centre: dc}]}
snapshots:
- {id: monday, partition_map: m, weights: [{leaf: a, weight: 1}, {leaf: b, weight: 1}]}
`

// carrier answers calls after a delay, unless they are cancelled first.
type carrier struct {
	delay time.Duration
}

func (c *carrier) Apply([]policy.Share) {}

func (c *carrier) Call(ctx context.Context, s leafcall.Send) leafcall.Result {
	if !s.Guard(time.Now()) {
		return leafcall.Result{Status: leafcall.NotSent}
	}
	select {
	case <-time.After(c.delay):
		return leafcall.Result{Status: leafcall.OK, Snapshot: s.Snapshot, Body: []byte("{}"), Sent: true}
	case <-ctx.Done():
		return leafcall.Result{Status: leafcall.Cancelled, Sent: true}
	}
}

// newRunner returns a running Runner whose view is valid for a minute.
func newRunner(t *testing.T, c traffic.Transport) *traffic.Runner {
	t.Helper()
	r, _ := newRunnerAndView(t, c, sample)
	return r
}

func newRunnerAndView(t *testing.T, c traffic.Transport, text string) (*traffic.Runner, *view.View) {
	t.Helper()
	doc, err := document.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	router := policy.NewRouter(policy.Options{Rand: rand.New(rand.NewPCG(1, 1))})
	var last leafcall.ID
	next := func() leafcall.ID { last++; return last }
	r := traffic.NewRunner(traffic.Options{
		Router:    router,
		Queries:   query.NewEngine(query.Options{Router: router, NextCall: next}),
		Commands:  command.NewEngine(command.Options{Router: router, NextCall: next, Host: "h1", Incarnation: "i1", Key: []byte("k"), Lifetime: time.Minute}),
		Transport: c,
		Clock:     time.Now,
	})
	v := &view.View{
		Self:       view.Host{ID: "h1", DataCentre: "dc"},
		Hosts:      []view.Host{{ID: "h1", DataCentre: "dc"}},
		Services:   map[string]*document.Service{"route-search": doc},
		ValidUntil: time.Now().Add(time.Minute),
	}
	r.SetView(v)
	go r.Run()
	return r, v
}

func routeSheet(wait time.Duration) query.Request {
	return query.Request{ID: "r1", Service: "route-search", Operation: "route-sheet", Deadline: time.Now().Add(wait)}
}

func TestQueryEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, &carrier{delay: time.Hour})
		start := time.Now()
		ans, p := r.Query(context.Background(), routeSheet(300*time.Millisecond))
		is.True(ans == nil)
		is.True(p != nil)
		is.Equal(time.Since(start), 300*time.Millisecond)
		r.Stop(context.Background())
	})
}

func TestQueryAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, &carrier{delay: time.Millisecond})
		ans, p := r.Query(context.Background(), routeSheet(300*time.Millisecond))
		is.True(p == nil)
		is.Equal(ans.Coverage, 1.0)
		r.Stop(context.Background())
	})
}

// TestNothingIsSentOnAStaleView makes a process sleep past its view between
// the decision and the write.
func TestNothingIsSentOnAStaleView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, &carrier{})
		time.Sleep(time.Minute)
		ans, p := r.Query(context.Background(), routeSheet(300*time.Millisecond))
		is.True(ans == nil)
		is.Equal(p.Outcome, figmast.NotRun)
		r.Stop(context.Background())
	})
}

// TestRenewedViewLetsCallsThrough renews a view that would have lapsed.
func TestRenewedViewLetsCallsThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, v := newRunnerAndView(t, &carrier{delay: time.Millisecond}, sample)
		time.Sleep(time.Minute)
		next := *v
		next.ValidUntil = time.Now().Add(time.Minute)
		r.RenewView(&next)
		ans, p := r.Query(context.Background(), routeSheet(300*time.Millisecond))
		is.True(p == nil)
		is.Equal(ans.Coverage, 1.0)
		r.Stop(context.Background())
	})
}

// TestStopFinishesCommands stops a host while a command runs and its caller
// has gone away.
func TestStopFinishesCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, &carrier{delay: 100 * time.Millisecond})
		gone, cancel := context.WithTimeout(context.Background(), time.Millisecond)
		defer cancel()
		ticket, refused := r.Mint("route-search")
		is.True(refused == nil)
		req := command.Request{
			ID: "c1", Service: "route-search", Operation: "book", ShardKey: "k",
			Ticket: ticket.String(), Deadline: time.Now().Add(time.Second),
		}
		_, _ = r.Command(gone, req)
		start := time.Now()
		r.Stop(context.Background())
		is.Equal(time.Since(start), 99*time.Millisecond) // the call ran to its end
		ans, p := r.Command(context.Background(), req)
		is.True(p == nil)
		is.Equal(ans.Outcome, figmast.Ran)
	})
}

// narrow has one leaf with two servers that take one call each.
const narrow = `
service: route-search
version: 1
operations: [{name: book, kind: command}]
leaves:
- name: a
  slots: 2
  connections: 2
  servers: [{id: a1, address: "127.0.0.1:1", data_centre: dc}, {id: a2, address: "127.0.0.1:2", data_centre: dc}]
snapshots:
- {id: monday, partition_map: m, weights: [{leaf: a, weight: 1}]}
`

// shedding answers the first call slowly, refuses the second and answers the
// rest at once.
type shedding struct {
	carrier
	calls atomic.Int32
}

func (s *shedding) Call(ctx context.Context, call leafcall.Send) leafcall.Result {
	switch s.calls.Add(1) {
	case 1:
		return (&carrier{delay: 30 * time.Millisecond}).Call(ctx, call)
	case 2:
		time.Sleep(5 * time.Millisecond)
		return leafcall.Result{Status: leafcall.Shed, Sent: true}
	default:
		return s.carrier.Call(ctx, call)
	}
}

// TestTimersSetByRepliesFireInTime has a command shed by one server while the
// other is full: it waits for room, and the reply that made it wait must wake
// Run.
func TestTimersSetByRepliesFireInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newRunnerAndView(t, &shedding{carrier: carrier{delay: time.Millisecond}}, narrow)
		defer r.Stop(context.Background())
		time.Sleep(10 * time.Millisecond)
		start := time.Now()
		book := func(key string) *figmast.CommandAnswer {
			ticket, _ := r.Mint("route-search")
			ans, p := r.Command(context.Background(), command.Request{
				ID: key, Service: "route-search", Operation: "book", ShardKey: key,
				Ticket: ticket.String(), Deadline: start.Add(time.Second),
			})
			if p != nil {
				t.Errorf("%s refused: %v", key, p)
			}
			return ans
		}
		go book("first")
		synctest.Wait()
		book("second")
		if took := time.Since(start); took > 60*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
	})
}

// TestIdleHostIsNotTakenForPaused sends a command after a long quiet time: the
// engine, which takes a long silence for a pause of the process, must have
// been ticked all along.
func TestIdleHostIsNotTakenForPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newRunnerAndView(t, &carrier{delay: time.Millisecond}, sample)
		defer r.Stop(context.Background())
		for range 3 {
			ticket, refused := r.Mint("route-search")
			is.True(refused == nil)
			ans, p := r.Command(context.Background(), command.Request{
				ID: "c1", Service: "route-search", Operation: "book", ShardKey: "k",
				Ticket: ticket.String(), Deadline: time.Now().Add(time.Second),
			})
			if p != nil {
				t.Fatal(p)
			}
			is.Equal(ans.Outcome, figmast.Ran)
			time.Sleep(20 * time.Second)
		}
	})
}
