package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	figmast "github.com/figmast/figmast"
)

// unavailableRetryAfter is the delay after which a caller should retry, at another
// host, a request that this host has refused because it is unavailable.
const unavailableRetryAfter = 200 * time.Millisecond

func badRequest(field, detail string) *figmast.Problem {
	return &figmast.Problem{
		Title: "bad request", Status: http.StatusBadRequest, Field: field,
		Detail: field + ": " + detail, Step: "decode", Outcome: figmast.NotRun,
	}
}

func withStatus(p *figmast.Problem, status int) *figmast.Problem {
	p.Status = status
	return p
}

func unavailable(title, step string) *figmast.Problem {
	return &figmast.Problem{
		Title: title, Status: http.StatusServiceUnavailable, Step: step,
		Outcome: figmast.NotRun, RetryAfterMs: unavailableRetryAfter.Milliseconds(),
	}
}

// statusCallerGone is the status of a request whose caller has disconnected. It is
// for metrics, since the caller rarely reads it.
const statusCallerGone = 499

// respond writes the answer or the problem. There is neither if the caller has
// disconnected.
func (s *server) respond(w http.ResponseWriter, id string, answer any, ok bool, p *figmast.Problem) {
	switch {
	case p != nil:
		s.writeProblem(w, id, p)
	case ok:
		s.writeJSON(w, http.StatusOK, "application/json", answer)
	default:
		s.writeProblem(w, id, &figmast.Problem{Title: "the caller went away", Status: statusCallerGone, Step: "answer", Outcome: figmast.Unknown})
	}
}

func (s *server) writeProblem(w http.ResponseWriter, id string, p *figmast.Problem) {
	p.RequestID = id
	s.Metrics.GetOrCreateCounter(fmt.Sprintf(`figmast_problems_total{status="%d"}`, p.Status)).Inc()
	if p.Type == "" {
		p.Type = "about:blank"
	}
	if p.Peer == "" {
		p.Peer = s.Host
	}
	if p.RetryAfterMs > 0 {
		seconds := (p.RetryAfterMs + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	s.writeJSON(w, p.Status, "application/problem+json", p)
}

func (s *server) writeJSON(w http.ResponseWriter, status int, contentType string, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
		b = []byte(`{"type":"about:blank","title":"the answer cannot be encoded","status":500,"outcome":"unknown"}`)
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(s.WriteTimeout))
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set(figmast.HeaderHost, s.Host)
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
