package main

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/figmast/figmast/route"
)

const (
	// The store turns hosts away for awayFor, awayTimes in succession.
	awayFor   = 9 * time.Second
	awayTimes = 2
	// maxSkew stretches the bound of a configuration while the store is impaired.
	maxSkew       = 12 * time.Second
	oldService    = "desk-old"
	newService    = "desk-new"
	askPause      = 200 * time.Millisecond
	settleTime    = 6 * time.Second
	watchTime     = 3 * time.Second
	zoneCount     = 3
	fleetSize     = 9
	changeAfter   = 500 * time.Millisecond
	closingMargin = 4 * time.Second
)

// gate is one host's way to the store.
type gate struct {
	store  http.Handler
	closed atomic.Bool
	calls  atomic.Int64

	mu        sync.Mutex
	heldUntil time.Time
}

// hold holds up the calls and the answers that are on their way.
func (g *gate) hold(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.heldUntil = time.Now().Add(d)
}

// pass waits until the way is open.
func (g *gate) pass() {
	for {
		g.mu.Lock()
		left := time.Until(g.heldUntil)
		g.mu.Unlock()
		if left <= 0 {
			return
		}
		time.Sleep(left)
	}
}

// ServeHTTP implements http.Handler.
func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Add(1)
	if g.closed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.pass()
	got := httptest.NewRecorder()
	g.store.ServeHTTP(got, r)
	g.pass()
	maps.Copy(w.Header(), got.Header())
	w.WriteHeader(got.Code)
	_, _ = w.Write(got.Body.Bytes()) // the host may have given up
}

// findReaders returns the hosts that read the store.
func (b *bed) findReaders(gates map[*host]*gate) (readers []*host, err error) {
	for _, g := range gates {
		g.calls.Store(0)
	}
	time.Sleep(watchTime)
	for _, h := range b.hosts {
		b.record("%s has called the store %d times in %v", h.Name, gates[h].calls.Load(), watchTime)
		if gates[h].calls.Load() > 0 {
			readers = append(readers, h)
		}
	}
	if len(readers) == 0 || len(readers) > fleetSize/3 {
		return nil, errors.New("none or too many hosts read the store")
	}
	return readers, nil
}

// addGates gives each host its own way to the store.
func (b *bed) addGates() (map[*host]*gate, error) {
	gates := make(map[*host]*gate)
	for _, h := range b.hosts {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		g := &gate{store: b.rewriter}
		s := &http.Server{Handler: g}
		go func() { _ = s.Serve(l) }() // ends with the case
		b.closers = append(b.closers, func() { _ = s.Close() })
		h.Store = l.Addr().String()
		gates[h] = g
	}
	return gates, nil
}

// hostsInRelayOrder returns the hosts, those first that read the store for the
// others. It serves to choose the seeds; who reads is observed.
func (b *bed) hostsInRelayOrder() []*host {
	order := slices.Clone(b.hosts)
	slices.SortFunc(order, func(x, y *host) int { return cmp.Compare(xxhash.Sum64String(x.Address), xxhash.Sum64String(y.Address)) })
	return order
}

// storeTurnsReadersAway has the store turn away the hosts that read it, beside a
// change of the configuration.
func storeTurnsReadersAway(b *bed) ([]string, error) {
	if err := b.addHosts(fleetSize); err != nil {
		return nil, err
	}
	gates, err := b.addGates()
	if err != nil {
		return nil, err
	}
	order := b.hostsInRelayOrder()
	for i, h := range b.hosts {
		h.DataCentre = fmt.Sprintf("zone-%d", i%zoneCount+1)
		h.Seeds = []string{order[1].Address, order[4].Address, order[7].Address}
	}
	config := configOf(plainRoute("lookup", plainPrefix, oldService, true, 3*time.Second, 200*time.Millisecond))
	config.Services[newService] = service(newService)
	b.store.PutConfig(config)
	for _, s := range []string{oldService, newService} {
		for i := range zoneCount {
			if _, err := b.addLeaf(fmt.Sprintf("i-%s-%d", s, i+1), s, fmt.Sprintf("zone-%d", i+1), answerAtOnce); err != nil {
				return nil, err
			}
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(settleTime)
	away, err := b.findReaders(gates)
	if err != nil {
		return nil, err
	}
	turn := func(closed bool) {
		for _, h := range away {
			gates[h].closed.Store(closed)
			b.record("the store turns %s away: %v", h.Name, closed)
		}
	}
	if b.trouble {
		turn(true)
	}
	time.AfterFunc(awayTimes*awayFor, func() { turn(false) })
	time.Sleep(changeAfter)
	next := *config
	next.Version = config.Version + 3
	next.Routes = []route.Route{plainRoute("lookup", plainPrefix, newService, true, 3*time.Second, 200*time.Millisecond)}
	b.store.PutConfig(&next)
	acked := time.Now()
	b.record("configuration %d acknowledged: the route goes to %s", next.Version, newService)

	var mu sync.Mutex
	var broken []string
	var clients sync.WaitGroup
	for n, h := range b.hosts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; time.Since(acked) < awayTimes*awayFor+closingMargin; i++ {
				id := fmt.Sprintf("c%02d-%04d", n, i)
				r := h.ask(http.MethodGet, plainPrefix+id, id, 3*time.Second, "")
				after := r.sent.Sub(acked)
				b.record("client %d: %s sent to %s %.2f s after the acknowledgement got %v", n, id, h.Name, after.Seconds(), r)
				if after > applyWithin+maxSkew && strings.HasPrefix(r.header.Get(headers.Signature), "i-"+oldService) {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("CONFIG: %s, sent to %s %.2f s after version %d was acknowledged, was run by %s", id, h.Name, after.Seconds(), next.Version, oldService))
					mu.Unlock()
				}
				time.Sleep(askPause)
			}
		}()
	}
	clients.Wait()
	return broken, nil
}
