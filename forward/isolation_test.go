package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/handover"
	"github.com/figmast/figmast/policy"
	"github.com/figmast/figmast/route"
)

// linkFault is what happens between an isolated host and the backend servers.
type linkFault int

const (
	// linkSilent loses every packet, linkReset resets connections, linkRefuse
	// refuses new connections and leaves the open ones.
	linkSilent linkFault = iota
	linkReset
	linkRefuse
)

func (f linkFault) String() string { return [...]string{"silent", "reset", "refuse"}[f] }

// isolationShape configures a fleet of which some hosts are cut off from all
// backend servers.
type isolationShape struct {
	hosts int
	// share of the hosts, or wholeDataCentre, are cut off.
	share           float64
	wholeDataCentre bool
	fault           linkFault
	shards          int // 0 means a plain route
	nonIdempotent   bool
	// rate is the number of requests per second to all hosts.
	rate int
	// newerConfig is set if half of the other hosts know no configuration as new
	// as that of the isolated hosts, oldHosts if half of them are of an earlier
	// version and take no requests from hosts.
	newerConfig bool
	oldHosts    bool
}

func (s isolationShape) String() string {
	cut := fmt.Sprintf("%.0f%% cut off", 100*s.share)
	if s.wholeDataCentre {
		cut = "a data centre cut off"
	}
	kind := "plain"
	if s.shards > 0 {
		kind = fmt.Sprintf("%d shards", s.shards)
	}
	if s.nonIdempotent {
		kind += " once"
	}
	if s.newerConfig {
		kind += ", older configurations"
	}
	if s.oldHosts {
		kind += ", hosts of an earlier version"
	}
	return fmt.Sprintf("%d hosts, %s, %s, %s", s.hosts, cut, s.fault, kind)
}

// Times of the day that is played.
const (
	isolationStart   = 3 * time.Second
	isolationEnd     = 13 * time.Second
	isolationPlay    = 16 * time.Second
	isolationContact = 4 * time.Second
	// isolationHostDelay is the time of a message between hosts, isolationDial
	// that of a connection attempt without an answer, isolationBreak the time
	// after which a silent connection breaks.
	isolationHostDelay = time.Millisecond
	isolationDial      = 250 * time.Millisecond
	isolationBreak     = 4 * time.Second
	// isolationRetrySlack is the least retry slack for each host of the known
	// deployments.
	isolationRetrySlack = 2.1
	// isolationPoll is how often hosts exchange what they have found.
	isolationPoll = 100 * time.Millisecond
)

type isolationServer struct {
	route.Server
	running int
	queue   []func()
}

type isolationHost struct {
	engine   *Engine
	balancer *policy.Balancer
	address  string
	peers    *handover.Peers
	// transfers takes back requests that are handed over.
	transfers  map[RunID]func()
	dataCentre string
	isolated   bool
	old        bool
	outdated   bool
	pooled     map[string]bool
	requests   map[RunID]*isolationRequest
	calls      map[CallID]bool
	// dialing holds the calls whose connection is being opened.
	dialing map[CallID]bool
}

type isolationRequest struct {
	number  int
	sentAt  time.Time
	host    *isolationHost
	counted bool
	// done is called with the result once.
	done func(Finish)
}

// isolationFleet simulates hosts, their links to backend servers and the
// servers.
type isolationFleet struct {
	shape   isolationShape
	t0, now time.Time
	random  *rand.Rand
	rt      *route.Route
	hosts   []*isolationHost
	servers map[string]*isolationServer
	events  simEvents

	// first tries from isolationContact after the start of the cut to its end.
	isolatedTries, isolatedServed, otherTries, otherServed int
	// runs counts how often servers have worked on each request, falseRefusals
	// the requests that were refused although they ran.
	runs          map[int]int
	doubled       int
	falseRefusals int
	refused       []int
	// longestRefusal is the longest time from a request during the cut to its
	// refusal.
	longestRefusal time.Duration
	unanswered     int
	late           int
	arrivals       int
	handovers      int
	cutHandovers   int
	// crashReports counts reports that a server has crashed, slowReports those that
	// one is slow by hosts that are cut off.
	crashReports, slowReports int
	dials                     int
}

