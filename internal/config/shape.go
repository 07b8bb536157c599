package config

import (
	"errors"
	"fmt"
	"time"

	"github.com/tidwall/gjson"
)

const countWait = 50 * time.Millisecond // before a call of the counter is given up, where the settings don't say

// shape looks for settings that contradict each other: which shape of deployment is in force follows from them alone,
// so that a mixture must not start. What an earlier configuration does not say contradicts nothing.
func (s *Settings) shape(raw gjson.Result, counter bool) error {
	says := func(path, word string) bool { return raw.Get(path).Exists() && raw.Get(path).String() == word }
	switch shared := s.Limits.Counter; {
	case shared && !counter:
		return errors.New("family_info.shared_counter: true, but counter (its address) is missing")
	case !shared && counter:
		return errors.New("family_info.shared_counter: not true, but counter gives an address")
	case !shared && s.Limits.CounterWait > 0:
		return errors.New("family_info.count_wait_us: given, but family_info.shared_counter is not true")
	case shared && s.Limits.CounterWait == 0:
		s.Limits.CounterWait = int64(countWait)
	}
	w := &settings{obj: raw}
	if live := w.word("weights", "off", "nominal", "rough", "live") == 3; w.err != nil {
		return w.err
	} else if live {
		return errors.New("weights: live figures tell no size, which hosts are chosen by; nominal, rough or off wanted")
	}
	if s.Limits.Settles {
		return errors.New("family_info.settles: true, but units settled by the answer are not taken in")
	}
	if s.Report.Probes && says("limits.probes", "false") {
		return errors.New("report.how: on_probe, but limits.probes is false")
	}
	if says("report.how", "off") && len(s.ReportNames) > 0 {
		return errors.New("report.names: given, but report.how is off")
	}
	for i, p := range s.Plans {
		if p.Rate == 0 && p.Burst > 0 {
			return fmt.Errorf("plans.%d.burst: %g units at once, but no rate that fills them", i, p.Burst)
		}
		if p.CeilingRate == 0 && p.CeilingBurst > 0 {
			return fmt.Errorf("plans.%d.cap_depth: given, but no ceiling_rate", i)
		}
		if says(fmt.Sprintf("plans.%d.rate", i), "0") && p.Open == 0 && p.CeilingRate == 0 {
			return fmt.Errorf("plans.%d.rate: 0, but neither parallel nor ceiling_rate bounds the plan", i)
		}
	}
	for i, f := range s.Fronts {
		at := fmt.Sprintf("profiles.%d.", i)
		switch {
		case s.Limits.Two && says(at+"effect", "unsafe"):
			return fmt.Errorf("limits.parallel_tries: true, but %seffect is unsafe", at)
		case says(at+"effect", "keyed") && says(at+"window_us", "0"):
			return fmt.Errorf("%swindow_us: 0, but %seffect is keyed", at, at)
		case f.Late > 1:
			return fmt.Errorf("%slate_worth: %g is above 1", at, f.Late)
		case f.Target > f.Timeout:
			return fmt.Errorf("%starget_us: above hard_limit_us", at)
		case s.Limits.Counter && 2*s.Limits.CounterWait >= f.Timeout:
			return fmt.Errorf("family_info.count_wait_us: half of %shard_limit_us or more", at)
		}
	}
	return nil
}
