package standing

import "testing"

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
