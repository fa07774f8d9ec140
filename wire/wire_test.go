package wire

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
	"github.com/figmast/figmast/control"
	"github.com/figmast/figmast/timeline"
	"github.com/figmast/figmast/view"
)

// samples returns messages of several kinds.
func samples() []*Message {
	return []*Message{
		{Ask: &control.SyncRequest{From: control.Member{ID: "a", Address: "10.0.0.1:1", Incarnation: 3}, Revision: 9, WantDocuments: []string{"s"}}},
		{Answer: &control.SyncResponse{Revision: 9, Services: []control.ServiceDigest{{Name: "s", Compressed: []byte("x")}}, AttestationAges: []byte{1, 255}}},
		{Forward: &ForwardedCommand{RequestID: "r", Service: "s", Command: figmast.CommandRequest{Operation: "book"}, RemainingMs: 5}},
		{Outcome: &Outcome{Answer: &figmast.CommandAnswer{}}},
		{Failure: &Failure{Step: "serve", Detail: "no"}, Stamp: timeline.Stamp{Wall: 5, Counter: 1}},
	}
}

func mustEncode(t testing.TB, m *Message) []byte {
	t.Helper()
	b, err := Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, m := range samples() {
		first := mustEncode(t, m)
		out, err := Decode(first)
		is.NoErr(err)
		is.Equal(mustEncode(t, out), first)
	}
}

func TestRefused(t *testing.T) {
	newerVersion, err := cbor.Marshal(map[int]any{1: Version + 1, 4: map[int]any{1: "a", 2: "b"}})
	if err != nil {
		t.Fatal(err)
	}
	twoBodies := mustEncode(t, &Message{Failure: &Failure{}, Ask: &control.SyncRequest{}})
	for name, b := range map[string][]byte{
		"empty": nil, "another version": newerVersion, "no body": mustEncode(t, &Message{}), "two bodies": twoBodies,
		"too large": make([]byte, MaxBytes+1), "indefinite length": {0xbf}, "not a message": []byte("GET / HTTP/1.1"),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Decode(b)
			is.True(err != nil)
		})
	}
}

// TestUnknownFieldsAreIgnored checks that a later release may add fields
// without a new major version.
func TestUnknownFieldsAreIgnored(t *testing.T) {
	is := is.New(t)
	b, err := cbor.Marshal(map[int]any{1: Version, 4: map[int]any{1: "step", 2: "detail", 99: "new"}, 98: 1})
	is.NoErr(err)
	m, err := Decode(b)
	is.NoErr(err)
	is.Equal(m.Failure.Step, "step")
}

// TestMalformed decodes 10,000 random or corrupted messages. Neither Decode nor
// control.State, which gets those that decode, may panic.
func TestMalformed(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	refused := 0
	state := newState()
	for i := range 10_000 {
		m, err := Decode(corruptedSample(t, r, i))
		if err != nil {
			refused++
			continue
		}
		deliver(state, m, uint64(i))
	}
	t.Logf("%d of 10000 refused", refused)
}

func newState() *control.State {
	return control.NewState(control.Options{Self: view.Host{ID: "self"}, Seeds: []string{"10.0.0.2:1"}, Rand: rand.New(rand.NewPCG(1, 2))})
}

// deliver passes a message to the state as a peer's request or response.
func deliver(s *control.State, m *Message, n uint64) {
	now := time.Unix(int64(n), 0)
	if m.Ask != nil {
		s.HandleRequest(now, n, m.Ask)
	}
	requests := s.Tick(now).Asks
	for _, r := range requests {
		if m.Answer != nil {
			s.HandleResponse(now, r.ID, m.Answer)
		}
	}
	s.Tick(now)
}

// corruptedSample returns a sample or random bytes, with some bytes changed and
// sometimes cut short.
func corruptedSample(t testing.TB, r *rand.Rand, i int) []byte {
	list := samples()
	b := bytes.Clone(mustEncode(t, list[i%len(list)]))
	if i%3 == 0 {
		b = make([]byte, 1+r.IntN(200))
	}
	for range 1 + r.IntN(3) {
		b[r.IntN(len(b))] = byte(r.Uint32())
	}
	if i%7 == 0 {
		b = b[:r.IntN(len(b)+1)]
	}
	return b
}

func FuzzDecode(f *testing.F) {
	for _, m := range samples() {
		f.Add(mustEncode(f, m))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := Decode(b)
		if err != nil {
			return
		}
		deliver(newState(), m, 1)
		if _, err := Decode(mustEncode(t, m)); err != nil {
			t.Fatalf("%x decodes, but its re-encoding does not: %v", b, err)
		}
	})
}
