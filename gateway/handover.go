package gateway

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/http1"
	"github.com/figmast/figmast/route"
)

// Headers of requests that one host hands over to another, and of the answers.
// A host takes them only from other hosts.
const (
	// headerHandoverFrom holds the address of the host that hands over the request,
	// headerHandoverConfig the version of its configuration.
	headerHandoverFrom   = "Figmast-Handover-From"
	headerHandoverConfig = "Figmast-Handover-Config"
	// headerHandoverElapsed holds the milliseconds since the request arrived there,
	// headerHandoverCalls how many servers may have run each part of it.
	headerHandoverElapsed = "Figmast-Handover-Elapsed-Ms"
	headerHandoverCalls   = "Figmast-Handover-Calls"
	// headerHandoverResult holds the result, on the answer.
	headerHandoverResult = "Figmast-Handover-Result"
)

var handoverHeaders = []string{headerHandoverFrom, headerHandoverConfig, headerHandoverElapsed, headerHandoverCalls, headerHandoverResult}

const (
	// handoverHeaderTimeout bounds the time to read the head of a request from
	// another host, and handoverIdleTimeout how long its connection stays open
	// without one: longer than the pool of that host keeps it.
	handoverHeaderTimeout = 2 * time.Second
	handoverIdleTimeout   = 30 * time.Second
	// handoverHeaderBytes fits the callers' heads with the headers above.
	handoverHeaderBytes = 64 << 10
)

// guest describes a request that another host has handed over.
type guest struct {
	from          string
	configVersion int64
	elapsed       time.Duration
	priorCalls    int
}

// readGuest reads and removes the headers of a request from another host. It
// returns nil if they are missing or invalid.
func readGuest(h http.Header) *guest {
	version, versionErr := strconv.ParseInt(h.Get(headerHandoverConfig), 10, 64)
	elapsed, elapsedErr := strconv.ParseInt(h.Get(headerHandoverElapsed), 10, 64)
	calls, callsErr := strconv.Atoi(h.Get(headerHandoverCalls))
	g := &guest{from: h.Get(headerHandoverFrom), configVersion: version, elapsed: time.Duration(elapsed) * time.Millisecond, priorCalls: calls}
	removeHandoverHeaders(h)
	if versionErr != nil || elapsedErr != nil || callsErr != nil || g.from == "" || elapsed < 0 || calls < 0 {
		return nil
	}
	return g
}

func removeHandoverHeaders(h http.Header) {
	for _, name := range handoverHeaders {
		h.Del(name)
	}
}

// handoverServer returns the server for requests that other hosts hand over.
func (h *callerHandler) handoverServer() *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(h.serveGuest), ReadHeaderTimeout: handoverHeaderTimeout, IdleTimeout: handoverIdleTimeout,
		MaxHeaderBytes: handoverHeaderBytes, DisableGeneralOptionsHandler: true,
	}
}

// serveGuest serves a request that another host has handed over.
func (h *callerHandler) serveGuest(w http.ResponseWriter, r *http.Request) {
	g := readGuest(r.Header)
	if g == nil {
		x := h.newExchange(w, r)
		defer x.end()
		x.discardBody()
		h.respondText(x, http.StatusBadRequest, "the headers of the handover are invalid")
		return
	}
	h.serve(w, r, g)
}

// refuseGuest reports why a request of another host is not served, if it is not.
func (h *callerHandler) refuseGuest(g *guest, c *route.Config) (handover.Result, bool) {
	switch {
	case g == nil:
		return handover.Final, false
	case h.draining.Load():
		return handover.Busy, true
	case c == nil || c.Version < g.configVersion:
		return handover.Outdated, true
	}
	return handover.Final, false
}

