package hollow

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
)

// Report holds everything that was measured, by one run or by several runs of single parts.
type Report struct {
	Go                  string                   `json:"go"`
	Cores               int                      `json:"cores"`
	Runs                map[string]RunConditions `json:"runs"` // by part
	Metrics             []Metric                 `json:"metrics"`
	ByFollowers         ScalingSeries            `json:"by_followers"`
	LargeConfigurations []*Point                 `json:"large_contents"`
	Restarts            []*RestartResult         `json:"restarts"`
	Comparison          *Comparison              `json:"real_and_hollow"`
	LogEvents           map[string]int           `json:"log_events"` // number of followers' log lines by event and cause
}

// RunConditions records the command that measured a part of the report, and the machine's load before and after it.
type RunConditions struct {
	Command    string `json:"command"`
	LoadBefore string `json:"load_average_before"` // of the whole machine, including unrelated work
	LoadAfter  string `json:"load_average_after"`
}

// reportBaseName is the name of the report's files without their extension.
const reportBaseName = "rollout-scale"

// NewReport returns the report read from a directory, or an empty one if the directory holds none.
func NewReport(dir string) (*Report, error) {
	report := &Report{Runs: map[string]RunConditions{}}
	text, err := os.ReadFile(filepath.Join(dir, reportBaseName+".json"))
	if err == nil {
		err = json.Unmarshal(text, report)
	}
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return nil, err
	}
	report.Go = runtime.Version()
	report.Cores = runtime.NumCPU()
	report.Metrics = Metrics()
	return report, nil
}

// BeginPart records the command by which a part is measured and the load average before.
func (r *Report) BeginPart(part, command string) {
	r.Runs[part] = RunConditions{Command: command, LoadBefore: loadAverage()}
}

// EndPart records the load average after a part and the log events so far.
func (r *Report) EndPart(part string, lines *EventCounter) {
	run := r.Runs[part]
	run.LoadAfter = loadAverage()
	r.Runs[part] = run
	r.LogEvents = lines.Events()
}

// loadAverage returns the machine's load averages over 1, 5 and 15 minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	const averages = 3
	fields := strings.Fields(string(text))
	return strings.Join(fields[:min(averages, len(fields))], " ")
}

// Write writes the report into a directory, as JSON and as Markdown.
func (r *Report) Write(dir string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	err = os.WriteFile(filepath.Join(dir, reportBaseName+".json"), append(text, '\n'), 0o644)
	if err != nil {
		return err
	}
	var markdown strings.Builder
	r.WriteText(&markdown)
	return os.WriteFile(filepath.Join(dir, reportBaseName+".md"), []byte(markdown.String()), 0o644)
}

// WriteText writes the report as Markdown tables.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "# Figures of the configuration's distribution by hollow followers\n\n%s, %d cores, a machine shared "+
		"with other runs. Three publishers. `docs/rollout-scale.md` describes the method and what is left out. Figures of "+
		"followers are means of one; times until in force are wall time under the load average shown.\n\n"+
		"| part | load average before | after | command |\n| --- | --- | --- | --- |\n", r.Go, r.Cores)
	for _, part := range slices.Sorted(maps.Keys(r.Runs)) {
		run := r.Runs[part]
		fmt.Fprintf(w, "| %s | %s | %s | `%s` |\n", part, run.LoadBefore, run.LoadAfter, run.Command)
	}
	if len(r.ByFollowers.Points) > 0 {
		r.writeByFollowers(w)
	}
	if len(r.LargeConfigurations) > 0 {
		r.writeLargeConfigurations(w)
	}
	if len(r.Restarts) > 0 {
		r.writeRestarts(w)
	}
	if r.Comparison != nil {
		r.Comparison.writeText(w)
	}
	fmt.Fprintf(w, "\nLog lines of the last run's followers by event: %v.\n", r.LogEvents)
	for _, violation := range r.Violations() {
		fmt.Fprintf(w, "\nDoes not hold: %s.\n", violation)
	}
}

// Violations returns the violations of all parts.
func (r *Report) Violations() (violations []string) {
	if len(r.ByFollowers.Points) > 0 {
		violations = append(violations, r.ByFollowers.Violations()...)
	}
	for _, point := range r.LargeConfigurations {
		violations = append(violations, point.Violations...)
	}
	for _, restart := range r.Restarts {
		violations = append(violations, restart.Violations...)
	}
	return violations
}

