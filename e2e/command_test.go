package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/internal/fake"
)

// newCommandFleet starts two hosts, which know each other, and four backend servers.
func newCommandFleet(t *testing.T) (*fleet, []string) {
	t.Helper()
	f := newFleet(t)
	servers := startBackends(t, 4)
	f.publish(configstore.PrefixServices+"route-search", routeSearchDocument(1, "monday", servers))
	f.addHost("127.0.0.2", "dc-0")
	f.addHost("127.0.0.3", "dc-1")
	f.waitReady()
	waitFor(t, "hosts to know each other", func() bool {
		return knowsHost(f.hosts[1], f.hosts[0].id) && knowsHost(f.hosts[0], f.hosts[1].id)
	})
	return f, servers
}

func (h *host) ticket(t *testing.T) string {
	t.Helper()
	var ticket figmast.TicketAnswer
	if status := post(t, h.url("tickets"), struct{}{}, &ticket); status != http.StatusOK {
		t.Fatalf("ticket: status %d", status)
	}
	return ticket.Ticket
}

func (h *host) url(verb string) string {
	return "http://" + h.callers + "/v1/services/route-search/" + verb
}

func (h *host) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	if err := h.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// restart starts a new process for the host, with the same arguments and
// environment.
func (f *fleet) restart(h *host) {
	f.t.Helper()
	env := h.cmd.Env
	h.process = start(f.t, env, "figmastd", h.cmd.Args[1:]...)
}