func newIsolationFleet(shape isolationShape) *isolationFleet {
	f := &isolationFleet{
		shape: shape, t0: time.Unix(1000, 0), now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(11, 12)),
		servers: make(map[string]*isolationServer), runs: make(map[int]int),
	}
	names := []string{"s"}
	f.rt = singleRoute(!shape.nonIdempotent)
	if shape.shards > 0 {
		f.rt, names = gatherRoute(shape.shards, 0.9)
	}
	topology := &route.Topology{Config: &route.Config{Version: 1, Services: map[string]route.Service{}}, Evacuated: map[string]time.Time{}}
	for i, name := range names {
		topology.Config.Services[name] = route.Service{Name: name, MaxConnections: max(46, 2*shape.hosts)}
		for j := range 6 {
			s := &isolationServer{Server: route.Server{
				ID: fmt.Sprintf("%s-%d", name, j), Service: name, Address: fmt.Sprintf("10.%d.%d.1:80", j, i), DataCentre: string(rune('a' + j%3)), Slots: 6,
			}}
			f.servers[s.ID] = s
			topology.Servers = append(topology.Servers, s.Server)
		}
	}
	var addresses []string
	for i := range shape.hosts {
		addresses = append(addresses, fmt.Sprintf("10.0.%d.%d", i/250, i%250+1))
	}
	cut := int(shape.share*float64(shape.hosts) + 0.5)
	for i, address := range addresses {
		dc := string(rune('a' + i%3))
		h := &isolationHost{address: address, dataCentre: dc, transfers: make(map[RunID]func()), pooled: make(map[string]bool), requests: make(map[RunID]*isolationRequest), calls: make(map[CallID]bool), dialing: make(map[CallID]bool)}
		h.isolated = i < cut || shape.wholeDataCentre && dc == "a"
		h.old = shape.oldHosts && !h.isolated && i%2 == 0
		h.outdated = shape.newerConfig && !h.isolated && i%2 == 0
		h.balancer = policy.NewBalancer(f.now, policy.BalancerOptions{
			Address: address, DataCentre: dc, Regions: isolationRegions, Rand: f.random, RetryRatio: 0.2, RetrySlack: max(58, isolationRetrySlack*float64(shape.hosts)), RetryWindow: 10 * time.Second,
		})
		h.balancer.Apply(f.now, topology)
		h.balancer.ApplyHosts(f.now, addresses, (shape.hosts+2)/3)
		f.setUpHost(h)
		f.hosts = append(f.hosts, h)
	}
	var hosts []handover.Host
	for _, h := range f.hosts {
		hosts = append(hosts, handover.Host{Address: h.address, DataCentre: h.dataCentre})
	}
	for _, h := range f.hosts {
		h.engine.SetHosts(hosts)
	}
	return f
}

// isCut reports whether the host reaches no server now.
func (f *isolationFleet) isCut(h *isolationHost) bool {
	d := f.now.Sub(f.t0)
	return h.isolated && d >= isolationStart && d < isolationEnd
}

func (f *isolationFleet) after(d time.Duration, do func()) { f.events.add(f.now.Add(d), do) }

func (f *isolationFleet) apply(h *isolationHost, a Actions) {
	for _, x := range a.Finish {
		if q := h.requests[x.Run]; q != nil {
			delete(h.requests, x.Run)
			q.done(x)
		}
	}
	for _, c := range a.Cancel {
		f.after(c.After, func() {
			if h.dialing[c.Call] {
				f.endCall(h, c.Call, Reply{Outcome: NotSent, Withheld: true})
				return
			}
			f.endCall(h, c.Call, Reply{Outcome: Cancelled})
		})
	}
	for _, x := range a.Send {
		f.startCall(h, x)
	}
	for _, c := range a.Check {
		f.after(c.After, func() { f.apply(h, h.engine.HandleCheck(f.now, c.Target, f.isCut(h) && f.shape.fault != linkSilent)) })
	}
	f.applyIsolation(h, a)
}

