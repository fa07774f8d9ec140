package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// answer is what a client saw of one request.
type answer struct {
	status int // 0 without a complete answer
	header http.Header
	body   []byte
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, seal %q, %d bytes", a.status, a.header.Get(headers.Signature), len(a.body))
}

func requestBytes(method, path, id string, deadline time.Duration, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, path, requestHost, headers.RequestID, id, headers.DeadlineMs, deadline.Milliseconds())
	if body != nil {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}

// errNothing is returned where the connection ends before the first byte of an
// answer.
var errNothing = errors.New("the connection ended without an answer")

func readAnswer(c net.Conn, r *bufio.Reader, limit time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(limit))
	if _, err := r.Peek(1); err != nil {
		return answer{err: fmt.Errorf("%w: %w", errNothing, err)}
	}
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: resp.StatusCode, header: resp.Header, body: body}
}

// send sends a request on a connection of its own.
func send(address, method, path, id string, deadline time.Duration, body []byte) answer {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	if _, err := c.Write(requestBytes(method, path, id, deadline, body)); err != nil {
		return answer{err: err}
	}
	return readAnswer(c, bufio.NewReader(c), deadline+time.Second)
}
