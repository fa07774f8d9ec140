package news

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/route"
)

// settled is a time in which every host learns of a change or of a restore.
const settled = testApply

// serversAt returns the servers that a host may call, and those of them that are
// draining.
func (f *fleet) serversAt(address string) (all, draining []string) {
	topology, _ := f.hosts[address].state.Topology(f.now)
	for _, v := range topology.Servers {
		all = append(all, v.ID)
		if v.Draining {
			draining = append(draining, v.ID)
		}
	}
	return all, draining
}

// always steps the fleet and fails the test if a host does not meet the condition
// at any time.
func (f *fleet) always(d time.Duration, what string, ok func(*route.Topology) bool) {
	f.t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.run(testStep)
		for _, address := range f.order {
			if topology, _ := f.hosts[address].state.Topology(f.now); topology != nil && !ok(topology) {
				f.t.Fatalf("%v at %s: %s", f.now.Sub(time.Unix(1000, 0)), address, what)
			}
		}
	}
}

// TestConfigurationAfterRestore guards against a fleet that does not apply, applies
// late or reverts configurations once the store has been restored from a copy.
func TestConfigurationAfterRestore(t *testing.T) {
	for _, n := range []int{1, 7, 9, 85} {
		for i, c := range []struct {
			name string
			do   func(f *fleet)
		}{
			{"the users' day", func(f *fleet) {
				f.store.restore(1)
				f.run(time.Second)
				f.store.put("config", "3")
				f.run(settled)
			}},
			{"rewritten late", func(f *fleet) {
				f.store.restore(2)
				f.run(20 * time.Second)
				f.store.put("config", "3")
				f.run(settled)
			}},
			{"written past the old revision at once", func(f *fleet) {
				f.store.restore(2)
				f.store.put("config", "3")
				for i := range 5 {
					f.store.put(fmt.Sprint("server/", i), "7")
				}
			}},
			{"written to the old revision exactly", func(f *fleet) {
				f.store.restore(2)
				f.store.put("server/x", "5")
				f.store.put("config", "3")
			}},
			{"a higher version first", func(f *fleet) {
				f.store.restore(2)
				f.store.put("config", "4")
				f.store.put("config", "3")
				f.store.put("config", "2")
			}},
			{"two restores in a row", func(f *fleet) {
				f.store.restore(1)
				f.run(300 * time.Millisecond)
				f.store.put("config", "3")
				f.run(100 * time.Millisecond)
				f.store.restore(2)
				f.store.put("config", "3")
			}},
			{"after an outage", func(f *fleet) {
				f.store.isDown = func(string) bool { return true }
				f.run(5 * time.Second)
				f.store.restore(2)
				f.store.isDown = func(string) bool { return false }
			}},
			{"seen by hosts that are no readers first", func(f *fleet) {
				f.store.isDown = func(a string) bool { return slices.Index(f.order, a)%2 == 0 }
				f.store.restore(2)
				f.run(settled)
				f.store.isDown = func(string) bool { return false }
			}},
			{"hosts restart", func(f *fleet) {
				f.store.restore(2)
				f.run(500 * time.Millisecond)
				f.startHost(f.order[0])
				f.startHost(f.order[len(f.order)-1])
				f.run(time.Second)
				f.store.put("config", "3")
			}},
		} {
			if n > 9 && i%3 != 0 {
				continue // a third of the shapes at this size, for time
			}
			t.Run(fmt.Sprintf("%d hosts, %s", n, c.name), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, n, uint64(n))
				f.run(4 * time.Second)
				f.store.put("config", "2")
				f.run(settled)
				f.store.put("config", "3")
				f.run(settled)
				f.wantVersion(3)
				c.do(f)
				f.run(settled)
				f.store.put("config", "5")
				f.run(settled)
				f.wantVersion(5)
				f.store.put("server/last", "9")
				f.run(settled)
				for _, address := range f.order {
					if all, _ := f.serversAt(address); !slices.Contains(all, "last") {
						t.Errorf("%s does not know the server that registered last", address)
					}
				}
			})
		}
	}
}

