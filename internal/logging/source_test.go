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

// nonProductDirs are the names of the directories whose code is not part of the product's programs.
var nonProductDirs = []string{".ci", ".git", "deploy", "docs", "journal", "lab", "testdata"}

// eventsOfCode returns the events that the product's programs log, by name.
func eventsOfCode(t *testing.T) map[string]event {
	source := parseProduct(t)
	source.collectEvents(t)
	if len(source.events) == 0 {
		t.Fatal("found no events in the code")
	}
	return source.events
}

// findOtherLoggers returns the positions in the product's code, outside of package logging, that import package log or
// use a function of package slog that returns a logger.
func findOtherLoggers(t *testing.T) (places []string) {
	source := parseProduct(t)
	for _, parsed := range source.parsedFiles {
		if filepath.Base(parsed.dir) == "logging" {
			continue
		}
		ast.Inspect(parsed.file, func(node ast.Node) bool {
			if imported, ok := node.(*ast.ImportSpec); ok && imported.Path.Value == `"log"` {
				places = append(places, source.fileSet.Position(node.Pos()).String())
			}
			if selector, ok := node.(*ast.SelectorExpr); ok && isSlog(selector.X) && makesLogger(selector.Sel.Name) {
				places = append(places, source.fileSet.Position(node.Pos()).String())
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

// parseProduct returns the product's code without tests, in which events are not collected yet.
func parseProduct(t *testing.T) *source {
	source := &source{
		fileSet:   token.NewFileSet(),
		functions: map[string]*ast.FuncDecl{},
		constants: map[string]string{},
		events:    map[string]event{},
	}
	if err := source.parse(); err != nil {
		t.Fatal(err)
	}
	return source
}

// source is the parsed code of the product, and the events found in it.
type source struct {
	fileSet     *token.FileSet
	parsedFiles []parsedFile
	functions   map[string]*ast.FuncDecl // by directory and name, separated by a space
	constants   map[string]string        // values of the constants that name an event, by the name of the constant
	events      map[string]event
}

// parsedFile is a source file of the product.
type parsedFile struct {
	dir  string // path from the directory of this package
	file *ast.File
}

// parse parses all files of the product.
func (s *source) parse() error {
	return filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains(nonProductDirs, entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go"):
			return nil
		}
		file, err := parser.ParseFile(s.fileSet, path, nil, 0)
		if err != nil {
			return err
		}
		s.addFile(filepath.Dir(path), file)
		return nil
	})
}

// addFile records a file's functions, and its string constants whose names begin with Event.
func (s *source) addFile(dir string, file *ast.File) {
	s.parsedFiles = append(s.parsedFiles, parsedFile{dir, file})
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
				if value, ok := stringLiteral(spec.Values[i]); ok {
					s.constants[name.Name] = value
				}
			}
		}
		return true
	})
}

// collectEvents records the events of all calls that log by package slog. The name of the event has to be a string
// literal. At most one call in the product may name it otherwise: that call is taken to log each event of s.constants.
func (s *source) collectEvents(t *testing.T) {
	callsWithNonLiteralEvent := 0
	for _, parsed := range s.parsedFiles {
		ast.Inspect(parsed.file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			level, args, ok := logCall(call)
			if !ok {
				return true
			}
			location := s.fileSet.Position(call.Pos()).String()
			name, literal := stringLiteral(args[0])
			fields, err := s.fieldKeys(parsed.dir, name, args[1:], call.Ellipsis.IsValid())
			if err != nil {
				t.Errorf("%s: %v", location, err)
			}
			if literal {
				s.record(t, name, event{level, fields, location})
				return true
			}
			callsWithNonLiteralEvent++
			for _, name := range s.constants {
				s.record(t, name, event{level, fields, location})
			}
			return true
		})
	}
	if callsWithNonLiteralEvent > 1 {
		t.Errorf("%d calls of slog do not name their event by a literal, want at most 1", callsWithNonLiteralEvent)
	}
}