func (f *isolationFleet) endCall(h *isolationHost, id CallID, r Reply) {
	if !h.calls[id] {
		return
	}
	delete(h.calls, id)
	delete(h.dialing, id)
	if r.Outcome != Answered {
		h.pooled[serverOf(h, id)] = false
	}
	f.apply(h, h.engine.HandleReply(f.now, id, r))
}

// serverOf returns the ID of the server of a call in flight.
func serverOf(h *isolationHost, id CallID) string {
	if c := h.engine.calls[id]; c != nil {
		return c.target.ID
	}
	return ""
}

func (f *isolationFleet) startCall(h *isolationHost, x Send) {
	h.calls[x.Call] = true
	number := h.requests[x.Run].number
	end := func(d time.Duration, r Reply) { f.after(d, func() { f.endCall(h, x.Call, r) }) }
	pooled := h.pooled[x.Target.ID]
	if !pooled {
		f.dials++
	}
	if !f.isCut(h) {
		h.pooled[x.Target.ID] = true
		f.after(isolationHostDelay, func() { f.arrive(h, x, number, !pooled) })
		return
	}
	switch {
	case f.shape.fault == linkReset:
		end(isolationHostDelay, Reply{Outcome: NotSent, Detail: "not sent: connection reset"})
	case f.shape.fault == linkRefuse && pooled:
		f.after(isolationHostDelay, func() { f.arrive(h, x, number, !pooled) })
	case f.shape.fault == linkRefuse:
		end(isolationHostDelay, Reply{Outcome: NotSent, Unreachable: true, Detail: "not sent: connection refused"})
	case pooled:
		end(min(isolationBreak, x.Deadline.Sub(f.now)), Reply{Outcome: Broken, Detail: "broken: timeout"})
	default:
		h.dialing[x.Call] = true
		end(isolationDial, Reply{Outcome: NotSent, Detail: "not sent: timeout"})
	}
}

func (f *isolationFleet) arrive(h *isolationHost, x Send, number int, connected bool) {
	s := f.servers[x.Target.ID]
	f.arrivals++
	s.queue = append(s.queue, func() {
		if !h.calls[x.Call] && !x.NonIdempotent {
			return // its connection was closed while it was in the queue
		}
		s.running++
		f.runs[number]++
		if x.NonIdempotent && f.runs[number] > 1 {
			f.doubled++
		}
		took := time.Duration(float64(simServiceTime) * (0.7 + 0.6*f.random.Float64()))
		f.after(took, func() {
			s.running--
			if !f.isCut(h) || f.shape.fault == linkRefuse {
				r := ok("x")
				r.Connected = connected
				f.endCall(h, x.Call, r)
			}
			f.startQueued(s)
		})
	})
	f.startQueued(s)
}

func (f *isolationFleet) startQueued(s *isolationServer) {
	for s.running < s.Slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next()
	}
}

// cutConnections ends or silences the calls in flight at the start of the cut.
func (f *isolationFleet) cutConnections() {
	for _, h := range f.hosts {
		if !h.isolated || f.shape.fault == linkRefuse {
			continue
		}
		delay := isolationBreak
		if f.shape.fault == linkReset {
			delay = isolationHostDelay
			clear(h.pooled)
		}
		for id := range h.calls {
			f.after(delay, func() { f.endCall(h, id, Reply{Outcome: Broken, Detail: "broken: connection"}) })
		}
	}
}

// collectReports takes what the hosts have found of the servers, all of which are
// well.
func (f *isolationFleet) collectReports() {
	for _, h := range f.hosts {
		for _, x := range h.engine.TakeReports(f.now) {
			if !x.Answered {
				f.crashReports++
			}
		}
		if spans := h.balancer.TakeSlowSpans(); f.isCut(h) && f.now.Sub(f.t0) >= isolationStart+isolationContact {
			f.slowReports += len(spans)
		}
	}
}

