package news

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/figmast/figmast/crash"
	"github.com/figmast/figmast/route"
)

// testDecoder decodes the entries of the tests: a configuration is a version, a
// server a start time, which is negative while the server is draining.
type testDecoder struct{}

func (testDecoder) Classify(key string) (Kind, string) {
	switch {
	case key == "config":
		return KindConfig, ""
	case strings.HasPrefix(key, "out/"):
		return KindEvacuation, key[4:]
	case strings.HasPrefix(key, "server/"):
		return KindServer, key[7:]
	}
	return KindOther, ""
}

func (testDecoder) Config(b []byte) (*route.Config, error) {
	v, err := strconv.ParseInt(string(b), 10, 64)
	return &route.Config{Version: v}, err
}

func (testDecoder) Server(id string, b []byte) (route.Server, error) {
	s := route.Server{ID: id, Service: "s"}
	err := json.Unmarshal(b, &s.StartUnixMs)
	if s.StartUnixMs < 0 {
		s.StartUnixMs, s.Draining = -s.StartUnixMs, true
	}
	return s, err
}

// testStore is an in-memory store that counts its reads.
type testStore struct {
	items    map[string]Item
	revision int64
	era      int64
	// history holds every write, oldest first.
	history []Item
	reads   int
	isDown  func(host string) bool
	// pageSize bounds the changes in the answer to a watch; 0 means no bound.
	pageSize int
}

func newTestStore() *testStore {
	return &testStore{items: make(map[string]Item), era: 1, isDown: func(string) bool { return false }}
}

func (s *testStore) put(key, value string) {
	s.write(Item{Key: key, Value: []byte(value)})
}

func (s *testStore) remove(key string) {
	s.write(Item{Key: key, Deleted: true})
}

func (s *testStore) write(it Item) {
	s.revision++
	it.Revision = s.revision
	s.items[it.Key] = it
	s.history = append(s.history, it)
}

// restore brings back a copy that lacks the last writes.
func (s *testStore) restore(lost int) {
	s.history = s.history[:len(s.history)-lost]
	clear(s.items)
	for _, it := range s.history {
		s.items[it.Key] = it
	}
	s.revision = s.history[len(s.history)-1].Revision
	s.era++
}

// all returns the answer to a full read.
func (s *testStore) all() Answer {
	a := Answer{Position: Position{s.era, s.revision}}
	for _, it := range s.items {
		if !it.Deleted {
			a.Items = append(a.Items, it)
		}
	}
	return a
}

// since returns the changes after a revision, up to the page size.
func (s *testStore) since(after int64) Answer {
	a := Answer{Position: Position{s.era, s.revision}}
	for _, it := range s.items {
		if it.Revision > after {
			a.Items = append(a.Items, it)
		}
	}
	slices.SortFunc(a.Items, func(x, y Item) int { return int(x.Revision - y.Revision) })
	if s.pageSize > 0 && len(a.Items) >= s.pageSize {
		a.Items, a.MayBePartial = a.Items[:s.pageSize], true
		a.Revision = a.Items[s.pageSize-1].Revision
	}
	return a
}

// fleet runs the States of many hosts in virtual time. A poll and its answer
// take no time, and every host is stepped once per testStep.
type fleet struct {
	t     *testing.T
	now   time.Time
	store *testStore
	hosts map[string]*testHost
	seeds []string
	// isCut reports whether two hosts cannot reach each other.
	isCut func(a, b string) bool
	// isHeldUp reports whether a cut holds up the store's answers to a host.
	isHeldUp func(host string) bool
	// usedVersion is the highest configuration version that each host has had
	// in force.
	usedVersion map[string]int64
	// order is the order in which hosts are stepped.
	order []string
}

type testHost struct {
	state       *State
	address     string
	last        map[string]*Update
	polled      map[string]time.Time
	watch       Watch
	isWatching  bool
	pausedUntil time.Time
	// held is an answer of the store that a cut holds up.
	held *Answer
}

const (
	testStep  = 20 * time.Millisecond
	testApply = 3 * time.Second
)

