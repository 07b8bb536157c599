package groundtruth

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/lab/simenv"
)

// TestCases checks that the collector's answers agree with the hosts' ground truth for the same attempts, or are refused.
func TestCases(t *testing.T) {
	sizes := []Size{{Gateways: 24, Hosts: 6, RequestRate: 500, Duration: 12 * time.Second, Window: second, Seed: 5}}
	full := os.Getenv("FULL_SIZE") == "1"
	if full {
		sizes = []Size{{Gateways: 200, Hosts: 12, RequestRate: 800, Duration: 20 * time.Second, Window: 2 * second, Seed: 11}}
	}
	var all simenv.Score
	var text strings.Builder
	for _, z := range sizes {
		for _, c := range z.Cases() {
			t.Run(c.Name, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
				defer cancel()
				o, err := c.Run(ctx)
				if err != nil {
					t.Fatal(err)
				}
				line := fmt.Sprintf("%d gateways, seed %d, %s: %d attempts, %.1f%% delayed by the machine, %d gateways named, "+
					"messages %+v; %s\n", c.Gateways, c.Seed, c.Name, o.Attempts, 100*o.Delayed, o.MissingGateways, o.Counts, o.Score.String())
				text.WriteString(line)
				t.Log(line, strings.Join(append(o.OffFigures, o.Uncovered...), "\n"))
				if c.RefusedWith != "" && o.Refused[c.RefusedWith] != o.Answers {
					t.Errorf("not all refused with %q", c.RefusedWith)
				}
				if c.RefusedWith == "" && o.Refused["gateways missing"] == 0 && o.Answers < 6+c.Hosts {
					t.Errorf("%d answers", o.Answers)
				}
				if c.RefusedWith == "" && o.Delayed > 0.02 { // then the truth is none
					t.Log("not held against the truth: the machine did not keep up")
					return
				}
				all.Add(&o.Score)
			})
		}
	}
	t.Log(all.String())
	if n := all.Means; n > 0 && (float64(all.MeansOff) > 0.05*float64(n) || float64(all.P99sOff) > 0.1*float64(all.P99s) ||
		float64(all.Covered) < 0.9*float64(all.Figures) || float64(all.PairsInOrder) < 0.95*float64(all.RulePairs)) {
		t.Error("figures too far off, intervals too narrow, or pairs in the wrong order")
	}
	if full {
		f, err := os.OpenFile("../../docs/measurements/counterfactual-fleet.txt", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			t.Fatal(err)
		}
		defer f.Close()
		fmt.Fprint(f, text.String())
	}
}

// TestCost measures what a request costs more with the section enabled. At full size the figures go to the measurements; no
// verdict rests on them.
func TestCost(t *testing.T) {
	if os.Getenv("FULL_SIZE") != "1" {
		t.Skip("a measurement: FULL_SIZE=1")
	}
	var text strings.Builder
	const plays = 6
	for _, part := range []float64{0.1, 1} {
		var all Cost
		for i := range plays {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			c, err := MeasureCost(ctx, uint64(i)+1, 1200, 10*time.Second, i%2 == 1, part)
			cancel()
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "part %g, play %d: %v\n", part, i, c)
			all.Enabled, all.Disabled, all.Requests = all.Enabled+c.Enabled/plays, all.Disabled+c.Disabled/plays, all.Requests+c.Requests
		}
		fmt.Fprintf(&text, "part %g, all: %v\n", part, all)
	}
	t.Log(text.String())
	if err := os.WriteFile("../../docs/measurements/counterfactual-cost.txt", []byte(text.String()), 0o644); err != nil {
		t.Error(err)
	}
}
