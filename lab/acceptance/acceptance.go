// Package acceptance reads the journal of the operators' acceptance runs, and computes how near each day came to its
// gates: what was served over what the gate requires, for the day, its request classes and its plans; the cost of
// requests forwarded over quota beside that of the reference policy, which sees the fleet with a delay; and the short
// days over a whole set. Gates of thirds of days are in no journal. The package changes nothing.
package acceptance

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
)

// Run is one scored run in the journal.
type Run struct {
	ID           string `json:"id"`
	Reason       string `json:"why"`
	Site         string `json:"site"`
	DaySelection string `json:"panel"`  // the days' names and the seed: real:SITE:SEED:DAY,DAY...
	Digest       string `json:"digest"` // as printed; for a single day its whole report
	Figures      struct {
		Gate  float64 `json:"gate"` // 1: passed
		Score float64 `json:"real_score"`
	} `json:"figures"`
	Days []Day `json:"days"`
}

// Day is one day of a run. Shares are fractions of the value requested, before costs.
type Day struct {
	Name            string  `json:"name"`
	Grade           float64 `json:"G"`
	Score           float64 `json:"score"`
	Fault           *string `json:"fault"`
	Served          float64 `json:"served"`
	ServedReference float64 `json:"served_late"`  // by the reference policy
	ServedRequired  float64 `json:"served_least"` // by the gate
	// OverQuotaReference is the reference policy's cost of requests over quota; ours is in a single day's digest only.
	OverQuotaReference float64 `json:"over"`
	// MadeNonIdempotent reports whether the settings made the day's classes not idempotent.
	MadeNonIdempotent bool    `json:"made_unsafe"`
	Classes           []Share `json:"by_class"`
	Plans             []Share `json:"by_tenant"`
	// Starved is the share of customers who get under a tenth, and the same under the reference policy.
	Starved []float64 `json:"starved"`
	// BrokenRules holds the number of breaches of each rule.
	BrokenRules map[string]int `json:"rules"`
	MemoryMB    float64        `json:"memory_mb"`
	// Limits are the limits of memory in MB and of descriptors.
	Limits []float64 `json:"caps"`
}

// Share is what one class or plan was served, and what the gate requires of it.
type Share struct {
	Name     string
	Served   float64
	Required float64
}

// UnmarshalJSON decodes a share from an array of name, served and required.
func (s *Share) UnmarshalJSON(text []byte) error {
	parts := []any{&s.Name, &s.Served, &s.Required}
	return json.Unmarshal(text, &parts)
}

// readRun reads one file of the journal.
func readRun(file string) (Run, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Run{}, err
	}
	var run Run
	if err := json.Unmarshal(text, &run); err != nil {
		return Run{}, fmt.Errorf("decode %s: %w", file, err)
	}
	return run, nil
}

// Seed returns the seed that a run's days were drawn with.
func (r *Run) Seed() string {
	parts := strings.Split(r.DaySelection, ":")
	if len(parts) < 3 {
		return ""
	}
	return parts[2]
}

// Table returns a Markdown table with a row for each day.
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
