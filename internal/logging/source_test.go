package logging_test

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/logic"
)

// notProduct are the directories of the module whose code is not part of the product's programs.
var notProduct = []string{".ci", ".git", "deploy", "docs", "journal", "lab", "testdata"}

// eventsOfCode returns the events that the product's programs log.
func eventsOfCode(t *testing.T) map[string]event {
	source := parseProduct(t)
	source.collect(t)
	if len(source.events) == 0 {
		t.Fatal("no events")
	}
	return source.events
}

// otherLoggers returns the places of the product, outside of package logging, that import package log or make a logger.
func otherLoggers(t *testing.T) (places []string) {
	source := parseProduct(t)
	for _, parsed := range source.packages {
		if filepath.Base(parsed.dir) == "logging" {
			continue
		}
		ast.Inspect(parsed.file, func(node ast.Node) bool {
			if imported, ok := node.(*ast.ImportSpec); ok && imported.Path.Value == `"log"` {
				places = append(places, source.files.Position(node.Pos()).String())
			}
			if selector, ok := node.(*ast.SelectorExpr); ok && isSlog(selector.X) && makesLogger(selector.Sel.Name) {
				places = append(places, source.files.Position(node.Pos()).String())
			}
			return true
		})
	}
	return places
}

// makesLogger reports whether a function of package slog returns a logger.
func makesLogger(function string) bool {
	return slices.Contains([]string{"New", "With", "Default", "NewLogLogger"}, function)
}

func parseProduct(t *testing.T) *source {
	source := &source{
		files:     token.NewFileSet(),
		functions: map[string]*ast.FuncDecl{},
		constants: map[string]string{},
		events:    map[string]event{},
	}
	if err := source.parse(); err != nil {
		t.Fatal(err)
	}
	return source
}

// source is the product's code, and the events found in it.
type source struct {
	files     *token.FileSet
	packages  []parsedFile
	functions map[string]*ast.FuncDecl // by directory and name
	constants map[string]string        // constants that name an event: their values by their names
	events    map[string]event
}

type parsedFile struct {
	dir  string
	file *ast.File
}

func (s *source) parse() error {
	return filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains(notProduct, entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(s.files, path, nil, 0)
		if err != nil {
			return err
		}
		s.add(filepath.Dir(path), file)
		return nil
	})
}

// add notes a file's functions, and its constants whose names begin with Event.
func (s *source) add(dir string, file *ast.File) {
	s.packages = append(s.packages, parsedFile{dir, file})
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok {
			s.functions[dir+" "+function.Name.Name] = function
		}
	}
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok {
			return true
		}
		for i, name := range spec.Names {
			if strings.HasPrefix(name.Name, "Event") && i < len(spec.Values) {
				if value, ok := stringOf(spec.Values[i]); ok {
					s.constants[name.Name] = value
				}
			}
		}
		return true
	})
}

// collect finds the calls of package slog. One call may name its event by a value: it logs the events that are
// constants.
func (s *source) collect(t *testing.T) {
	byValue := 0
	for _, parsed := range s.packages {
		ast.Inspect(parsed.file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			level, args, ok := logCall(call)
			if !ok {
				return true
			}
			at := s.files.Position(call.Pos()).String()
			name, literal := stringOf(args[0])
			fields, err := s.fields(parsed.dir, name, args[1:], call.Ellipsis.IsValid())
			if err != nil {
				t.Errorf("%s: %v", at, err)
			}
			if literal {
				s.log(t, name, event{level, fields, at})
				return true
			}
			byValue++
			for _, name := range s.constants {
				s.log(t, name, event{level, fields, at})
			}
			return true
		})
	}
	if byValue > 1 {
		t.Errorf("%d calls of slog name their event neither by a literal nor in the one place that logs constants", byValue)
	}
}

