package soak

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// settleTime is how long a host must have been free of faults before the time
// bounds are checked on it.
const settleTime = 4 * time.Second

// history is what clients and backend servers observed during a run.
type history struct {
	results    []result
	executions map[string][]execution
	rejections []rejection
	// leavingSince is when each server was published as leaving. routeChanges
	// lists when the route of repeatable requests got another service.
	leavingSince map[string]time.Time
	routeChanges []routeChange
	world        *world
}

// routeChange is a published configuration that sends repeatable requests to a
// service.
type routeChange struct {
	at time.Time
	to string
}

// check returns a description of every promise that was broken.
func (h *history) check() []string {
	var violations []string
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	byID := make(map[string]*result)
	for i := range h.results {
		r := &h.results[i]
		byID[r.id] = r
		for _, f := range h.checkResult(r) {
			add("request %s (%s) at %s, sent %s: %s", r.id, r.kind, r.host.Name, r.sent.Format("05.000"), f)
		}
	}
	for id, runs := range h.executions {
		r := byID[id]
		if r == nil {
			add("request %s ran at %s, but no client sent it", id, runs[0].server)
			continue
		}
		for _, x := range runs {
			for _, f := range h.checkExecution(r, x) {
				add("request %s (%s) at %s ran at %s: %s", id, r.kind, r.host.Name, x.server, f)
			}
		}
	}
	violations = append(violations, h.checkCrashes(byID)...)
	violations = append(violations, h.checkNotices(byID)...)
	violations = append(violations, h.checkLimits(byID)...)
	for _, x := range h.world.hosts {
		if x.unexpectedExits > 0 {
			add("%s exited unexpectedly %d times", x.Name, x.unexpectedExits)
		}
	}
	return violations
}

// checkResult checks the outcome of one request as its client saw it.
func (h *history) checkResult(r *result) (violations []string) {
	runs := h.executions[r.id]
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	if r.kind == kindOnce && len(runs) > 1 {
		add("ran %d times", len(runs))
	}
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if r.kind == kindOnce && len(runs) > 0 {
			add("answered %d although it ran", r.status)
		}
	case http.StatusOK:
		if r.kind == kindGather {
			violations = append(violations, h.checkMerged(r, runs)...)
			break
		}
		signature := r.header.Get(h.world.headers.Signature)
		i := slices.IndexFunc(runs, func(x execution) bool { return x.signature == signature })
		if i < 0 || !bytes.Equal(runs[i].answer, r.answer) {
			add("the answer matches no execution")
		}
	case http.StatusNotFound, http.StatusBadRequest, http.StatusForbidden:
		add("answered %d", r.status)
	case 0:
		if len(runs) > 0 && r.ended.Sub(r.sent) < requestTimeout*7/10 && r.host.isUndisturbed(r.sent.Add(-settleTime), r.ended, true) {
			add("ran, but its connection ended without an answer: %v", r.err)
		}
	}
	return violations
}

// checkMerged checks an answer that was merged from parts.
func (h *history) checkMerged(r *result, runs []execution) (violations []string) {
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	signatures := strings.Split(strings.ReplaceAll(r.header.Get(h.world.headers.Signatures), " ", ""), ",")
	missing, _ := strconv.Atoi(r.header.Get(h.world.headers.Missing))
	services := make(map[string]bool)
	var records [][]byte
	for _, s := range signatures {
		i := slices.IndexFunc(runs, func(x execution) bool { return x.signature == s })
		if i < 0 {
			add("the part with signature %q matches no execution", s)
			continue
		}
		services[runs[i].service] = true
		for b := runs[i].answer; len(b) >= recordBytes; b = b[recordBytes:] {
			records = append(records, b[:recordBytes])
		}
	}
	if len(services) != len(signatures) {
		add("%d parts come from %d services", len(signatures), len(services))
	}
	if len(signatures)+missing != gatherShards {
		add("%d parts and %d missing do not add up to %d shards", len(signatures), missing, gatherShards)
	}
	if float64(len(signatures)) < minShardRatio*gatherShards {
		add("only %d parts, below the minimum share of shards", len(signatures))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := slices.Concat(records[:min(len(records), topRecords)]...); !bytes.Equal(want, r.answer) {
		add("the records are not the top records of the parts")
	}
	return violations
}

// checkExecution checks one execution at a backend server.
func (h *history) checkExecution(r *result, x execution) (violations []string) {
	add := func(format string, args ...any) { violations = append(violations, fmt.Sprintf(format, args...)) }
	if x.path != r.path || x.body != r.body || x.method == http.MethodGet != (r.kind != kindOnce) {
		add("received as %s %s with body %q", x.method, x.path, x.body)
	}
	if !h.world.mayServe(r.kind, x.service) {
		add("service %s is in no configuration for this kind of request", x.service)
	}
	undisturbed := r.host.isUndisturbed(x.at.Add(-settleTime-applyBound), x.at, false)
	if at, ok := h.leavingSince[x.server]; ok && undisturbed && r.sent.After(at.Add(applyBound)) {
		add("executed %v after the server was published as leaving", x.at.Sub(at))
	}
	if r.kind != kindRepeat || !undisturbed {
		return violations
	}
	// The service must be that of a configuration which could still be in force:
	// one may be applied at once, and the one before it may be used until
	// applyBound after the change.
	names := make(map[string]bool)
	for i, m := range h.routeChanges {
		last := i == len(h.routeChanges)-1
		if m.at.Before(x.at) && (last || h.routeChanges[i+1].at.Add(applyBound).After(r.sent)) {
			names[m.to] = true
		}
	}
	if !names[x.service] {
		add("service %s is no longer in the configuration for this route", x.service)
	}
	return violations
}
