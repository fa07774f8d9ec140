package daemon_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/internal/fleet"
)

// Number of malformed inputs for each listener, their seed, and how many
// connections send them concurrently.
const (
	malformedInputs      = 10_000
	malformedSeed        = 20261204
	malformedConcurrency = 4
)

// TestMalformedInput sends 10,000 malformed requests to the callers' listener and
// as many to the operators' listener. Each must get a well-formed answer, and the
// host must keep serving without a panic.
func TestMalformedInput(t *testing.T) {
	f := startFleet(t, 1, nil)
	h := f.Hosts[0]
	for name, address := range map[string]string{"callers": h.CallerListen, "operators": h.OpsListen} {
		t.Run(name, func(t *testing.T) {
			var workers sync.WaitGroup
			for worker := range malformedConcurrency {
				workers.Add(1)
				go func() {
					defer workers.Done()
					for i := worker; i < malformedInputs; i += malformedConcurrency {
						in := malformed(rand.New(rand.NewPCG(malformedSeed, uint64(i))))
						if err := exchange(address, in); err != nil {
							t.Errorf("input %d: %v\n%.300q", i, err, in)
							return
						}
					}
				}()
			}
			workers.Wait()
		})
	}
	is := is.New(t)
	is.Equal(queryStatus(t, h), http.StatusOK)
	is.True(!strings.Contains(f.logs.String(), "panic"))
}

// wellFormed holds the requests that malformed mutates.
var wellFormed = []string{
	"POST /v1/services/route-app-1/query HTTP/1.1\r\nHost: h\r\nContent-Type: application/json\r\nFigmast-Request-Id: q1\r\nFigmast-Deadline-Ms: 200\r\nContent-Length: %d\r\n\r\n%s",
	"POST /v1/services/route-app-1/command HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
	"POST /v1/services/route-app-1/tickets HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
	"GET /v1/timeline?since=1.2&limit=10&request=q1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
	"GET /v1/explain/q1 HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s",
}

var bodies = []string{
	`{"operation":"gate-note","payload":{"yard":17},"urgency":"urgent","worth":2.5}`,
	`{"operation":"book-visit","shard_key":"yard-17","ticket":"AAAA","payload":null}`,
	`{}`, ``, `[1,2,`, `"text"`, "\x00\xff",
}

// malformed returns a request with one to four mutations.
func malformed(r *rand.Rand) []byte {
	body := bodies[r.IntN(len(bodies))]
	in := []byte(fmt.Sprintf(wellFormed[r.IntN(len(wellFormed))], len(body), body))
	for range 1 + r.IntN(4) {
		in = mutate(r, in)
	}
	return in
}

func mutate(r *rand.Rand, in []byte) []byte {
	if len(in) == 0 {
		return in
	}
	at := r.IntN(len(in))
	switch r.IntN(6) {
	case 0:
		in[at] = byte(r.IntN(256))
	case 1:
		return in[:at]
	case 2:
		return append(in[:at:at], in[min(at+1+r.IntN(20), len(in)):]...)
	case 3:
		return append(append(in[:at:at], strings.Repeat(string(rune(r.IntN(256))), 1+r.IntN(40_000))...), in[at:]...)
	case 4:
		return append(append(in[:at:at], in[max(at-30, 0):]...), in[at:]...)
	case 5:
		return append(append(in[:at:at], "\r\n"...), in[at:]...)
	}
	return in
}

// exchange sends the input and checks the answer. An input that is an incomplete
// request may get no answer.
func exchange(address string, in []byte) error {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	if _, err := c.Write(in); err != nil {
		return nil // the host refused the input while it was being sent
	}
	_ = c.(*net.TCPConn).CloseWrite()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return timeoutOnly(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return timeoutOnly(err)
	}
	return checkAnswer(resp, body)
}

// timeoutOnly returns err if it is a timeout, which means that the host did not
// answer, and nil otherwise.
func timeoutOnly(err error) error {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return err
	}
	return nil
}

func checkAnswer(resp *http.Response, body []byte) error {
	if resp.StatusCode != http.StatusOK && resp.StatusCode/100 != 4 {
		return fmt.Errorf("status %s: %s", resp.Status, body)
	}
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		return nil
	}
	var p figmast.Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return err
	}
	if p.Title == "" || p.Status != resp.StatusCode || p.Step == "" || p.Outcome == "" {
		return fmt.Errorf("incomplete problem details: %s", body)
	}
	return nil
}

// testFleet is a fleet together with the logs of its hosts.
type testFleet struct {
	*fleet.Fleet
	logs *logBuffer
}
