package simenv

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// seeds returns the number of seeds: one, or several at full size, whose figures go to the measurements.
func seeds() (n int, full bool) {
	if os.Getenv("FULL_SIZE") == "1" {
		return 8, true
	}
	return 1, false
}

// TestScenes checks that estimates agree with the ground truth of the very same requests in every scenario, or are refused.
func TestScenes(t *testing.T) {
	n, full := seeds()
	scores := make([]Score, len(Scenarios))
	t.Run("all", func(t *testing.T) {
		for i, s := range Scenarios {
			t.Run(s.Name, func(t *testing.T) {
				t.Parallel()
				all := &scores[i]
				for seed := range n {
					c := Base(uint64(seed) + 1)
					s.Configure(&c)
					all.Add(Run(c).EvaluateSingle())
				}
				t.Log(all.String(), "\n", strings.Join(all.OffFigures, "\n"))
				if s.RefusedWith != "" && all.Refused[s.RefusedWith] != all.Answers {
					t.Errorf("not all refused with %q", s.RefusedWith)
				}
				if all.Figures > 50 && fraction(all.Covered, all.Figures) < 0.9 {
					t.Errorf("intervals hold %d of %d", all.Covered, all.Figures)
				}
			})
		}
	})
	var all Score
	var text strings.Builder
	for i, s := range Scenarios {
		all.Add(&scores[i])
		fmt.Fprintf(&text, "%s: %s\n", s.Name, scores[i].String())
	}
	t.Log(all.String())
	if all.Means < 120*n || fraction(all.MeansOff, all.Means) > 0.02 || fraction(all.P99sOff, all.P99s) > 0.05 {
		t.Errorf("of %d means %d are more than 10%% off, of %d p99 %d more than 20%%", all.Means, all.MeansOff, all.P99s,
			all.P99sOff)
	}
	if all.RulePairs < 10*n || fraction(all.PairsInOrder, all.RulePairs) < 0.95 {
		t.Errorf("of %d pairs %d in the right order", all.RulePairs, all.PairsInOrder)
	}
	if full {
		text.WriteString("all: " + all.String() + "\n")
		if err := os.WriteFile("../../docs/measurements/counterfactual-world.txt", []byte(text.String()), 0o644); err != nil {
			t.Error(err)
		}
	}
}

// TestNoOverlap checks that a host that is never chosen gets no figure, nor a rule that would send a relevant share there.
func TestNoOverlap(t *testing.T) {
	c := Base(1)
	c.Hosts[7].NeverChosen = true
	w := Run(c)
	if a := w.Ledger.SingleHost(0, c.Hosts[7].ID, w.From, w.To); !strings.HasPrefix(a.Refused, "no overlap") || a.Mean.Given() {
		t.Errorf("%+v", a)
	}
	for _, a := range w.Ledger.Panel(0, w.From, w.To) {
		if a.Rule == "chance" && !strings.HasPrefix(a.Refused, "no overlap: host=107 ") {
			t.Errorf("%+v", a)
		}
	}
}

// TestReplaced checks estimates of a rule in force for 30% of the attempts, which moves the loads, against a run in which it is.
func TestReplaced(t *testing.T) {
	n, full := seeds()
	var all Score
	for seed := range n {
		c := Base(uint64(seed) + 1)
		c.SwingAmplitude, c.SwingPeriod, c.Duration = 0.6, 20, 60*Second
		all.Add(EvaluateReplaced(c, 0.3))
	}
	t.Log(all.String(), "\n", strings.Join(all.OffFigures, "\n"))
	if all.Means < 3*n || all.MeansOff > 0 || fraction(all.Covered, all.Figures) < 0.9 || all.Refused["the rule follows the load"] != 2*n {
		t.Error("off, or none given")
	}
	// Few attempts at a host in a calm fleet: a rule that would send it thrice as many is asked beyond the loads seen.
	c := Base(1)
	for i := range c.Hosts {
		c.Hosts[i].BaseTime = 12 * float64(1+i)
	}
	w := Run(c)
	if a := w.Ledger.Replaced(0, 4, 1, w.From, w.To); !strings.HasPrefix(a.Refused, "load outside the range seen: host=") {
		t.Errorf("%+v", a)
	}
	if full {
		err := os.WriteFile("../../docs/measurements/counterfactual-replaced.txt", []byte(all.String()+"\n"), 0o644)
		if err != nil {
			t.Error(err)
		}
	}
}
