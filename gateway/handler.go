package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/http1"
	"github.com/figmast/figmast/intake"
	"github.com/figmast/figmast/internal/membuf"
	"github.com/figmast/figmast/route"
)

const (
	// defaultBodyLimit bounds a request body if the configuration sets no
	// limit.
	defaultBodyLimit = 1 << 20
	// noConfigRetryAfter is the Retry-After of a host that has no
	// configuration yet; the host asks for one several times a second.
	noConfigRetryAfter = 300 * time.Millisecond
	// noMemoryRetryAfter is the Retry-After of a host that has no memory for a
	// request's body; another host may have.
	noMemoryRetryAfter = 300 * time.Millisecond
)

// callerHandler serves callers' requests.
type callerHandler struct {
	runner   *runner
	headers  Headers
	conns    *callerConns
	log      *log.Logger
	metrics  *hostMetrics
	draining atomic.Bool
	active   atomic.Int64

	mu         sync.Mutex
	logLimiter lineLimiter
}

// outcome is how a request ended, for its log line.
type outcome struct {
	// status is 0 if nothing was answered.
	status int
	reason string
	finish forward.Finish
	// fingerprint is the request's; a caller's repeated attempts have the same.
	fingerprint uint64
	guest       *guest
}

// ServeHTTP implements http.Handler.
func (h *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	removeHandoverHeaders(r.Header)
	h.serve(w, r, nil)
}

// serve serves a request of a caller, or one that another host has handed over.
func (h *callerHandler) serve(w http.ResponseWriter, r *http.Request, g *guest) {
	h.active.Add(1)
	defer h.active.Add(-1)
	began := h.runner.now()
	x := h.newExchange(w, r)
	defer x.end()
	if !h.conns.enter(x.account, intake.Serving) {
		panic(http.ErrAbortHandler) // the connection was closed to make room
	}
	if g != nil {
		began = began.Add(-g.elapsed)
		w.Header().Set(headerHandoverResult, handover.Final.String())
	}
	topology := h.runner.topology.Load()
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	var out outcome
	var rt *route.Route
	var config *route.Config
	if topology != nil {
		config = topology.Config
	}
	result, isRefused := h.refuseGuest(g, config)
	switch {
	case isRefused:
		w.Header().Set(headerHandoverResult, result.String())
		x.discardBody()
		out = h.respondRefused(x, 0, "not taken from another host: "+result.String())
	case config == nil:
		x.discardBody()
		out = h.respondRefused(x, noConfigRetryAfter, "no configuration is known")
	default:
		target := originForm(r.RequestURI)
		path, _, _ := strings.Cut(target, "?")
		if rt = config.Match(r.Host, path); rt == nil {
			x.discardBody()
			out = h.respondText(x, http.StatusNotFound, "no route matches")
			break
		}
		out = h.forward(x, r, rt, config, target, began, g)
	}
	out.guest = g
	h.recordRequest(r, rt, config, out, h.runner.now().Sub(began))
	if out.status == 0 {
		// Otherwise net/http answers 200 to a caller that still reads.
		panic(http.ErrAbortHandler)
	}
}

// originForm strips the scheme and the host from a request target in absolute
// form.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	if i := strings.IndexAny(rest, "/?"); i >= 0 {
		if rest[i] == '?' {
			return "/" + rest[i:]
		}
		return rest[i:]
	}
	return "/"
}

func (h *callerHandler) forward(w *exchange, r *http.Request, rt *route.Route, c *route.Config, target string, began time.Time, g *guest) outcome {
	callerTimeout := rt.Timeout
	if ms, err := strconv.ParseFloat(r.Header.Get(h.headers.DeadlineMs), 64); err == nil {
		callerTimeout = time.Duration(ms * float64(time.Millisecond))
	}
	deadline := began.Add(min(callerTimeout, rt.Timeout))
	body, err := w.readBody(c.Limits.BodyBytes, deadline)
	if err != nil {
		return h.respondBodyFault(w, err)
	}
	q := &callerRequest{
		id: r.Header.Get(h.headers.RequestID), method: r.Method, route: rt, callerTimeout: callerTimeout, deadline: deadline, hold: w.holding.hold, arrivedAt: began, configVersion: c.Version, guest: g,
		fingerprint: hashRequest(r, target, body),
		head:        encodeHead(r, target, h.headers), body: body, hasBody: r.ContentLength != 0 || r.Header.Get("Content-Length") != "",
	}
	if !q.deadline.After(h.runner.now()) {
		return h.respondRefused(w, 0, "the deadline has passed")
	}
	f, ok := h.runner.run(r.Context(), q)
	if !ok {
		return outcome{reason: "the caller went away", fingerprint: q.fingerprint}
	}
	if g != nil {
		w.Header().Set(headerHandoverResult, f.Handover.String())
	}
	out := h.respond(w, f)
	out.fingerprint = q.fingerprint
	return out
}

