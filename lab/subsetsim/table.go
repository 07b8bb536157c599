package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"ravensill/subset"
)

// Fleet is a size to compute a rule for.
type Fleet struct {
	Gateways      int
	Hosts         int
	LightFraction float64 // of the hosts: those with a quarter of the weight
}

// Figures are those of a rule for one fleet, over several lists. Loads are multiples of a host's share by weight, so
// that 1 is even.
type Figures struct {
	Holders         Range   // gateways that use a host
	Even            Range   // load of a host if every gateway sends as much, evenly to its subset
	Unequal         Range   // the same with gateways of unequal traffic (log-normal, sigma 1)
	Differing       Range   // the same while every second gateway lacks one host in twenty of the list
	SmallestSubset  int     // of a gateway
	LargestSubset   int     // of a gateway
	Connections     float64 // of all gateways
	OpenedOnLeave   float64 // connections, when a host leaves
	OpenedOnJoin    float64 // connections, when a host joins
	OpenedOnGateway float64 // connections, when a gateway is added
	MaxOpened       int     // connections, when a host leaves or joins
	LeftWithoutZone int     // hosts of the gateway with the fewest when one of three zones is lost
}

// Range is the least and the greatest of some values.
type Range struct {
	Least float64
	Most  float64
}

// newRange returns the range of no values.
func newRange() Range { return Range{Least: math.Inf(1)} }

// add extends the range by values.
func (r *Range) add(values []float64) {
	for _, value := range values {
		r.Least = min(r.Least, value)
		r.Most = max(r.Most, value)
	}
}

// String returns the range in a few words.
func (r Range) String() string { return fmt.Sprintf("%.2f..%.2f", r.Least, r.Most) }

const (
	tableStream   = 7  // of the random generator
	changesOfList = 4  // hosts that leave and that join, one at a time, with each list
	zones         = 3  // of hosts
	lackedPart    = 20 // every second gateway lacks one host in as many
)

// computation computes a rule's figures.
type computation struct {
	rule    Rule
	fleet   Fleet
	lists   int
	random  *rand.Rand
	figures Figures
}

// Compute returns a rule's figures over a number of lists that follow from a seed.
func Compute(rule Rule, fleet Fleet, lists int, seed uint64) Figures {
	c := &computation{
		rule:   rule,
		fleet:  fleet,
		lists:  lists,
		random: rand.New(rand.NewPCG(seed, tableStream)),
		figures: Figures{
			Holders:         newRange(),
			Even:            newRange(),
			Unequal:         newRange(),
			Differing:       newRange(),
			SmallestSubset:  math.MaxInt,
			LeftWithoutZone: math.MaxInt,
		},
	}
	for range lists {
		c.addList()
	}
	return c.figures
}

// drawHost draws a host.
func (c *computation) drawHost() subset.Endpoint {
	host := subset.Endpoint{Hash: mix(c.random.Uint64()), Weight: 1}
	if c.random.Float64() < c.fleet.LightFraction {
		host.Weight = lightWeight
	}
	return host
}

// addList draws a list and adds its figures.
func (c *computation) addList() {
	var hosts []subset.Endpoint
	for range c.fleet.Hosts {
		hosts = append(hosts, c.drawHost())
	}
	traffic := make([]float64, c.fleet.Gateways)
	evenTraffic := make([]float64, c.fleet.Gateways)
	for i := range traffic {
		traffic[i] = math.Exp(c.random.NormFloat64())
		evenTraffic[i] = 1
	}
	subsets := c.rule.Assign(c.fleet.Gateways, hosts)
	c.addSubsets(subsets)
	c.figures.Holders.add(holders(hosts, subsets))
	c.figures.Even.add(loads(hosts, subsets, evenTraffic))
	c.figures.Unequal.add(loads(hosts, subsets, traffic))
	c.addChanges(hosts, subsets)
	c.addDiffering(hosts, subsets, evenTraffic)
}

// addSubsets adds the figures of the subsets' sizes.
func (c *computation) addSubsets(subsets [][]int) {
	for _, own := range subsets {
		c.figures.SmallestSubset = min(c.figures.SmallestSubset, len(own))
		c.figures.LargestSubset = max(c.figures.LargestSubset, len(own))
		c.figures.Connections += float64(len(own)) / float64(c.lists)
		left := 0
		for _, i := range own {
			if i%zones > 0 {
				left++
			}
		}
		c.figures.LeftWithoutZone = min(c.figures.LeftWithoutZone, left)
	}
}

