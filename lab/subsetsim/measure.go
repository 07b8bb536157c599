package subsetsim

import (
	"fmt"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"
)

// ScenarioHeader is the header of the Markdown table whose rows ScenarioRow returns. Figures in parentheses are those
// of the random baseline.
const ScenarioHeader = "| day | rule | seed | worst of 10 s | mean of 1 s | idle 2 s, mean in 2 s | " +
	"longest over 1.5 | most in 1 s | hosts used | succeeded | time |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// ScenarioRow simulates a scenario and returns its figures as a row of the table under ScenarioHeader. rule is the name
// of the subset rule.
func ScenarioRow(scenario Scenario, rule string) string {
	result := Run(scenario)
	from, to := firstStepAt, scenario.Length
	tenSeconds, tenSecondsBaseline := result.Evenness(from, to, 10*time.Second)
	second, secondBaseline := result.Evenness(from, to, time.Second)
	idle, idleBaseline, meanAttempts := result.IdleHosts(from, to)
	overload, overloadBaseline := result.Overload(from, to)
	cells := []string{
		scenario.Name,
		rule,
		fmt.Sprint(scenario.Seed),
		fmt.Sprintf("%.2f..%.2f (%.2f..%.2f)",
			tenSeconds.MinRatio, tenSeconds.MaxRatio, tenSecondsBaseline.MinRatio, tenSecondsBaseline.MaxRatio),
		fmt.Sprintf("%.2f..%.2f (%.2f..%.2f)",
			second.MeanMinRatio, second.MeanMaxRatio, secondBaseline.MeanMinRatio, secondBaseline.MeanMaxRatio),
		fmt.Sprintf("%d (%d) of %.1f", idle, idleBaseline, meanAttempts),
		fmt.Sprintf("%.1f (%.1f) s", overload.Longest.Seconds(), overloadBaseline.Longest.Seconds()),
		fmt.Sprintf("%.1f (%.1f)", overload.MaxRatio, overloadBaseline.MaxRatio),
		fmt.Sprintf("%.1f", result.HostsUsed),
		fmt.Sprintf("%.3f", float64(result.Succeeded)/float64(result.Requests)),
		fmt.Sprintf("%d ms", result.MeanLatency().Milliseconds()),
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}

// MeasureScenarios simulates all scenarios with 300 gateways and 200 or 60 hosts, each with rendezvous subsets and with
// the subsets of package subset, and returns the table of their figures. It runs four simulations at a time.
func MeasureScenarios(seeds []uint64) string {
	var jobs errgroup.Group
	jobs.SetLimit(4)
	var rows []*string
	addRow := func(scenario Scenario, rule string) {
		row := new(string)
		rows = append(rows, row)
		jobs.Go(func() error {
			*row = ScenarioRow(scenario, rule)
			return nil
		})
	}
	for _, hosts := range []int{200, 60} {
		for _, scenario := range Scenarios(0, 300, hosts) {
			for _, seed := range seeds {
				scenario.Seed = seed
				scenario.SubsetRule = rendezvousSubset
				addRow(scenario, "rendezvous")
				scenario.SubsetRule = nil
				addRow(scenario, "claims")
			}
		}
	}
	jobs.Wait()
	text := "300 gateways, 200 hosts; below 60\n\n" + ScenarioHeader
	for _, row := range rows {
		text += *row
	}
	return text
}
