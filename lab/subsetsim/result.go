package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
)

// Attempts are counted in bins of binLength.
const (
	binLength     = 100 * time.Millisecond
	binsPerSecond = int(time.Second / binLength)
)

// binAt returns the bin of an instant, which is given as the time since the start of the scenario.
func binAt(elapsed time.Duration) int { return int(elapsed / binLength) }

// binStart returns the instant at which a bin starts.
func binStart(bin int) gateway.Time { return startTime.Add(time.Duration(bin) * binLength) }

// Result holds the measurements of one scenario. The attempts that hosts received are compared with a random baseline:
// the same number of attempts in each bin, distributed at random, in proportion to weight and warm-up, over the hosts
// that run at that time. Unlike the gateways, the baseline always knows which these are.
type Result struct {
	Requests     int           // requests that reached a gateway
	Succeeded    int           // successful attempts
	HostsUsed    float64       // mean number of hosts that a gateway sent attempts to
	totalLatency time.Duration // sum over the successful attempts
	hosts        []*host
	sent         attemptCounts
	baseline     attemptCounts
}

// attemptCounts holds numbers of attempts, by host and bin.
type attemptCounts [][]int

// measure collects the attempts that hosts received in a scenario of some length, and draws the baseline.
func (r *Result) measure(hosts []*host, random *rand.Rand, length time.Duration) {
	bins := binAt(length)
	r.hosts = hosts
	for _, h := range hosts {
		missing := max(bins-len(h.received)+1, 0)
		h.received = append(h.received, make([]int, missing)...)
		r.sent = append(r.sent, h.received)
		r.baseline = append(r.baseline, make([]int, bins))
	}
	for bin := range bins {
		r.drawBaseline(bin, random)
	}
}

// drawBaseline distributes the attempts of one bin at random over the hosts that run in it.
func (r *Result) drawBaseline(bin int, random *rand.Rand) {
	attempts := 0
	sum := 0.0
	cumulativeWeights := make([]float64, len(r.hosts))
	for i, h := range r.hosts {
		attempts += r.sent[i][bin]
		sum += h.effectiveWeight(binStart(bin))
		cumulativeWeights[i] = sum
	}
	for range attempts {
		drawn := random.Float64() * sum
		i := 0
		for cumulativeWeights[i] <= drawn {
			i++
		}
		r.baseline[i][bin]++
	}
}

// MeanLatency returns the mean latency of the successful attempts; 0 if there are none.
func (r *Result) MeanLatency() time.Duration {
	return r.totalLatency / time.Duration(max(r.Succeeded, 1))
}

// SlowHostRatio returns the ratio of the mean number of attempts at a slow host to that at any other host.
func (r *Result) SlowHostRatio() float64 {
	var slow, other, slowHosts, otherHosts float64
	for i, h := range r.hosts {
		attempts := 0.0
		for _, n := range r.sent[i] {
			attempts += float64(n)
		}
		if h.slow {
			slow += attempts
			slowHosts++
		} else {
			other += attempts
			otherHosts++
		}
	}
	return slow / slowHosts / (other / otherHosts)
}

// Evenness describes, for windows of one length, the ratios of the attempts that hosts received to their shares by
// weight: the largest and the smallest ratio of any host in any window, and the means over all windows of each window's
// largest and smallest.
type Evenness struct {
	MaxRatio, MinRatio         float64
	MeanMaxRatio, MeanMinRatio float64
}

func (e Evenness) String() string {
	return fmt.Sprintf("%.2f..%.2f (mean of windows %.2f..%.2f)", e.MinRatio, e.MaxRatio, e.MeanMinRatio, e.MeanMaxRatio)
}

// Evenness returns the evenness in all windows of a length between two times of the scenario, one window starting each
// second, for the attempts sent and for the baseline. A window leaves out hosts that were not warm throughout it.
func (r *Result) Evenness(from, to, length time.Duration) (sent, baseline Evenness) {
	return r.evenness(r.sent, from, to, length), r.evenness(r.baseline, from, to, length)
}

func (r *Result) evenness(counts attemptCounts, from, to, length time.Duration) Evenness {
	evenness := Evenness{MinRatio: math.Inf(1)}
	windows := 0.0
	for first := binAt(from); first+binAt(length) <= binAt(to); first += binsPerSecond {
		least, most := math.Inf(1), 0.0
		for _, ratio := range r.shareRatios(counts, first, first+binAt(length), true) {
			if math.IsNaN(ratio) {
				continue
			}
			least = min(least, ratio)
			most = max(most, ratio)
		}
		evenness.MinRatio = min(evenness.MinRatio, least)
		evenness.MaxRatio = max(evenness.MaxRatio, most)
		evenness.MeanMinRatio += least
		evenness.MeanMaxRatio += most
		windows++
	}
	evenness.MeanMinRatio /= windows
	evenness.MeanMaxRatio /= windows
	return evenness
}

