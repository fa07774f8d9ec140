package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// rejection is a request that a backend server turned away; backoff is how long it
// asked for back-off, or 0.
type rejection struct {
	request     string
	server      string
	serverStart int64
	at          time.Time
	backoff     time.Duration
}

const (
	// backoffAsked is the back-off that a server asks for, askingFor bounds how long it
	// turns requests away.
	backoffAsked = 1500 * time.Millisecond
	maxRejecting = 3 * time.Second
	// maxUnpublished bounds how long a server that leaves says so before its
	// entry does.
	maxUnpublished = 2 * time.Second
	// noticeSlack is how long after its notice requests may still reach a server
	// that asked for back-off, and mostAsked how many may later: the users'
	// rule.
	noticeSlack      = 500 * time.Millisecond
	maxEarlyRequests = 2
)

// announced returns whether the server leaves, and the back-off that it asks for.
func (b *backend) announced() (leaving bool, backoff time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.rejectingUntil) {
		backoff = backoffAsked
	}
	return b.leaving, backoff
}

func retryAfterHeader(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return fmt.Sprintf("Retry-After: %.1f\r\n", d.Seconds())
}

// startRejecting has a server turn requests away for a while.
func (b *backend) startRejecting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejectingUntil = time.Now().Add(time.Duration(b.random.Int64N(int64(maxRejecting))))
}

// noticeKey names a host that has the notice of one lifetime of a server.
type noticeKey struct {
	host, server string
	serverStart  int64
}

// notices is what hosts have heard of servers: when they first passed on that one
// leaves, and the requests that one turned away asking for back-off.
type notices struct {
	leavingSeen map[noticeKey]time.Time
	rejections  map[noticeKey][]rejection
}

// receivedNotices returns what hosts have heard, as callers and servers saw it.
func (h *history) receivedNotices(byID map[string]*result) notices {
	out := notices{make(map[noticeKey]time.Time), make(map[noticeKey][]rejection)}
	for id, runs := range h.executions {
		r := byID[id]
		for _, x := range runs {
			if r == nil || !x.saidLeaving || !answerDelivered(h, r, x) {
				continue
			}
			n := noticeKey{r.host.Name, x.server, x.serverStart}
			if at, ok := out.leavingSeen[n]; !ok || r.ended.Before(at) {
				out.leavingSeen[n] = r.ended
			}
		}
	}
	for _, x := range h.rejections {
		if r := byID[x.request]; r != nil && x.backoff > 0 {
			n := noticeKey{r.host.Name, x.server, x.serverStart}
			out.rejections[n] = append(out.rejections[n], x)
		}
	}
	return out
}

// arrivedAfterLeaving reports whether a request that was sent then came too late for a
// server that leaves. Hosts that were harmed since are excused.
func (d notices) arrivedAfterLeaving(n noticeKey, r *result, arrived time.Time) bool {
	noticed, ok := d.leavingSeen[n]
	return ok && r.sent.After(noticed.Add(applyBound)) && r.host.isUndisturbed(noticed, arrived, false)
}

// arrivedDuringBackoff reports whether a request came while the server had asked the
// host for back-off. Hosts that were harmed since are excused.
func (d notices) arrivedDuringBackoff(n noticeKey, r *result, arrived time.Time) bool {
	for _, x := range d.rejections[n] {
		since := arrived.Sub(x.at)
		if since > noticeSlack && since < x.backoff && r.host.isUndisturbed(x.at, arrived, false) {
			return true
		}
	}
	return false
}

// checkNotices checks that no host goes on with a server that has told it that it
// leaves, or that it asks for back-off.
func (h *history) checkNotices(byID map[string]*result) (violations []string) {
	known, early := h.receivedNotices(byID), make(map[noticeKey]int)
	arrived := func(id, server string, born int64, at time.Time) {
		r := byID[id]
		if r == nil {
			return
		}
		n := noticeKey{r.host.Name, server, born}
		if known.arrivedAfterLeaving(n, r, at) {
			violations = append(violations, fmt.Sprintf("request %s reached %s from %s, sent %v after that host passed on that the server leaves", id, server, n.host, r.sent.Sub(known.leavingSeen[n])))
		}
		if known.arrivedDuringBackoff(n, r, at) {
			early[n]++
		}
	}
	for id, runs := range h.executions {
		for _, x := range runs {
			arrived(id, x.server, x.serverStart, x.at)
		}
	}
	for _, x := range h.rejections {
		arrived(x.request, x.server, x.serverStart, x.at)
	}
	for n, count := range early {
		if count > maxEarlyRequests {
			violations = append(violations, fmt.Sprintf("%d requests reached %s from %s while it had asked for back-off", count, n.server, n.host))
		}
	}
	h.world.events.add("%d notices of servers that leave, %d of servers that ask for back-off", len(known.leavingSeen), len(known.rejections))
	return violations
}

// answerDelivered reports whether the caller got the answer of an execution, alone or
// as a part.
func answerDelivered(h *history, r *result, x execution) bool {
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
