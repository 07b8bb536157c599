package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
)

// Baseline measures a fleet without publishers, for comparison: each change is written to the gateways' configuration
// files, and every gateway is restarted by SIGTERM, one batch after another.
type Baseline struct {
	Size    Size
	Batch   int // gateways restarted at the same time
	Changes int
}

// BaselineResult holds what a baseline measured.
type BaselineResult struct {
	InForceAtOne Latencies // from a change until it was in force at each gateway
	InForceAtAll Latencies // from a change until it was in force at all gateways
	Requests     string    // summary of the clients' requests by result
	Lost         int       // requests that got no response
	Violations   []string
}

// Run makes the changes one after another while clients send requests. The error concerns the run itself; checks that
// failed are in BaselineResult.Violations.
func (b *Baseline) Run(ctx context.Context) (*BaselineResult, error) {
	result := &BaselineResult{}
	scenario := fleet.Scenario{
		Name:    "restart on each change",
		Options: fleet.Options{Gateways: b.Size.Gateways, Hosts: b.Size.Hosts, Seed: b.Size.Seed},
		Loads:   []emulator.Load{b.Size.load()},
		Checks:  fleet.CommonChecks,
	}
	for i := range b.Changes {
		scenario.Steps = append(scenario.Steps, fleet.Step{
			Description: fmt.Sprintf("change %d", i),
			Run:         func(ctx context.Context, f *fleet.Fleet) error { return b.change(ctx, f, i, result) },
		})
	}
	report, err := scenario.Run(ctx)
	if err != nil {
		return nil, err
	}
	counts := report.Results()
	result.Lost = counts[emulator.ConnectionRefused] + counts[emulator.ConnectionReset] +
		counts[emulator.Unanswered] + counts[emulator.ClosedInFlight]
	result.Requests = report.Summary()
	result.Violations = report.Violations
	return result, nil
}

// change writes one change to all configuration files and restarts the gateways, one batch at a time.
func (b *Baseline) change(ctx context.Context, f *fleet.Fleet, number int, result *BaselineResult) error {
	sent := time.Now()
	for from := 0; from < b.Size.Gateways; from += b.Batch {
		batch := fleet.Indexes(from, min(from+b.Batch, b.Size.Gateways))
		err := restartWith(ctx, f, batch, number)
		if err != nil {
			return err
		}
		for range batch {
			result.InForceAtOne = append(result.InForceAtOne, time.Since(sent))
		}
	}
	result.InForceAtAll = append(result.InForceAtAll, time.Since(sent))
	return nil
}

// changedPlan is the index of the quota plan whose burst each change sets.
const changedPlan = 1

// restartWith restarts a batch of gateways by SIGTERM, with a burst that depends on the change's number in their
// configuration files. Clients are told which gateways are restarting.
func restartWith(ctx context.Context, f *fleet.Fleet, batch []int, number int) error {
	for _, member := range batch {
		f.Clients.SetRestarting(true, member)
	}
	err := f.ForEach(batch, func(g *fleet.Gateway) error {
		g.Config.Settings.QuotaPlans[changedPlan].Burst = float64(41 + number)
		return errors.Join(g.Terminate(), g.WaitExit(ctx), g.Restart(ctx, false))
	})
	f.Clients.SetRestarting(false, batch...)
	return err
}
