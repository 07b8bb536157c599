package scale

import (
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// WorkKind is a kind of work of a gateway whose processor time is measured separately.
type WorkKind int

// Kinds of work.
const (
	WorkStart WorkKind = iota // from reading the configuration file up to the first list's end
	WorkTimer
	WorkMessage       // one received
	WorkRequest       // a request, up to its decision
	WorkAnswer        // of a host
	WorkHostList      // a change of the host list
	WorkConfiguration // a change of the configuration
	workKinds
)

// CPUMeter measures the processor time of work by the clock of the calling thread (clock_gettime, thread CPU time),
// so that neither other processes nor the garbage collector's threads count. The caller is locked to its thread.
type CPUMeter struct {
	overhead  time.Duration // that reading the clock twice adds
	durations [workKinds][]time.Duration
}

// calibrations is how often the clock is read to measure what reading it takes.
const calibrations = 1001

// NewCPUMeter returns a meter that subtracts what the measurement itself takes.
func NewCPUMeter() *CPUMeter {
	p := &CPUMeter{}
	var reads []time.Duration
	for range calibrations {
		reads = append(reads, threadTime(func() {}))
	}
	slices.Sort(reads)
	p.overhead = reads[len(reads)/2]
	return p
}

// Measure does some work and returns its processor time.
func (p *CPUMeter) Measure(kind WorkKind, work func()) time.Duration {
	took := max(threadTime(work)-p.overhead, 0)
	p.durations[kind] = append(p.durations[kind], took)
	return took
}

// Reset drops what was measured.
func (p *CPUMeter) Reset() { p.durations = [workKinds][]time.Duration{} }

// Total returns the processor time of a kind of work, and how often it was done.
func (p *CPUMeter) Total(kind WorkKind) (total time.Duration, times int) {
	for _, one := range p.durations[kind] {
		total += one
	}
	return total, len(p.durations[kind])
}

// Sum returns the processor time of several kinds of work.
func (p *CPUMeter) Sum(kinds ...WorkKind) (total time.Duration) {
	for _, kind := range kinds {
		one, _ := p.Total(kind)
		total += one
	}
	return total
}

// Min returns the least processor time of a kind of work; 0 if none was done.
func (p *CPUMeter) Min(kind WorkKind) time.Duration {
	if len(p.durations[kind]) == 0 {
		return 0
	}
	return slices.Min(p.durations[kind])
}

// Mean returns the mean processor time of a kind of work, in nanoseconds; 0 if none was done.
func (p *CPUMeter) Mean(kind WorkKind) float64 {
	total, times := p.Total(kind)
	return float64(total) / float64(max(times, 1))
}

// threadTime returns the processor time of the calling thread during some work.
func threadTime(work func()) time.Duration {
	var before, after unix.Timespec
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &before)
	work()
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &after)
	return time.Duration(after.Nano() - before.Nano())
}
