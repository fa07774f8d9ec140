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

const sampleService = `
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

// fakeTransport answers calls after a delay, unless they are cancelled first.
type fakeTransport struct {
	delay time.Duration
}

func (t *fakeTransport) Apply([]policy.Share) {}

func (t *fakeTransport) Call(ctx context.Context, s leafcall.Send) leafcall.Result {
	if !s.Guard(time.Now()) {
		return leafcall.Result{Status: leafcall.NotSent}
	}
	select {
	case <-time.After(t.delay):
		return leafcall.Result{Status: leafcall.OK, Snapshot: s.Snapshot, Body: []byte("{}"), Sent: true}
	case <-ctx.Done():
		return leafcall.Result{Status: leafcall.Cancelled, Sent: true}
	}
}

// newRunner returns a running Runner whose view is valid for a minute.
func newRunner(t *testing.T, c traffic.Transport) *traffic.Runner {
	t.Helper()
	r, _ := newRunnerAndView(t, c, sampleService)
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
		r := newRunner(t, &fakeTransport{delay: time.Hour})
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
		r := newRunner(t, &fakeTransport{delay: time.Millisecond})
		ans, p := r.Query(context.Background(), routeSheet(300*time.Millisecond))
		is.True(p == nil)
		is.Equal(ans.Coverage, 1.0)
		r.Stop(context.Background())
	})
}

// TestNothingIsSentOnAStaleView checks that a query is refused as not run once
// the view is no longer valid, for example after a pause of the process.
func TestNothingIsSentOnAStaleView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, &fakeTransport{})
		time.Sleep(time.Minute)
		ans, p := r.Query(context.Background(), routeSheet(300*time.Millisecond))
		is.True(ans == nil)
		is.Equal(p.Outcome, figmast.NotRun)
		r.Stop(context.Background())
	})
}

// TestRenewedViewLetsCallsThrough checks that queries run again after a view that
// is no longer valid has been renewed.
func TestRenewedViewLetsCallsThrough(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, v := newRunnerAndView(t, &fakeTransport{delay: time.Millisecond}, sampleService)
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

// TestStopFinishesCommands checks that Stop waits for a running command even if
// its caller has disconnected.
func TestStopFinishesCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, &fakeTransport{delay: 100 * time.Millisecond})
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

// narrowService has one leaf with two servers that accept one call each.
const narrowService = `
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

// sheddingTransport answers the first call after 30 ms, sheds the second and
// passes the others to fakeTransport.
type sheddingTransport struct {
	fakeTransport
	calls atomic.Int32
}

func (s *sheddingTransport) Call(ctx context.Context, call leafcall.Send) leafcall.Result {
	switch s.calls.Add(1) {
	case 1:
		return (&fakeTransport{delay: 30 * time.Millisecond}).Call(ctx, call)
	case 2:
		time.Sleep(5 * time.Millisecond)
		return leafcall.Result{Status: leafcall.Shed, Sent: true}
	default:
		return s.fakeTransport.Call(ctx, call)
	}
}

// TestTimersSetByRepliesFireInTime checks that a reply wakes Run if it sets an
// earlier timer. One server sheds a command while the other is at capacity, so
// the command has to wait and be retried when its timer is due.
func TestTimersSetByRepliesFireInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, _ := newRunnerAndView(t, &sheddingTransport{fakeTransport: fakeTransport{delay: time.Millisecond}}, narrowService)
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

// TestIdleHostIsNotTakenForPaused checks that Run ticks the engines on an idle
// host. Otherwise the command engine would mistake the idle time for a pause of
// the process, deduct it from the next command's deadline and refuse the command.
func TestIdleHostIsNotTakenForPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r, _ := newRunnerAndView(t, &fakeTransport{delay: time.Millisecond}, sampleService)
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
