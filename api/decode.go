package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
)

// Limits on what a caller may send.
const (
	MaxBodyBytes    = 1 << 20
	maxRequestIDLen = 128
	maxKeyLen       = 256
	maxTicketLen    = 1024
	maxWorth        = 1e9
	// DefaultBodyTimeout is how long a caller may take to send a body.
	DefaultBodyTimeout = 5 * time.Second
	// DefaultWriteTimeout is how long a caller may take to read an answer.
	DefaultWriteTimeout = 10 * time.Second
)

// open reads the request id and the body.
func (s *server) open(w http.ResponseWriter, r *http.Request, body any) (string, *figmast.Problem) {
	id, p := requestID(r)
	if p != nil {
		return id, p
	}
	if p := checkContentType(r.Header.Get("Content-Type")); p != nil {
		return id, p
	}
	b, err := readBody(w, r)
	if err != nil {
		return id, bodyProblem(err)
	}
	return id, decode(b, body)
}

// readBody reads the whole body. Then it lifts the read deadline that guard
// set: when it passed, the request's context would end.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes))
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return b, err
}

// decode reads one JSON object strictly.
func decode(b []byte, body any) *figmast.Problem {
	if p := checkKeys(b); p != nil {
		return p
	}
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	if err := dec.Decode(body); err != nil {
		return bodyProblem(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return invalid("body", "more than one JSON value")
	}
	return nil
}

// checkKeys refuses a body that is no object and fields that stand twice;
// encoding/json would take the last one, also of another case.
func checkKeys(b []byte) *figmast.Problem {
	dec := json.NewDecoder(bytes.NewReader(b))
	open, err := dec.Token()
	if err != nil {
		return bodyProblem(err)
	}
	if open != json.Delim('{') {
		return invalid("body", "not a JSON object")
	}
	seen := make(map[string]bool)
	for dec.More() {
		key, err := dec.Token()
		if err != nil {
			return bodyProblem(err)
		}
		name, _ := key.(string)
		folded := strings.ToLower(name)
		if seen[folded] {
			return invalid(clip(name), "stands twice")
		}
		seen[folded] = true
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return bodyProblem(err)
		}
	}
	return nil
}

func bodyProblem(err error) *figmast.Problem {
	var large *http.MaxBytesError
	var wrong *json.UnmarshalTypeError
	switch {
	case errors.As(err, &large):
		return withStatus(invalid("body", fmt.Sprintf("larger than %d bytes", large.Limit)), http.StatusRequestEntityTooLarge)
	case errors.As(err, &wrong) && wrong.Field != "":
		return invalid(wrong.Field, "a "+wrong.Value+" where a "+wrong.Type.String()+" belongs")
	case isTimeout(err):
		return withStatus(invalid("body", "not complete in time"), http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return invalid("body", "ends too early")
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return invalid(clip(strings.Trim(name, `"`)), "unknown")
	}
	return invalid("body", clip(err.Error()))
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// maxQuoted is how much of a caller's text a refusal repeats, in bytes.
const maxQuoted = 64

func clip(s string) string {
	if len(s) > maxQuoted {
		return strings.ToValidUTF8(s[:maxQuoted], "") + "..."
	}
	return s
}

// requestID returns the caller's request id, or a new one.
func requestID(r *http.Request) (string, *figmast.Problem) {
	id := r.Header.Get(figmast.HeaderRequestID)
	switch {
	case id == "":
		return uuid.NewString(), nil
	case len(id) > maxRequestIDLen:
		return uuid.NewString(), invalid(figmast.HeaderRequestID, fmt.Sprintf("longer than %d bytes", maxRequestIDLen))
	case !printable(id):
		return uuid.NewString(), invalid(figmast.HeaderRequestID, "not printable ASCII without spaces")
	}
	return id, nil
}

func printable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// checkContentType lets a missing one pass.
func checkContentType(text string) *figmast.Problem {
	if text == "" {
		return nil
	}
	kind, _, err := mime.ParseMediaType(text)
	if err != nil || kind != "application/json" {
		return withStatus(invalid("Content-Type", "not application/json"), http.StatusUnsupportedMediaType)
	}
	return nil
}

func checkValues(u figmast.Urgency, worth float64) *figmast.Problem {
	switch u {
	case "", figmast.Urgent, figmast.Normal, figmast.Bulk:
	default:
		return invalid("urgency", "none of urgent, normal, bulk")
	}
	if !(worth >= 0 && worth <= maxWorth) || math.IsNaN(worth) {
		return invalid("worth", fmt.Sprintf("not in 0 to %g", float64(maxWorth)))
	}
	return nil
}

func checkCommand(c figmast.CommandRequest) *figmast.Problem {
	switch {
	case c.ShardKey == "":
		return invalid("shard_key", "missing")
	case len(c.ShardKey) > maxKeyLen:
		return invalid("shard_key", fmt.Sprintf("longer than %d bytes", maxKeyLen))
	case c.Key != "":
		return invalid("key", "a key without a ticket cannot be run at most once; take a ticket")
	case c.Ticket == "":
		return invalid("ticket", "missing")
	case len(c.Ticket) > maxTicketLen:
		return invalid("ticket", fmt.Sprintf("longer than %d bytes", maxTicketLen))
	}
	return checkValues(c.Urgency, c.Worth)
}

// timeLeft returns the time that the caller gives the request.
func timeLeft(r *http.Request, op document.Operation) (time.Duration, *figmast.Problem) {
	text := r.Header.Get(figmast.HeaderDeadline)
	if text == "" {
		return op.Deadline.Std(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, invalid(figmast.HeaderDeadline, "not a number of milliseconds above 0")
	}
	limit := op.MaxDeadline.Std()
	if ms > limit.Milliseconds() {
		return 0, invalid(figmast.HeaderDeadline, fmt.Sprintf("above the operation's limit of %v", limit))
	}
	return time.Duration(ms) * time.Millisecond, nil
}
