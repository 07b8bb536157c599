package simenv

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/counterfactual"
)

// seeds returns the number of seeds to run, and whether the run has full size (FULL_SIZE=1), in which case its figures
// are written to docs/measurements.
func seeds() (n int, full bool) {
	if os.Getenv("FULL_SIZE") == "1" {
		return 8, true
	}
	return 1, false
}

// In every scenario the estimates agree with the ground truth of the same requests, or are refused.
func TestEstimatesAgreeWithGroundTruth(t *testing.T) {
	n, full := seeds()
	scores := make([]Score, len(Scenarios))
	t.Run("all", func(t *testing.T) {
		for i, scenario := range Scenarios {
			t.Run(scenario.Name, func(t *testing.T) {
				t.Parallel()
				scores[i] = evaluateScenario(t, scenario, n)
			})
		}
	})
	var all Score
	var text strings.Builder
	for i, scenario := range Scenarios {
		all.Add(&scores[i])
		fmt.Fprintf(&text, "%s: %s\n", scenario.Name, scores[i].String())
	}
	t.Log(all.String())
	tooManyInaccurateMeans := fraction(all.InaccurateMeans, all.Means) > 0.02
	tooManyInaccurateP99s := fraction(all.InaccurateP99s, all.P99s) > 0.05
	if all.Means < 120*n || tooManyInaccurateMeans || tooManyInaccurateP99s {
		t.Errorf("%d means, of which %d are off by more than 10%%; %d p99, of which %d by more than 20%%",
			all.Means, all.InaccurateMeans, all.P99s, all.InaccurateP99s)
	}
	if all.ComparedPairs < 10*n || fraction(all.PairsInOrder, all.ComparedPairs) < 0.95 {
		t.Errorf("%d compared pairs, of which %d are in the right order", all.ComparedPairs, all.PairsInOrder)
	}
	if full {
		text.WriteString("all: " + all.String() + "\n")
		if err := os.WriteFile("../../docs/measurements/counterfactual-world.txt", []byte(text.String()), 0o644); err != nil {
			t.Error(err)
		}
	}
}

// evaluateScenario runs a scenario with a number of seeds and returns the sum of the scores.
func evaluateScenario(t *testing.T, scenario Scenario, seeds int) (score Score) {
	t.Helper()
	for seed := range seeds {
		config := BaseConfig(uint64(seed) + 1)
		scenario.Configure(&config)
		score.Add(Run(config).EvaluateRulesAndHosts())
	}
	t.Log(score.String(), "\n", strings.Join(score.InaccurateFigures, "\n"))
	if scenario.ExpectedRefusal != "" && score.Refusals[scenario.ExpectedRefusal] != score.Answers {
		t.Errorf("not all answers are refused with %q", scenario.ExpectedRefusal)
	}
	if score.Figures > 50 && fraction(score.Covered, score.Figures) < 0.9 {
		t.Errorf("intervals cover the ground truth of %d of %d figures", score.Covered, score.Figures)
	}
	return score
}

// There is no data on a host that no gateway chooses: estimates for it are refused, and so are those for a rule that
// would send it a relevant share.
func TestHostNeverChosenHasNoFigure(t *testing.T) {
	config := BaseConfig(1)
	config.Hosts[7].NeverChosen = true
	simulation := Run(config)
	ledger := simulation.Ledger
	answer := ledger.EstimateSingleHost(0, config.Hosts[7].ID, simulation.FirstBin, simulation.LastBin)
	if !strings.HasPrefix(answer.Refused, "no overlap") || answer.Mean.Available() {
		t.Errorf("answer for a host that was never chosen: %+v", answer)
	}
	for _, answer := range ledger.EstimateRules(0, simulation.FirstBin, simulation.LastBin) {
		if answer.Rule == "chance" && !strings.HasPrefix(answer.Refused, "no overlap: host=107 ") {
			t.Errorf("answer for a rule that uses a host that was never chosen: %+v", answer)
		}
	}
}

// Estimates for a rule that routes 30% of the attempts, and so changes the hosts' loads, agree with a run in which it
// does.
func TestEstimatesOfReplacedRuleAgreeWithItsRun(t *testing.T) {
	n, full := seeds()
	var all Score
	for seed := range n {
		config := BaseConfig(uint64(seed) + 1)
		config.SwingAmplitude = 0.6
		config.SwingPeriod = 20 * time.Second
		config.Duration = 60 * time.Second
		all.Add(EvaluateReplacement(config, 0.3))
	}
	t.Log(all.String(), "\n", strings.Join(all.InaccurateFigures, "\n"))
	tooFewCovered := fraction(all.Covered, all.Figures) < 0.9
	refusedForLoad := all.Refusals["the rule follows the load"]
	if all.Means < 3*n || all.InaccurateMeans > 0 || tooFewCovered || refusedForLoad != 2*n {
		t.Error("too few or inaccurate means, too few intervals that cover the ground truth, or unexpected refusals")
	}
	if full {
		err := os.WriteFile("../../docs/measurements/counterfactual-replaced.txt", []byte(all.String()+"\n"), 0o644)
		if err != nil {
			t.Error(err)
		}
	}
}

// Under constant load a slow host has few attempts in flight. The estimate for a rule that would send it three times as
// many is refused, as it lies beyond the loads that were observed.
func TestRuleBeyondSeenLoadsIsRefused(t *testing.T) {
	config := BaseConfig(1)
	spreadSpeeds(&config)
	simulation := Run(config)
	answer := simulation.Ledger.EstimateReplacement(0, counterfactual.Random, 1, simulation.FirstBin,
		simulation.LastBin)
	if !strings.HasPrefix(answer.Refused, "load outside the range seen: host=") {
		t.Errorf("answer for a rule beyond the observed loads: %+v", answer)
	}
}
