// Package standin holds the rig's stand-ins for what a gateway speaks to: hosts, the discovery agent, the shared
// counter and clients. Each is a task that owns its sockets and state and takes orders as messages. What they do is
// written in the operators' page on the wire; all that they draw by chance follows from a seed or from a req's id.
package standin

import (
	"hash/fnv"
	"math"
	"time"
)

// Model tells how long a host takes for a req. It is a function of the req's id, of the load and of the host's
// speed, and of nothing else: so a host can also tell what it would have answered to a req that it never had.
type Model struct {
	Base    time.Duration      // mean time of a req at no load, speed 1
	Sigma   float64            // spread of sizes: of the logarithm of a lognormal draw with mean 1; 0 all alike
	Slots   float64            // open reqs that a host carries with ease
	Knee    float64            // part of Slots from where on the load shows
	Slope   float64            // growth of the time, in times Base, for each further Slots of open reqs
	Most    int                // open reqs beyond which a host answers BUSY; 0 none
	Cold    float64            // multiple of the time right after a start, going down to 1 evenly; below 1 none
	Warm    time.Duration      // and warm after so long
	Errors  float64            // part of the reqs that end in an error
	Classes map[string]float64 // multiple of the time, by frontend; 1 where not named
}

// Usual is a host of 5 ms a req that carries 8 at once with ease.
func Usual() Model {
	return Model{Base: 5 * time.Millisecond, Sigma: 0.5, Slots: 8, Knee: 0.5, Slope: 1, Most: 64}
}

// Time tells how long a req takes that begins while load others are open at the host. factor is the host's slowness
// at that time (1 as usual, 2 half as fast), which holds its speed, its cold start and orders to be slow.
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

// Fails tells whether a req ends in an error.
func (m *Model) Fails(id string) bool { return m.Errors > 0 && Uniform(id, "errors") < m.Errors }

// warmth is the multiple of the time at an age.
func (m *Model) warmth(age time.Duration) float64 {
	if m.Cold <= 1 || age >= m.Warm {
		return 1
	}
	return 1 + (m.Cold-1)*(1-float64(age)/float64(m.Warm))
}

// Uniform is a number in (0, 1) that follows from the words alone.
func Uniform(words ...string) float64 {
	h := fnv.New64a()
	for _, w := range words {
		h.Write([]byte(w))
		h.Write([]byte{0})
	}
	x := h.Sum64() // FNV alone leaves the upper bits of like words alike
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}