// shareRatios returns, by host, the ratio of the attempts received in the bins from first up to but not including end
// to the host's share by weight. It is NaN for hosts that did not run throughout and, with onlyWarm, for those that
// were still warming up at the start.
func (r *Result) shareRatios(counts attemptCounts, first, end int, onlyWarm bool) []float64 {
	ratios := make([]float64, len(r.hosts))
	weights := make([]float64, len(r.hosts))
	total, totalWeight := 0.0, 0.0
	for i, h := range r.hosts {
		ratios[i] = math.NaN()
		if !h.runsThroughout(binStart(first), binStart(end)) {
			continue
		}
		if onlyWarm && h.warmUpFactor(binStart(first)) < 1 {
			continue
		}
		ratios[i] = 0
		for bin := first; bin < end; bin++ {
			ratios[i] += float64(counts[i][bin])
			weights[i] += h.effectiveWeight(binStart(bin))
		}
		total += ratios[i]
		totalWeight += weights[i]
	}
	for i := range ratios {
		ratios[i] /= max(total*weights[i]/totalWeight, 1e-9)
	}
	return ratios
}

// runsThroughout reports whether the host ran from one instant to another, and none of that time was within
// silenceMargin before the end of a silence.
func (h *host) runsThroughout(from, to gateway.Time) bool {
	const silenceMargin = 20 * time.Second // time before the end of a silence that is left out
	if h.effectiveWeight(from) == 0 || h.runningUntil < to {
		return false
	}
	nearSilence := h.silentUntil > 0 && from < h.silentUntil && to > h.silentUntil.Add(-silenceMargin)
	return !nearSilence
}

// Overload describes hosts that receive more than their share in windows of one second.
type Overload struct {
	Longest  time.Duration // longest time in which a host received over 1.5 times its share in each window
	MaxRatio float64       // largest ratio of what a host received in a window to its share
}

// Overload returns the overload between two times of the scenario, for the attempts sent and for the baseline. It
// includes hosts that are warming up.
func (r *Result) Overload(from, to time.Duration) (sent, baseline Overload) {
	return r.overload(r.sent, from, to), r.overload(r.baseline, from, to)
}

func (r *Result) overload(counts attemptCounts, from, to time.Duration) Overload {
	const threshold = 1.5
	var overload Overload
	overloadedBins := make([]int, len(r.hosts)) // number of consecutive overloaded windows so far, by host
	for first := binAt(from); first+binsPerSecond <= binAt(to); first++ {
		for i, ratio := range r.shareRatios(counts, first, first+binsPerSecond, false) {
			if !math.IsNaN(ratio) {
				overload.MaxRatio = max(overload.MaxRatio, ratio)
			}
			if math.IsNaN(ratio) || ratio <= threshold {
				overloadedBins[i] = 0
				continue
			}
			overloadedBins[i]++
			overload.Longest = max(overload.Longest, time.Duration(overloadedBins[i])*binLength)
		}
	}
	return overload
}

// idleBins is the number of consecutive bins without an attempt (two seconds) after which a host counts as idle.
const idleBins = 2 * binsPerSecond

// IdleHosts returns the number of warm hosts that received no attempt for two seconds at some point between two times
// of the scenario, for the attempts sent and for the baseline, and the mean number of attempts that a running host
// received in two seconds.
func (r *Result) IdleHosts(from, to time.Duration) (sent, baseline int, mean float64) {
	total := 0
	runningBins := 0.0
	for i, h := range r.hosts {
		for bin := binAt(from); bin < binAt(to); bin++ {
			total += r.sent[i][bin]
			if h.effectiveWeight(binStart(bin)) > 0 {
				runningBins++
			}
		}
	}
	mean = float64(total) / runningBins * float64(idleBins)
	return r.countIdle(r.sent, from, to), r.countIdle(r.baseline, from, to), mean
}

func (r *Result) countIdle(counts attemptCounts, from, to time.Duration) int {
	idle := 0
	for i, h := range r.hosts {
		if h.wasIdle(counts[i], from, to) {
			idle++
		}
	}
	return idle
}

// wasIdle reports whether the host received nothing for idleBins in a row while it was warm. counts holds its attempts
// by bin. A host that was silent at any time is never idle.
func (h *host) wasIdle(counts []int, from, to time.Duration) bool {
	gap := 0
	for bin := binAt(from); bin < binAt(to); bin++ {
		now := binStart(bin)
		busy := counts[bin] > 0
		notWarm := h.effectiveWeight(now) == 0 || h.warmUpFactor(now) < 1 || h.silentUntil > 0
		if busy || notWarm {
			gap = 0
			continue
		}
		gap++
		if gap >= idleBins {
			return true
		}
	}
	return false
}
