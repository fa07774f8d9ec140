package backend

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/internal/fault"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// MaxResponseBytes is the largest answer of a backend server that is read.
const MaxResponseBytes = 4 << 20

// Options configure a Pool.
type Options struct {
	// Clock returns the host's time.
	Clock func() time.Time
	// Preopen opens the connections of a share ahead of need.
	Preopen bool
}

// Pool calls backend servers directly. It is safe for concurrent use.
type Pool struct {
	opts Options

	mu      sync.Mutex
	servers map[connsKey]*conns
	byAddr  map[string]*conns
	cancel  context.CancelFunc
	ctx     context.Context
	filling sync.WaitGroup
}

// NewPool returns a Pool without connections.
func NewPool(opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		opts: opts, ctx: ctx, cancel: cancel,
		servers: make(map[connsKey]*conns), byAddr: make(map[string]*conns),
	}
}

// Apply sets the shares of connections in force.
func (p *Pool) Apply(shares []policy.Share) {
	limits := make(map[connsKey]int, len(shares))
	for _, s := range shares {
		limits[keyOf(s)] += s.Connections
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range limits {
		if p.servers[key] == nil {
			p.servers[key] = newConns(p.ctx, key.address, key.protocol)
		}
	}
	p.byAddr = make(map[string]*conns, len(limits))
	for key, c := range p.servers {
		n, wanted := limits[key]
		c.setLimit(n)
		if wanted {
			p.byAddr[key.address] = c
		} else if c.unused() {
			delete(p.servers, key)
		}
	}
	if p.opts.Preopen {
		p.fill(p.byAddr)
	}
}

func (p *Pool) fill(all map[string]*conns) {
	for _, c := range all {
		p.filling.Add(1)
		go func() {
			defer p.filling.Done()
			for c.openOne() == nil {
			}
		}()
	}
}

// Close closes every connection and waits for those being opened.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.servers {
		c.close()
	}
	p.filling.Wait()
	for _, c := range p.servers {
		c.drain()
	}
}

// Call makes one call. It returns when the call has ended or ctx is done.
func (p *Pool) Call(ctx context.Context, s leafcall.Send) leafcall.Result {
	p.mu.Lock()
	c := p.byAddr[s.Server.Address]
	p.mu.Unlock()
	if c == nil {
		return notSent(s, stepConnect, errNoConnection)
	}
	ctx, cancel := context.WithDeadline(ctx, s.Deadline.Add(s.Linger))
	defer cancel()
	l, err := c.get(ctx)
	if err != nil {
		return notSent(s, stepConnect, err)
	}
	now := p.opts.Clock()
	if s.Guard != nil && !s.Guard(now) {
		l.Release()
		return notSent(s, "guard", errGuard)
	}
	return roundTrip(ctx, c, l, s, &writeGuard{guard: s.Guard, clock: p.opts.Clock}, s.Deadline.Sub(now))
}

func notSent(s leafcall.Send, step string, err error) leafcall.Result {
	r := leafcall.Result{Status: leafcall.NotSent, Err: failure(s, step, err)}
	if step != stepConnect || errors.Is(err, errNoConnection) || errors.Is(err, context.Canceled) {
		r.Blame = leafcall.BlameSelf
	}
	return r
}

// stepConnect is where the backend server may be to blame that nothing was
// sent.
const stepConnect = "connect"

func failure(s leafcall.Send, step string, err error) error {
	return fault.Wrap(fault.Backend, step, s.Server.ID, err)
}

func roundTrip(ctx context.Context, c *conns, l *link, s leafcall.Send, g *writeGuard, left time.Duration) leafcall.Result {
	req := newRequest(ctx, c, s, left)
	if c.protocol == document.HTTP1 {
		l.socket.write.Store(g)
		defer l.socket.write.CompareAndSwap(g, nil)
	} else {
		req.Body = newGuardedBody(s.Payload, g)
	}
	resp, err := l.RoundTrip(req)
	if err != nil {
		return broken(ctx, s, g, err)
	}
	defer resp.Body.Close()
	answer, err := readBody(resp)
	if err != nil {
		return failed(ctx, s, "receive", err)
	}
	if len(answer) > MaxResponseBytes {
		return leafcall.Result{Status: leafcall.Rejected, Sent: true, Err: failure(s, "receive", errors.New("the answer is too large"))}
	}
	return result(s, resp, answer)
}

