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

// Started is what a process of hollow gateways writes first.
type Started struct {
	IdleHeap uint64 // bytes live before any gateway was started
	Gateways []Listening
}

// Listening tells where a gateway listens for datagrams.
type Listening struct {
	Index   int
	Address string
}

// Order asks a process of hollow gateways for its state, and may change the load before.
type Order struct {
	Load *Load
	Heap bool
}

// State is the answer to an Order.
type State struct {
	Counts   []Counts // in the order of the configuration files
	LiveHeap uint64   // bytes, where asked for
}

// HeapInUse gives the bytes live after a collection.
func HeapInUse() uint64 {
	live, _ := heap()
	return live
}

// hollowProcess is a process of hollow gateways as its parent sees it.
type hollowProcess struct {
	Started
	command *exec.Cmd
	orders  io.Closer
	out     *json.Encoder
	in      *json.Decoder
}

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
	if err := p.in.Decode(&p.Started); err != nil {
		p.close()
		return nil, fmt.Errorf("process of hollow gateways: %w", err)
	}
	return p, nil
}

func (p *hollowProcess) close() {
	p.orders.Close()
	p.command.Wait()
}

func (p *hollowProcess) ask(order Order) (state State, err error) {
	if err := p.out.Encode(order); err != nil {
		return state, err
	}
	err = p.in.Decode(&state)
	return state, err
}

// processorTime is what the process has used since its start.
func (p *hollowProcess) processorTime() (time.Duration, error) {
	process, err := procfs.NewProc(p.command.Process.Pid)
	if err != nil {
		return 0, err
	}
	stat, err := process.Stat()
	return time.Duration(stat.CPUTime() * float64(time.Second)), err
}

// buildHollow builds the command of hollow gateways into a folder.
func buildHollow(directory string) (string, error) {
	return build(directory, "hollow", "ravensill/lab/scale/hollow")
}

// buildProgram builds the program into a folder with one file more, which writes the live heap to the log when the process
// gets SIGUSR1. The program's own files are as they are.
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

func build(directory, name, path string, flags ...string) (string, error) {
	binary := filepath.Join(directory, name)
	arguments := append(append([]string{"build"}, flags...), "-o", binary, path)
	if out, err := exec.Command("go", arguments...).CombinedOutput(); err != nil {
		return "", fmt.Errorf("building %s: %w: %s", path, err, out)
	}
	return binary, nil
}
