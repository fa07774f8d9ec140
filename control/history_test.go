package control

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"github.com/figmast/figmast/configstore"
	"github.com/figmast/figmast/document"
)

// publication is a published document with its documented precedence: by
// creation of the key, then by version, then the first one published. Its
// revision is negated, so that an earlier one compares as higher.
type publication struct {
	at, readableAt                    time.Time
	created, version, negatedRevision int64
	label                             string
}

func compare(a, b publication) int {
	return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.version, b.version), cmp.Compare(a.negatedRevision, b.negatedRevision))
}

// published returns the valid documents of a service, by label.
func (w *world) published(name string) map[string]publication {
	out := make(map[string]publication)
	for i, e := range w.changes {
		doc, err := document.Parse(e.Kv.Value)
		if e.Type != "PUT" || string(e.Kv.Key) != configstore.PrefixServices+name || err != nil {
			continue
		}
		label := doc.Snapshots[0].ID
		out[label] = publication{w.changedAt[i], w.readableAt[i], int64(e.Kv.CreateRevision), int64(doc.Version), -int64(e.Kv.ModRevision), label}
	}
	return out
}

// observation records a time at which a host could act on a document. host
// identifies one process: it consists of the host ID and the start time.
type observation struct {
	host  string
	at    time.Time
	label string
}

// history records which documents the hosts could act on over time.
type history struct {
	w            *world
	observations []observation
	lastObserved map[string]observation
}

const sampleInterval = 500 * time.Millisecond

func (h *history) sample() {
	for _, id := range h.w.ids {
		n := h.w.nodes[id]
		if h.w.stopped[id] || !n.view.Valid(h.w.now) || n.view.Services["a"] == nil {
			continue
		}
		s := observation{fmt.Sprint(id, n.startedAt.UnixNano()), h.w.now, n.view.Services["a"].Snapshots[0].ID}
		if last := h.lastObserved[s.host]; last.label != s.label || s.at.Sub(last.at) >= sampleInterval {
			h.observations = append(h.observations, s)
			h.lastObserved[s.host] = s
		}
	}
}

// checkMonotonic returns a message if a host went back to a document of lower
// precedence, or "".
func (h *history) checkMonotonic() string {
	docs := h.w.published("a")
	last := make(map[string]publication)
	for _, e := range h.w.activations {
		if e.doc.Name != "a" {
			continue
		}
		host := fmt.Sprint(e.host, e.startedAt.UnixNano())
		next := docs[e.doc.Snapshots[0].ID]
		if compare(next, last[host]) < 0 {
			return fmt.Sprintf("%s went from %s back to %s", host, last[host].label, next.label)
		}
		last[host] = next
	}
	return ""
}

// register models the document in force: a write takes effect if its precedence
// is higher, a read returns the current document.
var register = porcupine.Model{
	Init: func() any { return publication{} },
	Step: func(state, input, output any) (bool, any) {
		if w, ok := input.(publication); ok {
			if compare(w, state.(publication)) > 0 {
				return true, w
			}
			return true, state
		}
		return state.(publication).label == output.(string), state
	},
}

