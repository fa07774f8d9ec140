package feed

import (
	"context"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/internal/clock"
	"github.com/figmast/figmast/news"
	"github.com/figmast/figmast/route"
)

// emptyStore is a store without entries.
type emptyStore struct{}

func (emptyStore) Range(context.Context, bool) (news.Answer, error) {
	return news.Answer{Position: news.Position{Revision: 1}}, nil
}

func (emptyStore) Watch(ctx context.Context, after int64, wait time.Duration) (news.Answer, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return news.Answer{Position: news.Position{Revision: after}}, ctx.Err()
}

func (emptyStore) Reset() {}

type nopDecoder struct{}

func (nopDecoder) Classify(string) (news.Kind, string)         { return news.KindOther, "" }
func (nopDecoder) Config([]byte) (*route.Config, error)        { return nil, nil }
func (nopDecoder) Server(string, []byte) (route.Server, error) { return route.Server{}, nil }

// host runs a Feed and keeps its latest view.
type host struct {
	feed    *Feed
	mu      sync.Mutex
	view    View
	pending []crash.Report
}

func (h *host) exchange(v View) Observations {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.view = v
	out := h.pending
	h.pending = nil
	return Observations{Crashes: out}
}

func (h *host) report(p crash.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending = append(h.pending, p)
}

func (h *host) crashCount(fingerprint uint64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.Crashes[fingerprint].Crashed
}

func (h *host) hostCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.view.Hosts)
}

const (
	// testApply makes hosts poll each other every three seconds.
	testApply = 30 * time.Second
	// pushBound is a small part of that interval, and of the 4 s that the users
	// allow.
	pushBound = time.Second
)

func startHosts(t *testing.T, n int) []*host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	port := strconv.Itoa(l.Addr().(*net.TCPAddr).Port)
	_ = l.Close()
	var out []*host
	for i := range n {
		address := "127.0.0." + strconv.Itoa(i+1)
		h := new(host)
		h.feed, err = New(Options{
			State: news.NewState(clock.Now(), news.Options{
				Address: address, DataCentre: "a", Seeds: []string{"127.0.0.1"}, Decoder: nopDecoder{}, ApplyWithin: testApply, Heartbeat: time.Second,
			}),
			Store: emptyStore{}, Listen: net.JoinHostPort(address, port), Port: port, Clock: clock.Now,
			Log: func(string, ...any) {}, Exchange: h.exchange,
		})
		if err != nil {
			t.Fatal(err)
		}
		h.feed.Start()
		t.Cleanup(h.feed.Close)
		out = append(out, h)
	}
	return out
}

func eventually(timeout time.Duration, ok func() bool) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// TestCrashReportsReachOtherHostsAtOnce guards against losing a crash report:
// the host that detects a crash may be killed before its next regular poll.
func TestCrashReportsReachOtherHostsAtOnce(t *testing.T) {
	is := is.New(t)
	hosts := startHosts(t, 5)
	is.True(eventually(10*time.Second, func() bool {
		for _, h := range hosts {
			if h.hostCount() != len(hosts) {
				return false
			}
		}
		return true
	}))
	for i, h := range hosts {
		began := time.Now()
		h.report(crash.Report{Fingerprint: 7, Service: "s", Server: strconv.Itoa(i)})
		is.True(eventually(pushBound, func() bool {
			for _, o := range hosts {
				if o.crashCount(7) != i+1 {
					return false
				}
			}
			return true
		}))
		t.Logf("report of host %d reached all hosts after %v", i, time.Since(began))
	}
}
