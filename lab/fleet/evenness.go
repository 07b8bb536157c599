package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// Evenness says how evenly the attempts of an interval were spread over its hosts. A host's load is its number of
// attempts in a window, divided by the number that its share by weight of all attempts in that window would give. A
// load of 1 is perfectly even.
type Evenness struct {
	Hosts    int
	Attempts int
	Windows  map[time.Duration]WindowStats // by window length
	// IdlePeriods is the number of periods of 2 s in which a host got no attempt while hosts got 5 or more each on
	// average.
	IdlePeriods     float64
	GatewaysPerHost MinMeanMax // number of gateways that sent attempts to a host
	OpenedConns     int        // connections to the hosts opened during the interval
	InitialConns    int        // connections to the hosts open at the start of the interval
	// LongestOverload is the longest time for which a host's load stayed above 1.5, in sliding windows of 1 s.
	LongestOverload time.Duration
	OverloadedHosts float64 // number of hosts whose load stayed above 1.5 for over 1 s; a mean for random spreads
}

// MinMeanMax holds the minimum, the mean and the maximum of a distribution.
type MinMeanMax struct {
	Min  float64
	Mean float64
	Max  float64
}

// WindowStats are statistics of the hosts' loads over consecutive windows of one length.
type WindowStats struct {
	Count         int     // windows that contain at least one attempt
	MeanMaxLoad   float64 // mean over the windows of the load of the most loaded host
	MeanMinLoad   float64 // mean over the windows of the load of the least loaded host
	MeanDeviation float64 // mean over the windows of the root mean square deviation of the loads from 1
	MaxLoad       float64 // highest load of a host in any window
	MinLoad       float64 // lowest load of a host in any window
}

// attempt records when one attempt arrived, and at which of the measured hosts.
type attempt struct {
	at   int64 // arrival at the host, in ns of actor.Now
	host int   // index among the measured hosts
}

// randomSpreads is the number of random spreads of the same attempts over which the figures for a random balancer are
// averaged.
const randomSpreads = 10

// MeasureEvenness measures the interval [from, to), in nanoseconds of actor.Now, at hosts that were running and listed
// throughout it. It returns the figures of the fleet and, for comparison, those of the same attempts as two other
// balancers would have spread them: chance draws each host at random by weight, and roundRobin is a smooth weighted
// round robin in a single balancer that sees all attempts.
func (r *Report) MeasureEvenness(hosts []int, from, to int64) (fleet, chance, roundRobin Evenness) {
	attempts := r.attempts(hosts, from, to)
	shares := r.shares(hosts)
	fleet = measureAttempts(attempts, shares, from, to)
	r.measureConnections(&fleet, hosts, from, to)
	for run := range uint64(randomSpreads) {
		random := rand.New(rand.NewPCG(r.Scenario.Options.Seed, run))
		spread := measureAttempts(spreadRandomly(attempts, shares, random), shares, from, to)
		chance = chance.add(spread, 1.0/randomSpreads)
	}
	chance.Hosts = fleet.Hosts
	chance.Attempts = fleet.Attempts
	return fleet, chance, measureAttempts(spreadRoundRobin(attempts, shares), shares, from, to)
}

// attempts returns the attempts at some hosts in [from, to), in order of arrival.
func (r *Report) attempts(hosts []int, from, to int64) (attempts []attempt) {
	for k, host := range hosts {
		for _, command := range r.Hosts[host].Commands {
			if command.ReceivedAt >= from && command.ReceivedAt < to {
				attempts = append(attempts, attempt{command.ReceivedAt, k})
			}
		}
	}
	slices.SortFunc(attempts, func(a, b attempt) int { return int(a.at - b.at) })
	return attempts
}

// shares returns each host's weight as a fraction of the sum of all weights.
func (r *Report) shares(hosts []int) []float64 {
	shares := make([]float64, len(hosts))
	sum := 0.0
	for k, host := range hosts {
		shares[k] = r.Hosts[host].Weight
		sum += shares[k]
	}
	for k := range shares {
		shares[k] /= sum
	}
	return shares
}

// measureConnections fills in the figures about connections and about the number of gateways that used each host.
func (r *Report) measureConnections(evenness *Evenness, hosts []int, from, to int64) {
	perHost := MinMeanMax{Min: math.Inf(1)}
	sum := 0
	for _, host := range hosts {
		log := &r.Hosts[host].HostLog
		gateways := map[int]bool{}
		for _, command := range log.Commands {
			request, ok := r.Request(command.ID)
			if ok && command.ReceivedAt >= from && command.ReceivedAt < to {
				gateways[request.Gateway] = true
			}
		}
		for _, at := range log.AcceptedAt {
			if at >= from && at < to {
				evenness.OpenedConns++
			}
		}
		if step, ok := log.LoadAt(from); ok {
			evenness.InitialConns += step.OpenConns
		}
		sum += len(gateways)
		perHost.Min = min(perHost.Min, float64(len(gateways)))
		perHost.Max = max(perHost.Max, float64(len(gateways)))
	}
	perHost.Mean = float64(sum) / float64(len(hosts))
	evenness.GatewaysPerHost = perHost
}

