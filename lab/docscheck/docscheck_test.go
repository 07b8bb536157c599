// Package docscheck tests that the pages of the documentation name only tests, files, functions and packages that
// exist, so that renames do not leave them outdated.
package docscheck

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	root         = "../.."
	architecture = root + "/docs/architecture.md"
)

// module holds the names that the module's Go files declare.
type module struct {
	packages map[string]bool            // directories with Go files, without testdata
	declared map[string]map[string]bool // functions and methods by file; a method as Type.Method
	tests    map[string]bool            // functions in test files
}

// loadModule reads the declarations of all Go files of the module.
func loadModule(t *testing.T) *module {
	m := &module{packages: map[string]bool{}, declared: map[string]map[string]bool{}, tests: map[string]bool{}}
	err := fs.WalkDir(os.DirFS(root), ".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "testdata" || entry.Name() == ".git" || entry.Name() == "journal") {
			return fs.SkipDir
		}
		if path.Ext(file) == ".go" {
			return m.load(file)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// load adds the declarations of a file.
func (m *module) load(file string) error {
	parsed, err := parser.ParseFile(token.NewFileSet(), filepath.Join(root, file), nil, parser.SkipObjectResolution)
	if err != nil {
		return err
	}
	m.packages[path.Dir(file)] = true
	names := map[string]bool{}
	for _, declaration := range parsed.Decls {
		function, ok := declaration.(*ast.FuncDecl)
		if !ok {
			continue
		}
		names[receiver(function)+function.Name.Name] = true
		if strings.HasSuffix(file, "_test.go") {
			m.tests[function.Name.Name] = true
		}
	}
	m.declared[file] = names
	return nil
}

// receiver returns the receiver's type followed by a dot, or "" for a function without one.
func receiver(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return ""
	}
	kind := function.Recv.List[0].Type
	if star, ok := kind.(*ast.StarExpr); ok {
		kind = star.X
	}
	if name, ok := kind.(*ast.Ident); ok {
		return name.Name + "."
	}
	return ""
}

// pages returns the paths of the pages that describe the current program: those in docs and the README.
func pages(t *testing.T) []string {
	found, err := filepath.Glob(root + "/docs/*.md")
	if err != nil || len(found) == 0 {
		t.Fatalf("found %d pages in docs, error %v", len(found), err)
	}
	return append(found, root+"/README.md")
}

func read(t *testing.T, page string) string {
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

var (
	testName     = regexp.MustCompile(`\bTest[A-Z][A-Za-z0-9]*\b`)
	quoted       = regexp.MustCompile("`([^`\n]+)`")
	functionName = regexp.MustCompile(`^(?:[A-Za-z]+\.)?[A-Za-z]+$`)
)

// Each name of a test on a page must be that of a function in a test file.
func TestPagesNameTestsThatExist(t *testing.T) {
	m := loadModule(t)
	for _, page := range pages(t) {
		for _, name := range testName.FindAllString(read(t, page), -1) {
			if !m.tests[name] {
				t.Errorf("%s names the test %s, which does not exist", page, name)
			}
		}
	}
}

// unknownNames returns the names in backquotes that do not exist. A name with a slash must be a path. After the path of
// a Go file, a name must be a function, a method or a package.
func (m *module) unknownNames(text string) (unknown []string) {
	file := ""
	for _, match := range quoted.FindAllStringSubmatch(text, -1) {
		name := match[1]
		switch {
		case strings.Contains(name, "/"):
			_, err := os.Stat(filepath.Join(root, name))
			if err != nil {
				unknown = append(unknown, name)
			}
			file = name
		case file != "" && path.Ext(file) == ".go" && functionName.MatchString(name) && !m.packages[name]:
			if !m.declared[file][name] && !packageName(name) {
				unknown = append(unknown, file+" "+name)
			}
		}
	}
	return unknown
}

// packageName reports whether a name on the page is a package or a member of a package, such as logic.Gateway.
func packageName(name string) bool {
	return slices.Contains([]string{"logic.Gateway", "node.Node", "testdata", "policy"}, name)
}

// Paths on the architecture page must exist, and each function or method must be declared in the file named before it.
func TestArchitecturePageNamesWhatExists(t *testing.T) {
	m := loadModule(t)
	for _, name := range m.unknownNames(read(t, architecture)) {
		t.Errorf("the architecture page names %s, which does not exist", name)
	}
}

// The architecture page must name every package.
func TestArchitecturePageNamesEachPackage(t *testing.T) {
	text := read(t, architecture)
	for _, name := range slices.Sorted(maps.Keys(loadModule(t).packages)) {
		if !strings.Contains(text, "`"+name+"`") {
			t.Errorf("the architecture page does not name the package %s", name)
		}
	}
}

// The check must not miss a file, a function or a method that is gone.
func TestUnknownNamesAreFound(t *testing.T) {
	m := loadModule(t)
	const text = "`logic/request.go` (`Gateway.admit`, `Gateway.requestArrived`), `logic/gone.go`, " +
		"`subset/subset.go` (`AssignSubset`, `Gone`)"
	want := []string{"logic/request.go Gateway.admit", "logic/gone.go", "subset/subset.go Gone"}
	if got := m.unknownNames(text); !slices.Equal(got, want) {
		t.Errorf("found %q, want %q", got, want)
	}
}
