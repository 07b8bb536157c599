// Package startcost measures what the size of a configuration costs one process of the program: the time until it
// serves, processor time, memory, and its share of a core at rest.
package startcost

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/prometheus/procfs"

	"ravensill/lab/emulator"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/logline"
)

// Axis is what a configuration has many of, all else being small.
type Axis string

// Axes.
const (
	QuotaPlans      Axis = "quota plans"
	ConfiguredHosts Axis = "hosts"           // in the configuration's own list; discovery's agent is absent
	DiscoveredHosts Axis = "hosts delivered" // by discovery's agent, which is there; none in the configuration
)

// Size is one point of an axis.
type Size struct {
	Axis      Axis
	Count     int
	FleetSize int // gateways of the fleet: one among many uses a small subset of the hosts
	MemoryMB  int // limits.memory_mb; 0: the program's default
}

// Cost is what one process took.
type Cost struct {
	Size
	FileBytes         int
	TimeToServe       time.Duration // from the call of exec to the log line by which it serves
	StartCPU          time.Duration // processor time until that line
	ResidentBytes     uint64        // bytes at rest
	PeakResidentBytes uint64        // most bytes
	IdleCPU           float64       // fraction of a core
	ReloadCPU         time.Duration // processor time of a SIGHUP, until the log line by which the file was read
}

// ErrProcessExited is the error of a process that ended before it did what was waited for.
var ErrProcessExited = errors.New("the process ended")

const agentNetwork = 55 // of the agent's address, within 127.0.0.0/8

// Measure starts a program with a configuration of one size and returns its cost. rest is how long it is measured at
// rest.
func Measure(ctx context.Context, binary string, size Size, rest time.Duration) (cost Cost, err error) {
	cost.Size = size
	folder, err := os.MkdirTemp("", "ravensill-startcost-")
	if err != nil {
		return cost, err
	}
	defer os.RemoveAll(folder)
	discovery := "127.0.0.1:1" // nobody listens there
	if size.Axis == DiscoveredHosts {
		agent, err := emulator.NewAgent(agentNetwork, 1, entries(size.Count)...)
		if err != nil {
			return cost, err
		}
		defer agent.Close()
		discovery = agent.Addr(0)
	}
	file := filepath.Join(folder, "config.json")
	gateway, err := configuration(size, discovery)
	if err != nil {
		return cost, err
	}
	text, err := json.Marshal(gateway)
	if err != nil {
		return cost, err
	}
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return cost, err
	}
	cost.FileBytes = len(text)
	p, err := launch(ctx, binary, file)
	if err != nil {
		return cost, err
	}
	defer p.kill()
	return cost, p.measure(ctx, &cost, rest)
}

// measure measures the cost of a process that was just launched.
func (p *process) measure(ctx context.Context, cost *Cost, rest time.Duration) error {
	line, err := p.line(ctx, "event=serving ")
	if err != nil {
		return err
	}
	cost.TimeToServe = time.Since(p.began)
	if cost.Axis != QuotaPlans && logline.Int(line, "hosts") != cost.Count {
		return fmt.Errorf("not all of %d hosts: %s", cost.Count, line)
	}
	if cost.StartCPU, err = p.cpu(); err != nil {
		return err
	}
	if err := p.rest(ctx, cost, rest); err != nil {
		return err
	}
	before, err := p.cpu()
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if _, err := p.line(ctx, "event=reloaded "); err != nil {
		return err
	}
	after, err := p.cpu()
	cost.ReloadCPU = after - before
	return err
}

// rest measures what the process needs while nothing happens.
func (p *process) rest(ctx context.Context, cost *Cost, rest time.Duration) error {
	before, err := p.cpu()
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(rest):
	}
	after, err := p.cpu()
	if err != nil {
		return err
	}
	cost.IdleCPU = (after - before).Seconds() / time.Since(start).Seconds()
	status, err := p.proc.NewStatus()
	cost.ResidentBytes = status.VmRSS
	cost.PeakResidentBytes = status.VmHWM
	return err
}

