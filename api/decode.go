package api

import (
	"bytes"
	"context"
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
	"github.com/figmast/figmast/internal/membuf"
)

// Limits on requests of callers.
const (
	MaxBodyBytes    = 1 << 20
	maxRequestIDLen = 128
	maxKeyLen       = 256
	maxTicketLen    = 1024
	maxWorth        = 1e9
	// DefaultBodyTimeout limits the time in which a caller sends a body.
	DefaultBodyTimeout = 5 * time.Second
	// DefaultBodyMemory limits the bytes of all bodies that are held, beyond
	// freeBodyBytes of each.
	DefaultBodyMemory = 64 << 20
	freeBodyBytes     = 4 << 10
	// DefaultWriteTimeout limits the time in which a caller reads an answer.
	DefaultWriteTimeout = 10 * time.Second
)

// readRequest reads the request id and decodes the body.
func (s *server) readRequest(w http.ResponseWriter, r *http.Request, body any) (string, *figmast.Problem) {
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

// readBody reads the whole body. Then it removes the read deadline that middleware
// has set, because the request's context would end when the deadline passes. What is
// reserved for the body is released by middleware.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	account := accountOf(r.Context())
	b, reserved, err := membuf.ReadAll(http.MaxBytesReader(w, r.Body, MaxBodyBytes), membuf.Options{
		MaxBytes: MaxBodyBytes, Length: r.ContentLength, FreeBytes: freeBodyBytes, Account: account,
	})
	account.reserved = reserved
	if err == nil {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	return b, err
}

// bodyAccount accounts for the body of one request.
type bodyAccount struct {
	*server
	reserved int64
}

// Reserve implements membuf.Account.
func (a *bodyAccount) Reserve(n int64) bool {
	if a.bodyBytes.Add(n) <= a.BodyMemory {
		return true
	}
	a.bodyBytes.Add(-n)
	return false
}

// Release implements membuf.Account.
func (a *bodyAccount) Release(n int64) { a.bodyBytes.Add(-n) }

type accountKey struct{}

// accountOf returns the account that middleware has made for the request.
func accountOf(ctx context.Context) *bodyAccount { return ctx.Value(accountKey{}).(*bodyAccount) }

// decode decodes one JSON object. It rejects unknown and repeated fields.
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
		return badRequest("body", "more than one JSON value")
	}
	return nil
}

// checkKeys rejects a body that is not an object, and repeated fields. Names that
// differ only in case count as repeated, because encoding/json matches fields
// regardless of case and would use the last one.
func checkKeys(b []byte) *figmast.Problem {
	dec := json.NewDecoder(bytes.NewReader(b))
	firstToken, err := dec.Token()
	if err != nil {
		return bodyProblem(err)
	}
	if firstToken != json.Delim('{') {
		return badRequest("body", "not a JSON object")
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
			return badRequest(truncate(name), "stands twice")
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
	var tooLarge *http.MaxBytesError
	var wrongType *json.UnmarshalTypeError
	switch {
	case errors.As(err, &tooLarge):
		return withStatus(badRequest("body", fmt.Sprintf("larger than %d bytes", tooLarge.Limit)), http.StatusRequestEntityTooLarge)
	case errors.As(err, &wrongType) && wrongType.Field != "":
		return badRequest(wrongType.Field, "a "+wrongType.Value+" where a "+wrongType.Type.String()+" belongs")
	case errors.Is(err, membuf.ErrNoMemory):
		return unavailable("too much memory is held by other bodies", "decode")
	case isTimeout(err):
		return withStatus(badRequest("body", "not complete in time"), http.StatusRequestTimeout)
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return badRequest("body", "ends too early")
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return badRequest(truncate(strings.Trim(name, `"`)), "unknown")
	}
	return badRequest("body", truncate(err.Error()))
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

// maxQuoted is the maximum length of caller input that a problem quotes, in bytes.
const maxQuoted = 64

func truncate(s string) string {
	if len(s) > maxQuoted {
		return strings.ToValidUTF8(s[:maxQuoted], "") + "..."
	}
	return s
}

// requestID returns the caller's request id, or a new one if it is missing or
// invalid.
func requestID(r *http.Request) (string, *figmast.Problem) {
	id := r.Header.Get(figmast.HeaderRequestID)
	switch {
	case id == "":
		return uuid.NewString(), nil
	case len(id) > maxRequestIDLen:
		return uuid.NewString(), badRequest(figmast.HeaderRequestID, fmt.Sprintf("longer than %d bytes", maxRequestIDLen))
	case !isPrintable(id):
		return uuid.NewString(), badRequest(figmast.HeaderRequestID, "not printable ASCII without spaces")
	}
	return id, nil
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// checkContentType accepts JSON and a missing content type.
func checkContentType(text string) *figmast.Problem {
	if text == "" {
		return nil
	}
	kind, _, err := mime.ParseMediaType(text)
	if err != nil || kind != "application/json" {
		return withStatus(badRequest("Content-Type", "not application/json"), http.StatusUnsupportedMediaType)
	}
	return nil
}

func checkValues(u figmast.Urgency, worth float64) *figmast.Problem {
	switch u {
	case "", figmast.Urgent, figmast.Normal, figmast.Bulk:
	default:
		return badRequest("urgency", "none of urgent, normal, bulk")
	}
	if !(worth >= 0 && worth <= maxWorth) || math.IsNaN(worth) {
		return badRequest("worth", fmt.Sprintf("not in 0 to %g", float64(maxWorth)))
	}
	return nil
}

func checkCommand(c figmast.CommandRequest) *figmast.Problem {
	switch {
	case c.ShardKey == "":
		return badRequest("shard_key", "missing")
	case len(c.ShardKey) > maxKeyLen:
		return badRequest("shard_key", fmt.Sprintf("longer than %d bytes", maxKeyLen))
	case c.Key != "":
		return badRequest("key", "a key without a ticket cannot be run at most once; take a ticket")
	case c.Ticket == "":
		return badRequest("ticket", "missing")
	case len(c.Ticket) > maxTicketLen:
		return badRequest("ticket", fmt.Sprintf("longer than %d bytes", maxTicketLen))
	}
	return checkValues(c.Urgency, c.Worth)
}

// timeout returns the timeout of the request, which is the caller's or else the
// operation's default.
func timeout(r *http.Request, op document.Operation) (time.Duration, *figmast.Problem) {
	text := r.Header.Get(figmast.HeaderDeadline)
	if text == "" {
		return op.Deadline.Std(), nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, badRequest(figmast.HeaderDeadline, "not a number of milliseconds above 0")
	}
	limit := op.MaxDeadline.Std()
	if ms > limit.Milliseconds() {
		return 0, badRequest(figmast.HeaderDeadline, fmt.Sprintf("above the operation's limit of %v", limit))
	}
	return time.Duration(ms) * time.Millisecond, nil
}
