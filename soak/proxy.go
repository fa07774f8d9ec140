package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a loopback TCP proxy that injects faults into its connections.
type link struct {
	listener net.Listener
	target   string

	mu            sync.Mutex
	listenAddress string
	fault         linkFault
	faultUntil    time.Time
	conns         map[net.Conn]bool
}

// linkFault is a kind of fault on a link.
type linkFault int

const (
	healthy linkFault = iota
	// delayed links hold bytes back for linkDelay, silent ones discard all bytes,
	// oneWay ones discard only the bytes of answers.
	delayed
	silent
	oneWay
	// refused links reset open connections and new ones.
	refused
	linkFaultCount
)

// linkDelay is how long a delayed link holds bytes back; the latency objective of
// most requests is shorter.
const linkDelay = 150 * time.Millisecond

func newLink(listen, target string) (*link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &link{listener: l, target: target, conns: make(map[net.Conn]bool), listenAddress: l.Addr().String()}
	go p.accept(l)
	return p, nil
}

func (p *link) address() string { return p.listenAddress }

// stop resets every connection and refuses new ones.
func (p *link) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
}

// resume accepts connections again after a stop.
func (p *link) resume() error {
	l, err := net.Listen("tcp", p.listenAddress)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener = l
	go p.accept(l)
	return nil
}

// inject puts the link under a fault for a while. The refused fault resets open
// connections at once.
func (p *link) inject(f linkFault, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault, p.faultUntil = f, time.Now().Add(d)
	if f == refused {
		for c := range p.conns {
			reset(c)
		}
	}
}

func (p *link) currentFault() linkFault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().After(p.faultUntil) {
		return healthy
	}
	return p.fault
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *link) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if p.currentFault() == refused {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *link) serve(c net.Conn) {
	d, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	p.track(c, true)
	p.track(d, true)
	var done sync.WaitGroup
	done.Add(2)
	go func() { defer done.Done(); p.copy(d, c, false) }()
	go func() { defer done.Done(); p.copy(c, d, true) }()
	done.Wait()
	p.track(c, false)
	p.track(d, false)
}

func (p *link) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copy forwards bytes in one direction. A connection that has lost bytes forwards
// nothing more, so that the receiver never sees a gap in the stream.
func (p *link) copy(to, from net.Conn, answers bool) {
	b := make([]byte, 16<<10)
	lost := false
	for {
		n, err := from.Read(b)
		if n > 0 {
			switch f := p.currentFault(); {
			case f == silent, f == oneWay && answers:
				lost = true
			case f == delayed:
				time.Sleep(linkDelay)
			}
			if !lost {
				if _, werr := to.Write(b[:n]); werr != nil {
					reset(from)
					return
				}
			}
		}
		if err != nil {
			if err == io.EOF && !lost {
				if tcp, ok := to.(*net.TCPConn); ok {
					_ = tcp.CloseWrite()
				}
				return
			}
			reset(to)
			return
		}
	}
}

func (p *link) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		_ = c.Close()
	}
}