// process is a running program.
type process struct {
	cmd   *exec.Cmd
	proc  procfs.Proc
	began time.Time
	lines chan string // of the log; closed when the process ends
}

// launch starts a program.
func launch(ctx context.Context, binary, file string) (*process, error) {
	p := &process{cmd: exec.CommandContext(ctx, binary), lines: make(chan string, 64)}
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+file)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p.began = time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { // ends with the process, and kill waits for it
		defer close(p.lines)
		scanner := bufio.NewScanner(log)
		for scanner.Scan() {
			p.lines <- scanner.Text()
		}
	}()
	p.proc, err = procfs.NewProc(p.cmd.Process.Pid)
	if err != nil {
		p.kill()
		return nil, err
	}
	return p, nil
}

// line waits for a line of the log that contains a text.
func (p *process) line(ctx context.Context, text string) (string, error) {
	for {
		select {
		case <-ctx.Done():
			return "", ctx.Err()
		case line, ok := <-p.lines:
			if !ok {
				return "", ErrProcessExited
			}
			if strings.Contains(line, text) {
				return line, nil
			}
		}
	}
}

// cpu returns the processor time of all threads so far.
func (p *process) cpu() (time.Duration, error) {
	stat, err := p.proc.Stat()
	return time.Duration(stat.CPUTime() * float64(time.Second)), err
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Kill()
	for range p.lines {
	}
	p.cmd.Wait()
}

// configuration returns that of a gateway by itself, with as many of what the axis names as the size says.
func configuration(size Size, discovery string) (*gatewayconfig.File, error) {
	plans := 1
	list := hostList{Full: true, Servers: []emulator.HostEntry{}, Version: 1}
	switch size.Axis {
	case QuotaPlans:
		plans = size.Count
		list.Servers = entries(fewHosts)
	case ConfiguredHosts:
		list.Servers = entries(size.Count)
	case DiscoveredHosts:
		list.Version = 0
	}
	known, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("host list: %w", err)
	}
	return &gatewayconfig.File{
		Resources: gatewayconfig.Resources{MemoryMB: size.MemoryMB},
		Listen:    "127.0.0.1:0",
		Discovery: discovery,
		Known:     known,
		Settings: gatewayconfig.Settings{
			Gateways:     size.FleetSize,
			Zones:        []string{"a"},
			MachineTypes: []string{"m"},
			Limits: gatewayconfig.Limits{
				RuntimeLimits: gatewayconfig.RuntimeLimits{MaxAttempts: 3, RetryAfter: true},
			},
			Classes: []gatewayconfig.Class{{
				Name:        "lookup",
				Effect:      gatewayconfig.Idempotent,
				ObjectiveUS: (600 * time.Millisecond).Microseconds(),
				TimeoutUS:   (2500 * time.Millisecond).Microseconds(),
				Value:       1,
			}},
			QuotaPlans: quotaPlans(plans),
		},
	}, nil
}

// fewHosts are the hosts of a configuration that has many of something else.
const fewHosts = 2

// hostList is a host list as discovery's agent sends it.
type hostList struct {
	Full    bool                 `json:"full"`
	Servers []emulator.HostEntry `json:"servers"`
	Version int                  `json:"version"`
}

// quotaPlans returns a number of quota plans.
func quotaPlans(count int) (plans []gatewayconfig.QuotaPlan) {
	for i := range count {
		plans = append(plans, gatewayconfig.QuotaPlan{
			Name:           fmt.Sprintf("tenant-%05d", i),
			Rate:           10,
			Burst:          20,
			PriorityWeight: 1,
		})
	}
	return plans
}

// entries returns a number of hosts of a host list.
func entries(count int) (hosts []emulator.HostEntry) {
	for i := range count {
		hosts = append(hosts, emulator.HostEntry{
			ID:     fmt.Sprintf("s-%05d", i),
			Addr:   fmt.Sprintf("10.%d.%d.%d:6380", i>>16, i>>8&255, i&255),
			Zone:   "a",
			Kind:   "m",
			Cell:   i % 4,
			State:  emulator.Active,
			Weight: 1,
		})
	}
	return hosts
}
