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

// commonDocument returns the version and label of the document that is in force
// on all running hosts, or "" if they differ.
func (w *world) commonDocument(name string) string {
	seen := make(map[string]bool)
	for _, id := range w.ids {
		if !w.stopped[id] {
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

// countValid returns the number of running hosts whose view is valid.
func (w *world) countValid() int {
	n := 0
	for _, id := range w.ids {
		if !w.stopped[id] && w.nodes[id].view.Valid(w.now) {
			n++
		}
	}
	return n
}

func TestChangeIsInForceEverywhereWithin3Seconds(t *testing.T) {
	is := is.New(t)
	w := newWorld(1)
	w.startFleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	is.Equal(w.commonDocument("a"), "1-x")
	is.Equal(w.countValid(), 9)
	calls, requests := w.platformCalls, w.requests
	for v := 2; v < 12; v++ {
		w.publish("a", v, "x")
		w.run(3 * time.Second)
		is.Equal(w.commonDocument("a"), fmt.Sprintf("%d-x", v))
		is.Equal(w.countValid(), 9)
	}
	t.Logf("9 hosts: %.1f platform calls and %.1f requests per second in total", float64(w.platformCalls-calls)/30, float64(w.requests-requests)/30)
}

func TestHostsServeThroughPlatformOutage(t *testing.T) {
	is := is.New(t)
	w := newWorld(2)
	w.startFleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	w.platformDown = true
	minValid := 9
	w.run(10*time.Minute, func() { minValid = min(minValid, w.countValid()) })
	is.Equal(minValid, 9)
	t.Run("a starting host loads everything from its peers", func(t *testing.T) {
		is := is.New(t)
		w.stopped["h1-1"] = true
		w.run(time.Second)
		w.start("h1-1", "dc-1").state.opts.Seeds = []string{address("h0-0"), address("h2-2")}
		w.run(10 * time.Second)
		is.Equal(w.nodes["h1-1"].inForce("a"), "1-x")
		is.Equal(w.countValid(), 9)
	})
	t.Run("the platform recovers", func(t *testing.T) {
		is := is.New(t)
		w.publish("a", 2, "x")
		w.platformDown = false
		w.run(3 * time.Second)
		is.Equal(w.commonDocument("a"), "2-x")
		is.Equal(w.countValid(), 9)
	})
}

func TestIsolatedHostStops(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down %v", down), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(3)
			w.startFleet(3, 3)
			w.publish("a", 1, "x")
			w.run(4 * time.Second)
			w.platformDown = down
			w.run(10 * time.Second)
			is.Equal(w.countValid(), 9)
			w.partition("h0-0")
			w.noPlatform["h0-0"] = true
			bound := MaxViewAge
			if down {
				bound = MaxQuorumAge
			}
			w.run(bound)
			is.True(!w.nodes["h0-0"].view.Valid(w.now))
			is.Equal(w.countValid(), 8)
			w.heal()
			delete(w.noPlatform, "h0-0")
			w.run(3 * time.Second)
			is.Equal(w.countValid(), 9)
		})
	}
}

// TestPausedHostDoesNotActOnStaleView pauses hosts while responses that were
// current when they were sent are waiting, and publishes a change. A resumed
// host must not treat these responses as a recent confirmation.
func TestPausedHostDoesNotActOnStaleView(t *testing.T) {
	for _, down := range []bool{false, true} {
		t.Run(fmt.Sprintf("platform down before %v", down), func(t *testing.T) {
			is := is.New(t)
			w := newWorld(4)
			w.startFleet(3, 3)
			w.publish("a", 1, "x")
			w.run(4 * time.Second)
			for i, id := range w.ids {
				w.platformDown = down
				w.run(4 * time.Second)
				n := w.nodes[id]
				n.pausedUntil = w.now.Add(12 * time.Second)
				w.run(2 * time.Second) // pending requests are answered
				w.platformDown = false
				w.publish("a", 2+i, "x", "dc-1")
				w.run(10 * time.Second)
				is.True(!n.view.Valid(w.now)) // at the end of the pause
				w.run(4*time.Second, func() {
					is.True(!n.view.Valid(w.now) || n.inForce("a") == fmt.Sprintf("%d-x", 2+i))
				})
				is.Equal(w.countValid(), 9)
			}
		})
	}
}

// TestStaleHostsDoNotConfirmEachOther guards against hosts that keep extending
// each other's confirmation or attestations in a circle while only some of them
// have received a change.
func TestStaleHostsDoNotConfirmEachOther(t *testing.T) {
	is := is.New(t)
	w := newWorld(5)
	w.startFleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	// Two data centres lose the platform, the third data centre and each other.
	for _, id := range []string{"h1-0", "h1-1", "h1-2", "h2-0", "h2-1", "h2-2"} {
		w.noPlatform[id] = true
	}
	w.partition("h1-0", "h1-1", "h1-2")
	w.partition("h2-0", "h2-1", "h2-2")
	w.publish("a", 2, "x", "dc-2")
	w.run(MaxViewAge)
	w.run(time.Minute, func() {
		for _, id := range w.ids {
			if n := w.nodes[id]; n.view.Valid(w.now) {
				is.Equal(n.inForce("a"), "2-x")
			}
		}
	})
	is.Equal(w.countValid(), 3)
	w.heal()
	w.run(3 * time.Second)
	is.Equal(w.commonDocument("a"), "2-x")
	is.Equal(w.countValid(), 9)
}

