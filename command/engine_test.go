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

// bench is one engine that a test drives step by step.
type bench struct {
	*world
	engine *command.Engine
}

func newBench(change func(*command.Options)) *bench {
	w := newWorld(1, planted{})
	h := w.hosts[0]
	opts := command.Options{
		Router: h.router, NextCall: func() leafcall.ID { w.calls++; return w.calls },
		Host: h.id, Key: []byte("key"), Incarnation: "one", Lifetime: lifetime,
	}
	if change != nil {
		change(&opts)
	}
	return &bench{world: w, engine: command.NewEngine(opts)}
}

// step lets time pass while the process runs.
func (b *bench) step(d time.Duration) command.Actions {
	var all command.Actions
	for end := b.now.Add(d); b.now.Before(end); {
		b.now = b.now.Add(min(tickEvery, end.Sub(b.now)))
		b.publish(b.hosts[0])
		acts := b.engine.Tick(b.now)
		all.Finish = append(all.Finish, acts.Finish...)
		all.Send = append(all.Send, acts.Send...)
	}
	return all
}

func (b *bench) ticket(t testing.TB) string {
	t.Helper()
	ticket, p := b.engine.Mint(b.now, b.now, b.doc.Name)
	if p != nil {
		t.Fatal(p)
	}
	return ticket.String()
}

func (b *bench) request(ticket string, left time.Duration) command.Request {
	return command.Request{
		ID: "r", Service: b.doc.Name, Operation: "book", ShardKey: "strap-7", Ticket: ticket,
		Payload: json.RawMessage(`{"strap":7}`), Deadline: b.now.Add(left),
	}
}

func (b *bench) start(ticket string, left time.Duration) command.Actions {
	_, acts := b.engine.Start(b.now, b.request(ticket, left))
	return acts
}

func ok(body string) leafcall.Result {
	return leafcall.Result{Status: leafcall.OK, Sent: true, Body: []byte(body)}
}

func TestJoinedCallerTimesOutAndTheClaimGoesOn(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	ticket := b.ticket(t)
	first := b.start(ticket, 4*time.Second)
	is.Equal(len(first.Send), 1)
	is.Equal(len(b.start(ticket, time.Second).Finish), 0)
	next, waiting := b.engine.Next()
	is.True(waiting && next.Equal(b.now.Add(time.Second)))
	late := b.step(time.Second).Finish
	is.Equal(len(late), 1)
	is.Equal(late[0].Problem.Outcome, figmast.Unknown)
	done := b.engine.Reply(b.now, first.Send[0].ID, ok(`"booked"`)).Finish
	is.Equal(len(done), 1)
	is.Equal(string(done[0].Answer.Result), `"booked"`)
	again := b.start(ticket, time.Second)
	is.Equal(len(again.Send), 0)
	is.Equal(again.Finish[0].Answer.Outcome, figmast.Ran)
}

func TestNotRunClosesTheTicket(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	ticket := b.ticket(t)
	acts := b.start(ticket, time.Second)
	tried := map[string]bool{}
	for len(acts.Send) > 0 {
		s := acts.Send[0]
		is.True(!tried[s.Server.ID]) // each attempt goes to another server
		tried[s.Server.ID] = true
		acts = b.engine.Reply(b.now, s.ID, leafcall.Result{Status: leafcall.Shed, Sent: true, RetryAfter: time.Minute})
	}
	is.Equal(len(tried), b.doc.Retries.Attempts)
	is.Equal(acts.Finish[0].Problem.Outcome, figmast.NotRun)
	is.Equal(acts.Finish[0].Problem.RetryAfterMs, time.Minute.Milliseconds())
	again := b.start(ticket, time.Second)
	is.Equal(len(again.Send), 0)
	is.Equal(again.Finish[0].Problem.Outcome, figmast.NotRun)
}

func TestNoRetryOnceAByteMayHaveLeft(t *testing.T) {
	for _, s := range []leafcall.Status{leafcall.Broken, leafcall.Timeout, leafcall.Cancelled, leafcall.Mismatch, leafcall.Rejected} {
		is := is.New(t)
		b := newBench(nil)
		sent := b.start(b.ticket(t), time.Second).Send
		acts := b.engine.Reply(b.now, sent[0].ID, leafcall.Result{Status: s, Sent: true})
		is.Equal(len(acts.Send), 0)
		is.Equal(acts.Finish[0].Problem.Outcome, figmast.Unknown)
	}
}

