// Package http1 makes calls to backend servers over pooled HTTP/1.1 connections.
// Unlike net/http's Transport, it never retries a request by itself, forwards
// requests byte for byte, and reports exactly what is known about a failed call,
// such as whether any byte of it was written.
package http1

import (
	"bufio"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Response is a backend server's complete response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Connected is set if a new connection was opened for the call.
	Connected bool
	// Unidentified is set if nothing shows that the response belongs to the call: it
	// does not name the request, and another one may have preceded it on the
	// connection.
	Unidentified bool
}

const (
	// maxInterimResponses bounds the interim responses (1xx) before the final
	// one.
	maxInterimResponses = 8
	// maxMismatchedResponses bounds the skipped responses to other requests.
	maxMismatchedResponses = 2
	// maxStatus is the highest status code of HTTP.
	maxStatus = 599
)

var (
	errTooManyInterim  = errors.New("too many interim answers")
	errMismatch        = errors.New("the answer belongs to another request")
	errContentEncoding = errors.New("the answer has a content coding that was not asked for")
)

// readResponse reads the response to a call and skips late responses to other
// requests. keep is true if the connection may be used again.
func (p *Pool) readResponse(c *conn, call Call) (a *Response, keep bool, err error) {
	maxBytes := call.MaxBodyBytes
	if maxBytes == 0 {
		maxBytes = defaultMaxBodyBytes
	}
	hasSkipped := false
	for range maxMismatchedResponses + 1 {
		c.limitedReader.left = maxHeadBytes
		resp, err := readFinalHead(c.r, call.Method)
		if err != nil {
			return nil, false, err
		}
		c.limitedReader.left = maxFramingFactor * int64(maxBytes+1)
		body, err := p.readHeldBody(resp, call, maxBytes)
		if err != nil {
			return nil, false, err
		}
		echoed := resp.Header.Get(p.opts.RequestIDHeader)
		if echoed != "" && call.RequestID != "" && echoed != call.RequestID {
			if resp.Close {
				return nil, false, errMismatch
			}
			hasSkipped = true
			continue
		}
		if coding := resp.Header.Get("Content-Encoding"); coding != "" && coding != "identity" {
			return nil, false, errContentEncoding
		}
		unidentified := echoed == "" && (c.hasCarried || hasSkipped)
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body, Unidentified: unidentified}, !resp.Close && !unidentified, nil
	}
	return nil, false, errMismatch
}

// readFinalHead reads heads until that of a final response.
func readFinalHead(r *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterimResponses {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch code := resp.StatusCode; {
		case code < http.StatusContinue, code > maxStatus, code == http.StatusSwitchingProtocols:
			return nil, fmt.Errorf("unexpected status %03d", code)
		case code >= http.StatusOK:
			return resp, nil
		}
	}
	return nil, errTooManyInterim
}

// keepAliveMargin is subtracted from the idle timeout that a server announces,
// in whole seconds, so that no request is sent while the server closes the
// connection.
const keepAliveMargin = 1500 * time.Millisecond

// keepAliveTimeout returns how long a connection may be idle according to the
// server's Keep-Alive header, or defaultTimeout without one.
func keepAliveTimeout(h http.Header, defaultTimeout time.Duration) time.Duration {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			continue
		}
		return max(time.Duration(seconds)*time.Second-keepAliveMargin, 0)
	}
	return defaultTimeout
}
