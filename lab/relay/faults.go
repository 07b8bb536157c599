package relay

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

const defaultReorderDelay = 50 * time.Millisecond

// Faults are the faults on a link. Those of several rules combine.
type Faults struct {
	Loss         float64       // fraction of the datagrams that are lost
	Duplicate    float64       // fraction of the datagrams that are delivered twice
	Reorder      float64       // fraction of the datagrams that are delayed by ReorderDelay, so that others overtake
	ReorderDelay time.Duration // 0 means 50 ms
	Delay        time.Duration // of all datagrams and of stream data
	Jitter       time.Duration // highest additional delay of a datagram, drawn uniformly from 0 on
	// Blocked loses all datagrams. Stream data waits and is sent once the link is no longer blocked.
	Blocked bool
}

// combine returns the faults of a link to which both rules apply. Losses and duplicates are independent of each other,
// delays add up.
func (f Faults) combine(other Faults) Faults {
	return Faults{
		Loss:         1 - (1-f.Loss)*(1-other.Loss),
		Duplicate:    1 - (1-f.Duplicate)*(1-other.Duplicate),
		Reorder:      1 - (1-f.Reorder)*(1-other.Reorder),
		ReorderDelay: max(f.ReorderDelay, other.ReorderDelay),
		Delay:        f.Delay + other.Delay,
		Jitter:       f.Jitter + other.Jitter,
		Blocked:      f.Blocked || other.Blocked,
	}
}

// datagramRandom returns the random generator for one datagram from a node to another. sentBefore is the number of
// datagrams that the pair has sent in this network before.
func (r *Relay) datagramRandom(network, from, to string, sentBefore uint64) *rand.Rand {
	hash := fnv.New64a()
	for _, word := range []string{network, from, to} {
		hash.Write([]byte(word))
		hash.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(r.seed^hash.Sum64(), sentBefore))
}

// DeliveryDelays returns the delay of each copy of a datagram that is delivered, and none if it is lost. Loss,
// duplication and reordering are always drawn first and in this order, so a change of one fraction leaves the other
// draws as they were.
func (f Faults) DeliveryDelays(random *rand.Rand) (delays []time.Duration) {
	lossDraw := random.Float64()
	duplicateDraw := random.Float64()
	reorderDraw := random.Float64()
	if f.Blocked || lossDraw < f.Loss {
		return nil
	}
	copies := 1
	if duplicateDraw < f.Duplicate {
		copies = 2
	}
	for i := range copies {
		delay := f.Delay + time.Duration(random.Float64()*float64(f.Jitter))
		if i == 0 && reorderDraw < f.Reorder {
			delay += f.reorderDelay()
		}
		delays = append(delays, delay)
	}
	return delays
}

// reorderDelay returns ReorderDelay or its default.
func (f Faults) reorderDelay() time.Duration {
	if f.ReorderDelay > 0 {
		return f.ReorderDelay
	}
	return defaultReorderDelay
}
