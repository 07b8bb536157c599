package pool

import (
	"math"
	"slices"
)

// demandEstimate is an estimate of a demand that noise does not move. It jumps to the median of three reports if that differs by
// more than a quarter, and to the mean of five if that differs by more than their own scatter explains: four standard errors and a
// third of a connection. So a clean step of any size counts after five reports, and noise of a fifth hardly ever.
type demandEstimate struct {
	level  float64
	recent [5]float64 // the newest last
	count  int        // reports
}

// add adds a report's demand.
func (e *demandEstimate) add(sample float64) {
	copy(e.recent[:], e.recent[1:])
	e.recent[4] = sample
	e.count++
	if e.count == 1 {
		if e.level == 0 { // otherwise it is that of an earlier leader
			e.level = sample
		}
		return
	}
	if e.count == 2 {
		e.recent[2] = e.recent[3]
	}
	lastThree := slices.Clone(e.recent[2:])
	slices.Sort(lastThree)
	median := lastThree[1]
	if math.Abs(median-e.level) > max(0.6, e.level/4) {
		e.level = median
		return
	}
	if e.count < 5 {
		return
	}
	mean, scatter := 0.0, 0.0
	for _, recent := range e.recent {
		mean += recent / 5
	}
	for _, recent := range e.recent {
		scatter += (recent - mean) * (recent - mean)
	}
	if math.Abs(mean-e.level) > 0.3+4*math.Sqrt(scatter/20) {
		e.level = mean
	}
}
