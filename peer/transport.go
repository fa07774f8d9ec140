// Package peer carries messages between hosts over QUIC with mutual TLS. A
// host without a certificate of the fleet's authority gets nowhere.
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

// protocolName is negotiated by TLS; another major version gets another name.
const protocolName = "figmast/1"

// Limits of a connection between hosts.
const (
	maxStreams       = 1024
	idleTimeout      = 30 * time.Second
	handshakeTimeout = 2 * time.Second
	// transferTimeout bounds reading a question and writing its answer.
	transferTimeout = 5 * time.Second
	// Receive windows: one message fits a stream's, some a connection's.
	streamWindow     = 256 << 10
	maxStreamWindow  = 2 << 20
	connectionWindow = 512 << 10
	maxConnWindow    = 8 << 20
)

// Codes that streams and connections are closed with.
const (
	codeGivenUp   quic.StreamErrorCode      = 1
	codeMalformed quic.StreamErrorCode      = 2
	codeExpired   quic.ApplicationErrorCode = 2
)

// Handler serves messages of peers. It is called on many goroutines.
type Handler func(ctx context.Context, m *wire.Message) *wire.Message

// Options configure a Transport.
type Options struct {
	// Address is the IP number and UDP port to listen on.
	Address string
	// TLS returns the certificate and the authorities in force.
	TLS func() (*Credentials, error)
	// Handler serves what peers ask.
	Handler Handler
}

// Credentials prove who a host is and whom it trusts.
type Credentials struct {
	Certificate tls.Certificate
	// Config holds the authorities; Certificate is put into a copy of it.
	Config *tls.Config
}

// Transport sends messages to peers and serves theirs. It is safe for
// concurrent use.
type Transport struct {
	opts     Options
	socket   *net.UDPConn
	quic     *quic.Transport
	listener *quic.Listener
	ledger   ledger

	mu    sync.Mutex
	conns map[string]*connection

	ctx     context.Context
	cancel  context.CancelFunc
	serving sync.WaitGroup
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
	t.serving.Add(1)
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

// Address returns the IP number and port that the transport listens on.
func (t *Transport) Address() string { return t.socket.LocalAddr().String() }

// silentFor is how long a connection may bring no packet at all while a
// request waits before later requests get a connection of their own.
const silentFor = 200 * time.Millisecond

// Request sends a message to the host at that address and returns its
// answer. Errors are of type fault.Peer; step "connect" means that nothing
// was sent.
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
	answer, err := exchange(ctx, conn, out)
	if err != nil {
		if conn.ConnectionStats().PacketsReceived == before && time.Since(start) >= silentFor {
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

func exchange(ctx context.Context, conn *quic.Conn, out []byte) ([]byte, error) {
	s, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() {
		s.CancelRead(codeGivenUp)
		s.CancelWrite(codeGivenUp)
	})
	defer stop()
	if _, err := s.Write(out); err != nil {
		return nil, err
	}
	if err := s.Close(); err != nil {
		return nil, err
	}
	in, err := readAll(s)
	if err != nil && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	return in, err
}

func readAll(r io.Reader) ([]byte, error) {
	b, err := io.ReadAll(io.LimitReader(r, wire.MaxBytes+1))
	if err == nil && len(b) > wire.MaxBytes {
		return nil, errors.New("the message is too large")
	}
	return b, err
}

func (t *Transport) accept() {
	defer t.serving.Done()
	for {
		c, err := t.listener.Accept(t.ctx)
		if err != nil {
			return
		}
		t.serving.Add(1)
		go t.serveConn(c)
	}
}

func (t *Transport) serveConn(c *quic.Conn) {
	defer t.serving.Done()
	defer closeAtExpiry(c)()
	defer t.ledger.track(c)()
	for {
		s, err := c.AcceptStream(t.ctx)
		if err != nil {
			return
		}
		t.serving.Add(1)
		go t.serveStream(s)
	}
}

func (t *Transport) serveStream(s *quic.Stream) {
	defer t.serving.Done()
	defer s.Close()
	_ = s.SetReadDeadline(time.Now().Add(transferTimeout))
	in, err := readAll(s)
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
		s.CancelWrite(codeGivenUp)
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
	t.serving.Wait()
	return errors.Join(err, t.socket.Close())
}
