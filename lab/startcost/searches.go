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

// LoopSearch is a linear search of a list that runs in each iteration of a loop. Its total cost is quadratic if the
// list grows with the number of iterations.
type LoopSearch struct {
	Position string // file:line
	Call     string // function and searched list, such as "slices.Index(names)"
}

func (s LoopSearch) String() string { return s.Position + ": " + s.Call }

// linearFunctions are the functions of the standard library package slices whose time grows linearly with the length
// of their first argument.
var linearFunctions = []string{"Contains", "ContainsFunc", "Delete", "DeleteFunc", "Index", "IndexFunc", "Insert"}

// iteratingFunctions are names of functions and methods, of any package, that call a function literal once for each
// element of a list. Such a call counts as a loop.
var iteratingFunctions = []string{"ForEach", "each"}

// FindLoopSearches returns the linear searches within loops in the Go files of a directory, except for test files. It
// fails if a file cannot be read or parsed.
func FindLoopSearches(directory fs.FS) ([]LoopSearch, error) {
	names, err := fs.Glob(directory, "*.go")
	if err != nil {
		return nil, err
	}
	var found []LoopSearch
	for _, name := range names {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := fs.ReadFile(directory, name)
		if err != nil {
			return nil, err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, name, text, parser.SkipObjectResolution)
		if err != nil {
			return nil, fmt.Errorf("parsing a Go file: %w", err)
		}
		ast.Walk(&searchVisitor{files: files, found: &found}, file)
	}
	return found, nil
}

// searchVisitor is an ast.Visitor that collects linear searches within loops.
type searchVisitor struct {
	files  *token.FileSet
	found  *[]LoopSearch
	inLoop bool // the visited node is within a loop
}

// Visit implements ast.Visitor. It returns the visitor for the children of node.
func (v *searchVisitor) Visit(node ast.Node) ast.Visitor {
	switch node := node.(type) {
	case *ast.ForStmt, *ast.RangeStmt:
		return v.inLoopVisitor()
	case *ast.CallExpr:
		v.addSearch(node)
		selector, ok := node.Fun.(*ast.SelectorExpr)
		if ok && slices.Contains(iteratingFunctions, selector.Sel.Name) {
			return v.inLoopVisitor()
		}
	}
	return v
}

// inLoopVisitor returns a visitor for the children of a loop that appends to the same results.
func (v *searchVisitor) inLoopVisitor() *searchVisitor {
	return &searchVisitor{files: v.files, found: v.found, inLoop: true}
}

// addSearch records call if it is a call of one of linearFunctions within a loop.
func (v *searchVisitor) addSearch(call *ast.CallExpr) {
	selector, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !v.inLoop || len(call.Args) == 0 {
		return
	}
	pkg, ok := selector.X.(*ast.Ident)
	if !ok || pkg.Name != "slices" || !slices.Contains(linearFunctions, selector.Sel.Name) {
		return
	}
	position := v.files.Position(call.Pos())
	*v.found = append(*v.found, LoopSearch{
		Position: fmt.Sprintf("%s:%d", position.Filename, position.Line),
		Call:     fmt.Sprintf("slices.%s(%s)", selector.Sel.Name, types.ExprString(call.Args[0])),
	})
}
