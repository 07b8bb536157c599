package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Result is what a day measured, beside the same attempts spread by chance: those of each tenth of a second over the
// hosts that run then, by weight and warm-up.
type Result struct {
	Requests  int
	Succeeded int
	Rejected  int
	HostsUsed float64 // by a gateway, mean

	start        int64
	totalLatency time.Duration // of successes
	bins         int
	hosts        []*host
	byChance     [][]int // attempts by host and bin
}

const (
	binsPerSecond = int(int64(time.Second) / binLength)
	idleSeconds   = 2
	overload      = 1.5 // of a host's share
	// silenceMargin is the time before the end of a host's silence in which its load is not measured.
	silenceMargin = int64(20 * time.Second)
)

// binAt returns the bin of a time since the start.
func binAt(time time.Duration) int { return int(int64(time) / binLength) }

// timeOf returns the start of a bin.
func (r *Result) timeOf(bin int) int64 { return r.start + int64(bin)*binLength }

// spreadByChance spreads the attempts of each bin over the hosts at random by their shares.
func (r *Result) spreadByChance(hosts []*host, random *rand.Rand, bins int) {
	r.hosts = hosts
	r.bins = bins
	r.byChance = make([][]int, len(hosts))
	for i, host := range hosts {
		host.received = append(host.received, make([]int, max(bins-len(host.received)+1, 0))...)
		r.byChance[i] = make([]int, bins)
	}
	for bin := range bins {
		attempts := 0
		sum := 0.0
		cumulativeShares := make([]float64, len(hosts))
		for i, host := range hosts {
			attempts += host.received[bin]
			sum += host.share(r.timeOf(bin))
			cumulativeShares[i] = sum
		}
		for range attempts {
			draw := random.Float64() * sum
			i := 0
			for cumulativeShares[i] <= draw {
				i++
			}
			r.byChance[i][bin]++
		}
	}
}

// MeanLatency returns the mean latency of successes.
func (r *Result) MeanLatency() time.Duration {
	return r.totalLatency / time.Duration(max(r.Succeeded, 1))
}

// SlowHostRatio returns the mean attempts of a slow host divided by those of another.
func (r *Result) SlowHostRatio() float64 {
	var slowAttempts, otherAttempts, slowHosts, otherHosts float64
	for _, host := range r.hosts {
		attempts := 0
		for _, count := range host.received {
			attempts += count
		}
		if host.slow {
			slowHosts++
			slowAttempts += float64(attempts)
		} else {
			otherHosts++
			otherAttempts += float64(attempts)
		}
	}
	return slowAttempts / slowHosts / (otherAttempts / otherHosts)
}

// LoadRange is the loads of the most and the least loaded host in windows of one length, as multiples of their shares:
// of the worst window, and as means of all windows.
type LoadRange struct {
	Most      float64
	Least     float64
	MeanMost  float64
	MeanLeast float64
}

// String returns the range in a few words.
func (l LoadRange) String() string {
	return fmt.Sprintf("%.2f..%.2f (mean of windows %.2f..%.2f)", l.Least, l.Most, l.MeanLeast, l.MeanMost)
}

// Windows returns the loads in windows between two times, at hosts that ran warmed up throughout: those of the fleet,
// and by chance.
func (r *Result) Windows(from, to, length time.Duration) (sent, chance LoadRange) {
	return r.windows(from, to, length, false), r.windows(from, to, length, true)
}

// windows is Windows for the fleet or for chance.
func (r *Result) windows(from, to, length time.Duration, chance bool) LoadRange {
	loadRange := LoadRange{Least: math.Inf(1)}
	count := 0.0
	for first := binAt(from); first+binAt(length) <= binAt(to); first += binsPerSecond {
		least := math.Inf(1)
		most := 0.0
		for _, load := range r.loads(first, first+binAt(length), chance, true) {
			if !math.IsNaN(load) {
				least = min(least, load)
				most = max(most, load)
			}
		}
		loadRange.Least = min(loadRange.Least, least)
		loadRange.Most = max(loadRange.Most, most)
		loadRange.MeanLeast += least
		loadRange.MeanMost += most
		count++
	}
	loadRange.MeanLeast /= count
	loadRange.MeanMost /= count
	return loadRange
}

