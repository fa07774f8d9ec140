package gateway

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/route"
)

// initialLimits apply until the first configuration is received.
var initialLimits = route.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}

// idleTimeoutSlack is added to the configured idle timeout, so that the host
// does not close a connection just as a request arrives on it.
const idleTimeoutSlack = time.Second

// callerListener accepts callers' connections. A connection keeps the limits
// that were in force when it was accepted.
type callerListener struct {
	listener net.Listener
	handler  http.Handler
	conns    *callerConns
	log      *log.Logger

	mu      sync.Mutex
	limits  route.Limits
	current *callerServer
	servers []*callerServer
	closed  bool
}

// callerServer serves the connections accepted under one set of limits. It is
// also the net.Listener of its http.Server and returns what arrives on conns.
type callerServer struct {
	*http.Server
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
	addr  net.Addr
}

func listenCallers(address string, h http.Handler, conns *callerConns, l *log.Logger) (*callerListener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	c := &callerListener{listener: listener, handler: h, conns: conns, log: l}
	c.setLimits(initialLimits)
	go c.accept()
	return c, nil
}

// setLimits sets the limits for new connections.
func (c *callerListener) setLimits(l route.Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == c.limits && c.current != nil || c.closed {
		return
	}
	c.limits = l
	s := &callerServer{conns: make(chan net.Conn), done: make(chan struct{}), addr: c.listener.Addr()}
	s.Server = &http.Server{
		Handler: c.handler, ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleTimeoutSlack,
		MaxHeaderBytes: l.HeaderBytes, DisableGeneralOptionsHandler: true, ConnContext: connContext, ConnState: connState,
		ErrorLog: c.log.StandardLog(log.StandardLogOptions{ForceLevel: log.WarnLevel}),
	}
	c.current = s
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(s) }() // returns when the host shuts down
}

func (c *callerListener) accept() {
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
		added := c.conns.add(conn)
		if added == nil {
			continue
		}
		c.mu.Lock()
		s := c.current
		c.mu.Unlock()
		select {
		case s.conns <- added:
		case <-s.done:
			_ = added.Close()
		}
	}
}

// stopAccepting closes the listener and returns the servers of its connections.
func (c *callerListener) stopAccepting() []*http.Server {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.listener.Close()
	servers := make([]*http.Server, len(c.servers))
	for i, s := range c.servers {
		servers[i] = s.Server
	}
	return servers
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