func (h *host) reportsReady() bool {
	resp, err := http.Get("http://" + h.ops + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// freeze suspends the process and waits until it is stopped.
func (h *host) freeze(t *testing.T) {
	t.Helper()
	h.signal(t, syscall.SIGSTOP)
	waitFor(t, "the process to be stopped", func() bool {
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
		return err == nil && bytes.Contains(stat, []byte(") T "))
	})
}

// commandReply holds the fields that the tests compare, of an answer or a problem.
type commandReply struct {
	Outcome   figmast.Outcome
	Unhandled bool
	Field     string
}

// book sends a booking with the ticket and a deadline; the payload identifies the
// booking.
func (h *host) book(t *testing.T, ticket, booking string, deadline time.Duration) commandReply {
	t.Helper()
	cmd := figmast.CommandRequest{Operation: "book", ShardKey: "strap-7", Ticket: ticket, Payload: payload(booking)}
	body, err := json.Marshal(cmd)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, h.url("command"), bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(figmast.HeaderDeadline, fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out commandReply
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

func payload(booking string) json.RawMessage { return json.RawMessage(`"` + booking + `"`) }

// executionsByBooking counts the command executions that the backend servers
// recorded, by payload.
func executionsByBooking(t *testing.T, servers []string) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for _, e := range executions(t, servers...) {
		if e.Command {
			counts[string(e.Payload)]++
		}
	}
	return counts
}

func setBehaviour(t *testing.T, servers []string, b fake.Behaviour) {
	t.Helper()
	for _, s := range servers {
		var set fake.Behaviour
		post(t, "http://"+backendAddress(s)+fake.PathBehaviour, b, &set)
	}
}

func TestCommandOverProcesses(t *testing.T) {
	f, servers := newCommandFleet(t)
	minter, other := f.hosts[0], f.hosts[1]

	t.Run("a backend server that breaks after running", func(t *testing.T) {
		is := is.New(t)
		setBehaviour(t, servers, fake.Behaviour{BreakAfterRun: true})
		defer setBehaviour(t, servers, fake.Behaviour{})
		ticket := minter.ticket(t)
		for _, h := range []*host{other, minter, other} {
			is.Equal(h.book(t, ticket, "breaks", 4*time.Second).Outcome, figmast.Unknown)
		}
		is.Equal(executionsByBooking(t, servers)[`"breaks"`], 1)
	})
	t.Run("an answer later than the deadline", func(t *testing.T) {
		is := is.New(t)
		setBehaviour(t, servers, fake.Behaviour{Latency: 800 * time.Millisecond})
		defer setBehaviour(t, servers, fake.Behaviour{})
		ticket := minter.ticket(t)
		is.Equal(other.book(t, ticket, "slow", 300*time.Millisecond).Outcome, figmast.Unknown)
		is.Equal(other.book(t, ticket, "slow", 4*time.Second).Outcome, figmast.Ran)
		is.Equal(executionsByBooking(t, servers)[`"slow"`], 1)
	})
	t.Run("tickets of others", func(t *testing.T) {
		is := is.New(t)
		ticket := minter.ticket(t)
		forged, err := command.ParseTicket(ticket)
		is.NoErr(err)
		forged.Serial += 1000
		for _, h := range []*host{minter, other} {
			got := h.book(t, forged.String(), "forged", 4*time.Second)
			is.Equal(got, commandReply{Outcome: figmast.NotRun, Field: "ticket"})
		}
		is.Equal(other.book(t, ticket, "mine", 4*time.Second).Outcome, figmast.Ran)
		is.Equal(other.book(t, ticket, "theirs", 4*time.Second), commandReply{Outcome: figmast.NotRun, Field: "ticket"})
		is.Equal(minter.book(t, ticket, "mine", 4*time.Second).Outcome, figmast.Ran)
		counts := executionsByBooking(t, servers)
		is.Equal(counts[`"forged"`]+counts[`"theirs"`], 0)
		is.Equal(counts[`"mine"`], 1)
	})
	t.Run("a bare key is refused", func(t *testing.T) {
		is := is.New(t)
		var p figmast.Problem
		cmd := figmast.CommandRequest{Operation: "book", ShardKey: "strap-7", Key: "0198c0de-0000-7000-8000-000000000000"}
		is.Equal(post(t, other.url("command"), cmd, &p), http.StatusBadRequest)
		is.Equal(p.Field, "key")
		is.Equal(p.Outcome, figmast.NotRun)
	})
	t.Run("the minter is frozen, wakes, is killed and replaced", func(t *testing.T) {
		is := is.New(t)
		used, held := minter.ticket(t), minter.ticket(t)
		is.Equal(minter.book(t, used, "used", 4*time.Second).Outcome, figmast.Ran)
		is.Equal(other.book(t, used, "used", 4*time.Second).Outcome, figmast.Ran) // opens the connection between the hosts
		minter.freeze(t)
		frozenReply := other.book(t, held, "held", 400*time.Millisecond)
		is.Equal(frozenReply, commandReply{Outcome: figmast.Unknown}) // the minter reads it when it resumes
		is.Equal(other.book(t, used, "used", 400*time.Millisecond).Outcome, figmast.Unknown)
		time.Sleep(2600 * time.Millisecond)
		minter.signal(t, syscall.SIGCONT)
		waitFor(t, "the minter to answer for its tickets", func() bool {
			return other.book(t, used, "used", time.Second).Outcome == figmast.Ran
		})
		is.Equal(executionsByBooking(t, servers)[`"held"`], 0) // its deadline had passed when the minter read it

		minter.signal(t, syscall.SIGKILL)
		is.Equal(other.book(t, used, "used", 400*time.Millisecond).Outcome, figmast.Unknown)
		_, _ = minter.cmd.Process.Wait()
		f.restart(minter)
		waitFor(t, "the replaced minter", func() bool {
			return minter.reportsReady() && other.book(t, used, "used", time.Second) == commandReply{Outcome: figmast.Unknown, Unhandled: true}
		})
		is.Equal(minter.book(t, used, "used", time.Second).Outcome, figmast.Unknown)
		is.Equal(minter.book(t, held, "held", time.Second).Outcome, figmast.Unknown)
		counts := executionsByBooking(t, servers)
		is.Equal(counts[`"used"`], 1)
		is.Equal(counts[`"held"`], 0)
	})
}

// TestLeavingHostFinishesForwardedCommands shuts the minter down while it runs a
// command that another host forwarded.
func TestLeavingHostFinishesForwardedCommands(t *testing.T) {
	is := is.New(t)
	f, servers := newCommandFleet(t)
	minter, other := f.hosts[0], f.hosts[1]
	const latency = 1500 * time.Millisecond
	setBehaviour(t, servers, fake.Behaviour{Latency: latency})
	ticket := minter.ticket(t)
	first := make(chan commandReply, 1)
	go func() { first <- other.book(t, ticket, "leaving", 5*time.Second) }()
	waitFor(t, "the command to run", func() bool { return executionsByBooking(t, servers)[`"leaving"`] == 1 })
	minter.signal(t, syscall.SIGTERM)
	time.Sleep(latency / 3) // the drain wait is over
	is.Equal(other.book(t, ticket, "leaving", 4*time.Second).Outcome, figmast.Ran)
	is.Equal((<-first).Outcome, figmast.Ran)
	is.NoErr(minter.cmd.Wait())
	is.Equal(executionsByBooking(t, servers)[`"leaving"`], 1)
}

// TestForwardingCost logs the latency of a resend to the minter and through another
// host, which adds the hop to the minter.
func TestForwardingCost(t *testing.T) {
	f, _ := newCommandFleet(t)
	ticket := f.hosts[0].ticket(t)
	const samples = 300
	for _, h := range f.hosts {
		times := make([]time.Duration, samples)
		for i := range times {
			start := time.Now()
			h.book(t, ticket, "cost", 4*time.Second)
			times[i] = time.Since(start)
		}
		slices.Sort(times)
		t.Logf("resend through %s: p50 %v, p90 %v", h.id, times[samples/2], times[samples*9/10])
	}
}

// TestBookingsWhileHostsAreKilled sends bookings concurrently through the client
// library while hosts are killed and restarted in turn.
func TestBookingsWhileHostsAreKilled(t *testing.T) {
	is := is.New(t)
	f, servers := newCommandFleet(t)
	f.addHost("127.0.0.4", "dc-1")
	f.waitReady()
	setBehaviour(t, servers, fake.Behaviour{Latency: 20 * time.Millisecond})
	var addresses []string
	for _, h := range f.hosts {
		addresses = append(addresses, h.callers)
	}
	client, err := figmast.NewClient(figmast.ClientOptions{Hosts: addresses, TryTimeout: time.Second})
	is.NoErr(err)
	defer client.Close()

	const bookings, callers, kills = 200, 10, 4
	outcomes := make([]figmast.Outcome, bookings)
	next := make(chan int)
	var working sync.WaitGroup
	for range callers {
		working.Add(1)
		go func() {
			defer working.Done()
			for i := range next {
				outcomes[i] = bookOne(client, fmt.Sprintf("b%d", i))
			}
		}()
	}
	for i := range bookings {
		next <- i
		if i%(bookings/kills) == bookings/kills/2 {
			h := f.hosts[i*kills/bookings%len(f.hosts)]
			h.signal(t, syscall.SIGKILL)
			_, _ = h.cmd.Process.Wait()
			f.restart(h)
		}
	}
	close(next)
	working.Wait()

	counts := executionsByBooking(t, servers)
	outcomeCounts := make(map[figmast.Outcome]int)
	for i, o := range outcomes {
		n := counts[fmt.Sprintf(`"b%d"`, i)]
		outcomeCounts[o]++
		is.True(n <= 1)                        // no booking runs twice
		is.True(o != figmast.Ran || n == 1)    // a booking reported as run did run
		is.True(o != figmast.NotRun || n == 0) // a booking reported as not run did not run
	}
	t.Logf("outcomes of %d bookings with %d hosts killed: %v", bookings, kills, outcomeCounts)
	is.True(outcomeCounts[figmast.Ran] >= bookings-kills*callers) // only bookings in progress at a kill may be lost
}

func bookOne(c *figmast.Client, booking string) figmast.Outcome {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ans, err := c.Command(ctx, "route-search", figmast.CommandRequest{Operation: "book", ShardKey: booking, Payload: payload(booking)})
	if err == nil {
		return ans.Outcome
	}
	var p *figmast.Problem
	if !errors.As(err, &p) {
		panic(err)
	}
	return p.Outcome
}
