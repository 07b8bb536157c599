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

// event is one event as it stands in the code or on the on-call page.
type event struct {
	level  string
	fields []string // sorted
	at     string   // a place in the code or on the page
}

func (e event) String() string { return fmt.Sprintf("%s %v at %s", e.level, e.fields, e.at) }

// TestOnCallPageListsEachEventOfTheCode holds the table of events on the on-call page against the slog calls of the
// product, in both directions: names, levels and fields.
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

// TestOnCallPageNamesFilesThatExist looks at each path in backquotes; a bare file name is in the directory named before
// it in the row.
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
				t.Errorf("%v, in: %s", err, line)
			}
		}
	}
}

// TestProductLogsByFunctionsOfSlogOnly keeps out loggers of other kinds, whose events eventsOfCode would not see.
func TestProductLogsByFunctionsOfSlogOnly(t *testing.T) {
	for _, place := range otherLoggers(t) {
		t.Errorf("%s: log by slog.Info, Warn, Error or LogAttrs", place)
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