// newFleet starts hosts that are stepped in a random order drawn from the seed.
func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1000, 0), store: newTestStore(), hosts: make(map[string]*testHost),
		isCut: func(string, string) bool { return false }, isHeldUp: func(string) bool { return false }, usedVersion: make(map[string]int64),
	}
	f.store.put("config", "1")
	for i := range n {
		address := fmt.Sprintf("10.%d.0.%d", i%3, i)
		if i < 3 {
			f.seeds = append(f.seeds, address)
		}
		f.order = append(f.order, address)
	}
	rand.New(rand.NewPCG(seed, 1)).Shuffle(n, func(i, j int) { f.order[i], f.order[j] = f.order[j], f.order[i] })
	for _, address := range f.order {
		f.startHost(address)
	}
	return f
}

func (f *fleet) startHost(address string) {
	h := &testHost{address: address, last: make(map[string]*Update), polled: make(map[string]time.Time)}
	h.state = NewState(f.now, Options{
		Address: address, DataCentre: address[:4], Seeds: f.seeds, Decoder: testDecoder{}, ApplyWithin: testApply, Heartbeat: 1200 * time.Millisecond,
		RelayCapacity: int(address[len(address)-1] % 2),
		Log: func(event string, fields ...any) {
			if event == "reading the store" {
				f.t.Log(f.now.Sub(time.Unix(1000, 0)), address, fields)
			}
		},
	})
	f.hosts[address] = h
	delete(f.usedVersion, address)
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(testStep) {
		for _, address := range f.order {
			f.step(f.hosts[address])
		}
	}
}

func (f *fleet) step(h *testHost) {
	f.read(h)
	for i, up := range h.state.Upstreams(f.now) {
		if f.now.Sub(h.polled[up]) < h.state.PollInterval() && !f.hasPush(h, up, i) {
			continue
		}
		h.polled[up] = f.now
		other := f.hosts[up]
		if other == nil || f.isCut(h.address, up) {
			h.state.MarkUnreachable(f.now, up)
			continue
		}
		p := h.state.BuildPoll(f.now, 1, up, h.last[up], i == 0)
		u := other.state.AnswerPoll(f.now, p)
		h.last[up] = u
		h.state.MarkAnswered(f.now, up, u)
		h.state.ApplyUpdate(f.now, f.now, u)
	}
	if topology, _ := h.state.Topology(f.now); topology != nil && topology.Config != nil {
		if topology.Config.Version < f.usedVersion[h.address] {
			f.t.Fatalf("%s reverted from version %d to %d", h.address, f.usedVersion[h.address], topology.Config.Version)
		}
		f.usedVersion[h.address] = topology.Config.Version
	}
}

// hasPush reports whether the first upstream has an update to push.
func (f *fleet) hasPush(h *testHost, up string, i int) bool {
	other := f.hosts[up]
	return i == 0 && other != nil && !f.isCut(h.address, up) && other.state.Revision() > h.state.Revision()
}

// read simulates the reads of the store, one at a time.
func (f *fleet) read(h *testHost) {
	if f.now.Before(h.pausedUntil) {
		return
	}
	if h.isWatching {
		f.continueWatch(h)
		return
	}
	switch h.state.NextRead(f.now) {
	case ReadRange, ReadStaleRange:
		f.store.reads++
		if f.store.isDown(h.address) {
			h.pausedUntil = f.now.Add(time.Second)
			return
		}
		h.state.ApplyRange(f.now, f.now, f.store.all(), false)
	case ReadWatch:
		f.store.reads++
		h.watch, h.isWatching = h.state.NextWatch(f.now), true
	case ReadNothing:
	}
}

func (f *fleet) continueWatch(h *testHost) {
	down := f.store.isDown(h.address)
	if h.held == nil {
		answer := f.store.since(h.watch.From.Revision)
		if !down && h.watch.From.Revision > f.store.revision {
			h.isWatching = false
			h.state.MarkHistoryGone()
			return
		}
		if f.now.Before(h.watch.AskedAt.Add(h.watch.Wait)) && (down || len(answer.Items) == 0) {
			return
		}
		h.held = &answer
	}
	if !down && f.isHeldUp(h.address) {
		if f.now.Sub(h.watch.AskedAt) > h.watch.Timeout() {
			h.isWatching, h.held = false, nil
			h.pausedUntil = f.now.Add(200 * time.Millisecond)
		}
		return
	}
	answer := *h.held
	h.isWatching, h.held = false, nil
	if down {
		h.pausedUntil = f.now.Add(time.Second)
		return
	}
	h.state.ApplyWatch(f.now, h.watch, answer)
	if len(answer.Items) > 0 && !answer.MayBePartial {
		h.pausedUntil = f.now.Add(250 * time.Millisecond)
	}
}

