package command_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/decision"
	"github.com/figmast/figmast/leafcall"
)

// harness drives a single engine step by step, with the clock and the router of
// a simulation.
type harness struct {
	*simulation
	engine *command.Engine
}

func newHarness(change func(*command.Options)) *harness {
	sim := newSimulation(1, injectedFaults{})
	h := sim.hosts[0]
	opts := command.Options{
		Router: h.router, NextCall: func() leafcall.ID { sim.calls++; return sim.calls },
		Host: h.id, Key: []byte("key"), Incarnation: "one", Lifetime: lifetime,
	}
	if change != nil {
		change(&opts)
	}
	return &harness{simulation: sim, engine: command.NewEngine(opts)}
}

// step advances the time with regular ticks, as in a running process.
func (h *harness) step(d time.Duration) command.Actions {
	var all command.Actions
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(min(tickInterval, end.Sub(h.now)))
		h.publish(h.hosts[0])
		acts := h.engine.Tick(h.now)
		all.Finish = append(all.Finish, acts.Finish...)
		all.Send = append(all.Send, acts.Send...)
	}
	return all
}

func (h *harness) ticket(t testing.TB) string {
	t.Helper()
	ticket, p := h.engine.Mint(h.now, h.now, h.doc.Name)
	if p != nil {
		t.Fatal(p)
	}
	return ticket.String()
}

func (h *harness) request(ticket string, left time.Duration) command.Request {
	return command.Request{
		ID: "r", Service: h.doc.Name, Operation: "book", ShardKey: "strap-7", Ticket: ticket,
		Payload: json.RawMessage(`{"strap":7}`), Deadline: h.now.Add(left),
	}
}

func (h *harness) start(ticket string, left time.Duration) command.Actions {
	_, acts := h.engine.Start(h.now, h.request(ticket, left))
	return acts
}

func ok(body string) leafcall.Result {
	return leafcall.Result{Status: leafcall.OK, Sent: true, Body: []byte(body)}
}

func TestJoinedCallerTimesOutAndTheClaimGoesOn(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	ticket := h.ticket(t)
	first := h.start(ticket, 4*time.Second)
	is.Equal(len(first.Send), 1)
	is.Equal(len(h.start(ticket, time.Second).Finish), 0)
	next, waiting := h.engine.Next()
	is.True(waiting && next.Equal(h.now.Add(time.Second)))
	late := h.step(time.Second).Finish
	is.Equal(len(late), 1)
	is.Equal(late[0].Problem.Outcome, figmast.Unknown)
	done := h.engine.Reply(h.now, first.Send[0].ID, ok(`"booked"`)).Finish
	is.Equal(len(done), 1)
	is.Equal(string(done[0].Answer.Result), `"booked"`)
	again := h.start(ticket, time.Second)
	is.Equal(len(again.Send), 0)
	is.Equal(again.Finish[0].Answer.Outcome, figmast.Ran)
}

func TestNotRunClosesTheTicket(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	ticket := h.ticket(t)
	acts := h.start(ticket, time.Second)
	tried := map[string]bool{}
	for len(acts.Send) > 0 {
		s := acts.Send[0]
		is.True(!tried[s.Server.ID]) // each attempt goes to another server
		tried[s.Server.ID] = true
		acts = h.engine.Reply(h.now, s.ID, leafcall.Result{Status: leafcall.Shed, Sent: true, RetryAfter: time.Minute})
	}
	is.Equal(len(tried), h.doc.Retries.Attempts)
	is.Equal(acts.Finish[0].Problem.Outcome, figmast.NotRun)
	is.Equal(acts.Finish[0].Problem.RetryAfterMs, time.Minute.Milliseconds())
	again := h.start(ticket, time.Second)
	is.Equal(len(again.Send), 0)
	is.Equal(again.Finish[0].Problem.Outcome, figmast.NotRun)
}

func TestNoRetryOnceAByteMayHaveLeft(t *testing.T) {
	for _, s := range []leafcall.Status{leafcall.Broken, leafcall.Timeout, leafcall.Cancelled, leafcall.Mismatch, leafcall.Rejected} {
		is := is.New(t)
		h := newHarness(nil)
		sent := h.start(h.ticket(t), time.Second).Send
		acts := h.engine.Reply(h.now, sent[0].ID, leafcall.Result{Status: s, Sent: true})
		is.Equal(len(acts.Send), 0)
		is.Equal(acts.Finish[0].Problem.Outcome, figmast.Unknown)
	}
}

// TestRequestReadAfterAPauseIsOld checks that a request read right after a pause
// of the process is assumed to have waited for all of the pause. If its deadline
// has then passed, it is not run, nor is a later copy of it.
func TestRequestReadAfterAPauseIsOld(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	ticket := h.ticket(t)
	h.step(time.Second)
	h.now = h.now.Add(4 * time.Second)
	h.publish(h.hosts[0])
	acts := h.start(ticket, 3*time.Second)
	is.Equal(len(acts.Send), 0)
	is.Equal(acts.Finish[0].Problem.Outcome, figmast.NotRun)
	is.Equal(len(h.start(ticket, 5*time.Second).Send), 0)
	acts = h.start(h.ticket(t), 5*time.Second)
	is.Equal(len(acts.Send), 1)
	is.Equal(acts.Send[0].Deadline, h.now.Add(time.Second)) // 5 s less the pause of 4 s
}

