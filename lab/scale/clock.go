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
	WorkStart         WorkKind = iota // from reading the configuration file to processing the initial host list
	WorkTimer                         // a timer that fired
	WorkMessage                       // a gossip message received
	WorkRequest                       // a request, from its arrival to the decision
	WorkAnswer                        // an answer of a host
	WorkHostList                      // a change of the host list
	WorkConfiguration                 // a change of the configuration
	workKindCount
)

// CPUMeter measures the processor time of work, separately by kind. It reads the CPU clock of the calling thread, so
// that other processes and the threads of the garbage collector do not count. The calling goroutine must be locked to
// its thread.
type CPUMeter struct {
	overhead  time.Duration // median processor time of measuring an empty function
	durations [workKindCount][]time.Duration
}

// calibrationReads is the number of measurements of an empty function from which the overhead is determined.
const calibrationReads = 1001

// NewCPUMeter returns a meter that subtracts the overhead of the measurement itself, which it determines first.
func NewCPUMeter() *CPUMeter {
	m := &CPUMeter{}
	var reads []time.Duration
	for range calibrationReads {
		reads = append(reads, threadCPUTime(func() {}))
	}
	slices.Sort(reads)
	m.overhead = reads[len(reads)/2]
	return m
}

// Measure runs work, records its processor time under kind and returns it.
func (m *CPUMeter) Measure(kind WorkKind, work func()) time.Duration {
	took := max(threadCPUTime(work)-m.overhead, 0)
	m.durations[kind] = append(m.durations[kind], took)
	return took
}

// Reset discards all recorded times.
func (m *CPUMeter) Reset() { m.durations = [workKindCount][]time.Duration{} }

// Total returns the total processor time recorded for a kind of work, and the number of measurements.
func (m *CPUMeter) Total(kind WorkKind) (total time.Duration, count int) {
	for _, duration := range m.durations[kind] {
		total += duration
	}
	return total, len(m.durations[kind])
}

// Sum returns the total processor time recorded for several kinds of work.
func (m *CPUMeter) Sum(kinds ...WorkKind) (total time.Duration) {
	for _, kind := range kinds {
		subtotal, _ := m.Total(kind)
		total += subtotal
	}
	return total
}

// Min returns the shortest processor time recorded for a kind of work; 0 if there is none.
func (m *CPUMeter) Min(kind WorkKind) time.Duration {
	if len(m.durations[kind]) == 0 {
		return 0
	}
	return slices.Min(m.durations[kind])
}

// Mean returns the mean processor time recorded for a kind of work, in nanoseconds; 0 if there is none.
func (m *CPUMeter) Mean(kind WorkKind) float64 {
	total, count := m.Total(kind)
	return float64(total) / float64(max(count, 1))
}

// threadCPUTime runs work and returns the processor time that the calling thread spent in it.
func threadCPUTime(work func()) time.Duration {
	var before, after unix.Timespec
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &before)
	work()
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &after)
	return time.Duration(after.Nano() - before.Nano())
}
