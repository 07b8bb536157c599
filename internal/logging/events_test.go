package logging_test

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const (
	moduleRoot = "../.."
	onCallPage = moduleRoot + "/docs/oncall.md"
)

// event is an event that the code logs or that the on-call page lists.
type event struct {
	level    string
	fields   []string // sorted
	location string   // the position of a call in the code, or the page
}

func (e event) String() string { return fmt.Sprintf("%s %v at %s", e.level, e.fields, e.location) }

// TestOnCallPageListsEachEventOfTheCode guards against an on-call page that differs from the code: its table of events
// has to list every event that the product logs by slog, and no other, each with the same level and fields.
func TestOnCallPageListsEachEventOfTheCode(t *testing.T) {
	code := eventsOfCode(t)
	page := eventsOfPage(t)
	for _, difference := range compareEvents(code, page) {
		t.Error(difference)
	}
}

// TestPagesNameOnlyEventsOfTheCode checks that every NAME in an event=NAME on the pages is an event that the product
// logs.
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

// TestOnCallPageNamesFilesThatExist checks that every path in backquotes on the on-call page exists. A file name
// without a directory is taken from the directory of the path before it in the same line.
func TestOnCallPageNamesFilesThatExist(t *testing.T) {
	text, err := os.ReadFile(onCallPage)
	if err != nil {
		t.Fatal(err)
	}
	const top = `cmd|configsync|concurrency|docs|internal|logic|pool`
	name := regexp.MustCompile("`((?:" + top + `)/[a-z_/-]+(?:\.[a-z]+)?|[a-z_]+\.go)` + "`")
	for line := range strings.Lines(string(text)) {
		dir := ""
		for _, match := range name.FindAllStringSubmatch(line, -1) {
			path := match[1]
			if strings.Contains(path, "/") {
				dir = filepath.Dir(path)
			} else {
				path = filepath.Join(dir, path)
			}
			if _, err := os.Stat(filepath.Join(moduleRoot, path)); err != nil {
				t.Errorf("a path on the page does not exist: %v, in the line: %s", err, line)
			}
		}
	}
}

// TestProductLogsByFunctionsOfSlogOnly checks that the product logs only by the functions of package slog, since
// eventsOfCode does not find events that are logged in another way.
func TestProductLogsByFunctionsOfSlogOnly(t *testing.T) {
	for _, place := range findOtherLoggers(t) {
		t.Errorf("%s: log by slog.Info, Warn, Error or LogAttrs instead", place)
	}
}

// TestComparisonReportsEachDifference checks that compareEvents, on which the test of the on-call page depends, finds
// each kind of difference.
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
		if differences := compareEvents(code, page); len(differences) > 0 {
			t.Fatalf("differences between equal events: %v", differences)
		}
		change(page)
		if differences := compareEvents(code, page); len(differences) != 1 {
			t.Errorf("%s: got %v, want one difference", name, differences)
		}
	}
}

// compareEvents returns a message for each event that only one of code and page has, or that has another level or other
// fields. Both are by the name of the event.
func compareEvents(code, page map[string]event) (differences []string) {
	for _, name := range slices.Sorted(maps.Keys(code)) {
		listed, found := page[name]
		logged := code[name]
		switch {
		case !found:
			differences = append(differences, fmt.Sprintf("%s is not on the page: %v", name, logged))
		case listed.level != logged.level || !slices.Equal(listed.fields, logged.fields):
			differences = append(differences, fmt.Sprintf("%s is %v, on the page %v", name, logged, listed))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(page)) {
		if _, found := code[name]; !found {
			differences = append(differences, fmt.Sprintf("%s is on the page, %v, and not in the code", name, page[name]))
		}
	}
	return differences
}

// eventsOfPage returns the events in the table of the on-call page, by name. Its rows have the form
// | `name` | LEVEL | `field`, `field` | meaning |
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
			t.Fatalf("the row does not consist of name, level, fields and meaning: %s", line)
		}
		var fields []string
		for _, match := range word.FindAllStringSubmatch(cells[2], -1) {
			fields = append(fields, match[1])
		}
		slices.Sort(fields)
		if _, twice := events[name[1]]; twice {
			t.Errorf("%s is on the page twice", name[1])
		}
		events[name[1]] = event{level: cells[1], fields: fields, location: onCallPage}
	}
	return events
}

// pages returns the paths of the pages that describe the present program: those in docs, and README.md.
func pages(t *testing.T) []string {
	paths, err := filepath.Glob(moduleRoot + "/docs/*.md")
	if err != nil || len(paths) == 0 {
		t.Fatalf("found no pages in docs: %v", err)
	}
	return append(paths, moduleRoot+"/README.md")
}
