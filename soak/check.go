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

// settleTime is how long a host must have been left alone for the bounds in
// time to hold for it.
const settleTime = 4 * time.Second

// history is what was seen from outside while a run lasted.
type history struct {
	results []result
	runs    map[string][]execution
	turned  []turned
	// drained is when a server was published as leaving, moved when the
	// repeatable requests were published to go to another service.
	drained map[string]time.Time
	moves   []move
	world   *world
}

// move is a published change of the service that a route names.
type move struct {
	at time.Time
	to string
}

// check returns every promise that was broken, in words.
func (h *history) check() []string {
	var faults []string
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	byID := make(map[string]*result)
	for i := range h.results {
		r := &h.results[i]
		byID[r.id] = r
		for _, f := range h.result(r) {
			add("request %s (%s) at %s, sent %s: %s", r.id, r.kind, r.host.Name, r.sent.Format("05.000"), f)
		}
	}
	for id, runs := range h.runs {
		r := byID[id]
		if r == nil {
			add("request %s ran at %s, and no client sent it", id, runs[0].server)
			continue
		}
		for _, x := range runs {
			for _, f := range h.execution(r, x) {
				add("request %s (%s) at %s ran at %s: %s", id, r.kind, r.host.Name, x.server, f)
			}
		}
	}
	faults = append(faults, h.crashes(byID)...)
	faults = append(faults, h.notices(byID)...)
	for _, x := range h.world.hosts {
		if x.unasked > 0 {
			add("%s ended %d times by itself", x.Name, x.unasked)
		}
	}
	return faults
}

// result checks what a client saw of one request.
func (h *history) result(r *result) (faults []string) {
	runs := h.runs[r.id]
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if r.kind == kindOnce && len(runs) > 1 {
		add("ran %d times", len(runs))
	}
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if r.kind == kindOnce && len(runs) > 0 {
			add("answered %d, and has run", r.status)
		}
	case http.StatusOK:
		if r.kind == kindGather {
			faults = append(faults, h.merged(r, runs)...)
			break
		}
		signature := r.header.Get(h.world.headers.Signature)
		i := slices.IndexFunc(runs, func(x execution) bool { return x.signature == signature })
		if i < 0 || !bytes.Equal(runs[i].answer, r.answer) {
			add("its answer is none of the servers'")
		}
	case http.StatusNotFound, http.StatusBadRequest, http.StatusForbidden:
		add("answered %d", r.status)
	case 0:
		if len(runs) > 0 && r.ended.Sub(r.sent) < requestTimeout*7/10 && r.host.calm(r.sent.Add(-settleTime), r.ended, true) {
			add("ran, and its connection ended without an answer: %v", r.err)
		}
	}
	return faults
}

// merged checks an answer that was merged from parts.
func (h *history) merged(r *result, runs []execution) (faults []string) {
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	signatures := strings.Split(strings.ReplaceAll(r.header.Get(h.world.headers.Signatures), " ", ""), ",")
	missing, _ := strconv.Atoi(r.header.Get(h.world.headers.Missing))
	services := make(map[string]bool)
	var records [][]byte
	for _, s := range signatures {
		i := slices.IndexFunc(runs, func(x execution) bool { return x.signature == s })
		if i < 0 {
			add("a part with the signature %q is no server's", s)
			continue
		}
		services[runs[i].service] = true
		for b := runs[i].answer; len(b) >= recordBytes; b = b[recordBytes:] {
			records = append(records, b[:recordBytes])
		}
	}
	if len(services) != len(signatures) {
		add("%d parts are of %d services", len(signatures), len(services))
	}
	if len(signatures)+missing != gatherShards {
		add("%d parts and %d missing are not %d shards", len(signatures), missing, gatherShards)
	}
	if float64(len(signatures)) < leastShare*gatherShards {
		add("only %d parts", len(signatures))
	}
	slices.SortFunc(records, func(a, b []byte) int { return bytes.Compare(b, a) })
	if want := slices.Concat(records[:min(len(records), topRecords)]...); !bytes.Equal(want, r.answer) {
		add("the records are not the greatest of the parts")
	}
	return faults
}

// execution checks one run at a server.
func (h *history) execution(r *result, x execution) (faults []string) {
	add := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	if x.path != r.path || x.body != r.body || x.method == http.MethodGet != (r.kind != kindOnce) {
		add("with %s %s and body %q", x.method, x.path, x.body)
	}
	if !h.world.allowed(r.kind, x.service) {
		add("at a service that no configuration names: %s", x.service)
	}
	calm := r.host.calm(x.at.Add(-settleTime-apply), x.at, false)
	if at, ok := h.drained[x.server]; ok && calm && r.sent.After(at.Add(apply)) {
		add("%v after the server was published as leaving", x.at.Sub(at))
	}
	if r.kind != kindRepeat || !calm {
		return faults
	}
	// Requests must be handled as a version allows that was in force within
	// the bound.
	names := make(map[string]bool)
	for i, m := range h.moves {
		last := i == len(h.moves)-1
		if m.at.Before(x.at) && (last || h.moves[i+1].at.Add(apply).After(r.sent)) {
			names[m.to] = true
		}
	}
	if !names[x.service] {
		add("at %s, which the configuration no longer names", x.service)
	}
	return faults
}
