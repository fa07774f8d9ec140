package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// The configuration raises the limit of a request's head from lowHeaderBytes to
	// highHeaderBytes. Afterwards clients send heads of some longHeadBytes.
	lowHeaderBytes, highHeaderBytes = 16 << 10, 48 << 10
	longHeadBytes                   = 40000
	keptConnections                 = 24
	// requestPause is how long a client is idle between two requests.
	requestPause = 500 * time.Millisecond
	// afterChange is how long after the acknowledgement of the configuration the
	// first request with a long head is sent: twice the bound.
	afterChange = 2 * applyWithin
)

// limitsOfKeptConnections raises the limit of request heads while clients keep
// their connections.
func limitsOfKeptConnections(b *bed) ([]string, error) {
	if err := b.addHosts(3); err != nil {
		return nil, err
	}
	config := configOf(plainRoute("lookup", plainPrefix, "desk", true, 3*time.Second, 200*time.Millisecond))
	config.Limits.HeaderBytes = highHeaderBytes
	if b.trouble {
		config.Limits.HeaderBytes = lowHeaderBytes
	}
	b.store.PutConfig(config)
	b.record("configuration %d acknowledged, header bytes %d", config.Version, config.Limits.HeaderBytes)
	for i := range 3 {
		if _, err := b.addLeaf(fmt.Sprintf("i-desk%d", i+1), "desk", fmt.Sprintf("zone-%d", i+1), answerAtOnce); err != nil {
			return nil, err
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	var mu sync.Mutex
	requests, denied := 0, 0
	var first string
	changed := make(chan struct{})
	var clients sync.WaitGroup
	for n := range keptConnections {
		clients.Add(1)
		go func() {
			defer clients.Done()
			keepConnection(b, n, changed, func(id string, r reply) {
				mu.Lock()
				defer mu.Unlock()
				requests++
				if r.status >= 300 && r.status < 500 && r.header.Get(headers.Signature) == "" {
					denied++
					if first == "" {
						first = fmt.Sprintf("%s got %v", id, r)
					}
				}
			})
		}()
	}
	time.Sleep(5 * time.Second)
	if b.trouble {
		next := *config
		next.Version, next.Limits.HeaderBytes = config.Version+4, highHeaderBytes
		b.store.PutConfig(&next)
		b.record("configuration %d acknowledged, header bytes %d", next.Version, next.Limits.HeaderBytes)
	}
	time.Sleep(afterChange)
	close(changed)
	clients.Wait()
	b.record("%d requests, %d of them denied", requests, denied)
	if allowed := 5 + requests/500; denied > allowed {
		return []string{fmt.Sprintf("DENIED: %d of %d requests, %d are allowed; the first: %s", denied, requests, allowed, first)}, nil
	}
	return nil, nil
}

// answerAtOnce answers every request.
func answerAtOnce(l *leaf, c net.Conn, q *request) bool {
	l.end(l.begin(q))
	return send(c, "%s", l.success(q, "body of "+q.id))
}

// keepConnection sends requests over one connection: short ones until changed is
// closed, then long ones.
func keepConnection(b *bed, n int, changed chan struct{}, report func(string, reply)) {
	h := b.hosts[n%len(b.hosts)]
	c, err := h.dial()
	if err != nil {
		b.record("client %d: not connected: %v", n, err)
		return
	}
	defer func() { _ = c.Close() }()
	long := 0
	for i := 0; long < 4; i++ {
		id := fmt.Sprintf("k%02d-%03d", n, i)
		padding := 200
		select {
		case <-changed:
			padding = longHeadBytes
			long++
		default:
		}
		r := c.doPadded(id, padding)
		b.record("client %d: %s with a head of %d bytes at %s got %v", n, id, padding, h.Name, r)
		report(id, r)
		if r.err != nil || r.closing {
			_ = c.Close()
			if c, err = h.dial(); err != nil {
				b.record("client %d: not connected: %v", n, err)
				return
			}
		}
		time.Sleep(requestPause)
	}
}

// doPadded sends a request whose head has about n bytes.
func (c *conn) doPadded(id string, n int) reply {
	r := reply{sent: time.Now()}
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	text := fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 3000\r\n", plainPrefix+id, requestHost, headers.RequestID, id, headers.DeadlineMs)
	for len(text) < n {
		text += "Cookie: " + strings.Repeat("c", min(1000, max(n-len(text)-10, 1))) + "\r\n"
	}
	if _, r.err = io.WriteString(c, text+"\r\n"); r.err == nil {
		var resp *http.Response
		if resp, r.err = http.ReadResponse(c.r, &http.Request{Method: http.MethodGet}); r.err == nil {
			var body []byte
			body, r.err = io.ReadAll(resp.Body)
			r.status, r.header, r.body, r.closing = resp.StatusCode, resp.Header, string(body), resp.Close
		}
	}
	r.ended = time.Now()
	return r
}