// respondBodyFault answers a request whose body was not read; it has not run.
func (h *callerHandler) respondBodyFault(w *exchange, err error) outcome {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		w.discardBody()
		return h.respondText(w, http.StatusRequestEntityTooLarge, "the body is too large")
	}
	w.Header().Set("Connection", "close")
	w.discardBody()
	switch {
	case errors.Is(err, errEvicted):
		return outcome{reason: err.Error()}
	case errors.Is(err, membuf.ErrNoMemory):
		h.metrics.bodiesRefused.Inc()
		return h.respondRefused(w, noMemoryRetryAfter, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		return h.respondText(w, http.StatusRequestTimeout, "the body did not arrive before the deadline")
	}
	return h.respondText(w, http.StatusBadRequest, "the body did not arrive: "+err.Error())
}

// respond writes the response to a finished request.
func (h *callerHandler) respond(w *exchange, f forward.Finish) outcome {
	var out outcome
	w.releaseBody()
	switch f.Verdict {
	case forward.PassThrough:
		out = h.respondPassed(w, f.Answer.(*http1.Response))
	case forward.Merged:
		out = h.respondMerged(w, f)
	case forward.Relayed:
		out = h.respondRelayed(w, f.Answer.(*http1.Response))
	case forward.Refused:
		out = h.respondRefused(w, f.RetryAfter, f.Reason)
	case forward.Failed:
		setRetryAfter(w, f.RetryAfter)
		out = h.respondText(w, http.StatusBadGateway, f.Reason)
	case forward.Expired:
		out = h.respondText(w, http.StatusGatewayTimeout, f.Reason)
	}
	out.finish = f
	return out
}

// respondPassed passes on a backend server's response unchanged. A status that
// promises that the request has not run becomes 502, as the server did not
// confirm it: confirmed ones never get here.
func (h *callerHandler) respondPassed(w *exchange, a *http1.Response) outcome {
	for _, s := range notRunStatuses {
		if a.Status == s {
			return h.respondText(w, http.StatusBadGateway, fmt.Sprintf("the server answered %d and may have run the request", s))
		}
	}
	writeResponse(w, a, func(name string) bool { // meant for this host only
		return strings.EqualFold(name, h.headers.Leaving) || strings.EqualFold(name, h.headers.RequestLimit)
	})
	return outcome{status: a.Status}
}

// writeResponse writes a response without the headers that leaveOut selects.
func writeResponse(w *exchange, a *http1.Response, leaveOut func(name string) bool) {
	w.beginAnswer()
	header := w.Header()
	for _, name := range endToEndHeaders(a.Header) {
		if !leaveOut(name) {
			header[name] = a.Header[name]
		}
	}
	disableSniffing(header)
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		length := strconv.Itoa(len(a.Body))
		if declared := a.Header.Get("Content-Length"); declared != "" {
			length = declared // a response to HEAD declares a length without a body
		}
		header.Set("Content-Length", length)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a disconnected caller is detected through its context
}

// disableSniffing keeps net/http from guessing a content type.
func disableSniffing(header http.Header) {
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
}

func (h *callerHandler) respondMerged(w *exchange, f forward.Finish) outcome {
	w.beginAnswer()
	header := w.Header()
	header.Set(h.headers.Signatures, strings.Join(f.Signatures, ", "))
	if f.Missing > 0 {
		header.Set(h.headers.Missing, strconv.Itoa(f.Missing))
	}
	disableSniffing(header)
	header.Set("Content-Length", strconv.Itoa(len(f.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(f.Body) // a disconnected caller is detected through its context
	return outcome{status: http.StatusOK}
}

// respondRefused rejects a request that has not run.
func (h *callerHandler) respondRefused(w *exchange, after time.Duration, reason string) outcome {
	setRetryAfter(w, after)
	return h.respondText(w, http.StatusServiceUnavailable, reason)
}

func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

func (h *callerHandler) respondText(w *exchange, status int, reason string) outcome {
	w.beginAnswer()
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n") // a disconnected caller is detected through its context
	return outcome{status: status, reason: reason}
}

// recordRequest counts a request and logs it within the limit of log lines.
func (h *callerHandler) recordRequest(r *http.Request, rt *route.Route, config *route.Config, out outcome, took time.Duration) {
	name, version := "none", int64(0)
	if rt != nil {
		name = rt.Name
	}
	if config != nil {
		version = config.Version
	}
	h.metrics.observeRequest(name, out.status, took)
	h.mu.Lock()
	skipped, ok := h.logLimiter.admit(h.runner.now())
	h.mu.Unlock()
	if !ok {
		return
	}
	fields := []any{
		"request", r.Header.Get(h.headers.RequestID), "route", name, "config", version,
		"view_age_ms", h.runner.viewAge().Milliseconds(), "status", out.status, "took_ms", took.Milliseconds(),
	}
	if out.reason != "" {
		fields = append(fields, "reason", out.reason)
	}
	if out.fingerprint != 0 && (out.reason != "" || len(out.finish.Trace) > 0) {
		fields = append(fields, "content", crash.FormatFingerprint(out.fingerprint))
	}
	if out.guest != nil {
		fields = append(fields, "handed_over_by", out.guest.from)
	}
	if out.finish.Missing > 0 {
		fields = append(fields, "missing", out.finish.Missing)
	}
	if len(out.finish.Trace) > 0 {
		fields = append(fields, "decisions", strings.Join(out.finish.Trace, "; "))
	}
	if skipped > 0 {
		fields = append(fields, "lines_left_out", skipped)
	}
	h.log.Info("request", fields...)
}
