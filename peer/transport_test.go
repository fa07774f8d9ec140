package peer

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/quic-go/quic-go"
	"go.uber.org/goleak"

	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/internal/certs"
	"github.com/figmast/figmast/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testHost is a transport whose credentials a test can replace.
type testHost struct {
	*Transport
	source atomic.Pointer[CredentialSource]
	served atomic.Int64
}

func (h *testHost) handle(_ context.Context, m *wire.Message) *wire.Message {
	h.served.Add(1)
	if m.Ask == nil {
		return &wire.Message{Failure: &wire.Failure{Step: "serve", Detail: "unknown message"}}
	}
	return &wire.Message{Answer: &control.SyncResponse{Revision: m.Ask.Revision}}
}

func authority(t testing.TB) *certs.Authority {
	t.Helper()
	a, err := certs.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// credentials returns a certificate for a loopback IP address.
func credentials(t testing.TB, a *certs.Authority, ip string, lifetime time.Duration) *CredentialSource {
	t.Helper()
	pair, err := a.IssueHostWithLifetime("host", ip, lifetime)
	if err != nil {
		t.Fatal(err)
	}
	return &CredentialSource{Certificate: pair.CertPEM, Key: pair.KeyPEM, Authorities: a.PEM}
}

func listen(t testing.TB, address string, s *CredentialSource) *testHost {
	t.Helper()
	h := &testHost{}
	h.source.Store(s)
	load := func() (*Credentials, error) { return h.source.Load().Load() }
	var err error
	h.Transport, err = Listen(Options{Address: address, TLS: load, Handler: h.handle})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.Close() })
	return h
}

// ask sends an Ask message and waits for the answer.
func ask(from, to *testHost, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	_, err := from.Request(ctx, to.Address(), &wire.Message{Ask: &control.SyncRequest{Revision: 7}})
	return err
}

func TestLargestDocumentFitsAMessage(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	x, y := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour)), listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	m := &wire.Message{Answer: &control.SyncResponse{Services: []control.ServiceDigest{{Name: "s", Compressed: make([]byte, 1<<20+4<<10)}}}}
	_, err := x.Request(ctx, y.Address(), m)
	is.NoErr(err)
	m.Answer.Services[0].Compressed = make([]byte, wire.MaxBytes)
	_, err = x.Request(ctx, y.Address(), m)
	is.True(err != nil)
	is.NoErr(ask(x, y, 5*time.Second))
}

func TestWithoutGoodCertificateNothingIsServed(t *testing.T) {
	a := authority(t)
	for name, s := range map[string]*CredentialSource{
		"another authority": credentials(t, authority(t), "127.0.0.1", time.Hour),
		"expired":           credentials(t, a, "127.0.0.1", -time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			good := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
			s.Authorities = a.PEM // it trusts the fleet; the fleet does not trust it
			bad := listen(t, "127.0.0.1:0", s)
			is.True(ask(bad, good, 5*time.Second) != nil)
			is.True(ask(good, bad, 5*time.Second) != nil)
			is.Equal(good.served.Load()+bad.served.Load(), int64(0))
		})
	}
	t.Run("none", func(t *testing.T) {
		is := is.New(t)
		good := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
		is.True(writeRaw(good.Address(), &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocolName}}, []byte("hello")) != nil)
		is.Equal(good.served.Load(), int64(0))
	})
	t.Run("of another address", func(t *testing.T) {
		is := is.New(t)
		x := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
		y := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.9", time.Hour))
		is.True(ask(x, y, 5*time.Second) != nil)
		is.Equal(y.served.Load(), int64(0))
	})
}

// writeRaw sends bytes on a stream of a new connection and waits for its end.
func writeRaw(address string, conf *tls.Config, b []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := quic.DialAddr(ctx, address, conf, nil)
	if err != nil {
		return err
	}
	defer conn.CloseWithError(0, "")
	_, err = roundTrip(ctx, conn, b)
	return err
}

func TestReplacedCertificateIsReadAgain(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	const lifetime = 2 * time.Second
	x, y := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", lifetime)), listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
	is.NoErr(ask(x, y, time.Second))
	conn := x.connectionTo(y.Address()).conn
	<-conn.Context().Done() // closed when the certificate expires
	is.True(ask(x, y, time.Second) != nil)
	x.source.Store(credentials(t, a, "127.0.0.1", time.Hour))
	is.NoErr(ask(x, y, 5*time.Second))
}

func TestCallersShareOneConnection(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	x, y := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour)), listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
	conns := make([]*quic.Conn, 50)
	var all sync.WaitGroup
	for i := range conns {
		all.Add(1)
		go func() {
			defer all.Done()
			conns[i], _ = x.connect(context.Background(), y.Address())
		}()
	}
	all.Wait()
	for _, c := range conns {
		is.True(c != nil && c == conns[0])
	}
}

// TestKilledPeerIsDialledAgain: a peer is killed without closing its connections
// and replaced at the same address. After one failed request, the next one opens
// a new connection.
func TestKilledPeerIsDialledAgain(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	x, y := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour)), listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
	is.NoErr(ask(x, y, time.Second))
	address := y.Address()
	is.NoErr(y.socket.Close())
	z := listen(t, address, credentials(t, a, "127.0.0.1", time.Hour))
	is.True(ask(x, z, 500*time.Millisecond) != nil) // the old connection is dead
	is.NoErr(ask(x, z, 5*time.Second))
}

// TestMalformedInput sends 10,000 random inputs on streams; each is answered with
// a decoding failure.
func TestMalformedInput(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	x, y := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour)), listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
	conn, err := x.connect(context.Background(), y.Address())
	is.NoErr(err)
	const workers, each = 8, 1250
	var all sync.WaitGroup
	var wrong atomic.Int64
	for worker := range uint64(workers) {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewPCG(worker, 1))
			for range each {
				if !isRejected(conn, r) {
					wrong.Add(1)
				}
			}
		}()
	}
	all.Wait()
	is.Equal(wrong.Load(), int64(0))
	is.Equal(y.served.Load(), int64(0))
	is.NoErr(ask(x, y, 5*time.Second))
}

func isRejected(conn *quic.Conn, r *rand.Rand) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	b := make([]byte, r.IntN(300))
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	answer, err := roundTrip(ctx, conn, b)
	if err != nil {
		return false
	}
	m, err := wire.Decode(answer)
	return err == nil && m.Failure != nil && m.Failure.Step == "decode" && m.Failure.Detail != ""
}

// TestRandomDatagrams sends random datagrams to the socket, which must not disturb
// requests.
func TestRandomDatagrams(t *testing.T) {
	is := is.New(t)
	a := authority(t)
	x, y := listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour)), listen(t, "127.0.0.1:0", credentials(t, a, "127.0.0.1", time.Hour))
	c, err := net.Dial("udp", y.Address())
	is.NoErr(err)
	defer c.Close()
	r := rand.New(rand.NewPCG(3, 1))
	for range 10_000 {
		b := make([]byte, 1+r.IntN(1200))
		for i := range b {
			b[i] = byte(r.Uint32())
		}
		_, _ = c.Write(b)
	}
	is.NoErr(ask(x, y, 5*time.Second))
}
