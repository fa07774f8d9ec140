package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/figmast/figmast/gateway"
)

// result is the outcome of one request as its client saw it.
type result struct {
	id     string
	host   *host
	kind   string
	path   string
	body   string
	sent   time.Time
	ended  time.Time
	status int // 0 if no complete answer arrived
	header http.Header
	answer []byte
	err    error
}

// Kinds of requests. Each has a route whose path prefix is the kind.
const (
	kindOnce   = "once"   // not idempotent
	kindRepeat = "repeat" // idempotent
	kindGather = "gather" // scattered to all shards, answers merged
)

var kinds = []string{kindOnce, kindRepeat, kindGather}

const requestHost = "soak.example"

// requestTimeout is how long clients wait; the timeouts of the routes are shorter.
const requestTimeout = 4 * time.Second

// clients sends requests to random hosts and collects the results.
type clients struct {
	hosts     []*host
	headers   gateway.Headers
	mu        sync.Mutex
	results   []result
	meanPause time.Duration
}

func (c *clients) run(ctx context.Context, n int, seed uint64) {
	var done sync.WaitGroup
	for i := range n {
		done.Add(1)
		go func() {
			defer done.Done()
			c.runClient(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)+100)))
		}()
	}
	done.Wait()
}

// runClient sends requests one after the other over kept-alive connections until
// ctx is done.
func (c *clients) runClient(ctx context.Context, number int, random *rand.Rand) {
	t := &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}
	defer t.CloseIdleConnections()
	for i := 0; ctx.Err() == nil; i++ {
		h := c.hosts[random.IntN(len(c.hosts))]
		kind := kinds[random.IntN(len(kinds))]
		id := fmt.Sprintf("%08x%04x%06x", random.Uint32(), number, i)
		r := c.send(t, h, kind, id, id)
		c.add(r)
		time.Sleep(time.Duration(random.Int64N(int64(2 * c.meanPause))))
	}
}

func (c *clients) add(r result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
}

// send sends one request under a request ID. The content is the part of the path
// that selects what the request does; several requests may share it.
func (c *clients) send(t *http.Transport, h *host, kind, id, content string) result {
	r := result{id: id, host: h, kind: kind, path: "/" + kind + "/" + content + "?a=%2F&b", sent: time.Now()}
	method := http.MethodGet
	if kind == kindOnce {
		method, r.body = http.MethodPost, "body of "+content
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", h.Address, callersPort, r.path), strings.NewReader(r.body))
	if err != nil {
		panic(err) // the address and the path are built here
	}
	req.Host = requestHost
	req.GetBody = nil // keeps the transport from resending the body
	req.Header.Set(c.headers.RequestID, id)
	req.Header.Set(c.headers.DeadlineMs, fmt.Sprint(requestTimeout.Milliseconds()))
	resp, err := t.RoundTrip(req)
	if err == nil {
		r.answer, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
	}
	r.ended, r.err = time.Now(), err
	if err == nil {
		r.status, r.header = resp.StatusCode, resp.Header
	}
	return r
}
