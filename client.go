package figmast

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Defaults of ClientOptions.
const (
	DefaultTicketsAhead = 4
	DefaultTimeout      = 30 * time.Second
	DefaultTryTimeout   = 2 * time.Second
)

// Limits of the client.
const (
	maxAnswerBytes = 64 << 20
	// ticketMargin is how long before its expiry a ticket is not used anew.
	ticketMargin = 10 * time.Second
	// pauseBetween is the wait between tries where no host names one.
	pauseBetween = 50 * time.Millisecond
	// jitter is the part of a wait that is added at random at most.
	jitter = 4
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Hosts are the addresses of hosts, or of a balancer before them, each an
	// IP number and port.
	Hosts []string
	// HTTP makes the requests; nil means a client of its own. It must not
	// follow redirects or resend by itself.
	HTTP *http.Client
	// TicketsAhead is how many unused tickets are kept for each service that
	// commands have been sent to; 0 means DefaultTicketsAhead.
	TicketsAhead int
	// Timeout bounds a request whose context has no deadline; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// TryTimeout bounds one try at one host; 0 means DefaultTryTimeout. A
	// command goes on beyond it, and the next try joins it. A query gets at
	// least half of the time left, since another try begins it anew.
	TryTimeout time.Duration
}

// Client sends queries and commands to hosts. It is safe for concurrent use.
// Every error of Query and Command is a *Problem, whose Outcome tells what
// became of the request.
type Client struct {
	opts  ClientOptions
	first atomic.Uint64
	stash ticketStash
	// refused holds deadlines that were above what a service allows, in
	// milliseconds, by service and verb.
	refused sync.Map
}

// NewClient returns a Client; Close ends it.
func NewClient(opts ClientOptions) (*Client, error) {
	if len(opts.Hosts) == 0 {
		return nil, errors.New("client: no hosts")
	}
	if opts.HTTP == nil {
		opts.HTTP = newHTTP()
	}
	opts.TicketsAhead = orDefault(opts.TicketsAhead, DefaultTicketsAhead)
	opts.Timeout = orDefault(opts.Timeout, DefaultTimeout)
	opts.TryTimeout = orDefault(opts.TryTimeout, DefaultTryTimeout)
	c := &Client{opts: opts}
	c.first.Store(rand.Uint64())
	c.stash.init(c)
	return c, nil
}

func orDefault[T comparable](v, otherwise T) T {
	var zero T
	if v == zero {
		return otherwise
	}
	return v
}

// idleConnections is how many unused connections to a host are kept.
const idleConnections = 64

func newHTTP() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close gives up the unused tickets and closes idle connections.
func (c *Client) Close() {
	c.stash.close()
	c.opts.HTTP.CloseIdleConnections()
}

// Query asks every leaf of a service. It tries further hosts until ctx ends.
func (c *Client) Query(ctx context.Context, service string, q QueryRequest) (*QueryAnswer, error) {
	ctx, cancel := c.bounded(ctx)
	defer cancel()
	hosts := c.rotation()
	var last *Problem
	for try := 0; ; try++ {
		ans := new(QueryAnswer)
		p := c.call(ctx, hosts[try%len(hosts)], service, queryVerb, q, ans)
		if p == nil {
			return ans, nil
		}
		if !p.worthRepeating() {
			return nil, p
		}
		last = p
		if !pauseFor(ctx, c.wait(p, try)) {
			return nil, last.ended(ctx, last.Outcome)
		}
	}
}

// bounded returns ctx with a deadline.
func (c *Client) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.opts.Timeout)
}

// rotation returns the hosts in the order in which to try them.
func (c *Client) rotation() []string {
	n := len(c.opts.Hosts)
	at := int(c.first.Add(1) % uint64(n))
	return append(append(make([]string, 0, n), c.opts.Hosts[at:]...), c.opts.Hosts[:at]...)
}

// wait returns how long to wait before another try: what the host says, or
// nothing while there is a host not yet tried.
func (c *Client) wait(p *Problem, try int) time.Duration {
	wait := time.Duration(p.RetryAfterMs) * time.Millisecond
	if wait == 0 && try+1 < len(c.opts.Hosts) {
		return 0
	}
	wait = max(wait, pauseBetween)
	return wait + rand.N(wait/jitter+1)
}

