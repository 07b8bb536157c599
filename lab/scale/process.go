package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
)

// Greeting is the first message that a process of hollow gateways writes, once all of them have started.
type Greeting struct {
	IdleHeap uint64 // bytes of the live heap before the first gateway started
	Gateways []ListenAddress
}

// ListenAddress is the datagram address of a hollow gateway.
type ListenAddress struct {
	Index   int // member index
	Address string
}

// Query asks a process of hollow gateways for its Status.
type Query struct {
	Load *Load // if not nil, the load at each gateway from now on
	Heap bool  // whether to measure the live heap
}

// Status is the answer to a Query.
type Status struct {
	Counts   []Counts // in the order of the configuration files
	LiveHeap uint64   // bytes; 0 if not asked for
}

// LiveHeapBytes collects garbage and returns the size of the live heap.
func LiveHeapBytes() uint64 {
	live, _ := collectedHeap()
	return live
}

// hollowProcess is a running process of hollow gateways, as seen by the process that started it.
type hollowProcess struct {
	Greeting
	command *exec.Cmd
	stdin   io.Closer // the process ends when this is closed
	queries *json.Encoder
	answers *json.Decoder
}

// startHollow starts a process with one hollow gateway for each configuration file and reads its greeting.
func startHollow(binary string, files []string) (*hollowProcess, error) {
	p := &hollowProcess{command: exec.Command(binary, files...)}
	p.command.Stderr = os.Stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends the process if the test is killed
	stdin, err := p.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	p.stdin, p.queries, p.answers = stdin, json.NewEncoder(stdin), json.NewDecoder(stdout)
	if err := p.answers.Decode(&p.Greeting); err != nil {
		p.close()
		return nil, fmt.Errorf("reading the greeting of a hollow gateway process: %w", err)
	}
	return p, nil
}

// close closes the standard input of the process and waits until it has exited.
func (p *hollowProcess) close() {
	p.stdin.Close()
	p.command.Wait()
}

// send sends a query and waits for the answer.
func (p *hollowProcess) send(query Query) (status Status, err error) {
	if err := p.queries.Encode(query); err != nil {
		return status, err
	}
	err = p.answers.Decode(&status)
	return status, err
}

// cpuTime returns the processor time that the process has used since its start.
func (p *hollowProcess) cpuTime() (time.Duration, error) {
	process, err := procfs.NewProc(p.command.Process.Pid)
	if err != nil {
		return 0, err
	}
	stat, err := process.Stat()
	return time.Duration(stat.CPUTime() * float64(time.Second)), err
}

// buildHollow builds the command that runs hollow gateways into a directory and returns its path.
func buildHollow(directory string) (string, error) {
	return build(directory, "hollow", "ravensill/lab/scale/hollow")
}

// buildProgram builds the gateway program into a directory and returns its path. It adds a source file that logs the
// live heap when the process receives SIGUSR1.
func buildProgram(directory string) (string, error) {
	_, sourceFile, _, _ := runtime.Caller(0)
	packageFolder := filepath.Dir(sourceFile)
	addedFile := filepath.Join(packageFolder, "..", "..", "cmd", "ravensill", "heap_report.go")
	overlay := map[string]map[string]string{
		"Replace": {addedFile: filepath.Join(packageFolder, "testdata", "heap_report.go")},
	}
	text, err := json.Marshal(overlay)
	if err != nil {
		return "", err
	}
	file := filepath.Join(directory, "overlay.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return "", err
	}
	return build(directory, "ravensill", "ravensill/cmd/ravensill", "-overlay", file)
}

// build builds a command into a directory and returns its path.
func build(directory, name, path string, flags ...string) (string, error) {
	binary := filepath.Join(directory, name)
	arguments := append(append([]string{"build"}, flags...), "-o", binary, path)
	if out, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w: %s", path, err, out)
	}
	return binary, nil
}
