package logic

import (
	"hash/fnv"
	"time"
)

func seconds(d time.Duration) float64 { return float64(d) / float64(time.Second) }

// generator is a multiply-with-carry generator of random numbers (Marsaglia, 1994). Its state must not be 0.
type generator uint64

// fraction returns a random number of at least 0 and less than 1.
func (m *generator) fraction() float64 {
	const multiplier = 4294957665
	*m = generator(uint64(uint32(*m))*multiplier + uint64(*m)>>32)
	return float64(uint32(*m)) / (1 << 32)
}

// hashText returns the hash that identifies a customer name among all gateways.
func hashText(s string) uint32 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return uint32(mix(h.Sum64()))
}

// mix returns a hash of x in which every bit depends on all bits of x: the finalizer of SplitMix64 (Steele, Lea and
// Flood, 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
