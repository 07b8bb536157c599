package fleet

import (
	"testing"
	"time"
)

// Guards against lost or duplicated requests, crashes and requests to drained hosts under each kind of injected fault.
func TestChecksHoldInHardCases(t *testing.T) {
	const atOnce = 2
	running := make(chan bool, atOnce)
	for _, scenario := range (ScenarioSize{Gateways: 16, Hosts: 12, Rate: 500, Seed: 7}).FaultScenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			running <- true
			defer func() { <-running }()
			report := runScenario(t, scenario)
			requireNoError(t, report.Err())
		})
	}
}

// System calls of all gateways fail at random for lack of descriptors, ports or memory, and reads and writes move few
// bytes at a time. Every process must still start, and the common rules must hold.
func TestChecksHoldWhileSystemCallsFail(t *testing.T) {
	binary, err := FaultyGatewayBinary()
	requireNoError(t, err)
	size := ScenarioSize{Gateways: 24, Hosts: 12, Rate: 400, Seed: 11}
	scenario := size.scenario("system calls fail by chance", 6*time.Second, 0.9)
	scenario.Options.Binary = binary
	scenario.Options.Env = []string{"FAULT_SEED=11"}
	report := runScenario(t, scenario)
	requireNoError(t, report.Err())
}
