// Package knownred tests that the test command of CI passes over exactly the tests that KNOWN-RED.txt names.
package knownred

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

const testFileHead = "package x\n\nimport \"testing\"\n\n"

// racePackages are the packages in internal that the test command runs again under the race detector.
var racePackages = []string{
	"clients",
	"hosts",
	"discovery",
	"node",
	"bufconn",
	"consensus",
	"publisher",
	"subscriber",
}

// failingTests returns the text of a test file in which each of these tests fails.
func failingTests(names ...string) string {
	text := testFileHead
	for _, name := range names {
		text += "func " + name + "(t *testing.T) { t.Error() }\n"
	}
	return text
}

// runTestCommand runs the test command on a temporary module with these files and those that the command itself needs.
// An empty knownRed means no KNOWN-RED.txt.
func runTestCommand(t *testing.T, knownRed string, files map[string]string) (output string, failed bool) {
	t.Helper()
	dir := t.TempDir()
	writeFile(t, dir, "go.mod", "module m\n\ngo 1.26\n")
	for _, name := range racePackages {
		writeFile(t, dir, "internal/"+name+"/x.go", "package x\n")
	}
	if knownRed != "" {
		writeFile(t, dir, "KNOWN-RED.txt", knownRed)
	}
	for name, text := range files {
		writeFile(t, dir, name, text)
	}
	command := exec.Command("bash", "../../.ci/test", dir)
	command.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
	text, err := command.CombinedOutput()
	return string(text), err != nil
}

// writeFile writes a file of a temporary module.
func writeFile(t *testing.T, dir, name, text string) {
	t.Helper()
	path := filepath.Join(dir, name)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
}

// failure matches the output line of a failed test or package.
var failure = regexp.MustCompile(`(?m)^ *--- FAIL: (\S+)|^FAIL\t(\S+)`)

// entry is a well-formed entry of KNOWN-RED.txt.
const entry = "a TestRed | go test ./a -run TestRed, seed 1 | breaks | issue 1\n"

// A failing test must fail the run unless KNOWN-RED.txt names it, even if its name resembles that of a named one or it
// is a subtest or in another package. The entries of tests that are passed over must be printed.
func TestOnlyNamedTestsArePassedOver(t *testing.T) {
	const otherEntry = "a TestOther | go test ./a -run TestOther, seed 7 | breaks too | issue 1\n"
	const raceEntry = "internal/bufconn TestRed | go test ./internal/bufconn -run TestRed -race, seed none | " +
		"breaks | issue 2"
	for _, test := range []struct {
		name     string
		knownRed string
		files    map[string]string
		failures []string // failed tests, each package after its tests
	}{
		{
			name:     "none named",
			knownRed: "# words\n\n",
			files:    map[string]string{"a/x_test.go": failingTests("TestRed")},
			failures: []string{"TestRed", "m/a"},
		},
		{
			name:     "three named, last line open",
			knownRed: "# words\n" + entry + otherEntry + raceEntry,
			files: map[string]string{
				"a/x_test.go":                failingTests("TestRed", "TestOther"),
				"internal/bufconn/x_test.go": failingTests("TestRed"),
			},
		},
		{
			name:     "namesakes",
			knownRed: entry,
			files: map[string]string{
				"a/x_test.go": failingTests("TestRed", "TestRedder", "TestRe") +
					"func TestSub(t *testing.T) { t.Run(\"TestRed\", TestRed) }\n",
				"a/b/x_test.go": failingTests("TestRed"),
				"b/x_test.go":   failingTests("TestRed"),
			},
			failures: []string{
				"TestRedder", "TestRe", "TestSub", "TestSub/TestRed", "m/a",
				"TestRed", "m/a/b",
				"TestRed", "m/b",
			},
		},
		{
			name:     "race",
			files:    map[string]string{"internal/bufconn/x_test.go": "//go:build race\n\n" + failingTests("TestRace")},
			failures: []string{"TestRace", "m/internal/bufconn"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			output, failed := runTestCommand(t, test.knownRed, test.files)
			var failures []string
			for _, match := range failure.FindAllStringSubmatch(output, -1) {
				failures = append(failures, match[1]+match[2])
			}
			if !slices.Equal(failures, test.failures) || failed != (test.failures != nil) {
				t.Errorf("failed %v, %q, want %q:\n%s", failed, failures, test.failures, output)
			}
			for line := range strings.Lines(test.knownRed) {
				if strings.Contains(line, "|") && !strings.Contains(output, "passed over: "+line) {
					t.Errorf("the output lacks the entry %q", line)
				}
			}
		})
	}
}

