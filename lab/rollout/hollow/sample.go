package hollow

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"ravensill/lab/fleet"
)

// sample holds the values of all counters at one time.
type sample struct {
	at         time.Time
	cpuTime    time.Duration // of this process: the followers and, to a small part, the measurement itself
	followers  Totals
	publishers []publisherSample
}

// publisherSample holds the resource usage and byte counters of one publisher.
type publisherSample struct {
	fleet.Usage
	bytesIn  int64 // from followers
	bytesOut int64 // to followers
}

// processCPUTime returns the processor time that this process has used since its start.
func processCPUTime() (time.Duration, error) {
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), err
}

// sample reads all counters.
func (g *Group) sample(ctx context.Context) (s sample, err error) {
	s.at = time.Now()
	s.cpuTime, err = processCPUTime()
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

// window holds what happened between two samples.
type window struct {
	Seconds             float64
	CPUSeconds          float64 // all followers
	BytesIn             float64 // received by all followers
	BytesOut            float64 // sent by all followers
	AcceptedVersions    float64 // versions that came in force, all followers
	DeferredSnapshots   float64 // all followers
	PublisherCPUSeconds float64 // all publishers
	PublisherBytesOut   float64 // sent to followers by all publishers
	PublisherMemory     float64 // resident bytes at the end, of the publisher that uses the most
}

// newWindow returns what happened between two samples.
func newWindow(from, to sample) (w window) {
	w.Seconds = to.at.Sub(from.at).Seconds()
	w.CPUSeconds = (to.cpuTime - from.cpuTime).Seconds()
	w.BytesIn = float64(to.followers.BytesIn - from.followers.BytesIn)
	w.BytesOut = float64(to.followers.BytesOut - from.followers.BytesOut)
	w.AcceptedVersions = float64(to.followers.AcceptedVersions - from.followers.AcceptedVersions)
	w.DeferredSnapshots = float64(to.followers.DeferredSnapshots - from.followers.DeferredSnapshots)
	for i := range to.publishers {
		w.PublisherCPUSeconds += (to.publishers[i].CPU - from.publishers[i].CPU).Seconds()
		w.PublisherBytesOut += float64(to.publishers[i].bytesOut - from.publishers[i].bytesOut)
		w.PublisherMemory = max(w.PublisherMemory, float64(to.publishers[i].RSS))
	}
	return w
}

// measure returns what happens while fn runs. The publishers' status is requested after the processor times are read,
// so that the requests of the second sample are not counted.
func (g *Group) measure(ctx context.Context, fn func() error) (w window, err error) {
	_, err = g.sample(ctx) // its cost to the publishers must not fall into the window, so sample once before
	if err != nil {
		return w, err
	}
	from, err := g.sample(ctx)
	if err != nil {
		return w, err
	}
	err = fn()
	if err != nil {
		return w, err
	}
	to, err := g.sample(ctx)
	return newWindow(from, to), err
}

// liveMemory returns the bytes of live heap objects and of stacks in this process, after a garbage collection.
func liveMemory() (heap, stacks float64) {
	runtime.GC()
	runtime.GC() // the second collection frees objects that had finalizers or were in a sync.Pool
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc), float64(stats.StackInuse)
}
