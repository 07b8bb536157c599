package fleet

import (
	"fmt"
	"time"

	"github.com/prometheus/procfs"
)

// Usage is what a process has used since its start.
type Usage struct {
	RSS       int           // bytes in memory now
	PeakRSS   int           // most bytes in memory
	CPU       time.Duration // user and system
	OpenFiles int
}

// stat reads the state of the running process.
func (p *Process) stat() (procfs.ProcStat, error) {
	process, err := procfs.NewProc(p.PID())
	if err != nil {
		return procfs.ProcStat{}, fmt.Errorf("state of %s: %w", p.Name, err)
	}
	return process.Stat()
}

// Usage returns what the running process has used.
func (p *Process) Usage() (Usage, error) {
	usage, err := readUsage(p.PID())
	if err != nil {
		return Usage{}, fmt.Errorf("usage of %s: %w", p.Name, err)
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
