package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

const (
	// Limits are between minLimit and maxLimit requests per second: less than a
	// server gets without one.
	minLimit, maxLimit = 0.5, 4
	// The users' rule: from settleTime after a server first named its limit, it gets
	// at most limitOverage times what the limit allows in limitWindow, and limitSlack
	// requests more, from the hosts that it has told.
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
)

// invalidLimits are values that are no limit.
var invalidLimits = []string{"", "-3", "NaN", "+Inf", "many", "1,5"}

// startLimits makes one server of some services name a request limit for the rest
// of the run.
func (w *world) startLimits() {
	random := rand.New(rand.NewPCG(w.opts.Seed, 11)) // leaves the sequence of faults as it is
	for i := 0; i < len(w.backends); i += w.serversPerService() {
		if random.IntN(2) == 0 {
			continue
		}
		b := w.backends[i+random.IntN(w.serversPerService())]
		rate := minLimit + random.Float64()*(maxLimit-minLimit)
		b.mu.Lock()
		b.limit, b.limitedSince = rate, time.Now()
		b.mu.Unlock()
		w.events.add("%s names a limit of %.2f requests a second", b.current().ID, rate)
	}
}

// limitHeader returns the header with the server's request limit, at times one with
// an invalid value, and the limit that it names.
func (b *backend) limitHeader() (header string, limit float64) {
	if n := b.randN(200); n < int64(len(invalidLimits)) {
		return fmt.Sprintf("%s: %s\r\n", b.headers.RequestLimit, invalidLimits[n]), 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit == 0 {
		return "", 0
	}
	return fmt.Sprintf("%s: %s\r\n", b.headers.RequestLimit, strconv.FormatFloat(b.limit, 'f', 4, 64)), b.limit
}

// checkLimits checks that servers which name a request limit get no more requests
// than the users' rule allows.
func (h *history) checkLimits(byID map[string]*result) (violations []string) {
	for _, b := range h.world.backends {
		if b.limit == 0 {
			continue
		}
		told := h.toldLimit(byID, b)
		bound := int(limitOverage*b.limit*limitWindow.Seconds() + limitSlack)
		if n := fullestWindow(h.limitedArrivals(byID, b, told), b.limitedSince.Add(settleTime)); n > bound {
			violations = append(violations, fmt.Sprintf("%s named a limit of %.2f requests a second and got %d in %v, allowed %d", b.entry.ID, b.limit, n, limitWindow, bound))
		}
	}
	return violations
}

// toldLimit returns when each host delivered answers with the server's limit.
func (h *history) toldLimit(byID map[string]*result, b *backend) map[*host][]time.Time {
	told := make(map[*host][]time.Time)
	for id, runs := range h.executions {
		r := byID[id]
		for _, x := range runs {
			if r != nil && x.server == b.entry.ID && x.limit > 0 && answerDelivered(h, r, x) {
				told[r.host] = append(told[r.host], r.ended)
			}
		}
	}
	return told
}

// limitedArrivals returns when requests reached the server from hosts that were told
// of its limit, in order. A host that was stopped or restarted has to be told again.
func (h *history) limitedArrivals(byID map[string]*result, b *backend, told map[*host][]time.Time) []time.Time {
	var out []time.Time
	add := func(id, server string, at time.Time) {
		r := byID[id]
		if r == nil || server != b.entry.ID {
			return
		}
		since := r.host.lastStopEnd(at)
		if slices.ContainsFunc(told[r.host], func(x time.Time) bool { return x.After(since) && at.Sub(x) > noticeSlack }) {
			out = append(out, at)
		}
	}
	for id, runs := range h.executions {
		for _, x := range runs {
			add(id, x.server, x.at)
		}
	}
	for _, x := range h.rejections {
		add(x.request, x.server, x.at)
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// fullestWindow returns the largest number of arrivals in one window that starts at
// from or later.
func fullestWindow(arrivals []time.Time, from time.Time) (most int) {
	begin := 0
	for i, at := range arrivals {
		for begin < i && (at.Sub(arrivals[begin]) >= limitWindow || arrivals[begin].Before(from)) {
			begin++
		}
		if !arrivals[begin].Before(from) {
			most = max(most, i+1-begin)
		}
	}
	return most
}
