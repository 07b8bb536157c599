// Package acceptance reads the journal of the operators' acceptance test and computes how near each day came to its
// gates. The margin of a day is what was served divided by what the gate wants, the least of the day, its classes and
// its plans. The cost of sends beyond quotas is compared with that of the policy that sees all with a delay (the
// reference policy), as are the short days over a complete set. Figures for thirds of days are in no journal.
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
	ID      string
	Reason  string `json:"why"`
	Site    string
	Panel   string // the days' names and the seed: real:SITE:SEED:DAY,DAY...
	Digest  string // as printed; of a single day its complete report
	Figures struct {
		Gate  float64
		Score float64 `json:"real_score"`
	}
	Days []Day
}

// Day is one day of a run. Shares are fractions of the value requested, before costs.
type Day struct {
	Name          string
	Gain          float64 `json:"g"`
	Score         float64
	Fault         *string
	Served        float64
	Reference     float64        `json:"served_late"`  // served by the reference policy
	Wanted        float64        `json:"served_least"` // by the gate
	ReferenceOver float64        `json:"over"`         // the reference policy's cost of sends beyond quotas
	Unsafe        bool           `json:"made_unsafe"`  // the settings made its classes non-idempotent
	Classes       []Share        `json:"by_class"`
	Plans         []Share        `json:"by_tenant"`
	Starved       []float64      // value of customers who get under a tenth: ours, the reference policy's
	Rules         map[string]int // violations by name
	MemoryMB      float64        `json:"memory_mb"`
	Caps          []float64      // memory in MB, descriptors
	Troubles      []string
}

// Share is what one class or plan was served, and what the gate wants of it.
type Share struct {
	Name   string
	Served float64
	Wanted float64
}

// UnmarshalJSON reads a share as the journal has it: a list of the name and the two figures.
func (s *Share) UnmarshalJSON(text []byte) error {
	parts := []any{&s.Name, &s.Served, &s.Wanted}
	return json.Unmarshal(text, &parts)
}

// Read reads one file of the journal.
func Read(file string) (Run, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Run{}, err
	}
	var run Run
	if err := json.Unmarshal(text, &run); err != nil {
		return run, fmt.Errorf("%s: %w", file, err)
	}
	return run, nil
}

// fullDays is the least number of days of a complete test.
const fullDays = 7

// Latest returns the latest run of the complete test, with its soak, in a journal's folder.
func Latest(folder string) (Run, error) {
	return latest(folder, `"soak"`, func(run *Run) bool { return len(run.Days) >= fullDays })
}

// latest returns the latest run whose file contains a text and that is wanted.
func latest(folder, text string, wanted func(*Run) bool) (Run, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return Run{}, err
	}
	slices.Sort(files) // their names begin with the time
	for _, file := range slices.Backward(files) {
		content, err := os.ReadFile(file)
		if err != nil || !strings.Contains(string(content), text) {
			continue
		}
		run, err := Read(file)
		if err == nil && wanted(&run) {
			return run, nil
		}
	}
	return Run{}, fmt.Errorf("%s: no run with %s", folder, text)
}

const calmDay = "calm+mass"

// overQuotaCost finds the cost of sends beyond quotas in the digest of a single day.
var overQuotaCost = regexp.MustCompile(`prices:.* over_quota ([0-9.]+)`)

// LatestCalm returns the latest calm day that was run by itself, and our cost of sends beyond quotas on it.
func LatestCalm(folder string) (run Run, cost float64, err error) {
	run, err = latest(folder, `"`+calmDay+`"`, func(run *Run) bool {
		alone := len(run.Days) == 1 && run.Days[0].Name == calmDay
		return alone && run.Days[0].Fault == nil && overQuotaCost.MatchString(run.Digest)
	})
	if err != nil {
		return run, 0, err
	}
	cost, err = strconv.ParseFloat(overQuotaCost.FindStringSubmatch(run.Digest)[1], 64)
	return run, cost, err
}

// shortDays is the least number of days of a complete set of short days.
const shortDays = 12

// LatestShort returns the latest complete set of short days on a site.
func LatestShort(folder, site string) (Run, error) {
	return latest(folder, `+brink+mass-12"`, func(run *Run) bool {
		return run.Site == site && len(run.Days) >= shortDays
	})
}