// TestServersAfterRestore guards against calls to servers that have left or are
// leaving, and against the loss of servers whose entries are missing for a moment.
func TestServersAfterRestore(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 3)
	f.store.put("server/stays", "5")
	f.store.put("server/leaves", "5")
	f.store.put("server/left", "5")
	f.store.put("server/moved", "5")
	f.run(4 * time.Second)
	f.store.put("server/leaves", "-5")
	f.store.remove("server/left")
	f.store.put("server/moved", "8") // the next incarnation
	f.store.put("server/new", "6")
	f.store.put("server/ends", "6")
	f.run(settled)
	f.store.restore(5)
	known := func(topology *route.Topology, id string) (v route.Server, ok bool) {
		i := slices.IndexFunc(topology.Servers, func(v route.Server) bool { return v.ID == id })
		if i < 0 {
			return v, false
		}
		return topology.Servers[i], true
	}
	sound := func(topology *route.Topology) bool {
		_, left := known(topology, "left")
		leaves, _ := known(topology, "leaves")
		moved, _ := known(topology, "moved")
		_, stays := known(topology, "stays")
		_, isNew := known(topology, "new")
		return !left && (leaves.ID == "" || leaves.Draining) && (moved.ID == "" || moved.StartUnixMs == 8) && stays && isNew
	}
	f.always(1800*time.Millisecond, "a server that left, or an old entry, is in force, or a server was lost", sound)
	f.store.put("server/leaves", "-5")
	f.store.put("server/moved", "8")
	f.store.put("server/new", "6")
	f.store.remove("server/left")
	f.always(2*settled, "a server that left, or an old entry, is in force, or a server was lost", sound)
	for _, address := range f.order {
		all, draining := f.serversAt(address)
		is.Equal(all, []string{"leaves", "moved", "new", "stays"}) // one ended meanwhile and is not written again
		is.Equal(draining, []string{"leaves"})
	}
	f.store.put("server/left", "9") // another incarnation
	f.store.remove("server/stays")
	f.run(settled)
	for _, address := range f.order {
		all, _ := f.serversAt(address)
		is.Equal(all, []string{"leaves", "left", "moved", "new"})
	}
}

// TestEvacuationsAfterRestore guards against work for a data centre whose evacuation
// is missing from the copy, and against one that was taken back and is in it.
func TestEvacuationsAfterRestore(t *testing.T) {
	f := newFleet(t, 9, 4)
	f.store.put("out/lifted", "{}")
	f.run(4 * time.Second)
	f.store.remove("out/lifted")
	f.store.put("out/a", "{}")
	f.run(settled)
	f.store.restore(2)
	out := func(topology *route.Topology) bool {
		_, a := topology.Evacuated["a"]
		_, lifted := topology.Evacuated["lifted"]
		return a && !lifted
	}
	f.always(2*time.Second, "the evacuations are those of the copy", out)
	f.store.remove("out/lifted")
	f.store.put("out/a", "{}")
	f.always(10*time.Second, "the evacuations are those of the copy", out)
	f.store.remove("out/a")
	f.store.put("out/lifted", "{}")
	f.run(settled)
	for _, address := range f.order {
		topology, _ := f.hosts[address].state.Topology(f.now)
		if _, a := topology.Evacuated["a"]; a || len(topology.Evacuated) != 1 {
			t.Errorf("%s has evacuated %v", address, topology.Evacuated)
		}
	}
}

