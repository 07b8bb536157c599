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
	costGateways = 3
	warmUp       = 2 * second // of a load: connections are up after it
	minRequests  = 100        // of each measured gateway
)

// Cost is the processor time that a request costs a gateway with the section counterfactual enabled and disabled.
type Cost struct {
	Enabled  time.Duration // CPU time a request
	Disabled time.Duration // CPU time a request
	Requests int           // at each gateway, at least
}

// String returns the cost in one line.
func (c Cost) String() string {
	return fmt.Sprintf("CPU a request %v with it on, %v off: %+.1f%%, over %d requests each", c.Enabled, c.Disabled,
		100*(float64(c.Enabled)/float64(c.Disabled)-1), c.Requests)
}

// CostOptions describe a measurement of the cost.
type CostOptions struct {
	Seed           uint64
	Rate           float64 // requests a second of the whole fleet
	Duration       time.Duration
	SampleFraction float64 // of the attempts that are recorded
	SwapGateways   bool    // exchange the two measured gateways, as the machine may favour one
}

// MeasureCost runs three gateways that do not know of each other. One collects. Of the other two one records a fraction
// of its attempts and reports them, and both have the same load at the same time.
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
		Classes:        []emulator.Class{{Name: "lookup", Timeout: clientWait, Fraction: 1}},
	})
	if err := wait(ctx, warmUp); err != nil {
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
		return Cost{}, fmt.Errorf("requests by gateway: %v", requests)
	}
	perRequest := func(i int) time.Duration { return (after[i] - before[i]) / time.Duration(requests[i]) }
	return Cost{
		Enabled:  perRequest(enabled),
		Disabled: perRequest(disabled),
		Requests: min(requests[enabled], requests[disabled]),
	}, nil
}

// fleetOptions returns the options of a fleet in which one gateway has no section counterfactual.
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
		file.Counterfactual.RecordsFile = "" // no gateway writes a file in operation
		file.Counterfactual.SampleFraction = o.SampleFraction
		return nil
	}
	return options
}

// cpuTimes returns the processor times of some gateways.
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