// checkBoundedStaleness returns a message if a host, while its view was valid,
// held a document that was not in force at any moment within the bound before,
// or "". It checks each host's reads against a linearizable register as if each
// had taken that long.
func (h *history) checkBoundedStaleness(bound time.Duration) string {
	var writes []porcupine.Operation
	for _, d := range h.w.published("a") {
		at := d.at.UnixNano()
		writes = append(writes, porcupine.Operation{ClientId: 0, Input: d, Call: at, Return: d.readableAt.UnixNano() + 1})
	}
	slices.SortFunc(writes, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for i := range writes {
		writes[i].Call += int64(i)
		writes[i].Return += int64(i)
	}
	reads := make(map[string][]porcupine.Operation)
	for i, s := range h.observations {
		at := s.at.UnixNano()
		reads[s.host] = append(reads[s.host], porcupine.Operation{ClientId: i + 1, Output: s.label, Call: at - int64(bound), Return: at + int64(step)})
	}
	for host, list := range reads {
		if !porcupine.CheckOperations(register, append(slices.Clone(writes), list...)) {
			return fmt.Sprintf("%s acted on a document that was not in force at any moment of the %v before", host, bound)
		}
	}
	return ""
}

// fault injects one kind of fault. It lasts until endFaults.
type fault func(t *rapid.T, w *world, s *schedule)

// schedule is the state of one generated run.
type schedule struct {
	version   int
	labels    int
	isolated  []string
	startedAt time.Time // when the current pair of faults began
}

func (s *schedule) newLabel() string {
	s.labels++
	return fmt.Sprint("n", s.labels)
}

func drawHost(t *rapid.T, w *world) string { return rapid.SampledFrom(w.ids).Draw(t, "host") }

// faults are drawn in pairs, of which "none" leaves one fault alone. A
// publication follows each pair.
var faults = map[string]fault{
	"none":          func(*rapid.T, *world, *schedule) {},
	"platform down": func(_ *rapid.T, w *world, _ *schedule) { w.platformDown = true },
	"host cut off":  func(t *rapid.T, w *world, s *schedule) { w.isolate(s, drawHost(t, w)) },
	"data centre cut off": func(t *rapid.T, w *world, s *schedule) {
		dc := rapid.IntRange(0, 2).Draw(t, "data centre")
		w.isolate(s, w.ids[dc*3:dc*3+3]...)
	},
	"cut one way": func(t *rapid.T, w *world, _ *schedule) {
		for range 6 {
			w.blocked[[2]string{drawHost(t, w), drawHost(t, w)}] = true
		}
	},
	"no platform for some": func(t *rapid.T, w *world, _ *schedule) {
		for range 4 {
			w.noPlatform[drawHost(t, w)] = true
		}
	},
	"pause": func(t *rapid.T, w *world, _ *schedule) {
		w.nodes[drawHost(t, w)].pausedUntil = w.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "pause")) * time.Second)
	},
	"stale platform": func(t *rapid.T, w *world, s *schedule) {
		if id := drawHost(t, w); !slices.Contains(s.isolated, id) {
			w.staleRevision[id] = rapid.IntRange(len(w.changes)/2, len(w.changes)).Draw(t, "revision")
		}
	},
	"replaced host": func(t *rapid.T, w *world, s *schedule) {
		if id := drawHost(t, w); len(s.isolated) == 0 {
			w.start(id, "dc-"+id[1:2])
		}
	},
	"loss": func(_ *rapid.T, w *world, _ *schedule) { w.loss = 0.1 },
	"race of operators": func(t *rapid.T, w *world, s *schedule) {
		w.publish("a", s.version, s.newLabel())
		w.publish("a", max(s.version-1, 1), s.newLabel())
	},
	"bad document": func(_ *rapid.T, w *world, _ *schedule) { w.put(configstore.PrefixServices+"a", []byte("version: [")) },
	"removed and published anew": func(_ *rapid.T, w *world, s *schedule) {
		w.remove(configstore.PrefixServices + "a")
		s.version = 1
		w.publish("a", 1, s.newLabel())
	},
}

// isolate cuts hosts off from the other hosts and from the platform. It
// isolates fewer than half of them: a larger part would be the majority that
// keeps serving.
func (w *world) isolate(s *schedule, ids ...string) {
	if len(s.isolated)+len(ids) > 4 {
		return
	}
	for _, id := range ids {
		w.noPlatform[id] = true
		delete(w.staleRevision, id)
	}
	s.isolated = append(s.isolated, ids...)
	w.partition(ids...)
}

// endFaults ends all faults. If the platform was down, changes that were
// published since the faults began may have become readable only now.
func (w *world) endFaults(s *schedule) {
	w.heal()
	for i := range w.readableAt {
		if w.platformDown && w.changedAt[i].After(s.startedAt.Add(-step)) {
			w.readableAt[i] = w.now
		}
	}
	w.platformDown, w.loss, s.isolated = false, 0, nil
	w.noPlatform, w.staleRevision = make(map[string]bool), make(map[string]int)
	for _, n := range w.nodes {
		n.pausedUntil = time.Time{}
	}
}

// TestHistoryUnderFaults runs generated schedules of one or two faults at a
// time. Afterwards the last publication must reach all hosts within 3 s. The
// recorded history must show no host that went back to an older document or
// acted on one that was superseded more than MaxQuorumAge before.
func TestHistoryUnderFaults(t *testing.T) {
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		h := &history{w: w, lastObserved: make(map[string]observation)}
		s := &schedule{version: 1}
		w.startFleet(3, 3)
		w.publish("a", 1, s.newLabel())
		w.run(4*time.Second, h.sample)
		for range 3 {
			s.startedAt = w.now
			for range 2 {
				faults[rapid.SampledFrom(names).Draw(t, "fault")](t, w, s)
				w.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait"))*step, h.sample)
			}
			if !w.platformDown { // a change that nobody can read does not count as published
				s.version++
				w.publish("a", s.version, s.newLabel())
			}
			w.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "run"))*step, h.sample)
			w.endFaults(s)
			w.run(8*time.Second, h.sample)
		}
		s.version++
		w.publish("a", s.version, s.newLabel())
		w.run(3*time.Second, h.sample)
		if got, want := w.commonDocument("a"), fmt.Sprintf("%d-n%d", s.version, s.labels); got != want {
			t.Fatalf("3 s after the last publication the hosts hold %q, want %q everywhere", got, want)
		}
		if n := w.countValid(); n != 9 {
			t.Fatalf("%d of 9 hosts have a valid view, want all", n)
		}
		if violation := h.checkMonotonic() + h.checkBoundedStaleness(MaxQuorumAge); violation != "" {
			t.Fatal(violation)
		}
	})
}

func TestCompressionRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOf(rapid.Byte()).Draw(t, "document")
		out, err := decompress(compress(in))
		if err != nil || !bytes.Equal(in, out) {
			t.Fatalf("%v: %q became %q", err, in, out)
		}
	})
}
