package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
)

// Baseline is what a fleet does without publishers: each change is written to the gateways' files, and every process is
// restarted by SIGTERM, a batch at a time.
type Baseline struct {
	Size    Size
	Batch   int // gateways restarted at one time
	Changes int
}

// BaselineResult is the result of a baseline.
type BaselineResult struct {
	InForceAtOne Latencies // from a change until it was in force at one gateway
	InForceAtAll Latencies // until it was in force at all gateways
	Requests     string    // the clients' requests by result
	Lost         int       // requests without an answer
	Violations   []string
}

// Run makes the changes one after the other under the clients' load.
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

// change writes one change to all files and restarts the gateways, a batch at a time.
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

// changedPlan is the index of the quota plan whose burst a baseline changes.
const changedPlan = 1

// restartWith restarts some gateways by SIGTERM, with another burst of a quota plan in their files.
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
