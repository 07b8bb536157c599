package fleet

import (
	"math"
	"sort"
	"time"
)

// Lengths of the windows in which the hosts' loads are measured.
const (
	shortWindow = time.Second
	longWindow  = 10 * time.Second
)

const (
	idlePeriod          = 2 * time.Second
	overloadFactor      = 1.5                    // load of a host above which it counts as overloaded
	overloadTick        = 100 * time.Millisecond // step by which the overload window slides
	ticksPerWindow      = int(shortWindow / overloadTick)
	minExpectedAttempts = 5 // attempts by a host's share below which a window says nothing about overload or idleness
)

// measureAttempts returns the figures that follow from the attempts alone, without those of connections.
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

// measureWindows returns the statistics of the consecutive windows of one length in [from, to). A last, incomplete
// window and windows without attempts are left out.
func measureWindows(attempts []attempt, shares []float64, from, to, length int64) WindowStats {
	stats := WindowStats{MinLoad: math.Inf(1)}
	next := 0
	for at := from; at+length <= to; at += length {
		first := next
		for next < len(attempts) && attempts[next].at < at+length {
			next++
		}
		if next > first {
			stats.addWindow(attempts[first:next], shares)
		}
	}
	if stats.Count > 0 {
		count := float64(stats.Count)
		stats.MeanMaxLoad /= count
		stats.MeanMinLoad /= count
		stats.MeanDeviation /= count
	}
	return stats
}

// addWindow adds the loads of one window to the sums in w. measureWindows divides these by the number of windows.
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

// countIdlePeriods returns the number of periods of idlePeriod without an attempt at one host, in which hosts got
// minExpectedAttempts or more each on average. A host's period starts at its latest attempt or at the end of its
// previous idle period.
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
			if firstFrom(end)-firstFrom(periodStart[host]) >= minExpectedAttempts*hosts {
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

// measureOverload returns the longest time for which one host's load stayed above overloadFactor, and the number of
// hosts for which it lasted longer than shortWindow. Loads are taken in windows of shortWindow that slide by
// overloadTick. A window counts as overloaded only if the host's share of its attempts is minExpectedAttempts or more.
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

// countByTick returns the number of attempts by tick, counted from the start of the interval, and host.
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

// longestOverload returns the longest time for which one host was overloaded in every window. counts holds attempts by
// tick and host, sums those of all hosts by tick.
func longestOverload(counts [][]int32, sums []int, host int, share float64) time.Duration {
	ticks := 0
	mostTicks := 0
	hostAttempts := 0 // at this host within the current window
	allAttempts := 0  // at all hosts within the current window
	for tick := range counts {
		hostAttempts += int(counts[tick][host])
		allAttempts += sums[tick]
		if tick >= ticksPerWindow {
			hostAttempts -= int(counts[tick-ticksPerWindow][host])
			allAttempts -= sums[tick-ticksPerWindow]
		}
		expected := float64(allAttempts) * share
		complete := tick >= ticksPerWindow-1
		if complete && expected >= minExpectedAttempts && float64(hostAttempts) > overloadFactor*expected {
			ticks++
		} else {
			ticks = 0
		}
		mostTicks = max(mostTicks, ticks)
	}
	return time.Duration(mostTicks) * overloadTick
}
