package config

import (
	"fmt"
	"net/netip"
	"time"

	"ravensill/gateway"
)

// defaultCounterTimeout bounds a call of the shared counter where the settings don't.
const defaultCounterTimeout = 50 * time.Millisecond

// Adjustment records that a setting is in force with another meaning than it was written with: operators change
// settings of running deployments, and a gateway that fails to start over two that contradict each other serves nobody.
type Adjustment struct {
	Key     string // by its path under settings
	Meaning string // a line for the operators
}

func adjustment(key, meaning string, args ...any) Adjustment {
	return Adjustment{key, fmt.Sprintf(meaning, args...)}
}

func (s *Settings) adjust(key, meaning string, args ...any) {
	s.Adjusted = append(s.Adjusted, adjustment(key, meaning, args...))
}

// resolve adjusts settings that contradict each other: nothing that is not idempotent runs twice, each quota and
// ceiling that is set holds, and what can't be provided is turned off. A key that is absent contradicts nothing and is
// not reported. ofPlans are the adjustments of the quota plans, each by itself.
func (s *Settings) resolve(reader *objectReader, ofPlans []Adjustment) {
	s.resolveCounterTimeout()
	if s.EqualWeights {
		s.adjust("weights", "live figures tell no size: every host counts as of one size")
	}
	if s.Limits.SettlesUnits {
		s.adjust("family_info.settles",
			"quotas count the units that a request states: those that its answer settles are ignored")
	}
	s.resolveLoadReport(reader)
	s.Adjusted = append(s.Adjusted, ofPlans...)
	index := 0
	reader.each("profiles", func(item *objectReader) {
		s.Adjusted = append(s.Adjusted, item.resolveClass(&s.Classes[index], &s.Limits)...)
		index++
	})
	s.reportRepeated("profiles", s.ClassNames)
	s.reportRepeated("plans", s.PlanNames)
}

func (s *Settings) resolveCounterTimeout() {
	limits := &s.Limits
	switch {
	case !limits.SharedCounter && limits.CounterTimeout > 0:
		s.adjust("family_info.count_wait_us", "ignored: family_info.shared_counter is not true")
		limits.CounterTimeout = 0
	case limits.SharedCounter && limits.CounterTimeout == 0:
		limits.CounterTimeout = defaultCounterTimeout
	}
}

func (s *Settings) resolveLoadReport(reader *objectReader) {
	if s.LoadReport.WithProbes && reader.contains("limits.probes", "false") {
		s.adjust("report.how", "as off: limits.probes is false, so that no report comes")
		s.LoadReport = gateway.LoadReportFormat{}
		s.ReportNames = nil
	}
	if reader.contains("report.how", "off") && len(s.ReportNames) > 0 {
		s.adjust("report.names", "ignored: report.how is off")
		s.LoadReport = gateway.LoadReportFormat{}
		s.ReportNames = nil
	}
}

// reportRepeated reports names that a list contains more than once: in commands they mean the first.
func (s *Settings) reportRepeated(list string, names []string) {
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
		meaning := "%q is defined twice: requests of that name are of %s"
		s.adjust(elementPath(list, i)+".name", meaning, name, elementPath(list, first))
	}
}

// resolveCounter turns the shared counter off unless both it and its address are configured.
func (c *Config) resolveCounter() {
	shared := c.Limits.SharedCounter
	hasAddress := c.CounterAddress.IsValid()
	switch {
	case shared && !hasAddress:
		c.adjust("family_info.shared_counter", "as false: counter (its address) is missing")
		c.Limits.SharedCounter = false
	case !shared && hasAddress:
		c.adjust("counter", "ignored: family_info.shared_counter is not true")
		c.CounterAddress = netip.AddrPort{}
	}
}
