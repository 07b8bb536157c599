package groundtruth

import (
	"context"
	"fmt"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
)

const (
	costGateways = 3          // the collector and the two measured gateways
	warmUpTime   = 2 * second // time after the start of the load in which connections are opened; not measured
	minRequests  = 100        // least number of requests at each measured gateway for a valid measurement
)

// Cost is the processor time that a gateway spends on a request with the counterfactual section of its configuration
// and without it.
type Cost struct {
	Enabled  time.Duration // CPU time per request with the section
	Disabled time.Duration // CPU time per request without it
	Requests int           // number of requests at the measured gateway that had fewer
}

// String returns the cost in one line.
func (c Cost) String() string {
	return fmt.Sprintf("CPU a request %v with it on, %v off: %+.1f%%, over %d requests each", c.Enabled, c.Disabled,
		100*(float64(c.Enabled)/float64(c.Disabled)-1), c.Requests)
}

// CostOptions configures MeasureCost.
type CostOptions struct {
	Seed           uint64
	Rate           float64 // requests per second over both measured gateways
	Duration       time.Duration
	SampleFraction float64 // fraction of the attempts that are recorded
	SwapGateways   bool    // exchange the two measured gateways, in case the machine favors one of them
}

// MeasureCost runs three gateways without gossip between them. The first collects summaries and has no load. The other
// two have the same load at the same time; one of them records a fraction of its attempts and reports them. MeasureCost
// fails if the first gateway received requests or another one received too few.
func MeasureCost(ctx context.Context, options CostOptions) (Cost, error) {
	enabled, disabled := 1, 2
	if options.SwapGateways {
		enabled, disabled = 2, 1
	}
	f, err := fleet.Start(ctx, options.fleetOptions(disabled))
	if err != nil {
		return Cost{}, err
	}
	defer f.Close()
	load := f.Clients.Start(emulator.Load{
		Seed:           options.Seed,
		Rate:           options.Rate,
		Customers:      300,
		GatewayWeights: map[int]float64{0: 0},
		Classes:        []emulator.Class{{Name: "lookup", Timeout: clientTimeout, Fraction: 1}},
	})
	if err := wait(ctx, warmUpTime); err != nil {
		return Cost{}, err
	}
	firstRequest := f.Clients.Sent()
	before, err := cpuTimes(f, enabled, disabled)
	if err != nil {
		return Cost{}, err
	}
	if err := wait(ctx, options.Duration); err != nil {
		return Cost{}, err
	}
	after, err := cpuTimes(f, enabled, disabled)
	if err != nil {
		return Cost{}, err
	}
	endRequest := f.Clients.Sent()
	load.Stop()
	var requests [costGateways]int
	for _, request := range f.Clients.Log().Requests[firstRequest:endRequest] {
		requests[request.Gateway]++
	}
	if requests[0] > 0 || requests[enabled] < minRequests || requests[disabled] < minRequests {
		return Cost{}, fmt.Errorf("requests by gateway are %v, want none at the first and many at the others", requests)
	}
	perRequest := func(i int) time.Duration { return (after[i] - before[i]) / time.Duration(requests[i]) }
	return Cost{
		Enabled:  perRequest(enabled),
		Disabled: perRequest(disabled),
		Requests: min(requests[enabled], requests[disabled]),
	}, nil
}

// fleetOptions returns the options of a fleet in which the gateway with index disabled has no counterfactual section.
func (o *CostOptions) fleetOptions(disabled int) fleet.Options {
	costCase := Case{Name: "cost", Gateways: costGateways, Hosts: 12, Window: 2 * second, Seed: o.Seed}
	options := costCase.fleetOptions()
	options.NoGossip = true
	options.ConfigureHost = func(_ int, host *emulator.HostOptions) { host.Model.MaxInFlight = 0 }
	configure := options.ConfigureGateway
	options.ConfigureGateway = func(f *fleet.Fleet, i int, file *gatewayconfig.File) error {
		if err := configure(f, i, file); err != nil || i == disabled {
			file.Counterfactual = nil
			return err
		}
		file.Counterfactual.RecordsFile = "" // gateways write no records file in production
		file.Counterfactual.SampleFraction = o.SampleFraction
		return nil
	}
	return options
}

// cpuTimes returns the processor time that some gateways have used so far, by gateway; 0 for the others.
func cpuTimes(f *fleet.Fleet, gateways ...int) (times [costGateways]time.Duration, err error) {
	for _, i := range gateways {
		usage, err := f.Gateway(i).Usage()
		if err != nil {
			return times, err
		}
		times[i] = usage.CPU
	}
	return times, nil
}
