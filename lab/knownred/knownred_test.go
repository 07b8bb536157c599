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

func TestPassesOverOnlyNamed(t *testing.T) {
	const line, race = "a TestRed | breaks | issue 1\n", "internal/bufconn TestRed | breaks | issue 2"
	for _, c := range []struct {
		name, lines string
		files       map[string]string
		fails       []string // tests, and their packages after them
	}{
		{"none named", "# words\n\n", map[string]string{"a/x_test.go": red("TestRed")}, []string{"TestRed", "m/a"}},
		{"three named, last line open", "# words\n" + line + "a TestOther | breaks too | issue 1\n" + race, map[string]string{
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

// Lines that are too many, name no test or can't be made out fail the run before any test.
func TestRefuses(t *testing.T) {
	const line = "a TestRed | breaks | issue 1\n"
	files := map[string]string{"a/x_test.go": red("TestRed", "TestOther", "TestThird", "TestFourth")}
	for lines, says := range map[string]string{
		line + strings.ReplaceAll(line, "Red", "Other") + strings.ReplaceAll(line, "Red", "Third") + strings.ReplaceAll(line, "Red", "Fourth"): "more than three tests",
		line + "a TestGone | c | issue 1\n":         "names no test: a TestGone",
		"a TestRe | c | issue 1\n":                  "names no test",
		"internal/bufconn TestRed | c | issue 1\n":  "names no test",
		"gone TestRed | c | issue 1\n":              "names no test",
		"a Test.* | c | issue 1\n":                  "not 'package",
		"... TestRed | c | issue 1\n":               "not 'package",
		"a TestRed/x | c | issue 1\n":               "not 'package",
		"a TestRed |  | issue 1\n":                  "not 'package",
		"a TestRed | c\n":                           "not 'package",
		"a TestRed | c | issue\n":                   "not 'package",
		"a TestRed | c | issue 1 and TestOther too": "not 'package",
	} {
		if out, failed := run(t, lines, files); !failed || !strings.Contains(out, says) || strings.Contains(out, "--- FAIL") {
			t.Errorf("%q: failed %v, want %q:\n%s", lines, failed, says, out)
		}
	}
}

// What CI runs is what the README names.
func TestSameCommand(t *testing.T) {
	for file, line := range map[string]string{"../../.ci/run": "\nbash .ci/test\n", "../../README.md": "\n    bash .ci/test "} {
		if text, err := os.ReadFile(file); err != nil || !strings.Contains(string(text), line) {
			t.Errorf("%s lacks %q: %v", file, line, err)
		}
	}
}
