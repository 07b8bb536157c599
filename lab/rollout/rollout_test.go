package rollout

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"
)

const (
	maxProcesses    = 30              // gateways and publishers at one time
	scenarioTimeout = 3 * time.Minute // of one scenario: no verdict, only an end
)

// processes bounds how many processes run at one time, whichever tests are parallel.
var processes = semaphore.NewWeighted(maxProcesses)

// runScenario runs a scenario and reports what does not hold.
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
	for _, answer := range run.Publishers.SlowResponses() {
		t.Log(answer)
	}
	for _, violation := range violations {
		t.Error(violation)
	}
	t.Log(run.LoadReport.Summary())
	t.Log(run.Figures())
	return run
}

// The cases of the whole fleet run one after the other with the same processes.
func TestChecksHoldInFleetCases(t *testing.T) {
	scenario := JoinScenarios("whole fleet", FleetCases(LargeSize())...)
	runScenario(t, &scenario)
}

// The cases of one gateway or one publisher run several at a time.
func TestChecksHoldInSmallCases(t *testing.T) {
	for _, scenario := range SingleProcessCases(SmallSize()) {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, &scenario)
		})
	}
}
