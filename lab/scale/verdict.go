package scale

import "fmt"

const (
	maxExponent = 1.5  // of any figure along any axis: between linear and quadratic
	maxMessages = 28.0 // a second that a gateway sends and receives
	maxBytes    = 7168.0
)

// storedMetrics have a constant part: their growth between the largest sizes decides, once it doubles them.
var storedMetrics = []string{LiveHeap, StartAllocated, LoadAllocated}

// sentMetrics are bounded by the gateway itself: their growth over all sizes decides, and the bound.
var sentMetrics = []struct {
	messages, bytes string
}{{RestMessages, RestBytes}, {KnownMessages, KnownBytes}, {LoadMessages, LoadBytes}, {LoadMessagesIn, LoadBytesIn}}

// Violations returns which counts and bytes of a gateway grow faster than linear along the axis, or exceed what a
// gateway may use.
func (g AxisResult) Violations() (faults []string) {
	for _, name := range storedMetrics {
		if g.Fits[name].fasterThanLinear() {
			faults = append(faults, g.violation(name))
		}
	}
	for _, kind := range sentMetrics {
		for _, limit := range []struct {
			name string
			most float64
		}{{kind.messages, maxMessages}, {kind.bytes, maxBytes}} {
			if g.Fits[limit.name].Exponent > maxExponent {
				faults = append(faults, g.violation(limit.name))
			}
			for _, point := range g.Points {
				if figure := point.Figures[limit.name]; figure > limit.most {
					faults = append(faults, fmt.Sprintf("%s is %.4g a second at %s %g, above %g", limit.name, figure, g.Name,
						point.Size, limit.most))
				}
			}
		}
	}
	return faults
}

// StartViolations returns a violation if the processor time of a start grows faster than linear, or was measured at
// fewer than three sizes.
func (g AxisResult) StartViolations() (faults []string) {
	if _, fitted := g.Fits[StartCPU]; !fitted {
		return []string{fmt.Sprintf("%s by %s: fewer than three sizes could be measured", StartCPU, g.Name)}
	}
	if g.Fits[StartCPU].fasterThanLinear() {
		faults = append(faults, g.violation(StartCPU))
	}
	return faults
}

// fasterThanLinear reports whether a figure grows faster than linear.
func (f Fit) fasterThanLinear() bool {
	return f.Form != Constant && (f.Exponent > maxExponent || f.Doubles && f.TopExponent > maxExponent)
}

// violation returns the text of a figure that grows too fast.
func (g AxisResult) violation(metric string) string {
	fit := g.Fits[metric]
	return fmt.Sprintf("%s grows with %s to the power %.2f (at the top %.2f)", metric, g.Name, fit.Exponent,
		fit.TopExponent)
}
