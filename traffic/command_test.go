package traffic_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
)

// TestCommandAnswersAtEachCallersDeadline checks that of two callers with the
// same ticket each is answered by its own deadline, and that Drain waits for the
// command.
func TestCommandAnswersAtEachCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, &fakeTransport{delay: 2 * time.Second})
		ticket, p := r.Mint("route-search")
		is.True(p == nil)
		start := time.Now()
		send := func(timeout time.Duration) (*figmast.CommandAnswer, *figmast.Problem) {
			return r.Command(t.Context(), command.Request{
				ID: "r", Service: "route-search", Operation: "book", ShardKey: "k", Ticket: ticket.String(), Deadline: start.Add(timeout),
			})
		}
		go func() {
			_, p := send(700 * time.Millisecond)
			is.Equal(p.Outcome, figmast.Unknown)
			is.Equal(time.Since(start), 700*time.Millisecond)
		}()
		go func() {
			ans, _ := send(4 * time.Second)
			is.Equal(ans.Outcome, figmast.Ran)
			is.Equal(time.Since(start), 2*time.Second)
		}()
		time.Sleep(time.Second)
		stats, err := r.Drain(t.Context())
		is.NoErr(err)
		is.True(time.Since(start) >= 2*time.Second)
		is.Equal(stats.Running+stats.Waiting, 0)
		is.Equal(stats.Claims, 1) // still held, and lost when the process ends
		r.Stop(t.Context())
	})
}
