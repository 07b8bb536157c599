// Package acceptance reads the journal of the mass standing test and tells how near each day came to its gates: what
// was served over what the gate wants, for the day, its classes and its plans, the price of sends beyond quotas beside the
// late-seeing policy's, and the short days over a whole set. Thirds of days are in no journal. It decides nothing.
package acceptance

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Run is one score in the journal.
type Run struct {
	ID, Why string
	Site    string
	Panel   string // the days' names and the seed: real:SITE:SEED:DAY,DAY...
	Digest  string // as printed; for a single day its whole report
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
	Late     float64        `json:"served_late"`  // by the late-seeing policy
	Least    float64        `json:"served_least"` // what the gate wants
	Over     float64        // the late-seeing policy's price of sends beyond quotas; ours is in a single day's digest alone
	Unsafe   bool           `json:"made_unsafe"` // the settings made its classes unsafe to repeat
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
func Last(folder string) (Run, error) {
	return last(folder, `"soak"`, func(r *Run) bool { return len(r.Days) >= 7 })
}

// last gives the newest run whose file holds a text and that is wanted.
func last(folder, text string, wanted func(*Run) bool) (r Run, err error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return r, err
	}
	slices.Sort(files) // their names begin with the time
	for _, file := range slices.Backward(files) {
		if all, err := os.ReadFile(file); err != nil || !strings.Contains(string(all), text) {
			continue
		}
		if r, err = Read(file); err == nil && wanted(&r) {
			return r, nil
		}
	}
	return Run{}, fmt.Errorf("%s: no run with %s", folder, text)
}

// LastCalm gives the newest calm day that was played by itself, and our price of sends beyond quotas on it.
func LastCalm(folder string) (r Run, ours float64, err error) {
	r, err = last(folder, `"calm+mass"`, func(r *Run) bool {
		return len(r.Days) == 1 && r.Days[0].Name == "calm+mass" && r.Days[0].Fault == nil && price.MatchString(r.Digest)
	})
	if err == nil {
		ours, err = strconv.ParseFloat(price.FindStringSubmatch(r.Digest)[1], 64)
	}
	return r, ours, err
}

var price = regexp.MustCompile(`prices:.* over_quota ([0-9.]+)`)

// LastShort gives the newest whole set of short days on a site: fifteen days, twelve up to 2026-12-02.
func LastShort(folder, site string) (Run, error) {
	return last(folder, `+brink+mass-12"`, func(r *Run) bool { return r.Site == site && len(r.Days) >= 12 })
}

// Seed is the seed that a run's days were drawn with.
func (r *Run) Seed() string { return strings.Split(r.Panel+"::", ":")[2] }

// Short is the least share of a whole set of short days over a third of the late-seeing policy's: in all, by class, and by class
// on the days that made classes unsafe; and of each day, but for crowds, over a fifth.
func (r *Run) Short() (least float64, whose string) {
	served, late := map[string]float64{}, map[string]float64{}
	for i := range r.Days {
		d := &r.Days[i]
		served["days"], late["days"] = served["days"]+d.Served, late["days"]+d.Late
		for _, c := range d.Classes {
			for key, holds := range map[string]bool{"class " + c.Name: true, "unsafe days, class " + c.Name: d.Unsafe} {
				if holds && c.Want > 0 { // what a day wants is half of the late-seeing policy's
					served[key], late[key] = served[key]+c.Served, late[key]+2*c.Want
				}
			}
		}
	}
	least = math.Inf(1)
	for i := range r.Days {
		d := &r.Days[i]
		if m := d.Served * 5 / d.Late; !strings.Contains(d.Name, "crowd") && m < least {
			least, whose = m, "day "+d.Name
		}
	}
	for key := range served {
		if m := served[key] * 3 / late[key]; m < least || m == least && key < whose {
			least, whose = m, key
		}
	}
	return least, whose
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
	b.WriteString("| day | G | score | served over its gate | nearest to its gate | over quotas, late-seeing | rules | memory |\n" +
		"| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range r.Days {
		d := &r.Days[i]
		m, whose := d.Margin()
		rules := "kept"
		if b := d.Broken(); b != "" {
			rules = b
		}
		fmt.Fprintf(&b, "| %s | %.3f | %.2f | %.2f | %s, %.2f | %.3f | %s | %.0f of %.0f MB |\n", d.Name, d.G, d.Score, d.Served/d.Least,
			whose, m, d.Over, rules, d.Memory, d.Caps[0])
	}
	return b.String()
}
