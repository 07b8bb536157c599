package stylecheck

import (
	"slices"
	"strings"
	"testing"
)

// sourceWithViolations returns the text of a Go file that breaks each rule and just keeps it next to that: it has
// functions of 60 and 61 lines and lines of 120 and 121 characters.
func sourceWithViolations() string {
	function := func(head string, lines int) string {
		return head + " {\n" + strings.Repeat("\t_ = 0\n", lines-2) + "}\n"
	}
	comment := func(width int) string { return "//" + strings.Repeat("ü", width-2) + "\n" }
	return "package planted\n\n" +
		"import standard \"log\"\n\n" +
		function("func short()", 60) +
		function("func long()", 61) +
		function("func (v *value[T]) method()", 61) +
		comment(120) +
		comment(121) +
		"func TestSmall() {}\n" +
		"func TestSmallList() {}\n" +
		"func TestMain() {}\n" +
		"func BenchmarkDecode2() {}\n" +
		"func prints() { standard.Fatalf(\"\") }\n" +
		"var print = standard.Println\n" +
		"var discard = standard.SetOutput\n" +
		"func other() { log.Print() }\n"
}

// checkText returns the findings in a text, one line for each.
func checkText(t *testing.T, name, text string) []string {
	t.Helper()
	parsed, err := parseSource(name, []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, found := range parsed.check() {
		lines = append(lines, found.String())
	}
	return lines
}

// Violations of each rule must be found, and cases just within a rule must not. The rule on test names applies only to
// test files, and the rule on package log only outside of tests and lab.
func TestPlantedOffendersAreFound(t *testing.T) {
	const (
		wide      = ":188: line is too wide"
		long      = ":65: function is too long: long"
		oneWord   = ":189: test is named by one word: TestSmall"
		benchmark = ":192: test is named by one word: BenchmarkDecode2"
		method    = ":126: function is too long: value.method"
	)
	for name, want := range map[string][]string{
		"a/a.go":      {wide, ":193: prints by package log", ":194: prints by package log", long, method},
		"lab/a/a.go":  {wide, long, method},
		"a/a_test.go": {wide, long, method, oneWord, benchmark},
	} {
		for i := range want {
			want[i] = name + want[i]
		}
		if got := checkText(t, name, sourceWithViolations()); !slices.Equal(got, want) {
			t.Errorf("found\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	}
}

// Package log must also be recognized if the file imports it without giving it another name.
func TestDefaultImportNameOfLogIsFound(t *testing.T) {
	got := checkText(t, "a.go", "package a\n\nimport \"log\"\n\nfunc f() { log.Print() }\n")
	if want := []string{"a.go:5: prints by package log"}; !slices.Equal(got, want) {
		t.Errorf("found %q, want %q", got, want)
	}
}

// An exception must cover its file or function and no other, and must be reported if nothing needs it.
func TestExceptionCoversOnlyItsPlace(t *testing.T) {
	findings := []finding{
		{rule: lineWidth, file: "a.go", line: 1},
		{rule: lineWidth, file: "a.go", line: 2},
		{rule: lineWidth, file: "b.go", line: 3},
		{rule: functionLength, file: "a.go", line: 4, function: "long"},
		{rule: functionLength, file: "a.go", line: 5, function: "longer"},
	}
	allowed := []exception{
		{rule: lineWidth, file: "a.go"},
		{rule: functionLength, file: "a.go", function: "long"},
		{rule: functionLength, file: "a.go", function: "gone"},
	}
	violations, unused := applyExceptions(findings, allowed)
	if want := []finding{findings[2], findings[4]}; !slices.Equal(violations, want) {
		t.Errorf("violations %v, want %v", violations, want)
	}
	if want := allowed[2:]; !slices.Equal(unused, want) {
		t.Errorf("unused exceptions %v, want %v", unused, want)
	}
}

// Every exception must state its reason.
func TestExceptionsHaveReasons(t *testing.T) {
	for _, e := range exceptions {
		if e.reason == "" {
			t.Errorf("no reason: %s", e.location())
		}
	}
}
