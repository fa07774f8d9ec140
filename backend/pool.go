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

// MaxResponseBytes bounds the body of a backend server's response.
const MaxResponseBytes = 4 << 20

// Options configure a Pool.
type Options struct {
	// Clock returns the host's time.
	Clock func() time.Time
	// Preopen opens all connections of a share in advance.
	Preopen bool
}

// Pool makes calls to backend servers over its own connections. It is safe for
// concurrent use.
type Pool struct {
	opts Options

	mu         sync.Mutex
	servers    map[serverKey]*serverConns
	byAddress  map[string]*serverConns
	cancel     context.CancelFunc
	ctx        context.Context
	preopening sync.WaitGroup
}

// NewPool returns a Pool without connections.
func NewPool(opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		opts: opts, ctx: ctx, cancel: cancel,
		servers: make(map[serverKey]*serverConns), byAddress: make(map[string]*serverConns),
	}
}

// Apply sets this host's shares of connections to backend servers; they replace
// the former ones.
func (p *Pool) Apply(shares []policy.Share) {
	limits := make(map[serverKey]int, len(shares))
	for _, s := range shares {
		limits[keyOf(s)] += s.Connections
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for key := range limits {
		if p.servers[key] == nil {
			p.servers[key] = newServerConns(p.ctx, key.address, key.protocol)
		}
	}
	p.byAddress = make(map[string]*serverConns, len(limits))
	for key, c := range p.servers {
		n, hasShare := limits[key]
		c.setLimit(n)
		if hasShare {
			p.byAddress[key.address] = c
		} else if c.isUnused() {
			delete(p.servers, key)
		}
	}
	if p.opts.Preopen {
		p.preopen(p.byAddress)
	}
}

func (p *Pool) preopen(all map[string]*serverConns) {
	for _, c := range all {
		p.preopening.Add(1)
		go func() {
			defer p.preopening.Done()
			for c.openConn() == nil {
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
	p.preopening.Wait()
	for _, c := range p.servers {
		c.drain()
	}
}

// Call makes one call. It returns when the call has ended or ctx is done.
func (p *Pool) Call(ctx context.Context, s leafcall.Send) leafcall.Result {
	p.mu.Lock()
	c := p.byAddress[s.Server.Address]
	p.mu.Unlock()
	if c == nil {
		return notSent(s, stepConnect, errNoConnection)
	}
	ctx, cancel := context.WithDeadline(ctx, s.Deadline.Add(s.Linger))
	defer cancel()
	conn, err := c.acquire(ctx)
	if err != nil {
		return notSent(s, stepConnect, err)
	}
	now := p.opts.Clock()
	if s.Guard != nil && !s.Guard(now) {
		conn.Release()
		return notSent(s, "guard", errGuard)
	}
	return roundTrip(ctx, c, conn, s, &writeGuard{guard: s.Guard, clock: p.opts.Clock}, s.Deadline.Sub(now))
}

func notSent(s leafcall.Send, step string, err error) leafcall.Result {
	r := leafcall.Result{Status: leafcall.NotSent, Err: wrapError(s, step, err)}
	if step != stepConnect || errors.Is(err, errNoConnection) || errors.Is(err, context.Canceled) {
		r.Blame = leafcall.BlameSelf
	}
	return r
}

// stepConnect is the step whose failure may count against the backend server
// although nothing was sent.
const stepConnect = "connect"

func wrapError(s leafcall.Send, step string, err error) error {
	return fault.Wrap(fault.Backend, step, s.Server.ID, err)
}

func roundTrip(ctx context.Context, c *serverConns, conn *clientConn, s leafcall.Send, g *writeGuard, left time.Duration) leafcall.Result {
	req := newRequest(ctx, c, s, left)
	if c.protocol == document.HTTP1 {
		conn.socket.write.Store(g)
		defer conn.socket.write.CompareAndSwap(g, nil)
	} else {
		req.Body = newGuardedBody(s.Payload, g)
	}
	resp, err := conn.RoundTrip(req)
	if err != nil {
		return roundTripFailed(ctx, s, g, err)
	}
	defer resp.Body.Close()
	body, err := readBody(resp)
	if err != nil {
		return callFailed(ctx, s, "receive", err)
	}
	if len(body) > MaxResponseBytes {
		return leafcall.Result{Status: leafcall.Rejected, Sent: true, Err: wrapError(s, "receive", errors.New("the answer is too large"))}
	}
	return newResult(s, resp, body)
}

// readBody reads a body, but at most MaxResponseBytes+1 bytes.
func readBody(resp *http.Response) ([]byte, error) {
	if n := resp.ContentLength; n >= 0 && n <= MaxResponseBytes {
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	return io.ReadAll(io.LimitReader(resp.Body, MaxResponseBytes+1))
}

// newRequest builds the request without http.NewRequest: its URL and header
// names are known, and a host makes tens of thousands per second. Without
// GetBody, net/http cannot send it again when the connection breaks.
func newRequest(ctx context.Context, c *serverConns, s leafcall.Send, left time.Duration) *http.Request {
	target := c.query
	if s.Command {
		target = c.command
	}
	values := []string{
		"application/json", attemptID(s), s.Server.Service, s.Server.Leaf, s.Snapshot, s.Operation,
		strconv.FormatInt(max(left.Milliseconds(), 1), 10),
	}
	req := &http.Request{
		Method: http.MethodPost, URL: target, Host: target.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
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

// roundTripFailed returns the result of a call that got no response. It is
// NotSent if the guard blocked every byte.
func roundTripFailed(ctx context.Context, s leafcall.Send, g *writeGuard, err error) leafcall.Result {
	if g.sentNothing() {
		return notSent(s, "guard", errGuard)
	}
	r := callFailed(ctx, s, "send", err)
	if g.refused.Load() {
		r.Blame = leafcall.BlameSelf
	}
	return r
}

// callFailed returns the result of a call that failed after bytes of it may have
// been sent.
func callFailed(ctx context.Context, s leafcall.Send, step string, err error) leafcall.Result {
	r := leafcall.Result{Status: leafcall.Broken, Sent: true, Err: wrapError(s, step, err)}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		r.Status = leafcall.Timeout
	case ctx.Err() != nil:
		r.Status = leafcall.Cancelled
	}
	return r
}

func newResult(s leafcall.Send, resp *http.Response, body []byte) leafcall.Result {
	h := resp.Header
	r := leafcall.Result{
		Sent:     true,
		Body:     body,
		Snapshot: h.Get(HeaderSnapshot),
		Cold:     h.Get(HeaderState) == StateCold,
	}
	if h.Get(HeaderAttempt) != attemptID(s) || h.Get(HeaderLeaf) != s.Server.Leaf {
		r.Status = leafcall.Mismatch
		r.Err = wrapError(s, "match", errors.New("the answer belongs to another call"))
		return r
	}
	notRun := h.Get(HeaderOutcome) == "not_run"
	switch {
	case resp.StatusCode == http.StatusOK && !json.Valid(body):
		r.Status = leafcall.Broken
		r.Err = wrapError(s, "answer", errors.New("the body is not JSON"))
	case resp.StatusCode == http.StatusOK:
		r.Status = leafcall.OK
	case resp.StatusCode == http.StatusConflict && notRun:
		r.Status = leafcall.SnapshotGone
	case notRun:
		r.Status = leafcall.Shed
		r.RetryAfter = retryAfter(h)
	default:
		r.Status = leafcall.Rejected
		r.Err = wrapError(s, "answer", errors.New(resp.Status))
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