// TestRestoresBesideOtherFaults restores the store at random beside partitions,
// outages and restarts. What is lost is written again within a second; every host
// that reaches the store then has each change in time, and no host reverts.
func TestRestoresBesideOtherFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 7))
			f := newFleet(t, 12, seed)
			f.run(4 * time.Second)
			version := int64(1)
			for range 12 {
				f.injectFaults(random)
				f.run(time.Duration(random.IntN(1500)) * time.Millisecond)
				f.store.put(fmt.Sprint("server/", version), "5")
				if random.IntN(2) == 0 {
					f.store.restore(min(1+random.IntN(2), len(f.store.history)-1))
					f.store.put(fmt.Sprint("server/after-", version), "6")
				}
				f.run(time.Duration(random.IntN(1000)) * time.Millisecond)
				f.store.put("config", strconv.FormatInt(version, 10))
				for v := range version {
					if id := fmt.Sprint("server/", v+1); f.store.items[id].Key == "" {
						f.store.put(id, "5")
					}
				}
				f.run(2 * time.Second)
				version++
				f.store.put("config", strconv.FormatInt(version, 10))
				f.run(testApply)
				f.wantVersion(version)
			}
			f.isCut = func(string, string) bool { return false }
			f.store.isDown = func(string) bool { return false }
			f.run(2 * testApply)
			for _, address := range f.order {
				if all, _ := f.serversAt(address); len(all) != len(f.store.all().Items)-1 {
					t.Errorf("%s knows %d servers, want %d", address, len(all), len(f.store.all().Items)-1)
				}
			}
		})
	}
}

// newRestoreState returns a State at revision 5 of era 2 that has configuration 3.
func newRestoreState(now time.Time) *State {
	s := NewState(now, Options{Address: "10.0.0.1", Decoder: testDecoder{}, ApplyWithin: testApply, Heartbeat: time.Second})
	s.ApplyRange(now, now, Answer{Items: []Item{{Key: "config", Value: []byte("3"), Revision: 5}}, Position: Position{2, 5}}, false)
	return s
}

// TestErasOfAnswers covers answers whose era is missing, cannot be read, is an
// earlier one or a later one, to reads that were asked for before and after.
func TestErasOfAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	config := func(version string, revision int64) []Item {
		return []Item{{Key: "config", Value: []byte(version), Revision: revision}}
	}
	for _, c := range []struct {
		name    string
		asked   time.Time
		answer  Answer
		want    Position
		version int64
	}{
		{"the same", now, Answer{Items: config("4", 6), Position: Position{2, 6}}, Position{2, 6}, 4},
		{"missing", now, Answer{Items: config("4", 6), Position: Position{0, 6}}, Position{2, 6}, 4},
		{"invalid", now, Answer{Items: config("4", 6), Position: Position{0, 6}, InvalidEra: `"x"`}, Position{2, 6}, 4},
		{"earlier, asked before", now.Add(-time.Second), Answer{Items: config("4", 6), Position: Position{1, 6}}, Position{2, 5}, 3},
		{"earlier, asked later", now.Add(time.Second), Answer{Items: config("4", 6), Position: Position{1, 6}}, Position{2, 6}, 4},
		{"later", now, Answer{Items: config("4", 2), Position: Position{3, 2}}, Position{3, 2}, 4},
		{"later, with an older configuration", now, Answer{Items: config("2", 2), Position: Position{3, 2}}, Position{3, 2}, 3},
		{"later, without a configuration", now, Answer{Position: Position{3, 2}}, Position{3, 2}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newRestoreState(now)
			s.ApplyRange(now.Add(2*time.Second), c.asked, c.answer, false)
			is.Equal(s.Position(), c.want)
			topology, _ := s.Topology(now)
			is.Equal(topology.Config.Version, c.version)
			// A host that starts now gets what is in force, not what the copy holds.
			u := s.UpdateSince(now, Position{}, 0)
			is.Equal(len(u.Items), 1)
			is.Equal(string(u.Items[0].Value), strconv.FormatInt(c.version, 10))
		})
	}
}

// TestWatchAcrossRestore: the answer to a watch from a revision of another era is
// not applied, and a full read follows if the answer is of a later one.
func TestWatchAcrossRestore(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newRestoreState(now)
	from := s.Position()
	s.ApplyWatch(now, Watch{From: from, AskedAt: now}, Answer{Items: []Item{{Key: "config", Value: []byte("9"), Revision: 6}}, Position: Position{3, 6}})
	is.Equal(s.Position(), Position{2, 5})
	s.members.hasJoined = true
	is.Equal(s.NextRead(now.Add(testApply)), ReadRange)
	s.ApplyUpdate(now, now, &Update{Era: 3, Revision: 4, Full: true, Items: []Item{{Key: "config", Value: []byte("3"), Revision: 4}}})
	is.Equal(s.Position(), Position{3, 4})
	s.ApplyWatch(now, Watch{From: from, AskedAt: now}, Answer{Items: []Item{{Key: "server/x", Value: []byte("5"), Revision: 6}}, Position: Position{3, 6}})
	is.Equal(s.Position(), Position{3, 4}) // the watch began at a revision of era 2
}

