// Package peer exchanges messages between hosts over QUIC with mutual TLS. Hosts
// without a certificate from the fleet's authority are rejected.
package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/figmast/figmast/internal/fault"
	"github.com/figmast/figmast/wire"
)

// protocolName is the ALPN protocol of the TLS handshake; a new major version gets
// a new name.
const protocolName = "figmast/1"

// Limits of a connection between hosts.
const (
	maxStreams       = 1024
	idleTimeout      = 30 * time.Second
	handshakeTimeout = 2 * time.Second
	// transferTimeout bounds reading a request, and then writing its response.
	transferTimeout = 5 * time.Second
	// Receive windows: a stream's fits one message, a connection's several.
	streamWindow     = 256 << 10
	maxStreamWindow  = 2 << 20
	connectionWindow = 512 << 10
	maxConnWindow    = 8 << 20
)

// Error codes with which streams and connections are closed.
const (
	codeCancelled quic.StreamErrorCode      = 1
	codeMalformed quic.StreamErrorCode      = 2
	codeExpired   quic.ApplicationErrorCode = 2
)

// Handler answers a peer's message. It is called concurrently.
type Handler func(ctx context.Context, m *wire.Message) *wire.Message

// Options configure a Transport.
type Options struct {
	// Address is the IP address and UDP port to listen on.
	Address string
	// TLS returns the current credentials. It is called for each handshake.
	TLS func() (*Credentials, error)
	// Handler answers the peers' messages.
	Handler Handler
}

// Credentials are a host's certificate and the authorities that it trusts.
type Credentials struct {
	Certificate tls.Certificate
	// Config holds the authorities as RootCAs. Certificate is set in a copy of
	// it.
	Config *tls.Config
}

// Transport sends messages to peers and answers theirs. It is safe for
// concurrent use.
type Transport struct {
	opts     Options
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	traffic  traffic

	mu    sync.Mutex
	conns map[string]*connection

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
}

// Listen opens the socket and serves peers until Close.
func Listen(opts Options) (*Transport, error) {
	addr, err := net.ResolveUDPAddr("udp", opts.Address)
	if err != nil {
		return nil, fault.Wrap(fault.Peer, "listen", opts.Address, err)
	}
	socket, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, fault.Wrap(fault.Peer, "listen", opts.Address, err)
	}
	t := &Transport{opts: opts, socket: socket, quic: &quic.Transport{Conn: socket}, conns: make(map[string]*connection)}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.listener, err = t.quic.Listen(&tls.Config{GetConfigForClient: t.serverTLS, NextProtos: []string{protocolName}}, quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fault.Wrap(fault.Peer, "listen", opts.Address, err)
	}
	t.goroutines.Add(1)
	go t.accept()
	return t, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		MaxIncomingStreams:             maxStreams,
		MaxIdleTimeout:                 idleTimeout,
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
	}
}

func (t *Transport) serverTLS(*tls.ClientHelloInfo) (*tls.Config, error) {
	c, err := t.opts.TLS()
	if err != nil {
		return nil, err
	}
	conf := c.Config.Clone()
	conf.Certificates = []tls.Certificate{c.Certificate}
	conf.ClientCAs = c.Config.RootCAs
	conf.ClientAuth = tls.RequireAndVerifyClientCert
	conf.NextProtos = []string{protocolName}
	conf.MinVersion = tls.VersionTLS13
	return conf, nil
}

func (t *Transport) clientTLS(address string) (*tls.Config, error) {
	c, err := t.opts.TLS()
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	conf := c.Config.Clone()
	conf.Certificates = []tls.Certificate{c.Certificate}
	conf.ServerName = host
	conf.NextProtos = []string{protocolName}
	conf.MinVersion = tls.VersionTLS13
	return conf, nil
}

// Address returns the IP address and port that the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// silenceTimeout is how long a connection may deliver no packet at all during a
// request that fails, before later requests open a new connection.
const silenceTimeout = 200 * time.Millisecond

// Request sends a message to the host at that address and returns its
// answer. Errors are of type fault.Peer; step "connect" means that nothing was
// sent.
func (t *Transport) Request(ctx context.Context, address string, m *wire.Message) (*wire.Message, error) {
	out, err := wire.Encode(m)
	if err != nil {
		return nil, fault.Wrap(fault.Peer, "encode", address, err)
	}
	conn, err := t.connect(ctx, address)
	if err != nil {
		return nil, fault.Wrap(fault.Peer, "connect", address, err)
	}
	before, start := conn.ConnectionStats().PacketsReceived, time.Now()
	answer, err := roundTrip(ctx, conn, out)
	if err != nil {
		if conn.ConnectionStats().PacketsReceived == before && time.Since(start) >= silenceTimeout {
			t.forget(address, conn)
		}
		return nil, fault.Wrap(fault.Peer, "exchange", address, err)
	}
	in, err := wire.Decode(answer)
	if err != nil {
		return nil, fault.Wrap(fault.Peer, "decode", address, err)
	}
	return in, nil
}

func roundTrip(ctx context.Context, conn *quic.Conn, out []byte) ([]byte, error) {
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(codeCancelled)
		s.CancelWrite(codeCancelled)
	})
	defer stop()
	if _, err := s.Write(out); err != nil {
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	in, err := readMessage(s)
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return in, err
}

func readMessage(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, wire.MaxBytes+1))
	if err == nil && len(b) > wire.MaxBytes {
		return nil, errors.New("the message is too large")
	}
	return b, err
}

func (t *Transport) accept() {
	defer t.goroutines.Done()
	for {
		c, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.goroutines.Add(1)
		go t.serveConn(c)
	}
}

func (t *Transport) serveConn(c *quic.Conn) {
	defer t.goroutines.Done()
	defer closeAtExpiry(c)()
	defer t.traffic.track(c)()
	for {
		s, err := c.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.goroutines.Add(1)
		go t.serveStream(s)
	}
}

func (t *Transport) serveStream(s *quic.Stream) {
	defer t.goroutines.Done()
	defer s.Close()
	_ = s.SetReadDeadline(time.Now().Add(transferTimeout))
	in, err := readMessage(s)
	if err != nil {
		s.CancelRead(codeMalformed)
		s.CancelWrite(codeMalformed)
		return
	}
	answer, err := wire.Encode(t.serve(s.Context(), in))
	if err != nil {
		s.CancelWrite(codeMalformed)
		return
	}
	_ = s.SetWriteDeadline(time.Now().Add(transferTimeout))
	if _, err := s.Write(answer); err != nil {
		s.CancelWrite(codeCancelled)
	}
}

func (t *Transport) serve(ctx context.Context, in []byte) *wire.Message {
	m, err := wire.Decode(in)
	if err != nil {
		return &wire.Message{Failure: &wire.Failure{Step: "decode", Detail: err.Error()}}
	}
	return t.opts.Handler(ctx, m)
}

// Close closes every connection and waits for requests being served.
func (t *Transport) Close() error {
	t.mu.Lock()
	t.cancel()
	t.mu.Unlock()
	_ = t.listener.Close()
	err := t.quic.Close()
	t.goroutines.Wait()
	return errors.Join(err, t.socket.Close())
}
