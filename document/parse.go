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

// MaxBytes is the maximum size of a document on the platform.
const MaxBytes = 1 << 20

// Defaults of optional fields.
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

// maxFaults is the maximum number of faults that an Error lists.
const maxFaults = 100

// Error is returned for an invalid document and lists its faults.
type Error struct {
	// Faults holds at most maxFaults messages. Each gives the reason, after the
	// path of the field if the fault concerns one, and before the line if it is
	// known.
	Faults []string
}

// Error returns all faults in one line.
func (e *Error) Error() string {
	return "document refused: " + strings.Join(e.Faults, "; ")
}

func (e *Error) add(format string, args ...any) {
	if len(e.Faults) < maxFaults {
		e.Faults = append(e.Faults, fmt.Sprintf(format, args...))
	}
}

// errOrNil returns e if there are faults, and nil otherwise.
func (e *Error) errOrNil() error {
	if len(e.Faults) == 0 {
		return nil
	}
	return e
}

// Parse parses a document in YAML, or in JSON, which is a subset of YAML. It is
// strict: it rejects unknown, missing, repeated and contradictory fields. It also
// rejects the parts of YAML that can give a text another meaning than it seems to
// have, such as anchors, aliases, tags and octal numbers. The error is an *Error.
func Parse(data []byte) (s *Service, err error) {
	faults := &Error{}
	defer func() {
		if recover() != nil { // the YAML library panics on some input
			s, err = nil, &Error{Faults: []string{"document: not YAML"}}
		}
	}()
	if len(data) > MaxBytes {
		faults.add("document: %d bytes; the limit is %d", len(data), MaxBytes)
		return nil, faults
	}
	root, err := parseYAML(string(data), faults)
	if err != nil {
		return nil, err
	}
	s = defaults()
	d := &decoder{faults: faults, lines: make(map[string]int)}
	d.decodeNode(root, reflect.ValueOf(s).Elem(), "")
	if err := faults.errOrNil(); err != nil {
		return nil, err
	}
	checkExplicitZeros(s, d.lines, faults)
	s.setItemDefaults()
	s.check(faults)
	faults.addLines(d.lines)
	if err := faults.errOrNil(); err != nil {
		return nil, err
	}
	s.leafIndexes = make(map[string]int, len(s.Leaves))
	for i, l := range s.Leaves {
		s.leafIndexes[l.Name] = i
	}
	return s, nil
}

// parseYAML returns the root node of the document.
func parseYAML(text string, faults *Error) (ast.Node, error) {
	tokens := lexer.Tokenize(text)
	checkTokens(tokens, faults)
	if err := faults.errOrNil(); err != nil {
		return nil, err
	}
	file, err := parser.Parse(tokens, 0)
	if err != nil {
		faults.add("document: %s", firstLine(err))
		return nil, faults
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		faults.add("document: empty, or more than one document")
		return nil, faults
	}
	return file.Docs[0].Body, nil
}

// firstLine returns the position and the reason of a YAML error, without the
// excerpt of the document that follows.
func firstLine(err error) string {
	line, _, _ := strings.Cut(yaml.FormatError(err, false, false), "\n")
	return line
}

// addLines appends the line number to each fault. If the document does not
// contain the field, it uses the line of the nearest enclosing field.
func (e *Error) addLines(lines map[string]int) {
	for i, fault := range e.Faults {
		path, _, _ := strings.Cut(fault, ":")
		for path != "" && lines[path] == 0 {
			path = path[:max(strings.LastIndexAny(path, ".["), 0)]
		}
		if line := lines[path]; line > 0 {
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

// checkExplicitZeros rejects explicit zero values that setItemDefaults would
// replace by a default.
func checkExplicitZeros(s *Service, lines map[string]int, f *Error) {
	for i, op := range s.Operations {
		itemPath := fmt.Sprintf("operations[%d]", i)
		for _, field := range []struct {
			name   string
			isZero bool
		}{
			{"urgency", op.Urgency == ""},
			{"worth", op.Worth == 0},
			{"deadline", op.Deadline == 0},
			{"max_deadline", op.MaxDeadline == 0},
		} {
			if path := itemPath + "." + field.name; field.isZero && lines[path] > 0 {
				f.add("%s: empty or 0; omit it to get the default", path)
			}
		}
	}
}

// setItemDefaults sets the defaults in list items.
func (s *Service) setItemDefaults() {
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