// log notes that a call logs an event. Calls that log the same event have one level, and their fields are joined.
func (s *source) log(t *testing.T, name string, logged event) {
	before, found := s.events[name]
	if found && before.level != logged.level {
		t.Errorf("%s is %v and %v", name, before, logged)
	}
	logged.fields = append(logged.fields, before.fields...)
	slices.Sort(logged.fields)
	logged.fields = slices.Compact(logged.fields)
	logged.at = cmp.Or(before.at, logged.at)
	s.events[name] = logged
}

// logCall reports whether a call logs an event, and returns its level and the arguments from the event's name on.
func logCall(call *ast.CallExpr) (level string, args []ast.Expr, ok bool) {
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isSlog(function.X) {
		return "", nil, false
	}
	switch function.Sel.Name {
	case "Debug", "Info", "Warn", "Error":
		return strings.ToUpper(function.Sel.Name), call.Args, true
	case "DebugContext", "InfoContext", "WarnContext", "ErrorContext":
		return strings.ToUpper(strings.TrimSuffix(function.Sel.Name, "Context")), call.Args[1:], true
	case "Log", "LogAttrs": // context, level, event
		level, ok := call.Args[1].(*ast.SelectorExpr)
		if !ok {
			return "unknown", call.Args[2:], true
		}
		return strings.ToUpper(strings.TrimPrefix(level.Sel.Name, "Level")), call.Args[2:], true
	}
	return "", nil, false
}

func isSlog(expression ast.Expr) bool {
	name, ok := expression.(*ast.Ident)
	return ok && name.Name == "slog"
}

// fields returns the keys among the arguments behind an event's name: literals, each before its value; attributes;
// or a list of fields that another function makes.
func (s *source) fields(dir, event string, args []ast.Expr, spread bool) ([]string, error) {
	if spread {
		return s.spreadFields(dir, event, args[len(args)-1])
	}
	var keys []string
	for i := 0; i < len(args); i++ {
		if key, ok := attributeKey(args[i]); ok {
			keys = append(keys, key)
			continue
		}
		key, ok := stringOf(args[i])
		if !ok {
			return nil, fmt.Errorf("field %d has no literal as its key", i)
		}
		keys = append(keys, key)
		i++ // its value
	}
	return keys, nil
}

// spreadFields returns the keys of a list of fields: of the attributes that the called function makes, or of the
// counts of decisions, whose names belong to package logic.
func (s *source) spreadFields(dir, event string, list ast.Expr) ([]string, error) {
	if event == "decisions" {
		return decisionFields(), nil
	}
	call, ok := list.(*ast.CallExpr)
	if !ok {
		return nil, fmt.Errorf("the fields of %s are in a variable", event)
	}
	name := ""
	if method, ok := call.Fun.(*ast.SelectorExpr); ok {
		name = method.Sel.Name
	}
	function := s.functions[dir+" "+name]
	if function == nil {
		return nil, fmt.Errorf("no function %s of the package makes the fields", name)
	}
	var keys []string
	ast.Inspect(function.Body, func(node ast.Node) bool {
		expression, ok := node.(ast.Expr)
		if !ok {
			return true
		}
		if key, ok := attributeKey(expression); ok {
			keys = append(keys, key)
		}
		return true
	})
	return keys, nil
}

func decisionFields() (names []string) {
	alone := gateway.Membership{Count: 1}
	plansByID := []gateway.Plan{{ID: 1}}
	g := logic.New(1, alone, nil, plansByID, gateway.Limits{}, gateway.SlowStart{}, gateway.LoadReportFormat{})
	for _, count := range g.DecisionCounts() {
		names = append(names, count.Outcome)
	}
	return names
}

// attributeKey returns the key of an attribute such as slog.Int("count", n).
func attributeKey(expression ast.Expr) (string, bool) {
	call, ok := expression.(*ast.CallExpr)
	if !ok || len(call.Args) < 2 {
		return "", false
	}
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isSlog(function.X) {
		return "", false
	}
	return stringOf(call.Args[0])
}

func stringOf(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