func TestHostsAgreeOnDocumentInForce(t *testing.T) {
	publish := map[string]func(w *world){
		"same version twice":  func(w *world) { w.publish("a", 5, "first"); w.publish("a", 5, "second") },
		"lower version later": func(w *world) { w.publish("a", 5, "first"); w.publish("a", 4, "second") },
		"bad document":        func(w *world) { w.publish("a", 5, "first"); w.put(configstore.PrefixServices+"a", []byte("no: [")) },
		"removed and published again during an outage": func(w *world) {
			w.publish("a", 9, "x")
			w.run(2 * time.Second)
			w.platformDown = true
			w.remove(configstore.PrefixServices + "a")
			w.publish("a", 5, "first")
			w.run(2 * time.Second)
			w.platformDown = false
		},
		"removed and published again": func(w *world) {
			w.publish("a", 9, "x")
			w.remove(configstore.PrefixServices + "a")
			w.publish("a", 5, "first")
		},
	}
	for name, f := range publish {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld(6)
			w.startFleet(3, 3)
			w.publish("a", 1, "x")
			w.run(4 * time.Second)
			w.noPlatform["h0-0"] = true
			f(w)
			w.run(4 * time.Second)
			is.Equal(w.commonDocument("a"), "5-first")
			for _, id := range []string{"h0-0", "h0-1", "h0-2", "h1-0", "h2-0"} {
				w.start(id, "dc-"+id[1:2]) // replaces the running host
				w.run(time.Second)
				delete(w.noPlatform, id)
				w.run(4 * time.Second)
				is.Equal(w.commonDocument("a"), "5-first")
			}
			is.Equal(w.countValid(), 9)
		})
	}
}

func TestRefusalNamesKeyAndField(t *testing.T) {
	is := is.New(t)
	w := newWorld(7)
	w.startFleet(1, 2)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	w.put(configstore.PrefixServices+"a", []byte("service: a\nversion: 2\nwrong: 1\n"))
	w.publish("b", 1, "x")
	w.run(4 * time.Second)
	refused := 0
	for _, v := range w.nodes["h0-0"].verdicts {
		if v.Err != nil {
			refused++
			is.True(strings.Contains(v.Err.Error(), "wrong")) // the unknown field
			is.Equal(v.Key, configstore.PrefixServices+"a")
		}
	}
	is.Equal(refused, 1)
}

// TestRemovedServiceDoesNotReturn checks that a removed service stays removed
// when a host that was paused during the removal, and a platform that answers
// from a state before it, still offer it.
func TestRemovedServiceDoesNotReturn(t *testing.T) {
	is := is.New(t)
	w := newWorld(8)
	w.startFleet(3, 3)
	w.publish("a", 1, "x")
	old := w.publish("b", 1, "x")
	w.run(4 * time.Second)
	w.nodes["h0-0"].pausedUntil = w.now.Add(20 * time.Second)
	w.remove(configstore.PrefixServices + "b")
	w.run(4 * time.Second)
	for _, id := range []string{"h1-0", "h1-1", "h1-2"} {
		w.staleRevision[id] = int(old)
		w.noPlatform[id] = true
		w.start(id, "dc-1").state.opts.Seeds = []string{address("h2-0")} // learns of the removal first
		w.run(2 * time.Second)
		delete(w.noPlatform, id)
	}
	w.run(4*time.Second, func() { is.Equal(w.nodes["h2-0"].inForce("b"), "") })
	is.Equal(w.nodes["h1-1"].inForce("a"), "1-x")
	w.run(10 * time.Second)
	is.Equal(w.commonDocument("b"), "")
	is.Equal(w.nodes["h0-0"].inForce("b"), "")
	is.Equal(w.countValid(), 9)
}

func TestStalePlatformAtHostStart(t *testing.T) {
	is := is.New(t)
	w := newWorld(9)
	w.startFleet(3, 3)
	old := w.publish("a", 1, "x")
	w.publish("a", 2, "x", "dc-1")
	w.run(4 * time.Second)
	w.staleRevision["h0-0"] = int(old)
	n := w.start("h0-0", "dc-0")
	w.run(10*time.Second, func() { is.True(n.inForce("a") == "" || n.inForce("a") == "2-x") })
	is.Equal(w.countValid(), 9)
}

// TestStalePlatformConfirmsNothing isolates a host with a platform that answers
// from a state older than the host's table. Its answers must not extend the
// view.
func TestStalePlatformConfirmsNothing(t *testing.T) {
	is := is.New(t)
	w := newWorld(13)
	w.startFleet(3, 3)
	old := w.publish("a", 1, "x")
	w.publish("a", 2, "x", "dc-1")
	w.run(4 * time.Second)
	w.partition("h0-0")
	w.staleRevision["h0-0"] = int(old)
	w.run(MaxViewAge)
	is.True(!w.nodes["h0-0"].view.Valid(w.now))
	is.Equal(w.countValid(), 8)
}

