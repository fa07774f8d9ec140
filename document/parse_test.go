package document

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	figmast "github.com/figmast/figmast"
)

// minimal is a document with only the required fields.
const minimal = `service: straps
version: 3
operations:
- {name: status, kind: query}
- {name: book, kind: command, deadline: 20s}
leaves:
- name: leaf-1
  slots: 2
  connections: 30
  servers:
  - {id: s1, address: "10.0.0.1:9000", data_centre: port}
  - {id: s2, address: "10.0.0.2:9000", data_centre: hill}
snapshots:
- id: index-1
  partition_map: map-1
  weights:
  - {leaf: leaf-1, weight: 10}
`

func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(minimal))
	is.NoErr(err)
	is.Equal(s.SlotsMean, SlotsAreReplicas)
	is.Equal(s.ConnectionsOf, ConnectionsOfLeaf)
	is.Equal(s.Protocol, HTTP1)
	is.Equal(s.LeastCoverage, 0.9)
	is.Equal(s.StopWork, EarlyStop{Coverage: 1})
	is.Equal(s.Hedging, Hedging{Quantile: 0.95, Budget: 0.04})
	is.Equal(s.Retries, Retries{Budget: 0.1, Attempts: 3})
	is.Equal(s.ColdStart, ColdStart{Allowance: 2, WarmAfter: 20})
	status, _ := s.Operation("status")
	is.Equal(status, Operation{
		Name: "status", Kind: Query, Urgency: figmast.Normal, Worth: 1,
		Deadline: Duration(400 * time.Millisecond), MaxDeadline: Duration(10 * time.Second),
	})
	book, _ := s.Operation("book")
	is.Equal(book.MaxDeadline, Duration(20*time.Second)) // raised to the deadline
}

// TestSlotAndConnectionModes checks that a document can set what slots and
// connections mean.
func TestSlotAndConnectionModes(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(minimal, "slots: 2", "slots: 1", 1)
	_, err := Parse([]byte(text))
	is.True(err != nil) // two replicas in one slot
	s, err := Parse([]byte("slots_mean: concurrency\nconnections_of: server\n" + text))
	is.NoErr(err)
	is.Equal(s.SlotsMean, SlotsAreConcurrency)
	is.Equal(s.ConnectionsOf, ConnectionsOfServer)
}

func TestJSONIsYAML(t *testing.T) {
	is := is.New(t)
	s, err := Parse([]byte(`{
	"service": "straps", "version": 3,
	"operations": [{"name": "status", "kind": "query"}],
	"leaves": [{"name": "leaf-1", "slots": 1, "connections": 3, "servers": [{"id": "s1", "address": "10.0.0.1:9000", "data_centre": "port"}]}],
	"snapshots": [{"id": "i", "partition_map": "m", "weights": [{"leaf": "leaf-1", "weight": 1}]}]
}`))
	is.NoErr(err)
	is.Equal(s.Name, "straps")
}