// request sends a caller's first try to a host.
func (f *isolationFleet) request(number int, h *isolationHost) {
	since := f.now.Sub(f.t0)
	q := &isolationRequest{number: number, sentAt: f.now, host: h}
	q.counted = since >= isolationStart+isolationContact && since < isolationEnd
	deadline := f.now.Add(f.rt.Timeout)
	f.unanswered++
	if q.counted {
		f.count(&f.isolatedTries, &f.otherTries, h)
	}
	q.done = func(x Finish) {
		f.unanswered--
		if f.now.After(deadline) {
			f.late++
		}
		if x.Verdict == Relayed {
			x = x.Answer.(Finish)
		}
		if x.Verdict == Refused {
			f.refused = append(f.refused, number)
			if q.counted {
				f.longestRefusal = max(f.longestRefusal, f.now.Sub(q.sentAt))
			}
		}
		if q.counted && isServed(x) {
			f.count(&f.isolatedServed, &f.otherServed, h)
		}
	}
	f.start(h, q, Request{ID: fmt.Sprint(number), Route: f.rt, Deadline: deadline, Fingerprint: uint64(number)})
}

func (f *isolationFleet) start(h *isolationHost, q *isolationRequest, req Request) RunID {
	id, a := h.engine.Start(f.now, req)
	h.requests[id] = q
	f.apply(h, a)
	return id
}

func (f *isolationFleet) count(isolated, other *int, h *isolationHost) {
	if h.isolated {
		*isolated++
		return
	}
	*other++
}

func (f *isolationFleet) play() {
	for n := range int(isolationPlay.Seconds() * float64(f.shape.rate)) {
		at := time.Duration(n) * time.Second / time.Duration(f.shape.rate)
		h := f.hosts[f.random.IntN(len(f.hosts))]
		f.events.add(f.t0.Add(at), func() { f.request(n, h) })
	}
	f.events.add(f.t0.Add(isolationStart), f.cutConnections)
	for at := time.Duration(0); at < isolationPlay; at += isolationPoll {
		f.events.add(f.t0.Add(at), f.collectReports)
	}
	end := f.t0.Add(isolationPlay + 5*time.Second)
	for len(f.events.list) > 0 && f.now.Before(end) {
		var first *isolationHost
		due := f.events.list[0].at
		for _, h := range f.hosts {
			if at, ok := h.engine.NextTick(); ok && at.Before(due) {
				first, due = h, at
			}
		}
		if due.After(f.now) {
			f.now = due
		}
		if first != nil {
			f.apply(first, first.engine.Tick(f.now))
			continue
		}
		f.events.next().do()
	}
	for _, n := range f.refused {
		if f.runs[n] > 0 {
			f.falseRefusals++
		}
	}
}

// TestCallersOfIsolatedHostsAreServed guards against hosts that refuse requests
// because they reach no backend server while other hosts do.
func TestCallersOfIsolatedHostsAreServed(t *testing.T) {
	const (
		// The platform's rule: isolated hosts serve at least two thirds as often
		// as the others.
		leastOfOthers = 2.0 / 3
		leastServed   = 0.9
	)
	for _, shape := range isolationShapes() {
		t.Run(shape.String(), func(t *testing.T) {
			f := newIsolationFleet(shape)
			f.play()
			isolated := float64(f.isolatedServed) / float64(f.isolatedTries)
			other := float64(f.otherServed) / float64(max(f.otherTries, 1))
			t.Logf("isolated hosts served %d of %d, the others %d of %d; %d calls, %d connections, %d handovers", f.isolatedServed, f.isolatedTries, f.otherServed, f.otherTries, f.arrivals, f.dials, f.handovers)
			if f.isolatedTries == 0 || isolated < leastOfOthers*other || other < leastServed {
				t.Errorf("isolated hosts served %.3f of the first tries, the others %.3f", isolated, other)
			}
			if f.doubled > 0 || f.falseRefusals > 0 {
				t.Errorf("%d requests ran twice, %d were refused although they ran", f.doubled, f.falseRefusals)
			}
			if f.crashReports > 0 || f.slowReports > 0 {
				t.Errorf("hosts reported %d crashes and %d slow servers, though all servers were well", f.crashReports, f.slowReports)
			}
			if f.unanswered > 0 || f.late > 0 {
				t.Errorf("%d requests have no final answer, %d got theirs late", f.unanswered, f.late)
			}
		})
	}
}

