package rollout

import (
	"fmt"
	"slices"
	"time"

	"ravensill/lab/fleet"
)

// Latencies holds, for each change and gateway, the time until the change was in force at the gateway. It counts from
// the request for the change, or from the end of the gateway's outage if there was one.
type Latencies []time.Duration

// percentile returns the value that the given fraction of the latencies does not exceed, or 0 if there are none.
func (l Latencies) percentile(fraction float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sorted := slices.Clone(l)
	slices.Sort(sorted)
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// String returns the 50th and 99th percentiles, the maximum and the number of latencies.
func (l Latencies) String() string {
	if len(l) == 0 {
		return "none"
	}
	return fmt.Sprintf("p50 %.2f s, p99 %.2f s, latest %.2f s of %d",
		l.percentile(0.5).Seconds(), l.percentile(0.99).Seconds(), l.percentile(1).Seconds(), len(l))
}

// Latencies returns the time until each change was in force at each gateway. connected counts from the request and
// holds the gateways that could reach a publisher throughout; afterOutage counts from the end of the outage and holds
// the others.
func (r *Record) Latencies() (connected, afterOutage Latencies) {
	for i := range r.Published {
		change := &r.Published[i]
		for _, history := range r.Histories {
			latency, followedOutage, found := history.latency(change)
			switch {
			case !found:
			case followedOutage:
				afterOutage = append(afterOutage, latency)
			default:
				connected = append(connected, latency)
			}
		}
	}
	return connected, afterOutage
}

// latency returns the time until a change was in force at a gateway. afterOutage reports whether the time counts from
// the end of an outage, found whether the change ever came in force.
func (h *History) latency(change *PublishedChange) (latency time.Duration, afterOutage, found bool) {
	index := slices.IndexFunc(h.Applied, func(a AppliedVersion) bool { return a.Version >= change.Version })
	if index < 0 {
		return 0, false, false
	}
	inForce := h.Applied[index].At
	from := change.SentAt
	for _, outage := range h.Outages {
		// During an outage a change can come in force only from disk, or at a start that reaches a publisher at once.
		if outage.Start.Before(inForce) && outage.End.After(change.SentAt) {
			afterOutage = true
			from = outage.End
		}
	}
	return max(inForce.Sub(from), 0), afterOutage, true
}

// BytesPerSecond returns the bytes per second, received and sent, that a gateway exchanged with publishers between its
// first status line and the last one of the same incarnation. ok is false if there are no two such lines.
func (h *History) BytesPerSecond() (bytesPerSecond float64, ok bool) {
	for i := len(h.Counters) - 1; i > 0; i-- {
		first, last := h.Counters[0], h.Counters[i]
		seconds := last.At.Sub(first.At).Seconds()
		if last.BytesIn >= first.BytesIn && seconds > 0 {
			bytes := last.BytesIn - first.BytesIn + last.BytesOut - first.BytesOut
			return float64(bytes) / seconds, true
		}
	}
	return 0, false
}

// ResourceUsage is the processor time and memory that processes used during an interval.
type ResourceUsage struct {
	Processes  int
	CPUShare   float64 // fraction of a core, mean per process
	Memory     float64 // resident bytes at the end, mean per process
	PeakMemory int     // resident bytes, maximum over time and processes
}

// newResourceUsage returns the usage between two measurements that lie elapsed apart. Processes that were down at
// either one, or whose processor time fell because they were restarted, are left out.
func newResourceUsage(before, after []fleet.Usage, elapsed time.Duration) (usage ResourceUsage) {
	for i := range after {
		if before[i].RSS == 0 || after[i].RSS == 0 || after[i].CPU < before[i].CPU {
			continue
		}
		usage.Processes++
		usage.CPUShare += (after[i].CPU - before[i].CPU).Seconds() / elapsed.Seconds()
		usage.Memory += float64(after[i].RSS)
		usage.PeakMemory = max(usage.PeakMemory, after[i].PeakRSS)
	}
	if usage.Processes > 0 {
		usage.CPUShare /= float64(usage.Processes)
		usage.Memory /= float64(usage.Processes)
	}
	return usage
}

// String returns the processor share and the memory in readable units.
func (u ResourceUsage) String() string {
	const megabyte = 1e6
	return fmt.Sprintf("%.2f%% of a core, %.1f MB each, %.1f MB at most", 100*u.CPUShare, u.Memory/megabyte,
		float64(u.PeakMemory)/megabyte)
}

// Figures holds what a run measured.
type Figures struct {
	Changes              int
	ConnectedLatencies   Latencies
	LatenciesAfterOutage Latencies
	BytesPerSecond       float64 // mean per gateway; 0 if there were no status lines
	MaxBytesPerSecond    float64 // of the gateway with the most traffic
	Gateways             ResourceUsage
	Publishers           ResourceUsage
}

// Figures returns what the run measured. It is called after the run has ended.
func (r *Run) Figures() (figures Figures) {
	figures.Changes = len(r.Record.Published)
	figures.ConnectedLatencies, figures.LatenciesAfterOutage = r.Record.Latencies()
	count := 0
	for _, history := range r.Record.Histories {
		rate, ok := history.BytesPerSecond()
		if !ok {
			continue
		}
		count++
		figures.BytesPerSecond += rate
		figures.MaxBytesPerSecond = max(figures.MaxBytesPerSecond, rate)
	}
	if count > 0 {
		figures.BytesPerSecond /= float64(count)
	}
	elapsed := time.Duration(r.LoadReport.EndedAt - r.LoadReport.StartedAt)
	figures.Gateways = gatewayUsage(r.LoadReport, elapsed)
	figures.Publishers = newResourceUsage(r.publishersBefore, r.publishersAfter, elapsed)
	return figures
}

// gatewayUsage returns the gateways' resource usage while the load ran.
func gatewayUsage(load *fleet.Report, elapsed time.Duration) ResourceUsage {
	var before, after []fleet.Usage
	for i := range load.Gateways {
		before = append(before, load.Gateways[i].UsageAtStart)
		after = append(after, load.Gateways[i].UsageAtEnd)
	}
	return newResourceUsage(before, after, elapsed)
}

// String returns the figures in one line.
func (f Figures) String() string {
	return fmt.Sprintf("%d changes; in force: %v; after an absence: %v; %.0f bytes a second and gateway, %.0f at most; "+
		"gateways: %v; publishers: %v",
		f.Changes, f.ConnectedLatencies, f.LatenciesAfterOutage, f.BytesPerSecond, f.MaxBytesPerSecond, f.Gateways,
		f.Publishers)
}