// addChanges adds the connections that are opened when hosts leave and join and when a gateway is added.
func (c *computation) addChanges(hosts []subset.Endpoint, subsets [][]int) {
	gateways := c.fleet.Gateways
	changes := float64(changesOfList * c.lists)
	for i := range changesOfList {
		less := append(append([]subset.Endpoint{}, hosts[:i]...), hosts[i+1:]...)
		more := append(append([]subset.Endpoint{}, hosts...), c.drawHost())
		onLeave := countOpened(hosts, subsets, less, c.rule.Assign(gateways, less))
		onJoin := countOpened(hosts, subsets, more, c.rule.Assign(gateways, more))
		c.figures.MaxOpened = max(c.figures.MaxOpened, onLeave, onJoin)
		c.figures.OpenedOnLeave += float64(onLeave) / changes
		c.figures.OpenedOnJoin += float64(onJoin) / changes
	}
	onGateway := countOpened(hosts, subsets, hosts, c.rule.Assign(gateways+1, hosts))
	c.figures.OpenedOnGateway += float64(onGateway) / float64(c.lists)
}

// addDiffering adds the loads while every second gateway lacks the first hosts of the list.
func (c *computation) addDiffering(hosts []subset.Endpoint, subsets [][]int, traffic []float64) {
	lacked := c.fleet.Hosts / lackedPart
	outdated := c.rule.Assign(c.fleet.Gateways, hosts[lacked:])
	for gateway := 1; gateway < c.fleet.Gateways; gateway += 2 {
		subsets[gateway] = nil
		for _, i := range outdated[gateway] {
			subsets[gateway] = append(subsets[gateway], i+lacked)
		}
	}
	c.figures.Differing.add(loads(hosts, subsets, traffic)[lacked:])
}

// holders returns the number of gateways that use each host, as multiples of its share.
func holders(hosts []subset.Endpoint, subsets [][]int) []float64 {
	counts := make([]float64, len(hosts))
	sum := 0.0
	for _, own := range subsets {
		for _, i := range own {
			counts[i]++
			sum++
		}
	}
	return overShares(counts, sum, hosts)
}

// loads returns what each host receives as multiples of its share, if gateways send their traffic evenly to their
// subsets.
func loads(hosts []subset.Endpoint, subsets [][]int, traffic []float64) []float64 {
	received := make([]float64, len(hosts))
	sum := 0.0
	for gateway, own := range subsets {
		for _, i := range own {
			sent := traffic[gateway] / float64(len(own))
			received[i] += sent
			sum += sent
		}
	}
	return overShares(received, sum, hosts)
}

// overShares divides values by the hosts' shares of their sum.
func overShares(values []float64, sum float64, hosts []subset.Endpoint) []float64 {
	weights := 0.0
	for _, host := range hosts {
		weights += host.Weight
	}
	for i, host := range hosts {
		values[i] /= sum * host.Weight / weights
	}
	return values
}

// countOpened returns the number of hosts that gateways use after a change and did not use before.
func countOpened(hosts []subset.Endpoint, subsets [][]int, newHosts []subset.Endpoint, newSubsets [][]int) (count int) {
	for gateway, own := range newSubsets {
		used := map[uint64]bool{}
		if gateway < len(subsets) {
			for _, i := range subsets[gateway] {
				used[hosts[i].Hash] = true
			}
		}
		for _, i := range own {
			if !used[newHosts[i].Hash] {
				count++
			}
		}
	}
	return count
}

const tableHead = "| rule | held | even traffic | log-normal | lists differ | a gateway holds | zone lost | " +
	"host leaves | joins | worst | seat added |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// Table returns the figures of all rules for some fleets, as docs/spread.md shows them.
func Table(fleets []Fleet, lists int, seed uint64) string {
	var table strings.Builder
	for _, fleet := range fleets {
		fmt.Fprintf(&table, "%d gateways, %d hosts, %.0f%% of them with a quarter of the weight; %d lists\n\n",
			fleet.Gateways, fleet.Hosts, 100*fleet.LightFraction, lists)
		table.WriteString(tableHead)
		for _, rule := range Rules {
			figures := Compute(rule, fleet, lists, seed)
			fmt.Fprintf(&table, "| %s | %v | %v | %v | %v | %d..%d | %d | %.0f | %.0f | %d | %.0f of %.0f |\n",
				rule.Name, figures.Holders, figures.Even, figures.Unequal, figures.Differing,
				figures.SmallestSubset, figures.LargestSubset, figures.LeftWithoutZone, figures.OpenedOnLeave,
				figures.OpenedOnJoin, figures.MaxOpened, figures.OpenedOnGateway, figures.Connections)
		}
		table.WriteString("\n")
	}
	return table.String()
}