// writeByFollowers writes a row for each metric, with a column for each number of followers.
func (r *Report) writeByFollowers(w io.Writer) {
	fmt.Fprintf(w, "\n## By followers\n\nConfiguration: %s.\n\n| figure | what |",
		r.ByFollowers.Points[0].Configuration.summary())
	for _, point := range r.ByFollowers.Points {
		fmt.Fprintf(w, " %d |", point.Followers)
	}
	const lastHeads = " exponent, residual | form, error | budget | of it at most |\n" +
		"| --- | --- |%s --- | --- | --- | --- |\n"
	fmt.Fprintf(w, lastHeads,
		strings.Repeat(" --- |", len(r.ByFollowers.Points)))
	for i := range r.Metrics {
		metric := &r.Metrics[i]
		fmt.Fprintf(w, "| %s | %s |", metric.label(), metric.Description)
		for _, point := range r.ByFollowers.Points {
			fmt.Fprintf(w, " %s |", formatValue(point, metric))
		}
		fmt.Fprintf(w, " %s | %s |\n", r.ByFollowers.formatFit(metric), metric.formatBudget(r.ByFollowers.Points))
	}
}

// formatFit returns the fit of a metric as two table cells.
func (s *ScalingSeries) formatFit(metric *Metric) string {
	fit, fitted := s.Fits[metric.Name]
	if !fitted {
		return "- | -"
	}
	form := string(fit.Form)
	if fit.NoFormFits {
		form = "bends"
	}
	return fmt.Sprintf("%.2f, %.2f | %s, %.2f", fit.Exponent, fit.Residual, form, fit.Error)
}

// label returns the name and the unit.
func (m *Metric) label() string { return strings.TrimSuffix(m.Name+", "+m.Unit, ", ") }

// formatValue returns a point's value of a metric, or "-" if it was not measured.
func formatValue(point *Point, metric *Metric) string {
	value, measured := point.Values[metric.Name]
	if !measured {
		return "-"
	}
	return fmt.Sprintf("%.4g", value)
}

// formatBudget returns the budget and the largest fraction of it that a point uses, as two table cells.
func (m *Metric) formatBudget(points []*Point) string {
	if m.Budget == 0 {
		return "- | -"
	}
	most := 0.0
	for _, point := range points {
		most = max(most, point.Values[m.Name])
	}
	return fmt.Sprintf("%.4g | %.1f%%", m.Budget, 100*most/m.Budget)
}

// summary returns the size in words.
func (c ConfigurationSize) summary() string {
	return fmt.Sprintf("%d quota plans, %d request classes", c.Plans, c.Classes)
}

// writeLargeConfigurations writes a table for each point with a large configuration.
func (r *Report) writeLargeConfigurations(w io.Writer) {
	for _, point := range r.LargeConfigurations {
		fmt.Fprintf(w, "\n## %d followers with a large configuration\n\n%s.\n\n| figure | what | value | budget | of it |\n"+
			"| --- | --- | --- | --- | --- |\n", point.Followers, point.Configuration.summary())
		for i := range r.Metrics {
			metric := &r.Metrics[i]
			if _, measured := point.Values[metric.Name]; !measured {
				continue
			}
			fmt.Fprintf(w, "| %s | %s | %s | %s |\n", metric.label(), metric.Description, formatValue(point, metric),
				metric.formatBudget([]*Point{point}))
		}
	}
}

// writeRestarts writes a row for each restart.
func (r *Report) writeRestarts(w io.Writer) {
	fmt.Fprint(w, "\n## Restarts at once\n\n| what | followers | configuration | versions missed | "+
		"s until in force everywhere | from disk | snapshots | deltas | older versions in force | "+
		"put off | bytes of publishers | processor s, followers | processor s, publishers |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, restart := range r.Restarts {
		fmt.Fprintf(w, "| %s | %d | %s | %d | %.2f | %d | %d | %d | %d | %d | %.4g | %.2f | %.2f |\n",
			restart.Description, restart.Followers, restart.Configuration.summary(), restart.MissedVersions, restart.Seconds,
			restart.FromDisk, restart.Snapshots, restart.Deltas, restart.OlderVersions, restart.DeferredSnapshots,
			restart.PublisherBytesOut, restart.CPUSeconds, restart.PublisherCPUSeconds)
	}
}

// writeText writes the comparison as a table.
func (c *Comparison) writeText(w io.Writer) {
	ratio := c.Ratio()
	fmt.Fprintf(w, "\n## Real and hollow\n\n%d real gateway processes and %d hollow followers of the same publishers, "+
		"%d changes at one pace each; means of a gateway and change, without the heartbeats of that time.\n\n"+
		"| figure | real | hollow | real over hollow |\n| --- | --- | --- | --- |\n", c.Gateways, c.Gateways, c.Changes)
	for _, row := range []struct {
		name                string
		real, hollow, ratio float64
	}{
		{"bytes in", c.Real.BytesIn, c.Simulated.BytesIn, ratio.BytesIn},
		{"bytes out", c.Real.BytesOut, c.Simulated.BytesOut, ratio.BytesOut},
		{"versions put in force", c.Real.Versions, c.Simulated.Versions, ratio.Versions},
		{"processor time beyond rest, ms", c.Real.CPUMilliseconds, c.Simulated.CPUMilliseconds, ratio.CPUMilliseconds},
	} {
		fmt.Fprintf(w, "| %s | %.4g | %.4g | %.3f |\n", row.name, row.real, row.hollow, row.ratio)
	}
}
