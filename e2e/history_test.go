package e2e

import (
	"encoding/json"
	"fmt"
	"math/big"
	"sort"
	"strings"
	"sync"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/internal/fake"
)

// history records what callers, operators and backend servers observed during a
// concurrent run. It is checked after the run.
type history struct {
	mu        sync.Mutex
	queries   []queryRecord
	commands  []commandRecord
	published []publication
	// executions by backend server.
	executions map[string][]fake.Execution
}

// queryRecord is one query as its caller saw it.
type queryRecord struct {
	id, host   string
	payload    string
	start, end time.Time
	answer     *figmast.QueryAnswer
	problem    *figmast.Problem
	// connectionLost is set if the request was sent but no complete answer arrived.
	connectionLost bool
}

// commandRecord is one attempt at a command as its caller saw it.
type commandRecord struct {
	id, host       string
	payload        string
	start, end     time.Time
	answer         *figmast.CommandAnswer
	problem        *figmast.Problem
	connectionLost bool
}

// publication is one document that an operator published.
type publication struct {
	at  time.Time
	doc *document.Service
}

func (h *history) addQuery(q queryRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queries = append(h.queries, q)
}

func (h *history) addCommand(c commandRecord) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.commands = append(h.commands, c)
}

// bounds are the limits that the promises state.
type bounds struct {
	// inForce is the time after publication within which a document must be in force.
	inForce time.Duration
	// stopWork is how long a data centre or server may still get new work after it
	// is taken out or marked as leaving.
	stopWork time.Duration
	// coldSlack is how many concurrent requests above its allowance a cold server
	// may have: one for each sending host.
	coldSlack int
	// coldNotice is how long a server may be cold before hosts can notice it.
	coldNotice time.Duration
}

// check returns a description of every promise that the history breaks.
func (h *history) check(b bounds) []string {
	var violations []string
	for _, f := range []func(bounds) []string{
		h.checkSnapshots, h.checkCoverage, h.checkOwnAnswer, h.checkNotRun, h.checkAtMostOnce,
		h.checkStoppedServers, h.checkColdAllowance, h.checkVersions,
	} {
		violations = append(violations, f(b)...)
	}
	return violations
}

// checkSnapshots checks that every part of an answer comes from the answer's
// snapshot.
func (h *history) checkSnapshots(bounds) (violations []string) {
	for _, q := range h.queries {
		for _, part := range q.parts() {
			if part.Snapshot != q.answer.Snapshot {
				violations = append(violations, fmt.Sprintf("query %s: a part from snapshot %s in an answer for snapshot %s", q.id, part.Snapshot, q.answer.Snapshot))
			}
		}
	}
	return violations
}

func (q queryRecord) parts() []fake.Result {
	if q.answer == nil {
		return nil
	}
	var out []fake.Result
	for _, r := range q.answer.Results {
		var part fake.Result
		if json.Unmarshal(r.Result, &part) != nil {
			part.Snapshot = "unreadable"
		}
		out = append(out, part)
	}
	return out
}

// checkCoverage checks that the coverage of an answer, which is rounded down, is at
// most the share of its parts in the weight of its snapshot, that no leaf is
// counted twice and that every part was executed.
func (h *history) checkCoverage(bounds) (violations []string) {
	executed := h.executedQueries()
	for _, q := range h.queries {
		if q.answer == nil {
			continue
		}
		weights, total := h.weights(q.answer)
		covered := new(big.Rat)
		seen := make(map[string]bool)
		for _, part := range q.parts() {
			if seen[part.Leaf] {
				violations = append(violations, fmt.Sprintf("query %s: leaf %s counted twice", q.id, part.Leaf))
			}
			seen[part.Leaf] = true
			if !executed[executionKey{q.id, part.Leaf, part.Server, part.Snapshot}] {
				violations = append(violations, fmt.Sprintf("query %s: server %s never ran leaf %s for snapshot %s", q.id, part.Server, part.Leaf, part.Snapshot))
			}
			covered.Add(covered, new(big.Rat).SetUint64(weights[part.Leaf]))
		}
		if total == 0 {
			violations = append(violations, fmt.Sprintf("query %s: snapshot %s was never published", q.id, q.answer.Snapshot))
			continue
		}
		covered.Quo(covered, new(big.Rat).SetUint64(total))
		reported, _ := new(big.Rat).SetString(fmt.Sprintf("%.4f", q.answer.Coverage))
		if reported.Cmp(covered) > 0 {
			violations = append(violations, fmt.Sprintf("query %s: coverage %v reported, %s in the parts", q.id, q.answer.Coverage, covered.FloatString(6)))
		}
	}
	return violations
}

