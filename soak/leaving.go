package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// turned is a request that a backend server turned away; backoff is how long it
// asked for back-off, or 0.
type turned struct {
	request string
	server  string
	born    int64
	at      time.Time
	backoff time.Duration
}

const (
	// askFor is the back-off that a server asks for, askingFor bounds how long it
	// turns requests away.
	askFor    = 1500 * time.Millisecond
	askingFor = 3 * time.Second
	// unpublished bounds how long a server that leaves says so before its
	// entry does.
	unpublished = 2 * time.Second
	// askSlack is how long after its notice requests may still reach a server
	// that asked for back-off, and mostAsked how many may later: the users'
	// rule.
	askSlack  = 500 * time.Millisecond
	mostAsked = 2
)

// says returns whether the server leaves, and the back-off that it asks for.
func (b *backend) says() (leaving bool, backoff time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.asking) {
		backoff = askFor
	}
	return b.leaving, backoff
}

func asksHeader(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf("Retry-After: %.1f\r\n", d.Seconds())
}

// ask has a server turn requests away for a while.
func (b *backend) ask() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asking = time.Now().Add(time.Duration(b.random.Int64N(int64(askingFor))))
}

// noticeAt names a host that has the notice of one lifetime of a server.
type noticeAt struct {
	host, server string
	born         int64
}

// heard is what hosts have heard of servers: when they first passed on that one
// leaves, and the requests that one turned away asking for back-off.
type heard struct {
	leaving map[noticeAt]time.Time
	backoff map[noticeAt][]turned
}

// heard returns what hosts have heard, as callers and servers saw it.
func (h *history) heard(byID map[string]*result) heard {
	out := heard{make(map[noticeAt]time.Time), make(map[noticeAt][]turned)}
	for id, runs := range h.runs {
		r := byID[id]
		for _, x := range runs {
			if r == nil || !x.leaving || !passedOn(h, r, x) {
				continue
			}
			n := noticeAt{r.host.Name, x.server, x.born}
			if at, ok := out.leaving[n]; !ok || r.ended.Before(at) {
				out.leaving[n] = r.ended
			}
		}
	}
	for _, x := range h.turned {
		if r := byID[x.request]; r != nil && x.backoff > 0 {
			n := noticeAt{r.host.Name, x.server, x.born}
			out.backoff[n] = append(out.backoff[n], x)
		}
	}
	return out
}

// afterLeaving reports whether a request that was sent then came too late for a
// server that leaves. Hosts that were harmed since are excused.
func (d heard) afterLeaving(n noticeAt, r *result, arrived time.Time) bool {
	told, ok := d.leaving[n]
	return ok && r.sent.After(told.Add(apply)) && r.host.calm(told, arrived, false)
}

// duringBackoff reports whether a request came while the server had asked the
// host for back-off. Hosts that were harmed since are excused.
func (d heard) duringBackoff(n noticeAt, r *result, arrived time.Time) bool {
	for _, x := range d.backoff[n] {
		since := arrived.Sub(x.at)
		if since > askSlack && since < x.backoff && r.host.calm(x.at, arrived, false) {
			return true
		}
	}
	return false
}

// notices checks that no host goes on with a server that has told it that it
// leaves, or that it asks for back-off.
func (h *history) notices(byID map[string]*result) (faults []string) {
	known, early := h.heard(byID), make(map[noticeAt]int)
	arrived := func(id, server string, born int64, at time.Time) {
		r := byID[id]
		if r == nil {
			return
		}
		n := noticeAt{r.host.Name, server, born}
		if known.afterLeaving(n, r, at) {
			faults = append(faults, fmt.Sprintf("request %s reached %s from %s, sent %v after that host passed on that the server leaves", id, server, n.host, r.sent.Sub(known.leaving[n])))
		}
		if known.duringBackoff(n, r, at) {
			early[n]++
		}
	}
	for id, runs := range h.runs {
		for _, x := range runs {
			arrived(id, x.server, x.born, x.at)
		}
	}
	for _, x := range h.turned {
		arrived(x.request, x.server, x.born, x.at)
	}
	for n, count := range early {
		if count > mostAsked {
			faults = append(faults, fmt.Sprintf("%d requests reached %s from %s while it had asked for back-off", count, n.server, n.host))
		}
	}
	h.world.notes.add("%d notices of servers that leave, %d of servers that ask for back-off", len(known.leaving), len(known.backoff))
	return faults
}

// passedOn reports whether the caller got the answer of an execution, alone or
// as a part.
func passedOn(h *history, r *result, x execution) bool {
	if r.status != http.StatusOK {
		return false
	}
	for _, name := range []string{h.world.headers.Signature, h.world.headers.Signatures} {
		if strings.Contains(r.header.Get(name), x.signature) {
			return true
		}
	}
	return false
}
