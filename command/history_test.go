package command_test

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	figmast "github.com/figmast/figmast"
)

// fixedSeed makes runs reproducible, as in CI; -rapid.seed overrides it.
const fixedSeed = "41"

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set(fixedSeed)
	}
	os.Exit(m.Run())
}

// action is one step of a schedule. Ticket counts back from the newest ticket.
// WaitMs is the time that passes after the action, LeftMs the time left until
// the deadline of a request and ForMs the duration of a fault, all in
// milliseconds. A host that is replaced gets a new ID if Rename is 1.
type action struct {
	Kind                          int
	Host, Other, Ticket, Variant  int
	WaitMs, LeftMs, ForMs, Rename int
}

// Kinds of actions.
const (
	mintTicket = iota
	sendFirst
	resend
	sendOtherContent
	pauseHost
	replaceHost
	partitionHosts
	freezeView
	kinds
)

// schedule is a generated run: the seed of its simulation and its actions.
type schedule struct {
	Seed    uint64
	Actions []action
}

func schedules() *rapid.Generator[schedule] {
	return rapid.Custom(func(t *rapid.T) schedule {
		weighted := []int{
			mintTicket, mintTicket, mintTicket, mintTicket, sendFirst, sendFirst, sendFirst, sendFirst,
			resend, resend, resend, resend, resend, resend, resend, resend,
			sendOtherContent, pauseHost, replaceHost, partitionHosts, freezeView,
		}
		step := rapid.Custom(func(t *rapid.T) action {
			return action{
				Kind: rapid.SampledFrom(weighted).Draw(t, "kind"),
				Host: rapid.SampledFrom([]int{0, 1, 2}).Draw(t, "host"), Other: rapid.SampledFrom([]int{0, 1, 2}).Draw(t, "other"),
				Ticket: rapid.SampledFrom([]int{0, 1, 2, 3, 8}).Draw(t, "ticket"), Rename: rapid.SampledFrom([]int{0, 1}).Draw(t, "rename"),
				WaitMs: rapid.SampledFrom([]int{0, 5, 100, 400, 900, 2000}).Draw(t, "wait"), LeftMs: rapid.SampledFrom([]int{50, 700, 1500, 2500, 4000}).Draw(t, "left"),
				ForMs: rapid.SampledFrom([]int{100, 800, 3000, 9000}).Draw(t, "for"),
			}
		})
		return schedule{
			Seed:    rapid.Uint64().Draw(t, "seed"),
			Actions: rapid.SliceOfN(step, 12, 60).Draw(t, "actions"),
		}
	})
}

// runSchedule performs the actions of a schedule and then lets all messages and
// calls in progress end.
func (sim *simulation) runSchedule(s schedule) {
	sim.mint(0)
	for _, a := range s.Actions {
		sim.apply(a)
		sim.advance(time.Duration(a.WaitMs) * time.Millisecond)
	}
	sim.advance(settleTime)
}

func (sim *simulation) apply(a action) {
	span := time.Duration(a.ForMs) * time.Millisecond
	left := time.Duration(a.LeftMs) * time.Millisecond
	recent := max(len(sim.tickets)-1-a.Ticket, 0)
	h := sim.hosts[a.Host]
	switch a.Kind {
	case mintTicket:
		sim.mint(a.Host)
	case sendFirst:
		sim.send(len(sim.tickets)-1, 0, a.Host, left)
	case resend:
		sim.send(recent, 0, a.Host, left)
	case sendOtherContent:
		sim.send(recent, 1, a.Host, left)
	case pauseHost:
		h.pausedUntil = sim.now.Add(span)
	case replaceHost:
		sim.replace(a.Host, a.Rename == 1)
	case partitionHosts:
		sim.partitions[[2]int{a.Host, a.Other}] = sim.now.Add(span)
	case freezeView:
		h.staleUntil = sim.now.Add(span)
	}
}

// verify checks the histories of all tickets against the executions recorded by
// the backend servers.
func (sim *simulation) verify() error {
	errs := sim.violations
	for i := range sim.tickets {
		errs = append(errs, sim.verifyTicket(i))
	}
	for _, h := range sim.hosts {
		if s := h.engine.Stats(); s.Tickets+s.Claims+s.Running+s.Waiting+s.HeldBytes > 0 {
			errs = append(errs, fmt.Errorf("%s still holds %+v", h.id, s))
		}
	}
	return errors.Join(errs...)
}

