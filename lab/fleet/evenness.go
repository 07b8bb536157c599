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

// Evenness is how evenly the attempts of an interval were spread over its hosts. The load of a host is its attempts
// divided by its share, by weight, of all attempts in the same window; 1 is even.
type Evenness struct {
	Hosts    int
	Attempts int
	Windows  map[time.Duration]WindowStats // by length
	// IdlePeriods is the number of periods of 2 s in which a host got nothing while the mean host got 5 or more attempts.
	IdlePeriods     float64
	GatewaysPerHost MinMeanMax // gateways that sent to a host
	OpenedConns     int        // that came up in the interval
	InitialConns    int        // that were open as the interval began
	// LongestOverload is the longest time that a host stayed above 1.5 times its share, in windows of 1 s.
	LongestOverload time.Duration
	OverloadedHosts float64 // hosts that did so for over 1 s
}

// MinMeanMax are three figures of one distribution.
type MinMeanMax struct {
	Min  float64
	Mean float64
	Max  float64
}

// WindowStats are of the windows of one length: the load of the most and the least loaded host and the variation of all
// hosts, as means over the windows, and the extremes.
type WindowStats struct {
	Count         int
	MeanMaxLoad   float64
	MeanMinLoad   float64
	MeanDeviation float64
	MaxLoad       float64
	MinLoad       float64
}

// attempt is one attempt at a host.
type attempt struct {
	at   int64
	host int // index among the measured hosts
}

// chanceRuns is the number of random spreads of the same attempts that the figures by chance are the mean of.
const chanceRuns = 10

// MeasureEvenness measures an interval of the run at hosts that ran and were listed all along. It returns the figures
// of the fleet, and those of the same attempts as chance (multinomial by weight) and round robin by a single balancer
// that sees all would have spread them.
func (r *Report) MeasureEvenness(hosts []int, from, to int64) (fleet, chance, roundRobin Evenness) {
	attempts := r.attempts(hosts, from, to)
	shares := r.shares(hosts)
	fleet = measureAttempts(attempts, shares, from, to)
	r.measureConnections(&fleet, hosts, from, to)
	for run := range uint64(chanceRuns) {
		random := rand.New(rand.NewPCG(r.Scenario.Options.Seed, run))
		spread := measureAttempts(spreadByChance(attempts, shares, random), shares, from, to)
		chance = chance.add(spread, 1.0/chanceRuns)
	}
	chance.Hosts = fleet.Hosts
	chance.Attempts = fleet.Attempts
	return fleet, chance, measureAttempts(spreadRoundRobin(attempts, shares), shares, from, to)
}

// attempts returns all attempts in an interval at some hosts, in order.
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

// shares returns the hosts' shares of the attempts by weight.
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

// measureConnections adds the figures of the gateways and connections of the hosts.
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

// spreadByChance returns the attempts with hosts drawn by their shares.
func spreadByChance(attempts []attempt, shares []float64, random *rand.Rand) []attempt {
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

// add returns the figures plus those of another, times a factor.
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

// EvenWithin returns a check: over the load after its warm-up, at the hosts that were listed at first, the load of
// the most and of the least loaded host lay within bounds in windows of 10 s, or within 1.1 times those of chance
// where these are wider. It does not judge a run in which the emulators themselves were late, as the gateways then
// balance for a busy machine.
func EvenWithin(most, least float64) Check {
	const margin = 1.1
	return Check{fmt.Sprintf("hosts between %g and %g of their share in 10 s", least, most), func(r *Report) string {
		fleet, chance, _ := r.MeasureEvenness(r.initialHosts(), r.StartedAt+int64(r.Scenario.WarmUp), r.EndedAt)
		ours := fleet.Windows[longWindow]
		byChance := chance.Windows[longWindow]
		within := ours.MeanMaxLoad <= max(most, margin*byChance.MeanMaxLoad) && ours.MeanMinLoad >= min(least, byChance.MeanMinLoad/margin)
		if ours.Count > 0 && within {
			return ""
		}
		clients, hosts := r.EmulatorDelays()
		if max(clients, hosts) > busyDelay/5 {
			return ""
		}
		return fmt.Sprintf("%v; by chance %v", fleet, chance)
	}}
}

// initialHosts returns the hosts that were listed at first.
func (r *Report) initialHosts() []int {
	options := &r.Scenario.Options
	return Indexes(0, options.Hosts-len(options.UnlistedHosts))
}

// String returns the figures in one line.
func (e Evenness) String() string {
	var text strings.Builder
	for _, length := range []time.Duration{shortWindow, longWindow} {
		if stats, ok := e.Windows[length]; ok {
			fmt.Fprintf(&text, "%v: most %.2f least %.2f variation %.3f; ", length, stats.MeanMaxLoad, stats.MeanMinLoad, stats.MeanDeviation)
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
