package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Program is a command of this module. It is compiled at most once in a test process; all methods may be called by
// several goroutines at once.
type Program struct {
	importPath string
	once       sync.Once
	path       string
	err        error
}

// NewProgram returns the program with the given import path. Nothing is compiled until Build is called.
func NewProgram(importPath string) *Program { return &Program{importPath: importPath} }

var (
	gatewayProgram = NewProgram("ravensill/cmd/ravensill")
	faultyProgram  = NewProgram("ravensill/lab/faultygateway")
)

// Build compiles the program on the first call and returns the path of the executable file. Later calls return the
// path, or the error, of the first one.
func (p *Program) Build() (string, error) {
	p.once.Do(func() { p.path, p.err = p.build() })
	return p.path, p.err
}

func (p *Program) build() (string, error) {
	dir, err := os.MkdirTemp("", "ravensill-fleet-")
	if err != nil {
		return "", fmt.Errorf("building %s: %w", p.importPath, err)
	}
	path := filepath.Join(dir, filepath.Base(p.importPath))
	output, err := exec.Command("go", "build", "-o", path, p.importPath).CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("building %s: %w: %s", p.importPath, err, output)
	}
	return path, nil
}

// GatewayBinary returns the path of the gateway's executable file, which is compiled once in a test process. If the
// environment variable RAVENSILL_BINARY is set, it returns that path instead and compiles nothing.
func GatewayBinary() (string, error) {
	if path := os.Getenv("RAVENSILL_BINARY"); path != "" {
		return path, nil
	}
	return gatewayProgram.Build()
}

// FaultyGatewayBinary returns the path of the executable file of lab/faultygateway: the gateway whose system calls fail
// at random. It is compiled once in a test process.
func FaultyGatewayBinary() (string, error) { return faultyProgram.Build() }
