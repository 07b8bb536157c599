package acceptance

import (
	"maps"
	"slices"
	"testing"
)

const (
	journal   = "../../journal"
	minMargin = 1.25 // over each gate
	// maxOverQuotaExcess leaves a fifth of the gate's allowance of 0.1 over the reference policy's cost.
	maxOverQuotaExcess = 0.08
)

// The latest complete run in the journal succeeded, with a margin of a quarter over each gate.
func TestLatestRunKeepsMargins(t *testing.T) {
	run, err := Latest(journal)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s, score %.3f: %s\n%s", run.ID, run.Figures.Score, run.Reason, run.Table())
	if run.Figures.Gate != 1 {
		t.Errorf("run %s failed the test", run.ID)
	}
	for i := range run.Days {
		day := &run.Days[i]
		if failure := day.Failure(); failure != "" {
			t.Errorf("%s: %s", day.Name, failure)
		}
		if margin, whose := day.Margin(); margin < minMargin {
			t.Errorf("%s: %s has %.2f of its gate", day.Name, whose, margin)
		}
	}
}

// On the latest calm day our cost of sends beyond quotas stays within its allowance over the reference policy's.
func TestOverQuotaCostStaysWithinAllowance(t *testing.T) {
	run, cost, err := LatestCalm(journal)
	if err != nil {
		t.Fatal(err)
	}
	reference := run.Days[0].ReferenceOver
	t.Logf("%s, %s: %.3f, the reference policy %.3f", run.ID, run.Site, cost, reference)
	if cost > reference+maxOverQuotaExcess {
		t.Errorf("calm day %s: cost %.3f of sends beyond quotas, the reference policy %.3f", run.ID, cost, reference)
	}
}

// The latest set of short days on each site succeeded, with a margin of a quarter over what all its days have to serve.
func TestLatestShortDaysKeepMargins(t *testing.T) {
	for _, site := range []string{"east-mids-checkin", "joburg-panels", "porto-tickets", "oslo-tap"} {
		run, err := LatestShort(journal, site)
		if err != nil {
			t.Error(err)
			continue
		}
		margin, whose := run.ShortMargin()
		t.Logf("%s, %s, seed %s, score %.3f: %s at %.2f of its gate",
			run.ID, site, run.Seed(), run.Figures.Score, whose, margin)
		if run.Figures.Gate != 1 || margin < minMargin {
			t.Errorf("%s, seed %s: gate %.0f, %s at %.2f of its gate", site, run.Seed(), run.Figures.Gate, whose, margin)
		}
		for i := range run.Days {
			day := &run.Days[i]
			if day.Fault != nil || slices.Max(slices.Collect(maps.Values(day.Rules))) > 0 {
				t.Errorf("%s, seed %s, %s: %s", site, run.Seed(), day.Name, day.Failure())
			}
		}
	}
}

// Each cause fails a day.
func TestDayFailsForEachCause(t *testing.T) {
	fault := "a crash"
	for _, day := range []Day{
		{Served: 1, Wanted: 0.5, Fault: &fault},
		{Served: 1, Wanted: 0.5, Rules: map[string]int{"lost": 1}},
		{Served: 0.4, Wanted: 0.5},
		{Served: 1, Wanted: 0.5, Classes: []Share{{"lookup", 0.3, 0.4}}},
		{Served: 1, Wanted: 0.5, Starved: []float64{0.3, 0.1}},
	} {
		if day.Failure() == "" {
			t.Errorf("%+v succeeds", day)
		}
	}
}

// The margin of a set of short days is that of its weakest part, even if that is a class on unsafe days only.
func TestShortMarginIsOfWeakestClass(t *testing.T) {
	run := Run{Days: []Day{
		{Served: 0.9, Reference: 0.9, Classes: []Share{{"tap", 0.9, 0.45}}},
		{Served: 0.2, Reference: 0.9, Unsafe: true, Classes: []Share{{"tap", 0.2, 0.45}}},
	}}
	if margin, whose := run.ShortMargin(); whose != "unsafe days, class tap" || margin > 0.67 || margin < 0.66 {
		t.Errorf("%s at %.2f", whose, margin)
	}
}

// One weak day sets the margin of a set that is well above its gate, unless the day is a crowd.
func TestShortMarginIsOfWeakestDayButCrowds(t *testing.T) {
	days := []Day{
		{Name: "calm", Served: 0.9, Reference: 0.9},
		{Name: "split", Served: 0.9, Reference: 0.9},
		{Name: "throng", Served: 0.15, Reference: 0.9},
	}
	run := &Run{Days: days}
	if margin, whose := run.ShortMargin(); whose != "day throng" || margin > 0.84 || margin < 0.83 {
		t.Errorf("%s at %.2f", whose, margin)
	}
	days[2].Name = "herd+crowd"
	if margin, whose := run.ShortMargin(); whose != "days" || margin < 2 {
		t.Errorf("a crowd: %s at %.2f", whose, margin)
	}
}
