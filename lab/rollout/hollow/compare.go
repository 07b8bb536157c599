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

// Comparison is what a change costs real gateways and hollow followers of the same publishers, each a mean of one gateway.
type Comparison struct {
	Gateways int    `json:"gateways"` // real ones, and as many hollow ones
	Changes  int    `json:"changes"`
	Real     Change `json:"real"`
	Hollow   Change `json:"hollow"`
}

// Change is what one change costs a gateway, without the heartbeats of that time.
type Change struct {
	BytesIn   float64 `json:"bytes_in"`
	BytesOut  float64 `json:"bytes_out"`
	Versions  float64 `json:"versions"`  // put in force
	Processor float64 `json:"processor"` // milliseconds beyond rest
}

// compared says how a comparison is made.
type compared struct {
	Gateways int
	Changes  int
	Pace     time.Duration
	Rest     time.Duration // in which the processor time at rest is measured
	Setup
}

// Compare makes the same changes to hollow followers and to processes of the program.
func (c compared) Compare(ctx context.Context) (*Comparison, error) {
	c.Followers = c.Gateways
	g, err := NewGroup(ctx, c.Setup)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	result := &Comparison{Gateways: c.Gateways, Changes: c.Changes}
	result.Hollow, err = c.hollow(ctx, g)
	if err != nil {
		return nil, err
	}
	result.Real, err = c.real(ctx, g)
	return result, err
}

// gateways are the side of a comparison.
type gateways struct {
	inForce   func(context.Context) error             // waits until the last version is in force everywhere
	versions  func() int                              // put in force so far
	processor func() (seconds time.Duration, _ error) // used so far
}

// hollow measures the hollow followers, and stops them.
func (c *compared) hollow(ctx context.Context, g *Group) (Change, error) {
	err := g.Fleet.Start(g.Fleet.members())
	if err != nil {
		return Change{}, err
	}
	defer g.Fleet.Stop(g.Fleet.members())
	return c.measure(ctx, g, gateways{
		inForce:   g.everywhere,
		versions:  func() int { return int(g.Fleet.Totals().Accepted) },
		processor: processorTime,
	})
}

// real measures processes of the program.
func (c *compared) real(ctx context.Context, g *Group) (Change, error) {
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
		return Change{}, err
	}
	defer f.Close()
	return c.measure(ctx, g, gateways{
		inForce:   func(ctx context.Context) error { return g.told(ctx, c.Gateways) },
		versions:  func() int { return applied(f) },
		processor: func() (time.Duration, error) { return used(f) },
	})
}

// applied counts the versions that real gateways put in force.
func applied(f *fleet.Fleet) (versions int) {
	for _, g := range f.Gateways() {
		versions += g.EventCounts()["configuration_applied"]
	}
	return versions
}

// used is the processor time of real gateways.
func used(f *fleet.Fleet) (all time.Duration, err error) {
	for _, g := range f.Gateways() {
		usage, err := g.Usage()
		if err != nil {
			return 0, err
		}
		all += usage.CPU
	}
	return all, nil
}

// told waits until the publishers know that the last version is in force at a number of gateways.
func (g *Group) told(ctx context.Context, want int) error {
	what := fmt.Sprintf("version %d at %d gateways", g.last.Version, want)
	return fleet.WaitUntil(ctx, what, func() bool {
		count := 0
		for i := range g.Publishers.Count() {
			status, err := g.Publishers.Status(ctx, i)
			if err != nil {
				return false
			}
			for _, follower := range status.Followers {
				if follower.Connected && follower.InForce == g.last.Version {
					count++
				}
			}
		}
		return count == want
	})
}

// measure makes the changes.
func (c *compared) measure(ctx context.Context, g *Group, side gateways) (change Change, err error) {
	err = side.inForce(ctx)
	if err != nil {
		return change, err
	}
	resting, err := c.rest(ctx, side)
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
	err = g.spaced(ctx, c.Changes, c.Pace, side.inForce)
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
	atRest := resting * float64(c.Changes) * c.Pace.Seconds()
	change.Processor = milliseconds((after-before).Seconds()-atRest) / each
	return change, err
}

// heartbeatBytes is what a publisher sends a gateway each second.
func (g *Group) heartbeatBytes() float64 {
	frame := configsync.Encode(&configsync.Heartbeat{Log: g.last.Log, Latest: g.last.Version, Current: true})
	return float64(len(frame)) / configsync.HeartbeatInterval.Seconds()
}

// rest gives the processor share of all gateways without changes, in cores.
func (c *compared) rest(ctx context.Context, side gateways) (share float64, err error) {
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

// Ratio gives real over hollow, for each of bytes in, bytes out, versions and processor time.
func (c *Comparison) Ratio() Change {
	return Change{
		BytesIn:   c.Real.BytesIn / c.Hollow.BytesIn,
		BytesOut:  c.Real.BytesOut / c.Hollow.BytesOut,
		Versions:  c.Real.Versions / c.Hollow.Versions,
		Processor: c.Real.Processor / c.Hollow.Processor,
	}
}