// TestStaleReadIsVerified: a stale read at the start may be from before a restore,
// so that it is not passed on and a read that is not stale replaces it.
func TestStaleReadIsVerified(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewState(now, Options{Address: "10.0.0.1", Decoder: testDecoder{}, ApplyWithin: testApply, Heartbeat: time.Second})
	s.members.hasJoined = true
	is.Equal(s.NextRead(now), ReadStaleRange)
	s.ApplyRange(now, now, Answer{Items: []Item{
		{Key: "config", Value: []byte("3"), Revision: 5}, {Key: "server/x", Value: []byte("5"), Revision: 7}, {Key: "out/b", Value: []byte("{}"), Revision: 6},
	}, Position: Position{2, 7}}, true)
	topology, _ := s.Topology(now)
	is.Equal(topology.Config.Version, int64(3))
	is.Equal(s.Position(), Position{})
	is.Equal(s.UpdateSince(now, Position{}, 0).Items, nil)
	is.Equal(s.NextRead(now), ReadRange)
	s.ApplyRange(now, now, Answer{Items: []Item{{Key: "config", Value: []byte("4"), Revision: 6}}, Position: Position{2, 6}}, false)
	topology, _ = s.Topology(now) // what is missing now has left, however short ago
	is.Equal(topology.Config.Version, int64(4))
	is.Equal(len(topology.Servers), 0)
	is.Equal(len(topology.Evacuated), 0)
	is.Equal(s.NextRead(now), ReadWatch)
}

// TestHostsWithoutEras: updates of hosts of an earlier version, which name no era,
// are applied until the store is restored, and not afterwards.
func TestHostsWithoutEras(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := newRestoreState(now)
	old := func(version string, revision int64) *Update {
		return &Update{Revision: revision, AgeMs: 0, Items: []Item{{Key: "config", Value: []byte(version), Revision: revision}}}
	}
	s.ApplyUpdate(now, now, old("4", 6))
	is.Equal(s.Position(), Position{2, 6})
	is.True(!s.AnswerPoll(now, &Poll{Revision: 5}).Full) // it has the same history
	s.ApplyRange(now, now, Answer{Items: []Item{{Key: "config", Value: []byte("3"), Revision: 5}}, Position: Position{3, 5}}, false)
	s.ApplyUpdate(now, now, old("9", 9))
	is.Equal(s.Position(), Position{3, 5})
	topology, _ := s.Topology(now)
	is.Equal(topology.Config.Version, int64(4))
	is.True(s.AnswerPoll(now, &Poll{Era: 2, Revision: 6}).Full)
}

// TestStoreWithoutErasGoesBack: a store that names no era, does not have the
// revision that this host knows and is at an earlier one has been restored.
func TestStoreWithoutErasGoesBack(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewState(now, Options{Address: "10.0.0.1", Decoder: testDecoder{}, ApplyWithin: testApply, Heartbeat: time.Second})
	s.ApplyRange(now, now, Answer{Items: []Item{{Key: "config", Value: []byte("3"), Revision: 5}}, Position: Position{0, 5}}, false)
	s.ApplyRange(now, now, Answer{Items: []Item{{Key: "config", Value: []byte("2"), Revision: 3}}, Position: Position{0, 4}}, false)
	is.Equal(s.Position(), Position{0, 5}) // a read that came late
	s.MarkHistoryGone()
	s.ApplyRange(now, now, Answer{Items: []Item{{Key: "server/x", Value: []byte("5"), Revision: 4}}, Position: Position{0, 4}}, false)
	is.Equal(s.Position(), Position{0, 4})
	topology, _ := s.Topology(now)
	is.Equal(topology.Config.Version, int64(3))
	is.Equal(len(topology.Servers), 1)
}