// TestFleetWithoutServersRefusesAtOnce guards against storms of messages between
// hosts, and late refusals, while no host reaches a server.
func TestFleetWithoutServersRefusesAtOnce(t *testing.T) {
	const (
		// A refusal takes a message to each host that is asked and back.
		maxWait = 50 * time.Millisecond
		// Each host asks each other host about once a second.
		maxAsksPerSecond = 1.5
	)
	for _, hosts := range []int{2, 9, 91} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			f := newIsolationFleet(isolationShape{hosts: hosts, share: 1, fault: linkSilent, shards: 10, rate: 120})
			f.play()
			cut := (isolationEnd - isolationStart - isolationContact).Seconds()
			asks := float64(f.cutHandovers) / float64(hosts*(hosts-1)) / cut
			t.Logf("%d handovers, %.2f a second from each host to each other; longest refusal %v", f.handovers, asks, f.longestRefusal)
			if asks > maxAsksPerSecond {
				t.Errorf("each host asked each other one %.2f times a second", asks)
			}
			if f.longestRefusal > maxWait || f.falseRefusals > 0 || f.unanswered > 0 {
				t.Errorf("longest refusal %v, %d false ones, %d requests without an answer", f.longestRefusal, f.falseRefusals, f.unanswered)
			}
		})
	}
}

func isolationShapes() []isolationShape {
	var out []isolationShape
	for _, fault := range []linkFault{linkSilent, linkReset, linkRefuse} {
		out = append(out,
			isolationShape{hosts: 2, share: 0.5, fault: fault, shards: 6, rate: 60},
			isolationShape{hosts: 9, share: 0.34, fault: fault, shards: 10, rate: 120},
			isolationShape{hosts: 9, share: 0.67, fault: fault, shards: 10, rate: 120},
			isolationShape{hosts: 9, share: 0.67, fault: fault, rate: 120},
			isolationShape{hosts: 9, share: 0.67, fault: fault, nonIdempotent: true, rate: 120},
			isolationShape{hosts: 9, wholeDataCentre: true, fault: fault, shards: 10, rate: 120},
			isolationShape{hosts: 91, share: 0.6, fault: fault, shards: 12, rate: 90},
		)
	}
	return append(out,
		isolationShape{hosts: 9, share: 0.89, fault: linkSilent, rate: 60},
		isolationShape{hosts: 295, share: 0.6, fault: linkSilent, shards: 12, rate: 90},
		isolationShape{hosts: 9, share: 0.34, fault: linkSilent, shards: 10, rate: 120, oldHosts: true},
		isolationShape{hosts: 9, share: 0.34, fault: linkReset, shards: 10, rate: 120, newerConfig: true},
	)
}

// isServed reports whether the caller got a complete answer.
func isServed(x Finish) bool {
	return x.Verdict == Merged || x.Verdict == PassThrough && x.Answer == "whole"
}

func (f *isolationFleet) setUpHost(h *isolationHost) {
	h.peers = handover.NewPeers(handover.Options{Address: h.address, DataCentre: h.dataCentre, Regions: isolationRegions, Rand: f.random})
	h.engine = NewEngine(Options{Balancer: h.balancer, Rand: f.random, CPUCapacity: 1, Peers: h.peers})
}

// applyIsolation carries out the actions of a host that reaches no server.
func (f *isolationFleet) applyIsolation(h *isolationHost, a Actions) {
	for range a.Probe {
		delay, reached := isolationHostDelay, !f.isCut(h)
		if !reached && f.shape.fault == linkSilent {
			delay = isolationDial
		}
		f.after(delay, func() { f.apply(h, h.engine.HandleProbe(f.now, reached)) })
	}
	for _, x := range a.Handover {
		f.handOver(h, x)
	}
	for _, id := range a.Withdraw {
		if end := h.transfers[id]; end != nil {
			end()
		}
	}
}

