// Package emulator provides what a gateway speaks to in a test: hosts, the discovery agent, the shared counter and
// clients.
// Each is an actor that owns its sockets and state. Their protocols on the wire are those of the operators' page; all
// random draws follow from a seed or from a request's id.
package emulator

import (
	"hash/fnv"
	"math"
	"time"
)

// Model computes a host's response times. They depend on the request's id, the host's load and its speed alone, so that
// the response time of a request that a host never received is known too.
type Model struct {
	// BaseTime is the mean time of a request without load at speed 1.
	BaseTime time.Duration
	// Sigma is the standard deviation of the logarithm of a request's size, which is lognormal with mean 1; 0: all equal.
	Sigma float64
	// Slots is the number of requests in flight that a host serves without queueing.
	Slots float64
	// Knee is the fraction of Slots above which the load adds to the time.
	Knee float64
	// Slope is the growth of the time, in multiples of BaseTime, for each further Slots of requests in flight.
	Slope float64
	// MaxInFlight is the number of requests in flight from which on a host answers BUSY; 0: no limit.
	MaxInFlight int
	// WarmUpFactor multiplies the time right after a start and falls linearly to 1; 1 or less: no warm-up.
	WarmUpFactor  float64
	WarmUpTime    time.Duration
	ErrorFraction float64            // of the requests
	ClassFactors  map[string]float64 // multiple of the time by request class; 1 if absent
}

// DefaultModel returns the model of a host that takes 5 ms a request and serves 8 at once without queueing.
func DefaultModel() Model {
	return Model{BaseTime: 5 * time.Millisecond, Sigma: 0.5, Slots: 8, Knee: 0.5, Slope: 1, MaxInFlight: 64}
}

// ResponseTime returns how long a request takes that begins while inFlight others are in flight at the host. slowdown
// is that of the host at that time (1: none, 2: half as fast), with its speed and warm-up.
func (m *Model) ResponseTime(id, class string, inFlight, slowdown float64) time.Duration {
	size := 1.0
	if m.Sigma > 0 {
		deviation := math.Sqrt2 * math.Erfinv(2*UniformHash(id, "size")-1)
		size = math.Exp(m.Sigma*deviation - m.Sigma*m.Sigma/2)
	}
	if factor, ok := m.ClassFactors[class]; ok {
		size *= factor
	}
	loadFactor := 1.0
	if m.Slots > 0 {
		loadFactor += m.Slope * max(0, inFlight/m.Slots-m.Knee)
	}
	return time.Duration(float64(m.BaseTime) * size * loadFactor * slowdown)
}

// Fails reports whether a request ends in an error.
func (m *Model) Fails(id string) bool {
	return m.ErrorFraction > 0 && UniformHash(id, "errors") < m.ErrorFraction
}

// warmUpFactor returns the multiple of the response time at an age of the host's process.
func (m *Model) warmUpFactor(age time.Duration) float64 {
	if m.WarmUpFactor <= 1 || age >= m.WarmUpTime {
		return 1
	}
	return 1 + (m.WarmUpFactor-1)*(1-float64(age)/float64(m.WarmUpTime))
}

// UniformHash returns a number in (0, 1) that depends on the words alone.
func UniformHash(words ...string) float64 {
	hash := fnv.New64a()
	for _, word := range words {
		hash.Write([]byte(word))
		hash.Write([]byte{0})
	}
	bits := hash.Sum64() // FNV alone leaves the upper bits of similar words similar
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return (float64((bits^bits>>31)>>11) + 0.5) / (1 << 53)
}
