package forward

import (
	"testing"
	"time"

	"github.com/figmast/figmast/crash"
)

// TestSuspectedRequestIsProbedByOneCall covers a gather request that may have
// crashed a server: one part is called, and the others follow only its answer.
func TestSuspectedRequestIsProbedByOneCall(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	suspected := map[uint64]crash.Verdict{crashingFingerprint: {Crashed: 1}}
	for name, c := range map[string]struct {
		reply   Reply
		sends   int
		verdict Verdict
		ended   bool
	}{
		"answered":  {ok("0123456789abcdef"), 10, Merged, false},
		"broken":    {Reply{Outcome: Broken}, 1, Failed, true},
		"timed out": {Reply{Outcome: TimedOut}, 1, Failed, true},
		"not run":   {Reply{Outcome: NotRun}, 2, Merged, false},
		"not sent":  {Reply{Outcome: NotSent}, 2, Merged, false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, shards...)
			w.apply(w.engine.SetCrashes(w.now, suspected))
			id := w.start(rt)
			w.advance(rt.Objective / 2) // no hedge is sent
			w.is.Equal(len(w.sends), 1)
			w.reply(w.sends[0], c.reply)
			w.is.Equal(len(w.sends), c.sends)
			if c.ended {
				w.is.Equal(w.finished[id].Verdict, c.verdict)
				w.is.True(w.finished[id].RetryAfter > 0)
				return
			}
			for i := 1; i < len(w.sends); i++ {
				w.reply(w.sends[i], ok("0123456789abcdef"))
			}
			w.is.Equal(w.finished[id].Verdict, c.verdict)
			w.is.Equal(w.finished[id].Missing, 0)
		})
	}
}

// TestBrokenCallsLimitFurtherAttempts covers a gather request whose calls all
// break at once: at most crash.RefusalThreshold retries are sent before a
// server answers.
func TestBrokenCallsLimitFurtherAttempts(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	play := func(reply Reply) (*harness, RunID) {
		w := newHarness(t, shards...)
		id := w.start(rt)
		for i := range 10 {
			w.reply(w.sends[i], Reply{Outcome: Broken})
		}
		retries := w.sends[10:]
		w.is.True(len(retries) <= crash.RefusalThreshold)
		for _, s := range retries {
			w.reply(s, reply)
		}
		return w, id
	}
	w, id := play(Reply{Outcome: Broken})
	w.is.Equal(w.finished[id].Verdict, Failed)
	w.is.True(len(w.sends) < 10+2*crash.RefusalThreshold)

	w, id = play(ok("0123456789abcdef")) // a data centre was lost, and other servers answer
	for i := 11; i < len(w.sends); i++ {
		if w.engine.calls[w.sends[i].Call] != nil {
			w.reply(w.sends[i], ok("0123456789abcdef"))
		}
	}
	w.is.Equal(len(w.sends), 20)
	w.is.Equal(w.finished[id].Verdict, Merged)
	w.is.Equal(w.finished[id].Missing, 0)
}

// TestHeldPartsEndWithTheirRequest covers a probe call that never ends.
func TestHeldPartsEndWithTheirRequest(t *testing.T) {
	rt, shards := gatherRoute(10, 0.89)
	w := newHarness(t, shards...)
	w.apply(w.engine.SetCrashes(w.now, map[uint64]crash.Verdict{crashingFingerprint: {Crashed: 1}}))
	id := w.start(rt)
	w.advance(rt.Timeout + time.Second)
	w.is.Equal(w.finished[id].Verdict, Expired)
	w.is.Equal(len(w.sends), 1)
	w.is.Equal(w.engine.Running(), 0)
}
