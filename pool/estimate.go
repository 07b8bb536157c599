package pool

import (
	"math"
	"slices"
)

// recentReports is the number of reports in the mean of a demandEstimate.
const recentReports = 5

// Thresholds of a demandEstimate, in connections where they have a unit.
const (
	minMedianStep     = 0.6  // least difference to the median of three for a step
	medianStepShare   = 0.25 // the same as a share of the level
	minMeanStep       = 0.3  // least difference to the mean for a step
	meanStandardError = 4    // the same in standard errors of the mean
)

// demandEstimate estimates a demand without following its noise. It steps to the median of three reports if that
// differs by more than a quarter, and to the mean of five if that differs by more than their scatter explains. So a
// step of the demand of any size is followed after five reports, and noise of a fifth hardly ever.
type demandEstimate struct {
	level  float64
	recent [recentReports]float64 // the newest last
	count  int                    // reports
}

// add adds the demand of a report.
func (e *demandEstimate) add(sample float64) {
	copy(e.recent[:], e.recent[1:])
	e.recent[recentReports-1] = sample
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
	median := e.medianOfThree()
	if math.Abs(median-e.level) > max(minMedianStep, e.level*medianStepShare) {
		e.level = median
		return
	}
	if e.count < recentReports {
		return
	}
	mean, standardError := e.mean()
	if math.Abs(mean-e.level) > minMeanStep+meanStandardError*standardError {
		e.level = mean
	}
}

// medianOfThree returns the median of the three newest reports.
func (e *demandEstimate) medianOfThree() float64 {
	newest := slices.Clone(e.recent[recentReports-3:])
	slices.Sort(newest)
	return newest[1]
}

// mean returns the mean of the recent reports and its standard error.
func (e *demandEstimate) mean() (mean, standardError float64) {
	for _, sample := range e.recent {
		mean += sample / recentReports
	}
	squares := 0.0
	for _, sample := range e.recent {
		squares += (sample - mean) * (sample - mean)
	}
	return mean, math.Sqrt(squares / (recentReports * (recentReports - 1)))
}
