package gateway

import (
	"fmt"
	"math"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/forward"
	"github.com/figmast/figmast/http1"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// callerRequest is a caller's request in the form in which it is forwarded.
type callerRequest struct {
	id     string
	method string
	route  *route.Route
	// callerTimeout is how long the caller says that it waits, or the route's
	// timeout if it says nothing. deadline is when the shorter of the two ends.
	callerTimeout time.Duration
	deadline      time.Time
	// arrivedAt is when the request arrived, at the host that has handed it over if
	// guest is set. configVersion is the version of the configuration that route is
	// of.
	arrivedAt     time.Time
	configVersion int64
	guest         *guest
	fingerprint   uint64
	// head holds the request line and the headers that are the same for every
	// backend server.
	head []byte
	body []byte
	// hasBody is true if the caller declared a body, even an empty one.
	hasBody bool
	// hold reserves the memory of an answer of a size in bytes.
	hold func(size int) bool
}

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns the sorted names of the headers to forward: all
// except the hop-by-hop headers and those that Connection names.
func endToEndHeaders(h http.Header) []string {
	named := make(map[string]bool)
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	names := make([]string, 0, len(h))
	for name := range h {
		if !named[name] && !slices.Contains(hopByHopHeaders, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// encodeHead returns the request line and the headers that are the same for
// every backend server.
func encodeHead(r *http.Request, target string, h Headers) []byte {
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for _, name := range endToEndHeaders(r.Header) {
		if strings.EqualFold(name, h.DeadlineMs) || strings.EqualFold(name, h.ExpectServer) {
			continue
		}
		for _, v := range r.Header[name] {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	return b
}

// encode returns the request as it is sent to one backend server.
func (q *callerRequest) encode(h Headers, server string, left time.Duration) []byte {
	b := make([]byte, 0, len(q.head)+len(q.body)+128)
	b = append(b, q.head...)
	b = append(b, h.DeadlineMs...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, max(left.Milliseconds(), 1), 10)
	b = append(b, "\r\n"...)
	b = append(b, h.ExpectServer...)
	b = append(b, ": "...)
	b = append(b, server...)
	b = append(b, "\r\n"...)
	if q.hasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(q.body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, q.body...)
}

// hashRequest returns a request's fingerprint: a hash of its method, host,
// target and body.
func hashRequest(r *http.Request, target string, body []byte) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// newReply converts the result of a call to a reply for the engine.
func (r *runner) newReply(a *http1.Response, outcome http1.Outcome, err error) forward.Reply {
	switch outcome {
	case http1.Done:
		return r.replyFromResponse(a)
	case http1.NotSent:
		return forward.Reply{Outcome: forward.NotSent, Unreachable: http1.IsConnRefused(err), Withheld: http1.IsWithheld(err), Detail: formatDetail("not sent", err)}
	case http1.TimedOut:
		return forward.Reply{Outcome: forward.TimedOut, Detail: "timed out"}
	case http1.Cancelled:
		return forward.Reply{Outcome: forward.Cancelled, Detail: "given up"}
	case http1.Broken:
	}
	return forward.Reply{Outcome: forward.Broken, Detail: formatDetail("broken", err)}
}

func formatDetail(what string, err error) string {
	if err == nil {
		return what
	}
	return what + ": " + err.Error()
}

// notRunStatuses promise a caller that its request has not run.
var notRunStatuses = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

func (r *runner) replyFromResponse(a *http1.Response) forward.Reply {
	reply := r.classifyResponse(a)
	reply.Connected, reply.Unidentified = a.Connected, a.Unidentified
	if a.Unidentified && reply.Outcome == forward.Answered {
		return forward.Reply{Outcome: forward.Broken, Detail: "status " + strconv.Itoa(a.Status) + " without the request's ID"}
	}
	if a.Status == http.StatusServiceUnavailable {
		var fault string
		if reply.Backoff, fault = parseRetryAfter(a.Header); reply.Backoff > 0 {
			reply.Detail += ", back off for " + reply.Backoff.String()
		}
		reply.Detail += fault
	}
	// A 421 comes from another server at the same address; its notices do not
	// concern the server that was called.
	if !reply.Misdirected {
		reply.Leaving = a.Header.Get(r.headers.Leaving) == leavingValue
		reply.Limit, reply.InvalidLimit = parseRequestLimit(a.Header.Values(r.headers.RequestLimit))
	}
	return reply
}

// leavingValue is the value of the Leaving header on responses of a server that
// is about to leave.
const leavingValue = "1"

// maxLoggedValue bounds how much of an invalid header value is logged.
const maxLoggedValue = 40

// parseNonNegative parses a header value that is a number of at least 0, which may
// be infinite.
func parseNonNegative(value string) (number float64, ok bool) {
	number, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	return number, err == nil && number >= 0 // false for NaN too
}

// parseRetryAfter returns for how long a server that rejected a request wants no
// more of them, and a description of an invalid header value, if there is one. Of
// several values it returns the longest, and at most policy.MaxServerBackoff.
func parseRetryAfter(h http.Header) (d time.Duration, fault string) {
	for _, v := range h.Values("Retry-After") {
		seconds, ok := parseNonNegative(v)
		if !ok {
			fault = fmt.Sprintf(", Retry-After %.*q is no number of seconds", maxLoggedValue, v)
			continue
		}
		d = max(d, time.Duration(min(seconds, policy.MaxServerBackoff.Seconds())*float64(time.Second)))
	}
	return d, fault
}

// parseRequestLimit returns the request limit that the values of the header name,
// and the last invalid value in quotes, if there is one. Of several values the
// lowest holds. If all values are invalid, the limit is unknown.
func parseRequestLimit(values []string) (limit route.RequestLimit, invalid string) {
	if len(values) == 0 {
		return route.NoLimit, ""
	}
	for _, v := range values {
		rate, ok := parseNonNegative(v)
		if !ok || math.IsInf(rate, 0) {
			invalid = fmt.Sprintf("%.*q", maxLoggedValue, v)
			continue
		}
		if limit.State != route.Limited || rate < limit.Rate {
			limit = route.LimitedTo(rate)
		}
	}
	return limit, invalid
}

// classifyResponse determines from a response whether the request ran and
// whether it succeeded. A success without a signature is not a backend server's.
func (r *runner) classifyResponse(a *http1.Response) forward.Reply {
	refused := a.Header.Get(r.headers.NotRun) != "" && slices.Contains(notRunStatuses, a.Status)
	if refused || a.Status == http.StatusMisdirectedRequest {
		return forward.Reply{Outcome: forward.NotRun, Status: a.Status, Misdirected: a.Status == http.StatusMisdirectedRequest, Detail: "not run, status " + strconv.Itoa(a.Status)}
	}
	signature := a.Header.Get(r.headers.Signature)
	isSuccess := a.Status >= 200 && a.Status < 300
	if isSuccess && signature == "" {
		return forward.Reply{Outcome: forward.Broken, Detail: "a success without a signature"}
	}
	return forward.Reply{
		Outcome: forward.Answered, Status: a.Status, OK: isSuccess, Signature: signature, Body: a.Body, Answer: a,
		Detail: "status " + strconv.Itoa(a.Status),
	}
}
