package rollout

import (
	"fmt"
	"slices"
	"time"

	"ravensill/lab/fleet"
)

// Latencies are times from the request for a change, or from the end of a gateway's absence, until the change is in force
// at one gateway.
type Latencies []time.Duration

// rank gives the value that a part of the latencies is not above.
func (l Latencies) rank(part float64) time.Duration {
	if len(l) == 0 {
		return 0
	}
	sorted := slices.Clone(l)
	slices.Sort(sorted)
	return sorted[int(part*float64(len(sorted)-1))]
}

func (l Latencies) String() string {
	if len(l) == 0 {
		return "none"
	}
	return fmt.Sprintf("p50 %.2f s, p99 %.2f s, latest %.2f s of %d", l.rank(0.5).Seconds(), l.rank(0.99).Seconds(),
		l.rank(1).Seconds(), len(l))
}

// Latencies gives the times until each change was in force: from its request at gateways that had a way to a publisher all
// the while, and from the end of their absence at the others.
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

// latency gives the time until a change was in force at a gateway. absent tells that it counts from the end of an absence.
func (h *History) latency(change *Published) (latency time.Duration, absent, found bool) {
	index := slices.IndexFunc(h.Applied, func(a Applied) bool { return a.Version >= change.Version })
	if index < 0 {
		return 0, false, false
	}
	inForce := h.Applied[index].At // within an absence only where the disk had it, or a start found a publisher at once
	from := change.Sent
	for _, absence := range h.Absences {
		if absence.From.Before(inForce) && absence.To.After(change.Sent) {
			absent = true
			from = absence.To
		}
	}
	return max(inForce.Sub(from), 0), absent, true
}

// Rate gives the bytes a second that a gateway exchanged with publishers between two status lines of one life; ok is false
// where there are no two.
func (h *History) Rate() (bytesPerSecond float64, ok bool) {
	for i := len(h.Counters) - 1; i > 0; i-- {
		first, last := h.Counters[0], h.Counters[i]
		seconds := last.At.Sub(first.At).Seconds()
		if last.BytesIn >= first.BytesIn && seconds > 0 {
			return float64(last.BytesIn-first.BytesIn+last.BytesOut-first.BytesOut) / seconds, true
		}
	}
	return 0, false
}

// Cost is what processes used between two times.
type Cost struct {
	Processes int
	Share     float64 // of a core, mean of a process
	Memory    float64 // bytes, mean of a process
	Most      int     // bytes, of the one with most
}

// cost compares what processes had used; those that were down at either time are left out.
func cost(before, after []fleet.Usage, elapsed time.Duration) (c Cost) {
	for i := range after {
		if before[i].RSS == 0 || after[i].RSS == 0 || after[i].CPU < before[i].CPU {
			continue
		}
		c.Processes++
		c.Share += (after[i].CPU - before[i].CPU).Seconds() / elapsed.Seconds()
		c.Memory += float64(after[i].RSS)
		c.Most = max(c.Most, after[i].PeakRSS)
	}
	if c.Processes > 0 {
		c.Share /= float64(c.Processes)
		c.Memory /= float64(c.Processes)
	}
	return c
}

func (c Cost) String() string {
	const megabyte = 1e6
	return fmt.Sprintf("%.2f%% of a core, %.1f MB each, %.1f MB at most", 100*c.Share, c.Memory/megabyte,
		float64(c.Most)/megabyte)
}

// Figures are what a run measured.
type Figures struct {
	Changes    int
	Reachable  Latencies
	Returned   Latencies
	Bytes      float64 // a second and gateway, mean; 0: no status lines
	BytesMost  float64 // of the gateway with most
	Gateways   Cost
	Publishers Cost
}

// Figures reads a run that has been played.
func (r *Run) Figures() (f Figures) {
	f.Changes = len(r.Record.Published)
	f.Reachable, f.Returned = r.Record.Latencies()
	count := 0
	for _, history := range r.Record.Histories {
		rate, ok := history.Rate()
		if !ok {
			continue
		}
		count++
		f.Bytes += rate
		f.BytesMost = max(f.BytesMost, rate)
	}
	if count > 0 {
		f.Bytes /= float64(count)
	}
	elapsed := time.Duration(r.Load.EndedAt - r.Load.StartedAt)
	f.Gateways = gatewayCost(r.Load, elapsed)
	f.Publishers = cost(r.publishersBefore, r.publishersAfter, elapsed)
	return f
}

func gatewayCost(load *fleet.Report, elapsed time.Duration) Cost {
	var before, after []fleet.Usage
	for i := range load.Gateways {
		before = append(before, load.Gateways[i].Before)
		after = append(after, load.Gateways[i].Usage)
	}
	return cost(before, after, elapsed)
}

func (f Figures) String() string {
	return fmt.Sprintf("%d changes; in force: %v; after an absence: %v; %.0f bytes a second and gateway, %.0f at most; gateways: %v; publishers: %v",
		f.Changes, f.Reachable, f.Returned, f.Bytes, f.BytesMost, f.Gateways, f.Publishers)
}