// refusals are replacements in the minimal document, each with a part of the
// expected fault.
var refusals = []struct{ name, old, new, fault string }{
	{"unknown field", "version: 3", "version: 3\nhegding: {}", "hegding: unknown field; known fields are service, version"},
	{"unknown field's path", "slots: 2", "slots: 2\n  slot: 2", "leaves[0].slot: unknown field; known fields are name, slots, connections, servers (line 9, column 3)"},
	{"missing", "service: straps\n", "", "service: missing"},
	{"missing in a list", "connections: 30", "", "leaves[0].connections: 0 is not between 1 and 1000000 (line 7)"},
	{"repeated field", "version: 3", "version: 3\nversion: 4", `mapping key "version" already defined`},
	{"repeated in flow style", "kind: query}", "kind: query, kind: command}", "already defined"},
	{"no value", "version: 3", "version: 3\nhedging:", "hedging: has no value"},
	{"text for a number", "slots: 2", "slots: two", "leaves[0].slots: not a 32-bit integer"},
	{"a fraction", "slots: 2", "slots: 2.5", "leaves[0].slots: not a 32-bit integer"},
	{"number for text", "id: s1", "id: 1", "leaves[0].servers[0].id: not a string; write it in quotes (line 11)"},
	{"octal", "slots: 2", "slots: 010", "octal numbers are not allowed"},
	{"not a number", "version: 3", "version: 3\nleast_coverage: .nan", "not a number"},
	{"infinite", "kind: query", "kind: query, worth: .inf", "not a finite number"},
	{"list for fields", "version: 3", "version: 3\nhedging: [1]", "hedging: not a mapping"},
	{"fields for a list", "- {leaf: leaf-1, weight: 10}", "  leaf: leaf-1", "snapshots[0].weights: not a list"},
	{"time without unit", "deadline: 20s", "deadline: 20", "is not a duration such as 250ms"},
	{"time below 0", "deadline: 20s", "deadline: -20s", "-20s is negative"},
	{"time of 0", "deadline: 20s", "deadline: 0s", "operations[1].deadline: empty or 0; omit it to get the default (line 5)"},
	{"worth of 0", "kind: query", "kind: query, worth: 0", "operations[0].worth: empty or 0"},
	{"deadline above its limit", "deadline: 20s", "deadline: 20s, max_deadline: 10s", "20s is not above 0 and at most max_deadline 10s"},
	{"endless deadline", "deadline: 20s", "deadline: 11m", "max_deadline: 11m0s is above 10m0s"},
	{"kind", "kind: query", "kind: read", `"read" is neither query nor command`},
	{"urgency", "kind: query", "kind: query, urgency: high", "not one of urgent, normal, bulk"},
	{"repeated operation", "name: book", "name: status", `operations[1].name: "status" is a duplicate`},
	{"name with a space", "name: leaf-1", "name: leaf 1", "characters other than letters"},
	{"name with a line break", "name: leaf-1", `name: "leaf\r\n1"`, "characters other than letters"},
	{"address by name", `"10.0.0.1:9000"`, `"localhost:9000"`, "is not an IP address and port (line 11)"},
	{"address without port", `"10.0.0.1:9000"`, `"10.0.0.1:0"`, "is not an IP address and port"},
	{"address twice", `"10.0.0.2:9000"`, `"10.0.0.1:9000"`, `is also the address of "s1"`},
	{"server twice", "id: s2", "id: s1", "is a duplicate; a backend server holds one leaf only"},
	{"more servers than slots", "slots: 2", "slots: 1", "2 servers for 1 slots"},
	{"slots' meaning", "version: 3", "version: 3\nslots_mean: threads", "neither replicas nor concurrency"},
	{"connections' meaning", "version: 3", "version: 3\nconnections_of: host", "neither leaf nor server"},
	{"protocol", "version: 3", "version: 3\nprotocol: http3", "neither http1 nor http2"},
	{"unknown data centre out", "version: 3", "version: 3\ndata_centres_out: [hil]", `the service has no backend server in "hil"`},
	{"data centre out twice", "version: 3", "version: 3\ndata_centres_out: [hill, hill]", "is a duplicate"},
	{"weight of an unknown leaf", "leaf: leaf-1", "leaf: leaf-2", "is not a leaf of the service"},
	{"empty snapshot", "weight: 10", "weight: 0", "the sum of the weights is 0"},
	{"weight below 0", "weight: 10", "weight: -1", "not an unsigned 64-bit integer"},
	{"coverage above 1", "version: 3", "version: 3\nleast_coverage: 1.5", "1.5 is not between 0 and 1"},
	{"early stop below least_coverage", "version: 3", "version: 3\nstop_work: {coverage: 0.5, patience: 100ms}", "is less than least_coverage"},
	{"early stop without patience", "version: 3", "version: 3\nstop_work: {coverage: 0.95}", "has no effect without stop_work.patience"},
	{"hedging at once", "version: 3", "version: 3\nhedging: {quantile: 0}", "set hedging.budget to 0"},
	{"no attempt", "version: 3", "version: 3\nretries: {attempts: 0}", "retries.attempts: 0 is not between 1"},
	{"cold start without allowance", "version: 3", "version: 3\ncold_start: {allowance: 0}", "cold_start.allowance: 0 is not between 1"},
	{"anchor", "version: 3", "version: &v 3", "anchors are not allowed"},
	{"alias", "version: 3", "version: *v", "aliases are not allowed"},
	{"tag", "version: 3", "version: !!str 3", "tags are not allowed"},
	{"two documents", "version: 3", "version: 3\n---\nversion: 4", "more than one document"},
	{"no fields", minimal, "- a", "document: not a mapping"},
	{"empty", minimal, "", "document: empty"},
	{"broken", minimal, "service: [", "document: "},
}

func TestRefusals(t *testing.T) {
	for _, c := range refusals {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(minimal, c.old, c.new, 1)
			is.True(text != minimal)
			_, err := Parse([]byte(text))
			var parseErr *Error
			is.True(errors.As(err, &parseErr))
			if !strings.Contains(err.Error(), c.fault) {
				t.Errorf("%q does not contain %q", err, c.fault)
			}
		})
	}
}

func TestEveryFaultIsListed(t *testing.T) {
	is := is.New(t)
	_, err := Parse([]byte("service: x y\nversion: 1\noperations: [{name: a, kind: b}]\nleaves: [{name: l, slots: 0, connections: 0}]\n"))
	var parseErr *Error
	is.True(errors.As(err, &parseErr))
	is.Equal(len(parseErr.Faults), 5) // name, kind, slots, connections, snapshots
}

