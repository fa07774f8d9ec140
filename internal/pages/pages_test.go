// Package pages checks that the pages for operators are complete.
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

func page(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(root, "docs", "OPERATORS.md"))
	is.New(t).NoErr(err)
	return string(b)
}

// found returns what the first group of the patterns matches in the source.
func found(t *testing.T, dirs []string, patterns ...string) []string {
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

func demand(t *testing.T, least int, names []string) {
	t.Helper()
	if len(names) < least {
		t.Fatalf("found only %q", names)
	}
	text := page(t)
	for _, n := range names {
		if !strings.Contains(text, n) {
			t.Errorf("docs/OPERATORS.md does not tell of %q", n)
		}
	}
}

func TestEveryMetricIsDocumented(t *testing.T) {
	demand(t, 15, found(t, []string{"api", "daemon"}, `(figmast_[a-z_]+)`))
}

func TestEveryLogIsDocumented(t *testing.T) {
	demand(t, 15, found(t, []string{"api", "daemon", "cmd/figmastd"},
		`\b(?:log|Log|l)\.(?:Debug|Info|Warn|Error)\("([^"]+)"`, `LogFailure\([^,]+, "([^"]+)"`, `log\.Log\(level, "([^"]+)"`,
		`detail :?= "(the platform[^"]+)"`))
}

func TestEveryRefusalIsDocumented(t *testing.T) {
	demand(t, 25, found(t, []string{"api", "query", "command"},
		`refuse\(now, "([^"]+)"`, `problem\(http\.\w+, "([^"]+)"`, `notRunProblem\("([^"]+)"`, `ticketProblem\("([^"]+)"`,
		`Title: "([^"]+)"`, `unavailable\("([^"]+)"`))
}

func TestEveryFieldIsDocumented(t *testing.T) {
	var names []string
	var walk func(t reflect.Type, place string)
	walk = func(t reflect.Type, place string) {
		for i := range t.NumField() {
			f := t.Field(i)
			if !f.IsExported() {
				continue // no field of the format
			}
			at := strings.TrimPrefix(place+"."+f.Tag.Get("yaml"), ".")
			names = append(names, "| `"+at+"` |")
			switch {
			case f.Type.Kind() == reflect.Struct:
				walk(f.Type, at)
			case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
				walk(f.Type.Elem(), at+"[]")
			}
		}
	}
	walk(reflect.TypeFor[document.Service](), "")
	demand(t, 35, names)
}

// TestProofsNameRealTests asks that every test that docs/PROOFS.md names is
// there.
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
		t.Fatalf("only %d tests named", len(named))
	}
	for _, name := range named {
		if !known[name] {
			t.Errorf("docs/PROOFS.md names %s, which is not there", name)
		}
	}
}
