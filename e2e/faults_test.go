package e2e

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/document"
	"github.com/figmast/figmast/internal/fake"
)

// Parameters of the runs under faults. Each data centre has one host and one server
// of each leaf.
const (
	faultLeaves       = 4
	faultDataCentres  = 3
	faultAllowance    = 2
	faultRunTime      = 12 * time.Second
	faultInterval     = 700 * time.Millisecond
	queryWorkers      = 6
	commandWorkers    = 3
	commandAttempts   = 3
	clientTimeout     = 4 * time.Second
	requestPause      = 5 * time.Millisecond
	readinessInterval = 200 * time.Millisecond
	backendLatency    = 3 * time.Millisecond
	coldLatency       = 20 * time.Millisecond
	seedsEnvironment  = "FIGMAST_FAULT_SEEDS"
)

// TestPromisesUnderFaults runs callers, operators and faults concurrently and
// checks the recorded history. FIGMAST_FAULT_SEEDS sets how many seeds run.
func TestPromisesUnderFaults(t *testing.T) {
	seeds := 1
	if n, err := strconv.Atoi(os.Getenv(seedsEnvironment)); err == nil {
		seeds = n
	}
	for seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed+1), func(t *testing.T) {
			runUnderFaults(t, uint64(seed+1))
		})
	}
}

// scenario is one run under faults.
type scenario struct {
	t       *testing.T
	random  *rand.Rand
	fleet   *fleet
	servers []string
	history *history

	// The state of the document that is published next; only the fault loop uses it.
	dataCentresOut map[string]bool
	leaving        map[string]bool
	snapshot       int
	version        uint64

	mu       sync.Mutex
	hosts    []*host
	ready    atomic.Pointer[[]*host]
	sequence atomic.Uint64
	cold     map[string]bool
}

func runUnderFaults(t *testing.T, seed uint64) {
	s := newScenario(t, seed)
	s.run()
	s.collect()
	s.checkRun(seed)
}

func dataCentreName(i int) string { return fmt.Sprintf("dc-%d", i) }

// run runs callers and injects faults for faultRunTime.
func (s *scenario) run() {
	stop := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { s.pollReadiness(stop) })
	for range queryWorkers {
		callers.Go(func() { s.callUntil(stop, s.sendQuery) })
	}
	for range commandWorkers {
		callers.Go(func() { s.callUntil(stop, s.sendCommand) })
	}
	for end := time.Now().Add(faultRunTime); time.Now().Before(end); time.Sleep(faultInterval) {
		s.injectFault()
	}
	close(stop)
	callers.Wait()
}

func (s *scenario) callUntil(stop <-chan struct{}, call func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(requestPause):
			call()
		}
	}
}

// injectFault injects one random fault or publishes one random change.
func (s *scenario) injectFault() {
	switch s.random.IntN(8) {
	case 0:
		s.toggleOnly(s.dataCentresOut, dataCentreName(s.random.IntN(faultDataCentres)))
		s.publish()
	case 1:
		s.toggleOnly(s.leaving, fmt.Sprintf("s%d", s.random.IntN(len(s.servers))))
		s.publish()
	case 2:
		s.snapshot++
		s.publish()
	case 3:
		s.freeze(s.random.IntN(len(s.hosts)), time.Duration(1+s.random.IntN(4))*time.Second)
	case 4:
		s.replaceHost(s.random.IntN(len(s.hosts)))
	case 5:
		s.toggleCold(s.servers[s.random.IntN(len(s.servers))])
	case 6:
		srv := s.servers[s.random.IntN(len(s.servers))]
		s.setBehaviour(srv, fake.Behaviour{Latency: backendLatency, BreakAfterRun: true})
		time.AfterFunc(300*time.Millisecond, func() { s.setBehaviour(srv, fake.Behaviour{Latency: backendLatency}) })
	case 7:
		s.fleet.setMode(fake.Mode{Down: true})
		time.Sleep(time.Duration(1+s.random.IntN(4)) * time.Second)
		s.fleet.setMode(fake.Mode{})
	}
}

// toggleOnly flips one entry and clears all others, so that at most one is set.
func (s *scenario) toggleOnly(set map[string]bool, name string) {
	on := !set[name]
	clear(set)
	set[name] = on
}

// toggleCold makes a server cold, or warm again.
func (s *scenario) toggleCold(server string) {
	s.cold[server] = !s.cold[server]
	if s.cold[server] {
		s.setBehaviour(server, fake.Behaviour{Latency: coldLatency, Cold: true})
		return
	}
	s.setBehaviour(server, fake.Behaviour{Latency: backendLatency})
}