// A request that lay unread while the process was paused is as old as the
// pause, whatever its time left says. Its ticket is closed: a copy of the
// message that comes later still must not run either.
func TestRequestReadAfterAPauseIsOld(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	ticket := b.ticket(t)
	b.step(time.Second)
	b.now = b.now.Add(4 * time.Second)
	b.publish(b.hosts[0])
	acts := b.start(ticket, 3*time.Second)
	is.Equal(len(acts.Send), 0)
	is.Equal(acts.Finish[0].Problem.Outcome, figmast.NotRun)
	is.Equal(len(b.start(ticket, 5*time.Second).Send), 0)
	acts = b.start(b.ticket(t), 5*time.Second)
	is.Equal(len(acts.Send), 1)
	is.Equal(acts.Send[0].Deadline, b.now.Add(time.Second)) // what may be left of it
}

// The guard looks at nothing but the time: a process that wakes late sends
// nothing, and its command has not run.
func TestGuardHoldsBackLateWrites(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	s := b.start(b.ticket(t), time.Second).Send[0]
	is.True(s.Guard(b.now.Add(999 * time.Millisecond)))
	is.True(!s.Guard(b.now.Add(time.Second)))
	s = b.start(b.ticket(t), time.Hour).Send[0]
	is.True(!s.Guard(b.now.Add(lifetime + time.Minute))) // the ticket has lapsed
}

// A clock that steps back revives no ticket.
func TestLapsedTicketStaysLapsed(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	ticket := b.ticket(t)
	s := b.start(ticket, time.Second).Send[0]
	b.engine.Reply(b.now, s.ID, ok("1"))
	before := b.now
	b.step(lifetime + time.Minute)
	is.Equal(b.engine.Stats(), command.Stats{})
	b.now = before
	b.publish(b.hosts[0])
	acts := b.start(ticket, 10*time.Minute)
	is.Equal(len(acts.Send), 0)
	is.Equal(acts.Finish[0].Problem.Outcome, figmast.Unknown)
}

func TestTicketsAndResultsAreBounded(t *testing.T) {
	is := is.New(t)
	b := newBench(func(o *command.Options) { o.MaxTickets, o.MaxHeldBytes = 2, 5 })
	tickets := []string{b.ticket(t), b.ticket(t)}
	_, p := b.engine.Mint(b.now, b.now, b.doc.Name)
	is.Equal(p.Outcome, figmast.NotRun)
	for _, ticket := range tickets {
		s := b.start(ticket, time.Second).Send[0]
		f := b.engine.Reply(b.now, s.ID, ok("1234")).Finish[0]
		is.Equal(string(f.Answer.Result), "1234") // the first answer is whole
	}
	is.Equal(b.engine.Stats().HeldBytes, 4)
	is.Equal(string(b.start(tickets[0], time.Second).Finish[0].Answer.Result), "1234")
	is.Equal(b.start(tickets[1], time.Second).Finish[0].Problem.Outcome, figmast.Ran)
	b.step(time.Duration(p.RetryAfterMs) * time.Millisecond)
	is.Equal(b.engine.Stats(), command.Stats{})
	b.ticket(t) // coming back when told helps
}

func TestTicketsOfOthers(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	genuine, err := command.ParseTicket(b.ticket(t))
	is.NoErr(err)
	altered := genuine
	altered.Serial++
	other := genuine
	other.Service = "billing"
	for _, text := range []string{"", "nonsense", altered.String(), other.String()} {
		acts := b.start(text, time.Second)
		is.Equal(len(acts.Send)+len(acts.Forward), 0)
		is.Equal(acts.Finish[0].Problem.Outcome, figmast.NotRun)
		is.Equal(acts.Finish[0].Problem.Field, "ticket")
	}
	is.Equal(len(b.start(genuine.String(), time.Second).Send), 1) // its holder loses nothing
}

func TestClosedEngineStillTellsOutcomes(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	used, unused := b.ticket(t), b.ticket(t)
	s := b.start(used, time.Second).Send[0]
	b.engine.Close()
	is.Equal(b.engine.Stats().Running, 1)
	is.Equal(b.start(unused, time.Second).Finish[0].Problem.Outcome, figmast.NotRun)
	b.engine.Reply(b.now, s.ID, ok("1"))
	is.Equal(b.start(used, time.Second).Finish[0].Answer.Outcome, figmast.Ran)
	_, p := b.engine.Mint(b.now, b.now, b.doc.Name)
	is.Equal(p.Status, 503)
}

func TestDecisionsAreTold(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	ticket := b.ticket(t)
	kinds := func(a command.Actions) (out []decision.Kind) {
		for _, d := range a.Decisions {
			out = append(out, d.Kind)
		}
		return out
	}
	first := b.start(ticket, time.Second)
	is.Equal(kinds(first), []decision.Kind{decision.Claimed, decision.Sent})
	second := b.engine.Reply(b.now, first.Send[0].ID, leafcall.Result{Status: leafcall.NotSent})
	is.Equal(kinds(second), []decision.Kind{decision.Retried, decision.Sent})
	done := b.engine.Reply(b.now, second.Send[0].ID, ok("1"))
	is.Equal(kinds(done), []decision.Kind{decision.Answered})
	is.Equal(kinds(b.start(ticket, time.Second)), []decision.Kind{decision.Joined, decision.Answered})
	is.Equal(kinds(b.start("", time.Second)), []decision.Kind{decision.Refused, decision.Answered})
}

