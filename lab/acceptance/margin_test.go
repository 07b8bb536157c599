package acceptance

import "testing"

func TestFailureReportsEachCause(t *testing.T) {
	fault := "a crash"
	for name, day := range map[string]Day{
		"fault":        {Served: 1, ServedRequired: 0.5, Fault: &fault},
		"broken rule":  {Served: 1, ServedRequired: 0.5, BrokenRules: map[string]int{"lost": 1}},
		"day's gate":   {Served: 0.4, ServedRequired: 0.5},
		"class's gate": {Served: 1, ServedRequired: 0.5, Classes: []Share{{"lookup", 0.3, 0.4}}},
		"starved":      {Served: 1, ServedRequired: 0.5, Starved: []float64{0.3, 0.1}},
	} {
		t.Run(name, func(t *testing.T) {
			if day.Failure() == "" {
				t.Errorf("%+v passes", day)
			}
		})
	}
}

func TestShortDaysMarginFindsClassOfUnsafeDays(t *testing.T) {
	run := Run{Days: []Day{
		{
			Served:          0.9,
			ServedReference: 0.9,
			Classes:         []Share{{"tap", 0.9, 0.45}},
		},
		{
			Served:            0.2,
			ServedReference:   0.9,
			MadeNonIdempotent: true,
			Classes:           []Share{{"tap", 0.2, 0.45}},
		},
	}}
	margin := run.ShortDaysMargin()
	if margin.Subject != "unsafe days, class tap" || margin.Ratio > 0.67 || margin.Ratio < 0.66 {
		t.Errorf("%s at %.2f", margin.Subject, margin.Ratio)
	}
}

// A single day counts in a set that as a whole is well above its gate.
func TestShortDaysMarginFindsSingleDay(t *testing.T) {
	margin := shortDaysWithLowDay("throng").ShortDaysMargin()
	if margin.Subject != "day throng" || margin.Ratio > 0.84 || margin.Ratio < 0.83 {
		t.Errorf("%s at %.2f", margin.Subject, margin.Ratio)
	}
}

func TestShortDaysMarginIgnoresSingleCrowd(t *testing.T) {
	margin := shortDaysWithLowDay("herd+crowd").ShortDaysMargin()
	if margin.Subject != "days" || margin.Ratio < 2 {
		t.Errorf("%s at %.2f", margin.Subject, margin.Ratio)
	}
}

// shortDaysWithLowDay returns two good days and one that serves a sixth of the reference policy's share.
func shortDaysWithLowDay(name string) *Run {
	return &Run{Days: []Day{
		{Name: "calm", Served: 0.9, ServedReference: 0.9},
		{Name: "split", Served: 0.9, ServedReference: 0.9},
		{Name: name, Served: 0.15, ServedReference: 0.9},
	}}
}