// TestGuardHoldsBackLateWrites checks that the guard forbids writes after the
// deadline or the lapse of the ticket, as when the process was paused between
// the decision to send and the write.
func TestGuardHoldsBackLateWrites(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	s := h.start(h.ticket(t), time.Second).Send[0]
	is.True(s.Guard(h.now.Add(999 * time.Millisecond)))
	is.True(!s.Guard(h.now.Add(time.Second)))
	s = h.start(h.ticket(t), time.Hour).Send[0]
	is.True(!s.Guard(h.now.Add(lifetime + time.Minute))) // the ticket has lapsed
}

// TestLapsedTicketStaysLapsed checks that a lapsed ticket does not become valid
// again when the clock goes back.
func TestLapsedTicketStaysLapsed(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	ticket := h.ticket(t)
	s := h.start(ticket, time.Second).Send[0]
	h.engine.Reply(h.now, s.ID, ok("1"))
	before := h.now
	h.step(lifetime + time.Minute)
	is.Equal(h.engine.Stats(), command.Stats{})
	h.now = before
	h.publish(h.hosts[0])
	acts := h.start(ticket, 10*time.Minute)
	is.Equal(len(acts.Send), 0)
	is.Equal(acts.Finish[0].Problem.Outcome, figmast.Unknown)
}

func TestTicketsAndResultsAreBounded(t *testing.T) {
	is := is.New(t)
	h := newHarness(func(o *command.Options) { o.MaxTickets, o.MaxHeldBytes = 2, 5 })
	tickets := []string{h.ticket(t), h.ticket(t)}
	_, p := h.engine.Mint(h.now, h.now, h.doc.Name)
	is.Equal(p.Outcome, figmast.NotRun)
	for _, ticket := range tickets {
		s := h.start(ticket, time.Second).Send[0]
		f := h.engine.Reply(h.now, s.ID, ok("1234")).Finish[0]
		is.Equal(string(f.Answer.Result), "1234") // the first answer is complete even if not held
	}
	is.Equal(h.engine.Stats().HeldBytes, 4)
	is.Equal(string(h.start(tickets[0], time.Second).Finish[0].Answer.Result), "1234")
	is.Equal(h.start(tickets[1], time.Second).Finish[0].Problem.Outcome, figmast.Ran)
	h.step(time.Duration(p.RetryAfterMs) * time.Millisecond)
	is.Equal(h.engine.Stats(), command.Stats{})
	h.ticket(t) // a retry after RetryAfterMs succeeds
}

func TestForeignTicketsAreRefused(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	genuine, err := command.ParseTicket(h.ticket(t))
	is.NoErr(err)
	altered := genuine
	altered.Serial++
	other := genuine
	other.Service = "billing"
	for _, text := range []string{"", "nonsense", altered.String(), other.String()} {
		acts := h.start(text, time.Second)
		is.Equal(len(acts.Send)+len(acts.Forward), 0)
		is.Equal(acts.Finish[0].Problem.Outcome, figmast.NotRun)
		is.Equal(acts.Finish[0].Problem.Field, "ticket")
	}
	is.Equal(len(h.start(genuine.String(), time.Second).Send), 1) // the genuine ticket is still valid
}

func TestClosedEngineStillReportsOutcomes(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	used, unused := h.ticket(t), h.ticket(t)
	s := h.start(used, time.Second).Send[0]
	h.engine.Close()
	is.Equal(h.engine.Stats().Running, 1)
	is.Equal(h.start(unused, time.Second).Finish[0].Problem.Outcome, figmast.NotRun)
	h.engine.Reply(h.now, s.ID, ok("1"))
	is.Equal(h.start(used, time.Second).Finish[0].Answer.Outcome, figmast.Ran)
	_, p := h.engine.Mint(h.now, h.now, h.doc.Name)
	is.Equal(p.Status, 503)
}

func TestDecisionsAreReported(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	ticket := h.ticket(t)
	kinds := func(a command.Actions) (out []decision.Kind) {
		for _, d := range a.Decisions {
			out = append(out, d.Kind)
		}
		return out
	}
	first := h.start(ticket, time.Second)
	is.Equal(kinds(first), []decision.Kind{decision.Claimed, decision.Sent})
	second := h.engine.Reply(h.now, first.Send[0].ID, leafcall.Result{Status: leafcall.NotSent})
	is.Equal(kinds(second), []decision.Kind{decision.Retried, decision.Sent})
	done := h.engine.Reply(h.now, second.Send[0].ID, ok("1"))
	is.Equal(kinds(done), []decision.Kind{decision.Answered})
	is.Equal(kinds(h.start(ticket, time.Second)), []decision.Kind{decision.Joined, decision.Answered})
	is.Equal(kinds(h.start("", time.Second)), []decision.Kind{decision.Refused, decision.Answered})
}

