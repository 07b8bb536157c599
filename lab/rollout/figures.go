package rollout

import (
	"fmt"
	"slices"
	"time"

	"ravensill/lab/fleet"
)

// Latencies are the times from the request for a change, or from the end of a gateway's absence, until the change is in
// force at one gateway.
type Latencies []time.Duration

// percentile returns the value that a fraction of the latencies does not exceed.
func (l Latencies) percentile(fraction float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sorted := slices.Clone(l)
	slices.Sort(sorted)
	return sorted[int(fraction*float64(len(sorted)-1))]
}

// String returns the latencies in a few words.
func (l Latencies) String() string {
	if len(l) == 0 {
		return "none"
	}
	return fmt.Sprintf("p50 %.2f s, p99 %.2f s, latest %.2f s of %d",
		l.percentile(0.5).Seconds(), l.percentile(0.99).Seconds(), l.percentile(1).Seconds(), len(l))
}

// Latencies returns the times until each change was in force: from its request at gateways that could reach a publisher
// throughout, and from the end of their absence at the others.
func (r *Record) Latencies() (reachable, returned Latencies) {
	for i := range r.Published {
		change := &r.Published[i]
		for _, history := range r.Histories {
			latency, absent, found := history.latency(change)
			switch {
			case !found:
			case absent:
				returned = append(returned, latency)
			default:
				reachable = append(reachable, latency)
			}
		}
	}
	return reachable, returned
}

// latency returns the time until a change was in force at a gateway. absent reports whether it counts from the end of
// an absence, found whether the change ever came in force.
func (h *History) latency(change *PublishedChange) (latency time.Duration, absent, found bool) {
	index := slices.IndexFunc(h.Applied, func(a AppliedVersion) bool { return a.Version >= change.Version })
	if index < 0 {
		return 0, false, false
	}
	inForce := h.Applied[index].At
	from := change.SentAt
	for _, absence := range h.Outages {
		// Within an absence a change comes in force only from disk, or at a start that finds a publisher at once.
		if absence.Start.Before(inForce) && absence.End.After(change.SentAt) {
			absent = true
			from = absence.End
		}
	}
	return max(inForce.Sub(from), 0), absent, true
}

// BytesPerSecond returns the bytes a second that a gateway exchanged with publishers between two status lines of one
// incarnation. ok is false if there are no two such lines.
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

// ResourceUsage is what processes used between two times.
type ResourceUsage struct {
	Processes  int
	CPUShare   float64 // of a core, mean of a process
	Memory     float64 // bytes, mean of a process
	PeakMemory int     // bytes, of the process with the most
}

// newCost returns the cost between two times. Processes that were down at either time are left out.
func newCost(before, after []fleet.Usage, elapsed time.Duration) (cost ResourceUsage) {
	for i := range after {
		if before[i].RSS == 0 || after[i].RSS == 0 || after[i].CPU < before[i].CPU {
			continue
		}
		cost.Processes++
		cost.CPUShare += (after[i].CPU - before[i].CPU).Seconds() / elapsed.Seconds()
		cost.Memory += float64(after[i].RSS)
		cost.PeakMemory = max(cost.PeakMemory, after[i].PeakRSS)
	}
	if cost.Processes > 0 {
		cost.CPUShare /= float64(cost.Processes)
		cost.Memory /= float64(cost.Processes)
	}
	return cost
}

// String returns the cost in a few words.
func (c ResourceUsage) String() string {
	const megabyte = 1e6
	return fmt.Sprintf("%.2f%% of a core, %.1f MB each, %.1f MB at most", 100*c.CPUShare, c.Memory/megabyte,
		float64(c.PeakMemory)/megabyte)
}

// Figures are what a run measured.
type Figures struct {
	Changes              int
	ConnectedLatencies   Latencies
	LatenciesAfterOutage Latencies
	BytesPerSecond       float64 // of a gateway, mean; 0: no status lines
	MaxBytesPerSecond    float64 // of the gateway with the most
	Gateways             ResourceUsage
	Publishers           ResourceUsage
}

// Figures returns what a run that has ended measured.
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
	figures.Gateways = gatewayCost(r.LoadReport, elapsed)
	figures.Publishers = newCost(r.publishersBefore, r.publishersAfter, elapsed)
	return figures
}

// gatewayCost returns the gateways' cost of a load.
func gatewayCost(load *fleet.Report, elapsed time.Duration) ResourceUsage {
	var before, after []fleet.Usage
	for i := range load.Gateways {
		before = append(before, load.Gateways[i].UsageAtStart)
		after = append(after, load.Gateways[i].UsageAtEnd)
	}
	return newCost(before, after, elapsed)
}

// String returns the figures in one line.
func (f Figures) String() string {
	return fmt.Sprintf("%d changes; in force: %v; after an absence: %v; %.0f bytes a second and gateway, %.0f at most; "+
		"gateways: %v; publishers: %v",
		f.Changes, f.ConnectedLatencies, f.LatenciesAfterOutage, f.BytesPerSecond, f.MaxBytesPerSecond, f.Gateways, f.Publishers)
}
