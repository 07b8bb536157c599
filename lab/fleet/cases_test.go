package fleet

import (
	"testing"
	"time"
)

// The common rules hold in each of the hard cases, and enough requests succeed.
func TestChecksHoldInHardCases(t *testing.T) {
	const atOnce = 2
	running := make(chan bool, atOnce)
	for _, scenario := range (ScenarioSize{Gateways: 16, Hosts: 12, Rate: 500, Seed: 7}).FaultScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			running <- true
			defer func() { <-running }()
			report := runScenario(t, scenario)
			must(t, report.Err())
		})
	}
}

// All gateways lack descriptors, ports and memory at random system calls, and bytes move in small pieces: every process
// starts and the common rules hold.
func TestChecksHoldWhileSystemCallsFail(t *testing.T) {
	binary, err := FaultyGatewayBinary()
	must(t, err)
	size := ScenarioSize{Gateways: 24, Hosts: 12, Rate: 400, Seed: 11}
	scenario := size.scenario("system calls fail by chance", 6*time.Second, 0.9)
	scenario.Options.Binary = binary
	scenario.Options.Env = []string{"FAULT_SEED=11"}
	report := runScenario(t, scenario)
	must(t, report.Err())
}
