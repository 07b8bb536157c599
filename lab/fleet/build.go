package fleet

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// Program is a command of this module that is built once a test process.
type Program struct {
	importPath string
	once       sync.Once
	path       string
	err        error
}

// NewProgram returns the program with an import path.
func NewProgram(importPath string) *Program { return &Program{importPath: importPath} }

var (
	gatewayProgram = NewProgram("ravensill/cmd/ravensill")
	faultyProgram  = NewProgram("ravensill/lab/faultygateway")
)

// Build builds the program, if that is not done yet, and returns its path.
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

// GatewayBinary returns the path of the gateway, built once a test process. RAVENSILL_BINARY names another program instead.
func GatewayBinary() (string, error) {
	if path := os.Getenv("RAVENSILL_BINARY"); path != "" {
		return path, nil
	}
	return gatewayProgram.Build()
}

// FaultyGatewayBinary returns the path of the gateway whose system calls fail by chance, built once a test process.
func FaultyGatewayBinary() (string, error) { return faultyProgram.Build() }
