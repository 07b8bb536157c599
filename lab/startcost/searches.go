package startcost

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"go/types"
	"io/fs"
	"slices"
	"strings"
)

// LoopSearch is a call that searches a list, made once in each iteration of a loop. If the list grows with what the loop
// iterates over, the cost is quadratic.
type LoopSearch struct {
	Position string // file:line
	Call     string // function and list, such as "slices.Index(names)"
}

func (s LoopSearch) String() string { return s.Position + ": " + s.Call }

// linear are the functions of the standard library's slices that iterate over their first argument.
var linear = []string{"Contains", "ContainsFunc", "Delete", "DeleteFunc", "Index", "IndexFunc", "Insert"}

// loops are the functions, of any package, that call a function literal for each element of a list.
var loops = []string{"ForEach", "each"}

// FindLoopSearches returns the searches within loops in the Go files of a folder, without tests.
func FindLoopSearches(folder fs.FS) ([]LoopSearch, error) {
	names, err := fs.Glob(folder, "*.go")
	if err != nil {
		return nil, err
	}
	var found []LoopSearch
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := fs.ReadFile(folder, name)
		if err != nil {
			return nil, err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, name, text, parser.SkipObjectResolution)
		if err != nil {
			return nil, fmt.Errorf("searches: %w", err)
		}
		ast.Walk(&finder{files: files, found: &found}, file)
	}
	return found, nil
}

// finder visits a syntax tree and collects searches.
type finder struct {
	files  *token.FileSet
	found  *[]LoopSearch
	inLoop bool
}

// Visit implements ast.Visitor.
func (f *finder) Visit(node ast.Node) ast.Visitor {
	switch node := node.(type) {
	case *ast.ForStmt, *ast.RangeStmt:
		return f.withinLoop()
	case *ast.CallExpr:
		f.add(node)
		selector, ok := node.Fun.(*ast.SelectorExpr)
		if ok && slices.Contains(loops, selector.Sel.Name) {
			return f.withinLoop()
		}
	}
	return f
}

// withinLoop returns a finder for the body of a loop.
func (f *finder) withinLoop() *finder { return &finder{files: f.files, found: f.found, inLoop: true} }

// add adds a call if it is a search within a loop.
func (f *finder) add(call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !f.inLoop || len(call.Args) == 0 {
		return
	}
	library, ok := selector.X.(*ast.Ident)
	if !ok || library.Name != "slices" || !slices.Contains(linear, selector.Sel.Name) {
		return
	}
	place := f.files.Position(call.Pos())
	*f.found = append(*f.found, LoopSearch{
		Position: fmt.Sprintf("%s:%d", place.Filename, place.Line),
		Call:     fmt.Sprintf("slices.%s(%s)", selector.Sel.Name, types.ExprString(call.Args[0])),
	})
}
