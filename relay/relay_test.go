package relay_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/backend"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/internal/certs"
	"github.com/figmast/figmast/internal/fake"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/peer"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/relay"
	"github.com/figmast/figmast/view"
	"github.com/figmast/figmast/wire"
)

// holder is a host that holds the connections to one fake backend server.
type holder struct {
	server  *fake.Backend
	target  *policy.Server
	address string
	view    atomic.Pointer[view.View]
	direct  *backend.Pool

	mu     sync.Mutex
	router *policy.Router
	// onPick is called after a server was chosen for a peer's call.
	onPick func()
}

func startHolder(t testing.TB, authority *certs.Authority) *holder {
	t.Helper()
	h := &holder{
		server: fake.NewBackend("s1"),
		router: policy.NewRouter(policy.Options{Rand: rand.New(rand.NewPCG(1, 1))}),
	}
	hs := httptest.NewServer(h.server)
	t.Cleanup(hs.Close)
	h.target = &policy.Server{Service: "billing", Leaf: "a", ID: "s1", Address: hs.Listener.Addr().String(), DataCentre: "dc-1"}
	h.setView(false, time.Now().Add(time.Hour))
	h.direct = backend.NewPool(backend.Options{Clock: time.Now})
	t.Cleanup(h.direct.Close)
	h.direct.Apply([]policy.Share{{Server: h.target, Connections: 16, Protocol: document.HTTP1}})
	c := relay.New(relay.Options{Direct: h.direct, Clock: time.Now, View: h.view.Load, Admission: h})
	tr := listen(t, authority, func(ctx context.Context, m *wire.Message) *wire.Message { return c.Serve(ctx, m.LeafCall) })
	h.address = tr.Address()
	return h
}

func (h *holder) setView(out bool, until time.Time) {
	doc := &document.Service{Name: "billing", Leaves: []document.Leaf{{Name: "a", Slots: 1, Connections: 16, Servers: []document.Server{
		{ID: "s1", Address: h.target.Address, DataCentre: "dc-1"},
	}}}}
	if out {
		doc.DataCentresOut = []string{"dc-1"}
	}
	self := view.Host{ID: "holder", DataCentre: "dc-1"}
	h.view.Store(&view.View{Self: self, Hosts: []view.Host{self}, Services: map[string]*document.Service{"billing": doc}, ValidUntil: until})
}

// BeginRelayed admits a call according to a Router with the holder's view.
func (h *holder) BeginRelayed(service, leaf, server string) (*policy.Server, func(leafcall.Result), error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v := h.view.Load(); h.router.View() != v {
		h.router.Apply(time.Now(), v)
	}
	srv, reason := h.router.PickForPeer(time.Now(), service, leaf, server)
	if srv == nil {
		return nil, nil, errors.New(string(reason))
	}
	h.router.Begin(time.Now(), srv)
	if h.onPick != nil {
		h.onPick()
	}
	return srv, func(res leafcall.Result) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.router.Done(time.Now(), srv, policy.Observation{Result: res.Observed(), Latency: time.Millisecond})
	}, nil
}

func listen(t testing.TB, authority *certs.Authority, h peer.Handler) *peer.Transport {
	t.Helper()
	pair, err := authority.IssueHost("host", "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	src := peer.CredentialSource{Certificate: pair.CertPEM, Key: pair.KeyPEM, Authorities: authority.PEM}
	tr, err := peer.Listen(peer.Options{Address: "127.0.0.1:0", TLS: src.Load, Handler: h})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = tr.Close() })
	return tr
}

func newRelay(t testing.TB, authority *certs.Authority) *relay.Relay {
	t.Helper()
	tr := listen(t, authority, func(context.Context, *wire.Message) *wire.Message {
		return &wire.Message{Failure: &wire.Failure{Step: "serve", Detail: "serves no calls"}}
	})
	return relay.New(relay.Options{Peers: tr, Clock: time.Now})
}

