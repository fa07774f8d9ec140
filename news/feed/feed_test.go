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

// emptyStore holds nothing.
type emptyStore struct{}

func (emptyStore) Range(context.Context, bool) ([]news.Item, int64, error) { return nil, 1, nil }

func (emptyStore) Watch(ctx context.Context, after int64, wait time.Duration) ([]news.Item, int64, error) {
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	return nil, after, ctx.Err()
}

func (emptyStore) Reset() {}

type noEntries struct{}

func (noEntries) Classify(string) (news.Kind, string)         { return news.KindOther, "" }
func (noEntries) Config([]byte) (*route.Config, error)        { return nil, nil }
func (noEntries) Server(string, []byte) (route.Server, error) { return route.Server{}, nil }

// host runs a Feed and keeps what it believes.
type host struct {
	feed *Feed
	mu   sync.Mutex
	now  View
	out  []crash.Report
}

func (h *host) believe(b View) Observations {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.now = b
	out := h.out
	h.out = nil
	return Observations{Crashes: out}
}

func (h *host) report(p crash.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.out = append(h.out, p)
}

func (h *host) crashed(fingerprint uint64) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.now.Crashes[fingerprint].Crashed
}

func (h *host) hosts() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.now.Hosts)
}

const (
	// testApply has hosts ask each other every three seconds.
	testApply = 30 * time.Second
	// soon is a small part of that, and of the users' bound of 4 s.
	soon = time.Second
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
				Address: address, DataCentre: "a", Seeds: []string{"127.0.0.1"}, Decoder: noEntries{}, ApplyWithin: testApply, Heartbeat: time.Second,
			}),
			Store: emptyStore{}, Listen: net.JoinHostPort(address, port), Port: port, Clock: clock.Now,
			Log: func(string, ...any) {}, Exchange: h.believe,
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

func within(d time.Duration, ok func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return ok()
}

// TestCrashReportsReachOtherHostsAtOnce: the host that finds a crash may be
// killed before it would next ask for news.
func TestCrashReportsReachOtherHostsAtOnce(t *testing.T) {
	is := is.New(t)
	hosts := startHosts(t, 5)
	is.True(within(10*time.Second, func() bool {
		for _, h := range hosts {
			if h.hosts() != len(hosts) {
				return false
			}
		}
		return true
	}))
	for i, h := range hosts {
		began := time.Now()
		h.report(crash.Report{Fingerprint: 7, Service: "s", Server: strconv.Itoa(i)})
		is.True(within(soon, func() bool {
			for _, o := range hosts {
				if o.crashed(7) != i+1 {
					return false
				}
			}
			return true
		}))
		t.Logf("from host %d to all after %v", i, time.Since(began))
	}
}
