package fleet

import (
	"math"
	"sort"
	"time"
)

// Lengths of the windows in which loads are measured.
const (
	shortWindow = time.Second
	longWindow  = 10 * time.Second
)

const (
	idlePeriod     = 2 * time.Second
	overloadFactor = 1.5 // of a host's share
	overloadTick   = 100 * time.Millisecond
	overloadTicks  = int(shortWindow / overloadTick) // of a window
	minAttempts    = 5                               // by the share of a host, below which it counts as not overloaded
)

// measureAttempts returns the figures that depend on the attempts alone.
func measureAttempts(attempts []attempt, shares []float64, from, to int64) Evenness {
	evenness := Evenness{Hosts: len(shares), Attempts: len(attempts), Windows: map[time.Duration]WindowStats{}}
	for _, length := range []time.Duration{shortWindow, longWindow} {
		stats := measureWindows(attempts, shares, from, to, int64(length))
		if stats.Count > 0 {
			evenness.Windows[length] = stats
		}
	}
	evenness.IdlePeriods = countIdlePeriods(attempts, len(shares), from, to)
	evenness.LongestOverload, evenness.OverloadedHosts = measureOverload(attempts, shares, from, to)
	return evenness
}

// measureWindows returns the figures of the windows of one length that follow each other.
func measureWindows(attempts []attempt, shares []float64, from, to, length int64) WindowStats {
	sums := WindowStats{MinLoad: math.Inf(1)}
	next := 0
	for at := from; at+length <= to; at += length {
		first := next
		for next < len(attempts) && attempts[next].at < at+length {
			next++
		}
		if next > first {
			sums.addWindow(attempts[first:next], shares)
		}
	}
	if sums.Count > 0 {
		count := float64(sums.Count)
		sums.MeanMaxLoad /= count
		sums.MeanMinLoad /= count
		sums.MeanDeviation /= count
	}
	return sums
}

// addWindow adds the figures of one window with attempts to sums.
func (w *WindowStats) addWindow(attempts []attempt, shares []float64) {
	counts := make([]float64, len(shares))
	for _, attempt := range attempts {
		counts[attempt.host]++
	}
	least := math.Inf(1)
	most := 0.0
	squares := 0.0
	for k := range counts {
		load := counts[k] / (float64(len(attempts)) * shares[k])
		least = min(least, load)
		most = max(most, load)
		squares += (load - 1) * (load - 1)
	}
	w.Count++
	w.MeanMaxLoad += most
	w.MeanMinLoad += least
	w.MeanDeviation += math.Sqrt(squares / float64(len(shares)))
	w.MaxLoad = max(w.MaxLoad, most)
	w.MinLoad = min(w.MinLoad, least)
}

// countIdlePeriods returns the number of periods, each begun by a host's latest attempt or the end of the period
// before, in which the host got nothing while the mean host got minAttempts or more.
func countIdlePeriods(attempts []attempt, hosts int, from, to int64) (count float64) {
	periodStart := make([]int64, hosts)
	for k := range periodStart {
		periodStart[k] = from
	}
	firstFrom := func(at int64) int {
		return sort.Search(len(attempts), func(i int) bool { return attempts[i].at >= at })
	}
	endPeriods := func(host int, until int64) {
		for until-periodStart[host] >= int64(idlePeriod) {
			end := periodStart[host] + int64(idlePeriod)
			if firstFrom(end)-firstFrom(periodStart[host]) >= minAttempts*hosts {
				count++
			}
			periodStart[host] = end
		}
	}
	for _, attempt := range attempts {
		endPeriods(attempt.host, attempt.at)
		periodStart[attempt.host] = attempt.at
	}
	for host := range periodStart {
		endPeriods(host, to)
	}
	return count
}

// measureOverload returns the longest time that a host stayed above overloadFactor times its share, in windows of
// shortWindow that move by overloadTick, and the number of hosts that did so for longer than shortWindow. A window
// counts if the host's share of it is minAttempts or more.
func measureOverload(attempts []attempt, shares []float64, from, to int64) (longest time.Duration, hosts float64) {
	counts := countByTick(attempts, len(shares), from, to)
	sums := make([]int, len(counts))
	for tick := range counts {
		for _, count := range counts[tick] {
			sums[tick] += int(count)
		}
	}
	for host, share := range shares {
		overload := longestOverload(counts, sums, host, share)
		longest = max(longest, overload)
		if overload > shortWindow {
			hosts++
		}
	}
	return longest, hosts
}

// countByTick returns the number of attempts by tick and host.
func countByTick(attempts []attempt, hosts int, from, to int64) [][]int32 {
	counts := make([][]int32, int((to-from)/int64(overloadTick)))
	for tick := range counts {
		counts[tick] = make([]int32, hosts)
	}
	for _, attempt := range attempts {
		tick := int((attempt.at - from) / int64(overloadTick))
		if tick < len(counts) {
			counts[tick][attempt.host]++
		}
	}
	return counts
}

// longestOverload returns the longest time that one host stayed overloaded.
func longestOverload(counts [][]int32, sums []int, host int, share float64) time.Duration {
	ticks := 0
	mostTicks := 0
	ofHost := 0 // attempts of the window
	ofAll := 0  // attempts of the window
	for tick := range counts {
		ofHost += int(counts[tick][host])
		ofAll += sums[tick]
		if tick >= overloadTicks {
			ofHost -= int(counts[tick-overloadTicks][host])
			ofAll -= sums[tick-overloadTicks]
		}
		want := float64(ofAll) * share
		complete := tick >= overloadTicks-1
		if complete && want >= minAttempts && float64(ofHost) > overloadFactor*want {
			ticks++
		} else {
			ticks = 0
		}
		mostTicks = max(mostTicks, ticks)
	}
	return time.Duration(mostTicks) * overloadTick
}
