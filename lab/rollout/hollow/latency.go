package hollow

import (
	"slices"
	"time"

	"ravensill/lab/rollout"
)

// Latency is the time from the request for a publication until the version, or a later one, is in force, in seconds,
// over all changes and followers.
type Latency struct {
	Changes int     `json:"changes"`
	Samples int     `json:"samples"` // changes in force at a follower
	P50     float64 `json:"p50"`
	P99     float64 `json:"p99"`
	Max     float64 `json:"latest"`
}

// newLatency returns the latency of what was published, by what came in force at each follower.
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
	at := func(part float64) float64 { return delays[int(part*float64(len(delays)-1))].Seconds() }
	l.P50 = at(0.5)
	l.P99 = at(0.99)
	l.Max = at(1)
	return l
}

// appendDelays adds the delays of changes at one follower. Both lists are in the order of versions.
func appendDelays(delays []time.Duration, published []rollout.PublishedChange, applied []AppliedVersion) []time.Duration {
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
