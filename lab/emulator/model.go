// Package emulator emulates what gateways communicate with in a test: hosts, discovery agents, the shared counter and
// clients. Each emulator is an actor that owns its sockets and its state, and speaks the same protocol as the real
// service. All random draws depend only on a seed or on a request's id, so that runs can be compared.
package emulator

import (
	"hash/fnv"
	"math"
	"time"
)

// Model computes a host's response times. They depend only on the request's id and class, the host's load and its
// slowdown. So the response time is also known for a request that the host never received.
type Model struct {
	// BaseTime is the mean response time without load at speed 1.
	BaseTime time.Duration
	// Sigma is the standard deviation of the logarithm of a request's relative size. Sizes are lognormal with mean 1; 0
	// makes all sizes equal.
	Sigma float64
	// Slots is the number of requests that a host processes at once without queueing; 0: the load does not matter.
	Slots float64
	// Knee is the fraction of Slots in flight above which the response time grows with the load.
	Knee float64
	// Slope is the growth of the response time, in multiples of the time without load, for each further Slots requests in
	// flight.
	Slope float64
	// MaxInFlight is the number of requests in flight at which a host rejects further ones with BUSY; 0 means no limit.
	MaxInFlight int
	// WarmUpFactor multiplies the response time right after a start and falls linearly to 1 over WarmUpTime. A factor of 1
	// or less means no warm-up.
	WarmUpFactor float64
	WarmUpTime   time.Duration
	// BusyFraction is the fraction of the requests that a host turns away with BUSY, each after a time of up to BusyTime,
	// as a host with a full queue does.
	BusyFraction  float64
	BusyTime      time.Duration
	ErrorFraction float64            // fraction of the requests that end in an error
	ClassFactors  map[string]float64 // factor of the response time by request class; 1 if absent
}

// DefaultModel returns the model of a host that takes 5 ms on average and processes 8 requests at once without
// queueing.
func DefaultModel() Model {
	return Model{BaseTime: 5 * time.Millisecond, Sigma: 0.5, Slots: 8, Knee: 0.5, Slope: 1, MaxInFlight: 64}
}

// ResponseTime returns how long a request takes that arrives while inFlight others are in flight at the host. slowdown
// multiplies the result; it includes the host's speed and warm-up.
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

// Fails reports whether a request ends in an error. It depends only on the request's id.
func (m *Model) Fails(id string) bool {
	return m.ErrorFraction > 0 && UniformHash(id, "errors") < m.ErrorFraction
}

// TurnsAway reports whether a request is turned away, and after which time. Both depend only on the request's id.
func (m *Model) TurnsAway(id string) (after time.Duration, turnsAway bool) {
	return drawTime(id, "busy", m.BusyFraction, m.BusyTime)
}

// drawTime draws whether an event happens to a request, with the given probability, and after which time of at most
// longest. Both depend only on the request's id and the event's name. The time is 0 if the event does not happen.
func drawTime(id, event string, probability float64, longest time.Duration) (after time.Duration, happens bool) {
	if UniformHash(id, event) >= probability {
		return 0, false
	}
	return time.Duration(UniformHash(id, event+" time") * float64(longest)), true
}

// warmUpFactor returns the factor by which the warm-up multiplies response times at a time after the start.
func (m *Model) warmUpFactor(age time.Duration) float64 {
	if m.WarmUpFactor <= 1 || age >= m.WarmUpTime {
		return 1
	}
	return 1 + (m.WarmUpFactor-1)*(1-float64(age)/float64(m.WarmUpTime))
}

// UniformHash returns a pseudorandom number in (0, 1) that depends only on the words and their order.
func UniformHash(words ...string) float64 {
	hash := fnv.New64a()
	for _, word := range words {
		hash.Write([]byte(word))
		hash.Write([]byte{0})
	}
	bits := hash.Sum64() // mixed further, because similar words have similar upper bits in FNV
	bits = (bits ^ bits>>30) * 0xbf58476d1ce4e5b9
	bits = (bits ^ bits>>27) * 0x94d049bb133111eb
	return (float64((bits^bits>>31)>>11) + 0.5) / (1 << 53)
}
