package hollow

import (
	"context"
	"fmt"
	"time"

	"ravensill/configsync"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
)

const comparedHosts = 2 // that the real gateways list

// Comparison is what a change costs real gateways and hollow followers of the same publishers. Figures are means of
// one gateway.
type Comparison struct {
	Gateways  int        `json:"gateways"` // real ones, and as many hollow ones
	Changes   int        `json:"changes"`
	Real      ChangeCost `json:"real"`
	Simulated ChangeCost `json:"hollow"`
}

// ChangeCost is what one change costs a gateway, without the heartbeats of that time.
type ChangeCost struct {
	BytesIn         float64 `json:"bytes_in"`
	BytesOut        float64 `json:"bytes_out"`
	Versions        float64 `json:"versions"`  // put in force
	CPUMilliseconds float64 `json:"processor"` // milliseconds beyond rest
}

// comparisonOptions describe a comparison.
type comparisonOptions struct {
	Gateways       int
	Changes        int
	ChangeInterval time.Duration
	Rest           time.Duration // in which the processor time at rest is measured
	Options
}

// Compare makes the same changes to hollow followers and to processes of the program.
func (c comparisonOptions) Compare(ctx context.Context) (*Comparison, error) {
	c.Followers = c.Gateways
	g, err := NewGroup(ctx, c.Options)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	result := &Comparison{Gateways: c.Gateways, Changes: c.Changes}
	result.Simulated, err = c.measureHollow(ctx, g)
	if err != nil {
		return nil, err
	}
	result.Real, err = c.measureReal(ctx, g)
	return result, err
}

// comparedSide is one side of a comparison: the real gateways or the hollow followers.
type comparedSide struct {
	inForce   func(context.Context) error             // waits until the last version is in force everywhere
	versions  func() int                              // put in force so far
	processor func() (seconds time.Duration, _ error) // used so far
}

// measureHollow starts the hollow followers, measures them and stops them.
func (c *comparisonOptions) measureHollow(ctx context.Context, g *Group) (ChangeCost, error) {
	err := g.Fleet.Start(g.Fleet.members())
	if err != nil {
		return ChangeCost{}, err
	}
	defer g.Fleet.Stop(g.Fleet.members())
	return c.measure(ctx, g, comparedSide{
		inForce:   g.waitEverywhere,
		versions:  func() int { return int(g.Fleet.Totals().AcceptedVersions) },
		processor: processorTime,
	})
}

// measureReal starts processes of the gateway and measures them.
func (c *comparisonOptions) measureReal(ctx context.Context, g *Group) (ChangeCost, error) {
	f, err := fleet.Start(ctx, fleet.Options{
		Gateways: c.Gateways,
		Hosts:    comparedHosts,
		Seed:     1,
		NoGossip: true,
		ConfigureGateway: func(_ *fleet.Fleet, _ int, file *gatewayconfig.File) error {
			var addresses []string
			for _, address := range g.addresses() {
				addresses = append(addresses, address.String())
			}
			file.Configuration = &gatewayconfig.Configuration{Publishers: addresses, Dir: diskFolder}
			return nil
		},
	})
	if err != nil {
		return ChangeCost{}, err
	}
	defer f.Close()
	return c.measure(ctx, g, comparedSide{
		inForce:   func(ctx context.Context) error { return g.waitShown(ctx, c.Gateways) },
		versions:  func() int { return countApplied(f) },
		processor: func() (time.Duration, error) { return cpuTime(f) },
	})
}

// countApplied returns the number of versions that real gateways put in force.
func countApplied(f *fleet.Fleet) (versions int) {
	for _, g := range f.Gateways() {
		versions += g.EventCounts()["configuration_applied"]
	}
	return versions
}

// cpuTime returns the processor time of real gateways.
func cpuTime(f *fleet.Fleet) (all time.Duration, err error) {
	for _, g := range f.Gateways() {
		usage, err := g.Usage()
		if err != nil {
			return 0, err
		}
		all += usage.CPU
	}
	return all, nil
}

// waitShown waits until the publishers show the latest version in force at a number of gateways.
func (g *Group) waitShown(ctx context.Context, want int) error {
	what := fmt.Sprintf("version %d at %d gateways", g.latest.Version, want)
	return fleet.WaitUntil(ctx, what, func() bool {
		count := 0
		for i := range g.Publishers.Count() {
			status, err := g.Publishers.Status(ctx, i)
			if err != nil {
				return false
			}
			for _, follower := range status.Followers {
				if follower.Connected && follower.InForce == g.latest.Version {
					count++
				}
			}
		}
		return count == want
	})
}

// measure publishes the changes and returns what one costs a gateway.
func (c *comparisonOptions) measure(ctx context.Context, g *Group, side comparedSide) (change ChangeCost, err error) {
	err = side.inForce(ctx)
	if err != nil {
		return change, err
	}
	resting, err := c.measureIdle(ctx, side)
	if err != nil {
		return change, err
	}
	from, err := g.sample(ctx)
	if err != nil {
		return change, err
	}
	versions := side.versions()
	before, err := side.processor()
	if err != nil {
		return change, err
	}
	err = g.publishSpaced(ctx, c.Changes, c.ChangeInterval, side.inForce)
	if err != nil {
		return change, err
	}
	after, err := side.processor()
	if err != nil {
		return change, err
	}
	to, err := g.sample(ctx)
	each := float64(c.Changes * c.Gateways)
	for i := range to.publishers {
		change.BytesIn += float64(to.publishers[i].bytesOut-from.publishers[i].bytesOut) / each
		change.BytesOut += float64(to.publishers[i].bytesIn-from.publishers[i].bytesIn) / each
	}
	change.BytesIn -= g.heartbeatBytes() * to.at.Sub(from.at).Seconds() / float64(c.Changes)
	change.Versions = float64(side.versions()-versions) / each
	atRest := resting * float64(c.Changes) * c.ChangeInterval.Seconds()
	change.CPUMilliseconds = milliseconds((after-before).Seconds()-atRest) / each
	return change, err
}

// heartbeatBytes returns the bytes a second of a publisher's heartbeats to one gateway.
func (g *Group) heartbeatBytes() float64 {
	frame := configsync.Encode(&configsync.Heartbeat{Log: g.latest.Log, Latest: g.latest.Version, HasQuorum: true})
	return float64(len(frame)) / configsync.HeartbeatInterval.Seconds()
}

// measureIdle returns the processor share of all gateways without changes, in cores.
func (c *comparisonOptions) measureIdle(ctx context.Context, side comparedSide) (share float64, err error) {
	if c.Rest == 0 {
		return 0, nil
	}
	before, err := side.processor()
	if err != nil {
		return 0, err
	}
	err = waitUntil(ctx, time.Now().Add(c.Rest))
	if err != nil {
		return 0, err
	}
	after, err := side.processor()
	return (after - before).Seconds() / c.Rest.Seconds(), err
}

// Ratio returns each figure of the real gateways divided by that of the hollow followers.
func (c *Comparison) Ratio() ChangeCost {
	return ChangeCost{
		BytesIn:         c.Real.BytesIn / c.Simulated.BytesIn,
		BytesOut:        c.Real.BytesOut / c.Simulated.BytesOut,
		Versions:        c.Real.Versions / c.Simulated.Versions,
		CPUMilliseconds: c.Real.CPUMilliseconds / c.Simulated.CPUMilliseconds,
	}
}
