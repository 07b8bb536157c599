package scale

import "fmt"

const (
	mostExponent = 1.5  // of any figure along any axis: between linear and quadratic
	mostMessages = 28.0 // a second that a gateway sends and receives
	mostBytes    = 7168.0
)

// stored are figures that stand on a constant part: their growth at the top decides, once it doubles them.
var stored = []string{LiveHeap, StartAllocated, LoadAllocated}

// sent are figures that a gateway bounds by itself: their growth over all sizes decides, and the bound.
var sent = []struct {
	messages, bytes string
}{{RestMessages, RestBytes}, {KnownMessages, KnownBytes}, {LoadMessages, LoadBytes}, {LoadMessagesIn, LoadBytesIn}}

// Faults tells which counts and bytes of a gateway grow faster than linear along the axis, or are more than a gateway
// may use.
func (g Growth) Faults() (faults []string) {
	for _, name := range stored {
		if g.Fits[name].faster() {
			faults = append(faults, g.fault(name))
		}
	}
	for _, kind := range sent {
		for _, limit := range []struct {
			name string
			most float64
		}{{kind.messages, mostMessages}, {kind.bytes, mostBytes}} {
			if g.Fits[limit.name].Exponent > mostExponent {
				faults = append(faults, g.fault(limit.name))
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

// StartFaults tells whether the processor time of a start grows faster than linear. Only its exponent decides; it wants
// three sizes that could be measured.
func (g Growth) StartFaults() (faults []string) {
	if _, fitted := g.Fits[StartTime]; !fitted {
		return []string{fmt.Sprintf("%s by %s: fewer than three sizes could be measured", StartTime, g.Name)}
	}
	if g.Fits[StartTime].faster() {
		faults = append(faults, g.fault(StartTime))
	}
	return faults
}

// faster tells whether a figure grows faster than linear.
func (f Fit) faster() bool {
	return f.Form != Constant && (f.Exponent > mostExponent || f.Doubles && f.Top > mostExponent)
}

func (g Growth) fault(metric string) string {
	fit := g.Fits[metric]
	return fmt.Sprintf("%s grows with %s to the power %.2f (at the top %.2f)", metric, g.Name, fit.Exponent, fit.Top)
}
