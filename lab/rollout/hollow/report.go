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
	Go       string         `json:"go"`
	Cores    int            `json:"cores"`
	Runs     map[string]Run `json:"runs"` // by part
	Metrics  []Metric       `json:"metrics"`
	Axis     Axis           `json:"by_followers"`
	Large    []*Point       `json:"large_contents"`
	Storms   []*Storm       `json:"restarts"`
	Compared *Comparison    `json:"real_and_hollow"`
	Events   map[string]int `json:"log_events"` // of the followers' logs
}

// Run says how a part was measured.
type Run struct {
	Command  string `json:"command"`
	LoadFrom string `json:"load_average_before"` // of the machine, other work included
	LoadTo   string `json:"load_average_after"`
}

// fileName is the report's, without its ending.
const fileName = "rollout-scale"

// NewReport begins a report, or goes on with the one of a folder.
func NewReport(folder string) (*Report, error) {
	report := &Report{Runs: map[string]Run{}}
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

// Begin notes that a part is measured by a command from now on.
func (r *Report) Begin(part, command string) {
	r.Runs[part] = Run{Command: command, LoadFrom: loadAverage()}
}

// End notes that a part is measured.
func (r *Report) End(part string, lines *Lines) {
	run := r.Runs[part]
	run.LoadTo = loadAverage()
	r.Runs[part] = run
	r.Events = lines.Events()
}

// loadAverage gives the machine's load average over 1, 5 and 15 minutes.
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
	r.Text(&page)
	return os.WriteFile(filepath.Join(folder, fileName+".md"), []byte(page.String()), 0o644)
}

// Text writes the report as tables.
func (r *Report) Text(w io.Writer) {
	fmt.Fprintf(w, "# Figures of the configuration's distribution by hollow followers\n\n%s, %d cores, a machine shared with other "+
		"runs. Three publishers. `docs/rollout-scale.md` tells how and what is left out. Figures of followers are means of one, in "+
		"force is wall time under the load average that is told.\n\n| part | load average before | after | command |\n"+
		"| --- | --- | --- | --- |\n", r.Go, r.Cores)
	for _, part := range slices.Sorted(maps.Keys(r.Runs)) {
		run := r.Runs[part]
		fmt.Fprintf(w, "| %s | %s | %s | `%s` |\n", part, run.LoadFrom, run.LoadTo, run.Command)
	}
	if len(r.Axis.Points) > 0 {
		r.axisText(w)
	}
	if len(r.Large) > 0 {
		r.largeText(w)
	}
	if len(r.Storms) > 0 {
		r.stormsText(w)
	}
	if r.Compared != nil {
		r.Compared.text(w)
	}
	fmt.Fprintf(w, "\nLog lines of the last run's followers by event: %v.\n", r.Events)
	for _, fault := range r.Faults() {
		fmt.Fprintf(w, "\nDoes not hold: %s.\n", fault)
	}
}

// Faults lists all that does not hold.
func (r *Report) Faults() (faults []string) {
	if len(r.Axis.Points) > 0 {
		faults = append(faults, r.Axis.Faults()...)
	}
	for _, point := range r.Large {
		faults = append(faults, point.Faults...)
	}
	for _, storm := range r.Storms {
		faults = append(faults, storm.Faults...)
	}
	return faults
}

// axisText writes a row for each figure, with a column for each number of followers.
func (r *Report) axisText(w io.Writer) {
	fmt.Fprintf(w, "\n## By followers\n\nConfiguration: %s.\n\n| figure | what |", r.Axis.Points[0].Content.text())
	for _, point := range r.Axis.Points {
		fmt.Fprintf(w, " %d |", point.Followers)
	}
	fmt.Fprintf(w, " exponent, residual | form, error | budget | of it at most |\n| --- | --- |%s --- | --- | --- | --- |\n",
		strings.Repeat(" --- |", len(r.Axis.Points)))
	for i := range r.Metrics {
		metric := &r.Metrics[i]
		fmt.Fprintf(w, "| %s | %s |", metric.title(), metric.What)
		for _, point := range r.Axis.Points {
			fmt.Fprintf(w, " %s |", figure(point, metric))
		}
		fmt.Fprintf(w, " %s | %s |\n", r.Axis.fit(metric), metric.budget(r.Axis.Points))
	}
}

