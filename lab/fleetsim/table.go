package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// demandBands groups the customers of a plan by the ratio of demand to quota, with the spiky ones in a group of their
// own. Each group is a row of Report.Table.
var demandBands = []struct {
	name     string
	contains func(c CustomerReport) bool
}{
	{"under 0.6", func(c CustomerReport) bool { return c.demandWithin(0, 0.6) }},
	{"0.6 to 1", func(c CustomerReport) bool { return c.demandWithin(0.6, 1) }},
	{"1 to 2.5", func(c CustomerReport) bool { return c.demandWithin(1, 2.5) }},
	{"2.5 up", func(c CustomerReport) bool { return c.demandWithin(2.5, math.Inf(1)) }},
	{"spiky", func(c CustomerReport) bool { return c.Spiky }},
}

// demandWithin reports whether the customer is not spiky and the ratio of its demand to its quota is at least least and
// below below.
func (c CustomerReport) demandWithin(least, below float64) bool {
	return !c.Spiky && c.DemandOverQuota >= least && c.DemandOverQuota < below
}

// Table returns a table with what was forwarded beyond the quotas and rejected within them, by plan and by the ratio of
// demand to quota.
func (r Report) Table() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-9s %-9s %5s %6s %6s %6s | %6s %6s %9s %8s\n",
		"plan", "demand", "custs", "spread", "new", "ideal", "within", "over", "of over", "rejected")
	for _, plan := range r.planNames() {
		for _, band := range demandBands {
			count := 0
			sum := CustomerReport{}
			for _, c := range r.Customers {
				if c.Plan == plan && band.contains(c) {
					count++
					sum.add(c)
				}
			}
			if count > 0 {
				b.WriteString(r.tableRow(plan, band.name, count, sum))
			}
		}
	}
	fmt.Fprintf(&b, "value %.3f, quota used %.3f, over quota %.3f, rejected within quota %.3f, messages %d, %.0f B\n",
		r.RelativeValue(), r.QuotaUtilization(), r.OverQuotaShare(), r.RejectedWithinQuotaShare(),
		r.Messages, r.MessageSize())
	return b.String()
}

// planNames returns the names of the plans that have customers, in the order of their first ones.
func (r Report) planNames() []string {
	var names []string
	for _, c := range r.Customers {
		if !slices.Contains(names, c.Plan) {
			names = append(names, c.Plan)
		}
	}
	return names
}

// tableRow returns the row for a group of customers, of which sum is the sum of their reports.
func (r Report) tableRow(plan, band string, customers int, sum CustomerReport) string {
	within := sum.Forwarded - sum.OverQuota
	return fmt.Sprintf("%-9s %-9s %5d %6d %6d %6d | %6.3f %6.3f %9.3f %8.3f\n",
		plan,
		band,
		customers,
		sum.Spread/customers,
		sum.NewRequests,
		sum.IdealAdmitted,
		ratio(within, sum.IdealAdmitted),
		ratio(sum.OverQuota, sum.Forwarded),
		float64(sum.OverQuota)/math.Max(r.OverQuota, 1),
		ratio(sum.RejectedWithinQuota, sum.Requests))
}

// add adds the counts and the spread of another customer.
func (c *CustomerReport) add(other CustomerReport) {
	c.Spread += other.Spread
	c.NewRequests += other.NewRequests
	c.IdealAdmitted += other.IdealAdmitted
	c.Requests += other.Requests
	c.Forwarded += other.Forwarded
	c.OverQuota += other.OverQuota
	c.RejectedWithinQuota += other.RejectedWithinQuota
}
