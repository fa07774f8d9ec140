package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/figmast/figmast/route"
)

const (
	// Both addresses of the store serve for bothServe after the settings have
	// changed. The configuration changes changeDelay after that.
	bothServe   = 6 * time.Second
	changeDelay = 5 * time.Second
	watchMoved  = 10 * time.Second
)

// storeMoves gives the store another address in the settings of all hosts.
func storeMoves(b *bed) ([]string, error) {
	if err := b.addHosts(3); err != nil {
		return nil, err
	}
	var listeners []net.Listener
	for range 2 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		listeners = append(listeners, l)
	}
	old, next := &http.Server{Handler: b.rewriter}, &http.Server{Handler: b.rewriter}
	go func() { _ = old.Serve(listeners[0]) }()
	go func() { _ = next.Serve(listeners[1]) }()
	b.closers = append(b.closers, func() { _ = old.Close() }, func() { _ = next.Close() })
	for _, h := range b.hosts {
		h.Store = listeners[0].Addr().String()
	}
	config := configOf(plainRoute("lookup", plainPrefix, oldService, true, 3*time.Second, 200*time.Millisecond))
	config.Services[newService] = service(newService)
	b.store.PutConfig(config)
	for _, s := range []string{oldService, newService} {
		for i := range 3 {
			if _, err := b.addLeaf(fmt.Sprintf("i-%s-%d", s, i+1), s, fmt.Sprintf("zone-%d", i+1), answerAtOnce); err != nil {
				return nil, err
			}
		}
	}
	if err := b.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	if b.trouble {
		for _, h := range b.hosts {
			h.Store = listeners[1].Addr().String()
			if err := os.WriteFile(h.settingsPath(), h.Settings(), 0o600); err != nil {
				return nil, err
			}
			b.record("%s: settings name the store at %s", h.Name, h.Store)
			h.signal(syscall.SIGHUP)
		}
		time.Sleep(bothServe)
		b.record("the store no longer serves at %s", listeners[0].Addr())
		_ = old.Close()
	}
	time.Sleep(changeDelay)
	changed := *config
	changed.Version = config.Version + 3
	changed.Routes = []route.Route{plainRoute("lookup", plainPrefix, newService, true, 3*time.Second, 200*time.Millisecond)}
	b.store.PutConfig(&changed)
	acked := time.Now()
	b.record("configuration %d acknowledged: the route goes to %s", changed.Version, newService)
	var mu sync.Mutex
	var broken []string
	var clients sync.WaitGroup
	for n, h := range b.hosts {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; time.Since(acked) < watchMoved; i++ {
				id := fmt.Sprintf("c%02d-%04d", n, i)
				r := h.ask(http.MethodGet, plainPrefix+id, id, 3*time.Second, "")
				after := r.sent.Sub(acked)
				b.record("client %d: %s sent to %s %.2f s after the acknowledgement got %v", n, id, h.Name, after.Seconds(), r)
				if after > applyWithin && strings.HasPrefix(r.header.Get(headers.Signature), "i-"+oldService) {
					mu.Lock()
					broken = append(broken, fmt.Sprintf("CONFIG: %s, sent to %s %.2f s after version %d was acknowledged, was run by %s", id, h.Name, after.Seconds(), changed.Version, oldService))
					mu.Unlock()
				}
				time.Sleep(askPause)
			}
		}()
	}
	clients.Wait()
	return broken, nil
}