// record adds an event that a call logs. If several calls log the same event, they must have the same level; the fields
// of the event are those of all calls together, and its location is that of the first call.
func (s *source) record(t *testing.T, name string, logged event) {
	before, found := s.events[name]
	if found && before.level != logged.level {
		t.Errorf("%s is logged with two levels: %v and %v", name, before, logged)
	}
	logged.fields = append(logged.fields, before.fields...)
	slices.Sort(logged.fields)
	logged.fields = slices.Compact(logged.fields)
	logged.location = cmp.Or(before.location, logged.location)
	s.events[name] = logged
}

// logCall reports whether a call logs an event by a function of package slog. It returns the level in upper case and
// the arguments from the event's name on.
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
	case "Log", "LogAttrs": // the arguments are context, level, event and fields
		level, ok := call.Args[1].(*ast.SelectorExpr)
		if !ok {
			return "unknown", call.Args[2:], true
		}
		return strings.ToUpper(strings.TrimPrefix(level.Sel.Name, "Level")), call.Args[2:], true
	}
	return "", nil, false
}

// isSlog reports whether an expression is the name of package slog.
func isSlog(expression ast.Expr) bool {
	name, ok := expression.(*ast.Ident)
	return ok && name.Name == "slog"
}

// fieldKeys returns the keys of the fields of a logging call, given the arguments after the event's name. These are
// attributes, such as slog.Int("count", n), or a literal key followed by a value. With spread, the last argument is a
// slice of fields that is followed by three dots. dir is the directory of the call.
func (s *source) fieldKeys(dir, event string, args []ast.Expr, spread bool) ([]string, error) {
	if spread {
		return s.spreadFieldKeys(dir, event, args[len(args)-1])
	}
	var keys []string
	for i := 0; i < len(args); i++ {
		if key, ok := attributeKey(args[i]); ok {
			keys = append(keys, key)
			continue
		}
		key, ok := stringLiteral(args[i])
		if !ok {
			return nil, fmt.Errorf("the key of the field at argument %d is not a string literal", i)
		}
		keys = append(keys, key)
		i++ // skip the value of the key
	}
	return keys, nil
}

// spreadFieldKeys returns the keys in a slice of fields. The slice has to be a call of a function or method in the same
// directory, and the keys are those of all attributes in the body of that function. The exception is the event
// decisions, whose keys are names of outcomes that package logic computes.
func (s *source) spreadFieldKeys(dir, event string, list ast.Expr) ([]string, error) {
	if event == "decisions" {
		return decisionFieldKeys(), nil
	}
	call, ok := list.(*ast.CallExpr)
	if !ok {
		return nil, fmt.Errorf("the fields of %s are not the result of a call", event)
	}
	name := ""
	if method, ok := call.Fun.(*ast.SelectorExpr); ok {
		name = method.Sel.Name
	}
	function := s.functions[dir+" "+name]
	if function == nil {
		return nil, fmt.Errorf("the fields are made by %q, which is not a function of the same package", name)
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

// decisionFieldKeys returns the keys of the event decisions: the names of the outcomes that package logic counts.
func decisionFieldKeys() (names []string) {
	alone := gateway.Membership{Count: 1}
	plansByID := []gateway.Plan{{ID: 1}}
	g := logic.New(1, alone, nil, plansByID, gateway.Limits{}, gateway.SlowStart{}, gateway.LoadReportFormat{})
	for _, count := range g.DecisionCounts() {
		names = append(names, count.Outcome)
	}
	return names
}

// attributeKey returns the key of an expression that makes an attribute, such as slog.Int("count", n). It returns false
// for other expressions, and if the key is not a string literal.
func attributeKey(expression ast.Expr) (string, bool) {
	call, ok := expression.(*ast.CallExpr)
	if !ok || len(call.Args) < 2 {
		return "", false
	}
	function, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || !isSlog(function.X) {
		return "", false
	}
	return stringLiteral(call.Args[0])
}

// stringLiteral returns the value of a string literal, and false for other expressions.
func stringLiteral(expression ast.Expr) (string, bool) {
	literal, ok := expression.(*ast.BasicLit)
	if !ok || literal.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(literal.Value)
	return text, err == nil
}
