// Package startcost measures how the cost of one gateway process depends on the size of its configuration: the time
// until it serves, processor time, memory, and processor use when idle.
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

// Axis is the part of a configuration whose size is varied. The other parts stay small.
type Axis string

// Axes that Measure accepts.
const (
	QuotaPlans      Axis = "quota plans"
	ConfiguredHosts Axis = "hosts"           // in the host list of the configuration file; no discovery agent runs
	DiscoveredHosts Axis = "hosts delivered" // sent by a running discovery agent; the configuration file lists none
)

// Size is one point of an axis.
type Size struct {
	Axis      Axis
	Count     int
	FleetSize int // gateways in the fleet; a gateway of a large fleet uses only a small subset of the hosts
	MemoryMB  int // limits.memory_mb; 0 means the program's default
}

// Cost holds what one gateway process used at one size.
type Cost struct {
	Size
	FileBytes         int           // size of the configuration file
	TimeToServe       time.Duration // from just before the process was started to its "serving" log line
	StartCPU          time.Duration // processor time up to that log line
	ResidentBytes     uint64        // resident memory at the end of the idle period
	PeakResidentBytes uint64        // largest resident memory since the start of the process
	IdleCPU           float64       // processor time of the idle period, as a fraction of one core
	ReloadCPU         time.Duration // processor time from a SIGHUP to the "reloaded" log line
}

// ErrProcessExited reports that the process exited before it wrote an expected log line.
var ErrProcessExited = errors.New("process exited before the expected log line")

const agentNetwork = 55 // second byte of the loopback addresses of the discovery agent

// Measure starts the program with a configuration of the given size, returns what it cost, and kills the process. It
// leaves the process idle for idleTime to measure memory and idle processor use, then has it reload the configuration.
func Measure(ctx context.Context, binary string, size Size, idleTime time.Duration) (cost Cost, err error) {
	cost.Size = size
	directory, err := os.MkdirTemp("", "ravensill-startcost-")
	if err != nil {
		return cost, err
	}
	defer os.RemoveAll(directory)
	discovery := "127.0.0.1:1" // no process listens there
	if size.Axis == DiscoveredHosts {
		agent, err := emulator.NewAgent(agentNetwork, 1, hostEntries(size.Count)...)
		if err != nil {
			return cost, err
		}
		defer agent.Close()
		discovery = agent.Addr(0)
	}
	file := filepath.Join(directory, "config.json")
	gateway, err := gatewayConfiguration(size, discovery)
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
	return cost, p.measure(ctx, &cost, idleTime)
}

// measure fills in cost from a process that was just launched. It fails if the process does not serve with all hosts.
func (p *process) measure(ctx context.Context, cost *Cost, idleTime time.Duration) error {
	line, err := p.waitLine(ctx, "event=serving ")
	if err != nil {
		return err
	}
	cost.TimeToServe = time.Since(p.startedAt)
	if cost.Axis != QuotaPlans && logline.Int(line, "hosts") != cost.Count {
		return fmt.Errorf("gateway does not serve with all %d hosts: %s", cost.Count, line)
	}
	if cost.StartCPU, err = p.cpuTime(); err != nil {
		return err
	}
	if err := p.measureIdle(ctx, cost, idleTime); err != nil {
		return err
	}
	before, err := p.cpuTime()
	if err != nil {
		return err
	}
	if err := p.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return err
	}
	if _, err := p.waitLine(ctx, "event=reloaded "); err != nil {
		return err
	}
	after, err := p.cpuTime()
	cost.ReloadCPU = after - before
	return err
}

// measureIdle waits for idleTime and measures memory and processor use.
func (p *process) measureIdle(ctx context.Context, cost *Cost, idleTime time.Duration) error {
	before, err := p.cpuTime()
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(idleTime):
	}
	after, err := p.cpuTime()
	if err != nil {
		return err
	}
	cost.IdleCPU = (after - before).Seconds() / time.Since(start).Seconds()
	status, err := p.proc.NewStatus()
	cost.ResidentBytes = status.VmRSS
	cost.PeakResidentBytes = status.VmHWM
	return err
}

// process is a running gateway process.
type process struct {
	cmd       *exec.Cmd
	proc      procfs.Proc
	startedAt time.Time
	lines     chan string // lines of its log; closed when the log ends
}

// launch starts the program with a configuration file. The process is killed when its parent ends, so that it does not
// outlive a killed test.
func launch(ctx context.Context, binary, file string) (*process, error) {
	p := &process{cmd: exec.CommandContext(ctx, binary), lines: make(chan string, 64)}
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+file)
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	log, err := p.cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	p.startedAt = time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { // ends when the process closes its log; kill waits for that
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

// waitLine returns the next log line that contains text, or ErrProcessExited if the log ends first.
func (p *process) waitLine(ctx context.Context, text string) (string, error) {
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

// cpuTime returns the processor time that all threads of the process have used since its start.
func (p *process) cpuTime() (time.Duration, error) {
	stat, err := p.proc.Stat()
	return time.Duration(stat.CPUTime() * float64(time.Second)), err
}

// kill kills the process and waits until it has exited. It drains the log so that the goroutine that reads it can end.
func (p *process) kill() {
	p.cmd.Process.Kill()
	for range p.lines {
	}
	p.cmd.Wait()
}

// gatewayConfiguration returns the configuration of one gateway for a size. discovery is the address of the discovery
// agent.
func gatewayConfiguration(size Size, discovery string) (*gatewayconfig.File, error) {
	plans := 1
	list := hostList{Full: true, Servers: []emulator.HostEntry{}, Version: 1}
	switch size.Axis {
	case QuotaPlans:
		plans = size.Count
		list.Servers = hostEntries(fewHosts)
	case ConfiguredHosts:
		list.Servers = hostEntries(size.Count)
	case DiscoveredHosts:
		list.Version = 0
	}
	known, err := json.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encoding the host list: %w", err)
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

// fewHosts is the number of hosts on axes that do not vary the hosts.
const fewHosts = 2

// hostList is a host list in the encoding of the discovery agent.
type hostList struct {
	Full    bool                 `json:"full"`
	Servers []emulator.HostEntry `json:"servers"`
	Version int                  `json:"version"`
}

// quotaPlans returns count quota plans with distinct names.
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

// hostEntries returns count host list entries with distinct IDs and addresses.
func hostEntries(count int) (hosts []emulator.HostEntry) {
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
