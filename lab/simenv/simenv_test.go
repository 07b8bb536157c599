package simenv

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/counterfactual"
)

// seeds returns the number of seeds: one, or several at full size, whose figures go to the measurements.
func seeds() (n int, full bool) {
	if os.Getenv("FULL_SIZE") == "1" {
		return 8, true
	}
	return 1, false
}

// In every scenario estimates agree with the ground truth of the same requests, or are refused.
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
	meansOff := fraction(all.InaccurateMeans, all.Means) > 0.02
	p99sOff := fraction(all.InaccurateP99s, all.P99s) > 0.05
	if all.Means < 120*n || meansOff || p99sOff {
		t.Errorf("of %d means %d are more than 10%% off, of %d p99 %d more than 20%%",
			all.Means, all.InaccurateMeans, all.P99s, all.InaccurateP99s)
	}
	if all.ComparedPairs < 10*n || fraction(all.PairsInOrder, all.ComparedPairs) < 0.95 {
		t.Errorf("of %d pairs %d in the right order", all.ComparedPairs, all.PairsInOrder)
	}
	if full {
		text.WriteString("all: " + all.String() + "\n")
		if err := os.WriteFile("../../docs/measurements/counterfactual-world.txt", []byte(text.String()), 0o644); err != nil {
			t.Error(err)
		}
	}
}

// evaluateScenario returns the score of a scenario over a number of seeds.
func evaluateScenario(t *testing.T, scenario Scenario, seeds int) (score Score) {
	t.Helper()
	for seed := range seeds {
		config := BaseConfig(uint64(seed) + 1)
		scenario.Configure(&config)
		score.Add(Run(config).EvaluateRulesAndHosts())
	}
	t.Log(score.String(), "\n", strings.Join(score.InaccurateFigures, "\n"))
	if scenario.ExpectedRefusal != "" && score.Refusals[scenario.ExpectedRefusal] != score.Answers {
		t.Errorf("not all refused with %q", scenario.ExpectedRefusal)
	}
	if score.Figures > 50 && fraction(score.Covered, score.Figures) < 0.9 {
		t.Errorf("intervals cover %d of %d", score.Covered, score.Figures)
	}
	return score
}

// A host that is never chosen has no figure, nor has a rule that would send a relevant share there.
func TestHostNeverChosenHasNoFigure(t *testing.T) {
	config := BaseConfig(1)
	config.Hosts[7].NeverChosen = true
	environment := Run(config)
	ledger := environment.Ledger
	answer := ledger.EstimateSingleHost(0, config.Hosts[7].ID, environment.FirstBin, environment.LastBin)
	if !strings.HasPrefix(answer.Refused, "no overlap") || answer.Mean.Available() {
		t.Errorf("%+v", answer)
	}
	for _, answer := range ledger.EstimateRules(0, environment.FirstBin, environment.LastBin) {
		if answer.Rule == "chance" && !strings.HasPrefix(answer.Refused, "no overlap: host=107 ") {
			t.Errorf("%+v", answer)
		}
	}
}

// Estimates of a rule in force for 30% of the attempts, which changes the loads, agree with a run in which it is.
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
	uncovered := fraction(all.Covered, all.Figures) < 0.9
	refused := all.Refusals["the rule follows the load"]
	if all.Means < 3*n || all.InaccurateMeans > 0 || uncovered || refused != 2*n {
		t.Error("off, or not estimated")
	}
	if full {
		err := os.WriteFile("../../docs/measurements/counterfactual-replaced.txt", []byte(all.String()+"\n"), 0o644)
		if err != nil {
			t.Error(err)
		}
	}
}

// In a calm fleet a slow host has few attempts at a time. A rule that would send it three times as many is beyond the
// loads seen, and is refused.
func TestRuleBeyondSeenLoadsIsRefused(t *testing.T) {
	config := BaseConfig(1)
	spreadSpeeds(&config)
	environment := Run(config)
	answer := environment.Ledger.EstimateReplacement(0, counterfactual.Random, 1, environment.FirstBin, environment.LastBin)
	if !strings.HasPrefix(answer.Refused, "load outside the range seen: host=") {
		t.Errorf("%+v", answer)
	}
}
