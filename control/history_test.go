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

// ranked is a published document with its place in the order that operators
// were promised: by creation of the key, version, and first publication.
type ranked struct {
	at, readable               time.Time
	created, version, earliest int64
	note                       string
}

func compare(a, b ranked) int {
	return cmp.Or(cmp.Compare(a.created, b.created), cmp.Compare(a.version, b.version), cmp.Compare(a.earliest, b.earliest))
}

// published returns the good documents of a service, by note.
func (w *world) published(name string) map[string]ranked {
	out := make(map[string]ranked)
	for i, e := range w.changes {
		doc, err := document.Parse(e.Kv.Value)
		if e.Type != "PUT" || string(e.Kv.Key) != configstore.PrefixServices+name || err != nil {
			continue
		}
		note := doc.Snapshots[0].ID
		out[note] = ranked{w.changed[i], w.readable[i], int64(e.Kv.CreateRevision), int64(doc.Version), -int64(e.Kv.ModRevision), note}
	}
	return out
}

// seen is one moment at which a host could act on a document.
type seen struct {
	host string
	at   time.Time
	note string
}

// history records what hosts could act on.
type history struct {
	w    *world
	list []seen
	last map[string]seen
}

const sampleEvery = 500 * time.Millisecond

func (h *history) sample() {
	for _, id := range h.w.ids {
		n := h.w.nodes[id]
		if h.w.dead[id] || !n.view.Valid(h.w.now) || n.view.Services["a"] == nil {
			continue
		}
		s := seen{fmt.Sprint(id, n.born.UnixNano()), h.w.now, n.view.Services["a"].Snapshots[0].ID}
		if last := h.last[s.host]; last.note != s.note || s.at.Sub(last.at) >= sampleEvery {
			h.list = append(h.list, s)
			h.last[s.host] = s
		}
	}
}

// neverDecreases returns a message when a host went back to an older document.
func (h *history) neverDecreases() string {
	docs := h.w.published("a")
	last := make(map[string]ranked)
	for _, e := range h.w.events {
		if e.doc.Name != "a" {
			continue
		}
		host := fmt.Sprint(e.host, e.born.UnixNano())
		next := docs[e.doc.Snapshots[0].ID]
		if compare(next, last[host]) < 0 {
			return fmt.Sprintf("%s went from %s back to %s", host, last[host].note, next.note)
		}
		last[host] = next
	}
	return ""
}

// register is what operators have published: a write takes effect if it is
// ranked higher; a read returns the document in force.
var register = porcupine.Model{
	Init: func() any { return ranked{} },
	Step: func(state, input, output any) (bool, any) {
		if w, ok := input.(ranked); ok {
			if compare(w, state.(ranked)) > 0 {
				return true, w
			}
			return true, state
		}
		return state.(ranked).note == output.(string), state
	},
}

// bounded checks that each host, whenever it could act, held what was in force
// at some moment of the time before: its reads are checked against a register
// as if each had taken that long.
func (h *history) bounded(bound time.Duration) string {
	var writes []porcupine.Operation
	for _, d := range h.w.published("a") {
		at := d.at.UnixNano()
		writes = append(writes, porcupine.Operation{ClientId: 0, Input: d, Call: at, Return: d.readable.UnixNano() + 1})
	}
	slices.SortFunc(writes, func(a, b porcupine.Operation) int { return cmp.Compare(a.Call, b.Call) })
	for i := range writes {
		writes[i].Call += int64(i)
		writes[i].Return += int64(i)
	}
	reads := make(map[string][]porcupine.Operation)
	for i, s := range h.list {
		at := s.at.UnixNano()
		reads[s.host] = append(reads[s.host], porcupine.Operation{ClientId: i + 1, Output: s.note, Call: at - int64(bound), Return: at + int64(step)})
	}
	for host, list := range reads {
		if !porcupine.CheckOperations(register, append(slices.Clone(writes), list...)) {
			return fmt.Sprintf("%s acted on a document that was not in force for %v", host, bound)
		}
	}
	return ""
}

// fault is one kind of trouble; it lasts until the world is mended.
type fault func(t *rapid.T, w *world, s *schedule)

// schedule is the state of a generated run.
type schedule struct {
	version int
	notes   int
	cut     []string
	began   time.Time
}

func (s *schedule) note() string {
	s.notes++
	return fmt.Sprint("n", s.notes)
}

func pick(t *rapid.T, w *world) string { return rapid.SampledFrom(w.ids).Draw(t, "host") }