// injectFaults draws which hosts are on the other side of a partition, cannot reach
// the store, or restart.
func (f *fleet) injectFaults(random *rand.Rand) {
	partitioned, withoutStore := make(map[string]bool), make(map[string]bool)
	for _, address := range f.order {
		partitioned[address] = random.IntN(4) == 0
		withoutStore[address] = random.IntN(4) == 0
		if random.IntN(6) == 0 {
			f.startHost(address)
		}
	}
	f.isCut = func(a, b string) bool { return partitioned[a] != partitioned[b] }
	f.store.isDown = func(a string) bool { return withoutStore[a] }
}

// wantVersion fails the test unless every host that can reach the store has the
// version in force.
func (f *fleet) wantVersion(v int64) {
	f.t.Helper()
	for address, h := range f.hosts {
		if h != nil && !f.store.isDown(address) && f.usedVersion[address] != v {
			f.t.Errorf("%s has version %d in force, want %d", address, f.usedVersion[address], v)
		}
	}
}

// TestFewHostsRead checks that without faults two hosts read the store for all.
func TestFewHostsRead(t *testing.T) {
	for i, n := range []int{1, 9, 9, 85, 85} {
		t.Run(fmt.Sprintf("%d hosts, order %d", n, i), func(t *testing.T) {
			f := newFleet(t, n, uint64(i))
			f.run(4 * time.Second)
			f.wantVersion(1)
			before := f.store.reads
			f.run(30 * time.Second)
			reads := f.store.reads - before
			if most := readerCount * 30 * watchDivisor / 3 * 11 / 10; reads > most {
				t.Errorf("%d reads in 30 s, want at most %d", reads, most)
			}
			f.store.put("config", "2")
			f.run(time.Second)
			f.wantVersion(2)
			for address, h := range f.hosts {
				if got := len(h.state.Hosts(f.now)); got != n {
					t.Errorf("%s knows %d hosts, want %d", address, got, n)
				}
			}
		})
	}
}

// TestChangesReachEveryHostInTime injects random partitions between hosts,
// outages of the store at some hosts, and host restarts. Every host that can
// reach the store must have each change in force within ApplyWithin.
func TestChangesReachEveryHostInTime(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 0))
			f := newFleet(t, 12, seed)
			f.run(4 * time.Second)
			version := int64(1)
			for range 12 {
				f.injectFaults(random)
				f.run(time.Duration(random.IntN(3000)) * time.Millisecond)
				// The bound holds only for hosts that have been able to reach
				// the store for a while.
				f.run(2 * time.Second)
				version++
				f.store.put("config", strconv.FormatInt(version, 10))
				f.run(testApply)
				f.wantVersion(version)
			}
		})
	}
}

// TestServersRemovedDuringStoreOutage checks that servers whose entries expired
// during an outage of the store are kept until they can register again, also if
// the changes come in several answers.
func TestServersRemovedDuringStoreOutage(t *testing.T) {
	for _, pageSize := range []int{0, 1} {
		t.Run(fmt.Sprintf("page size %d", pageSize), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 3, 1)
			f.store.pageSize = pageSize
			for _, id := range []string{"x", "y"} {
				f.store.put("server/"+id, "5")
			}
			f.run(4 * time.Second)
			count := func() int {
				topology, _ := f.hosts[f.seeds[0]].state.Topology(f.now)
				return len(topology.Servers)
			}
			is.Equal(count(), 2)
			f.store.isDown = func(string) bool { return true }
			f.run(5 * time.Second)
			f.store.remove("server/x")
			f.store.remove("server/y")
			f.store.isDown = func(string) bool { return false }
			f.run(1500 * time.Millisecond)
			is.Equal(count(), 2)
			f.store.put("server/y", "5")
			f.run(4 * time.Second)
			is.Equal(count(), 1) // x has not registered again
			f.store.remove("server/y")
			f.run(time.Second)
			is.Equal(count(), 0) // there was no outage: removed at once
		})
	}
}

