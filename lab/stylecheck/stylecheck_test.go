// Package stylecheck tests the form of the module's Go files: the width of lines, the length of functions, the names of
// tests, and that only tests and the packages in lab print by package log.
package stylecheck

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"unicode/utf8"
)

const (
	root             = "../.."
	maxLineWidth     = 120 // characters; a tab counts as one
	maxFunctionLines = 60  // from func to the closing brace, both included
)

// rule is a rule that Go files must keep, worded as the text of a violation.
type rule string

const (
	lineWidth      rule = "line is too wide"
	functionLength rule = "function is too long"
	testName       rule = "test is named by one word"
	logPackage     rule = "prints by package log"
)

// oneWordTest matches test names with only one word after the prefix. Such names do not say what is tested.
var oneWordTest = regexp.MustCompile(`^(Test|Fuzz|Benchmark)[A-Z][a-z0-9]*$`)

// printFunction matches the functions of package log that print.
var printFunction = regexp.MustCompile(`^(Print|Fatal|Panic)`)

// finding is a place in a file that breaks a rule.
type finding struct {
	rule     rule
	file     string // path from the root of the module
	line     int
	function string // such as Type.Method; empty if the rule is about a line
}

func (f finding) String() string {
	text := fmt.Sprintf("%s:%d: %s", f.file, f.line, f.rule)
	if f.function != "" {
		text += ": " + f.function
	}
	return text
}

// source is a parsed Go file.
type source struct {
	name     string // path from the root of the module
	text     []byte
	position *token.FileSet
	syntax   *ast.File
}

func parseSource(name string, text []byte) (*source, error) {
	s := &source{name: name, text: text, position: token.NewFileSet()}
	syntax, err := parser.ParseFile(s.position, name, text, parser.SkipObjectResolution)
	s.syntax = syntax
	return s, err
}

func (s *source) line(position token.Pos) int { return s.position.Position(position).Line }

func (s *source) isTest() bool { return strings.HasSuffix(s.name, "_test.go") }

// check returns all places in the file that break a rule.
func (s *source) check() []finding {
	findings := append(s.wideLines(), s.logCalls()...)
	for _, declaration := range s.syntax.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok {
			findings = append(findings, s.checkFunction(function)...)
		}
	}
	return findings
}

func (s *source) wideLines() (findings []finding) {
	number := 0
	for line := range bytes.Lines(s.text) {
		number++
		if utf8.RuneCount(bytes.TrimRight(line, "\r\n")) > maxLineWidth {
			findings = append(findings, finding{rule: lineWidth, file: s.name, line: number})
		}
	}
	return findings
}

// checkFunction checks the length of a function and, if it is a test, its name.
func (s *source) checkFunction(function *ast.FuncDecl) (findings []finding) {
	first, last := s.line(function.Pos()), s.line(function.End())
	found := finding{file: s.name, line: first, function: qualifiedName(function)}
	if last-first+1 > maxFunctionLines {
		found.rule = functionLength
		findings = append(findings, found)
	}
	if s.isTest() && oneWordTest.MatchString(found.function) && found.function != "TestMain" {
		found.rule = testName
		findings = append(findings, found)
	}
	return findings
}

// qualifiedName returns the name of a function, or Type.Method for a method.
func qualifiedName(function *ast.FuncDecl) string {
	if function.Recv == nil {
		return function.Name.Name
	}
	receiver := function.Recv.List[0].Type
	if pointer, ok := receiver.(*ast.StarExpr); ok {
		receiver = pointer.X
	}
	if generic, ok := receiver.(*ast.IndexExpr); ok {
		receiver = generic.X
	}
	if name, ok := receiver.(*ast.Ident); ok {
		return name.Name + "." + function.Name.Name
	}
	return function.Name.Name
}

// logCalls returns the uses of printing functions of package log. They are allowed in tests and in lab; the product
// logs events with package internal/logging.
func (s *source) logCalls() (findings []finding) {
	imported := s.importName("log")
	if imported == "" || s.isTest() || strings.HasPrefix(s.name, "lab/") {
		return nil
	}
	ast.Inspect(s.syntax, func(node ast.Node) bool {
		selector, ok := node.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		name, ok := selector.X.(*ast.Ident)
		if ok && name.Name == imported && printFunction.MatchString(selector.Sel.Name) {
			findings = append(findings, finding{rule: logPackage, file: s.name, line: s.line(selector.Pos())})
		}
		return true
	})
	return findings
}

// importName returns the name by which a file refers to a package, or "" if the file does not import it.
func (s *source) importName(importPath string) string {
	for _, spec := range s.syntax.Imports {
		if spec.Path.Value != strconv.Quote(importPath) {
			continue
		}
		if spec.Name != nil {
			return spec.Name.Name
		}
		return path.Base(importPath)
	}
	return ""
}

// checkModule checks all Go files below a directory, except testdata and the journal.
func checkModule(t *testing.T, dir string) (findings []finding) {
	files := os.DirFS(dir)
	err := fs.WalkDir(files, ".", func(file string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && slices.Contains([]string{"testdata", ".git", "journal"}, entry.Name()) {
			return fs.SkipDir
		}
		if path.Ext(file) != ".go" {
			return nil
		}
		text, err := fs.ReadFile(files, file)
		if err != nil {
			return err
		}
		parsed, err := parseSource(file, text)
		if err != nil {
			return err
		}
		findings = append(findings, parsed.check()...)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return findings
}

// Every Go file of the module must keep the rules, except at the places that exceptions lists. An exception that
// nothing needs any more must be removed.
func TestGoFilesKeepTheirForm(t *testing.T) {
	violations, unused := applyExceptions(checkModule(t, root), exceptions)
	for _, violation := range violations {
		t.Error(violation)
	}
	for _, exception := range unused {
		t.Errorf("%s no longer needs its exception: %s", exception.location(), exception.rule)
	}
}
