package config

import (
	"fmt"
	"net/netip"
	"time"

	"ravensill/gateway"
)

const countWait = 50 * time.Millisecond // before a call of the counter is given up, where the settings don't say

// Adjustment is a setting that was given a meaning other than its letter: operators vary settings on running
// deployments, and a gateway that does not start over two of them that contradict each other serves nobody.
type Adjustment struct {
	Key, Meaning string // Key by its path under settings; Meaning is a line for the operators
}

func adjustment(key, meaning string, args ...any) Adjustment {
	return Adjustment{key, fmt.Sprintf(meaning, args...)}
}

func (s *Settings) adjust(key, meaning string, args ...any) {
	s.Adjusted = append(s.Adjusted, adjustment(key, meaning, args...))
}

// shape gives settings that contradict each other the meaning that can do no harm: nothing runs twice that must not,
// no quota or ceiling that is told is passed over, and what is told but can't be had is done without. What an earlier
// configuration does not say contradicts nothing and is not noted. ofPlans is what the plans, each by itself, led to.
func (s *Settings) shape(raw *settings, ofPlans []Adjustment) {
	switch l := &s.Limits; {
	case !l.SharedCounter && l.CounterTimeout > 0:
		s.adjust("family_info.count_wait_us", "ignored: family_info.shared_counter is not true")
		l.CounterTimeout = 0
	case l.SharedCounter && l.CounterTimeout == 0:
		l.CounterTimeout = countWait
	}
	if s.Even {
		s.adjust("weights", "live figures tell no size: every host counts as of one size")
	}
	if s.Limits.SettlesUnits {
		s.adjust("family_info.settles", "quotas go by the units that a req tells: those that its answer settles are not taken in")
	}
	if s.LoadReport.WithProbes && raw.says("limits.probes", "false") {
		s.adjust("report.how", "as off: limits.probes is false, so that no report comes")
		s.LoadReport, s.ReportNames = gateway.LoadReportForm{}, nil
	}
	if raw.says("report.how", "off") && len(s.ReportNames) > 0 {
		s.adjust("report.names", "ignored: report.how is off")
		s.LoadReport, s.ReportNames = gateway.LoadReportForm{}, nil
	}
	s.Adjusted = append(s.Adjusted, ofPlans...)
	index := 0
	raw.each("profiles", func(item *settings) {
		s.Adjusted = append(s.Adjusted, item.shapeClass(&s.Classes[index], &s.Limits)...)
		index++
	})
	s.repeated("profiles", s.ClassNames)
	s.repeated("plans", s.PlanNames)
}

// repeated notes names that a list holds more than once: commands mean the first by them.
func (s *Settings) repeated(list string, names []string) {
	firsts := make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			continue
		}
		first, known := firsts[name]
		if !known {
			firsts[name] = i
			continue
		}
		s.adjust(elementPath(list, i)+".name", "%q is told twice: reqs of that name are of %s", name, elementPath(list, first))
	}
}

// counter does without a shared counter unless both it and its address are told.
func (c *Config) counter() {
	switch shared, addr := c.Limits.SharedCounter, c.Counter.IsValid(); {
	case shared && !addr:
		c.adjust("family_info.shared_counter", "as false: counter (its address) is missing")
		c.Limits.SharedCounter = false
	case !shared && addr:
		c.adjust("counter", "ignored: family_info.shared_counter is not true")
		c.Counter = netip.AddrPort{}
	}
}
