package groundtruth

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/lab/figures"
	"ravensill/lab/simenv"
)

const (
	fleetFiguresFile   = "../../docs/measurements/counterfactual-fleet.txt"
	gatewaysMissing    = "gateways missing"
	maxDelayedFraction = 0.02 // with a larger fraction of attempts delayed by the machine, the ground truth is not valid
)

// testSize returns the size of the cases: 24 gateways in CI, 200 with FULL_SIZE=1.
func testSize() Size {
	if os.Getenv("FULL_SIZE") == "1" {
		return Size{
			Gateways:    200,
			Hosts:       12,
			RequestRate: 800,
			Duration:    20 * second,
			Window:      2 * second,
			Seed:        11,
		}
	}
	return Size{Gateways: 24, Hosts: 6, RequestRate: 500, Duration: 12 * second, Window: second, Seed: 5}
}

// The collector's answers agree with the response times that the emulated hosts would have had for the same attempts,
// or are refused.
func TestAnswersAgreeWithGroundTruth(t *testing.T) {
	var all simenv.Score
	var text strings.Builder
	for _, testCase := range testSize().Cases() {
		t.Run(testCase.Name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			outcome, err := testCase.Run(ctx)
			if err != nil {
				t.Fatal(err)
			}
			line := fmt.Sprintf("%d gateways, seed %d, %s: %d attempts, %.1f%% delayed by the machine, "+
				"%d gateways named, messages %+v; %s\n",
				testCase.Gateways, testCase.Seed, testCase.Name, outcome.Attempts, 100*outcome.DelayedFraction,
				outcome.MissingGateways, outcome.Counts, outcome.Score.String())
			text.WriteString(line)
			t.Log(line, strings.Join(append(outcome.InaccurateFigures, outcome.Uncovered...), "\n"))
			if testCase.ExpectedRefusal != "" {
				if outcome.Refusals[testCase.ExpectedRefusal] != outcome.Answers {
					t.Errorf("not all answers are refused with %q", testCase.ExpectedRefusal)
				}
			} else {
				if outcome.Refusals[gatewaysMissing] == 0 && outcome.Answers < 6+testCase.Hosts {
					t.Errorf("%d answers, want one for each rule and each host", outcome.Answers)
				}
				if outcome.DelayedFraction > maxDelayedFraction {
					t.Log("not compared with the ground truth: the machine delayed too many attempts")
					return
				}
			}
			all.Add(&outcome.Score)
		})
	}
	t.Log(all.String())
	checkScore(t, &all)
	if os.Getenv("FULL_SIZE") == "1" {
		if err := figures.Append(fleetFiguresFile, text.String()); err != nil {
			t.Error(err)
		}
	}
}

// checkScore fails the test if too many estimates are inaccurate, too few intervals cover the ground truth, or too few
// pairs are in the right order. It passes a score without any estimated mean.
func checkScore(t *testing.T, score *simenv.Score) {
	t.Helper()
	if score.Means == 0 {
		return
	}
	tooManyInaccurateMeans := float64(score.InaccurateMeans) > 0.05*float64(score.Means)
	tooManyInaccurateP99s := float64(score.InaccurateP99s) > 0.1*float64(score.P99s)
	tooFewCovered := float64(score.Covered) < 0.9*float64(score.Figures)
	tooFewInOrder := float64(score.PairsInOrder) < 0.95*float64(score.ComparedPairs)
	if tooManyInaccurateMeans || tooManyInaccurateP99s || tooFewCovered || tooFewInOrder {
		t.Error("too many inaccurate figures, too few intervals that cover the ground truth, or pairs in the wrong order")
	}
}

// Measures, at full size only, the processor time that the counterfactual section adds to a request. It has no bound to
// fail on.
func TestFullSizeCost(t *testing.T) {
	if os.Getenv("FULL_SIZE") != "1" {
		t.Skip("a measurement: FULL_SIZE=1")
	}
	const runs = 6
	var text strings.Builder
	for _, fraction := range []float64{0.1, 1} {
		var mean Cost
		for i := range runs {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			cost, err := MeasureCost(ctx, CostOptions{
				Seed:           uint64(i) + 1,
				Rate:           1200,
				Duration:       10 * second,
				SampleFraction: fraction,
				SwapGateways:   i%2 == 1,
			})
			cancel()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "part %g, run %d: %v\n", fraction, i, cost)
			mean.Enabled += cost.Enabled / runs
			mean.Disabled += cost.Disabled / runs
			mean.Requests += cost.Requests
		}
		fmt.Fprintf(&text, "part %g, all: %v\n", fraction, mean)
	}
	t.Log(text.String())
	if err := os.WriteFile("../../docs/measurements/counterfactual-cost.txt", []byte(text.String()), 0o644); err != nil {
		t.Error(err)
	}
}
