package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"ravensill/subset"
)

// FleetSize is a fleet for which a rule is computed.
type FleetSize struct {
	Gateways int
	Hosts    int
	// LightFraction is the fraction of the hosts that have a quarter of the weight.
	LightFraction float64
}

// Range is the least and the most of a figure.
type Range struct{ Min, Max float64 }

// include extends the range to all values.
func (r *Range) include(values []float64) {
	r.Min = min(r.Min, slices.Min(values))
	r.Max = max(r.Max, slices.Max(values))
}

func (r Range) String() string { return fmt.Sprintf("%.2f..%.2f", r.Min, r.Max) }

// Figures describe a rule for one fleet, over several lists of hosts. The ranges are of hosts over their shares by
// weight: 1 is even.
type Figures struct {
	// GatewaysPerHost is the number of gateways that have a host in their subsets.
	GatewaysPerHost Range
	// EvenLoad is the load of a host if all gateways have the same traffic and spread it evenly over their subsets.
	EvenLoad Range
	// SkewedLoad is the same with gateways of unequal traffic (log-normal, sigma 1).
	SkewedLoad Range
	// OutdatedLoad is the load while every second gateway lacks one host in twenty of the list.
	OutdatedLoad Range
	// MinSubsetSize and MaxSize are the sizes of the subsets.
	MinSubsetSize int
	MaxSubsetSize int
	// Connections is the number of hosts in all subsets.
	Connections float64
	// OpenedByHostLeave, OpenedByJoin and OpenedByGateway are the connections opened when a host leaves, when one joins and
	// when a gateway is added.
	OpenedByHostLeave   float64
	OpenedByHostJoin    float64
	OpenedByGatewayJoin float64
	// MaxOpened is the most connections opened when any host left or joined.
	MaxOpened int
	// MinLeftByZoneLoss is the smallest number of hosts left to a gateway when one of three zones is lost.
	MinLeftByZoneLoss int
}

// hostChanges is the number of hosts that leave and that join, one at a time, for each list.
const hostChanges = 4

// ComputeFigures returns a rule's figures over a number of lists that are drawn by the seed.
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
	host := subset.Endpoint{Hash: mix(random.Uint64()), Weight: 1}
	if random.Float64() < size.LightFraction {
		host.Weight = lightWeight
	}
	return host
}

// addList draws one of several lists of hosts and adds its figures, means with a weight of one list.
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
	f.GatewaysPerHost.include(userShares(hosts, subsets))
	f.EvenLoad.include(loadShares(hosts, subsets, evenTraffic))
	f.SkewedLoad.include(loadShares(hosts, subsets, skewedTraffic))
	for i := range hostChanges {
		without := slices.Delete(slices.Clone(hosts), i, i+1)
		with := append(slices.Clone(hosts), drawHost(size, random))
		leave := opened(hosts, subsets, without, rule.Subsets(size.Gateways, without))
		join := opened(hosts, subsets, with, rule.Subsets(size.Gateways, with))
		f.MaxOpened = max(f.MaxOpened, leave, join)
		f.OpenedByHostLeave += float64(leave) / (hostChanges * lists)
		f.OpenedByHostJoin += float64(join) / (hostChanges * lists)
	}
	withGateway := rule.Subsets(size.Gateways+1, hosts)
	f.OpenedByGatewayJoin += float64(opened(hosts, subsets, hosts, withGateway)) / lists

	// Every second gateway lacks the first hosts of the list.
	missing := size.Hosts / 20
	outdated := rule.Subsets(size.Gateways, hosts[missing:])
	for member := 1; member < size.Gateways; member += 2 {
		subsets[member] = nil
		for _, i := range outdated[member] {
			subsets[member] = append(subsets[member], i+missing)
		}
	}
	f.OutdatedLoad.include(loadShares(hosts, subsets, evenTraffic)[missing:])
}

// addSizes adds the figures of the subsets' sizes. The zone of a host is its index modulo three.
func (f *Figures) addSizes(subsets [][]int, lists float64) {
	for _, members := range subsets {
		f.MinSubsetSize = min(f.MinSubsetSize, len(members))
		f.MaxSubsetSize = max(f.MaxSubsetSize, len(members))
		f.Connections += float64(len(members)) / lists
		left := 0
		for _, i := range members {
			if i%3 > 0 {
				left++
			}
		}
		f.MinLeftByZoneLoss = min(f.MinLeftByZoneLoss, left)
	}
}

// userShares returns the number of gateways that use each host, over the host's share by weight.
func userShares(hosts []subset.Endpoint, subsets [][]int) []float64 {
	return overShares(hosts, subsets, func(int) float64 { return 1 })
}

// loadShares returns the load of each host over its share by weight, if gateways spread their traffic evenly over their
// subsets.
func loadShares(hosts []subset.Endpoint, subsets [][]int, traffic []float64) []float64 {
	return overShares(hosts, subsets, func(gateway int) float64 {
		return traffic[gateway] / float64(len(subsets[gateway]))
	})
}

// overShares returns what each host receives over its share by weight, where a gateway gives each host of its subset
// the same part.
func overShares(hosts []subset.Endpoint, subsets [][]int, partOf func(gateway int) float64) []float64 {
	received := make([]float64, len(hosts))
	sum := 0.0
	for gateway, members := range subsets {
		for _, i := range members {
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

// opened counts the hosts that are new in the gateways' subsets.
func opened(before []subset.Endpoint, subsetsBefore [][]int, after []subset.Endpoint, subsetsAfter [][]int) int {
	count := 0
	for gateway, members := range subsetsAfter {
		known := map[uint64]bool{}
		if gateway < len(subsetsBefore) {
			for _, i := range subsetsBefore[gateway] {
				known[before[i].Hash] = true
			}
		}
		for _, i := range members {
			if !known[after[i].Hash] {
				count++
			}
		}
	}
	return count
}

// RuleTable returns the figures of all rules for the fleets as Markdown, in the form of docs/spread.md.
func RuleTable(sizes []FleetSize, lists int, seed uint64) string {
	var b strings.Builder
	for _, size := range sizes {
		fmt.Fprintf(&b, "%d gateways, %d hosts, %.0f%% of them with a quarter of the weight; %d lists\n\n",
			size.Gateways, size.Hosts, 100*size.LightFraction, lists)
		fmt.Fprintln(&b, "| rule | gateways of a host | even traffic | log-normal | lists differ | hosts of a gateway | "+
			"zone lost | host leaves | joins | worst | gateway added |")
		fmt.Fprintln(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, rule := range Rules {
			f := ComputeFigures(rule, size, lists, seed)
			fmt.Fprintf(&b, "| %s | %v | %v | %v | %v | %d..%d | %d | %.0f | %.0f | %d | %.0f of %.0f |\n",
				rule.Name, f.GatewaysPerHost, f.EvenLoad, f.SkewedLoad, f.OutdatedLoad, f.MinSubsetSize, f.MaxSubsetSize, f.MinLeftByZoneLoss,
				f.OpenedByHostLeave, f.OpenedByHostJoin, f.MaxOpened, f.OpenedByGatewayJoin, f.Connections)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}