func TestEntries(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewState(now, Options{Address: "10.0.0.1", Decoder: testDecoder{}, ApplyWithin: testApply})
	s.ApplyRange(now, now, Answer{Items: []Item{
		{Key: "config", Value: []byte("7"), Revision: 3}, {Key: "server/x", Value: []byte("5"), Revision: 4},
		{Key: "server/bad", Value: []byte(`"no"`), Revision: 5}, {Key: "out/b", Value: []byte("{}"), Revision: 6},
	}, Position: Position{Revision: 6}}, false)
	topology, changed := s.Topology(now)
	is.True(changed)
	is.Equal(topology.Config.Version, int64(7))
	is.Equal(len(topology.Servers), 1) // the invalid entry is ignored, the others are used
	_, out := topology.Evacuated["b"]
	is.True(out)

	s.ApplyWatch(now, Watch{From: s.Position(), AskedAt: now}, Answer{Items: []Item{
		{Key: "config", Value: []byte("6"), Revision: 7},   // older than the one in force
		{Key: "server/x", Value: []byte("4"), Revision: 8}, // from an earlier incarnation
		{Key: "out/b", Revision: 9, Deleted: true},
	}, Position: Position{Revision: 9}})
	topology, _ = s.Topology(now)
	is.Equal(topology.Config.Version, int64(7))
	is.Equal(len(topology.Servers), 0)
	_, out = topology.Evacuated["b"]
	is.True(!out)

	// A full read removes entries that it does not hold, but none that are
	// newer than the read.
	s.ApplyWatch(now, Watch{From: s.Position(), AskedAt: now}, Answer{Items: []Item{{Key: "server/z", Value: []byte("9"), Revision: 12}}, Position: Position{Revision: 12}})
	s.ApplyRange(now, now, Answer{Items: []Item{{Key: "config", Value: []byte("7"), Revision: 3}}, Position: Position{Revision: 20}}, false)
	topology, _ = s.Topology(now)
	is.Equal(len(topology.Servers), 0)
}

func TestCrashReportsSpread(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 1)
	f.run(4 * time.Second)
	i := 0
	for _, h := range f.hosts {
		if i++; i <= 3 {
			h.state.AddCrashReports(f.now, []crash.Report{{Fingerprint: 42, Service: "s", Server: fmt.Sprintf("server-%d", i)}})
		}
	}
	f.run(3 * time.Second) // within the platform's bound of 4 s
	for _, h := range f.hosts {
		is.Equal(h.state.CrashVerdicts(f.now)[42].Crashed, 3)
	}
	for _, address := range f.order { // a restarted host gets them from the others
		f.startHost(address)
		f.run(time.Second)
		is.Equal(f.hosts[address].state.CrashVerdicts(f.now)[42].Crashed, 3)
	}
	f.run(testApply)
	for _, h := range f.hosts { // and they are not sent again
		for _, up := range h.state.Upstreams(f.now) {
			p := h.state.BuildPoll(f.now, 2, up, h.last[up], false)
			is.Equal(len(p.Crashes), 0)
			is.Equal(len(f.hosts[up].state.AnswerPoll(f.now, p).Crashes), 0)
		}
	}
}

