package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
)

// deployBuild returns the build command in deploy/balancer.toml, which .ci/run runs, too.
func deployBuild(t *testing.T) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^build = "(.*)".*$`).FindStringSubmatch(string(text))
	if m == nil {
		t.Fatal("deploy/balancer.toml has no build line")
	}
	return m[1]
}

// TestDeployBuildUsesExternalLinker checks that the build command enables cgo and uses the external linker, as the mass
// bench requires, and that CI runs the same command. The program is then linked dynamically against the C library.
func TestDeployBuildUsesExternalLinker(t *testing.T) {
	build := deployBuild(t)
	for _, want := range []string{"CGO_ENABLED=1", "-ldflags=-linkmode=external", "./cmd/..."} {
		if !strings.Contains(build, want) {
			t.Errorf("build line %q lacks %q", build, want)
		}
	}
	ci, err := os.ReadFile("../../.ci/run")
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(ci), `sed -n 's/^build = "\(.*\)".*$/\1/p' deploy/balancer.toml`) {
		t.Error(".ci/run does not run the build line of deploy/balancer.toml")
	}
}

// TestDeployBuildIsDynamicallyLinked builds the gateway with the flags of the deploy file. The binary must name the
// system's dynamic loader and need the C library.
func TestDeployBuildIsDynamicallyLinked(t *testing.T) {
	if testing.Short() {
		t.Skip("builds the program")
	}
	if _, err := exec.LookPath("gcc"); err != nil {
		t.Skip("no C compiler here: the deploy build cannot run either")
	}
	flags := regexp.MustCompile(`-ldflags=\S+`).FindString(deployBuild(t))
	out := filepath.Join(t.TempDir(), "ravensill")
	cmd := exec.Command("go", "build", flags, "-o", out, ".")
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if text, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("go build %s: %v\n%s", flags, err, text)
	}
	f, err := elf.Open(out)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if !slices.ContainsFunc(f.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("no program interpreter: the binary is linked statically")
	}
	libs, err := f.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libs, func(l string) bool { return strings.HasPrefix(l, "libc.so") }) {
		t.Errorf("needed libraries %v lack libc", libs)
	}
}

// TestGatewayStartsNoOtherProgram guards against imports that could start another program: the mass bench requires that
// the gateway starts none.
func TestGatewayStartsNoOtherProgram(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", ".").Output()
	if err != nil {
		t.Fatal(err)
	}
	for _, dep := range strings.Fields(string(out)) {
		if dep == "os/exec" || dep == "plugin" {
			t.Errorf("the gateway imports %s", dep)
		}
	}
}
