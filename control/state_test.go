package control

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/figmast/figmast/configstore"
)

// everyone returns what all live hosts hold of a service: "" if they differ.
func (w *world) everyone(name string) string {
	seen := make(map[string]bool)
	for _, id := range w.ids {
		if !w.dead[id] {
			seen[w.nodes[id].inForce(name)] = true
		}
	}
	if len(seen) != 1 {
		return ""
	}
	for v := range seen {
		return v
	}
	return ""
}

// valid counts the hosts that may act on their views.
func (w *world) valid() int {
	n := 0
	for _, id := range w.ids {
		if !w.dead[id] && w.nodes[id].view.Valid(w.now) {
			n++
		}
	}
	return n
}

func TestChangeIsInForceEverywhereWithin3Seconds(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.fleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	is.Equal(w.everyone("a"), "1-x")
	is.Equal(w.valid(), 9)
	calls, asks := w.calls, w.asks
	for v := 2; v < 12; v++ {
		w.publish("a", v, "x")
		w.run(3 * time.Second)
		is.Equal(w.everyone("a"), fmt.Sprintf("%d-x", v))
		is.Equal(w.valid(), 9)
	}
	t.Logf("9 hosts: %.1f platform calls and %.1f questions a second in all", float64(w.calls-calls)/30, float64(w.asks-asks)/30)
}

func TestOutageOfThePlatformStopsNobody(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.fleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	w.down = true
	least := 9
	w.run(10*time.Minute, func() { least = min(least, w.valid()) })
	is.Equal(least, 9)
	t.Run("a fresh host gets everything from its peers", func(t *testing.T) {
		is := is.New(t)
		w.dead["h1-1"] = true
		w.run(time.Second)
		w.start("h1-1", "dc-1").state.opts.Seeds = []string{address("h0-0"), address("h2-2")}
		w.run(10 * time.Second)
		is.Equal(w.nodes["h1-1"].inForce("a"), "1-x")
		is.Equal(w.valid(), 9)
	})
	t.Run("it ends", func(t *testing.T) {
		is := is.New(t)
		w.publish("a", 2, "x")
		w.down = false
		w.run(3 * time.Second)
		is.Equal(w.everyone("a"), "2-x")
		is.Equal(w.valid(), 9)
	})
}

func TestHostCutOffStops(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down %v", down), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.fleet(3, 3)
			w.publish("a", 1, "x")
			w.run(4 * time.Second)
			w.down = down
			w.run(10 * time.Second)
			is.Equal(w.valid(), 9)
			w.split("h0-0")
			w.deafTo["h0-0"] = true
			bound := MaxViewAge
			if down {
				bound = MaxQuorumAge
			}
			w.run(bound)
			is.True(!w.nodes["h0-0"].view.Valid(w.now))
			is.Equal(w.valid(), 8)
			w.heal()
			delete(w.deafTo, "h0-0")
			w.run(3 * time.Second)
			is.Equal(w.valid(), 9)
		})
	}
}

// TestPausedHostIsNotTrusted wakes hosts late, with answers waiting that were
// fresh when they were sent.
func TestPausedHostIsNotTrusted(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down before %v", down), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(4)
			w.fleet(3, 3)
			w.publish("a", 1, "x")
			w.run(4 * time.Second)
			for i, id := range w.ids {
				w.down = down
				w.run(4 * time.Second)
				n := w.nodes[id]
				n.paused = w.now.Add(12 * time.Second)
				w.run(2 * time.Second) // what was asked is answered
				w.down = false
				w.publish("a", 2+i, "x", "dc-1")
				w.run(10 * time.Second)
				is.True(!n.view.Valid(w.now)) // at waking
				w.run(4*time.Second, func() {
					is.True(!n.view.Valid(w.now) || n.inForce("a") == fmt.Sprintf("%d-x", 2+i))
				})
				is.Equal(w.valid(), 9)
			}
		})
	}
}

// TestNoCircleOfOldNews lets hosts confirm each other while only some hear of
// a change.
func TestNoCircleOfOldNews(t *testing.T) {
	is := is.New(t)
	w := newWorld(5)
	w.fleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	// Two data centres lose the platform and the third data centre; four of
	// them lose each other in pairs besides.
	for _, id := range []string{"h1-0", "h1-1", "h1-2", "h2-0", "h2-1", "h2-2"} {
		w.deafTo[id] = true
	}
	w.split("h1-0", "h1-1", "h1-2")
	w.split("h2-0", "h2-1", "h2-2")
	w.publish("a", 2, "x", "dc-2")
	w.run(MaxViewAge)
	w.run(time.Minute, func() {
		for _, id := range w.ids {
			if n := w.nodes[id]; n.view.Valid(w.now) {
				is.Equal(n.inForce("a"), "2-x")
			}
		}
	})
	is.Equal(w.valid(), 3)
	w.heal()
	w.run(3 * time.Second)
	is.Equal(w.everyone("a"), "2-x")
	is.Equal(w.valid(), 9)
}

