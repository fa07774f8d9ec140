package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// reply is what a client got for one request.
type reply struct {
	status int // 0 if no complete answer came
	header http.Header
	body   string
	// closing is set if the host closes the connection.
	closing bool
	err     error
	sent    time.Time
	ended   time.Time
}

func (r reply) String() string {
	if r.err != nil {
		return fmt.Sprintf("no complete answer: %v", r.err)
	}
	return fmt.Sprintf("%d seal %q body %.60q", r.status, r.header.Get(headers.Signature), r.body)
}

// conn is a client's connection.
type conn struct {
	net.Conn
	r *bufio.Reader
}

func (h *host) dial() (*conn, error) {
	c, err := net.DialTimeout("tcp", h.callerAddress(), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// do sends a request and waits for its answer.
func (c *conn) do(method, path, id string, deadline time.Duration, body string) reply {
	r := reply{sent: time.Now()}
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, requestHost, headers.RequestID, id, headers.DeadlineMs, deadline.Milliseconds())
	if method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.SetDeadline(time.Now().Add(deadline))
	if _, r.err = io.WriteString(c, text+"\r\n"+body); r.err == nil {
		var resp *http.Response
		if resp, r.err = http.ReadResponse(c.r, &http.Request{Method: method}); r.err == nil {
			var b []byte
			b, r.err = io.ReadAll(resp.Body)
			r.status, r.header, r.body, r.closing = resp.StatusCode, resp.Header, string(b), resp.Close
		}
	}
	if r.err != nil {
		r.status = 0
	}
	r.ended = time.Now()
	return r
}

// ask sends a request on a new connection.
func (h *host) ask(method, path, id string, deadline time.Duration, body string) reply {
	c, err := h.dial()
	if err != nil {
		return reply{err: err, sent: time.Now(), ended: time.Now()}
	}
	defer c.Close()
	return c.do(method, path, id, deadline, body)
}
