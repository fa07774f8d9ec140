package gateway

import (
	"fmt"
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

// callerRequest is a caller's request as it is passed on.
type callerRequest struct {
	id     string
	method string
	route  *route.Route
	// waits is how long the caller says it waits, deadline when it or the
	// route's timeout ends.
	waits       time.Duration
	deadline    time.Time
	fingerprint uint64
	// head holds the request line and the headers that all calls share.
	head []byte
	body []byte
	// hasBody is set where the caller stated a body, if an empty one.
	hasBody bool
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd returns the names of the headers that are passed on, in order.
func endToEnd(h http.Header) []string {
	named := make(map[string]bool)
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			named[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	names := make([]string, 0, len(h))
	for name := range h {
		if !named[name] && !slices.Contains(hopHeaders, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// newHead writes what all calls of a request share.
func newHead(r *http.Request, target string, own Headers) []byte {
	b := make([]byte, 0, 512)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for _, name := range endToEnd(r.Header) {
		if strings.EqualFold(name, own.DeadlineMs) || strings.EqualFold(name, own.ExpectServer) {
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

// bytes returns the request as one server gets it.
func (q *callerRequest) bytes(h Headers, server string, left time.Duration) []byte {
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

// fingerprintOf names what a request does.
func fingerprintOf(r *http.Request, target string, body []byte) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, target} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	return h.Sum64()
}

// reply tells the engine what a call brought.
func (r *runner) reply(a *http1.Answer, state http1.State, err error) forward.Reply {
	switch state {
	case http1.Done:
		return r.answered(a)
	case http1.NotSent:
		return forward.Reply{Outcome: forward.NotSent, Unreachable: http1.Refused(err), Detail: detail("not sent", err)}
	case http1.TimedOut:
		return forward.Reply{Outcome: forward.TimedOut, Detail: "timed out"}
	case http1.GivenUp:
		return forward.Reply{Outcome: forward.Cancelled, Detail: "given up"}
	case http1.Broken:
	}
	return forward.Reply{Outcome: forward.Broken, Detail: detail("broken", err)}
}

func detail(what string, err error) string {
	if err == nil {
		return what
	}
	return what + ": " + err.Error()
}

// promises are statuses that tell a caller that its request has not run.
var promises = []int{
	http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable,
}

func (r *runner) answered(a *http1.Answer) forward.Reply {
	reply := r.verdict(a)
	if a.Status == http.StatusServiceUnavailable {
		var fault string
		if reply.Backoff, fault = backoffOf(a.Header); reply.Backoff > 0 {
			reply.Detail += ", back off for " + reply.Backoff.String()
		}
		reply.Detail += fault
	}
	// A server at another's address speaks for itself only.
	reply.Leaving = !reply.Misdirected && a.Header.Get(r.headers.Leaving) == saysLeaving
	return reply
}

// saysLeaving is the value of the header by which a server says that it leaves.
const saysLeaving = "1"

// backoffOf returns how long a server that turned a request away wants none,
// and what is wrong with the header's value, if anything.
func backoffOf(h http.Header) (d time.Duration, fault string) {
	for _, v := range h.Values("Retry-After") {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
		if err != nil || !(seconds >= 0) { // a number that is not one is not 0 or more
			fault = fmt.Sprintf(", Retry-After %.40q is no number of seconds", v)
			continue
		}
		d = max(d, time.Duration(min(seconds, policy.MaxServerBackoff.Seconds())*float64(time.Second)))
	}
	return d, fault
}

// verdict tells what became of the request.
func (r *runner) verdict(a *http1.Answer) forward.Reply {
	refused := a.Header.Get(r.headers.NotRun) != "" && slices.Contains(promises, a.Status)
	if refused || a.Status == http.StatusMisdirectedRequest {
		return forward.Reply{Outcome: forward.NotRun, Status: a.Status, Misdirected: a.Status == http.StatusMisdirectedRequest, Detail: "not run, status " + strconv.Itoa(a.Status)}
	}
	signature := a.Header.Get(r.headers.Signature)
	ok := a.Status >= 200 && a.Status < 300 && signature != ""
	return forward.Reply{
		Outcome: forward.Answered, Status: a.Status, OK: ok, Signature: signature, Body: a.Body, Answer: a,
		Detail: "status " + strconv.Itoa(a.Status),
	}
}
