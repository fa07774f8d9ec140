package http1

import (
	"context"
	"errors"
	"time"
)

// Outcome tells how far a call came.
type Outcome int

// States of a call.
const (
	// Done calls have brought a whole answer.
	Done Outcome = iota
	// NotSent calls have written nothing.
	NotSent
	// Broken calls have written something and have no whole answer.
	Broken
	// TimedOut calls have met their deadline, GivenUp ones were cancelled,
	// after something was written.
	TimedOut
	Cancelled
)

// Call is one request to one server.
type Call struct {
	Endpoint Endpoint
	// Method and ID are those of the request; Bytes is all of it as it is
	// written, given the time left.
	Method    string
	RequestID string
	Encode    func(left time.Duration) []byte
	// Deadline is when the server is no longer waited for.
	Deadline time.Time
	// MaxIdle is how long the connection is kept afterwards, at most.
	MaxIdle time.Duration
	// MaxBodyBytes bounds the answer's body; 0 means 8 MB.
	MaxBodyBytes int
	// NeedsFreshConn calls take no connection that the server may be closing.
	NeedsFreshConn bool
	// Guard is asked right before the first byte is written, if it is set.
	Guard func() bool
}

var (
	errLate  = errors.New("the deadline passed before the request was sent")
	errGuard = errors.New("the server took no more requests when this one was to be sent")
)

// Do makes the call once.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, Outcome, error) {
	within := idleFor
	if call.NeedsFreshConn {
		within = freshFor
	}
	c := p.take(call.Endpoint, within)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, call.Endpoint); err != nil {
			return nil, NotSent, err
		}
	}
	left := call.Deadline.Sub(p.opts.Now())
	if left <= 0 || ctx.Err() != nil {
		p.close(c)
		return nil, NotSent, errLate
	}
	if call.Guard != nil && !call.Guard() {
		p.close(c)
		return nil, NotSent, errGuard
	}
	return p.exchange(ctx, c, call, left)
}

func (p *Pool) exchange(ctx context.Context, c *conn, call Call, left time.Duration) (*Response, Outcome, error) {
	_ = c.SetDeadline(time.Now().Add(left))
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	written := writeRequest(c, call.Encode(left))
	answer, keep, err := p.readAnswer(c, call)
	stopped := stop()
	if err != nil {
		p.close(c)
		return nil, failure(ctx, err), err
	}
	select {
	case werr := <-written:
		keep = keep && werr == nil
	default:
		keep = false // the server has answered before it read everything
	}
	if !keep || !stopped || c.r.Buffered() > 0 {
		p.close(c)
		return answer, Done, nil
	}
	_ = c.SetDeadline(time.Time{})
	c.limit = min(idleLimit(answer.Header, idleFor), call.MaxIdle)
	p.put(c)
	return answer, Done, nil
}

// writeRequest writes the bytes, a long request beside the reading. The error
// comes with the answer or from reading, which fails too.
func writeRequest(c *conn, b []byte) <-chan error {
	written := make(chan error, 1)
	write := func() {
		_, err := c.Write(b)
		written <- err
	}
	if len(b) < writeAside {
		write()
	} else {
		go write()
	}
	return written
}

func failure(ctx context.Context, err error) Outcome {
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case timedOut(err):
		return TimedOut
	}
	return Broken
}