// keyOwner implements an alternative that docs/design/command.md rejects: instead
// of tickets, callers choose idempotency keys, and the first host by rendezvous
// hash runs a key if the key was made at least a margin after the host became
// its owner.
type keyOwner struct {
	self  string
	hosts []string
	since time.Time
	ran   map[string]bool
}

const margin = 10 * time.Second

func (o *keyOwner) takes(key string, made time.Time) bool {
	best := o.hosts[0]
	for _, h := range o.hosts {
		if xxhash.Sum64String(h+key) > xxhash.Sum64String(best+key) {
			best = h
		}
	}
	if best != o.self || made.Before(o.since.Add(margin)) || o.ran[key] {
		return false
	}
	o.ran[key] = true
	return true
}

// TestBareKeyHasNoSoleOwner is a counterexample to keyOwner: during a network
// partition, both sides keep serving, and each comes to list only its own hosts.
// A key made after that has an owner on each side for as long as the partition
// lasts, so a caller that reaches both sides has its command run twice.
func TestBareKeyHasNoSoleOwner(t *testing.T) {
	is := is.New(t)
	cut := time.Unix(1_700_000_000, 0)
	west := &keyOwner{self: "west", hosts: []string{"west"}, since: cut, ran: map[string]bool{}}
	east := &keyOwner{self: "east", hosts: []string{"east"}, since: cut, ran: map[string]bool{}}
	made := cut.Add(10 * time.Minute)
	is.True(west.takes("booking-1", made))
	is.True(!west.takes("booking-1", made))
	is.True(east.takes("booking-1", made)) // the duplicate run
}

// TestClaimOutlivesItsTicketWhileItRuns checks that a claim is kept until its
// ticket has lapsed and its run has ended.
func TestClaimOutlivesItsTicketWhileItRuns(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	ticket := h.ticket(t)
	h.step(lifetime)
	s := h.start(ticket, time.Minute).Send[0]
	h.step(lifetime)
	is.Equal(len(h.start(ticket, time.Minute).Finish), 0) // waits for the run
	is.Equal(len(h.engine.Reply(h.now, s.ID, ok("1")).Finish), 2)
	is.Equal(h.engine.Stats(), command.Stats{})
}

// liveClaims are the numbers of claims with which the benchmarks run.
var liveClaims = []int{1_000, 10_000, 100_000}

// fillClaims returns a harness with n claims whose outcomes are known.
func fillClaims(b *testing.B, n int) *harness {
	h := newHarness(func(o *command.Options) { o.MaxTickets, o.Lifetime = n+1_000_000, time.Hour })
	for range n {
		h.runClaim(b)
	}
	return h
}

func (h *harness) runClaim(t testing.TB) {
	acts := h.start(h.ticket(t), time.Second)
	h.engine.Reply(h.now, acts.Send[0].ID, ok(`{"booked":true}`))
}

// BenchmarkCommand measures a command from the minting of its ticket to its
// outcome.
func BenchmarkCommand(b *testing.B) {
	for _, n := range liveClaims {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := fillClaims(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.runClaim(b)
			}
		})
	}
}

// BenchmarkResend measures a resend of a command whose outcome is known.
func BenchmarkResend(b *testing.B) {
	for _, n := range liveClaims {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := fillClaims(b, n)
			ticket := h.ticket(b)
			h.engine.Reply(h.now, h.start(ticket, time.Second).Send[0].ID, ok(`{"booked":true}`))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				h.start(ticket, time.Second)
			}
		})
	}
}

// BenchmarkTick measures a tick with nothing due.
func BenchmarkTick(b *testing.B) {
	for _, n := range liveClaims {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := fillClaims(b, n)
			b.ResetTimer()
			for range b.N {
				h.engine.Tick(h.now)
			}
		})
	}
}

// BenchmarkClaimMemory reports the memory used by a claim with a small result.
func BenchmarkClaimMemory(b *testing.B) {
	for _, n := range liveClaims {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				h := fillClaims(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/claim")
				runtime.KeepAlive(h)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestCommandWaitsForCapacity checks that a command for a leaf whose connections
// are all in use waits, that it is sent once a connection is free, and that it
// is refused as not run, and never sent, if none becomes free in time.
func TestCommandWaitsForCapacity(t *testing.T) {
	is := is.New(t)
	h := newHarness(nil)
	var running []leafcall.ID
	saturate := func() command.Actions {
		for {
			acts := h.start(h.ticket(t), 4*time.Second)
			if len(acts.Send) == 0 {
				return acts
			}
			running = append(running, acts.Send[0].ID)
		}
	}
	is.Equal(len(saturate().Finish), 0) // it waits
	is.Equal(len(h.step(20*time.Millisecond).Send), 0)
	h.engine.Reply(h.now, running[0], ok("1"))
	is.Equal(len(h.step(20*time.Millisecond).Send), 1) // a connection was free

	is.Equal(len(saturate().Finish), 0)
	refused := h.step(time.Second).Finish
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Problem.Outcome, figmast.NotRun)
	is.True(refused[0].Problem.RetryAfterMs > 0)
	is.Equal(len(h.step(3*time.Second).Send), 0)
}