// pauseFor waits and reports whether ctx has time left then.
func pauseFor(ctx context.Context, d time.Duration) bool {
	if end, ok := ctx.Deadline(); ok && time.Until(end) <= d {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Verbs of the interface, the last part of the path.
const (
	queryVerb   = "query"
	commandVerb = "command"
	ticketsVerb = "tickets"
)

// call makes one try at one host. Where the time left is above what the
// service allows, it is left to the service.
func (c *Client) call(ctx context.Context, host, service, verb string, body, answer any) *Problem {
	left := timeLeft(ctx)
	key := service + "/" + verb
	if least, ok := c.refused.Load(key); ok && left >= least.(int64) {
		return c.post(ctx, host, service, verb, body, answer, 0)
	}
	p := c.post(ctx, host, service, verb, body, answer, left)
	if p == nil || p.Field != HeaderDeadline {
		return p
	}
	c.refused.Store(key, left)
	return c.post(ctx, host, service, verb, body, answer, 0)
}

// timeLeft returns the milliseconds left, at least 1.
func timeLeft(ctx context.Context) int64 {
	end, _ := ctx.Deadline()
	return max(time.Until(end).Milliseconds(), 1)
}

// tryLimit bounds one try.
func (c *Client) tryLimit(ctx context.Context, verb string) time.Duration {
	if verb != queryVerb {
		return c.opts.TryTimeout
	}
	return max(c.opts.TryTimeout, time.Duration(timeLeft(ctx))*time.Millisecond/2)
}

// post sends the request, with its deadline in milliseconds unless that is 0.
func (c *Client) post(ctx context.Context, host, service, verb string, body, answer any, deadline int64) *Problem {
	ctx, cancel := context.WithTimeout(ctx, c.tryLimit(ctx, verb))
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return notSentProblem(host, "encode", err)
	}
	target := "http://" + host + "/v1/services/" + url.PathEscape(service) + "/" + verb
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(text))
	if err != nil {
		return notSentProblem(host, "encode", err)
	}
	// A connection that breaks must not make net/http send it again unseen.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	if deadline > 0 {
		req.Header.Set(HeaderDeadline, strconv.FormatInt(deadline, 10))
	}
	resp, err := c.opts.HTTP.Do(req)
	if err != nil {
		return sendProblem(host, err)
	}
	defer resp.Body.Close()
	return decode(host, resp, answer)
}

func decode(host string, resp *http.Response, answer any) *Problem {
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return lostProblem(host, "receive", err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(text, answer); err != nil {
			return lostProblem(host, "decode", err)
		}
		return nil
	}
	p := new(Problem)
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return lostProblem(host, "decode", fmt.Errorf("status %s", resp.Status))
	}
	if err := json.Unmarshal(text, p); err != nil {
		return lostProblem(host, "decode", err)
	}
	if p.RetryAfterMs == 0 {
		p.RetryAfterMs = retryAfterMs(resp.Header)
	}
	return p
}

func retryAfterMs(h http.Header) int64 {
	seconds, err := strconv.ParseInt(h.Get("Retry-After"), 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return seconds * 1000
}

// notSentProblem tells of a request that no host got.
func notSentProblem(host, step string, err error) *Problem {
	return &Problem{
		Type: "about:blank", Title: "the host was not reached", Detail: err.Error(),
		Step: step, Peer: host, Outcome: Unknown, Unhandled: true, cause: err,
	}
}

// lostProblem tells of a request that a host may have got.
func lostProblem(host, step string, err error) *Problem {
	return &Problem{
		Type: "about:blank", Title: "the host did not answer", Detail: err.Error(),
		Step: step, Peer: host, Outcome: Unknown, cause: err,
	}
}

func sendProblem(host string, err error) *Problem {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notSentProblem(host, "connect", err)
	}
	return lostProblem(host, "send", err)
}

// worthRepeating reports whether another try, now or later, may help.
func (p *Problem) worthRepeating() bool {
	return p.RetryAfterMs > 0 || p.cause != nil
}

// ended returns the problem as the caller gets it when its context has ended.
func (p *Problem) ended(ctx context.Context, o Outcome) *Problem {
	out := *p
	out.Outcome = o
	out.Unhandled = false
	err := ctx.Err()
	if err == nil {
		err = context.DeadlineExceeded
	}
	out.cause = errors.Join(err, p.cause)
	return &out
}
