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

// binAt returns the bin of an instant, given as the time since the start of the day.
func binAt(elapsed time.Duration) int { return int(elapsed / binLength) }

// binStart returns the instant at which a bin starts.
func binStart(bin int) gateway.Time { return startTime.Add(time.Duration(bin) * binLength) }

// Result is what a day measured. The attempts sent are compared with a random baseline: the same number of attempts in
// each bin, distributed over the hosts that run then at random by weight and warm-up, with full knowledge of them.
type Result struct {
	Requests     int
	Succeeded    int
	HostsUsed    float64 // hosts that a gateway sent attempts to, on average
	totalLatency time.Duration
	hosts        []*host
	sent         attemptCounts
	baseline     attemptCounts
}

// attemptCounts counts attempts by host and bin.
type attemptCounts [][]int

// measure counts the attempts that hosts received and draws the baseline.
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

// drawBaseline distributes the attempts of one bin over the hosts.
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

// MeanLatency returns the mean latency of the successful attempts.
func (r *Result) MeanLatency() time.Duration {
	return r.totalLatency / time.Duration(max(r.Succeeded, 1))
}

// SlowHostRatio returns the attempts that a slow host received over those of another host.
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

// Evenness compares what hosts received with their shares in windows of one length: the most and the least that a host
// received over its share, in the worst window and as the mean of all windows.
type Evenness struct {
	MaxRatio, MinRatio         float64
	MeanMaxRatio, MeanMinRatio float64
}

func (e Evenness) String() string {
	return fmt.Sprintf("%.2f..%.2f (mean of windows %.2f..%.2f)", e.MinRatio, e.MaxRatio, e.MeanMinRatio, e.MeanMaxRatio)
}

// Evenness returns the evenness in all windows of a length between two times of the day, among hosts that were warm
// throughout: of the attempts sent, and of the baseline.
func (r *Result) Evenness(from, to, length time.Duration) (sent, baseline Evenness) {
	return r.evenness(r.sent, from, to, length), r.evenness(r.baseline, from, to, length)
}

func (r *Result) evenness(counts attemptCounts, from, to, length time.Duration) Evenness {
	e := Evenness{MinRatio: math.Inf(1)}
	windows := 0.0
	for first := binAt(from); first+binAt(length) <= binAt(to); first += binsPerSecond {
		least, most := math.Inf(1), 0.0
		for _, ratio := range r.ratios(counts, first, first+binAt(length), true) {
			if math.IsNaN(ratio) {
				continue
			}
			least = min(least, ratio)
			most = max(most, ratio)
		}
		e.MinRatio = min(e.MinRatio, least)
		e.MaxRatio = max(e.MaxRatio, most)
		e.MeanMinRatio += least
		e.MeanMaxRatio += most
		windows++
	}
	e.MeanMinRatio /= windows
	e.MeanMaxRatio /= windows
	return e
}

// ratios returns what each host received in the bins from first to before end over its share, and NaN for hosts that
// didn't run throughout; with onlyWarm also for those that were still warming up at the start.
func (r *Result) ratios(counts attemptCounts, first, end int, onlyWarm bool) []float64 {
	ratios := make([]float64, len(r.hosts))
	weights := make([]float64, len(r.hosts))
	total, totalWeight := 0.0, 0.0
	for i, h := range r.hosts {
		ratios[i] = math.NaN()
		if !h.available(binStart(first), binStart(end)) {
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

// available reports whether the host ran between two instants, outside the time around a silence.
func (h *host) available(from, to gateway.Time) bool {
	const silenceMargin = 20 * time.Second // before the end of a silence
	if h.effectiveWeight(from) == 0 || h.runningUntil < to {
		return false
	}
	nearSilence := h.silentUntil > 0 && from < h.silentUntil && to > h.silentUntil.Add(-silenceMargin)
	return !nearSilence
}

// Overload describes hosts that receive more than their share in windows of a second.
type Overload struct {
	Longest  time.Duration // that one host received over 1.5 times its share in each window
	MaxRatio float64       // that one host received over its share in a window
}

// Overload returns the overload between two times of the day, of hosts that warm up too: of the attempts sent, and of
// the baseline.
func (r *Result) Overload(from, to time.Duration) (sent, baseline Overload) {
	return r.overload(r.sent, from, to), r.overload(r.baseline, from, to)
}

func (r *Result) overload(counts attemptCounts, from, to time.Duration) Overload {
	const threshold = 1.5
	var o Overload
	overloadedBins := make([]int, len(r.hosts)) // in a row, by host
	for first := binAt(from); first+binsPerSecond <= binAt(to); first++ {
		for i, ratio := range r.ratios(counts, first, first+binsPerSecond, false) {
			if !math.IsNaN(ratio) {
				o.MaxRatio = max(o.MaxRatio, ratio)
			}
			if math.IsNaN(ratio) || ratio <= threshold {
				overloadedBins[i] = 0
				continue
			}
			overloadedBins[i]++
			o.Longest = max(o.Longest, time.Duration(overloadedBins[i])*binLength)
		}
	}
	return o
}

// idleBins is how many bins in a row without an attempt make a host idle.
const idleBins = 2 * binsPerSecond

// IdleHosts returns the number of warm hosts that were idle for two seconds at some time, for the attempts sent and for the
// baseline, and the mean number of attempts that a host received in two seconds.
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
		if h.idle(counts[i], from, to) {
			idle++
		}
	}
	return idle
}

// idle reports whether the host received nothing for idleBins in a row while it was warm; counts are its attempts by
// bin.
func (h *host) idle(counts []int, from, to time.Duration) bool {
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
