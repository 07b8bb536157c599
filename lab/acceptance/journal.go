package acceptance

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

const (
	fullRunDays = 7  // least number of days in a full run: six days and the soak
	shortDays   = 12 // least number of days in a whole set; sets have fifteen days, those up to 2026-12-02 twelve
	calmDay     = "calm+mass"
)

// overQuotaCost matches the fleet's cost of requests over quota in the digest of a single day.
var overQuotaCost = regexp.MustCompile(`prices:.* over_quota ([0-9.]+)`)

// LatestFullRun returns the newest run of all days, including the soak, in a journal directory.
func LatestFullRun(directory string) (Run, error) {
	return latestRun(directory, `"soak"`, func(r *Run) bool { return len(r.Days) >= fullRunDays })
}

// LatestCalmDay returns the newest run of only the calm day without a fault, and the fleet's cost of requests over
// quota in it.
func LatestCalmDay(directory string) (Run, float64, error) {
	run, err := latestRun(directory, `"`+calmDay+`"`, func(r *Run) bool {
		if len(r.Days) != 1 || !overQuotaCost.MatchString(r.Digest) {
			return false
		}
		day := &r.Days[0]
		return day.Name == calmDay && day.Fault == nil
	})
	if err != nil {
		return Run{}, 0, err
	}
	cost, err := strconv.ParseFloat(overQuotaCost.FindStringSubmatch(run.Digest)[1], 64)
	if err != nil {
		return Run{}, 0, fmt.Errorf("parsing the cost over quota of run %s: %w", run.ID, err)
	}
	return run, cost, nil
}

// LatestShortDays returns the newest run of a whole set of short days on a site.
func LatestShortDays(directory, site string) (Run, error) {
	return latestRun(directory, `+brink+mass-12"`, func(r *Run) bool {
		return r.Site == site && len(r.Days) >= shortDays
	})
}

// latestRun returns the newest run for which matches returns true and whose file contains a text. It skips files that
// cannot be read or decoded, and fails if no run remains.
func latestRun(directory, text string, matches func(*Run) bool) (Run, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return Run{}, err
	}
	slices.Sort(files) // oldest first, because the names begin with the time
	for _, file := range slices.Backward(files) {
		content, err := os.ReadFile(file)
		if err != nil || !strings.Contains(string(content), text) {
			continue
		}
		run, err := readRun(file)
		if err == nil && matches(&run) {
			return run, nil
		}
	}
	return Run{}, fmt.Errorf("journal %s: no matching run that contains %s", directory, text)
}
