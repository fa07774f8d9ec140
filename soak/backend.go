package soak

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figmast/figmast/gateway"
	"github.com/figmast/figmast/route"
)

// execution is one request that a backend server has begun to work on.
type execution struct {
	request   string
	service   string
	server    string
	method    string
	path      string
	body      string
	at        time.Time
	signature string
	answer    []byte
	// born is the start of the server's lifetime; leaving is set where the
	// answer says that the server leaves.
	born    int64
	leaving bool
}

// ledger holds what all backend servers have worked on and turned away.
type ledger struct {
	mu     sync.Mutex
	runs   []execution
	turned []turned
}

func (l *ledger) turn(x turned) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.turned = append(l.turned, x)
}

func (l *ledger) add(x execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, x)
}

// backend is one backend server behind a link.
type backend struct {
	entry    route.Server
	headers  gateway.Headers
	ledger   *ledger
	listener net.Listener
	link     *link
	// crash is told of a request that ends the server.
	crash func(*backend)

	mu     sync.Mutex
	random *rand.Rand
	// lives counts the lifetimes under new IDs; down servers have ended, closed
	// ones for good.
	lives        int
	down, closed bool
	// leaving servers say so in their answers; until asking they turn requests
	// away and ask for back-off.
	leaving bool
	asking  time.Time
}

const (
	// workLeast and workSpread bound how long a request takes.
	workLeast  = 2 * time.Millisecond
	workSpread = 15 * time.Millisecond
	// answerRecords is how many records an answer holds, of recordBytes each.
	answerRecords = 6
	recordBytes   = 16
)

func newBackend(entry route.Server, h gateway.Headers, l *ledger, seed uint64) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := newLink("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	entry.Address = p.address()
	b := &backend{entry: entry, headers: h, ledger: l, listener: listener, link: p, random: rand.New(rand.NewPCG(seed, 9))}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b, nil
}

// current returns the server's entry.
func (b *backend) current() route.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entry
}

func (b *backend) draw(n int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.Int64N(n)
}

func (b *backend) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if !b.answer(c, req, body) {
			return
		}
	}
}

// answer works on one request and reports whether the connection stays open.
func (b *backend) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get(b.headers.RequestID)
	entry := b.current()
	if want := req.Header.Get(b.headers.ExpectServer); want != entry.ID {
		return write(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	trouble := b.draw(200)
	if trouble == 5 && b.draw(5) == 0 {
		b.ask()
	}
	leaving, asks := b.says()
	if trouble == 0 || asks > 0 {
		b.ledger.turn(turned{request: id, server: entry.ID, born: entry.StartUnixMs, at: time.Now(), backoff: asks})
		return write(c, "HTTP/1.1 503 Busy\r\n"+b.headers.NotRun+": 1\r\n"+asksHeader(asks)+"Content-Length: 0\r\n\r\n")
	}
	x := execution{
		request: id, service: entry.Service, server: entry.ID, method: req.Method, path: req.RequestURI, body: string(body), at: time.Now(),
		born: entry.StartUnixMs, leaving: leaving,
	}
	sum := sha256.Sum256([]byte(id + entry.ID))
	x.signature = hex.EncodeToString(sum[:6])
	for i := range answerRecords {
		record := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", id, entry.Service, i))
		x.answer = append(x.answer, record[:recordBytes]...)
	}
	b.ledger.add(x)
	if strings.Contains(req.URL.Path, "/"+crashContent) {
		b.crash(b)
		return false
	}
	time.Sleep(workLeast + time.Duration(b.draw(int64(workSpread))))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n",
		b.headers.RequestID, id, b.headers.Signature, x.signature, len(x.answer))
	if leaving {
		head += b.headers.Leaving + ": 1\r\n"
	}
	head += "\r\n"
	switch trouble {
	case 1: // the answer is lost
		return false
	case 2: // the answer breaks off
		write(c, head+string(x.answer[:5]))
		return false
	case 3: // an answer that nobody asked for follows
		return write(c, head+string(x.answer)+head+string(x.answer))
	case 4:
		return write(c, fmt.Sprintf("HTTP/1.1 500 Oops\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", b.headers.Signature, x.signature))
	}
	return write(c, head+string(x.answer))
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

func (b *backend) close() {
	b.mu.Lock()
	b.closed = true
	b.mu.Unlock()
	_ = b.listener.Close()
	b.link.close()
}
