package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"ravensill/subset"
)

// FleetSize is the size of a fleet for which the figures of a rule are computed.
type FleetSize struct {
	Gateways int
	Hosts    int
	// LightFraction is the fraction of the hosts that have a quarter of the usual weight.
	LightFraction float64
}

// Range holds the smallest and the largest value of a figure.
type Range struct{ Min, Max float64 }

// include extends the range to all of the values.
func (r *Range) include(values []float64) {
	r.Min = min(r.Min, slices.Min(values))
	r.Max = max(r.Max, slices.Max(values))
}

func (r Range) String() string { return fmt.Sprintf("%.2f..%.2f", r.Min, r.Max) }

// Figures holds the figures of a rule for one fleet size, over several random lists of hosts. Each Range is one of
// ratios of what a host has to its share by weight: 1 is perfectly even.
type Figures struct {
	// GatewaysPerHost is the number of gateways that have a host in their subset.
	GatewaysPerHost Range
	// EvenLoad is the load of a host if all gateways have the same traffic and spread it evenly over their subsets.
	EvenLoad Range
	// SkewedLoad is the same if the traffic of the gateways is log-normal with sigma 1.
	SkewedLoad Range
	// OutdatedLoad is the same as EvenLoad while the endpoint list of every second gateway lacks one host in twenty.
	OutdatedLoad Range
	// MinSubsetSize and MaxSubsetSize are the number of hosts in the smallest and in the largest subset.
	MinSubsetSize int
	MaxSubsetSize int
	// Connections is the sum of the subset sizes: the mean over the lists.
	Connections float64
	// OpenedByHostLeave, OpenedByHostJoin and OpenedByGatewayJoin are the mean numbers of connections opened when a
	// host leaves, when a host joins and when a gateway is added.
	OpenedByHostLeave   float64
	OpenedByHostJoin    float64
	OpenedByGatewayJoin float64
	// MaxOpened is the largest number of connections opened when a host left or joined.
	MaxOpened int
	// MinLeftByZoneLoss is the smallest number of hosts left in a subset when one of three zones is lost.
	MinLeftByZoneLoss int
}

// changesPerList is the number of hosts that leave each list, one at a time, and of hosts that join it.
const changesPerList = 4

// ComputeFigures returns a rule's figures over a number of random lists of hosts, which are determined by the seed.
func ComputeFigures(rule Rule, size FleetSize, lists int, seed uint64) Figures {
	empty := Range{Min: math.Inf(1)}
	figures := Figures{
		GatewaysPerHost:   empty,
		EvenLoad:          empty,
		SkewedLoad:        empty,
		OutdatedLoad:      empty,
		MinSubsetSize:     math.MaxInt,
		MinLeftByZoneLoss: math.MaxInt,
	}
	random := rand.New(rand.NewPCG(seed, 7))
	for range lists {
		figures.addList(rule, size, float64(lists), random)
	}
	return figures
}

func drawHost(size FleetSize, random *rand.Rand) subset.Endpoint {
	host := subset.Endpoint{Hash: hashMix(random.Uint64()), Weight: 1}
	if random.Float64() < size.LightFraction {
		host.Weight = lightWeight
	}
	return host
}

// addList draws a list of hosts and adds its figures. lists is the total number of lists, by which it divides what is
// added to means.
func (f *Figures) addList(rule Rule, size FleetSize, lists float64, random *rand.Rand) {
	var hosts []subset.Endpoint
	for range size.Hosts {
		hosts = append(hosts, drawHost(size, random))
	}
	evenTraffic := make([]float64, size.Gateways)
	skewedTraffic := make([]float64, size.Gateways)
	for i := range size.Gateways {
		evenTraffic[i] = 1
		skewedTraffic[i] = math.Exp(random.NormFloat64())
	}
	subsets := rule.Subsets(size.Gateways, hosts)
	f.addSizes(subsets, lists)
	f.GatewaysPerHost.include(gatewayCountRatios(hosts, subsets))
	f.EvenLoad.include(loadRatios(hosts, subsets, evenTraffic))
	f.SkewedLoad.include(loadRatios(hosts, subsets, skewedTraffic))
	for i := range changesPerList {
		without := slices.Delete(slices.Clone(hosts), i, i+1)
		with := append(slices.Clone(hosts), drawHost(size, random))
		leave := countOpened(hosts, subsets, without, rule.Subsets(size.Gateways, without))
		join := countOpened(hosts, subsets, with, rule.Subsets(size.Gateways, with))
		f.MaxOpened = max(f.MaxOpened, leave, join)
		f.OpenedByHostLeave += float64(leave) / (changesPerList * lists)
		f.OpenedByHostJoin += float64(join) / (changesPerList * lists)
	}
	withGateway := rule.Subsets(size.Gateways+1, hosts)
	f.OpenedByGatewayJoin += float64(countOpened(hosts, subsets, hosts, withGateway)) / lists

	// The list of every second gateway lacks the first hosts.
	missing := size.Hosts / 20
	outdated := rule.Subsets(size.Gateways, hosts[missing:])
	for member := 1; member < size.Gateways; member += 2 {
		subsets[member] = nil
		for _, i := range outdated[member] {
			subsets[member] = append(subsets[member], i+missing)
		}
	}
	f.OutdatedLoad.include(loadRatios(hosts, subsets, evenTraffic)[missing:])
}

