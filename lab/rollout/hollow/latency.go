package hollow

import (
	"slices"
	"time"

	"ravensill/lab/rollout"
)

// Latency summarizes, over all changes and followers, the seconds from the request for a change until its version or a
// later one was in force.
type Latency struct {
	Changes int     `json:"changes"`
	Samples int     `json:"samples"` // pairs of a change and a follower at which it came in force
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"latest"`
}

// newLatency returns the latency of the published changes, given the versions that came in force at each follower.
func newLatency(published []rollout.PublishedChange, histories [][]AppliedVersion) Latency {
	var delays []time.Duration
	for _, applied := range histories {
		delays = appendDelays(delays, published, applied)
	}
	l := Latency{Changes: len(published), Samples: len(delays)}
	if len(delays) == 0 {
		return l
	}
	slices.Sort(delays)
	percentile := func(fraction float64) float64 { return delays[int(fraction*float64(len(delays)-1))].Seconds() }
	l.P50 = percentile(0.5)
	l.P99 = percentile(0.99)
	l.Max = percentile(1)
	return l
}

// appendDelays appends the delays of the published changes at one follower. Both lists are in ascending order of
// versions.
func appendDelays(delays []time.Duration, published []rollout.PublishedChange,
	applied []AppliedVersion) []time.Duration {
	next := 0
	for _, change := range published {
		for next < len(applied) && applied[next].To < change.Version {
			next++
		}
		if next == len(applied) {
			break
		}
		delays = append(delays, time.Unix(0, applied[next].At).Sub(change.SentAt))
	}
	return delays
}
