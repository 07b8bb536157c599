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
	fullRunDays = 7  // six days and the soak
	shortDays   = 12 // the least of a whole set: fifteen days, twelve up to 2026-12-02
	calmDay     = "calm+mass"
)

// overQuotaCost matches our cost of requests over quota in a single day's digest.
var overQuotaCost = regexp.MustCompile(`prices:.* over_quota ([0-9.]+)`)

// LatestFullRun returns the newest run of all days, soak included, in a journal's directory.
func LatestFullRun(directory string) (Run, error) {
	return latest(directory, `"soak"`, func(r *Run) bool { return len(r.Days) >= fullRunDays })
}

// LatestCalmDay returns the newest run of the calm day alone, and our cost of requests over quota on it.
func LatestCalmDay(directory string) (Run, float64, error) {
	run, err := latest(directory, `"`+calmDay+`"`, func(r *Run) bool {
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
		return Run{}, 0, fmt.Errorf("cost over quota of run %s: %w", run.ID, err)
	}
	return run, cost, nil
}

// LatestShortDays returns the newest whole set of short days on a site.
func LatestShortDays(directory, site string) (Run, error) {
	return latest(directory, `+brink+mass-12"`, func(r *Run) bool {
		return r.Site == site && len(r.Days) >= shortDays
	})
}

// latest returns the newest run whose file contains a text and that is wanted. It skips files that it cannot decode.
func latest(directory, text string, wanted func(*Run) bool) (Run, error) {
	files, err := filepath.Glob(filepath.Join(directory, "*.json"))
	if err != nil {
		return Run{}, err
	}
	slices.Sort(files) // their names begin with the time
	for _, file := range slices.Backward(files) {
		content, err := os.ReadFile(file)
		if err != nil || !strings.Contains(string(content), text) {
			continue
		}
		run, err := readRun(file)
		if err == nil && wanted(&run) {
			return run, nil
		}
	}
	return Run{}, fmt.Errorf("%s: no run with %s", directory, text)
}
