package rollout

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/lab/figures"
)

var (
	full           = flag.Int("full", 0, "gateways of the full-size measurements; 0 leaves them out")
	rate           = flag.Float64("rate", 400, "clients' requests a second of the full-size measurements")
	changeInterval = flag.Duration("pace", 4300*time.Millisecond, "time between two changes of the full-size measurements")
	cases          = flag.String("cases", "", "full-size scenarios whose names contain this")
	baseline       = flag.Bool("baseline", true, "measure restarts on each change too")
	into           = flag.String("into", "", "file that the figures are added to; empty prints them only")
)

// Budgets of the operators, for each gateway.
const (
	budgetInForce  = 12 * time.Second
	budgetBytes    = 7000 // a second
	budgetCPUShare = 0.013
	budgetMemory   = 128e6 // bytes
)

const (
	fullTimeout     = 15 * time.Minute // of one scenario: no verdict, only an end
	baselineChanges = 3
	baselineBatches = 8 // in which a fleet is restarted
	steadyVersions  = 14
)

// fullSize returns the size that the flags set.
func fullSize() Size {
	return Size{
		Gateways:          *full,
		Hosts:             max(6, *full/3),
		Publishers:        3,
		Rate:              *rate,
		Seed:              9,
		ElectionTimeoutMS: 1000,
		ChangeInterval:    *changeInterval,
		Burst:             300,
		OutageDuration:    time.Minute,
	}
}

// fullCases returns the cases of CI, all at one size, with more changes in the steady one, and some with less load.
func fullCases() []Scenario {
	size := fullSize()
	all := append(FleetCases(size), SingleProcessCases(size)...)
	all[0].Steps = append([]Step{WaitVersions(steadyVersions)}, all[0].Steps...)
	idle := size
	idle.Rate = 1
	noChanges := size.scenario("no changes", Pause(size.OutageDuration))
	noChanges.NoRoutineChanges = true
	nothing := idle.scenario("no clients, no changes", Pause(size.OutageDuration))
	nothing.NoRoutineChanges = true
	noClients := idle.scenario("no clients, steady", WaitVersions(steadyVersions))
	return append([]Scenario{nothing, noClients, noChanges}, all...)
}

// report writes figures as soon as they are known, so that a run that is ended early keeps its first ones.
type report struct{ t *testing.T }

func (r report) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Print(text)
	if *into != "" {
		if err := figures.Append(*into, text); err != nil {
			r.t.Fatal(err)
		}
	}
}

const fullHead = "| scenario | changes | in force: p50, p99, latest (budget 12 s) | after an absence | " +
	"bytes/s a gateway: mean, most (budget 7000) | gateways: core (budget 1.3%%), memory mean, most (budget 128 MB) | " +
	"publishers: core, memory mean, most | requests | holds |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// The checks hold at full size too. The figures are written beside their budgets and decide nothing.
func TestFullSizeChecksHold(t *testing.T) {
	if *full == 0 {
		t.Skip("no -full")
	}
	report := report{t}
	report.add("\n## %d gateways, %d hosts, 3 publishers, %.0f requests a second, a change each %v "+
		"(%s, load of the machine %s)\n\n",
		*full, fullSize().Hosts, *rate, *changeInterval, time.Now().UTC().Format(time.DateOnly), loadAverage())
	report.add(fullHead)
	for _, scenario := range fullCases() {
		if !strings.Contains(scenario.Name, *cases) {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) { runFullSize(t, &scenario, report) })
	}
	if *baseline {
		runBaseline(t, report)
	}
}

// runFullSize runs one scenario and adds a row on it.
func runFullSize(t *testing.T, scenario *Scenario, report report) {
	ctx, cancel := context.WithTimeout(context.Background(), fullTimeout)
	defer cancel()
	run, violations, err := scenario.Run(ctx)
	if err != nil {
		report.add("| %s | | | | | | | | not finished: %.200v |\n", scenario.Name, err)
		t.Fatal(err)
	}
	for _, violation := range violations {
		t.Error(violation)
	}
	for _, answer := range run.Publishers.SlowResponses() {
		t.Log(answer)
	}
	figures := run.Figures()
	report.add("| %s | %d | %v | %v | %.0f, %.0f | %v | %v | %s | %s |\n", scenario.Name, figures.Changes,
		figures.ConnectedLatencies, figures.LatenciesAfterOutage, figures.BytesPerSecond, figures.MaxBytesPerSecond, figures.Gateways,
		figures.Publishers, run.LoadReport.Summary(), verdict(&figures, violations))
	t.Log(figures)
}

// verdict returns in a few words what held, and which figures exceed their budgets.
func verdict(figures *Figures, violations []string) string {
	if len(violations) > 0 {
		return "no: " + strings.Join(violations, "; ")
	}
	var beyond []string
	if figures.ConnectedLatencies.percentile(1) > budgetInForce {
		beyond = append(beyond, "time")
	}
	if figures.MaxBytesPerSecond > budgetBytes {
		beyond = append(beyond, "bytes")
	}
	if figures.Gateways.CPUShare > budgetCPUShare {
		beyond = append(beyond, "processor")
	}
	if float64(figures.Gateways.PeakMemory) > budgetMemory {
		beyond = append(beyond, "memory")
	}
	if len(beyond) > 0 {
		return "all counts; beyond the budget: " + strings.Join(beyond, ", ")
	}
	return "all"
}

// runBaseline measures a fleet that is restarted on each change, all at once and in batches.
func runBaseline(t *testing.T, report report) {
	size := fullSize()
	report.add("\n| restart on each change | one gateway has a change after | all have it after | requests | lost |\n" +
		"| --- | --- | --- | --- | --- |\n")
	for _, batch := range []int{size.Gateways, max(1, size.Gateways/baselineBatches)} {
		ctx, cancel := context.WithTimeout(context.Background(), fullTimeout)
		defer cancel()
		baseline := Baseline{Size: size, Batch: batch, Changes: baselineChanges}
		result, err := baseline.Run(ctx)
		if err != nil {
			t.Error(err)
			continue
		}
		for _, violation := range result.Violations {
			t.Log("restart on each change: ", violation)
		}
		report.add("| %d gateways at a time | %v | %v | %s | %d |\n", batch, result.InForceAtOne, result.InForceAtAll,
			result.Requests, result.Lost)
	}
}

// loadAverage returns the machine's load average over 1, 5 and 15 minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
