package document

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"

	figmast "github.com/figmast/figmast"
)

// MaxBytes is the largest document that the platform holds.
const MaxBytes = 1 << 20

// Defaults of a document.
const (
	DefaultDeadline           = Duration(400 * time.Millisecond)
	DefaultMaxDeadline        = Duration(10 * time.Second)
	DefaultWorth              = 1.0
	DefaultLeastCoverage      = 0.9
	DefaultHedgeQuantile      = 0.95
	DefaultHedgeBudget        = 0.04
	DefaultRetryBudget        = 0.1
	DefaultAttempts           = 3
	DefaultColdStartAllowance = 2
	DefaultWarmAfter          = 20
)

// maxFaults is how many faults of one document are listed.
const maxFaults = 100

// Error lists the faults of a document.
type Error struct {
	// Faults name the place and the reason, one each.
	Faults []string
}

// Error joins the faults.
func (e *Error) Error() string {
	return "document refused: " + strings.Join(e.Faults, "; ")
}

func (e *Error) add(format string, args ...any) {
	if len(e.Faults) < maxFaults {
		e.Faults = append(e.Faults, fmt.Sprintf(format, args...))
	}
}

// orNil returns e if there are faults.
func (e *Error) orNil() error {
	if len(e.Faults) == 0 {
		return nil
	}
	return e
}

// Parse reads a document in YAML (or JSON, which is YAML), strictly: unknown,
// missing, repeated and contradictory fields are refused, and so are the
// parts of YAML that let text mean something else than it seems to: anchors,
// aliases, tags, octal numbers. The error is an *Error.
func Parse(data []byte) (s *Service, err error) {
	faults := &Error{}
	defer func() {
		if recover() != nil { // the YAML library panics on some input
			s, err = nil, &Error{Faults: []string{"document: not YAML"}}
		}
	}()
	if len(data) > MaxBytes {
		faults.add("document: %d bytes, at most %d", len(data), MaxBytes)
		return nil, faults
	}
	root, err := parseYAML(string(data), faults)
	if err != nil {
		return nil, err
	}
	s = defaults()
	d := &decoder{faults: faults, lines: make(map[string]int)}
	d.node(root, reflect.ValueOf(s).Elem(), "")
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	checkExplicit(s, d.lines, faults)
	s.fill()
	s.check(faults)
	faults.locate(d.lines)
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	s.places = make(map[string]int, len(s.Leaves))
	for i, l := range s.Leaves {
		s.places[l.Name] = i
	}
	return s, nil
}

// parseYAML returns the one node of the document.
func parseYAML(text string, faults *Error) (ast.Node, error) {
	tokens := lexer.Tokenize(text)
	checkTokens(tokens, faults)
	if err := faults.orNil(); err != nil {
		return nil, err
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		faults.add("document: %s", firstLine(err))
		return nil, faults
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		faults.add("document: empty, or more than one")
		return nil, faults
	}
	return file.Docs[0].Body, nil
}

// firstLine returns the place and the reason of a YAML error, without the
// excerpt of the document.
func firstLine(err error) string {
	line, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	return line
}

// locate adds the line to each fault whose field, or the nearest field around
// it, stands in the document.
func (e *Error) locate(lines map[string]int) {
	for i, fault := range e.Faults {
		place, _, _ := strings.Cut(fault, ":")
		for place != "" && lines[place] == 0 {
			place = place[:max(strings.LastIndexAny(place, ".["), 0)]
		}
		if line := lines[place]; line > 0 {
			e.Faults[i] = fmt.Sprintf("%s (line %d)", fault, line)
		}
	}
}

func defaults() *Service {
	return &Service{
		SlotsMean:     SlotsAreReplicas,
		ConnectionsOf: ConnectionsOfLeaf,
		Protocol:      HTTP1,
		ColdStart:     ColdStart{Allowance: DefaultColdStartAllowance, WarmAfter: DefaultWarmAfter},
		Hedging:       Hedging{Quantile: DefaultHedgeQuantile, Budget: DefaultHedgeBudget},
		Retries:       Retries{Budget: DefaultRetryBudget, Attempts: DefaultAttempts},
		LeastCoverage: DefaultLeastCoverage,
		StopWork:      EarlyStop{Coverage: 1},
	}
}

// checkExplicit refuses zeros that stand in the document where fill would put
// a default in their place.
func checkExplicit(s *Service, lines map[string]int, f *Error) {
	for i, op := range s.Operations {
		at := fmt.Sprintf("operations[%d]", i)
		for _, field := range []struct {
			name string
			zero bool
		}{
			{"urgency", op.Urgency == ""},
			{"worth", op.Worth == 0},
			{"deadline", op.Deadline == 0},
			{"max_deadline", op.MaxDeadline == 0},
		} {
			if place := at + "." + field.name; field.zero && lines[place] > 0 {
				f.add("%s: empty or 0; leave it out for the default", place)
			}
		}
	}
}

// fill sets the defaults of list items.
func (s *Service) fill() {
	for i := range s.Operations {
		op := &s.Operations[i]
		if op.Urgency == "" {
			op.Urgency = figmast.Normal
		}
		if op.Worth == 0 {
			op.Worth = DefaultWorth
		}
		if op.MaxDeadline == 0 {
			op.MaxDeadline = max(DefaultMaxDeadline, op.Deadline)
		}
		if op.Deadline == 0 {
			op.Deadline = min(DefaultDeadline, op.MaxDeadline)
		}
	}
}
