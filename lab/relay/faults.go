package relay

import (
	"hash/fnv"
	"math/rand/v2"
	"time"
)

const defaultReorderDelay = 50 * time.Millisecond

// Faults are what happens on a link. Those of several rules add up.
type Faults struct {
	Loss         float64       // fraction of the datagrams that is lost
	Duplicate    float64       // fraction that is delivered twice
	Reorder      float64       // fraction that is delayed by ReorderDelay, so that later ones overtake it
	ReorderDelay time.Duration // 0: 50 ms
	Delay        time.Duration // of datagrams and streams
	Jitter       time.Duration // maximum of a further delay, drawn evenly
	// Blocked stops everything. A stream stops where it is and goes on once the link is no longer blocked.
	Blocked bool
}

// combine returns the faults of two rules together.
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

// random returns the random generator of the datagram that a pair of a network sends after others.
func (r *Relay) random(network, from, to string, sentBefore uint64) *rand.Rand {
	hash := fnv.New64a()
	for _, word := range []string{network, from, to} {
		hash.Write([]byte(word))
		hash.Write([]byte{0})
	}
	return rand.New(rand.NewPCG(r.seed^hash.Sum64(), sentBefore))
}

// DeliveryDelays returns the delay of each copy of a datagram that is delivered; none for one that is lost.
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

// reorderDelay returns the delay of a datagram that later ones overtake.
func (f Faults) reorderDelay() time.Duration {
	if f.ReorderDelay > 0 {
		return f.ReorderDelay
	}
	return defaultReorderDelay
}
