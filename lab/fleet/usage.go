package fleet

import (
	"fmt"
	"time"

	"github.com/prometheus/procfs"
)

// Usage is what a process has used since its start.
type Usage struct {
	RSS       int           // resident memory now, in bytes
	PeakRSS   int           // highest resident memory so far, in bytes
	CPU       time.Duration // processor time, user and system
	OpenFiles int
}

// procStat reads /proc/PID/stat of the running process.
func (p *Process) procStat() (procfs.ProcStat, error) {
	process, err := procfs.NewProc(p.PID())
	if err != nil {
		return procfs.ProcStat{}, fmt.Errorf("reading the state of %s: %w", p.Name, err)
	}
	return process.Stat()
}

// Usage returns what the running process has used. It fails if the process is down.
func (p *Process) Usage() (Usage, error) {
	usage, err := readUsage(p.PID())
	if err != nil {
		return Usage{}, fmt.Errorf("reading the usage of %s: %w", p.Name, err)
	}
	return usage, nil
}

func readUsage(pid int) (Usage, error) {
	process, err := procfs.NewProc(pid)
	if err != nil {
		return Usage{}, err
	}
	stat, err := process.Stat()
	if err != nil {
		return Usage{}, err
	}
	status, err := process.NewStatus()
	if err != nil {
		return Usage{}, err
	}
	files, err := process.FileDescriptorsLen()
	if err != nil {
		return Usage{}, err
	}
	return Usage{
		RSS:       stat.ResidentMemory(),
		PeakRSS:   int(status.VmHWM),
		CPU:       time.Duration(stat.CPUTime() * float64(time.Second)),
		OpenFiles: files,
	}, nil
}
