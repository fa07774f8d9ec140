package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	figmast "github.com/figmast/figmast"
)

// comeBack is when a host that is starting or leaving wants the caller to try
// another host.
const comeBack = 200 * time.Millisecond

func invalid(field, detail string) *figmast.Problem {
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
		Outcome: figmast.NotRun, RetryAfterMs: comeBack.Milliseconds(),
	}
}

// statusCallerGone is logged and counted; the caller seldom reads it.
const statusCallerGone = 499

// finish writes an answer or a problem; there is neither when the caller went
// away.
func (s *server) finish(w http.ResponseWriter, id string, answer any, ok bool, p *figmast.Problem) {
	switch {
	case p != nil:
		s.refuse(w, id, p)
	case ok:
		s.write(w, http.StatusOK, "application/json", answer)
	default:
		s.refuse(w, id, &figmast.Problem{Title: "the caller went away", Status: statusCallerGone, Step: "answer", Outcome: figmast.Unknown})
	}
}

func (s *server) refuse(w http.ResponseWriter, id string, p *figmast.Problem) {
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
	s.write(w, p.Status, "application/problem+json", p)
}

func (s *server) write(w http.ResponseWriter, status int, contentType string, body any) {
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
