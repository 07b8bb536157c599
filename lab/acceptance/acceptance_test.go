package acceptance

import (
	"maps"
	"slices"
	"testing"
)

const (
	journal       = "../../journal"
	wantedMargin  = 1.25
	wantedOverage = 0.08 // over the reference policy's cost: the gate's 0.1 less a fifth
)

func TestLatestFullRunPassesWithMargin(t *testing.T) {
	run, err := LatestFullRun(journal)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s, score %.3f: %s\n%s", run.ID, run.Figures.Score, run.Reason, run.Table())
	if run.Figures.Gate != 1 {
		t.Errorf("run %s failed", run.ID)
	}
	for i := range run.Days {
		d := &run.Days[i]
		if failure := d.Failure(); failure != "" {
			t.Errorf("%s: %s", d.Name, failure)
		}
		if margin := d.Margin(); margin.Ratio < wantedMargin {
			t.Errorf("%s: %s has %.2f of its gate", d.Name, margin.Subject, margin.Ratio)
		}
	}
}

func TestLatestCalmDayCostsOfOverQuotaKeepMargin(t *testing.T) {
	run, cost, err := LatestCalmDay(journal)
	if err != nil {
		t.Fatal(err)
	}
	reference := run.Days[0].OverQuotaReference
	t.Logf("%s, %s: %.3f, the reference policy %.3f", run.ID, run.Site, cost, reference)
	if cost > reference+wantedOverage {
		t.Errorf("calm day %s: cost %.3f over quota, the reference policy %.3f", run.ID, cost, reference)
	}
}

func TestLatestShortDaysPassWithMargin(t *testing.T) {
	for _, site := range []string{"east-mids-checkin", "joburg-panels", "porto-tickets", "oslo-tap"} {
		t.Run(site, func(t *testing.T) {
			run, err := LatestShortDays(journal, site)
			if err != nil {
				t.Fatal(err)
			}
			margin := run.ShortDaysMargin()
			t.Logf("%s, seed %s, score %.3f: %s at %.2f of its gate",
				run.ID, run.Seed(), run.Figures.Score, margin.Subject, margin.Ratio)
			if run.Figures.Gate != 1 || margin.Ratio < wantedMargin {
				t.Errorf("seed %s: gate %.0f, %s at %.2f of its gate",
					run.Seed(), run.Figures.Gate, margin.Subject, margin.Ratio)
			}
			for i := range run.Days {
				d := &run.Days[i]
				breaches := slices.Max(slices.Collect(maps.Values(d.BrokenRules)))
				if d.Fault != nil || breaches > 0 {
					t.Errorf("seed %s, %s: %s", run.Seed(), d.Name, d.Failure())
				}
			}
		})
	}
}
