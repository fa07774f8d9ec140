// Package pages checks that the documentation covers every metric, log message,
// refusal and document field, and that the tests it names exist.
package pages

import (
	"io/fs"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/figmast/figmast/document"
)

const root = "../.."

func readOperatorsPage(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "docs", "OPERATORS.md"))
	is.New(t).NoErr(err)
	return string(b)
}

// findInSource returns the first submatch of every match of the patterns in the
// Go files of the directories, tests excluded.
func findInSource(t *testing.T, dirs []string, patterns ...string) []string {
	t.Helper()
	is := is.New(t)
	var out []string
	for _, dir := range dirs {
		files, err := filepath.Glob(filepath.Join(root, dir, "*.go"))
		is.NoErr(err)
		is.True(len(files) > 0)
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			b, err := os.ReadFile(f)
			is.NoErr(err)
			for _, p := range patterns {
				for _, m := range regexp.MustCompile(p).FindAllStringSubmatch(string(b), -1) {
					out = append(out, m[1])
				}
			}
		}
	}
	return out
}

// requireDocumented checks that the operators' page contains all names. It fails
// if there are fewer than minimum, because then the patterns no longer match the
// source.
func requireDocumented(t *testing.T, minimum int, names []string) {
	t.Helper()
	if len(names) < minimum {
		t.Fatalf("found only %q", names)
	}
	text := readOperatorsPage(t)
	for _, n := range names {
		if !strings.Contains(text, n) {
			t.Errorf("docs/OPERATORS.md does not mention %q", n)
		}
	}
}

func TestEveryMetricIsDocumented(t *testing.T) {
	requireDocumented(t, 15, findInSource(t, []string{"api", "daemon"}, `(figmast_[a-z_]+)`))
}

func TestEveryLogIsDocumented(t *testing.T) {
	requireDocumented(t, 15, findInSource(t, []string{"api", "daemon", "cmd/figmastd"},
		`\b(?:log|Log|l)\.(?:Debug|Info|Warn|Error)\("([^"]+)"`, `LogFailure\([^,]+, "([^"]+)"`, `log\.Log\(level, "([^"]+)"`,
		`detail :?= "(the platform[^"]+)"`))
}

func TestEveryRefusalIsDocumented(t *testing.T) {
	requireDocumented(t, 25, findInSource(t, []string{"api", "query", "command"},
		`refuse\(now, "([^"]+)"`, `problem\(http\.\w+, "([^"]+)"`, `notRunProblem\("([^"]+)"`, `ticketProblem\("([^"]+)"`,
		`Title: "([^"]+)"`, `unavailable\("([^"]+)"`))
}

func TestEveryFieldIsDocumented(t *testing.T) {
	var names []string
	var walk func(t reflect.Type, path string)
	walk = func(t reflect.Type, path string) {
		for i := range t.NumField() {
			f := t.Field(i)
			if !f.IsExported() {
				continue // not a field of the document format
			}
			fieldPath := strings.TrimPrefix(path+"."+f.Tag.Get("yaml"), ".")
			names = append(names, "| `"+fieldPath+"` |")
			switch {
			case f.Type.Kind() == reflect.Struct:
				walk(f.Type, fieldPath)
			case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
				walk(f.Type.Elem(), fieldPath+"[]")
			}
		}
	}
	walk(reflect.TypeFor[document.Service](), "")
	requireDocumented(t, 35, names)
}

// TestProofsNameRealTests checks that every test that docs/PROOFS.md names
// exists.
func TestProofsNameRealTests(t *testing.T) {
	known := make(map[string]bool)
	declared := regexp.MustCompile(`(?m)^func (Test\w+)\(`)
	err := filepath.WalkDir(filepath.Join("..", ".."), func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		text, err := os.ReadFile(path)
		for _, m := range declared.FindAllStringSubmatch(string(text), -1) {
			known[m[1]] = true
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "PROOFS.md"))
	if err != nil {
		t.Fatal(err)
	}
	named := regexp.MustCompile(`\bTest[A-Z]\w+`).FindAllString(string(page), -1)
	if len(named) < 30 {
		t.Fatalf("docs/PROOFS.md names only %d tests", len(named))
	}
	for _, name := range named {
		if !known[name] {
			t.Errorf("docs/PROOFS.md names %s, which does not exist", name)
		}
	}
}
