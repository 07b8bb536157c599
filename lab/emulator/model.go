// Package emulator provides the rig's stand-ins for what a gateway speaks to: hosts, the discovery agent, the shared counter and
// clients. Each is an actor that owns its sockets and state and is controlled by messages. Their protocols are those of the
// operators' page on the wire; all random draws follow from a seed or from a request's id.
package emulator

import (
	"hash/fnv"
	"math"
	"time"
)

// Model is a host's response time. It is a function of the request's id, of the load and of the host's speed, and of nothing else,
// so that a host can also tell what it would have answered to a request that it never received.
type Model struct {
	Base    time.Duration      // mean time of a request without load at speed 1
	Sigma   float64            // standard deviation of the logarithm of a request's size, which is lognormal with mean 1; 0: all equal
	Slots   float64            // requests in flight that a host carries with ease
	Knee    float64            // fraction of Slots from which on the load shows
	Slope   float64            // growth of the time, in multiples of Base, for each further Slots of requests in flight
	Most    int                // requests in flight beyond which a host answers BUSY; 0: no limit
	Cold    float64            // multiple of the time right after a start, falling linearly to 1; 1 or less: none
	Warm    time.Duration      // how long warming up takes
	Errors  float64            // fraction of the requests that end in an error
	Classes map[string]float64 // multiple of the time by request class; 1 if absent
}

// Usual returns the model of a host of 5 ms a request that carries 8 at once with ease.
func Usual() Model {
	return Model{Base: 5 * time.Millisecond, Sigma: 0.5, Slots: 8, Knee: 0.5, Slope: 1, Most: 64}
}

// Time returns how long a request takes that begins while load others are in flight at the host. factor is the host's slowness at
// that time (1: as usual, 2: half as fast), which includes its speed, its warm-up and Slow.
func (m *Model) Time(id, class string, load, factor float64) time.Duration {
	size := 1.0
	if m.Sigma > 0 {
		z := math.Sqrt2 * math.Erfinv(2*Uniform(id, "size")-1)
		size = math.Exp(m.Sigma*z - m.Sigma*m.Sigma/2)
	}
	if x, ok := m.Classes[class]; ok {
		size *= x
	}
	grown := 1.0
	if m.Slots > 0 {
		grown += m.Slope * max(0, load/m.Slots-m.Knee)
	}
	return time.Duration(float64(m.Base) * size * grown * factor)
}

// Fails reports whether a request ends in an error.
func (m *Model) Fails(id string) bool { return m.Errors > 0 && Uniform(id, "errors") < m.Errors }

// warmUpFactor returns the multiple of the time at an age (slow start).
func (m *Model) warmUpFactor(age time.Duration) float64 {
	if m.Cold <= 1 || age >= m.Warm {
		return 1
	}
	return 1 + (m.Cold-1)*(1-float64(age)/float64(m.Warm))
}

// Uniform returns a number in (0, 1) that is determined by the words alone.
func Uniform(words ...string) float64 {
	h := fnv.New64a()
	for _, w := range words {
		h.Write([]byte(w))
		h.Write([]byte{0})
	}
	x := h.Sum64() // FNV alone leaves the upper bits of similar words similar
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}
