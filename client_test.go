package figmast_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	figmast "github.com/figmast/figmast"
)

// fakeHosts are HTTP servers that give scripted answers and record the commands that
// they receive.
type fakeHosts struct {
	mu       sync.Mutex
	minted   int
	commands []figmast.CommandRequest
	// maxDeadlineMs is the maximum deadline allowed, in milliseconds; 0 means no
	// maximum. refusals counts the requests above it.
	maxDeadlineMs int
	refusals      int
	// receivedBy holds the index of the host that received each command.
	receivedBy []int
	servers    []*httptest.Server
	// answer returns the answer to a command. It gets the index of the host and
	// the number of earlier commands. A nil problem means that the command ran,
	// and the title "break" that the host closes the connection without an answer.
	answer func(host, n int) *figmast.Problem
}

func newFakeHosts(t *testing.T, n int, answer func(host, n int) *figmast.Problem) *fakeHosts {
	h := &fakeHosts{answer: answer}
	for i := range n {
		h.servers = append(h.servers, httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { h.serve(i, w, r) })))
	}
	t.Cleanup(func() {
		for _, s := range h.servers {
			s.Close()
		}
	})
	return h
}

func (h *fakeHosts) serve(i int, w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if strings.HasSuffix(r.URL.Path, "/tickets") {
		h.minted++
		_ = json.NewEncoder(w).Encode(figmast.TicketAnswer{Ticket: fmt.Sprintf("t%d", h.minted), LifetimeMs: 600_000})
		return
	}
	if ms, _ := strconv.Atoi(r.Header.Get(figmast.HeaderDeadline)); h.maxDeadlineMs > 0 && ms > h.maxDeadlineMs {
		h.refusals++
		h.problem(w, &figmast.Problem{Status: 400, Field: figmast.HeaderDeadline, Outcome: figmast.Unknown, Unhandled: true})
		return
	}
	var cmd figmast.CommandRequest
	_ = json.NewDecoder(r.Body).Decode(&cmd)
	p := h.answer(i, len(h.commands))
	h.commands = append(h.commands, cmd)
	h.receivedBy = append(h.receivedBy, i)
	switch {
	case p == nil:
		_ = json.NewEncoder(w).Encode(figmast.CommandAnswer{Outcome: figmast.Ran})
	case p.Title == "break":
		panic(http.ErrAbortHandler)
	default:
		h.problem(w, p)
	}
}

func (h *fakeHosts) problem(w http.ResponseWriter, p *figmast.Problem) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

