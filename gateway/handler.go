package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/http1"
	"github.com/figmast/figmast/route"
)

const (
	// bodyBytes bounds a request's body while no configuration says how long
	// it may be.
	bodyBytes = 1 << 20
	// startRetryAfter is when to come back to a host that knows no
	// configuration yet; it asks for one several times a second.
	startRetryAfter = 300 * time.Millisecond
)

// door takes callers' requests.
type door struct {
	runner   *runner
	headers  Headers
	log      *log.Logger
	counts   *counters
	draining atomic.Bool
	active   atomic.Int64

	mu    sync.Mutex
	lines limiter
}

// outcome is how a request ended, for its log line.
type outcome struct {
	status int
	reason string
	finish forward.Finish
	// content is the request's fingerprint; all attempts of a caller share it.
	content uint64
}

// ServeHTTP implements http.Handler.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.active.Add(1)
	defer d.active.Add(-1)
	began := d.runner.now()
	p := d.runner.picture.Load()
	if d.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	var out outcome
	var rt *route.Route
	switch {
	case p == nil || p.Config == nil:
		out = d.refuse(w, startRetryAfter, "no configuration is known")
	default:
		target := originForm(r.RequestURI)
		path, _, _ := strings.Cut(target, "?")
		if rt = p.Config.Match(r.Host, path); rt == nil {
			out = d.plain(w, http.StatusNotFound, "no route matches")
			break
		}
		out = d.forward(w, r, rt, p.Config, target, began)
	}
	d.done(r, rt, p, out, d.runner.now().Sub(began))
}

// originForm drops the scheme and the host of a target in absolute form.
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

func (d *door) forward(w http.ResponseWriter, r *http.Request, rt *route.Route, c *route.Config, target string, began time.Time) outcome {
	body, err := readBody(w, r, c.Limits.BodyBytes)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return d.plain(w, http.StatusRequestEntityTooLarge, "the body is too large")
	case err != nil:
		w.Header().Set("Connection", "close")
		return d.plain(w, http.StatusBadRequest, "the body did not arrive: "+err.Error())
	}
	q := &callerRequest{
		id: r.Header.Get(d.headers.RequestID), method: r.Method, route: rt, waits: rt.Timeout,
		fingerprint: fingerprintOf(r, target, body),
		head:        newHead(r, target, d.headers), body: body, hasBody: r.ContentLength != 0 || r.Header.Get("Content-Length") != "",
	}
	if ms, err := strconv.ParseFloat(r.Header.Get(d.headers.DeadlineMs), 64); err == nil {
		q.waits = time.Duration(ms * float64(time.Millisecond))
	}
	q.deadline = began.Add(min(q.waits, rt.Timeout))
	if !q.deadline.After(d.runner.now()) {
		return d.refuse(w, 0, "the deadline has passed")
	}
	f, ok := d.runner.run(r.Context(), q)
	if !ok {
		return outcome{reason: "the caller went away", content: q.fingerprint}
	}
	out := d.respond(w, f)
	out.content = q.fingerprint
	return out
}

func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if limit <= 0 {
		limit = bodyBytes
	}
	// Others are read as far as the limit, or a caller that still sends might
	// not see the answer.
	if r.ContentLength > limit && r.Header.Get("Expect") != "" {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

// respond gives the caller its answer.
func (d *door) respond(w http.ResponseWriter, f forward.Finish) outcome {
	var out outcome
	switch f.Verdict {
	case forward.PassThrough:
		out = d.pass(w, f.Answer.(*http1.Answer))
	case forward.Merged:
		out = d.merged(w, f)
	case forward.Refused:
		out = d.refuse(w, f.RetryAfter, f.Reason)
	case forward.Failed:
		setRetryAfter(w, f.RetryAfter)
		out = d.plain(w, http.StatusBadGateway, f.Reason)
	case forward.Expired:
		out = d.plain(w, http.StatusGatewayTimeout, f.Reason)
	}
	out.finish = f
	return out
}

// pass hands on a backend server's answer unchanged. A status that promises
// that the request has not run is kept back where the server does not say so.
func (d *door) pass(w http.ResponseWriter, a *http1.Answer) outcome {
	for _, s := range promises {
		if a.Status == s {
			return d.plain(w, http.StatusBadGateway, fmt.Sprintf("the server answered %d and may have run the request", s))
		}
	}
	h := w.Header()
	for _, name := range endToEnd(a.Header) {
		if !strings.EqualFold(name, d.headers.Leaving) { // it concerns this host alone
			h[name] = a.Header[name]
		}
	}
	noSniffing(h)
	if a.Status != http.StatusNoContent && a.Status != http.StatusNotModified {
		length := strconv.Itoa(len(a.Body))
		if stated := a.Header.Get("Content-Length"); stated != "" {
			length = stated // of a HEAD request the body is empty
		}
		h.Set("Content-Length", length)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a caller that has left is seen by its context
	return outcome{status: a.Status}
}

// noSniffing keeps net/http from guessing a content type.
func noSniffing(h http.Header) {
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
}

func (d *door) merged(w http.ResponseWriter, f forward.Finish) outcome {
	h := w.Header()
	h.Set(d.headers.Signatures, strings.Join(f.Signatures, ", "))
	if f.Missing > 0 {
		h.Set(d.headers.Missing, strconv.Itoa(f.Missing))
	}
	noSniffing(h)
	h.Set("Content-Length", strconv.Itoa(len(f.Body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(f.Body) // a caller that has left is seen by its context
	return outcome{status: http.StatusOK}
}

// refuse tells a caller that its request has not run.
func (d *door) refuse(w http.ResponseWriter, after time.Duration, reason string) outcome {
	setRetryAfter(w, after)
	return d.plain(w, http.StatusServiceUnavailable, reason)
}

func setRetryAfter(w http.ResponseWriter, after time.Duration) {
	if after > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
}

func (d *door) plain(w http.ResponseWriter, status int, reason string) outcome {
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(reason)+1))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, reason+"\n") // a caller that has left is seen by its context
	return outcome{status: status, reason: reason}
}

// done counts a request and writes its line.
func (d *door) done(r *http.Request, rt *route.Route, p *route.Topology, out outcome, took time.Duration) {
	name, version := "none", int64(0)
	if rt != nil {
		name = rt.Name
	}
	if p != nil && p.Config != nil {
		version = p.Config.Version
	}
	d.counts.request(name, out.status, took)
	d.mu.Lock()
	skipped, ok := d.lines.admit(d.runner.now())
	d.mu.Unlock()
	if !ok {
		return
	}
	fields := []any{
		"request", r.Header.Get(d.headers.RequestID), "route", name, "config", version,
		"view_age_ms", d.runner.viewAge().Milliseconds(), "status", out.status, "took_ms", took.Milliseconds(),
	}
	if out.reason != "" {
		fields = append(fields, "reason", out.reason)
	}
	if out.content != 0 && (out.reason != "" || len(out.finish.Trace) > 0) {
		fields = append(fields, "content", crash.FormatFingerprint(out.content))
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
	d.log.Info("request", fields...)
}