func (sim *simulation) verifyTicket(i int) error {
	var count [2]int
	for _, x := range sim.executions {
		if x.Ticket == i {
			count[x.Variant]++
		}
	}
	if count[0]+count[1] > 1 {
		return fmt.Errorf("ticket %d ran %v times", i, count)
	}
	var history []porcupine.Operation
	for n, o := range sim.submissions {
		if o.ticket != i {
			continue
		}
		outcome, unhandled := o.outcome()
		if outcome == figmast.NotRun && count[o.variant] != 0 || outcome == figmast.Ran && count[o.variant] != 1 {
			return fmt.Errorf("ticket %d, request r%d: reported as %s, but ran %v times", i, n+1, outcome, count)
		}
		if unhandled && sim.injected.misreportUnhandled {
			outcome, unhandled = figmast.NotRun, false
		}
		ended := o.ended.UnixNano()
		if outcome == figmast.Unknown && !unhandled {
			ended = math.MaxInt64 - 2 // may take effect at any later time
		}
		history = append(history, porcupine.Operation{
			ClientId: n, Input: o.variant, Output: observed{outcome, unhandled}, Call: o.called.UnixNano(), Return: ended,
		})
	}
	history = append(history, porcupine.Operation{ClientId: len(sim.submissions), Input: readExecutions, Output: count, Call: math.MaxInt64 - 1, Return: math.MaxInt64})
	if !porcupine.CheckOperations(atMostOnceModel.ToModel(), history) {
		return fmt.Errorf("ticket %d: history is not linearizable as an at-most-once command: %+v", i, history)
	}
	return nil
}

// observed is the output of a submission.
type observed struct {
	outcome   figmast.Outcome
	unhandled bool
}

// readExecutions is the input of the final operation, which reads the executions
// recorded by the backend servers.
const readExecutions = -1

// ticketState is the state of the model: the content that the ticket is bound to,
// and whether that content has run or never will.
type ticketState struct {
	content int
	decided figmast.Outcome
}

const unbound = -1

// atMostOnceModel specifies which outcomes of a ticket's command its callers may
// observe.
var atMostOnceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{ticketState{content: unbound}} },
	Step: func(state, input, output any) []any {
		s, v := state.(ticketState), input.(int)
		if v == readExecutions {
			return nextIf(output.([2]int) == s.executions(), s)
		}
		o := output.(observed)
		fits := s.content == unbound || s.content == v
		switch {
		case o.unhandled:
			return []any{s}
		case o.outcome == figmast.Unknown:
			next := []any{s}
			if s.content == unbound {
				next = append(next, ticketState{v, figmast.Ran}, ticketState{v, figmast.NotRun})
			}
			return next
		case !fits:
			return nextIf(o.outcome == figmast.NotRun, s)
		default:
			return nextIf(s.content == unbound || s.decided == o.outcome, ticketState{v, o.outcome})
		}
	},
}

func (s ticketState) executions() (n [2]int) {
	if s.decided == figmast.Ran {
		n[s.content]++
	}
	return n
}

func nextIf(ok bool, next ticketState) []any {
	if !ok {
		return nil
	}
	return []any{next}
}

// TestHistory runs random schedules with resends, lost and duplicated messages,
// pauses, replaced hosts, network partitions and failing backend servers.
func TestHistory(t *testing.T) {
	t.Logf("rapid.seed %s", flag.Lookup("rapid.seed").Value)
	answerCounts := make(map[string]int)
	rapid.Check(t, func(rt *rapid.T) {
		s := schedules().Draw(rt, "schedule")
		sim := newSimulation(s.Seed, injectedFaults{})
		sim.runSchedule(s)
		if err := sim.verify(); err != nil {
			rt.Fatal(err)
		}
		for _, o := range sim.submissions {
			answerCounts[o.title()]++
		}
	})
	t.Logf("answers: %v", answerCounts)
}

// TestInjectedFaultsAreDetected shows that the checks detect each mechanism that
// is switched off.
func TestInjectedFaultsAreDetected(t *testing.T) {
	for name, faults := range map[string]injectedFaults{
		"identity is reused after a replacement": {reuseIdentity: true},
		"guard is skipped before the write":      {skipGuard: true},
		"broken is reported as not sent":         {misreportBroken: true},
		"unhandled is reported as not run":       {misreportUnhandled: true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const maxSeeds = 400
			found := 0
			for seed := 1; seed <= maxSeeds && found == 0; seed++ {
				s := schedules().Example(seed)
				sim := newSimulation(s.Seed, faults)
				sim.runSchedule(s)
				if err := sim.verify(); err != nil {
					t.Logf("seed %d: %.300s", seed, err)
					found = seed
				}
			}
			is.True(found > 0) // the injected fault is detected
		})
	}
}
