// Package purity checks that the packages that hold decisions do no I/O,
// start no goroutines and read neither the clock nor global randomness.
package purity

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

// pure lists the packages that hold decisions.
var pure = []string{"command", "control", "crash", "decision", "document", "forward", "leafcall", "news", "policy", "query", "route", "view"}

// forbidden imports, whole; a name with a dot forbids one function.
var forbidden = []string{
	"net", "net/http/httptest", "os", "os/exec", "os/signal", "syscall", "sync", "sync/atomic", "context",
	"crypto/rand", "math/rand", "github.com/quic-go/quic-go", "golang.org/x/sys/unix",
}

// clockCalls of package time are not for decisions.
var clockCalls = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
	"NewTimer": true, "NewTicker": true, "Tick": true,
}

// seeded functions of math/rand/v2 do not use the global source.
var seeded = map[string]bool{"New": true, "NewPCG": true, "NewChaCha8": true, "NewZipf": true, "Rand": true, "Source": true}

// module is the path of this project; what the decisions import of it is held
// to the same rules. The root package is not followed: the decisions use its
// types, and callers its HTTP client.
const module = "github.com/figmast/figmast/"

func TestDecisionsAreSansIO(t *testing.T) {
	seen := make(map[string]bool)
	todo := append([]string(nil), pure...)
	for len(todo) > 0 {
		dir := todo[0]
		todo = todo[1:]
		if seen[dir] {
			continue
		}
		seen[dir] = true
		todo = append(todo, checkPackage(t, dir)...)
	}
}

// checkPackage checks the files of a package and returns the packages of this
// project that it imports.
func checkPackage(t *testing.T, dir string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", dir, "*.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s: no files (%v)", dir, err)
	}
	var imports []string
	for _, name := range files {
		if !strings.HasSuffix(name, "_test.go") {
			imports = append(imports, checkFile(t, name)...)
		}
	}
	return imports
}

func checkFile(t *testing.T, name string) (imports []string) {
	t.Helper()
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, spec := range f.Imports {
		path, err := strconv.Unquote(spec.Path.Value)
		if err != nil {
			t.Fatal(err)
		}
		if own, ok := strings.CutPrefix(path, module); ok {
			imports = append(imports, own)
		}
		for _, bad := range forbidden {
			if path == bad {
				t.Errorf("%s: imports %s", set.Position(spec.Pos()), path)
			}
		}
	}
	ast.Inspect(f, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.GoStmt:
			t.Errorf("%s: starts a goroutine", set.Position(n.Pos()))
		case *ast.SelectorExpr:
			checkCall(t, set, n)
		}
		return true
	})
	return imports
}

func checkCall(t *testing.T, set *token.FileSet, n *ast.SelectorExpr) {
	t.Helper()
	pkg, ok := n.X.(*ast.Ident)
	if !ok {
		return
	}
	if pkg.Name == "time" && clockCalls[n.Sel.Name] {
		t.Errorf("%s: reads the clock by time.%s", set.Position(n.Pos()), n.Sel.Name)
	}
	if pkg.Name == "http" && pkg.Obj == nil && !strings.HasPrefix(n.Sel.Name, "Status") {
		t.Errorf("%s: uses http.%s; only the names of statuses are no I/O", set.Position(n.Pos()), n.Sel.Name)
	}
	if pkg.Name == "rand" && pkg.Obj == nil && !seeded[n.Sel.Name] {
		t.Errorf("%s: uses the global random source by rand.%s", set.Position(n.Pos()), n.Sel.Name)
	}
}

// TestEveryPackageHasADocComment keeps package comments from being forgotten.
func TestEveryPackageHasADocComment(t *testing.T) {
	root := filepath.Join("..", "..")
	documented := make(map[string]bool)
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.PackageClauseOnly|parser.ParseComments)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		documented[dir] = documented[dir] || f.Doc != nil
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for dir, ok := range documented {
		if !ok {
			t.Errorf("%s: no package comment", dir)
		}
	}
}
