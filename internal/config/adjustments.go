package config

import (
	"fmt"
	"net/netip"
	"time"

	"ravensill/gateway"
)

// defaultCounterTimeout bounds a call of the shared counter if the settings give no timeout.
const defaultCounterTimeout = 50 * time.Millisecond

// Adjustment reports a setting that takes effect with another meaning than it was written with, because another setting
// contradicts it or the gateway does not support it. Contradictions are resolved instead of rejected: operators change
// the settings of running deployments, and a gateway that refused to start because of two such settings would serve no
// client.
type Adjustment struct {
	// Key is the path of the setting, in the file under the key settings, such as "plans.3.burst". For a resource of a
	// published document it begins with the resource, such as "plans/gold: burst".
	Key     string
	Meaning string // how the setting takes effect and why, for the log
}

func adjustment(key, meaning string, args ...any) Adjustment {
	return Adjustment{key, fmt.Sprintf(meaning, args...)}
}

func (s *Settings) adjust(key, meaning string, args ...any) {
	s.Adjusted = append(s.Adjusted, adjustment(key, meaning, args...))
}

// resolveConflicts adjusts settings that contradict each other, so that three rules hold: no request that is not
// idempotent runs twice, each quota and ceiling that is set is enforced, and a feature that can't be provided is turned
// off. A key that is absent contradicts nothing and, except for target_us, is not reported. planAdjustments are those
// that were made to each quota plan on its own.
func (s *Settings) resolveConflicts(reader *objectReader, planAdjustments []Adjustment) {
	s.resolveCounterTimeout()
	if s.EqualWeights {
		s.adjust("weights", "live figures tell no size: every host counts as of one size")
	}
	if s.Limits.SettlesUnits {
		s.adjust("family_info.settles",
			"quotas count the units that a request states: those that its answer settles are ignored")
	}
	s.resolveLoadReport(reader)
	s.Adjusted = append(s.Adjusted, planAdjustments...)
	index := 0
	reader.eachObject("profiles", func(item *objectReader) {
		s.Adjusted = append(s.Adjusted, item.resolveClass(&s.Classes[index], &s.Limits)...)
		index++
	})
	s.reportDuplicateNames("profiles", s.ClassNames)
	s.reportDuplicateNames("plans", s.PlanNames)
}

// resolveCounterTimeout ignores the timeout of the shared counter if the counter is off, and sets the default if it is
// on.
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

// resolveLoadReport turns load reports off if they would come with probes and probes are off, or if they are off and
// the settings still list their fields.
func (s *Settings) resolveLoadReport(reader *objectReader) {
	if s.LoadReport.WithProbes && reader.valueIs("limits.probes", "false") {
		s.adjust("report.how", "as off: limits.probes is false, so that no report comes")
		s.LoadReport = gateway.LoadReportFormat{}
		s.ReportNames = nil
	}
	if reader.valueIs("report.how", "off") && len(s.ReportNames) > 0 {
		s.adjust("report.names", "ignored: report.how is off")
		s.LoadReport = gateway.LoadReportFormat{}
		s.ReportNames = nil
	}
}

// reportDuplicateNames reports each name that a list contains more than once: in clients' commands it means the first
// element of that name.
func (s *Settings) reportDuplicateNames(list string, names []string) {
	firstByName := make(map[string]int, len(names))
	for i, name := range names {
		if name == "" {
			continue
		}
		first, known := firstByName[name]
		if !known {
			firstByName[name] = i
			continue
		}
		meaning := "%q is defined twice: requests of that name are of %s"
		s.adjust(elementPath(list, i)+".name", meaning, name, elementPath(list, first))
	}
}

// resolveCounter turns the shared counter off unless the settings enable it and the file has its address.
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
