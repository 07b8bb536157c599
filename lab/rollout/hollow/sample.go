package hollow

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"ravensill/lab/fleet"
)

// sample is the state of all counters at one time.
type sample struct {
	at         time.Time
	processor  time.Duration // of this process: the followers, and the little that the measurement takes
	followers  Totals
	publishers []publisherSample
}

// publisherSample is that of one publisher.
type publisherSample struct {
	fleet.Usage
	bytesIn  int64 // from followers
	bytesOut int64 // to followers
}

// processorTime returns the processor time of this process since its start.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), err
}

// sample reads all counters.
func (g *Group) sample(ctx context.Context) (s sample, err error) {
	s.at = time.Now()
	s.processor, err = processorTime()
	if err != nil {
		return s, err
	}
	s.followers = g.Fleet.Totals()
	for i := range g.Publishers.Count() {
		usage, err := g.Publishers.Process(i).Usage()
		if err != nil {
			return s, err
		}
		s.publishers = append(s.publishers, publisherSample{Usage: usage})
	}
	for i := range s.publishers {
		status, err := g.Publishers.Status(ctx, i)
		if err != nil {
			return s, err
		}
		s.publishers[i].bytesIn = status.Counters.BytesIn
		s.publishers[i].bytesOut = status.Counters.BytesOut
	}
	return s, nil
}

// window is what happened between two samples.
type window struct {
	Seconds            float64
	Processor          float64 // seconds, all followers
	BytesIn            float64 // all followers
	BytesOut           float64
	Accepted           float64 // versions put in force, all followers
	Deferred           float64
	PublisherProcessor float64 // seconds, all publishers
	PublisherBytesOut  float64 // to followers, all publishers
	PublisherMemory    float64 // resident bytes at the end, of the publisher with most
}

// newWindow returns what happened between two samples.
func newWindow(from, to sample) (w window) {
	w.Seconds = to.at.Sub(from.at).Seconds()
	w.Processor = (to.processor - from.processor).Seconds()
	w.BytesIn = float64(to.followers.BytesIn - from.followers.BytesIn)
	w.BytesOut = float64(to.followers.BytesOut - from.followers.BytesOut)
	w.Accepted = float64(to.followers.AcceptedVersions - from.followers.AcceptedVersions)
	w.Deferred = float64(to.followers.DeferredSnapshots - from.followers.DeferredSnapshots)
	for i := range to.publishers {
		w.PublisherProcessor += (to.publishers[i].CPU - from.publishers[i].CPU).Seconds()
		w.PublisherBytesOut += float64(to.publishers[i].bytesOut - from.publishers[i].bytesOut)
		w.PublisherMemory = max(w.PublisherMemory, float64(to.publishers[i].RSS))
	}
	return w
}

// measure returns what happens during a function. The cost of the samples themselves is left out where possible: the
// publishers' status is requested after the processor times are read.
func (g *Group) measure(ctx context.Context, do func() error) (w window, err error) {
	_, err = g.sample(ctx) // so that what it costs the publishers is not in the window
	if err != nil {
		return w, err
	}
	from, err := g.sample(ctx)
	if err != nil {
		return w, err
	}
	err = do()
	if err != nil {
		return w, err
	}
	to, err := g.sample(ctx)
	return newWindow(from, to), err
}

// memory returns the live bytes of heap and stacks of this process, after a collection.
func memory() (heap, stacks float64) {
	runtime.GC()
	runtime.GC() // what had a finalizer or stood in a pool goes with the second
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc), float64(stats.StackInuse)
}
