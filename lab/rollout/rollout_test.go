package rollout

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	maxProcesses    = 30              // gateways and publishers at the same time
	scenarioTimeout = 3 * time.Minute // of one scenario; only stops a run that hangs, no latency is judged by it
)

// processes limits how many gateways and publishers run at the same time in parallel tests.
var processes = semaphore.NewWeighted(maxProcesses)

// runScenario runs a scenario and reports its violations as test errors.
func runScenario(t *testing.T, scenario *Scenario) *Run {
	t.Helper()
	count := int64(scenario.Size.Gateways + scenario.Size.Publishers)
	if err := processes.Acquire(context.Background(), count); err != nil {
		t.Fatal(err)
	}
	defer processes.Release(count)
	ctx, cancel := context.WithTimeout(context.Background(), scenarioTimeout)
	defer cancel()
	run, violations, err := scenario.Run(ctx)
	for _, stage := range run.StepTimings {
		t.Logf("%6.2f s %s", stage.End.Sub(stage.Start).Seconds(), stage.Description)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, response := range run.Publishers.SlowResponses() {
		t.Log(response)
	}
	for _, violation := range violations {
		t.Error(violation)
	}
	t.Log(run.LoadReport.Summary())
	t.Log(run.Figures())
	return run
}

// Checks must hold under faults that affect the whole fleet. All scenarios run one after another on the same processes.
func TestChecksHoldInFleetCases(t *testing.T) {
	scenario := JoinScenarios("whole fleet", FleetCases(LargeSize())...)
	runScenario(t, &scenario)
}

// Checks must hold under faults of a single gateway or publisher. The scenarios run in parallel.
func TestChecksHoldInSmallCases(t *testing.T) {
	for _, scenario := range SingleProcessCases(SmallSize()) {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, &scenario)
		})
	}
}
