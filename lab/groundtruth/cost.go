package groundtruth

import (
	"context"
	"fmt"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
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

// MeasureCost runs three gateways that do not know of each other: one collects, of the other two one records a share of its
// attempts and reports them, and both get the same load at the same time. swap exchanges the two, as the machine may favour one.
func MeasureCost(ctx context.Context, seed uint64, rate float64, length time.Duration, swap bool,
	share float64) (Cost, error) {
	costCase := Case{Name: "cost", Gateways: 3, Hosts: 12, Window: 2 * time.Second, Seed: seed}
	plan := costCase.fleetPlan()
	enabled, disabled := 1, 2
	if swap {
		enabled, disabled = 2, 1
	}
	plan.NoGossip = true
	plan.ConfigureHost = func(i int, h *emulator.HostOptions) { h.Model.MaxInFlight = 0 }
	configure := plan.ConfigureGateway
	plan.ConfigureGateway = func(f *fleet.Fleet, i int, file *gatewayconfig.File) error {
		if err := configure(f, i, file); err != nil || i == disabled {
			file.Counterfactual = nil
			return err
		}
		file.Counterfactual.Records = "" // a file is no part of the ordinary path
		file.Counterfactual.Fraction = share
		return nil
	}
	rig, err := fleet.Start(ctx, plan)
	if err != nil {
		return Cost{}, err
	}
	defer rig.Close()
	run := rig.Clients.Start(emulator.Load{Seed: seed, Rate: rate, Customers: 300, SubsetSize: 0,
		GatewayWeights: map[int]float64{0: 0}, Classes: []emulator.Class{{Name: "lookup", Timeout: 3 * time.Second, Fraction: 1}}})
	if err := wait(ctx, 2*time.Second); err != nil { // connections are up by then
		return Cost{}, err
	}
	var from, to [3]fleet.Usage
	read := func(usage *[3]fleet.Usage) (err error) {
		for _, i := range []int{enabled, disabled} {
			if usage[i], err = rig.Gateway(i).Usage(); err != nil {
				return err
			}
		}
		return nil
	}
	sent := rig.Clients.Sent()
	if err := read(&from); err != nil {
		return Cost{}, err
	}
	if err := wait(ctx, length); err != nil {
		return Cost{}, err
	}
	if err := read(&to); err != nil {
		return Cost{}, err
	}
	last := rig.Clients.Sent()
	run.Stop()
	var requests [3]int
	for _, request := range rig.Clients.Log().Requests[sent:last] {
		requests[request.Gateway]++
	}
	if requests[0] > 0 || requests[enabled] < 100 || requests[disabled] < 100 {
		return Cost{}, fmt.Errorf("requests by gateway: %v", requests)
	}
	perRequest := func(i int) time.Duration { return (to[i].CPU - from[i].CPU) / time.Duration(requests[i]) }
	return Cost{
		Enabled:  perRequest(enabled),
		Disabled: perRequest(disabled),
		Requests: min(requests[enabled], requests[disabled]),
	}, nil
}