// readBody reads a body, at most one byte beyond MaxAnswerBytes.
func readBody(resp *http.Response) ([]byte, error) {
	if n := resp.ContentLength; n >= 0 && n <= MaxResponseBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
}

// newRequest builds the request by hand: its URL and header names are known,
// and a host makes tens of thousands a second. Without GetBody, net/http
// cannot send it again when the connection breaks.
func newRequest(ctx context.Context, c *conns, s leafcall.Send, left time.Duration) *http.Request {
	to := c.query
	if s.Command {
		to = c.command
	}
	values := []string{
		"application/json", attemptID(s), s.Server.Service, s.Server.Leaf, s.Snapshot, s.Operation,
		strconv.FormatInt(max(left.Milliseconds(), 1), 10),
	}
	req := &http.Request{
		Method: http.MethodPost, URL: to, Host: to.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Body: http.NoBody, ContentLength: int64(len(s.Payload)),
		Header: http.Header{
			"Content-Type":  values[0:1:1],
			HeaderAttempt:   values[1:2:2],
			HeaderService:   values[2:3:3],
			HeaderLeaf:      values[3:4:4],
			HeaderSnapshot:  values[4:5:5],
			HeaderOperation: values[5:6:6],
			HeaderDeadline:  values[6:7:7],
		},
	}
	if len(s.Payload) > 0 {
		req.Body = io.NopCloser(bytes.NewReader(s.Payload))
	}
	return req.WithContext(ctx)
}

func attemptID(s leafcall.Send) string {
	return s.RequestID + "/" + strconv.FormatUint(uint64(s.ID), 36)
}

// broken tells a call that got no answer, by what its guard saw.
func broken(ctx context.Context, s leafcall.Send, g *writeGuard, err error) leafcall.Result {
	if g.sentNothing() {
		return notSent(s, "guard", errGuard)
	}
	r := failed(ctx, s, "send", err)
	if g.refused.Load() {
		r.Blame = leafcall.BlameSelf
	}
	return r
}

// failed tells a call that broke off: its bytes may have left.
func failed(ctx context.Context, s leafcall.Send, step string, err error) leafcall.Result {
	r := leafcall.Result{Status: leafcall.Broken, Sent: true, Err: failure(s, step, err)}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Status = leafcall.Timeout
	case ctx.Err() != nil:
		r.Status = leafcall.Cancelled
	}
	return r
}

func result(s leafcall.Send, resp *http.Response, body []byte) leafcall.Result {
	h := resp.Header
	r := leafcall.Result{
		Sent:     true,
		Body:     body,
		Snapshot: h.Get(HeaderSnapshot),
		Cold:     h.Get(HeaderState) == StateCold,
	}
	if h.Get(HeaderAttempt) != attemptID(s) || h.Get(HeaderLeaf) != s.Server.Leaf {
		r.Status = leafcall.Mismatch
		r.Err = failure(s, "match", errors.New("the answer belongs to another call"))
		return r
	}
	notRun := h.Get(HeaderOutcome) == "not_run"
	switch {
	case resp.StatusCode == http.StatusOK && !json.Valid(body):
		r.Status = leafcall.Broken
		r.Err = failure(s, "answer", errors.New("the body is not JSON"))
	case resp.StatusCode == http.StatusOK:
		r.Status = leafcall.OK
	case resp.StatusCode == http.StatusConflict && notRun:
		r.Status = leafcall.SnapshotGone
	case notRun:
		r.Status = leafcall.Shed
		r.RetryAfter = retryAfter(h)
	default:
		r.Status = leafcall.Rejected
		r.Err = failure(s, "answer", errors.New(resp.Status))
	}
	return r
}

func retryAfter(h http.Header) time.Duration {
	n, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}