// TestLateWatchConfirmsOnlyItsAnswer checks that a watch confirms the entries
// as of the time at which the store answered. A host that was suspended
// meanwhile must not report them to others as current, or the others do not
// read the store themselves in time.
func TestLateWatchConfirmsOnlyItsAnswer(t *testing.T) {
	const late = 2500 * time.Millisecond
	change := []Item{{Key: "config", Value: []byte("2"), Revision: 2}}
	for _, c := range []struct {
		name  string
		took  time.Duration
		items []Item
		age   time.Duration
	}{
		{"no change, in time", testApply / watchDivisor, nil, 0},
		{"no change, with network delay", testApply/watchDivisor + 100*time.Millisecond, nil, 100 * time.Millisecond},
		{"no change, processed after a suspension", late, nil, late - testApply/watchDivisor},
		{"no change, sooner than requested", 10 * time.Millisecond, nil, 10 * time.Millisecond},
		{"change, in time", 300 * time.Millisecond, change, 300 * time.Millisecond},
		{"change, processed after a suspension", late, change, late},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			asked := time.Unix(1000, 0)
			s := NewState(asked, Options{Address: "10.0.0.1", Decoder: testDecoder{}, ApplyWithin: testApply})
			s.ApplyRange(asked, asked.Add(-testApply), Answer{Items: []Item{{Key: "config", Value: []byte("1"), Revision: 1}}, Position: Position{Revision: 1}}, false)
			now := asked.Add(c.took)
			s.ApplyWatch(now, Watch{From: s.Position(), AskedAt: asked, Wait: s.WatchWait()}, Answer{Items: c.items, Position: Position{Revision: int64(1 + len(c.items))}})
			age, known := s.Age(now)
			is.True(known)
			is.Equal(age, c.age)
			is.Equal(s.UpdateSince(now, Position{Revision: 1}, 0).AgeMs, c.age.Milliseconds()) // what other hosts are sent
		})
	}
}

// storeWrite is when the store accepted a write, and its revision.
type storeWrite struct {
	revision int64
	at       time.Time
}

// TestAgeHoldsWhileAnswersAreHeldUp guards against counting the age of a replica
// from when an answer of the store arrives, and against taking a page of changes
// for all of them. No host may claim to be current as of a
// time at which the store already held a newer write, or know a drain to have begun
// after it was written.
func TestAgeHoldsWhileAnswersAreHeldUp(t *testing.T) {
	for seed := range uint64(24) {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 2))
			f := newFleet(t, 9, seed)
			f.store.pageSize = []int{0, 2, 4}[seed%3]
			var writes []storeWrite
			drains := make(map[string]time.Time)
			put := func(key, value string) {
				f.store.put(key, value)
				writes = append(writes, storeWrite{f.store.revision, f.now})
			}
			heldUntil := make(map[string]time.Time)
			f.isHeldUp = func(host string) bool { return f.now.Before(heldUntil[host]) }
			f.run(4 * time.Second)
			for i := range 40 {
				id := strconv.Itoa(i)
				put("server/"+id, "5")
				f.run(time.Duration(random.IntN(1500)) * time.Millisecond)
				for _, address := range f.order {
					if random.IntN(2) == 0 {
						heldUntil[address] = f.now.Add(time.Duration(random.IntN(3000)) * time.Millisecond)
					}
				}
				f.run(time.Duration(random.IntN(200)) * time.Millisecond)
				put("config", id)
				for j := range random.IntN(8) {
					put(fmt.Sprintf("server/%d-%d", i, j), "5")
				}
				f.run(time.Duration(random.IntN(200)) * time.Millisecond)
				drains[id] = f.now
				put("server/"+id, "-5")
				for end := f.now.Add(3 * time.Second); f.now.Before(end); {
					f.run(testStep)
					f.checkAges(writes, drains)
				}
			}
		})
	}
}

// checkAges checks what each host claims of the age of its replica.
func (f *fleet) checkAges(writes []storeWrite, drains map[string]time.Time) {
	f.t.Helper()
	for address, h := range f.hosts {
		age, known := h.state.Age(f.now)
		claimed := f.now.Add(-age)
		for _, w := range writes {
			if known && w.at.Before(claimed) && w.revision > h.state.Revision() {
				f.t.Fatalf("%s claims to be current as of %v after revision %d was written, and is at %d", address, claimed.Sub(w.at), w.revision, h.state.Revision())
			}
		}
		topology, _ := h.state.Topology(f.now)
		for _, v := range topology.Servers {
			if at, ok := drains[v.ID]; ok && v.DrainingSince.After(at) {
				f.t.Fatalf("%s counts the drain of %s from %v after it was written", address, v.ID, v.DrainingSince.Sub(at))
			}
		}
	}
}
