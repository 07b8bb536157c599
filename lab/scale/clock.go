package scale

import (
	"slices"

	"golang.org/x/sys/unix"
)

// Work names a kind of work of a gateway whose processor time is measured apart.
type Work int

// Kinds of work.
const (
	Start Work = iota // from reading the configuration file up to the first list's end
	Tick
	Message      // one received
	Arrival      // a request, up to its decision
	Answer       // of a host
	Membership   // a change of the host list
	Reconfigured // a change of the configuration
	works
)

// Processor measures the processor time of work, by the clock of the calling thread (clock_gettime, thread CPU time),
// so that neither other processes nor the collector's own threads count. The caller is locked to its thread.
type Processor struct {
	overhead int64 // nanoseconds that reading the clock twice adds
	spent    [works][]int64
}

// calibrations are how often the clock is read to learn what reading it takes.
const calibrations = 1001

// NewProcessor learns what the measurement itself takes.
func NewProcessor() *Processor {
	p := &Processor{}
	var reads []int64
	for range calibrations {
		reads = append(reads, threadTime(func() {}))
	}
	slices.Sort(reads)
	p.overhead = reads[len(reads)/2]
	return p
}

// Measure does some work and gives its processor time in nanoseconds.
func (p *Processor) Measure(kind Work, work func()) int64 {
	took := max(threadTime(work)-p.overhead, 0)
	p.spent[kind] = append(p.spent[kind], took)
	return took
}

// Reset forgets what was measured.
func (p *Processor) Reset() { p.spent = [works][]int64{} }

// Total is the processor time of a kind of work, in nanoseconds, and how often it was done.
func (p *Processor) Total(kind Work) (total int64, times int) {
	for _, one := range p.spent[kind] {
		total += one
	}
	return total, len(p.spent[kind])
}

// Sum is the processor time of several kinds of work.
func (p *Processor) Sum(kinds ...Work) (total int64) {
	for _, kind := range kinds {
		one, _ := p.Total(kind)
		total += one
	}
	return total
}

// Least is the least processor time that some work took, in nanoseconds; 0 where none was done.
func (p *Processor) Least(kind Work) int64 {
	if len(p.spent[kind]) == 0 {
		return 0
	}
	return slices.Min(p.spent[kind])
}

// Mean is the mean processor time of a kind of work in nanoseconds; 0 where none was done.
func (p *Processor) Mean(kind Work) float64 {
	total, times := p.Total(kind)
	return float64(total) / float64(max(times, 1))
}

func threadTime(work func()) int64 {
	var before, after unix.Timespec
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &before)
	work()
	unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &after)
	return after.Nano() - before.Nano()
}
