// Package standing reads the journal of the mass standing test and tells how near each day came to its gates: what
// was served over what the gate wants, for the day, its classes and its plans. It decides nothing.
package standing

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
)

// Run is one score in the journal.
type Run struct {
	ID      string
	Why     string
	Figures struct {
		Gate  float64
		Score float64 `json:"real_score"`
	}
	Days []Day
}

// Day is one day of a run. Shares are parts of the worth asked, before prices.
type Day struct {
	Name     string
	G, Score float64
	Fault    *string
	Served   float64
	Least    float64        `json:"served_least"` // what the gate wants
	Classes  []Share        `json:"by_class"`
	Plans    []Share        `json:"by_tenant"`
	Starved  []float64      // worth of customers who get under a tenth, beside the late-seeing policy's
	Rules    map[string]int // broken, by name
	Memory   float64        `json:"memory_mb"`
	Caps     []float64      // memory in MB, descriptors
	Troubles []string
}

// Share is what one class or plan was served, and what the gate wants of it.
type Share struct {
	Name         string
	Served, Want float64
}

func (s *Share) UnmarshalJSON(text []byte) error {
	parts := []any{&s.Name, &s.Served, &s.Want}
	return json.Unmarshal(text, &parts)
}

// Read reads one file of the journal.
func Read(file string) (r Run, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return r, err
	}
	if err = json.Unmarshal(text, &r); err != nil {
		err = fmt.Errorf("%s: %w", file, err)
	}
	return r, err
}

// Last gives the newest run of the whole standing test, soak included, in a journal's folder.
func Last(folder string) (r Run, err error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return r, err
	}
	slices.Sort(files) // their names begin with the time
	for _, file := range slices.Backward(files) {
		if text, err := os.ReadFile(file); err != nil || !strings.Contains(string(text), `"soak"`) {
			continue
		}
		if r, err = Read(file); err == nil && len(r.Days) >= 7 {
			return r, nil
		}
	}
	return Run{}, fmt.Errorf("%s: no run of the whole standing test", folder)
}

// Margin is the least share served over the gate that wants it, and whose that is. 1 is at the gate.
func (d *Day) Margin() (least float64, whose string) {
	least, whose = d.Served/d.Least, "day"
	for kind, all := range map[string][]Share{"class": d.Classes, "plan": d.Plans} {
		for _, s := range all {
			if m := s.Served / s.Want; s.Want > 0 && m < least {
				least, whose = m, kind+" "+s.Name
			}
		}
	}
	return least, whose
}

// Broken names what fails the test on a day, "" if nothing does.
func (d *Day) Broken() string {
	if d.Fault != nil {
		return *d.Fault
	}
	for rule, n := range d.Rules {
		if n > 0 {
			return fmt.Sprintf("rule %s broken %d times", rule, n)
		}
	}
	if m, whose := d.Margin(); m < 1 {
		return fmt.Sprintf("%s at %.2f of its gate", whose, m)
	}
	if len(d.Starved) == 2 && d.Starved[0] > d.Starved[1]+0.15 {
		return fmt.Sprintf("starved %.2f, %.2f under the late-seeing policy", d.Starved[0], d.Starved[1])
	}
	return ""
}

// Table gives a line a day, as for a page.
func (r *Run) Table() string {
	var b strings.Builder
	b.WriteString("| day | G | score | served over its gate | nearest to its gate | rules | memory |\n| --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range r.Days {
		d := &r.Days[i]
		m, whose := d.Margin()
		rules := "kept"
		if b := d.Broken(); b != "" {
			rules = b
		}
		fmt.Fprintf(&b, "| %s | %.3f | %.2f | %.2f | %s, %.2f | %s | %.0f of %.0f MB |\n", d.Name, d.G, d.Score, d.Served/d.Least, whose, m,
			rules, d.Memory, d.Caps[0])
	}
	return b.String()
}
