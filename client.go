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

// Limits and wait times of the client.
const (
	maxAnswerBytes = 64 << 20
	// ticketExpiryMargin is how long before its expiry a ticket is no longer
	// used for a new command.
	ticketExpiryMargin = 10 * time.Second
	// defaultRetryWait is the wait between attempts if the host gives none.
	defaultRetryWait = 50 * time.Millisecond
	// jitterDivisor limits the jitter: a wait is extended by a random time of at
	// most wait/jitterDivisor.
	jitterDivisor = 4
)

// ClientOptions configure a Client.
type ClientOptions struct {
	// Hosts are the addresses of hosts, or of a load balancer in front of them.
	// Each is an IP address and port.
	Hosts []string
	// HTTP makes the requests; nil means a client that NewClient creates. It must
	// neither follow redirects nor retry requests.
	HTTP *http.Client
	// TicketsAhead is the number of unused tickets to keep for each service that
	// commands have been sent to; 0 means DefaultTicketsAhead.
	TicketsAhead int
	// Timeout limits a request whose context has no deadline; 0 means
	// DefaultTimeout.
	Timeout time.Duration
	// TryTimeout limits one attempt at one host; 0 means DefaultTryTimeout. A
	// command continues on the hosts after the timeout, and the next attempt
	// waits for the same command. A query gets at least half of the remaining
	// time, because another attempt starts it from the beginning.
	TryTimeout time.Duration
}

// Client sends queries and commands to hosts. It is safe for concurrent use.
// Every error that Query and Command return is a *Problem, whose Outcome says
// whether the request ran.
type Client struct {
	opts     ClientOptions
	nextHost atomic.Uint64
	tickets  ticketCache
	// refusedDeadlines holds deadlines in milliseconds that a service refused
	// because they exceed its maximum, by service and verb.
	refusedDeadlines sync.Map
}

// NewClient returns a Client. Call Close to release its resources.
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
	c.nextHost.Store(rand.Uint64())
	c.tickets.init(c)
	return c, nil
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// maxIdleConnsPerHost is the number of idle connections to keep to each host.
const maxIdleConnsPerHost = 64

func newHTTP() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: time.Minute},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Close discards the unused tickets and closes idle connections.
func (c *Client) Close() {
	c.tickets.close()
	c.opts.HTTP.CloseIdleConnections()
}

// Query sends a query to all leaves of a service. It retries at other hosts until
// ctx is done.
func (c *Client) Query(ctx context.Context, service string, q QueryRequest) (*QueryAnswer, error) {
	ctx, cancel := c.withDeadline(ctx)
	defer cancel()
	hosts := c.hostsInOrder()
	var last *Problem
	for attempt := 0; ; attempt++ {
		ans := new(QueryAnswer)
		p := c.call(ctx, hosts[attempt%len(hosts)], service, queryVerb, q, ans)
		if p == nil {
			return ans, nil
		}
		if !p.canRetry() {
			return nil, p
		}
		last = p
		if !sleep(ctx, c.retryWait(p, attempt)) {
			return nil, last.withContextError(ctx, last.Outcome)
		}
	}
}

// withDeadline returns a context that has a deadline, which is that of ctx or else
// the default timeout.
func (c *Client) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.opts.Timeout)
}

// hostsInOrder returns the hosts in the order of attempts. Each call starts with
// the next host.
func (c *Client) hostsInOrder() []string {
	n := len(c.opts.Hosts)
	start := int(c.nextHost.Add(1) % uint64(n))
	return append(append(make([]string, 0, n), c.opts.Hosts[start:]...), c.opts.Hosts[:start]...)
}

// retryWait returns how long to wait before the next attempt. If the host gave no
// wait, there is none until every host has been tried.
func (c *Client) retryWait(p *Problem, attempt int) time.Duration {
	wait := time.Duration(p.RetryAfterMs) * time.Millisecond
	if wait == 0 && attempt+1 < len(c.opts.Hosts) {
		return 0
	}
	wait = max(wait, defaultRetryWait)
	return wait + rand.N(wait/jitterDivisor+1)
}

