package scale

import "fmt"

const (
	maxExponent          = 1.5    // of any figure along any axis: between linear (1) and quadratic (2)
	maxMessagesPerSecond = 28.0   // that a gateway may send, and may receive
	maxBytesPerSecond    = 7168.0 // the same in bytes
)

// memoryMetrics have a constant part, which hides growth in the exponent over all sizes. They are also judged by the
// exponent over the three largest sizes once they at least double between the two largest.
var memoryMetrics = []string{LiveHeap, StartAllocated, LoadAllocated}

// trafficMetrics are limited by the gateway itself. They are judged by the exponent over all sizes and by the limits
// above.
var trafficMetrics = []struct {
	messages, bytes string
}{{RestMessages, RestBytes}, {KnownMessages, KnownBytes}, {LoadMessages, LoadBytes}, {LoadMessagesIn, LoadBytesIn}}

// Violations describes each metric of memory or traffic that grows faster than linearly along the axis, and each point
// at which a gateway sends or receives more than it may.
func (r AxisResult) Violations() (violations []string) {
	for _, name := range memoryMetrics {
		if r.Fits[name].fasterThanLinear() {
			violations = append(violations, r.growthViolation(name))
		}
	}
	for _, traffic := range trafficMetrics {
		for _, limit := range []struct {
			name string
			max  float64
		}{{traffic.messages, maxMessagesPerSecond}, {traffic.bytes, maxBytesPerSecond}} {
			if r.Fits[limit.name].Exponent > maxExponent {
				violations = append(violations, r.growthViolation(limit.name))
			}
			for _, point := range r.Points {
				if figure := point.Figures[limit.name]; figure > limit.max {
					violations = append(violations, fmt.Sprintf("%s is %.4g a second at %s %g, above %g", limit.name, figure, r.Name,
						point.Size, limit.max))
				}
			}
		}
	}
	return violations
}

// StartViolations describes a violation if the processor time of a start grows faster than linearly, or was measured
// at fewer than three sizes.
func (r AxisResult) StartViolations() (violations []string) {
	if _, fitted := r.Fits[StartCPU]; !fitted {
		return []string{fmt.Sprintf("%s by %s: fewer than three sizes could be measured", StartCPU, r.Name)}
	}
	if r.Fits[StartCPU].fasterThanLinear() {
		violations = append(violations, r.growthViolation(StartCPU))
	}
	return violations
}

// fasterThanLinear reports whether the exponent over all sizes exceeds maxExponent, or that over the three largest
// sizes does and the figure at least doubles between the two largest. A constant figure never grows faster.
func (f Fit) fasterThanLinear() bool {
	return f.Form != Constant && (f.Exponent > maxExponent || f.Doubles && f.TopExponent > maxExponent)
}

// growthViolation describes a metric that grows too fast along the axis.
func (r AxisResult) growthViolation(metric string) string {
	fit := r.Fits[metric]
	return fmt.Sprintf("%s grows with %s to the power %.2f (%.2f at the three largest sizes)",
		metric, r.Name, fit.Exponent, fit.TopExponent)
}