// Seed returns the seed that a run's days were drawn with.
func (r *Run) Seed() string { return strings.Split(r.Panel+"::", ":")[2] }

// What short days have to serve, as fractions of what the reference policy serves.
const (
	setFraction   = 1.0 / 3 // over the set: in all, by class, and by class on the days that made classes non-idempotent
	dayFraction   = 1.0 / 5 // on each day except crowds
	classFraction = 1.0 / 2 // the gate of a class on one day
)

// pair is what was served by us and by the reference policy.
type pair struct {
	ours      float64
	reference float64
}

// ShortMargin returns the least margin of a complete set of short days, and whose that is. 1 is at the gate.
func (r *Run) ShortMargin() (least float64, whose string) {
	least = math.Inf(1)
	for i := range r.Days {
		day := &r.Days[i]
		if strings.Contains(day.Name, "crowd") {
			continue
		}
		margin := day.Served / dayFraction / day.Reference
		if margin < least {
			least = margin
			whose = "day " + day.Name
		}
	}
	for name, served := range r.servedOverSet() {
		margin := served.ours / setFraction / served.reference
		if margin < least || margin == least && name < whose {
			least = margin
			whose = name
		}
	}
	return least, whose
}

// servedOverSet returns what was served over all days, in all and by class.
func (r *Run) servedOverSet() map[string]pair {
	served := map[string]pair{}
	add := func(name string, ours, reference float64) {
		sum := served[name]
		served[name] = pair{sum.ours + ours, sum.reference + reference}
	}
	for i := range r.Days {
		day := &r.Days[i]
		add("days", day.Served, day.Reference)
		for _, class := range day.Classes {
			if class.Wanted <= 0 {
				continue
			}
			reference := class.Wanted / classFraction
			add("class "+class.Name, class.Served, reference)
			if day.Unsafe {
				add("unsafe days, class "+class.Name, class.Served, reference)
			}
		}
	}
	return served
}

// Margin returns the least margin of a day, and whose that is. 1 is at the gate.
func (d *Day) Margin() (least float64, whose string) {
	least = d.Served / d.Wanted
	whose = "day"
	for kind, shares := range map[string][]Share{"class": d.Classes, "plan": d.Plans} {
		for _, share := range shares {
			margin := share.Served / share.Wanted
			if share.Wanted > 0 && margin < least {
				least = margin
				whose = kind + " " + share.Name
			}
		}
	}
	return least, whose
}

// maxStarvedExcess is how much more of the value may starve than under the reference policy.
const maxStarvedExcess = 0.15

// Failure returns what fails the test on a day; "" if nothing does.
func (d *Day) Failure() string {
	if d.Fault != nil {
		return *d.Fault
	}
	for rule, count := range d.Rules {
		if count > 0 {
			return fmt.Sprintf("rule %s violated %d times", rule, count)
		}
	}
	if margin, whose := d.Margin(); margin < 1 {
		return fmt.Sprintf("%s at %.2f of its gate", whose, margin)
	}
	if len(d.Starved) == 2 && d.Starved[0] > d.Starved[1]+maxStarvedExcess {
		return fmt.Sprintf("starved %.2f, %.2f under the reference policy", d.Starved[0], d.Starved[1])
	}
	return ""
}

// Table returns a table with a row for each day.
func (r *Run) Table() string {
	var table strings.Builder
	table.WriteString("| day | G | score | served over its gate | nearest to its gate | over quotas, late-seeing | " +
		"rules | memory |\n| --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for i := range r.Days {
		day := &r.Days[i]
		margin, whose := day.Margin()
		rules := "kept"
		if failure := day.Failure(); failure != "" {
			rules = failure
		}
		fmt.Fprintf(&table, "| %s | %.3f | %.2f | %.2f | %s, %.2f | %.3f | %s | %.0f of %.0f MB |\n",
			day.Name, day.Gain, day.Score, day.Served/day.Wanted, whose, margin, day.ReferenceOver, rules,
			day.MemoryMB, day.Caps[0])
	}
	return table.String()
}
