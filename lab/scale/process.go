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

// Greeting is what a process of hollow gateways writes first.
type Greeting struct {
	IdleHeap uint64 // bytes live before any gateway was started
	Gateways []ListenAddress
}

// ListenAddress is where a gateway listens for datagrams.
type ListenAddress struct {
	Index   int
	Address string
}

// Query asks a process of hollow gateways for its status, and may change the load before.
type Query struct {
	Load *Load
	Heap bool
}

// Status is the answer to a Query.
type Status struct {
	Counts   []Counts // in the order of the configuration files
	LiveHeap uint64   // bytes, where asked for
}

// LiveHeapBytes returns the live bytes after a collection.
func LiveHeapBytes() uint64 {
	live, _ := heap()
	return live
}

// hollowProcess is a process of hollow gateways as its parent sees it.
type hollowProcess struct {
	Greeting
	command *exec.Cmd
	orders  io.Closer
	out     *json.Encoder
	in      *json.Decoder
}

// startHollow starts a process of hollow gateways, one for each configuration file.
func startHollow(binary string, files []string) (*hollowProcess, error) {
	p := &hollowProcess{command: exec.Command(binary, files...)}
	p.command.Stderr = os.Stderr
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // should the test itself be killed
	orders, err := p.command.StdinPipe()
	if err != nil {
		return nil, err
	}
	answers, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	p.orders, p.out, p.in = orders, json.NewEncoder(orders), json.NewDecoder(answers)
	if err := p.in.Decode(&p.Greeting); err != nil {
		p.close()
		return nil, fmt.Errorf("process of hollow gateways: %w", err)
	}
	return p, nil
}

// close ends the process and waits for it.
func (p *hollowProcess) close() {
	p.orders.Close()
	p.command.Wait()
}

// send sends a query and returns the answer.
func (p *hollowProcess) send(order Query) (state Status, err error) {
	if err := p.out.Encode(order); err != nil {
		return state, err
	}
	err = p.in.Decode(&state)
	return state, err
}

// processorTime returns the processor time of the process since its start.
func (p *hollowProcess) processorTime() (time.Duration, error) {
	process, err := procfs.NewProc(p.command.Process.Pid)
	if err != nil {
		return 0, err
	}
	stat, err := process.Stat()
	return time.Duration(stat.CPUTime() * float64(time.Second)), err
}

// buildHollow builds the command of hollow gateways into a folder and returns its path.
func buildHollow(directory string) (string, error) {
	return build(directory, "hollow", "ravensill/lab/scale/hollow")
}

// buildProgram builds the gateway into a folder and returns its path. One file is added, which logs the live heap
// when the process receives SIGUSR1.
func buildProgram(directory string) (string, error) {
	_, here, _, _ := runtime.Caller(0)
	folder := filepath.Dir(here)
	more := filepath.Join(folder, "..", "..", "cmd", "ravensill", "heap_report.go")
	overlay := map[string]map[string]string{"Replace": {more: filepath.Join(folder, "testdata", "heap_report.go")}}
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

// build builds a command into a folder and returns its path.
func build(directory, name, path string, flags ...string) (string, error) {
	binary := filepath.Join(directory, name)
	arguments := append(append([]string{"build"}, flags...), "-o", binary, path)
	if out, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w: %s", path, err, out)
	}
	return binary, nil
}