func TestVerdictIsTheSameEverywhere(t *testing.T) {
	publish := map[string]func(w *world){
		"one version twice":   func(w *world) { w.publish("a", 5, "first"); w.publish("a", 5, "second") },
		"lower version later": func(w *world) { w.publish("a", 5, "first"); w.publish("a", 4, "second") },
		"bad document":        func(w *world) { w.publish("a", 5, "first"); w.put(configstore.PrefixServices+"a", []byte("no: [")) },
		"removed and published anew unseen": func(w *world) {
			w.publish("a", 9, "x")
			w.run(2 * time.Second)
			w.down = true
			w.del(configstore.PrefixServices + "a")
			w.publish("a", 5, "first")
			w.run(2 * time.Second)
			w.down = false
		},
		"removed and published anew": func(w *world) {
			w.publish("a", 9, "x")
			w.del(configstore.PrefixServices + "a")
			w.publish("a", 5, "first")
		},
	}
	for name, f := range publish {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(6)
			w.fleet(3, 3)
			w.publish("a", 1, "x")
			w.run(4 * time.Second)
			w.deafTo["h0-0"] = true
			f(w)
			w.run(4 * time.Second)
			is.Equal(w.everyone("a"), "5-first")
			for _, id := range []string{"h0-0", "h0-1", "h0-2", "h1-0", "h2-0"} {
				w.start(id, "dc-"+id[1:2]) // a fresh host in place of the old one
				w.run(time.Second)
				delete(w.deafTo, id)
				w.run(4 * time.Second)
				is.Equal(w.everyone("a"), "5-first")
			}
			is.Equal(w.valid(), 9)
		})
	}
}

func TestRefusalNamesPlaceAndReason(t *testing.T) {
	is := is.New(t)
	w := newWorld(7)
	w.fleet(1, 2)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	w.put(configstore.PrefixServices+"a", []byte("service: a\nversion: 2\nwrong: 1\n"))
	w.publish("b", 1, "x")
	w.run(4 * time.Second)
	refused := 0
	for _, v := range w.nodes["h0-0"].verdicts {
		if v.Err != nil {
			refused++
			is.True(strings.Contains(v.Err.Error(), "wrong")) // the place
			is.Equal(v.Key, configstore.PrefixServices+"a")
		}
	}
	is.Equal(refused, 1)
}

// TestRemovedServiceStaysAway lets a host that slept through the removal, and
// a platform that answers from before it, offer the service again.
func TestRemovedServiceStaysAway(t *testing.T) {
	is := is.New(t)
	w := newWorld(8)
	w.fleet(3, 3)
	w.publish("a", 1, "x")
	old := w.publish("b", 1, "x")
	w.run(4 * time.Second)
	w.nodes["h0-0"].paused = w.now.Add(20 * time.Second)
	w.del(configstore.PrefixServices + "b")
	w.run(4 * time.Second)
	for _, id := range []string{"h1-0", "h1-1", "h1-2"} {
		w.staleFor[id] = int(old)
		w.deafTo[id] = true
		w.start(id, "dc-1").state.opts.Seeds = []string{address("h2-0")} // hears of the removal first
		w.run(2 * time.Second)
		delete(w.deafTo, id)
	}
	w.run(4*time.Second, func() { is.Equal(w.nodes["h2-0"].inForce("b"), "") })
	is.Equal(w.nodes["h1-1"].inForce("a"), "1-x")
	w.run(10 * time.Second)
	is.Equal(w.everyone("b"), "")
	is.Equal(w.nodes["h0-0"].inForce("b"), "")
	is.Equal(w.valid(), 9)
}

func TestStalePlatformForAFreshHost(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.fleet(3, 3)
	old := w.publish("a", 1, "x")
	w.publish("a", 2, "x", "dc-1")
	w.run(4 * time.Second)
	w.staleFor["h0-0"] = int(old)
	n := w.start("h0-0", "dc-0")
	w.run(10*time.Second, func() { is.True(n.inForce("a") == "" || n.inForce("a") == "2-x") })
	is.Equal(w.valid(), 9)
}

// TestStalePlatformConfirmsNothing leaves a host with a platform that answers
// from before what the host holds.
func TestStalePlatformConfirmsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(13)
	w.fleet(3, 3)
	old := w.publish("a", 1, "x")
	w.publish("a", 2, "x", "dc-1")
	w.run(4 * time.Second)
	w.split("h0-0")
	w.staleFor["h0-0"] = int(old)
	w.run(MaxViewAge)
	is.True(!w.nodes["h0-0"].view.Valid(w.now))
	is.Equal(w.valid(), 8)
}

