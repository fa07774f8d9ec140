package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/route"
)

// firstLimits hold while no configuration says what callers may send.
var firstLimits = route.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// idleSlack is kept beyond the stated idle timeout, so that no close crosses a
// request.
const idleSlack = time.Second

// callers serves the callers' connections. The limits of a connection are
// those in force when it was opened.
type callers struct {
	listener net.Listener
	handler  http.Handler
	log      *log.Logger

	mu      sync.Mutex
	limits  route.Limits
	current *callerServer
	all     []*callerServer
	closed  bool
}

// callerServer serves connections under one set of limits.
type callerServer struct {
	*http.Server
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func listenCallers(address string, h http.Handler, l *log.Logger) (*callers, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &callers{listener: listener, handler: h, log: l}
	c.limit(firstLimits)
	go c.accept()
	return c, nil
}

// limit puts limits in force for new connections.
func (c *callers) limit(l route.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == c.limits && c.current != nil || c.closed {
		return
	}
	c.limits = l
	s := &callerServer{conns: make(chan net.Conn), done: make(chan struct{}), addr: c.listener.Addr()}
	s.Server = &http.Server{
		Handler: c.handler, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleSlack,
		MaxHeaderBytes: l.HeaderBytes, DisableGeneralOptionsHandler: true,
		ErrorLog: c.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
	c.current = s
	c.all = append(c.all, s)
	go func() { _ = s.Serve(s) }() // it ends when the host stops
}

func (c *callers) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			c.log.Warn("connection not accepted", "err", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.mu.Lock()
		s := c.current
		c.mu.Unlock()
		select {
		case s.conns <- conn:
		case <-s.done:
			_ = conn.Close()
		}
	}
}

// shutdown takes no new connections, closes idle ones and waits for the others
// until ctx is done.
func (c *callers) shutdown(ctx context.Context) error {
	c.mu.Lock()
	c.closed = true
	all := c.all
	c.mu.Unlock()
	_ = c.listener.Close()
	var errs []error
	for _, s := range all {
		errs = append(errs, s.Shutdown(ctx))
	}
	return errors.Join(errs...)
}

// Accept implements net.Listener.
func (s *callerServer) Accept() (net.Conn, error) {
	select {
	case c := <-s.conns:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *callerServer) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// Addr implements net.Listener.
func (s *callerServer) Addr() net.Addr { return s.addr }
