package backend_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/figmast/figmast/backend"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/internal/fake"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server is a fake backend server that counts its open connections.
type server struct {
	*fake.Backend
	address string
	open    atomic.Int64
	maxOpen atomic.Int64
	opened  atomic.Int64
}

func newServer(t testing.TB, h http.Handler) *server {
	t.Helper()
	s := &server{Backend: fake.NewBackend("s1")}
	if h == nil {
		h = s.Backend
	}
	hs := httptest.NewUnstartedServer(h)
	hs.Config.Protocols = new(http.Protocols)
	hs.Config.Protocols.SetHTTP1(true)
	hs.Config.Protocols.SetUnencryptedHTTP2(true)
	hs.Listener = &countingListener{Listener: hs.Listener, server: s}
	hs.Start()
	t.Cleanup(hs.Close)
	s.address = hs.Listener.Addr().String()
	return s
}

// countingListener counts connections from accept until just before the server
// closes them; net/http's ConnState reports a close only after the other side may
// have seen it.
type countingListener struct {
	net.Listener
	server *server
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	s := l.server
	s.opened.Add(1)
	n := s.open.Add(1)
	for maxOpen := s.maxOpen.Load(); n > maxOpen && !s.maxOpen.CompareAndSwap(maxOpen, n); maxOpen = s.maxOpen.Load() {
	}
	return &countedConn{Conn: c, server: s}, nil
}

type countedConn struct {
	net.Conn
	server *server
	once   sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.server.open.Add(-1) })
	return c.Conn.Close()
}

func (s *server) target() *policy.Server {
	return &policy.Server{Service: "route-search", Leaf: "leaf-0", ID: "s1", Address: s.address}
}

func newPool(t testing.TB, s *server, connections int, protocol document.Protocol) *backend.Pool {
	t.Helper()
	p := backend.NewPool(backend.Options{Clock: time.Now})
	t.Cleanup(p.Close)
	p.Apply([]policy.Share{{Server: s.target(), Connections: connections, Protocol: protocol}})
	return p
}

var lastID atomic.Uint64

func send(s *server) leafcall.Send {
	return leafcall.Send{
		ID: leafcall.ID(lastID.Add(1)), Server: s.target(), RequestID: "r", Operation: "route-sheet",
		Snapshot: "monday", Deadline: time.Now().Add(10 * time.Second),
	}
}

func TestCallOutcomes(t *testing.T) {
	wrongAttempt := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderAttempt, "another")
		w.Header().Set(backend.HeaderLeaf, r.Header.Get(backend.HeaderLeaf))
		_, _ = w.Write([]byte("{}"))
	})
	failing := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
		w.Header().Set(backend.HeaderLeaf, r.Header.Get(backend.HeaderLeaf))
		w.WriteHeader(http.StatusInternalServerError)
	})
	for _, test := range []struct {
		name      string
		handler   http.Handler
		behaviour fake.Behaviour
		guard     func(time.Time) bool
		want      leafcall.Status
		notRun    bool
	}{
		{name: "answered", want: leafcall.OK},
		{name: "shed", behaviour: fake.Behaviour{Shed: true}, want: leafcall.Shed, notRun: true},
		{name: "snapshot gone", behaviour: fake.Behaviour{Snapshots: []string{"sunday"}}, want: leafcall.SnapshotGone, notRun: true},
		{name: "broken after running", behaviour: fake.Behaviour{BreakAfterRun: true}, want: leafcall.Broken},
		{name: "answer of another call", handler: wrongAttempt, want: leafcall.Mismatch},
		{name: "server error", handler: failing, want: leafcall.Rejected},
		{name: "guard", guard: func(time.Time) bool { return false }, want: leafcall.NotSent, notRun: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			s := newServer(t, test.handler)
			s.SetBehaviour(test.behaviour)
			p := newPool(t, s, 1, document.HTTP1)
			call := send(s)
			call.Guard = test.guard
			res := p.Call(context.Background(), call)
			is.Equal(res.Status, test.want)
			is.Equal(res.NotRun(), test.notRun)
			if test.notRun && test.handler == nil {
				is.Equal(len(s.Executions()), 0) // a call reported as not run did not run
			}
		})
	}
}

func TestRefusedConnectionIsNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := &server{address: l.Addr().String()}
	is.NoErr(l.Close())
	res := newPool(t, s, 1, document.HTTP1).Call(context.Background(), send(s))
	is.Equal(res.Status, leafcall.NotSent)
	is.True(res.NotRun())
}

