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

// result is what a client saw of one request.
type result struct {
	id     string
	host   *host
	kind   string
	path   string
	body   string
	sent   time.Time
	ended  time.Time
	status int // 0 where no whole answer came
	header http.Header
	answer []byte
	err    error
}

// kinds of requests, by the path that names their route.
const (
	kindOnce   = "once"   // may not be repeated
	kindRepeat = "repeat" // may be
	kindGather = "gather" // merged from all shards
)

var kinds = []string{kindOnce, kindRepeat, kindGather}

const requestHost = "soak.example"

// requestTimeout is how long clients wait; the routes' time-outs are shorter.
const requestTimeout = 4 * time.Second

// clients send requests until ctx is done.
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

// runClient keeps its connections open and uses each until it ends.
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

// send sends a request; its content names what it does, its id the attempt.
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
		panic(err) // the address and the path are the soak's own
	}
	req.Host = requestHost
	req.GetBody = nil // the transport must not send it twice
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