// sleep waits for d and returns true. It returns false if ctx ends during the wait,
// and does so at once if the deadline of ctx passes within d.
func sleep(ctx context.Context, d time.Duration) bool {
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

// Verbs of the caller interface, which are the last part of the URL path.
const (
	queryVerb   = "query"
	commandVerb = "command"
	ticketsVerb = "tickets"
)

// deadlineTolerance is the part of a refused deadline by which a later one may be
// shorter and is taken to be refused too: the time left differs a little between
// requests with the same timeout, and shrinks from attempt to attempt.
const deadlineTolerance = 10

// call makes one attempt at one host, with the remaining time as the deadline. If
// the service refuses the deadline as too long, call sends the request again without
// one, so that the operation's default applies. It remembers the refused deadline
// and sends none for later requests with about as much time or more.
func (c *Client) call(ctx context.Context, host, service, verb string, body, answer any) *Problem {
	remaining := remainingMs(ctx)
	key := service + "/" + verb
	if refused, ok := c.refusedDeadlines.Load(key); ok && remaining >= refused.(int64)-refused.(int64)/deadlineTolerance {
		return c.post(ctx, host, service, verb, body, answer, 0)
	}
	p := c.post(ctx, host, service, verb, body, answer, remaining)
	if p == nil || p.Field != HeaderDeadline {
		return p
	}
	c.refusedDeadlines.Store(key, remaining)
	return c.post(ctx, host, service, verb, body, answer, 0)
}

// remainingMs returns the time until the deadline in milliseconds, at least 1.
func remainingMs(ctx context.Context) int64 {
	end, _ := ctx.Deadline()
	return max(time.Until(end).Milliseconds(), 1)
}

// attemptTimeout returns the timeout of one attempt.
func (c *Client) attemptTimeout(ctx context.Context, verb string) time.Duration {
	if verb != queryVerb {
		return c.opts.TryTimeout
	}
	return max(c.opts.TryTimeout, time.Duration(remainingMs(ctx))*time.Millisecond/2)
}

// post sends the request. The deadline is in milliseconds; 0 means to send none.
func (c *Client) post(ctx context.Context, host, service, verb string, body, answer any, deadline int64) *Problem {
	ctx, cancel := context.WithTimeout(ctx, c.attemptTimeout(ctx, verb))
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
	// Without GetBody net/http cannot resend the request by itself after a
	// connection failure.
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
		return noAnswerProblem(host, "receive", err)
	}
	if resp.StatusCode == http.StatusOK {
		if err := json.Unmarshal(text, answer); err != nil {
			return noAnswerProblem(host, "decode", err)
		}
		return nil
	}
	p := new(Problem)
	if !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		return noAnswerProblem(host, "decode", fmt.Errorf("status %s", resp.Status))
	}
	if err := json.Unmarshal(text, p); err != nil {
		return noAnswerProblem(host, "decode", err)
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

// notSentProblem describes a request that no host received.
func notSentProblem(host, step string, err error) *Problem {
	return &Problem{
		Type: "about:blank", Title: "the host was not reached", Detail: err.Error(),
		Step: step, Peer: host, Outcome: Unknown, Unhandled: true, cause: err,
	}
}

// noAnswerProblem describes a request that a host may have received.
func noAnswerProblem(host, step string, err error) *Problem {
	return &Problem{
		Type: "about:blank", Title: "the host did not answer", Detail: err.Error(),
		Step: step, Peer: host, Outcome: Unknown, cause: err,
	}
}

func sendProblem(host string, err error) *Problem {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return notSentProblem(host, "connect", err)
	}
	return noAnswerProblem(host, "send", err)
}

// canRetry reports whether another attempt, now or later, may succeed.
func (p *Problem) canRetry() bool {
	return p.RetryAfterMs > 0 || p.cause != nil
}

// withContextError returns the problem to report after ctx has ended, with the
// given outcome and with the context's error as a cause.
func (p *Problem) withContextError(ctx context.Context, o Outcome) *Problem {
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
