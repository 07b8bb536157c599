package acceptance

import (
	"maps"
	"slices"
	"testing"
)

// The newest whole run in the journal passed, with a margin of a quarter over each gate.
func TestLastRun(t *testing.T) {
	r, err := Last("../../journal")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s, score %.3f: %s\n%s", r.ID, r.Figures.Score, r.Why, r.Table())
	if r.Figures.Gate != 1 {
		t.Errorf("run %s failed the standing test", r.ID)
	}
	for i := range r.Days {
		d := &r.Days[i]
		if b := d.Broken(); b != "" {
			t.Errorf("%s: %s", d.Name, b)
		}
		if m, whose := d.Margin(); m < 1.25 {
			t.Errorf("%s: %s has %.2f of its gate", d.Name, whose, m)
		}
	}
}

// The newest calm day in full: our price of sends beyond quotas keeps a quarter of its allowance of 0.1 over the late-seeing policy's.
func TestOverQuota(t *testing.T) {
	r, ours, err := LastCalm("../../journal")
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s, %s: %.3f, the late-seeing policy %.3f", r.ID, r.Site, ours, r.Days[0].Over)
	if ours > r.Days[0].Over+0.08 {
		t.Errorf("calm day %s: price %.3f of sends beyond quotas, the late-seeing policy %.3f", r.ID, ours, r.Days[0].Over)
	}
}

// The newest set of short days on each deployment passed, with a margin of a quarter over what all its days have to serve.
func TestShortDays(t *testing.T) {
	for _, site := range []string{"east-mids-checkin", "joburg-panels", "porto-tickets", "oslo-tap"} {
		r, err := LastShort("../../journal", site)
		if err != nil {
			t.Error(err)
			continue
		}
		m, whose := r.Short()
		t.Logf("%s, %s, seed %s, score %.3f: %s at %.2f of its gate", r.ID, site, r.Seed(), r.Figures.Score, whose, m)
		if r.Figures.Gate != 1 || m < 1.25 {
			t.Errorf("%s, seed %s: gate %.0f, %s at %.2f of its gate", site, r.Seed(), r.Figures.Gate, whose, m)
		}
		for i := range r.Days {
			if d := &r.Days[i]; d.Fault != nil || slices.Max(slices.Collect(maps.Values(d.Rules))) > 0 {
				t.Errorf("%s, seed %s, %s: %s", site, r.Seed(), d.Name, d.Broken())
			}
		}
	}
}

// What fails a day is seen.
func TestBroken(t *testing.T) {
	fault := "a crash"
	for _, d := range []Day{{Served: 1, Least: 0.5, Fault: &fault}, {Served: 1, Least: 0.5, Rules: map[string]int{"lost": 1}},
		{Served: 0.4, Least: 0.5}, {Served: 1, Least: 0.5, Classes: []Share{{"lookup", 0.3, 0.4}}}, {Served: 1, Least: 0.5, Starved: []float64{0.3, 0.1}}} {
		if d.Broken() == "" {
			t.Errorf("%+v passes", d)
		}
	}
}

// What a set of short days falls short in is seen, also where only the days with unsafe classes do.
func TestShort(t *testing.T) {
	r := Run{Days: []Day{{Served: 0.9, Late: 0.9, Classes: []Share{{"tap", 0.9, 0.45}}},
		{Served: 0.2, Late: 0.9, Unsafe: true, Classes: []Share{{"tap", 0.2, 0.45}}}}}
	if m, whose := r.Short(); whose != "unsafe days, class tap" || m > 0.67 || m < 0.66 {
		t.Errorf("%s at %.2f", whose, m)
	}
}

// One short day under a fifth of the late-seeing policy's share is seen in a set that is well above its third, but not a crowd's.
func TestShortDay(t *testing.T) {
	days := []Day{{Name: "calm", Served: 0.9, Late: 0.9}, {Name: "split", Served: 0.9, Late: 0.9}, {Name: "throng", Served: 0.15, Late: 0.9}}
	if m, whose := (&Run{Days: days}).Short(); whose != "day throng" || m > 0.84 || m < 0.83 {
		t.Errorf("%s at %.2f", whose, m)
	}
	days[2].Name = "herd+crowd"
	if m, whose := (&Run{Days: days}).Short(); whose != "days" || m < 2 {
		t.Errorf("a crowd: %s at %.2f", whose, m)
	}
}