// handOver takes a request from one host to another.
func (f *isolationFleet) handOver(h *isolationHost, x Handover) {
	f.handovers++
	if f.isCut(h) && f.now.Sub(f.t0) >= isolationStart+isolationContact {
		f.cutHandovers++
	}
	q := h.requests[x.Run]
	run := h.engine.runs[x.Run]
	var to *isolationHost
	for _, o := range f.hosts {
		if o.address == x.Address {
			to = o
		}
	}
	withdrawn, remoteRun := false, RunID(0)
	reply := func(r HandoverReply) {
		f.after(isolationHostDelay, func() { f.apply(h, h.engine.HandleHandover(f.now, x.Run, x.Address, r)) })
	}
	switch {
	case to.old:
		reply(HandoverReply{Result: handover.Unreachable})
		return
	case to.outdated:
		reply(HandoverReply{Result: handover.Outdated})
		return
	}
	h.transfers[x.Run] = func() {
		withdrawn = true
		reply(HandoverReply{Result: handover.Lost})
		if remoteRun != 0 {
			f.after(isolationHostDelay, func() { f.apply(to, to.engine.Abandon(f.now, remoteRun)) })
		}
	}
	f.after(isolationHostDelay, func() {
		if withdrawn {
			return
		}
		guest := &isolationRequest{number: q.number, host: to, done: func(x Finish) {
			if withdrawn {
				return
			}
			r := HandoverReply{Result: x.Handover, Served: isServed(x), NotRun: x.Verdict == Refused, Answer: x}
			reply(r)
		}}
		remoteRun = f.start(to, guest, Request{
			ID: run.req.ID, Route: f.rt, Deadline: run.req.Deadline, Fingerprint: run.req.Fingerprint, HandedOver: true, PriorCalls: x.PriorCalls,
		})
	})
}

var isolationRegions = map[string]string{"a": "r", "b": "r", "c": "r"}

// TestLostHandoverCountsAsAttempts guards against more calls to the servers of one
// shard than the route allows when a host that has the request does not answer.
func TestLostHandoverCountsAsAttempts(t *testing.T) {
	for attempts, hosts := range map[int]int{2: 1, 3: 2, 5: 3} {
		t.Run(fmt.Sprint(attempts), func(t *testing.T) {
			is := is.New(t)
			w := newHarness(t, "s")
			w.engine.opts.Peers = handover.NewPeers(handover.Options{Address: "10.1.0.1", DataCentre: "a", Rand: w.engine.opts.Rand})
			w.engine.SetHosts([]handover.Host{{Address: "10.1.0.2"}, {Address: "10.1.0.3"}, {Address: "10.1.0.4"}, {Address: "10.1.0.5"}})
			rt := singleRoute(true)
			rt.MaxAttempts = attempts
			_, a := w.engine.Start(w.now, Request{ID: "r", Route: rt, Deadline: w.now.Add(rt.Timeout), Fingerprint: 7})
			for _, s := range a.Send { // all servers are out of reach
				a = w.engine.HandleReply(w.now, s.Call, Reply{Outcome: NotSent})
			}
			for len(a.Send) > 0 {
				a = w.engine.HandleReply(w.now, a.Send[0].Call, Reply{Outcome: NotSent})
			}
			asked, prior := 0, []int{0, callsPerHandover, 2 * callsPerHandover}
			for len(a.Handover) > 0 {
				is.Equal(a.Handover[0].PriorCalls, prior[asked])
				is.True(a.Handover[0].PriorCalls < attempts)
				asked++
				a = w.engine.HandleHandover(w.now, a.Handover[0].Run, a.Handover[0].Address, HandoverReply{Result: handover.Lost})
			}
			is.Equal(asked, hosts)
			is.Equal(len(a.Finish), 1)
			is.Equal(a.Finish[0].Verdict, Failed) // not refused, as it may have run
		})
	}
}
