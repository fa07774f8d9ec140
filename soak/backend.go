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

// execution is one request that a backend server has begun to process.
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
	// serverStart is the start time of the server's incarnation in Unix milliseconds.
	// announcesLeaving tells whether the answer announces that the server is leaving.
	serverStart      int64
	announcesLeaving bool
	// limit is the request limit that the answer names, or 0.
	limit float64
}

// requestLog records the requests that all backend servers executed or rejected.
type requestLog struct {
	mu         sync.Mutex
	executions []execution
	rejections []rejection
}

func (l *requestLog) addRejection(x rejection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejections = append(l.rejections, x)
}

func (l *requestLog) addExecution(x execution) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.executions = append(l.executions, x)
}

// backend is one backend server, reached through a fault-injecting link.
type backend struct {
	entry    route.Server
	headers  gateway.Headers
	log      *requestLog
	listener net.Listener
	link     *link
	// onCrash is called when a request crashes the server.
	onCrash func(*backend)

	mu     sync.Mutex
	random *rand.Rand
	// idChanges counts the restarts under a new ID. A down server has crashed and
	// may restart; a closed one never does.
	idChanges    int
	down, closed bool
	// leaving servers announce it in their answers. Until rejectingUntil the
	// server rejects requests and asks for back-off.
	leaving        bool
	rejectingUntil time.Time
	// limit is the number of requests per second that the server says it takes, since
	// limitedSince; 0 means any number.
	limit        float64
	limitedSince time.Time
}

const (
	// A request takes minWorkTime plus a random share of workTimeSpread.
	minWorkTime    = 2 * time.Millisecond
	workTimeSpread = 15 * time.Millisecond
	// answerRecords is the number of records in an answer, of recordBytes each.
	answerRecords = 6
	recordBytes   = 16
)

func newBackend(entry route.Server, h gateway.Headers, log *requestLog, seed uint64) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p, err := newLink("127.0.0.1:0", listener.Addr().String())
	if err != nil {
		return nil, err
	}
	entry.Address = p.address()
	b := &backend{entry: entry, headers: h, log: log, listener: listener, link: p, random: rand.New(rand.NewPCG(seed, 9))}
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

// current returns the server's current directory entry.
func (b *backend) current() route.Server {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entry
}

func (b *backend) randN(n int64) int64 {
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

// answer handles one request, at times with an injected fault, and reports
// whether the connection stays open.
func (b *backend) answer(c net.Conn, req *http.Request, body []byte) bool {
	id := req.Header.Get(b.headers.RequestID)
	entry := b.current()
	if want := req.Header.Get(b.headers.ExpectServer); want != entry.ID {
		return writeString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
	}
	fault := b.randN(200)
	if fault == 5 && b.randN(5) == 0 {
		b.startRejecting()
	}
	leaving, backoff := b.announced()
	limitHeader, limit := b.limitHeader()
	if fault == 0 || backoff > 0 {
		b.log.addRejection(rejection{request: id, server: entry.ID, serverStart: entry.StartUnixMs, at: time.Now(), backoff: backoff, lost: b.link.currentFault() != healthy})
		return writeString(c, "HTTP/1.1 503 Busy\r\n"+b.headers.NotRun+": 1\r\n"+retryAfterHeader(backoff)+limitHeader+"Content-Length: 0\r\n\r\n")
	}
	x := execution{
		request: id, service: entry.Service, server: entry.ID, method: req.Method, path: req.RequestURI, body: string(body), at: time.Now(),
		serverStart: entry.StartUnixMs, announcesLeaving: leaving, limit: limit,
	}
	sum := sha256.Sum256([]byte(id + entry.ID))
	x.signature = hex.EncodeToString(sum[:6])
	for i := range answerRecords {
		record := sha256.Sum256(fmt.Appendf(nil, "%s %s %d", id, entry.Service, i))
		x.answer = append(x.answer, record[:recordBytes]...)
	}
	b.log.addExecution(x)
	if strings.Contains(req.URL.Path, "/"+crashContent) {
		b.onCrash(b)
		return false
	}
	time.Sleep(minWorkTime + time.Duration(b.randN(int64(workTimeSpread))))
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n",
		b.headers.RequestID, id, b.headers.Signature, x.signature, len(x.answer))
	if leaving {
		head += b.headers.Leaving + ": 1\r\n"
	}
	head += limitHeader + "\r\n"
	switch fault {
	case 1: // the answer is lost
		return false
	case 2: // the answer is truncated
		writeString(c, head+string(x.answer[:5]))
		return false
	case 3: // an unsolicited second answer follows
		return writeString(c, head+string(x.answer)+head+string(x.answer))
	case 4:
		return writeString(c, fmt.Sprintf("HTTP/1.1 500 Oops\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", b.headers.Signature, x.signature))
	}
	return writeString(c, head+string(x.answer))
}

func writeString(c net.Conn, text string) bool {
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