// A malformed entry could hide failures. So the run must fail before any test if there are too many entries, or if an
// entry names no test or lacks a part.
func TestMalformedEntryFailsRun(t *testing.T) {
	files := map[string]string{"a/x_test.go": failingTests("TestRed", "TestOther", "TestThird", "TestFourth")}
	four := entry
	for _, other := range []string{"Other", "Third", "Fourth"} {
		four += strings.ReplaceAll(entry, "Red", other)
	}
	for knownRed, message := range map[string]string{
		four:                                     "more than three tests",
		strings.ReplaceAll(entry, "Red", "Gone"): "names no test: a TestGone",
		strings.ReplaceAll(entry, "Red", "Re"):   "names no test",
		"internal/bufconn TestRed | go test ./internal/bufconn -run TestRed, seed 1 | c | issue 1\n": "names no test",
		"gone TestRed | go test ./gone -run TestRed, seed 1 | c | issue 1\n":                         "names no test",
		"a Test.* | go test ./a -run Test.*, seed 1 | c | issue 1\n":                                 "not 'package",
		"... TestRed | go test ./... -run TestRed, seed 1 | c | issue 1\n":                           "not 'package",
		"a TestRed/x | go test ./a -run TestRed/x, seed 1 | c | issue 1\n":                           "not 'package",
		"a TestRed | c | issue 1\n":                                                    "not 'package",
		"a TestRed |  | c | issue 1\n":                                                 "not 'package",
		"a TestRed | go test ./a -run TestRed | c | issue 1\n":                         "not 'package",
		"a TestRed | go test ./a -run TestRed, seed  | c | issue 1\n":                  "not 'package",
		"a TestRed | go test ./a -run TestRed, seed 1 |  | issue 1\n":                  "not 'package",
		"a TestRed | go test ./a -run TestRed, seed 1 | c\n":                           "not 'package",
		"a TestRed | go test ./a -run TestRed, seed 1 | c | issue\n":                   "not 'package",
		"a TestRed | go test ./a -run TestRed, seed 1 | c | issue 1 and TestOther too": "not 'package",
		"a TestRed | go test ./b -run TestRed, seed 1 | c | issue 1\n":                 "does not run TestRed of ./a",
		"a TestRed | go test ./a -run TestOther, seed 1 | c | issue 1\n":               "does not run TestRed of ./a",
		"a TestRed | go test ./a -run TestRedder, seed 1 | c | issue 1\n":              "does not run TestRed of ./a",
	} {
		output, failed := runTestCommand(t, knownRed, files)
		testRan := strings.Contains(output, "--- FAIL")
		if !failed || testRan || !strings.Contains(output, message) {
			t.Errorf("%q: failed %v, want %q:\n%s", knownRed, failed, message, output)
		}
	}
}

// The README must name the test command that CI runs.
func TestReadmeNamesCommandOfCI(t *testing.T) {
	for file, line := range map[string]string{
		"../../.ci/run":   "\nbash .ci/test\n",
		"../../README.md": "\n    bash .ci/test ",
	} {
		text, err := os.ReadFile(file)
		if err != nil || !strings.Contains(string(text), line) {
			t.Errorf("%s lacks %q: %v", file, line, err)
		}
	}
}