// freeze suspends a host's process for a while.
func (s *scenario) freeze(i int, d time.Duration) {
	p := s.hosts[i].cmd.Process
	_ = p.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { _ = p.Signal(syscall.SIGCONT) })
}

// replaceHost kills a host and starts a new one in the same data centre.
func (s *scenario) replaceHost(i int) {
	old := s.hosts[i]
	_ = old.cmd.Process.Kill()
	s.fleet.unpublish(configstore.PrefixHosts + old.id)
	fresh := s.fleet.addHost(fmt.Sprintf("127.0.1.%d", 10+s.sequence.Add(1)%200), dataCentreName(i))
	s.mu.Lock()
	s.hosts[i] = fresh
	s.mu.Unlock()
}

// publish publishes the next version of the document at the platform.
func (s *scenario) publish() {
	s.version++
	text := s.document()
	doc, err := document.Parse(text)
	if err != nil {
		s.t.Fatalf("%s: %v", text, err)
	}
	s.fleet.publish(configstore.PrefixServices+doc.Name, text)
	s.history.published = append(s.history.published, publication{at: time.Now(), doc: doc})
}

// document returns the text of the document. Odd snapshots spread the data over one
// leaf fewer.
func (s *scenario) document() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "service: route-search\nversion: %d\nleast_coverage: 0.5\ncold_start: {allowance: %d}\n", s.version, faultAllowance)
	b.WriteString("operations:\n- {name: route-sheet, kind: query, deadline: 1s}\n- {name: book, kind: command, deadline: 1s}\n")
	for dc, out := range s.dataCentresOut {
		if out {
			fmt.Fprintf(&b, "data_centres_out: [%s]\n", dc)
		}
	}
	b.WriteString("leaves:\n")
	for l := range faultLeaves {
		fmt.Fprintf(&b, "- name: leaf-%d\n  slots: %d\n  connections: 60\n  servers:\n", l, faultDataCentres)
		for c := range faultDataCentres {
			id, address, _ := strings.Cut(s.servers[l*faultDataCentres+c], "=")
			fmt.Fprintf(&b, "  - {id: %s, address: %q, data_centre: %s, leaving: %t}\n", id, address, dataCentreName(c), s.leaving[id])
		}
	}
	b.WriteString("snapshots:\n")
	for n := max(0, s.snapshot-1); n <= s.snapshot; n++ {
		fmt.Fprintf(&b, "- id: snap-%d\n  partition_map: map-%d\n  weights:\n", n, n%2)
		for l := range faultLeaves - n%2 {
			fmt.Fprintf(&b, "  - {leaf: leaf-%d, weight: %d}\n", l, 100+l)
		}
	}
	return []byte(b.String())
}