// executionKey identifies the execution of a query for a leaf on a server.
type executionKey struct{ request, leaf, server, snapshot string }

func (h *history) executedQueries() map[executionKey]bool {
	ran := make(map[executionKey]bool)
	for server, list := range h.executions {
		for _, e := range list {
			ran[executionKey{requestOf(e), e.Leaf, server, e.Snapshot}] = true
		}
	}
	return ran
}

// requestOf returns the ID of the request that an attempt belongs to.
func requestOf(e fake.Execution) string {
	i := strings.LastIndex(e.Attempt, "/")
	return e.Attempt[:max(i, 0)]
}

func (h *history) weights(a *figmast.QueryAnswer) (map[string]uint64, uint64) {
	out := make(map[string]uint64)
	for _, p := range h.published {
		if p.doc.Version != a.DocumentVersion {
			continue
		}
		for i := range p.doc.Snapshots {
			if s := &p.doc.Snapshots[i]; s.ID == a.Snapshot {
				for _, w := range s.Weights {
					out[w.Leaf] = w.Weight
				}
				return out, s.TotalWeight()
			}
		}
	}
	return out, 0
}

// checkOwnAnswer checks that each part of an answer was computed for this request.
func (h *history) checkOwnAnswer(bounds) (violations []string) {
	for _, q := range h.queries {
		for _, part := range q.parts() {
			if string(part.Echo) != q.payload {
				violations = append(violations, fmt.Sprintf("query %s: sent %s, got the answer to %s", q.id, q.payload, part.Echo))
			}
		}
		if q.answer != nil && q.answer.RequestID != q.id {
			violations = append(violations, fmt.Sprintf("query %s: got the answer to %s", q.id, q.answer.RequestID))
		}
	}
	return violations
}

// checkNotRun checks that no backend server ran a request that was refused as not
// run.
func (h *history) checkNotRun(bounds) (violations []string) {
	commands := make(map[string]int)
	requests := make(map[string]int)
	for _, list := range h.executions {
		for _, e := range list {
			if e.Command {
				commands[string(e.Payload)]++
			}
			requests[requestOf(e)]++
		}
	}
	for _, q := range h.queries {
		if q.problem != nil && q.problem.Outcome == figmast.NotRun && requests[q.id] > 0 {
			violations = append(violations, fmt.Sprintf("query %s: refused as not run, ran %d times", q.id, requests[q.id]))
		}
	}
	for _, c := range h.commands {
		if c.problem != nil && c.problem.Outcome == figmast.NotRun && commands[c.payload] > 0 {
			violations = append(violations, fmt.Sprintf("command %s: refused as not run, ran %d times", c.id, commands[c.payload]))
		}
	}
	return violations
}

// checkAtMostOnce checks that no command ran twice, and that every command reported
// as run was executed.
func (h *history) checkAtMostOnce(bounds) (violations []string) {
	count := make(map[string]int)
	for _, list := range h.executions {
		for _, e := range list {
			if e.Command {
				count[string(e.Payload)]++
			}
		}
	}
	for payload, n := range count {
		if n > 1 {
			violations = append(violations, fmt.Sprintf("command %s ran %d times", payload, n))
		}
	}
	for _, c := range h.commands {
		if c.answer != nil && count[c.payload] == 0 {
			violations = append(violations, fmt.Sprintf("command %s: reported as run, but never executed", c.id))
		}
	}
	sort.Strings(violations)
	return violations
}