func TestWatchersFail(t *testing.T) {
	is := is.New(t)
	w := newWorld(10)
	w.fleet(2, 8)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	killed := 0
	for _, id := range w.ids {
		if n := w.nodes[id]; n.dc == "dc-0" && n.state.watches(w.now) {
			w.dead[id] = true
			killed++
		}
	}
	is.Equal(killed, watchersPerCentre)
	w.publish("a", 2, "x")
	least := 16
	w.run(3*time.Second, func() { least = min(least, w.valid()) })
	is.Equal(w.everyone("a"), "2-x")
	is.Equal(least, 14)
	t.Run("others watch in their place", func(t *testing.T) {
		is := is.New(t)
		w.run(5 * time.Second)
		calls := w.calls
		w.run(10 * time.Second)
		is.True(w.calls-calls <= 2*2*watchersPerCentre*10) // two checks a second each
	})
}

// TestWatchersLoseThePlatform leaves a data centre on its own whose watchers
// live but cannot read the platform.
func TestWatchersLoseThePlatform(t *testing.T) {
	is := is.New(t)
	w := newWorld(14)
	w.fleet(2, 8)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	for _, id := range w.ids {
		if n := w.nodes[id]; n.dc == "dc-0" && n.state.watches(w.now) {
			w.deafTo[id] = true
		}
	}
	w.split(w.ids[:8]...)
	least := 16
	w.run(10*time.Second, func() { least = min(least, w.valid()) })
	is.Equal(least, 16)
	w.publish("a", 2, "x")
	w.run(3 * time.Second)
	is.Equal(w.everyone("a"), "2-x")
}

// TestLargeDocumentsFitMessages has a fresh host fetch more than one message
// holds from its peers.
func TestLargeDocumentsFitMessages(t *testing.T) {
	const megabyte = 1 << 20
	is := is.New(t)
	w := newWorld(15)
	w.fleet(1, 3)
	for i := range 4 {
		name := fmt.Sprint("big-", i)
		doc := text(name, 1, "x")
		noise := make([]byte, (megabyte-len(doc)-2)/2)
		for j := range noise {
			noise[j] = byte(w.rand.Uint32())
		}
		w.put(configstore.PrefixServices+name, fmt.Appendf(doc, "# %x", noise))
	}
	w.run(4 * time.Second)
	w.down = true
	largest := 0
	w.sent = func(_, _ string, m any) {
		b, err := cbor.Marshal(m)
		is.NoErr(err)
		largest = max(largest, len(b))
	}
	w.start("h0-0", "dc-0").state.opts.Seeds = []string{address("h0-1")}
	w.run(10 * time.Second)
	for i := range 4 {
		is.Equal(w.nodes["h0-0"].inForce(fmt.Sprint("big-", i)), "1-x")
	}
	is.Equal(w.valid(), 3)
	t.Logf("largest message: %d bytes", largest)
	is.True(largest > megabyte/2 && largest < megabyte+128<<10) // wire.MaxBytes leaves more
}

func TestLeavingHostIsNotCounted(t *testing.T) {
	is := is.New(t)
	w := newWorld(11)
	w.fleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	w.nodes["h0-0"].state.Leave(w.now)
	w.run(50 * time.Millisecond)
	for _, id := range w.ids {
		is.Equal(w.nodes[id].live(), 8)
	}
	w.dead["h0-0"] = true
	w.run(time.Second)
	t.Run("replaced under the same id", func(t *testing.T) {
		is := is.New(t)
		w.start("h0-0", "dc-0")
		w.run(5 * time.Second)
		for _, id := range w.ids {
			is.Equal(w.nodes[id].live(), 9)
		}
	})
	t.Run("new host that the list lacks", func(t *testing.T) {
		is := is.New(t)
		w.start("h0-9", "dc-0")
		w.run(6 * time.Second)
		for _, id := range w.ids {
			is.Equal(w.nodes[id].live(), 10)
		}
		w.dead["h0-9"] = true
		w.run(forgetAfter + 5*time.Second)
		is.Equal(w.nodes["h1-1"].live(), 9)
	})
}

func TestSuspicionsReachEveryHost(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	w.fleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	w.nodes["h0-0"].state.AddCrashSuspects(w.now, []CrashSuspect{{Service: "a", Fingerprint: 7, RemainingMs: 60_000}})
	w.run(2 * time.Second)
	for _, id := range w.ids {
		if id != "h0-0" {
			is.Equal(len(w.nodes[id].learned), 1)
			is.True(w.nodes[id].learned[0].RemainingMs <= 60_000)
		}
	}
	w.run(2 * time.Minute)
	is.Equal(len(w.nodes["h1-1"].learned), 1)
}

// live returns how many hosts the node's view counts that are not leaving.
func (n *node) live() int {
	count := 0
	for _, h := range n.view.Hosts {
		if !h.Leaving {
			count++
		}
	}
	return count
}