// fit tells how a figure grows.
func (a *Axis) fit(metric *Metric) string {
	fit, fitted := a.Fits[metric.Name]
	if !fitted {
		return "- | -"
	}
	form := string(fit.Form)
	if fit.Bends {
		form = "bends"
	}
	return fmt.Sprintf("%.2f, %.2f | %s, %.2f", fit.Exponent, fit.Residual, form, fit.Error)
}

func (m *Metric) title() string { return strings.TrimSuffix(m.Name+", "+m.Unit, ", ") }

func figure(point *Point, metric *Metric) string {
	value, measured := point.Figures[metric.Name]
	if !measured {
		return "-"
	}
	return fmt.Sprintf("%.4g", value)
}

// budget tells the budget and the greatest part of it that a point takes.
func (m *Metric) budget(points []*Point) string {
	if m.Budget == 0 {
		return "- | -"
	}
	most := 0.0
	for _, point := range points {
		most = max(most, point.Figures[m.Name])
	}
	return fmt.Sprintf("%.4g | %.1f%%", m.Budget, 100*most/m.Budget)
}

func (c Content) text() string {
	return fmt.Sprintf("%d quota plans, %d request classes", c.Plans, c.Classes)
}

// largeText writes points whose contents are large.
func (r *Report) largeText(w io.Writer) {
	for _, point := range r.Large {
		fmt.Fprintf(w, "\n## %d followers with a large configuration\n\n%s.\n\n| figure | what | value | budget | of it |\n"+
			"| --- | --- | --- | --- | --- |\n", point.Followers, point.Content.text())
		for i := range r.Metrics {
			metric := &r.Metrics[i]
			if _, measured := point.Figures[metric.Name]; !measured {
				continue
			}
			fmt.Fprintf(w, "| %s | %s | %s | %s |\n", metric.title(), metric.What, figure(point, metric),
				metric.budget([]*Point{point}))
		}
	}
}

func (r *Report) stormsText(w io.Writer) {
	fmt.Fprint(w, "\n## Restarts at once\n\n| what | followers | configuration | versions missed | s until in force everywhere | from disk | snapshots | deltas | older versions in force | "+
		"put off | bytes of publishers | processor s, followers | processor s, publishers |\n"+
		"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Storms {
		fmt.Fprintf(w, "| %s | %d | %s | %d | %.2f | %d | %d | %d | %d | %d | %.4g | %.2f | %.2f |\n", s.What, s.Followers, s.Content.text(),
			s.Missed, s.Seconds, s.FromDisk, s.Snapshots, s.Deltas, s.Old, s.Deferred, s.BytesOut, s.Processor, s.Publishers)
	}
}

func (c *Comparison) text(w io.Writer) {
	ratio := c.Ratio()
	fmt.Fprintf(w, "\n## Real and hollow\n\n%d real gateway processes and %d hollow followers of the same publishers, %d changes at one "+
		"pace each; means of a gateway and change, without the heartbeats of that time.\n\n| figure | real | hollow | real over hollow |\n"+
		"| --- | --- | --- | --- |\n", c.Gateways, c.Gateways, c.Changes)
	for _, row := range []struct {
		name                string
		real, hollow, ratio float64
	}{
		{"bytes in", c.Real.BytesIn, c.Hollow.BytesIn, ratio.BytesIn},
		{"bytes out", c.Real.BytesOut, c.Hollow.BytesOut, ratio.BytesOut},
		{"versions put in force", c.Real.Versions, c.Hollow.Versions, ratio.Versions},
		{"processor time beyond rest, ms", c.Real.Processor, c.Hollow.Processor, ratio.Processor},
	} {
		fmt.Fprintf(w, "| %s | %.4g | %.4g | %.3f |\n", row.name, row.real, row.hollow, row.ratio)
	}
}