// unpublish deletes a key at the platform.
func (f *fleet) unpublish(key string) {
	body, _ := json.Marshal(fake.DeleteRequest{Key: []byte(key)})
	resp, err := http.Post("http://"+f.platform+fake.PathDelete, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// setBehaviour changes how a fake backend server behaves.
func (s *scenario) setBehaviour(server string, b fake.Behaviour) {
	body, _ := json.Marshal(b)
	resp, err := http.Post("http://"+backendAddress(server)+fake.PathBehaviour, "application/json", bytes.NewReader(body))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// pollReadiness keeps the list of ready hosts up to date, as the platform's load
// balancer does.
func (s *scenario) pollReadiness(stop <-chan struct{}) {
	for {
		s.mu.Lock()
		all := append([]*host(nil), s.hosts...)
		s.mu.Unlock()
		var ready []*host
		for _, h := range all {
			if h.ready() {
				ready = append(ready, h)
			}
		}
		s.ready.Store(&ready)
		select {
		case <-stop:
			return
		case <-time.After(readinessInterval):
		}
	}
}

// pickHost returns one of the hosts that were ready at the last poll.
func (s *scenario) pickHost() *host {
	for {
		if ready := *s.ready.Load(); len(ready) > 0 {
			return ready[int(s.sequence.Add(1))%len(ready)]
		}
		time.Sleep(requestPause)
	}
}

func (s *scenario) sendQuery() {
	h := s.pickHost()
	n := s.sequence.Add(1)
	q := queryRecord{id: fmt.Sprintf("q%d", n), host: h.id, payload: fmt.Sprintf(`{"n":%d}`, n), start: time.Now()}
	body := figmast.QueryRequest{Operation: "route-sheet", Payload: json.RawMessage(q.payload)}
	q.answer = new(figmast.QueryAnswer)
	q.problem, q.connectionLost = exchange(h, "query", q.id, body, q.answer)
	if q.problem != nil || q.connectionLost {
		q.answer = nil
	}
	q.end = time.Now()
	s.history.addQuery(q)
}

// sendCommand gets a ticket and sends a command with it, first to the host that
// issued the ticket and then to others, until it is answered or commandAttempts is
// reached.
func (s *scenario) sendCommand() {
	h := s.pickHost()
	var ticket figmast.TicketAnswer
	if p, connectionLost := exchange(h, "tickets", "", struct{}{}, &ticket); p != nil || connectionLost {
		return
	}
	n := s.sequence.Add(1)
	payload := fmt.Sprintf(`{"strap":%d}`, n)
	for attempt := range commandAttempts {
		c := commandRecord{id: fmt.Sprintf("c%d-%d", n, attempt), host: h.id, payload: payload, start: time.Now()}
		body := figmast.CommandRequest{
			Operation: "book", ShardKey: fmt.Sprint(n), Ticket: ticket.Ticket, Payload: json.RawMessage(payload),
		}
		c.answer = new(figmast.CommandAnswer)
		c.problem, c.connectionLost = exchange(h, "command", c.id, body, c.answer)
		if c.problem != nil || c.connectionLost {
			c.answer = nil
		}
		c.end = time.Now()
		s.history.addCommand(c)
		if c.answer != nil {
			return
		}
		h = s.pickHost()
	}
}

// client opens a connection for each request, as behind a load balancer.
var client = &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// exchange sends one request to a host. It returns the problem if the request was
// refused, and true if it was sent but no complete answer arrived.
func exchange(h *host, path, id string, body, answer any) (*figmast.Problem, bool) {
	return exchangeWith(client, h, path, id, body, answer)
}

func exchangeWith(client *http.Client, h *host, path, id string, body, answer any) (*figmast.Problem, bool) {
	b, _ := json.Marshal(body)
	req, _ := http.NewRequest(http.MethodPost, "http://"+h.callers+"/v1/services/route-search/"+path, bytes.NewReader(b))
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(figmast.HeaderRequestID, id)
	resp, err := client.Do(req)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return &figmast.Problem{Title: "no connection", Outcome: figmast.Unknown}, false
		}
		return nil, true
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, true
	}
	if resp.StatusCode != http.StatusOK {
		p := new(figmast.Problem)
		if json.Unmarshal(text, p) != nil {
			p.Outcome = figmast.Unknown
		}
		return p, false
	}
	return nil, json.Unmarshal(text, answer) != nil
}

// collect reads the executions of the backend servers into the history.
func (s *scenario) collect() {
	for _, spec := range s.servers {
		id, _, _ := strings.Cut(spec, "=")
		s.history.executions[id] = executions(s.t, spec)
	}
}

// refusals counts the unanswered queries and commands by reason.
func (s *scenario) refusals() map[string]int {
	count := make(map[string]int)
	for _, q := range s.history.queries {
		switch {
		case q.problem != nil:
			count[q.problem.Title+" / "+q.problem.Detail]++
		case q.connectionLost:
			count["connection lost or timed out"]++
		}
	}
	for _, c := range s.history.commands {
		if c.problem != nil {
			count["command: "+c.problem.Title+" / "+c.problem.Detail+" / "+string(c.problem.Outcome)]++
		}
	}
	return count
}

// checkRun checks the history, and that enough requests were answered for the
// checks to mean something.
func (s *scenario) checkRun(seed uint64) {
	s.t.Helper()
	answered, ran := 0, 0
	for _, q := range s.history.queries {
		if q.answer != nil {
			answered++
		}
	}
	for _, c := range s.history.commands {
		if c.answer != nil {
			ran++
		}
	}
	for reason, n := range s.refusals() {
		s.t.Logf("seed %d: %5d × %s", seed, n, reason)
	}
	s.t.Logf("seed %d: %d of %d queries answered, %d commands ran in %d attempts, %d document versions",
		seed, answered, len(s.history.queries), ran, len(s.history.commands), len(s.history.published))
	if answered < len(s.history.queries)/10 || ran == 0 {
		s.t.Errorf("seed %d: too few requests were answered for the checks to mean anything", seed)
	}
	for i, f := range s.history.check(statedBounds) {
		if i == 20 {
			s.t.Errorf("further violations are omitted")
			break
		}
		s.t.Errorf("seed %d: %s", seed, f)
	}
}
