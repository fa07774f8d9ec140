package traffic_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/command"
)

// TestCommandAnswersAtEachCallersDeadline has two callers with one ticket: each
// is answered at its own deadline, and a drain waits for the run.
func TestCommandAnswersAtEachCallersDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRunner(t, &carrier{delay: 2 * time.Second})
		ticket, p := r.Mint("route-search")
		is.True(p == nil)
		start := time.Now()
		send := func(left time.Duration) (*figmast.CommandAnswer, *figmast.Problem) {
			return r.Command(t.Context(), command.Request{
				ID: "r", Service: "route-search", Operation: "book", ShardKey: "k", Ticket: ticket.String(), Deadline: start.Add(left),
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
		left, err := r.Drain(t.Context())
		is.NoErr(err)
		is.True(time.Since(start) >= 2*time.Second)
		is.Equal(left.Running+left.Waiting, 0)
		is.Equal(left.Claims, 1) // its outcome goes with the process
		r.Stop(t.Context())
	})
}
