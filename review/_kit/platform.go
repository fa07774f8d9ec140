package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"
)

// serveStore serves the platform's store.
func (b *bed) serveStore(l net.Listener) {
	s := &http.Server{Handler: b.rewriter}
	go func() { _ = s.Serve(l) }() // ends with the case
	b.closers = append(b.closers, func() { _ = s.Close() })
}

// isReady asks the host for its readiness as the platform's load balancer does.
func (h *host) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d%s", h.Address, readyPort, headers.ReadyPath), nil)
	if err != nil {
		return false
	}
	t := &http.Transport{DisableKeepAlives: true}
	resp, err := t.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
