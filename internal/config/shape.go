package config

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/tidwall/gjson"

	"ravensill/gateway"
)

const countWait = 50 * time.Millisecond // before a call of the counter is given up, where the settings don't say

// Adjustment is a setting that was given a meaning other than its letter: operators vary settings on running
// deployments, and a gateway that does not start over two of them that contradict each other serves nobody.
type Adjustment struct {
	Key, Meaning string // Key by its path under settings; Meaning is a line for the operators
}

func (s *Settings) adjust(key, meaning string, args ...any) {
	s.Adjusted = append(s.Adjusted, Adjustment{key, fmt.Sprintf(meaning, args...)})
}

// shape gives settings that contradict each other the meaning that can do no harm: nothing runs twice that must not,
// no quota or ceiling that is told is passed over, and what is told but can't be had is done without. What an earlier
// configuration does not say contradicts nothing and is not noted.
func (s *Settings) shape(raw gjson.Result) {
	says := func(path, word string) bool { return raw.Get(path).Exists() && raw.Get(path).String() == word }
	switch l := &s.Limits; {
	case !l.Counter && l.CounterWait > 0:
		s.adjust("family_info.count_wait_us", "ignored: family_info.shared_counter is not true")
		l.CounterWait = 0
	case l.Counter && l.CounterWait == 0:
		l.CounterWait = int64(countWait)
	}
	if s.Even {
		s.adjust("weights", "live figures tell no size: every host counts as of one size")
	}
	if s.Limits.Settles {
		s.adjust("family_info.settles", "quotas go by the units that a req tells: those that its answer settles are not taken in")
	}
	if s.Report.Probes && says("limits.probes", "false") {
		s.adjust("report.how", "as off: limits.probes is false, so that no report comes")
		s.Report, s.ReportNames = gateway.Report{}, nil
	}
	if says("report.how", "off") && len(s.ReportNames) > 0 {
		s.adjust("report.names", "ignored: report.how is off")
		s.Report, s.ReportNames = gateway.Report{}, nil
	}
	for i := range s.Plans {
		p, at := &s.Plans[i], fmt.Sprintf("plans.%d.", i)
		if p.Rate == 0 && p.Burst > 0 {
			s.adjust(at+"burst", "ignored: without a rate there is no such quota")
			p.Burst = 0
		}
		if p.CeilingRate == 0 && p.CeilingBurst > 0 {
			s.adjust(at+"cap_depth", "ignored: without a ceiling_rate there is no ceiling")
			p.CeilingBurst = 0
		}
		if says(at+"rate", "0") && p.Open == 0 && p.CeilingRate == 0 {
			s.adjust(at+"rate", "0 is no quota, and neither parallel nor ceiling_rate is told: the plan is not bounded")
		}
	}
	for i := range s.Fronts {
		f, at := &s.Fronts[i], fmt.Sprintf("profiles.%d.", i)
		if s.Limits.Two && f.Effect == gateway.NonReplayable {
			s.adjust("limits.parallel_tries", "as false: %seffect is unsafe", at)
			s.Limits.Two = false
		}
		if f.Effect == gateway.Uniqued && f.Window == 0 { // no host drops a repeat
			if raw.Get(at + "window_us").Exists() {
				s.adjust(at+"window_us", "0 is no window: as unsafe, what may have run is never sent again")
			}
			f.Effect = gateway.NonReplayable
		}
		if f.Late > 1 {
			s.adjust(at+"late_worth", "as 1: a late answer earns no more than one in time")
			f.Late = 1
		}
		if f.Target == 0 && f.Timeout > 0 {
			s.adjust(at+"target_us", "as hard_limit_us: none is told")
			f.Target = f.Timeout
		}
		if f.Target > f.Timeout && f.Timeout > 0 {
			s.adjust(at+"target_us", "as hard_limit_us: nobody waits for longer")
			f.Target = f.Timeout
		}
		if s.Limits.Counter && 2*s.Limits.CounterWait >= f.Timeout && f.Timeout > 0 {
			s.adjust("family_info.count_wait_us", "half of %shard_limit_us or more: its reqs are decided without the counter", at)
		}
	}
	for _, names := range []struct {
		key   string
		names []string
	}{{"profiles", s.FrontNames}, {"plans", s.PlanNames}} {
		for i, name := range names.names {
			if first := slices.Index(names.names, name); first < i && name != "" {
				s.adjust(fmt.Sprintf("%s.%d.name", names.key, i), "%q is told twice: reqs of that name are of %s.%d", name, names.key, first)
			}
		}
	}
}

// counter does without a shared counter unless both it and its address are told.
func (c *Config) counter() {
	switch shared, addr := c.Limits.Counter, c.Counter.IsValid(); {
	case shared && !addr:
		c.adjust("family_info.shared_counter", "as false: counter (its address) is missing")
		c.Limits.Counter = false
	case !shared && addr:
		c.adjust("counter", "ignored: family_info.shared_counter is not true")
		c.Counter = netip.AddrPort{}
	}
}