// checkStoppedServers checks that servers which are leaving, or whose data centre is
// out, get no new work after stopWork until a document brings them back.
func (h *history) checkStoppedServers(b bounds) (violations []string) {
	for i, p := range h.published {
		from := p.at.Add(b.stopWork)
		var until time.Time
		for _, l := range p.doc.Leaves {
			for _, s := range l.Servers {
				if !s.Leaving && !p.doc.IsDataCentreOut(s.DataCentre) {
					continue
				}
				until = h.returnedAt(i, s.ID)
				for _, e := range h.executions[s.ID] {
					if e.At.After(from) && (until.IsZero() || e.At.Before(until)) {
						violations = append(violations, fmt.Sprintf("server %s executed %s %v after version %d took it out of service", s.ID, e.Attempt, e.At.Sub(p.at), p.doc.Version))
					}
				}
			}
		}
	}
	return violations
}

// returnedAt returns when a publication after the i-th brings the server back, or
// the zero time if none does.
func (h *history) returnedAt(i int, server string) time.Time {
	for _, p := range h.published[i+1:] {
		for _, l := range p.doc.Leaves {
			for _, s := range l.Servers {
				if s.ID == server && !s.Leaving && !p.doc.IsDataCentreOut(s.DataCentre) {
					return p.at
				}
			}
		}
	}
	return time.Time{}
}

// checkColdAllowance checks that a server which has been cold for longer than
// coldNotice never has more concurrent calls than its allowance plus coldSlack.
func (h *history) checkColdAllowance(b bounds) (violations []string) {
	allowance := h.published[0].doc.ColdStart.Allowance
	for server, list := range h.executions {
		var since time.Time
		for _, e := range list {
			if !e.Cold {
				since = time.Time{}
				continue
			}
			if since.IsZero() {
				since = e.At
			}
			if e.At.Sub(since) > b.coldNotice && e.InFlight > allowance+b.coldSlack {
				violations = append(violations, fmt.Sprintf("cold server %s had %d calls at once", server, e.InFlight))
			}
		}
	}
	return violations
}

// checkVersions checks that a published version is in force within inForce on every
// host that answers, and that no host goes back to an older one.
func (h *history) checkVersions(b bounds) (violations []string) {
	latest := make(map[string]queryRecord)
	byStart := append([]queryRecord(nil), h.queries...)
	sort.Slice(byStart, func(i, j int) bool { return byStart[i].start.Before(byStart[j].start) })
	for _, q := range byStart {
		if q.answer == nil {
			continue
		}
		if want := h.versionAt(q.start.Add(-b.inForce)); q.answer.DocumentVersion < want {
			violations = append(violations, fmt.Sprintf("query %s: host %s answered with version %d, expected at least %d", q.id, q.host, q.answer.DocumentVersion, want))
		}
		// A query that started after another ended must not see an older version.
		if old, ok := latest[q.host]; ok && q.start.After(old.end) && q.answer.DocumentVersion < old.answer.DocumentVersion {
			violations = append(violations, fmt.Sprintf("host %s went back from version %d to %d", q.host, old.answer.DocumentVersion, q.answer.DocumentVersion))
		}
		if old, ok := latest[q.host]; !ok || q.answer.DocumentVersion >= old.answer.DocumentVersion {
			latest[q.host] = q
		}
	}
	return violations
}

// versionAt returns the newest version published by that time.
func (h *history) versionAt(t time.Time) uint64 {
	var v uint64
	for _, p := range h.published {
		if !p.at.After(t) {
			v = max(v, p.doc.Version)
		}
	}
	return v
}
