package hollow

import (
	"context"
	"fmt"
	"time"

	"ravensill/configsync"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
)

// comparedHosts is the number of hosts that the real gateways list.
const comparedHosts = 2

// Comparison holds what a change costs real gateways and simulated followers of the same publishers. All figures are
// means per gateway.
type Comparison struct {
	Gateways  int        `json:"gateways"` // number of real gateways, and also of simulated followers
	Changes   int        `json:"changes"`
	Real      ChangeCost `json:"real"`
	Simulated ChangeCost `json:"hollow"`
}

// ChangeCost is what one change costs a gateway. The heartbeats during that time are not counted.
type ChangeCost struct {
	BytesIn         float64 `json:"bytes_in"`
	BytesOut        float64 `json:"bytes_out"`
	Versions        float64 `json:"versions"`  // that came in force
	CPUMilliseconds float64 `json:"processor"` // beyond the time used when idle
}

// comparisonOptions describes a comparison.
type comparisonOptions struct {
	Gateways       int
	Changes        int
	ChangeInterval time.Duration
	IdleDuration   time.Duration // for which the idle processor time is measured; 0 takes it as zero
	Options
}

// Compare publishes the same kind of changes to simulated followers and then to real gateway processes.
func (c comparisonOptions) Compare(ctx context.Context) (*Comparison, error) {
	c.Followers = c.Gateways
	g, err := NewGroup(ctx, c.Options)
	if err != nil {
		return nil, err
	}
	defer g.Close()
	result := &Comparison{Gateways: c.Gateways, Changes: c.Changes}
	result.Simulated, err = c.measureSimulated(ctx, g)
	if err != nil {
		return nil, err
	}
	result.Real, err = c.measureReal(ctx, g)
	return result, err
}

// comparisonSubject gives access to one side of a comparison: the real gateways or the simulated followers.
type comparisonSubject struct {
	waitInForce     func(context.Context) error             // waits until the latest version is in force everywhere
	appliedVersions func() int                              // versions in force so far, summed over gateways
	cpuTime         func() (seconds time.Duration, _ error) // processor time used so far
}

// measureSimulated starts the simulated followers, measures them and stops them.
func (c *comparisonOptions) measureSimulated(ctx context.Context, g *Group) (ChangeCost, error) {
	err := g.Fleet.Start(g.Fleet.members())
	if err != nil {
		return ChangeCost{}, err
	}
	defer g.Fleet.Stop(g.Fleet.members())
	return c.measure(ctx, g, comparisonSubject{
		waitInForce:     g.waitEverywhere,
		appliedVersions: func() int { return int(g.Fleet.Totals().AcceptedVersions) },
		cpuTime:         processCPUTime,
	})
}

// measureReal starts gateway processes, measures them and stops them.
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
			file.Configuration = &gatewayconfig.Configuration{Publishers: addresses, Dir: storedVersionDir}
			return nil
		},
	})
	if err != nil {
		return ChangeCost{}, err
	}
	defer f.Close()
	return c.measure(ctx, g, comparisonSubject{
		waitInForce:     func(ctx context.Context) error { return g.waitShownByPublishers(ctx, c.Gateways) },
		appliedVersions: func() int { return countAppliedVersions(f) },
		cpuTime:         func() (time.Duration, error) { return gatewayCPUTime(f) },
	})
}

// countAppliedVersions returns how many versions have come in force at real gateways, summed over the gateways.
func countAppliedVersions(f *fleet.Fleet) (versions int) {
	for _, g := range f.Gateways() {
		versions += g.EventCounts()["configuration_applied"]
	}
	return versions
}

// gatewayCPUTime returns the total processor time of real gateways.
func gatewayCPUTime(f *fleet.Fleet) (all time.Duration, err error) {
	for _, g := range f.Gateways() {
		usage, err := g.Usage()
		if err != nil {
			return 0, err
		}
		all += usage.CPU
	}
	return all, nil
}

// waitShownByPublishers waits until the publishers show the latest version in force at exactly want connected gateways.
func (g *Group) waitShownByPublishers(ctx context.Context, want int) error {
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

// measure publishes the changes and returns what one of them costs a gateway.
func (c *comparisonOptions) measure(ctx context.Context, g *Group, subject comparisonSubject) (change ChangeCost,
	err error) {
	err = subject.waitInForce(ctx)
	if err != nil {
		return change, err
	}
	idleCores, err := c.measureIdle(ctx, subject)
	if err != nil {
		return change, err
	}
	from, err := g.sample(ctx)
	if err != nil {
		return change, err
	}
	versions := subject.appliedVersions()
	before, err := subject.cpuTime()
	if err != nil {
		return change, err
	}
	err = g.publishSpaced(ctx, c.Changes, c.ChangeInterval, subject.waitInForce)
	if err != nil {
		return change, err
	}
	after, err := subject.cpuTime()
	if err != nil {
		return change, err
	}
	to, err := g.sample(ctx)
	gatewayChanges := float64(c.Changes * c.Gateways)
	for i := range to.publishers {
		change.BytesIn += float64(to.publishers[i].bytesOut-from.publishers[i].bytesOut) / gatewayChanges
		change.BytesOut += float64(to.publishers[i].bytesIn-from.publishers[i].bytesIn) / gatewayChanges
	}
	change.BytesIn -= g.heartbeatBytesPerSecond() * to.at.Sub(from.at).Seconds() / float64(c.Changes)
	change.Versions = float64(subject.appliedVersions()-versions) / gatewayChanges
	idleSeconds := idleCores * float64(c.Changes) * c.ChangeInterval.Seconds()
	change.CPUMilliseconds = milliseconds((after-before).Seconds()-idleSeconds) / gatewayChanges
	return change, err
}

// heartbeatBytesPerSecond returns the bytes per second of a publisher's heartbeats to one gateway.
func (g *Group) heartbeatBytesPerSecond() float64 {
	frame := configsync.Encode(&configsync.Heartbeat{Log: g.latest.Log, Latest: g.latest.Version, HasQuorum: true})
	return float64(len(frame)) / configsync.HeartbeatInterval.Seconds()
}

// measureIdle returns how many processor cores all gateways use together while nothing changes, or 0 if IdleDuration is
// 0.
func (c *comparisonOptions) measureIdle(ctx context.Context, subject comparisonSubject) (cores float64, err error) {
	if c.IdleDuration == 0 {
		return 0, nil
	}
	before, err := subject.cpuTime()
	if err != nil {
		return 0, err
	}
	err = waitUntil(ctx, time.Now().Add(c.IdleDuration))
	if err != nil {
		return 0, err
	}
	after, err := subject.cpuTime()
	return (after - before).Seconds() / c.IdleDuration.Seconds(), err
}

// Ratio returns each figure of the real gateways divided by that of the simulated followers.
func (c *Comparison) Ratio() ChangeCost {
	return ChangeCost{
		BytesIn:         c.Real.BytesIn / c.Simulated.BytesIn,
		BytesOut:        c.Real.BytesOut / c.Simulated.BytesOut,
		Versions:        c.Real.Versions / c.Simulated.Versions,
		CPUMilliseconds: c.Real.CPUMilliseconds / c.Simulated.CPUMilliseconds,
	}
}