func (h *holder) send() leafcall.Send {
	return leafcall.Send{
		ID: 7, Server: h.target, Via: view.Host{ID: "holder", Address: h.address}, RequestID: "r", Operation: "look-up",
		Snapshot: "monday", Deadline: time.Now().Add(10 * time.Second),
	}
}

func newAuthority(t testing.TB) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestCallThroughHolder(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	h := startHolder(t, a)
	c := newRelay(t, a)
	res := c.Call(context.Background(), h.send())
	is.NoErr(res.Err)
	is.Equal(res.Status, leafcall.OK)
	is.Equal(res.Snapshot, "monday")
	is.Equal(len(h.server.Executions()), 1)

	h.server.SetBehaviour(fake.Behaviour{Shed: true})
	res = c.Call(context.Background(), h.send())
	is.Equal(res.Status, leafcall.Shed)
	is.True(res.NotRun())

	h.server.SetBehaviour(fake.Behaviour{BreakAfterRun: true})
	is.True(!c.Call(context.Background(), h.send()).NotRun())
}

// TestHolderChecksItsOwnView: a holder makes no calls that its own view forbids.
func TestHolderChecksItsOwnView(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	h := startHolder(t, a)
	c := newRelay(t, a)
	h.setView(true, time.Now().Add(time.Hour))
	res := c.Call(context.Background(), h.send())
	is.Equal(res.Status, leafcall.NotSent) // the data centre is taken out of service
	h.setView(false, time.Now().Add(-time.Second))
	res = c.Call(context.Background(), h.send())
	is.Equal(res.Status, leafcall.NotSent) // the view has expired
	is.True(res.NotRun())
	is.Equal(len(h.server.Executions()), 0)
}

// TestHolderChecksTheServerAtTheWrite: a call is not written if its data centre
// is taken out of service between the holder's choice of a server and the write,
// as during a suspension of the process.
func TestHolderChecksTheServerAtTheWrite(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	h := startHolder(t, a)
	h.mu.Lock()
	h.onPick = func() { h.setView(true, time.Now().Add(time.Hour)) }
	h.mu.Unlock()
	res := newRelay(t, a).Call(context.Background(), h.send())
	is.Equal(res.Status, leafcall.NotSent)
	is.Equal(len(h.server.Executions()), 0)
}

// TestUnreachableHolder: a call through a peer that cannot be reached does not
// run; one through a peer that does not answer in time may have run.
func TestUnreachableHolder(t *testing.T) {
	is := is.New(t)
	a := newAuthority(t)
	h := startHolder(t, a)
	c := newRelay(t, newAuthority(t)) // an authority that the holder does not trust
	s := h.send()
	s.Deadline = time.Now().Add(300 * time.Millisecond)
	is.True(c.Call(context.Background(), s).Status != leafcall.OK)
	is.Equal(len(h.server.Executions()), 0)

	h.server.SetBehaviour(fake.Behaviour{Latency: time.Minute})
	s = h.send()
	s.Deadline = time.Now().Add(300 * time.Millisecond)
	res := newRelay(t, a).Call(context.Background(), s)
	is.Equal(res.Status, leafcall.Timeout)
	is.True(!res.NotRun())
}

func BenchmarkCall(b *testing.B) {
	a := newAuthority(b)
	h := startHolder(b, a)
	relayed := newRelay(b, a)
	direct := h.send()
	direct.Via = view.Host{}
	for _, test := range []struct {
		name string
		call func() leafcall.Result
	}{
		{"direct", func() leafcall.Result { return h.direct.Call(context.Background(), direct) }},
		{"relayed", func() leafcall.Result { return relayed.Call(context.Background(), h.send()) }},
	} {
		b.Run(test.name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if res := test.call(); res.Status != leafcall.OK {
						b.Fatal(res.Status, res.Err)
					}
				}
			})
		})
	}
}