// addSizes adds the figures that depend on the subsets' sizes alone. The zone of a host is its index modulo three; zone
// 0 is the one that is lost.
func (f *Figures) addSizes(subsets [][]int, lists float64) {
	for _, hostIndices := range subsets {
		f.MinSubsetSize = min(f.MinSubsetSize, len(hostIndices))
		f.MaxSubsetSize = max(f.MaxSubsetSize, len(hostIndices))
		f.Connections += float64(len(hostIndices)) / lists
		left := 0
		for _, i := range hostIndices {
			if i%3 > 0 {
				left++
			}
		}
		f.MinLeftByZoneLoss = min(f.MinLeftByZoneLoss, left)
	}
}

// gatewayCountRatios returns, by host, the ratio of the number of gateways that use the host to its share by weight.
func gatewayCountRatios(hosts []subset.Endpoint, subsets [][]int) []float64 {
	return ratiosToShares(hosts, subsets, func(int) float64 { return 1 })
}

// loadRatios returns, by host, the ratio of the host's load to its share by weight, if each gateway spreads its traffic
// evenly over its subset.
func loadRatios(hosts []subset.Endpoint, subsets [][]int, traffic []float64) []float64 {
	return ratiosToShares(hosts, subsets, func(gateway int) float64 {
		return traffic[gateway] / float64(len(subsets[gateway]))
	})
}

// ratiosToShares returns, by host, the ratio of what the host receives to its share by weight. A gateway gives each
// host of its subset the same amount, which partOf returns.
func ratiosToShares(hosts []subset.Endpoint, subsets [][]int, partOf func(gateway int) float64) []float64 {
	received := make([]float64, len(hosts))
	sum := 0.0
	for gateway, hostIndices := range subsets {
		for _, i := range hostIndices {
			part := partOf(gateway)
			received[i] += part
			sum += part
		}
	}
	totalWeight := 0.0
	for _, h := range hosts {
		totalWeight += h.Weight
	}
	for i, h := range hosts {
		received[i] /= sum * h.Weight / totalWeight
	}
	return received
}

// countOpened returns the number of connections that gateways open when the subsets change: it counts the hosts that
// are new in each gateway's subset. The lists of hosts before and after the change may differ.
func countOpened(before []subset.Endpoint, subsetsBefore [][]int, after []subset.Endpoint, subsetsAfter [][]int) int {
	count := 0
	for gateway, hostIndices := range subsetsAfter {
		known := map[uint64]bool{}
		if gateway < len(subsetsBefore) {
			for _, i := range subsetsBefore[gateway] {
				known[before[i].Hash] = true
			}
		}
		for _, i := range hostIndices {
			if !known[after[i].Hash] {
				count++
			}
		}
	}
	return count
}

// RuleTable returns the figures of all rules for some fleet sizes as Markdown tables, in the form of docs/spread.md.
func RuleTable(sizes []FleetSize, lists int, seed uint64) string {
	var b strings.Builder
	for _, size := range sizes {
		fmt.Fprintf(&b, "%d gateways, %d hosts, %.0f%% of them with a quarter of the weight; %d lists\n\n",
			size.Gateways, size.Hosts, 100*size.LightFraction, lists)
		fmt.Fprintln(&b, "| rule | gateways of a host | even traffic | log-normal | lists differ | hosts of a gateway | "+
			"zone lost | host leaves | joins | worst | gateway added |")
		fmt.Fprintln(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, rule := range Rules {
			figures := ComputeFigures(rule, size, lists, seed)
			fmt.Fprintf(&b, "| %s | %v | %v | %v | %v | %d..%d | %d | %.0f | %.0f | %d | %.0f of %.0f |\n",
				rule.Name, figures.GatewaysPerHost, figures.EvenLoad, figures.SkewedLoad, figures.OutdatedLoad,
				figures.MinSubsetSize, figures.MaxSubsetSize, figures.MinLeftByZoneLoss, figures.OpenedByHostLeave,
				figures.OpenedByHostJoin, figures.MaxOpened, figures.OpenedByGatewayJoin, figures.Connections)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}