// faults alone and in pairs; a publication goes with each.
var faults = map[string]fault{
	"none":          func(*rapid.T, *world, *schedule) {},
	"platform down": func(_ *rapid.T, w *world, _ *schedule) { w.down = true },
	"host cut off":  func(t *rapid.T, w *world, s *schedule) { w.isolate(s, pick(t, w)) },
	"data centre cut off": func(t *rapid.T, w *world, s *schedule) {
		dc := rapid.IntRange(0, 2).Draw(t, "data centre")
		w.isolate(s, w.ids[dc*3:dc*3+3]...)
	},
	"cut one way": func(t *rapid.T, w *world, _ *schedule) {
		for range 6 {
			w.cuts[[2]string{pick(t, w), pick(t, w)}] = true
		}
	},
	"no platform for some": func(t *rapid.T, w *world, _ *schedule) {
		for range 4 {
			w.deafTo[pick(t, w)] = true
		}
	},
	"pause": func(t *rapid.T, w *world, _ *schedule) {
		w.nodes[pick(t, w)].paused = w.now.Add(time.Duration(rapid.IntRange(1, 9).Draw(t, "pause")) * time.Second)
	},
	"stale platform": func(t *rapid.T, w *world, s *schedule) {
		if id := pick(t, w); !slices.Contains(s.cut, id) {
			w.staleFor[id] = rapid.IntRange(len(w.changes)/2, len(w.changes)).Draw(t, "revision")
		}
	},
	"replaced host": func(t *rapid.T, w *world, s *schedule) {
		if id := pick(t, w); len(s.cut) == 0 {
			w.start(id, "dc-"+id[1:2])
		}
	},
	"loss": func(_ *rapid.T, w *world, _ *schedule) { w.loss = 0.1 },
	"race of operators": func(t *rapid.T, w *world, s *schedule) {
		w.publish("a", s.version, s.note())
		w.publish("a", max(s.version-1, 1), s.note())
	},
	"bad document": func(_ *rapid.T, w *world, _ *schedule) { w.put(configstore.PrefixServices+"a", []byte("version: [")) },
	"removed and published anew": func(_ *rapid.T, w *world, s *schedule) {
		w.del(configstore.PrefixServices + "a")
		s.version = 1
		w.publish("a", 1, s.note())
	},
}

// isolate cuts hosts off from the others and from the platform: fewer than
// half, as more would be the fleet.
func (w *world) isolate(s *schedule, ids ...string) {
	if len(s.cut)+len(ids) > 4 {
		return
	}
	for _, id := range ids {
		w.deafTo[id] = true
		delete(w.staleFor, id)
	}
	s.cut = append(s.cut, ids...)
	w.split(ids...)
}

func (w *world) mend(s *schedule) {
	w.heal()
	for i := range w.readable {
		if w.down && w.changed[i].After(s.began.Add(-step)) {
			w.readable[i] = w.now
		}
	}
	w.down, w.loss, s.cut = false, 0, nil
	w.deafTo, w.staleFor = make(map[string]bool), make(map[string]int)
	for _, n := range w.nodes {
		n.paused = time.Time{}
	}
}

// TestHistoryUnderFaults runs generated schedules of faults, alone and in
// pairs, and checks the recorded history afterwards.
func TestHistoryUnderFaults(t *testing.T) {
	names := make([]string, 0, len(faults))
	for name := range faults {
		names = append(names, name)
	}
	slices.Sort(names)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		h := &history{w: w, last: make(map[string]seen)}
		s := &schedule{version: 1}
		w.fleet(3, 3)
		w.publish("a", 1, s.note())
		w.run(4*time.Second, h.sample)
		for range 3 {
			s.began = w.now
			for range 2 {
				faults[rapid.SampledFrom(names).Draw(t, "fault")](t, w, s)
				w.run(time.Duration(rapid.IntRange(0, 200).Draw(t, "wait"))*step, h.sample)
			}
			if !w.down { // what nobody can read is not published yet
				s.version++
				w.publish("a", s.version, s.note())
			}
			w.run(time.Duration(rapid.IntRange(0, 900).Draw(t, "run"))*step, h.sample)
			w.mend(s)
			w.run(8*time.Second, h.sample)
		}
		s.version++
		w.publish("a", s.version, s.note())
		w.run(3*time.Second, h.sample)
		if got, want := w.everyone("a"), fmt.Sprintf("%d-n%d", s.version, s.notes); got != want {
			t.Fatalf("3 s after the last publication: %q, not %q everywhere", got, want)
		}
		if n := w.valid(); n != 9 {
			t.Fatalf("%d of 9 hosts serve", n)
		}
		if fault := h.neverDecreases() + h.bounded(MaxQuorumAge); fault != "" {
			t.Fatal(fault)
		}
	})
}

func TestDocumentTravelsUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := rapid.SliceOf(rapid.Byte()).Draw(t, "document")
		out, err := unpack(pack(in))
		if err != nil || !bytes.Equal(in, out) {
			t.Fatalf("%v: %q became %q", err, in, out)
		}
	})
}
