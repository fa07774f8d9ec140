// Package purity checks that the packages with decision logic perform no I/O,
// start no goroutines, and use neither the clock nor the global random source.
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

// purePackages lists the packages with decision logic.
var purePackages = []string{"command", "control", "crash", "decision", "document", "forward", "handover", "intake", "leafcall", "news", "policy", "query", "route", "view"}

// forbiddenImports lists import paths that these packages may not use.
var forbiddenImports = []string{
	"net", "net/http/httptest", "os", "os/exec", "os/signal", "syscall", "sync", "sync/atomic", "context",
	"crypto/rand", "math/rand", "github.com/quic-go/quic-go", "golang.org/x/sys/unix",
}

// clockFunctions lists the functions of package time that read the clock or wait.
var clockFunctions = map[string]bool{
	"Now": true, "Since": true, "Until": true, "Sleep": true, "After": true, "AfterFunc": true,
	"NewTimer": true, "NewTicker": true, "Tick": true,
}

// seededRandNames lists the names of math/rand/v2 that do not use the global random
// source.
var seededRandNames = map[string]bool{"New": true, "NewPCG": true, "NewChaCha8": true, "NewZipf": true, "Rand": true, "Source": true}

// module is the module path with a slash. Packages of the module that decision
// logic imports are checked too, except the root package: decision logic uses
// its types, and it also contains the HTTP client for callers.
const module = "github.com/figmast/figmast/"

func TestDecisionsAreSansIO(t *testing.T) {
	seen := make(map[string]bool)
	pending := append([]string(nil), purePackages...)
	for len(pending) > 0 {
		dir := pending[0]
		pending = pending[1:]
		if seen[dir] {
			continue
		}
		seen[dir] = true
		pending = append(pending, checkPackage(t, dir)...)
	}
}

// checkPackage checks the files of a package and returns the packages of this
// module that it imports.
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
		for _, bad := range forbiddenImports {
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
	if pkg.Name == "time" && clockFunctions[n.Sel.Name] {
		t.Errorf("%s: uses time.%s, which reads the clock or waits", set.Position(n.Pos()), n.Sel.Name)
	}
	if pkg.Name == "http" && pkg.Obj == nil && !strings.HasPrefix(n.Sel.Name, "Status") {
		t.Errorf("%s: uses http.%s; only names that start with Status are allowed", set.Position(n.Pos()), n.Sel.Name)
	}
	if pkg.Name == "rand" && pkg.Obj == nil && !seededRandNames[n.Sel.Name] {
		t.Errorf("%s: uses the global random source through rand.%s", set.Position(n.Pos()), n.Sel.Name)
	}
}

// TestEveryPackageHasADocComment checks that every package has a package
// comment.
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
