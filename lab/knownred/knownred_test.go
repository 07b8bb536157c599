// Package knownred tests that the test command passes over the tests that KNOWN-RED.txt names, and no others.
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

const head = "package x\n\nimport \"testing\"\n\n"

func red(names ...string) string {
	text := head
	for _, name := range names {
		text += "func " + name + "(t *testing.T) { t.Error() }\n"
	}
	return text
}

// run plays the test command on a module of these files, among what the command wants to find.
func run(t *testing.T, lines string, files map[string]string) (out string, failed bool) {
	dir := t.TempDir()
	all := map[string]string{"go.mod": "module m\n\ngo 1.26\n"}
	for _, name := range []string{"clients", "hosts", "discovery", "node", "bufconn", "consensus", "publisher", "subscriber"} {
		all["internal/"+name+"/x.go"] = "package x\n"
	}
	if lines != "" {
		all["KNOWN-RED.txt"] = lines
	}
	for _, of := range []map[string]string{all, files} {
		for name, text := range of {
			path := filepath.Join(dir, name)
			if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
	cmd := exec.Command("bash", "../../.ci/test", dir)
	cmd.Env = append(os.Environ(), "GOFLAGS=", "GOWORK=off")
	text, err := cmd.CombinedOutput()
	return string(text), err != nil
}

var failing = regexp.MustCompile(`(?m)^ *--- FAIL: (\S+)|^FAIL\t(\S+)`)

// TestPassesOverOnlyNamed: exactly the tests of KNOWN-RED.txt are passed over, and printed.
func TestPassesOverOnlyNamed(t *testing.T) {
	const line = "a TestRed | go test ./a -run TestRed, seed 1 | breaks | issue 1\n"
	const race = "internal/bufconn TestRed | go test ./internal/bufconn -run TestRed -race, seed none | breaks | issue 2"
	for _, c := range []struct {
		name, lines string
		files       map[string]string
		fails       []string // tests, and their packages after them
	}{
		{"none named", "# words\n\n", map[string]string{"a/x_test.go": red("TestRed")}, []string{"TestRed", "m/a"}},
		{"three named, last line open", "# words\n" + line + "a TestOther | go test ./a -run TestOther, seed 7 | breaks too | issue 1\n" + race, map[string]string{
			"a/x_test.go":                red("TestRed", "TestOther"),
			"internal/bufconn/x_test.go": red("TestRed")}, nil},
		{"namesakes", line, map[string]string{
			"a/x_test.go":   red("TestRed", "TestRedder", "TestRe") + "func TestSub(t *testing.T) { t.Run(\"TestRed\", TestRed) }\n",
			"a/b/x_test.go": red("TestRed"), "b/x_test.go": red("TestRed")},
			[]string{"TestRedder", "TestRe", "TestSub", "TestSub/TestRed", "m/a", "TestRed", "m/a/b", "TestRed", "m/b"}},
		{"race", "", map[string]string{"internal/bufconn/x_test.go": "//go:build race\n\n" + red("TestRace")}, []string{"TestRace", "m/internal/bufconn"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, failed := run(t, c.lines, c.files)
			var fails []string
			for _, m := range failing.FindAllStringSubmatch(out, -1) {
				fails = append(fails, m[1]+m[2])
			}
			if !slices.Equal(fails, c.fails) || failed != (c.fails != nil) {
				t.Errorf("failed %v, %q, want %q:\n%s", failed, fails, c.fails, out)
			}
			for l := range strings.Lines(c.lines) {
				if strings.Contains(l, "|") && !strings.Contains(out, "passed over: "+l) {
					t.Errorf("does not print %q", l)
				}
			}
		})
	}
}

// TestRefusesMalformedEntry: lines that are too many, name no test or lack a part fail the run before any test.
func TestRefusesMalformedEntry(t *testing.T) {
	const line = "a TestRed | go test ./a -run TestRed, seed 1 | breaks | issue 1\n"
	files := map[string]string{"a/x_test.go": red("TestRed", "TestOther", "TestThird", "TestFourth")}
	four := line
	for _, other := range []string{"Other", "Third", "Fourth"} {
		four += strings.ReplaceAll(line, "Red", other)
	}
	for lines, says := range map[string]string{
		four:                                    "more than three tests",
		strings.ReplaceAll(line, "Red", "Gone"): "names no test: a TestGone",
		strings.ReplaceAll(line, "Red", "Re"):   "names no test",
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
		if out, failed := run(t, lines, files); !failed || !strings.Contains(out, says) || strings.Contains(out, "--- FAIL") {
			t.Errorf("%q: failed %v, want %q:\n%s", lines, failed, says, out)
		}
	}
}

// TestReadmeNamesCommandOfCI: what CI runs is what the README names.
func TestReadmeNamesCommandOfCI(t *testing.T) {
	for file, line := range map[string]string{"../../.ci/run": "\nbash .ci/test\n", "../../README.md": "\n    bash .ci/test "} {
		if text, err := os.ReadFile(file); err != nil || !strings.Contains(string(text), line) {
			t.Errorf("%s lacks %q: %v", file, line, err)
		}
	}
}