// keyOwner is the rule that docs/design/command.md weighs and turns down: the
// first host by rendezvous hash runs a bare key, if the key is younger than
// its ownership by a margin.
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

// TestBareKeyHasNoSoleOwner is the counterexample: regions that are cut off
// from each other go on serving, and each comes to list its own hosts only.
// A key made after that has an owner on each side, for as long as the cut
// lasts; a caller that reaches both has it run twice.
func TestBareKeyHasNoSoleOwner(t *testing.T) {
	is := is.New(t)
	cut := time.Unix(1_700_000_000, 0)
	west := &keyOwner{self: "west", hosts: []string{"west"}, since: cut, ran: map[string]bool{}}
	east := &keyOwner{self: "east", hosts: []string{"east"}, since: cut, ran: map[string]bool{}}
	made := cut.Add(10 * time.Minute)
	is.True(west.takes("booking-1", made))
	is.True(!west.takes("booking-1", made))
	is.True(east.takes("booking-1", made)) // the second run
}

// TestClaimOutlivesItsTicketWhileItRuns: the claim goes once both have ended.
func TestClaimOutlivesItsTicketWhileItRuns(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	ticket := b.ticket(t)
	b.step(lifetime)
	s := b.start(ticket, time.Minute).Send[0]
	b.step(lifetime)
	is.Equal(len(b.start(ticket, time.Minute).Finish), 0) // waits for the run
	is.Equal(len(b.engine.Reply(b.now, s.ID, ok("1")).Finish), 2)
	is.Equal(b.engine.Stats(), command.Stats{})
}

// live is how many claims the benchmarks keep.
var live = []int{1_000, 10_000, 100_000}

// fill makes that many claims whose outcome is known.
func fill(b *testing.B, n int) *bench {
	w := newBench(func(o *command.Options) { o.MaxTickets, o.Lifetime = n+1_000_000, time.Hour })
	for range n {
		w.claim(b)
	}
	return w
}

func (b *bench) claim(t testing.TB) {
	acts := b.start(b.ticket(t), time.Second)
	b.engine.Reply(b.now, acts.Send[0].ID, ok(`{"booked":true}`))
}

// BenchmarkCommand is a command from its ticket's minting to its outcome.
func BenchmarkCommand(b *testing.B) {
	for _, n := range live {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := fill(b, n)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.claim(b)
			}
		})
	}
}

// BenchmarkResend is a resend of a command whose outcome is known.
func BenchmarkResend(b *testing.B) {
	for _, n := range live {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := fill(b, n)
			ticket := w.ticket(b)
			w.engine.Reply(w.now, w.start(ticket, time.Second).Send[0].ID, ok(`{"booked":true}`))
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				w.start(ticket, time.Second)
			}
		})
	}
}

// BenchmarkTick is a tick with nothing due.
func BenchmarkTick(b *testing.B) {
	for _, n := range live {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			w := fill(b, n)
			b.ResetTimer()
			for range b.N {
				w.engine.Tick(w.now)
			}
		})
	}
}

// BenchmarkClaimMemory reports the bytes that a claim with a small result
// keeps.
func BenchmarkClaimMemory(b *testing.B) {
	for _, n := range live {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				w := fill(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/claim")
				runtime.KeepAlive(w)
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

// TestCommandWaitsForRoom has a second command meet a leaf whose one
// connection is in use: it waits for room, runs once there is some, and is
// refused for good, as not run, once its wait is over.
func TestCommandWaitsForRoom(t *testing.T) {
	is := is.New(t)
	b := newBench(nil)
	var running []leafcall.ID
	full := func() command.Actions {
		for {
			acts := b.start(b.ticket(t), 4*time.Second)
			if len(acts.Send) == 0 {
				return acts
			}
			running = append(running, acts.Send[0].ID)
		}
	}
	is.Equal(len(full().Finish), 0) // it waits
	is.Equal(len(b.step(20*time.Millisecond).Send), 0)
	b.engine.Reply(b.now, running[0], ok("1"))
	is.Equal(len(b.step(20*time.Millisecond).Send), 1) // there was room

	is.Equal(len(full().Finish), 0)
	refused := b.step(time.Second).Finish
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Problem.Outcome, figmast.NotRun)
	is.True(refused[0].Problem.RetryAfterMs > 0)
	is.Equal(len(b.step(3*time.Second).Send), 0)
}