// attempts returns the attempts at a host by bin.
func (r *Result) attempts(host int, chance bool) []int {
	if chance {
		return r.byChance[host]
	}
	return r.hosts[host].received
}

// measurable reports whether a host ran throughout a window, warmed up if that is wanted, and without having been
// silent.
func (r *Result) measurable(host *host, first, end int64, warm bool) bool {
	if host.share(first) == 0 || host.runsUntil < end {
		return false
	}
	if warm && host.warmUpFactor(first) < 1 {
		return false
	}
	return host.silentUntil == 0 || end <= host.silentUntil-silenceMargin || first >= host.silentUntil
}

// loads returns the hosts' loads in the bins of a window, as multiples of their shares; NaN for those that did not run
// throughout.
func (r *Result) loads(firstBin, endBin int, chance, warm bool) []float64 {
	loads := make([]float64, len(r.hosts))
	shares := make([]float64, len(r.hosts))
	allAttempts := 0.0
	allShares := 0.0
	for i, host := range r.hosts {
		if !r.measurable(host, r.timeOf(firstBin), r.timeOf(endBin), warm) {
			loads[i] = math.NaN()
			continue
		}
		for bin := firstBin; bin < endBin; bin++ {
			loads[i] += float64(r.attempts(i, chance)[bin])
			shares[i] += host.share(r.timeOf(bin))
		}
		allAttempts += loads[i]
		allShares += shares[i]
	}
	for i := range loads {
		loads[i] /= max(allAttempts*shares[i]/allShares, 1e-9)
	}
	return loads
}

// Overload is the longest time that a host, cold or not, stayed above 1.5 times its share in windows of a second, and
// the highest load of a second.
type Overload struct {
	Longest time.Duration
	Most    float64
}

// Overload returns the overload between two times: that of the fleet, and by chance.
func (r *Result) Overload(from, to time.Duration) (sent, chance Overload) {
	return r.overload(from, to, false), r.overload(from, to, true)
}

// overload is Overload for the fleet or for chance.
func (r *Result) overload(from, to time.Duration, chance bool) (worst Overload) {
	bins := make([]int, len(r.hosts)) // by host: since when it is overloaded
	for first := binAt(from); first+binsPerSecond <= binAt(to); first++ {
		for i, load := range r.loads(first, first+binsPerSecond, chance, false) {
			if !math.IsNaN(load) {
				worst.Most = max(worst.Most, load)
			}
			if load > overload {
				bins[i]++
				worst.Longest = max(worst.Longest, time.Duration(int64(bins[i])*binLength))
			} else {
				bins[i] = 0
			}
		}
	}
	return worst
}

// IdleHosts returns the number of hosts that ran warmed up and received nothing for two seconds at some time, of the
// fleet and by chance, and the mean attempts of a host in two seconds.
func (r *Result) IdleHosts(from, to time.Duration) (sent, chance int, mean float64) {
	total := 0
	running := 0.0
	for _, host := range r.hosts {
		for bin := binAt(from); bin < binAt(to); bin++ {
			total += host.received[bin]
			if host.share(r.timeOf(bin)) > 0 {
				running++
			}
		}
	}
	mean = float64(total) / running * float64(idleSeconds*binsPerSecond)
	return r.idleHosts(from, to, false), r.idleHosts(from, to, true), mean
}

// idleHosts counts the idle hosts of the fleet or by chance.
func (r *Result) idleHosts(from, to time.Duration, chance bool) (count int) {
	for i, host := range r.hosts {
		gap := 0
		idle := false
		for bin := binAt(from); bin < binAt(to); bin++ {
			now := r.timeOf(bin)
			excluded := host.share(now) == 0 || host.warmUpFactor(now) < 1 || host.silentUntil > 0
			gap++
			if excluded || r.attempts(i, chance)[bin] > 0 {
				gap = 0
			}
			idle = idle || gap >= idleSeconds*binsPerSecond
		}
		if idle {
			count++
		}
	}
	return count
}