// spreadRandomly returns the attempts with each host drawn at random, with its share as the probability.
func spreadRandomly(attempts []attempt, shares []float64, random *rand.Rand) []attempt {
	var cumulative []float64
	sum := 0.0
	for _, share := range shares {
		sum += share
		cumulative = append(cumulative, sum)
	}
	spread := slices.Clone(attempts)
	for i := range spread {
		spread[i].host = min(sort.SearchFloat64s(cumulative, random.Float64()*sum), len(shares)-1)
	}
	return spread
}

// spreadRoundRobin returns the attempts with hosts chosen by smooth weighted round robin.
func spreadRoundRobin(attempts []attempt, shares []float64) []attempt {
	spread := slices.Clone(attempts)
	credit := make([]float64, len(shares))
	for i := range spread {
		best := 0
		for k := range credit {
			credit[k] += shares[k]
			if credit[k] > credit[best] {
				best = k
			}
		}
		credit[best]--
		spread[i].host = best
	}
	return spread
}

// add returns the sum of these figures and factor times the other ones. It leaves out the numbers of hosts and attempts
// and the figures of connections.
func (e Evenness) add(other Evenness, factor float64) Evenness {
	if e.Windows == nil {
		e.Windows = map[time.Duration]WindowStats{}
	}
	for length, stats := range other.Windows {
		sum := e.Windows[length]
		e.Windows[length] = WindowStats{
			Count:         stats.Count,
			MeanMaxLoad:   sum.MeanMaxLoad + factor*stats.MeanMaxLoad,
			MeanMinLoad:   sum.MeanMinLoad + factor*stats.MeanMinLoad,
			MeanDeviation: sum.MeanDeviation + factor*stats.MeanDeviation,
			MaxLoad:       sum.MaxLoad + factor*stats.MaxLoad,
			MinLoad:       sum.MinLoad + factor*stats.MinLoad,
		}
	}
	e.IdlePeriods += factor * other.IdlePeriods
	e.LongestOverload += time.Duration(factor * float64(other.LongestOverload))
	e.OverloadedHosts += factor * other.OverloadedHosts
	return e
}

// EvenWithin limits the loads of the hosts that were listed at first, after the warm-up: in windows of 10 s, the mean
// of the highest load must be at most maxLoad and the mean of the lowest at least minLoad. A figure that is outside its
// bound still passes if it is within 1.1 times that of a random balancer. The check does not judge a run in which the
// emulators were late, because the gateways then balance for hosts that a busy machine slows down.
func EvenWithin(maxLoad, minLoad float64) Check {
	const margin = 1.1
	return Check{fmt.Sprintf("hosts between %g and %g of their share in 10 s", minLoad, maxLoad), func(r *Report) string {
		fleet, chance, _ := r.MeasureEvenness(r.initialHosts(), r.StartedAt+int64(r.Scenario.WarmUp), r.EndedAt)
		fleetStats := fleet.Windows[longWindow]
		chanceStats := chance.Windows[longWindow]
		within := fleetStats.MeanMaxLoad <= max(maxLoad, margin*chanceStats.MeanMaxLoad) &&
			fleetStats.MeanMinLoad >= min(minLoad, chanceStats.MeanMinLoad/margin)
		if fleetStats.Count > 0 && within {
			return ""
		}
		clients, hosts := r.EmulatorDelays()
		if max(clients, hosts) > busyMachineDelay/5 {
			return ""
		}
		return fmt.Sprintf("%v; by chance %v", fleet, chance)
	}}
}

// initialHosts returns the indexes of the hosts in the first host list. It expects the unlisted hosts to have the
// highest indexes.
func (r *Report) initialHosts() []int {
	options := &r.Scenario.Options
	return Indexes(0, options.Hosts-len(options.UnlistedHosts))
}

// String returns the figures in one line.
func (e Evenness) String() string {
	var text strings.Builder
	for _, length := range []time.Duration{shortWindow, longWindow} {
		if stats, ok := e.Windows[length]; ok {
			fmt.Fprintf(&text, "%v: most %.2f least %.2f variation %.3f; ", length,
				stats.MeanMaxLoad, stats.MeanMinLoad, stats.MeanDeviation)
		}
	}
	fmt.Fprintf(&text, "idle %.1f; over 1.5 for %.1f s, %.1f hosts", e.IdlePeriods, e.LongestOverload.Seconds(),
		e.OverloadedHosts)
	if e.GatewaysPerHost.Max > 0 {
		fmt.Fprintf(&text, "; used by %.0f to %.0f gateways, mean %.1f", e.GatewaysPerHost.Min, e.GatewaysPerHost.Max,
			e.GatewaysPerHost.Mean)
	}
	return text.String()
}
