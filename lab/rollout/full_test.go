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
	fullSizeGateways = flag.Int("full", 0, "number of gateways in the full-size measurements; 0 skips them")
	requestRate      = flag.Float64("rate", 400, "clients' requests per second in the full-size measurements")
	changeInterval   = flag.Duration("pace", 4300*time.Millisecond, "interval of changes in the full-size measurements")
	caseFilter       = flag.String("cases", "", "run only the full-size scenarios whose names contain this")
	includeBaseline  = flag.Bool("baseline", true, "also measure a fleet that is restarted on each change")
	outputFile       = flag.String("into", "", "file to append the figures to; empty only prints them")
)

// Budgets that the operators set for each gateway.
const (
	budgetInForce  = 12 * time.Second
	budgetBytes    = 7000  // per second
	budgetCPUShare = 0.013 // fraction of a core
	budgetMemory   = 128e6 // bytes
)

const (
	fullTimeout     = 15 * time.Minute // of one scenario; only stops a run that hangs, no latency is judged by it
	baselineChanges = 3
	baselineBatches = 8 // batches in which the fleet is restarted
	steadyVersions  = 14
)

// fullSize returns the size set by the flags.
func fullSize() Size {
	return Size{
		Gateways:          *fullSizeGateways,
		Hosts:             max(6, *fullSizeGateways/3),
		Publishers:        3,
		Rate:              *requestRate,
		Seed:              9,
		ElectionTimeoutMS: 1000,
		ChangeInterval:    *changeInterval,
		Burst:             300,
		OutageDuration:    time.Minute,
	}
}

// fullCases returns the scenarios of CI at the full size, with more changes in the first one, and scenarios with almost
// no requests or without changes.
func fullCases() []Scenario {
	size := fullSize()
	all := append(FleetCases(size), SingleProcessCases(size)...)
	all[0].Steps = append([]Step{WaitVersions(steadyVersions)}, all[0].Steps...)
	idle := size
	idle.Rate = 1
	noChanges := size.scenario("no changes", Pause(size.OutageDuration))
	noChanges.NoRoutineChanges = true
	idleNoChanges := idle.scenario("no clients, no changes", Pause(size.OutageDuration))
	idleNoChanges.NoRoutineChanges = true
	noClients := idle.scenario("no clients, steady", WaitVersions(steadyVersions))
	return append([]Scenario{idleNoChanges, noClients, noChanges}, all...)
}

// reportWriter writes each result as soon as it is known, so that a run that is interrupted keeps its first results.
type reportWriter struct{ t *testing.T }

func (r reportWriter) add(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	fmt.Print(text)
	if *outputFile != "" {
		if err := figures.Append(*outputFile, text); err != nil {
			r.t.Fatal(err)
		}
	}
}

const scenarioTableHeader = "| scenario | changes | in force: p50, p99, latest (budget 12 s) | after an absence | " +
	"bytes/s a gateway: mean, most (budget 7000) | gateways: core (budget 1.3%%), memory mean, most (budget 128 MB) | " +
	"publishers: core, memory mean, most | requests | holds |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// Checks must hold at full size too. The measured figures are reported beside their budgets and do not fail the test.
func TestFullSizeChecksHold(t *testing.T) {
	if *fullSizeGateways == 0 {
		t.Skip("no -full")
	}
	report := reportWriter{t}
	report.add("\n## %d gateways, %d hosts, 3 publishers, %.0f requests a second, a change each %v "+
		"(%s, load of the machine %s)\n\n",
		*fullSizeGateways, fullSize().Hosts, *requestRate, *changeInterval,
		time.Now().UTC().Format(time.DateOnly), loadAverage())
	report.add(scenarioTableHeader)
	for _, scenario := range fullCases() {
		if !strings.Contains(scenario.Name, *caseFilter) {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) { runFullSize(t, &scenario, report) })
	}
	if *includeBaseline {
		runBaseline(t, report)
	}
}

// runFullSize runs one scenario and adds its row to the report.
func runFullSize(t *testing.T, scenario *Scenario, report reportWriter) {
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
	for _, response := range run.Publishers.SlowResponses() {
		t.Log(response)
	}
	figures := run.Figures()
	report.add("| %s | %d | %v | %v | %.0f, %.0f | %v | %v | %s | %s |\n", scenario.Name, figures.Changes,
		figures.ConnectedLatencies, figures.LatenciesAfterOutage, figures.BytesPerSecond, figures.MaxBytesPerSecond,
		figures.Gateways, figures.Publishers, run.LoadReport.Summary(), verdict(&figures, violations))
	t.Log(figures)
}

// verdict returns which checks failed and which figures exceed their budgets.
func verdict(figures *Figures, violations []string) string {
	if len(violations) > 0 {
		return "no: " + strings.Join(violations, "; ")
	}
	var exceeded []string
	if figures.ConnectedLatencies.percentile(1) > budgetInForce {
		exceeded = append(exceeded, "time")
	}
	if figures.MaxBytesPerSecond > budgetBytes {
		exceeded = append(exceeded, "bytes")
	}
	if figures.Gateways.CPUShare > budgetCPUShare {
		exceeded = append(exceeded, "processor")
	}
	if float64(figures.Gateways.PeakMemory) > budgetMemory {
		exceeded = append(exceeded, "memory")
	}
	if len(exceeded) > 0 {
		return "all counts; beyond the budget: " + strings.Join(exceeded, ", ")
	}
	return "all"
}

// runBaseline measures a fleet that is restarted on each change, with all gateways at once and in batches.
func runBaseline(t *testing.T, report reportWriter) {
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

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}
