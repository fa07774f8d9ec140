package gateway

import (
	"errors"
	"math"
	"net/http"
	"time"

	"github.com/figmast/figmast/intake"
	"github.com/figmast/figmast/internal/membuf"
)

const (
	// freeBytes is the size up to which a body or an answer does not count towards
	// the host's bound: ordinary requests are taken beside any crowd.
	freeBytes = 4 << 10
	// discardTimeout bounds the wait for the rest of a body that is not used, so
	// that a caller that is still sending sees the answer.
	discardTimeout = time.Second
	// answerTimeout bounds how long an answer may take to be written. No caller
	// waits for as long.
	answerTimeout = 30 * time.Second
)

// errEvicted means that the caller's connection was closed to make room.
var errEvicted = errors.New("the connection was closed to make room for others")

// exchange is a request and the writer of its answer, with the account of what they
// hold.
type exchange struct {
	http.ResponseWriter
	control *http.ResponseController
	request *http.Request
	handler *callerHandler
	account *intake.Conn
	isGuest bool
	holding *holding
	// bodyBytes is how many bytes the account holds for the request's body.
	bodyBytes int64
}

func (h *callerHandler) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{ResponseWriter: w, control: http.NewResponseController(w), request: r, handler: h}
	var ok bool
	if x.account, ok = r.Context().Value(accountKey{}).(*intake.Conn); !ok {
		x.account, x.isGuest = intake.NewGuest(h.runner.now()), true
	}
	x.holding = &holding{conns: h.conns, conn: x.account}
	return x
}

// end ends the request. What a caller's request holds is released when its answer
// has been written.
func (x *exchange) end() {
	x.holding.end()
	if x.isGuest {
		x.handler.conns.remove(x.account)
	}
}

func (x *exchange) hasBody() bool { return x.request.Body != nil && x.request.Body != http.NoBody }

// readBody reads the request's body of at most limit bytes until the deadline. The
// error may be errEvicted, *http.MaxBytesError or that of membuf.ReadAll.
func (x *exchange) readBody(limit int64, deadline time.Time) ([]byte, error) {
	if !x.hasBody() {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	length := x.request.ContentLength
	// Without Expect, the body is read up to the limit before the request is
	// rejected: a caller that is still sending might not see the response.
	if length > limit {
		if x.request.Header.Get("Expect") != "" {
			return nil, &http.MaxBytesError{Limit: limit}
		}
		length = -1
	}
	conns := x.handler.conns
	if !conns.enter(x.account, intake.Receiving) {
		return nil, errEvicted
	}
	x.setReadDeadline(deadline.Sub(x.handler.runner.now()))
	b, reserved, err := membuf.ReadAll(http.MaxBytesReader(x.ResponseWriter, x.request.Body, limit), membuf.Options{
		MaxBytes: math.MaxInt, Length: length, FreeBytes: freeBytes, Account: x.holding,
	})
	x.bodyBytes = reserved
	if !conns.enter(x.account, intake.Serving) {
		return nil, errEvicted
	}
	if err != nil {
		return nil, err
	}
	_ = x.control.SetReadDeadline(time.Time{}) // fails if the connection is gone
	return b, nil
}

// releaseBody releases what is held for the request's body.
func (x *exchange) releaseBody() {
	x.holding.Release(x.bodyBytes)
	x.bodyBytes = 0
}

// discardBody bounds the wait for the rest of a body that is not used: net/http reads
// it before it writes the answer.
func (x *exchange) discardBody() {
	if x.hasBody() {
		x.setReadDeadline(discardTimeout)
	}
}

func (x *exchange) setReadDeadline(left time.Duration) {
	_ = x.control.SetReadDeadline(time.Now().Add(left)) // fails if the connection is gone
}

// beginAnswer bounds the time in which the answer is written.
func (x *exchange) beginAnswer() {
	x.handler.conns.enter(x.account, intake.Sending)
	_ = x.control.SetWriteDeadline(time.Now().Add(answerTimeout)) // fails if the connection is gone
}
