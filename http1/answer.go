// Package http1 makes calls to backend servers over HTTP/1.1 connections that
// it keeps. Unlike net/http's Transport it never sends a request a second time
// by itself, passes requests on byte for byte, and tells exactly what is known
// of a call that failed.
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

// Response is a backend server's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

const (
	// maxInterim bounds the interim answers (1xx) before the final one.
	maxInterim = 8
	// maxStray bounds the answers to other requests that are skipped.
	maxStray = 2
)

var (
	errInterim = errors.New("too many interim answers")
	errStray   = errors.New("the answer belongs to another request")
	errEncoded = errors.New("the answer has a content coding that was not asked for")
)

// readAnswer reads the answer to a call. Late answers to other requests are
// skipped.
func (p *Pool) readAnswer(c *conn, call Call) (a *Response, keep bool, err error) {
	most := call.MaxBodyBytes
	if most == 0 {
		most = maxAnswerBytes
	}
	for range maxStray + 1 {
		c.meter.left = maxHeadBytes
		resp, err := readFinal(c.r, call.Method)
		if err != nil {
			return nil, false, err
		}
		c.meter.left = framing * int64(most+1)
		body, err := p.readBody(resp.Body, most)
		if err != nil {
			return nil, false, err
		}
		if echoed := resp.Header.Get(p.opts.RequestIDHeader); echoed != "" && call.RequestID != "" && echoed != call.RequestID {
			if resp.Close {
				return nil, false, errStray
			}
			continue
		}
		if coding := resp.Header.Get("Content-Encoding"); coding != "" && coding != "identity" {
			return nil, false, errEncoded
		}
		return &Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, !resp.Close, nil
	}
	return nil, false, errStray
}

// readFinal reads the head of a final answer.
func readFinal(r *bufio.Reader, method string) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("unexpected status %d", resp.StatusCode)
		}
	}
	return nil, errInterim
}

// keepAliveMargin is kept from the idle timeout that a server states, in whole
// seconds, so that no request crosses its close.
const keepAliveMargin = 1500 * time.Millisecond

// idleLimit returns how long a connection may be idle by what the server says.
func idleLimit(h http.Header, usual time.Duration) time.Duration {
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
	return usual
}
