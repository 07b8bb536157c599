// Package acceptance reads the journal of scored acceptance runs and computes how far above its gates each day of a run
// was. A gate is the share of the requested value that must be served on a day, of a request class or on a quota plan;
// a margin is the share served divided by it. The package also compares the cost of requests forwarded over quota with
// that of the reference policy, which sees the fleet with a delay, and computes the margins of a whole set of short
// days. The journal does not hold the gates of thirds of days.
//
// The package only reads files.
package acceptance

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// Run is the journal entry of one scored run.
type Run struct {
	ID           string `json:"id"`
	Reason       string `json:"why"` // why the run was made
	Site         string `json:"site"`
	DaySelection string `json:"panel"`  // the days and their seed, as real:SITE:SEED:DAY,DAY...
	Digest       string `json:"digest"` // printed summary; for a single day the whole report
	Figures      struct {
		Gate  float64 `json:"gate"` // 1: passed
		Score float64 `json:"real_score"`
	} `json:"figures"`
	Days []Day `json:"days"`
}

// Day is the result of one day of a run. Shares are fractions of the value that was requested, before costs are
// subtracted.
type Day struct {
	Name            string  `json:"name"`
	Grade           float64 `json:"G"`
	Score           float64 `json:"score"`
	Fault           *string `json:"fault"`
	Served          float64 `json:"served"`
	ServedReference float64 `json:"served_late"`  // share served by the reference policy
	ServedRequired  float64 `json:"served_least"` // least share that passes the gate
	// OverQuotaReference is the reference policy's cost of requests over quota. That of the fleet is only in the digest of
	// a single day.
	OverQuotaReference float64 `json:"over"`
	// MadeNonIdempotent says whether the day's settings turned request classes into ones that are not idempotent.
	MadeNonIdempotent bool    `json:"made_unsafe"`
	Classes           []Share `json:"by_class"`
	Plans             []Share `json:"by_tenant"`
	// Starved holds two shares of customers who were served less than a tenth of what they requested: in this run and with
	// the reference policy.
	Starved []float64 `json:"starved"`
	// BrokenRules holds the number of violations by rule.
	BrokenRules map[string]int `json:"rules"`
	MemoryMB    float64        `json:"memory_mb"` // used
	// Limits holds the limits on memory, in MB, and on descriptors.
	Limits []float64 `json:"caps"`
}

// Share is the share served of a request class or on a quota plan, and the least share that passes its gate.
type Share struct {
	Name     string
	Served   float64
	Required float64
}

// UnmarshalJSON decodes an array of the name, the served and the required share.
func (s *Share) UnmarshalJSON(text []byte) error {
	parts := []any{&s.Name, &s.Served, &s.Required}
	return json.Unmarshal(text, &parts)
}

// readRun reads and decodes a file of the journal.
func readRun(file string) (Run, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Run{}, err
	}
	var run Run
	if err := json.Unmarshal(text, &run); err != nil {
		return Run{}, fmt.Errorf("decoding journal file %s: %w", file, err)
	}
	return run, nil
}

// Seed returns the seed with which the days of the run were drawn, or "" if DaySelection has none.
func (r *Run) Seed() string {
	parts := strings.Split(r.DaySelection, ":")
	if len(parts) < 3 {
		return ""
	}
	return parts[2]
}

// Table returns a Markdown table with one row for each day.
func (r *Run) Table() string {
	var b strings.Builder
	b.WriteString("| day | G | score | served over its gate | nearest to its gate | " +
		"over quota, reference | rules | memory |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range r.Days {
		d := &r.Days[i]
		margin := d.Margin()
		rules := d.Failure()
		if rules == "" {
			rules = "kept"
		}
		fmt.Fprintf(&b, "| %s | %.3f | %.2f | %.2f | %s, %.2f | %.3f | %s | %.0f of %.0f MB |\n",
			d.Name, d.Grade, d.Score, d.Served/d.ServedRequired, margin.Subject, margin.Ratio, d.OverQuotaReference, rules,
			d.MemoryMB, d.Limits[0])
	}
	return b.String()
}
