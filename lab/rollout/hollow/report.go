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

// Report is all that was measured, by one run or by runs of single parts.
type Report struct {
	Go                  string                   `json:"go"`
	Cores               int                      `json:"cores"`
	Runs                map[string]RunConditions `json:"runs"` // by part
	Metrics             []Metric                 `json:"metrics"`
	ByFollowers         ScalingSeries            `json:"by_followers"`
	LargeConfigurations []*Point                 `json:"large_contents"`
	Restarts            []*RestartResult         `json:"restarts"`
	Comparison          *Comparison              `json:"real_and_hollow"`
	LogEvents           map[string]int           `json:"log_events"` // of the followers' logs
}

// RunConditions is how a part was measured.
type RunConditions struct {
	Command    string `json:"command"`
	LoadBefore string `json:"load_average_before"` // of the machine, other work included
	LoadAfter  string `json:"load_average_after"`
}

// fileName is the report's, without its ending.
const fileName = "rollout-scale"

// NewReport returns an empty report, or the one in a folder if there is one.
func NewReport(folder string) (*Report, error) {
	report := &Report{Runs: map[string]RunConditions{}}
	text, err := os.ReadFile(filepath.Join(folder, fileName+".json"))
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

// BeginPart records that a part is measured by a command from now on.
func (r *Report) BeginPart(part, command string) {
	r.Runs[part] = RunConditions{Command: command, LoadBefore: loadAverage()}
}

// EndPart records that a part is measured.
func (r *Report) EndPart(part string, lines *EventCounter) {
	run := r.Runs[part]
	run.LoadAfter = loadAverage()
	r.Runs[part] = run
	r.LogEvents = lines.Events()
}

// loadAverage returns the machine's load average over 1, 5 and 15 minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	const averages = 3
	fields := strings.Fields(string(text))
	return strings.Join(fields[:min(averages, len(fields))], " ")
}

// Write writes the report as JSON and as text into a folder.
func (r *Report) Write(folder string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	err = os.WriteFile(filepath.Join(folder, fileName+".json"), append(text, '\n'), 0o644)
	if err != nil {
		return err
	}
	var page strings.Builder
	r.WriteText(&page)
	return os.WriteFile(filepath.Join(folder, fileName+".md"), []byte(page.String()), 0o644)
}

// WriteText writes the report as tables.
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
		r.axisText(w)
	}
	if len(r.LargeConfigurations) > 0 {
		r.largeText(w)
	}
	if len(r.Restarts) > 0 {
		r.restartsText(w)
	}
	if r.Comparison != nil {
		r.Comparison.text(w)
	}
	fmt.Fprintf(w, "\nLog lines of the last run's followers by event: %v.\n", r.LogEvents)
	for _, violation := range r.Violations() {
		fmt.Fprintf(w, "\nDoes not hold: %s.\n", violation)
	}
}

// Violations returns all that does not hold.
func (r *Report) Violations() (violations []string) {
	if len(r.ByFollowers.Points) > 0 {
		violations = append(violations, r.ByFollowers.Violations()...)
	}
	for _, point := range r.LargeConfigurations {
		violations = append(violations, point.Violations...)
	}
	for _, storm := range r.Restarts {
		violations = append(violations, storm.Violations...)
	}
	return violations
}

// axisText writes a row for each figure, with a column for each number of followers.
func (r *Report) axisText(w io.Writer) {
	fmt.Fprintf(w, "\n## By followers\n\nConfiguration: %s.\n\n| figure | what |", r.ByFollowers.Points[0].Configuration.text())
	for _, point := range r.ByFollowers.Points {
		fmt.Fprintf(w, " %d |", point.Followers)
	}
	const lastHeads = " exponent, residual | form, error | budget | of it at most |\n" +
		"| --- | --- |%s --- | --- | --- | --- |\n"
	fmt.Fprintf(w, lastHeads,
		strings.Repeat(" --- |", len(r.ByFollowers.Points)))
	for i := range r.Metrics {
		metric := &r.Metrics[i]
		fmt.Fprintf(w, "| %s | %s |", metric.title(), metric.Description)
		for _, point := range r.ByFollowers.Points {
			fmt.Fprintf(w, " %s |", figure(point, metric))
		}
		fmt.Fprintf(w, " %s | %s |\n", r.ByFollowers.fit(metric), metric.budget(r.ByFollowers.Points))
	}
}

// fit returns how a figure grows, as two cells of a row.
func (a *ScalingSeries) fit(metric *Metric) string {
	fit, fitted := a.Fits[metric.Name]
	if !fitted {
		return "- | -"
	}
	form := string(fit.Form)
	if fit.NoFormFits {
		form = "bends"
	}
	return fmt.Sprintf("%.2f, %.2f | %s, %.2f", fit.Exponent, fit.Residual, form, fit.Error)
}

// title returns the name and the unit.
func (m *Metric) title() string { return strings.TrimSuffix(m.Name+", "+m.Unit, ", ") }

// figure returns a point's value of a metric.
func figure(point *Point, metric *Metric) string {
	value, measured := point.Values[metric.Name]
	if !measured {
		return "-"
	}
	return fmt.Sprintf("%.4g", value)
}

// budget returns the budget and the largest fraction of it that a point uses.
func (m *Metric) budget(points []*Point) string {
	if m.Budget == 0 {
		return "- | -"
	}
	most := 0.0
	for _, point := range points {
		most = max(most, point.Values[m.Name])
	}
	return fmt.Sprintf("%.4g | %.1f%%", m.Budget, 100*most/m.Budget)
}

// text returns the size in a few words.
func (c ConfigurationSize) text() string {
	return fmt.Sprintf("%d quota plans, %d request classes", c.Plans, c.Classes)
}

// largeText writes points with a large configuration.
func (r *Report) largeText(w io.Writer) {
	for _, point := range r.LargeConfigurations {
		fmt.Fprintf(w, "\n## %d followers with a large configuration\n\n%s.\n\n| figure | what | value | budget | of it |\n"+
			"| --- | --- | --- | --- | --- |\n", point.Followers, point.Configuration.text())
		for i := range r.Metrics {
			metric := &r.Metrics[i]
			if _, measured := point.Values[metric.Name]; !measured {
				continue
			}
			fmt.Fprintf(w, "| %s | %s | %s | %s |\n", metric.title(), metric.Description, figure(point, metric),
				metric.budget([]*Point{point}))
		}
	}
}

// restartsText writes a row for each restart.
func (r *Report) restartsText(w io.Writer) {
	fmt.Fprint(w, "\n## Restarts at once\n\n| what | followers | configuration | versions missed | "+
		"s until in force everywhere | from disk | snapshots | deltas | older versions in force | "+
		"put off | bytes of publishers | processor s, followers | processor s, publishers |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, restart := range r.Restarts {
		fmt.Fprintf(w, "| %s | %d | %s | %d | %.2f | %d | %d | %d | %d | %d | %.4g | %.2f | %.2f |\n",
			restart.Description, restart.Followers, restart.Configuration.text(), restart.MissedVersions, restart.Seconds,
			restart.FromDisk, restart.Snapshots, restart.Deltas, restart.OlderVersions, restart.DeferredSnapshots,
			restart.PublisherBytesOut, restart.CPUSeconds, restart.PublisherCPUSeconds)
	}
}

// text writes the comparison as a table.
func (c *Comparison) text(w io.Writer) {
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
