package acceptance

import (
	"fmt"
	"math"
	"strings"
)

// Margin is a share served over what its gate requires: 1 is at the gate.
type Margin struct {
	Ratio   float64
	Subject string // the day, class or plan
}

// Margin returns the least margin of a day, its classes and its plans.
func (d *Day) Margin() Margin {
	least := Margin{d.Served / d.ServedRequired, "day"}
	least = leastMargin(least, "class", d.Classes)
	return leastMargin(least, "plan", d.Plans)
}

// leastMargin returns the least of a margin and those of shares.
func leastMargin(least Margin, kind string, shares []Share) Margin {
	for _, s := range shares {
		if s.Required > 0 && s.Served/s.Required < least.Ratio {
			least = Margin{s.Served / s.Required, kind + " " + s.Name}
		}
	}
	return least
}

// Failure returns why a day fails the acceptance run, or "" if it passes.
func (d *Day) Failure() string {
	const starvedAllowance = 0.15 // above the reference policy
	if d.Fault != nil {
		return *d.Fault
	}
	for rule, breaches := range d.BrokenRules {
		if breaches > 0 {
			return fmt.Sprintf("rule %s broken %d times", rule, breaches)
		}
	}
	if margin := d.Margin(); margin.Ratio < 1 {
		return fmt.Sprintf("%s at %.2f of its gate", margin.Subject, margin.Ratio)
	}
	if len(d.Starved) == 2 && d.Starved[0] > d.Starved[1]+starvedAllowance {
		return fmt.Sprintf("starved %.2f, %.2f under the reference policy", d.Starved[0], d.Starved[1])
	}
	return ""
}

// shortDayTotal is the sum over short days of what was served, and of what the reference policy serves.
type shortDayTotal struct{ served, reference float64 }

// ShortDaysMargin returns the least margin of a set of short days: of the whole set, of each class, and of each
// class on the days that made it unsafe, which require a third of the reference policy's share; and of each day
// except crowds, which requires a fifth.
func (r *Run) ShortDaysMargin() Margin {
	least := Margin{Ratio: math.Inf(1)}
	for i := range r.Days {
		d := &r.Days[i]
		margin := d.Served * 5 / d.ServedReference
		if !strings.Contains(d.Name, "crowd") && margin < least.Ratio {
			least = Margin{margin, "day " + d.Name}
		}
	}
	for name, total := range r.shortDayTotals() {
		margin := total.served * 3 / total.reference
		if margin < least.Ratio || margin == least.Ratio && name < least.Subject {
			least = Margin{margin, name}
		}
	}
	return least
}

// shortDayTotals returns the totals that have a gate for the set as a whole, by name.
func (r *Run) shortDayTotals() map[string]*shortDayTotal {
	totals := map[string]*shortDayTotal{}
	add := func(name string, served, reference float64) {
		if totals[name] == nil {
			totals[name] = &shortDayTotal{}
		}
		totals[name].served += served
		totals[name].reference += reference
	}
	for i := range r.Days {
		d := &r.Days[i]
		add("days", d.Served, d.ServedReference)
		for _, class := range d.Classes {
			if class.Required <= 0 {
				continue
			}
			reference := 2 * class.Required // a day requires half of the reference policy's share
			add("class "+class.Name, class.Served, reference)
			if d.MadeNonIdempotent {
				add("unsafe days, class "+class.Name, class.Served, reference)
			}
		}
	}
	return totals
}