// TestHostileInput parses input for which a YAML parser may need excessive time or
// recursion depth. The time limit is generous: without checkTokens the worst
// inputs take minutes at 1 MB or crash the process.
func TestHostileInput(t *testing.T) {
	const size = MaxBytes / 4
	var aliases strings.Builder
	aliases.WriteString("a0: &a0 [x]\n")
	for i := 1; i < 30; i++ {
		fmt.Fprintf(&aliases, "a%d: &a%d [*a%d, *a%d]\n", i, i, i-1, i-1)
	}
	var keys, deep strings.Builder
	for i := range 60_000 {
		fmt.Fprintf(&keys, "k%d: 1\n", i)
	}
	for i := range 1000 {
		deep.WriteString(strings.Repeat(" ", i) + "a:\n")
	}
	for name, text := range map[string]string{
		"aliases":        aliases.String(),
		"brackets":       strings.Repeat("[", size),
		"braces":         strings.Repeat("{a: ", size/4),
		"dashes":         strings.Repeat("- ", size/2),
		"questions":      strings.Repeat("? ", size/2),
		"flow keys":      "{" + strings.Repeat("a,", size/2-1) + "}",
		"block keys":     keys.String(),
		"deep block":     deep.String(),
		"tags":           strings.Repeat("!!a ", size/4),
		"colons":         strings.Repeat(": ", size/2),
		"quotes":         strings.Repeat(`"`, size),
		"single quotes":  strings.Repeat("'", size),
		"literals":       strings.Repeat("|\n", size/2),
		"tabs":           strings.Repeat("\t", size),
		"line ends":      strings.Repeat("\r\n", size/2),
		"comments":       strings.Repeat("#\n", size/2),
		"zeros":          strings.Repeat("\x00", size),
		"flow in a list": "leaves: [" + strings.Repeat("{},", size/3-10) + "]",
		"list items":     "leaves:\n" + strings.Repeat("- a\n", size/4-10),
		"empty items":    "leaves:\n" + strings.Repeat("-\n", size/2-10),
		"comment items":  "leaves:\n" + strings.Repeat("-\n#\n", size/4-10),
		"null items":     "leaves:\n" + strings.Repeat("- ~\n", size/4-10),
		"flow items":     "leaves:\n" + strings.Repeat("- {}\n", size/5-10),
		"flow commas":    "leaves: [" + strings.Repeat(",", size-20) + "]",
		"flow nulls":     "leaves: [" + strings.Repeat("~,", size/2-20) + "]",
		"too large":      strings.Repeat("a", MaxBytes+1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := time.Now()
			_, err := Parse([]byte(text))
			is.True(err != nil)
			if took := time.Since(start); took > 5*time.Second {
				t.Errorf("took %v", took)
			}
		})
	}
}

// documentOfSize returns a document of about n bytes.
func documentOfSize(n int) []byte {
	var leaves, weights strings.Builder
	for i := 0; leaves.Len()+weights.Len() < n-300; i++ {
		fmt.Fprintf(&leaves, "- name: leaf-%d\n  slots: 2\n  connections: 40\n  servers:\n", i)
		for j := range 2 {
			fmt.Fprintf(&leaves, "  - {id: l%d-s%d, address: \"10.%d.%d.%d:9000\", data_centre: port}\n", i, j, i/250, i%250, j+1)
		}
		fmt.Fprintf(&weights, "  - {leaf: leaf-%d, weight: 100}\n", i)
	}
	return []byte("service: s\nversion: 1\noperations:\n- {name: q, kind: query}\nleaves:\n" + leaves.String() +
		"snapshots:\n- id: i\n  partition_map: m\n  weights:\n" + weights.String())
}

func BenchmarkParse(b *testing.B) {
	for _, size := range []int{1_000, 30_000, 1_000_000} {
		doc := documentOfSize(size)
		b.Run(fmt.Sprintf("%dB", size), func(b *testing.B) {
			b.SetBytes(int64(len(doc)))
			for b.Loop() {
				if _, err := Parse(doc); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	for _, c := range refusals {
		f.Add([]byte(strings.Replace(minimal, c.old, c.new, 1)))
	}
	samples, err := filepath.Glob("../docs/samples/*-1.yaml")
	if err != nil || len(samples) == 0 {
		f.Fatal("no samples", err)
	}
	for _, file := range samples {
		data, err := os.ReadFile(file)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		start := time.Now()
		s, err := Parse(data)
		if (s == nil) == (err == nil) {
			t.Fatal("neither a document nor an error")
		}
		var parseErr *Error
		if err != nil && (!errors.As(err, &parseErr) || len(parseErr.Faults) == 0) {
			t.Fatal("the error has no fault", err)
		}
		if took := time.Since(start); took > 5*time.Second {
			t.Fatalf("took %v", took)
		}
	})
}
