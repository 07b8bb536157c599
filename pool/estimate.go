package pool

import (
	"math"
	"slices"
)

// sampleWindow is the number of the newest reports that a demandEstimate keeps and averages.
const sampleWindow = 5

// Thresholds above which a demandEstimate moves to a new level. Units are connections.
const (
	minMedianStepUnits    = 0.6  // least difference between level and median
	minMedianStepFraction = 0.25 // least difference between level and median, as a fraction of level
	minMeanStep           = 0.3  // least difference between level and mean
	minStandardErrors     = 4    // least difference between level and mean beyond minMeanStep, in standard errors
)

// demandEstimate estimates a member's demand from its reports and filters out noise. The level moves to the median of
// the newest three reports if the two differ by more than a quarter of the level and more than minMedianStepUnits, and
// otherwise to the mean of the newest five if the difference exceeds what the scatter of the reports explains. A
// lasting change of the demand, large or small, is therefore followed within five reports, while noise of 20% hardly
// ever moves the level.
type demandEstimate struct {
	level       float64               // estimated demand in connections
	samples     [sampleWindow]float64 // demands of the newest reports, the newest last
	sampleCount int                   // reports added so far, which may exceed sampleWindow
}

// add updates the estimate with the demand of a new report.
func (e *demandEstimate) add(sample float64) {
	copy(e.samples[:], e.samples[1:])
	e.samples[sampleWindow-1] = sample
	e.sampleCount++
	if e.sampleCount == 1 {
		if e.level == 0 { // otherwise NewGrantor derived the level from the ledger
			e.level = sample
		}
		return
	}
	if e.sampleCount == 2 { // the first report counts twice in the median of three
		e.samples[2] = e.samples[3]
	}
	median := e.medianOfThree()
	if math.Abs(median-e.level) > max(minMedianStepUnits, e.level*minMedianStepFraction) {
		e.level = median
		return
	}
	if e.sampleCount < sampleWindow {
		return
	}
	mean, standardError := e.mean()
	if math.Abs(mean-e.level) > minMeanStep+minStandardErrors*standardError {
		e.level = mean
	}
}

// medianOfThree returns the median demand of the three newest reports.
func (e *demandEstimate) medianOfThree() float64 {
	newest := slices.Clone(e.samples[sampleWindow-3:])
	slices.Sort(newest)
	return newest[1]
}

// mean returns the mean demand of the newest sampleWindow reports, and the standard error of that mean.
func (e *demandEstimate) mean() (mean, standardError float64) {
	for _, sample := range e.samples {
		mean += sample / sampleWindow
	}
	squares := 0.0
	for _, sample := range e.samples {
		squares += (sample - mean) * (sample - mean)
	}
	return mean, math.Sqrt(squares / (sampleWindow * (sampleWindow - 1)))
}
