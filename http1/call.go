package http1

import (
	"context"
	"errors"
	"time"
)

// Outcome is how a call ended.
type Outcome int

// Outcomes of a call.
const (
	// Done calls returned a complete response.
	Done Outcome = iota
	// NotSent calls wrote nothing.
	NotSent
	// Broken calls wrote something and got no complete response.
	Broken
	// TimedOut calls reached their deadline, and Cancelled ones were cancelled,
	// after something was written.
	TimedOut
	Cancelled
)

// Call is one attempt of a request at one server.
type Call struct {
	Endpoint Endpoint
	// Method and RequestID are those of the request. Encode returns all the
	// bytes to write, given the time left.
	Method    string
	RequestID string
	Encode    func(left time.Duration) []byte
	// Deadline is when the call times out.
	Deadline time.Time
	// IdleTimeout bounds how long the connection is kept idle afterwards.
	IdleTimeout time.Duration
	// MaxBodyBytes bounds the response's body; 0 means 8 MB.
	MaxBodyBytes int
	// NonIdempotent calls must not run twice, so each opens a connection: the server
	// may be closing a kept one, and bytes that belong to no request may come on it.
	NonIdempotent bool
	// Hold, if set, reserves the memory of the response's body of a size in bytes. If
	// it returns false, the call fails.
	Hold func(size int) bool
	// Guard, if set, is called right before the first byte is written. If it
	// returns false, the call is not sent.
	Guard func() bool
}

var (
	errDeadlinePassed = errors.New("the deadline passed before the request was sent")
	errGuardRefused   = errors.New("the server took no more requests when this one was to be sent")
)

// IsWithheld reports whether a call was not sent for a reason on this host: its
// time had passed, or it was cancelled or no longer allowed.
func IsWithheld(err error) bool {
	return errors.Is(err, errDeadlinePassed) || errors.Is(err, errGuardRefused) || errors.Is(err, context.Canceled)
}

// Do makes the call once, without retries.
func (p *Pool) Do(ctx context.Context, call Call) (*Response, Outcome, error) {
	c := p.takeIdle(call.Endpoint, defaultIdleTimeout)
	if c != nil && call.NonIdempotent {
		p.close(c) // the number of connections to the server stays
		c = nil
	}
	connected := c == nil
	if connected {
		var err error
		if c, err = p.dial(ctx, call.Endpoint); err != nil {
			return nil, NotSent, err
		}
	}
	left := call.Deadline.Sub(p.opts.Now())
	if left <= 0 || ctx.Err() != nil {
		p.close(c)
		return nil, NotSent, errDeadlinePassed
	}
	if call.Guard != nil && !call.Guard() {
		p.close(c)
		return nil, NotSent, errGuardRefused
	}
	response, outcome, err := p.exchange(ctx, c, call, left)
	if response != nil {
		response.Connected = connected
	}
	return response, outcome, err
}

func (p *Pool) exchange(ctx context.Context, c *conn, call Call, left time.Duration) (*Response, Outcome, error) {
	_ = c.SetDeadline(time.Now().Add(left))
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	written := writeRequest(c, call.Encode(left))
	response, keep, err := p.readResponse(c, call)
	stopped := stop()
	if err != nil {
		p.close(c)
		return nil, failureOutcome(ctx, err), err
	}
	select {
	case werr := <-written:
		keep = keep && werr == nil
	default:
		keep = false // the server responded before it read the whole request
	}
	if !keep || !stopped || c.r.Buffered() > 0 {
		p.close(c)
		return response, Done, nil
	}
	_ = c.SetDeadline(time.Time{})
	c.idleTimeout = min(keepAliveTimeout(response.Header, defaultIdleTimeout), call.IdleTimeout)
	c.hasCarried = true
	p.putIdle(c)
	return response, Done, nil
}

// writeRequest writes a request, a long one on a goroutine of its own while the
// response is read. The channel gets the result; after a failed write, reading
// fails too.
func writeRequest(c *conn, b []byte) <-chan error {
	written := make(chan error, 1)
	write := func() {
		_, err := c.Write(b)
		written <- err
	}
	if len(b) < asyncWriteBytes {
		write()
	} else {
		go write()
	}
	return written
}

func failureOutcome(ctx context.Context, err error) Outcome {
	switch {
	case ctx.Err() != nil:
		return Cancelled
	case isTimeout(err):
		return TimedOut
	}
	return Broken
}