func (h *fakeHosts) client(t *testing.T) *figmast.Client {
	t.Helper()
	var addresses []string
	for _, s := range h.servers {
		addresses = append(addresses, strings.TrimPrefix(s.URL, "http://"))
	}
	c, err := figmast.NewClient(figmast.ClientOptions{Hosts: addresses, TryTimeout: 300 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

// tickets returns the tickets of the commands received, in order.
func (h *fakeHosts) tickets() (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.commands {
		out = append(out, c.Ticket)
	}
	return out
}

func book(t *testing.T, c *figmast.Client, timeout time.Duration) (*figmast.CommandAnswer, *figmast.Problem) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ans, err := c.Command(ctx, "booking", figmast.CommandRequest{Operation: "book", ShardKey: "strap-7"})
	var p *figmast.Problem
	if err != nil && !errors.As(err, &p) {
		t.Fatalf("not a Problem: %v", err)
	}
	return ans, p
}

func TestCommandResendsTheSameTicketThroughAnotherHost(t *testing.T) {
	is := is.New(t)
	h := newFakeHosts(t, 2, func(_, n int) *figmast.Problem {
		if n == 0 {
			return &figmast.Problem{Title: "break"}
		}
		return nil
	})
	ans, p := book(t, h.client(t), 5*time.Second)
	is.True(p == nil)
	is.Equal(ans.Outcome, figmast.Ran)
	tickets := h.tickets()
	is.Equal(len(tickets), 2)
	is.Equal(tickets[0], tickets[1])
	is.True(h.receivedBy[0] != h.receivedBy[1])
}

func TestCommandTakesAFreshTicketOnlyAfterNotRun(t *testing.T) {
	is := is.New(t)
	h := newFakeHosts(t, 2, func(_, n int) *figmast.Problem {
		if n == 0 {
			return &figmast.Problem{Status: 503, Outcome: figmast.NotRun, RetryAfterMs: 150}
		}
		return nil
	})
	start := time.Now()
	_, p := book(t, h.client(t), 5*time.Second)
	is.True(p == nil)
	is.True(time.Since(start) >= 150*time.Millisecond) // waits as long as RetryAfterMs says
	tickets := h.tickets()
	is.Equal(len(tickets), 2)
	is.True(tickets[0] != tickets[1])
}

func TestCommandUnknownIsFinal(t *testing.T) {
	is := is.New(t)
	h := newFakeHosts(t, 2, func(int, int) *figmast.Problem {
		return &figmast.Problem{Status: 502, Outcome: figmast.Unknown, Peer: "s1"}
	})
	_, p := book(t, h.client(t), 5*time.Second)
	is.Equal(p.Outcome, figmast.Unknown)
	is.Equal(p.Peer, "s1")
	is.Equal(len(h.tickets()), 1)
}

// A ticket that one host may have accepted is not replaced by another, even if all
// later attempts are answered as unhandled.
func TestCommandKeepsATicketThatMayHaveBeenAccepted(t *testing.T) {
	is := is.New(t)
	h := newFakeHosts(t, 2, func(_, n int) *figmast.Problem {
		if n == 0 {
			return &figmast.Problem{Title: "break"}
		}
		return &figmast.Problem{Status: 409, Outcome: figmast.Unknown, Unhandled: true, RetryAfterMs: 20}
	})
	_, p := book(t, h.client(t), time.Second)
	is.Equal(p.Outcome, figmast.Unknown)
	is.True(errors.Is(p, context.DeadlineExceeded))
	for _, ticket := range h.tickets() {
		is.Equal(ticket, h.tickets()[0])
	}
}

// Tickets that no host has accepted are replaced, and the outcome of their command
// is NotRun.
func TestCommandReplacesUnacceptedTicket(t *testing.T) {
	is := is.New(t)
	h := newFakeHosts(t, 2, func(_, n int) *figmast.Problem {
		if n < 3 {
			return &figmast.Problem{Status: 409, Outcome: figmast.Unknown, Unhandled: true}
		}
		return nil
	})
	_, p := book(t, h.client(t), 5*time.Second)
	is.True(p == nil)
	seen := make(map[string]bool)
	for _, ticket := range h.tickets() {
		is.True(!seen[ticket])
		seen[ticket] = true
	}
	// The fourth refusal asks for a wait beyond the deadline, so that the deadline
	// passes between two attempts. During an attempt the outcome would be Unknown.
	never := newFakeHosts(t, 2, func(_, n int) *figmast.Problem {
		p := &figmast.Problem{Status: 409, Outcome: figmast.Unknown, Unhandled: true}
		if n == 3 {
			p.RetryAfterMs = 60_000
		}
		return p
	})
	_, p = book(t, never.client(t), 2*time.Second)
	is.Equal(p.Outcome, figmast.NotRun)
	is.Equal(len(never.tickets()), 4)
}

// A context with more time than the service allows does not cause an error. The
// client sends no deadline instead.
func TestLongDeadlineIsLeftToTheService(t *testing.T) {
	is := is.New(t)
	h := newFakeHosts(t, 1, func(int, int) *figmast.Problem { return nil })
	h.maxDeadlineMs = 1000
	c := h.client(t)
	for range 3 {
		_, p := book(t, c, 5*time.Second)
		is.True(p == nil)
	}
	is.Equal(h.refusals, 1) // the client remembers the refused deadline
}

// TestRefusedDeadlineIsNotSentAgainALittleShorter: the time left differs a little
// between requests with the same timeout. A much shorter one is sent.
func TestRefusedDeadlineIsNotSentAgainALittleShorter(t *testing.T) {
	is := is.New(t)
	h := newFakeHosts(t, 1, func(int, int) *figmast.Problem { return nil })
	h.maxDeadlineMs = 1000
	c := h.client(t)
	for _, timeout := range []time.Duration{5 * time.Second, 4900 * time.Millisecond, 6 * time.Second} {
		_, p := book(t, c, timeout)
		is.True(p == nil)
	}
	is.Equal(h.refusals, 1)
	_, p := book(t, c, 3*time.Second)
	is.True(p == nil)
	is.Equal(h.refusals, 2)
}

func TestNoHostReachable(t *testing.T) {
	is := is.New(t)
	h := newFakeHosts(t, 1, nil)
	c := h.client(t)
	h.servers[0].Close()
	_, p := book(t, c, 300*time.Millisecond)
	is.Equal(p.Outcome, figmast.NotRun)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	_, err := c.Query(ctx, "booking", figmast.QueryRequest{Operation: "list"})
	is.True(err != nil)
}

func TestClientLeavesNothingBehind(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("use", func(t *testing.T) {
		h := newFakeHosts(t, 2, func(int, int) *figmast.Problem { return nil })
		c := h.client(t)
		for range 10 {
			if _, p := book(t, c, 5*time.Second); p != nil {
				t.Fatal(p)
			}
		}
	})
}
