package backend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/figmast/figmast/internal/fault"
	"github.com/figmast/figmast/leafcall"
	"github.com/figmast/figmast/policy"
)

// MaxAnswerBytes is the largest answer of a backend server that is read.
const MaxAnswerBytes = 4 << 20

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
	p.mu.Lock()
	defer p.mu.Unlock()
	next := make(map[connsKey]*conns, len(shares))
	byAddr := make(map[string]*conns, len(shares))
	for _, s := range shares {
		key := keyOf(s)
		c := p.servers[key]
		if c == nil {
			c = newConns(s.Server.Address, s.Protocol)
		}
		c.setLimit(s.Connections)
		next[key] = c
		byAddr[key.address] = c
	}
	for key, c := range p.servers {
		if next[key] == nil {
			c.close()
		}
	}
	p.servers, p.byAddr = next, byAddr
	if p.opts.Preopen {
		p.fill(byAddr)
	}
}

func (p *Pool) fill(all map[string]*conns) {
	for _, c := range all {
		p.filling.Add(1)
		go func() {
			defer p.filling.Done()
			for c.fill(p.ctx) {
			}
		}()
	}
}

// Close closes every connection and waits for those being opened.
func (p *Pool) Close() {
	p.cancel()
	p.mu.Lock()
	for _, c := range p.servers {
		c.close()
	}
	p.mu.Unlock()
	p.filling.Wait()
}

// Call makes one call. It returns when the call has ended or ctx is done.
func (p *Pool) Call(ctx context.Context, s leafcall.Send) leafcall.Result {
	p.mu.Lock()
	c := p.byAddr[s.Server.Address]
	p.mu.Unlock()
	if c == nil {
		return notSent(s, "connect", errNoConnection)
	}
	ctx, cancel := context.WithDeadline(ctx, s.Deadline)
	defer cancel()
	cc, err := c.get(ctx)
	if err != nil {
		return notSent(s, "connect", err)
	}
	now := p.opts.Clock()
	if s.Guard != nil && !s.Guard(now) {
		cc.Release()
		return notSent(s, "guard", errGuard)
	}
	body := &guardedBody{Reader: bytes.NewReader(s.Payload), guard: s.Guard, clock: p.opts.Clock}
	return roundTrip(ctx, cc, s, body, s.Deadline.Sub(now))
}

func notSent(s leafcall.Send, step string, err error) leafcall.Result {
	return leafcall.Result{Status: leafcall.NotSent, Err: failure(s, step, err)}
}

func failure(s leafcall.Send, step string, err error) error {
	return fault.Wrap(fault.Backend, step, s.Server.ID, err)
}

func roundTrip(ctx context.Context, cc *http.ClientConn, s leafcall.Send, body *guardedBody, left time.Duration) leafcall.Result {
	req, err := newRequest(ctx, s, body, left)
	if err != nil {
		cc.Release()
		return notSent(s, "encode", err)
	}
	resp, err := cc.RoundTrip(req)
	if err != nil {
		return failed(ctx, s, "send", err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, MaxAnswerBytes+1))
	if err != nil {
		return failed(ctx, s, "receive", err)
	}
	if len(answer) > MaxAnswerBytes {
		return leafcall.Result{Status: leafcall.Rejected, Sent: true, Err: failure(s, "receive", errors.New("the answer is too large"))}
	}
	return result(s, resp, answer)
}

func newRequest(ctx context.Context, s leafcall.Send, body *guardedBody, left time.Duration) (*http.Request, error) {
	path := PathQuery
	if s.Command {
		path = PathCommand
	}
	url := "http://" + s.Server.Address + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, err
	}
	// A connection that breaks must not make net/http send the call again.
	req.GetBody = nil
	req.ContentLength = int64(len(s.Payload))
	h := req.Header
	h.Set("Content-Type", "application/json")
	h.Set(HeaderAttempt, attemptID(s))
	h.Set(HeaderService, s.Server.Service)
	h.Set(HeaderLeaf, s.Server.Leaf)
	h.Set(HeaderSnapshot, s.Snapshot)
	h.Set(HeaderOperation, s.Operation)
	h.Set(HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	return req, nil
}

func attemptID(s leafcall.Send) string {
	return s.RequestID + "/" + strconv.FormatUint(uint64(s.ID), 36)
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
