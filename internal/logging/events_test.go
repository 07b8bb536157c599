package logging_test

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"ravensill/gateway"
	"ravensill/logic"
)

const (
	moduleRoot = "../.."
	onCallPage = moduleRoot + "/docs/oncall.md"
)

// notProduct are the directories of the module whose code is not part of the product's programs.
var notProduct = []string{".ci", ".git", "deploy", "docs", "journal", "lab", "testdata"}

// event is what the code or the on-call page says of one event.
type event struct {
	level  string
	fields []string // sorted
	at     string   // a place in the code or on the page
}

func (e event) String() string { return fmt.Sprintf("%s %v at %s", e.level, e.fields, e.at) }

// TestOnCallPageListsEachEventOfTheCode holds the table of events on the on-call page against the slog calls of the product, in
// both directions: names, levels and fields.
func TestOnCallPageListsEachEventOfTheCode(t *testing.T) {
	code := eventsOfCode(t)
	page := eventsOfPage(t)
	for _, fault := range compareEvents(code, page) {
		t.Error(fault)
	}
}

// TestPagesNameOnlyEventsOfTheCode looks for event=NAME on the pages, each of which must be an event of the product.
func TestPagesNameOnlyEventsOfTheCode(t *testing.T) {
	code := eventsOfCode(t)
	mention := regexp.MustCompile(`event=([a-z_]+)`)
	for _, path := range pages(t) {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for _, match := range mention.FindAllStringSubmatch(string(text), -1) {
			if _, known := code[match[1]]; !known {
				t.Errorf("%s names the event %s, which the code does not log", path, match[1])
			}
		}
	}
}

func TestComparisonReportsEachDifference(t *testing.T) {
	code := map[string]event{
		"host_failing":   {"WARN", []string{"addr", "error"}, "a.go:1"},
		"host_recovered": {"INFO", []string{"addr"}, "a.go:2"},
		"panic":          {"ERROR", []string{"stack"}, "a.go:3"},
	}
	for name, change := range map[string]func(page map[string]event){
		"missing on the page": func(page map[string]event) { delete(page, "host_failing") },
		"gone from the code":  func(page map[string]event) { page["host_gone"] = event{"INFO", nil, "line 9"} },
		"other level":         func(page map[string]event) { page["panic"] = event{"WARN", []string{"stack"}, "line 3"} },
		"other fields":        func(page map[string]event) { page["panic"] = event{"ERROR", []string{"where"}, "line 3"} },
	} {
		page := maps.Clone(code)
		if faults := compareEvents(code, page); len(faults) > 0 {
			t.Fatalf("equal sides: %v", faults)
		}
		change(page)
		if faults := compareEvents(code, page); len(faults) != 1 {
			t.Errorf("%s: %v", name, faults)
		}
	}
}

// compareEvents returns a message for each event that differs.
func compareEvents(code, page map[string]event) (faults []string) {
	for _, name := range slices.Sorted(maps.Keys(code)) {
		listed, found := page[name]
		logged := code[name]
		switch {
		case !found:
			faults = append(faults, fmt.Sprintf("%s is not on the page: %v", name, logged))
		case listed.level != logged.level || !slices.Equal(listed.fields, logged.fields):
			faults = append(faults, fmt.Sprintf("%s is %v, on the page %v", name, logged, listed))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(page)) {
		if _, found := code[name]; !found {
			faults = append(faults, fmt.Sprintf("%s is on the page, %v, and not in the code", name, page[name]))
		}
	}
	return faults
}

// eventsOfPage reads the table of events: | `name` | LEVEL | `field`, `field` | meaning |
func eventsOfPage(t *testing.T) map[string]event {
	text, err := os.ReadFile(onCallPage)
	if err != nil {
		t.Fatal(err)
	}
	_, table, found := strings.Cut(string(text), "\n## All events\n")
	if !found {
		t.Fatalf("%s has no section 'All events'", onCallPage)
	}
	table, _, _ = strings.Cut(table, "\n## ")
	events := map[string]event{}
	word := regexp.MustCompile("`([a-z_]+)`")
	for line := range strings.Lines(table) {
		cells := strings.Split(line, " | ")
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		name := word.FindStringSubmatch(cells[0])
		if name == nil || len(cells) != 4 || strings.Trim(cells[3], " |\n") == "" {
			t.Fatalf("not a row of name, level, fields and meaning: %s", line)
		}
		var fields []string
		for _, match := range word.FindAllStringSubmatch(cells[2], -1) {
			fields = append(fields, match[1])
		}
		slices.Sort(fields)
		if _, twice := events[name[1]]; twice {
			t.Errorf("%s is on the page twice", name[1])
		}
		events[name[1]] = event{level: cells[1], fields: fields, at: onCallPage}
	}
	return events
}

// pages returns the paths of the pages that speak of the program as it is.
func pages(t *testing.T) []string {
	paths, err := filepath.Glob(moduleRoot + "/docs/*.md")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no pages: %v", err)
	}
	return append(paths, moduleRoot+"/README.md")
}

// eventsOfCode returns the events that the product's programs log.
func eventsOfCode(t *testing.T) map[string]event {
	source := &source{
		files:     token.NewFileSet(),
		functions: map[string]*ast.FuncDecl{},
		constants: map[string]string{},
		events:    map[string]event{},
	}
	if err := source.parse(); err != nil {
		t.Fatal(err)
	}
	source.collect(t)
	if len(source.events) == 0 {
		t.Fatal("no events")
	}
	return source.events
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

// collect finds the calls of package slog. One call may name its event by a value: it logs the events that are constants.
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
			fields, err := s.fields(parsed.dir, args[1:], call.Ellipsis.IsValid())
			if err != nil {
				t.Errorf("%s: %v", at, err)
			}
			name, literal := stringOf(args[0])
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

// fields returns the keys among the arguments behind an event's name: literals in turn with values, attributes, or a list of
// fields that another function makes.
func (s *source) fields(dir string, args []ast.Expr, spread bool) ([]string, error) {
	if spread {
		return s.spreadFields(dir, args[len(args)-1])
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

// spreadFields returns the keys of a list of fields: of the attributes that the called function makes, or of the counts of
// decisions, whose names belong to package logic.
func (s *source) spreadFields(dir string, list ast.Expr) ([]string, error) {
	call, ok := list.(*ast.CallExpr)
	if !ok {
		return decisionFields(), nil
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
	byID := []gateway.Plan{{ID: 1}}
	g := logic.New(1, gateway.Membership{Count: 1}, nil, byID, gateway.Limits{}, gateway.SlowStart{}, gateway.LoadReportForm{})
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