// encodeHandover returns the request as it is sent to another host.
func (q *callerRequest) encodeHandover(h Headers, from string, version int64, calls int, now time.Time) []byte {
	b := make([]byte, 0, len(q.head)+len(q.body)+256)
	line, rest, _ := strings.Cut(string(q.head), "\r\n")
	b = append(b, line...)
	b = append(b, "\r\n"...)
	header := func(name, value string) {
		b = append(b, name...)
		b = append(b, ": "...)
		b = append(b, value...)
		b = append(b, "\r\n"...)
	}
	header(headerHandoverFrom, from)
	header(headerHandoverConfig, strconv.FormatInt(version, 10))
	header(headerHandoverElapsed, strconv.FormatInt(now.Sub(q.arrivedAt).Milliseconds(), 10))
	header(headerHandoverCalls, strconv.Itoa(calls))
	b = append(b, rest...)
	header(h.DeadlineMs, strconv.FormatInt(max(q.callerTimeout.Milliseconds(), 1), 10))
	if q.hasBody {
		header("Content-Length", strconv.Itoa(len(q.body)))
	}
	b = append(b, "\r\n"...)
	return append(b, q.body...)
}

// handOver hands over a request and passes the result to the engine.
func (r *runner) handOver(ctx context.Context, x forward.Handover, q *callerRequest) {
	defer r.goroutines.Done()
	response, outcome, err := r.peerPool.Do(ctx, http1.Call{
		Endpoint: http1.Endpoint{Address: net.JoinHostPort(x.Address, r.handoverPort)}, Method: q.method, RequestID: q.id,
		Deadline: q.deadline, NonIdempotent: !q.route.Idempotent, IdleTimeout: handoverIdleTimeout, Hold: q.hold,
		Encode: func(time.Duration) []byte {
			return q.encodeHandover(r.headers, r.address, q.configVersion, x.PriorCalls, r.now())
		},
	})
	reply := newHandoverReply(response, outcome, err)
	r.metrics.countHandover(reply.Result)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.engine.HandleHandover(r.now(), x.Run, x.Address, reply))
}

// newHandoverReply converts the answer of another host for the engine.
func newHandoverReply(a *http1.Response, outcome http1.Outcome, err error) forward.HandoverReply {
	switch outcome {
	case http1.NotSent:
		return forward.HandoverReply{Result: handover.Unreachable, Detail: formatDetail("not sent", err)}
	case http1.Broken, http1.TimedOut, http1.Cancelled:
		return forward.HandoverReply{Result: handover.Lost, Detail: formatDetail("no answer", err)}
	case http1.Done:
	}
	result, ok := handover.ParseResult(a.Header.Get(headerHandoverResult))
	if !ok {
		return forward.HandoverReply{Result: handover.Lost, Detail: "status " + strconv.Itoa(a.Status) + " without a result"}
	}
	reply := forward.HandoverReply{Result: result, Answer: a, Served: a.Status >= 200 && a.Status < 300, NotRun: slices.Contains(notRunStatuses, a.Status)}
	reply.RetryAfter, _ = parseRetryAfter(a.Header)
	return reply
}

// runHandovers starts the handovers that the engine has requested and takes back
// others. The caller holds mu.
func (r *runner) runHandovers(a forward.Actions) {
	for _, id := range a.Withdraw {
		if cancel := r.handovers[id]; cancel != nil {
			cancel()
			delete(r.handovers, id)
		}
	}
	for _, x := range a.Handover {
		pending := r.requests[x.Run]
		if pending == nil {
			continue
		}
		ctx, cancel := context.WithCancel(context.Background())
		if previous := r.handovers[x.Run]; previous != nil {
			previous()
		}
		r.handovers[x.Run] = cancel
		r.goroutines.Add(1)
		go r.handOver(ctx, x, pending.request)
	}
	for _, f := range a.Finish {
		if cancel := r.handovers[f.Run]; cancel != nil {
			cancel()
			delete(r.handovers, f.Run)
		}
	}
}

// probe tries to open a connection to a server and passes the result to the
// engine.
func (r *runner) probe(p forward.Probe) {
	defer r.goroutines.Done()
	err := r.pool.Connect(endpointOf(p.Target.Server), p.Target.IdleTimeout())
	r.metrics.countProbe(err)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perform(r.engine.HandleProbe(r.now(), err == nil))
}

// respondRelayed passes on the final answer of the host that had the request.
func (h *callerHandler) respondRelayed(w *exchange, a *http1.Response) outcome {
	writeResponse(w, a, func(name string) bool { return slices.Contains(handoverHeaders, name) })
	return outcome{status: a.Status}
}
