package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// rejection is a request that a backend server rejected; backoff is the back-off
// that it asked for, or 0.
type rejection struct {
	request     string
	server      string
	serverStart int64
	at          time.Time
	backoff     time.Duration
	// lost is set if a fault of the server's link keeps the rejection from the host.
	lost bool
}

const (
	// backoffAsked is the back-off that a server asks for; maxRejecting bounds how
	// long it rejects requests.
	backoffAsked = 1500 * time.Millisecond
	maxRejecting = 3 * time.Second
	// maxUnpublished bounds the time between a server's first answer that
	// announces its leaving and the update of its directory entry.
	maxUnpublished = 2 * time.Second
	// noticeSlack is how long requests may still reach a server after it asked for
	// back-off, and maxEarlyRequests how many may arrive after that but before the
	// back-off ends. The users set these limits.
	noticeSlack      = 500 * time.Millisecond
	maxEarlyRequests = 2
)

// announced returns whether the server announces that it is leaving, and the
// back-off that it asks for now.
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

// startRejecting makes the server reject requests for a random time.
func (b *backend) startRejecting() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.rejectingUntil = time.Now().Add(time.Duration(b.random.Int64N(int64(maxRejecting))))
}

// noticeKey identifies a host and the server incarnation that it got a notice
// from.
type noticeKey struct {
	host, server string
	serverStart  int64
}

// notices holds what servers announced to hosts: when a host first delivered an
// answer that announces leaving, and the requests rejected with a back-off.
type notices struct {
	leavingNoticedAt map[noticeKey]time.Time
	rejections       map[noticeKey][]rejection
}

// receivedNotices collects the notices sent to hosts: of leaving, from answers that
// a host delivered to a client, and of back-off, from rejections of its requests.
func (h *history) receivedNotices(byID map[string]*result) notices {
	out := notices{make(map[noticeKey]time.Time), make(map[noticeKey][]rejection)}
	for id, runs := range h.executions {
		r := byID[id]
		for _, x := range runs {
			if r == nil || !x.announcesLeaving || !answerDelivered(h, r, x) {
				continue
			}
			n := noticeKey{r.host.Name, x.server, x.serverStart}
			if at, ok := out.leavingNoticedAt[n]; !ok || r.ended.Before(at) {
				out.leavingNoticedAt[n] = r.ended
			}
		}
	}
	for _, x := range h.rejections {
		if r := byID[x.request]; r != nil && x.backoff > 0 && !x.lost {
			n := noticeKey{r.host.Name, x.server, x.serverStart}
			out.rejections[n] = append(out.rejections[n], x)
		}
	}
	return out
}

// arrivedAfterLeaving reports whether a request was sent more than applyBound after
// its host delivered the notice that the server is leaving. Hosts that a fault
// affected since then are excused.
func (n notices) arrivedAfterLeaving(key noticeKey, r *result, arrived time.Time) bool {
	noticed, ok := n.leavingNoticedAt[key]
	return ok && r.sent.After(noticed.Add(applyBound)) && r.host.isUndisturbed(noticed, arrived, false)
}

// arrivedDuringBackoff reports whether a request arrived while a back-off that the
// server had asked of the host was in force. Hosts that a fault affected since then
// are excused.
func (n notices) arrivedDuringBackoff(key noticeKey, r *result, arrived time.Time) bool {
	for _, x := range n.rejections[key] {
		since := arrived.Sub(x.at)
		if since > noticeSlack && since < x.backoff && r.host.isUndisturbed(x.at, arrived, false) {
			return true
		}
	}
	return false
}

// checkNotices checks that hosts stop sending to servers that announced that they
// are leaving or asked for back-off.
func (h *history) checkNotices(byID map[string]*result) (violations []string) {
	known, early := h.receivedNotices(byID), make(map[noticeKey]int)
	arrived := func(id, server string, serverStart int64, at time.Time) {
		r := byID[id]
		if r == nil {
			return
		}
		n := noticeKey{r.host.Name, server, serverStart}
		if known.arrivedAfterLeaving(n, r, at) {
			violations = append(violations, fmt.Sprintf("request %s reached %s from %s, sent %v after that host delivered the notice that the server is leaving", id, server, n.host, r.sent.Sub(known.leavingNoticedAt[n])))
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
			violations = append(violations, fmt.Sprintf("%d requests reached %s from %s during the back-off that it had asked for", count, n.server, n.host))
		}
	}
	h.world.events.add("%d notices that a server is leaving, %d notices that ask for back-off", len(known.leavingNoticedAt), len(known.rejections))
	return violations
}

// answerDelivered reports whether the client received the answer of an execution, as
// the whole answer or as a part of a merged one.
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