func TestDeadlineAndCancel(t *testing.T) {
	is := is.New(t)
	s := newServer(t, nil)
	s.SetBehaviour(fake.Behaviour{Latency: time.Minute})
	p := newPool(t, s, 2, document.HTTP1)

	late := send(s)
	late.Deadline = time.Now().Add(50 * time.Millisecond)
	res := p.Call(context.Background(), late)
	is.Equal(res.Status, leafcall.Timeout)
	is.True(!res.NotRun())

	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	res = p.Call(ctx, send(s))
	is.Equal(res.Status, leafcall.Cancelled)
	is.True(!res.NotRun())
}

// TestShareIsNeverExceeded makes calls on every connection of the share and
// cancels some, while the server counts its connections.
func TestShareIsNeverExceeded(t *testing.T) {
	for _, protocol := range []document.Protocol{document.HTTP1, document.HTTP2} {
		t.Run(string(protocol), func(t *testing.T) {
			is := is.New(t)
			const share = 5
			s := newServer(t, nil)
			s.SetBehaviour(fake.Behaviour{Latency: 2 * time.Millisecond})
			p := newPool(t, s, share, protocol)
			var done sync.WaitGroup
			for worker := range share {
				done.Go(func() {
					for i := range 100 {
						ctx, cancel := context.WithCancel(context.Background())
						if i%10 == 0 {
							time.AfterFunc(time.Millisecond, cancel)
						}
						res := p.Call(ctx, send(s))
						cancelled := ctx.Err() != nil
						cancel()
						if res.Status == leafcall.NotSent && !cancelled {
							t.Errorf("worker %d: %v", worker, res.Err)
						}
					}
				})
			}
			done.Wait()
			is.True(s.maxOpen.Load() <= share)
		})
	}
}

// TestRunningCallsOutliveTheShare removes a server and adds it again with a
// smaller share while calls run on its connections. The calls complete, and the
// excess connections are closed afterwards.
func TestRunningCallsOutliveTheShare(t *testing.T) {
	is := is.New(t)
	const share = 4
	s := newServer(t, nil)
	s.SetBehaviour(fake.Behaviour{Latency: 200 * time.Millisecond})
	p := newPool(t, s, share, document.HTTP1)
	var done sync.WaitGroup
	for range share {
		done.Go(func() {
			if res := p.Call(context.Background(), send(s)); res.Status != leafcall.OK {
				t.Errorf("a running call was interrupted: %v", res.Err)
			}
		})
	}
	for end := time.Now().Add(10 * time.Second); s.MaxInFlight() < share && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	p.Apply(nil)
	p.Apply([]policy.Share{{Server: s.target(), Connections: 1, Protocol: document.HTTP1}})
	s.SetBehaviour(fake.Behaviour{})
	done.Wait()
	is.Equal(p.Call(context.Background(), send(s)).Status, leafcall.OK)
	is.Equal(s.maxOpen.Load(), int64(share))
	for end := time.Now().Add(10 * time.Second); s.open.Load() > 1 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.open.Load(), int64(1)) // the new share
}

// TestAnswerThatIsNotJSON: a call whose response is not valid JSON counts as
// broken, as the body may have been truncated.
func TestAnswerThatIsNotJSON(t *testing.T) {
	is := is.New(t)
	s := newServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(backend.HeaderAttempt, r.Header.Get(backend.HeaderAttempt))
		w.Header().Set(backend.HeaderLeaf, r.Header.Get(backend.HeaderLeaf))
	}))
	res := newPool(t, s, 1, document.HTTP1).Call(context.Background(), send(s))
	is.Equal(res.Status, leafcall.Broken)
	is.True(!res.NotRun())
}

func TestPreopen(t *testing.T) {
	is := is.New(t)
	s := newServer(t, nil)
	p := backend.NewPool(backend.Options{Clock: time.Now, Preopen: true})
	defer p.Close()
	p.Apply([]policy.Share{{Server: s.target(), Connections: 3, Protocol: document.HTTP1}})
	for end := time.Now().Add(10 * time.Second); s.open.Load() < 3 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(s.open.Load(), int64(3))
	is.Equal(p.Call(context.Background(), send(s)).Status, leafcall.OK)
	is.Equal(s.opened.Load(), int64(3)) // the call used an open connection
}

func BenchmarkCall(b *testing.B) {
	for _, protocol := range []document.Protocol{document.HTTP1, document.HTTP2} {
		b.Run(fmt.Sprint(protocol), func(b *testing.B) {
			s := newServer(b, nil)
			p := newPool(b, s, 16, protocol)
			b.ReportAllocs()
			b.SetParallelism(1)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if res := p.Call(context.Background(), send(s)); res.Status != leafcall.OK {
						b.Fatal(res.Status, res.Err)
					}
				}
			})
		})
	}
}