func TestWatchersFail(t *testing.T) {
	is := is.New(t)
	w := newWorld(10)
	w.startFleet(2, 8)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	killed := 0
	for _, id := range w.ids {
		if n := w.nodes[id]; n.dc == "dc-0" && n.state.isWatcher(w.now) {
			w.stopped[id] = true
			killed++
		}
	}
	is.Equal(killed, watchersPerDataCentre)
	w.publish("a", 2, "x")
	minValid := 16
	w.run(3*time.Second, func() { minValid = min(minValid, w.countValid()) })
	is.Equal(w.commonDocument("a"), "2-x")
	is.Equal(minValid, 14)
	t.Run("others watch in their place", func(t *testing.T) {
		is := is.New(t)
		w.run(5 * time.Second)
		calls := w.platformCalls
		w.run(10 * time.Second)
		is.True(w.platformCalls-calls <= 2*2*watchersPerDataCentre*10) // two checks per second each
	})
}

// TestWatchersLoseThePlatform isolates a data centre whose watchers run but
// cannot read the platform. The other hosts must read it instead.
func TestWatchersLoseThePlatform(t *testing.T) {
	is := is.New(t)
	w := newWorld(14)
	w.startFleet(2, 8)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	for _, id := range w.ids {
		if n := w.nodes[id]; n.dc == "dc-0" && n.state.isWatcher(w.now) {
			w.noPlatform[id] = true
		}
	}
	w.partition(w.ids[:8]...)
	minValid := 16
	w.run(10*time.Second, func() { minValid = min(minValid, w.countValid()) })
	is.Equal(minValid, 16)
	w.publish("a", 2, "x")
	w.run(3 * time.Second)
	is.Equal(w.commonDocument("a"), "2-x")
}

// TestLargeDocumentsFitMessages has a starting host fetch documents from its
// peers that do not fit into one message.
func TestLargeDocumentsFitMessages(t *testing.T) {
	const megabyte = 1 << 20
	is := is.New(t)
	w := newWorld(15)
	w.startFleet(1, 3)
	for i := range 4 {
		name := fmt.Sprint("big-", i)
		doc := documentText(name, 1, "x")
		noise := make([]byte, (megabyte-len(doc)-2)/2)
		for j := range noise {
			noise[j] = byte(w.rand.Uint32())
		}
		w.put(configstore.PrefixServices+name, fmt.Appendf(doc, "# %x", noise))
	}
	w.run(4 * time.Second)
	w.platformDown = true
	largest := 0
	w.onMessage = func(_, _ string, m any) {
		b, err := cbor.Marshal(m)
		is.NoErr(err)
		largest = max(largest, len(b))
	}
	w.start("h0-0", "dc-0").state.opts.Seeds = []string{address("h0-1")}
	w.run(10 * time.Second)
	for i := range 4 {
		is.Equal(w.nodes["h0-0"].inForce(fmt.Sprint("big-", i)), "1-x")
	}
	is.Equal(w.countValid(), 3)
	t.Logf("largest message: %d bytes", largest)
	is.True(largest > megabyte/2 && largest < megabyte+128<<10) // below wire.MaxBytes
}

func TestLeavingHostIsNotCounted(t *testing.T) {
	is := is.New(t)
	w := newWorld(11)
	w.startFleet(3, 3)
	w.publish("a", 1, "x")
	w.run(4 * time.Second)
	w.nodes["h0-0"].state.Leave(w.now)
	w.run(50 * time.Millisecond)
	for _, id := range w.ids {
		is.Equal(w.nodes[id].countLive(), 8)
	}
	w.stopped["h0-0"] = true
	w.run(time.Second)
	t.Run("replaced under the same id", func(t *testing.T) {
		is := is.New(t)
		w.start("h0-0", "dc-0")
		w.run(5 * time.Second)
		for _, id := range w.ids {
			is.Equal(w.nodes[id].countLive(), 9)
		}
	})
	t.Run("new host that the platform does not list", func(t *testing.T) {
		is := is.New(t)
		w.start("h0-9", "dc-0")
		w.run(6 * time.Second)
		for _, id := range w.ids {
			is.Equal(w.nodes[id].countLive(), 10)
		}
		w.stopped["h0-9"] = true
		w.run(unlistedExpiry + 5*time.Second)
		is.Equal(w.nodes["h1-1"].countLive(), 9)
	})
}

func TestCrashSuspectsReachEveryHost(t *testing.T) {
	is := is.New(t)
	w := newWorld(12)
	w.startFleet(3, 3)
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

// countLive returns the number of hosts in the node's view that are not
// leaving.
func (n *node) countLive() int {
	count := 0
	for _, h := range n.view.Hosts {
		if !h.Leaving {
			count++
		}
	}
	return count
}
