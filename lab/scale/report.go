package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
)

// Report is all that a run measured.
type Report struct {
	Command     string             `json:"command"`
	Go          string             `json:"go"`
	Cores       int                `json:"cores"`
	LoadAverage string             `json:"load_average"` // of the machine as the run began: other work beside it
	Metrics     []Metric           `json:"metrics"`
	Comparisons []ComparisonResult `json:"real_and_hollow"`
	Axes        []AxisResult       `json:"axes"`
	Products    []ProductResult    `json:"products"`
}

// ReadReport reads a report that Write wrote into a folder, and fits its figures anew.
func ReadReport(folder string) (*Report, error) {
	text, err := os.ReadFile(filepath.Join(folder, "scale.json"))
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, err
	}
	for i := range r.Axes {
		r.Axes[i].fit()
	}
	for i := range r.Products {
		for j := range r.Products[i].Rows {
			r.Products[i].Rows[j].fit()
		}
		r.Products[i].fit()
	}
	return r, nil
}

// NewReport returns an empty report of a run by a command.
func NewReport(command string) *Report {
	load, _ := os.ReadFile("/proc/loadavg")
	return &Report{Command: command, Go: runtime.Version(), Cores: runtime.NumCPU(), LoadAverage: strings.TrimSpace(string(load)),
		Metrics: Metrics()}
}

// Write writes the report as JSON and as text into a folder.
func (r *Report) Write(folder string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "scale.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	var page strings.Builder
	r.WriteText(&page)
	return os.WriteFile(filepath.Join(folder, "scale.md"), []byte(page.String()), 0o644)
}

// WriteText writes the report as tables.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "# Figures of the scale run\n\n`%s`, %s, %d cores, load average %s. Clients and hosts are simulated; "+
		"`docs/scale.md` describes the method and what is left out.\n", r.Command, r.Go, r.Cores, r.LoadAverage)
	for _, compared := range r.Comparisons {
		compared.text(w)
	}
	for _, axis := range r.Axes {
		fmt.Fprintf(w, "\n## By %s\n\n", axis.Name)
		axis.text(w, r.Metrics)
	}
	for _, product := range r.Products {
		product.text(w, r.Metrics)
	}
}

// text writes the comparison as a table.
func (c ComparisonResult) text(w io.Writer) {
	fmt.Fprintf(w, "\n## Real and hollow gateways in one fleet\n\n%d real gateways, %d hollow ones in a process each, "+
		"%d in one; %d customers, %g requests a second at each under load. Means of a gateway.\n\n"+
		"| figure | %v | %v | %v | real over hollow, a process each | real over hollow, one process |\n"+
		"| --- | --- | --- | --- | --- | --- |\n",
		c.Fleet[Real.String()], c.Fleet[HollowOwnProcess.String()], c.Fleet[HollowSharedProcess.String()], c.Customers, c.RequestRate,
		Real, HollowOwnProcess, HollowSharedProcess)
	for _, row := range c.rows() {
		fmt.Fprintf(w, "| %s | %.4g | %.4g | %.4g | %.2f | %.2f |\n", row.name, row.figures[Real], row.figures[HollowOwnProcess],
			row.figures[HollowSharedProcess], row.figures[Real]/row.figures[HollowOwnProcess], row.figures[Real]/row.figures[HollowSharedProcess])
	}
	if c.Added.Requests == 0 {
		return
	}
	fmt.Fprintf(w, "\nReal gateways added %.2f ms (median) and %.2f ms (99 in 100) to %d requests, wall time on the busy "+
		"machine; clients wrote up to %.1f ms late.\n",
		c.Added.P50, c.Added.P99, c.Added.Requests, c.Added.MaxClientDelayMS)
}

// comparedRow is one figure of each kind of gateway.
type comparedRow struct {
	name    string
	figures [kinds]float64
}

// rows returns the rows of the table.
func (c ComparisonResult) rows() (rows []comparedRow) {
	for _, one := range []struct {
		name string
		of   func(f KindFigures) float64
	}{
		{"messages out at rest, 1/s", func(f KindFigures) float64 { return f.RestMessages }},
		{"bytes out at rest, 1/s", func(f KindFigures) float64 { return f.RestBytes }},
		{"processor at rest, core", func(f KindFigures) float64 { return f.RestCPU }},
		{"messages out under load, 1/s", func(f KindFigures) float64 { return f.LoadMessages }},
		{"bytes out under load, 1/s", func(f KindFigures) float64 { return f.LoadBytes }},
		{"messages in under load, 1/s", func(f KindFigures) float64 { return f.LoadMessagesIn }},
		{"processor under load, core", func(f KindFigures) float64 { return f.LoadCPU }},
		{"live heap, bytes", func(f KindFigures) float64 { return f.LiveHeap }},
	} {
		row := comparedRow{name: one.name}
		for kind := range kinds {
			row.figures[kind] = one.of(c.Figures[kind.String()])
		}
		rows = append(rows, row)
	}
	return rows
}

// text writes an axis as a table: a row for each metric, a column for each size, then how the metric grows.
func (g AxisResult) text(w io.Writer, metrics []Metric) {
	if g.Note != "" {
		fmt.Fprintf(w, "%s. ", g.Note)
	}
	fmt.Fprintf(w, "Fixed, except for the axis itself: %s.\n\n| figure |", g.Base.text())
	for _, point := range g.Points {
		fmt.Fprintf(w, " %g |", point.Size)
	}
	fmt.Fprintf(w, " exponent, residual | at the top | form, error | at %g |\n| --- |%s --- | --- | --- | --- |\n",
		g.Target,
		strings.Repeat(" --- |", len(g.Points)))
	for _, metric := range metrics {
		fit, ok := g.Fits[metric.Name]
		if !ok {
			continue
		}
		fmt.Fprintf(w, "| %s |", strings.TrimSuffix(metric.Name+", "+metric.Unit, ", "))
		for _, point := range g.Points {
			figure, measured := point.Figures[metric.Name]
			if !measured {
				fmt.Fprint(w, " - |")
				continue
			}
			fmt.Fprintf(w, " %.4g |", figure)
		}
		fmt.Fprintf(w, " %.2f, %.2f | %.2f | %s, %.2f | %s |\n", fit.Exponent, fit.Residual, fit.TopExponent, fit.Form,
			fit.Error,
			g.predicted(metric.Name, fit))
	}
	for _, point := range g.Points {
		if point.SkipReason != "" {
			fmt.Fprintf(w, "\n%g not run: %s.\n", point.Size, point.SkipReason)
		}
	}
}

// predicted returns the figure at the operators' size: as measured there, by the fit, or that it bends.
func (g AxisResult) predicted(metric string, fit Fit) string {
	if g.Target == 0 {
		return "-"
	}
	for _, point := range g.Points {
		if figure, measured := point.Figures[metric]; measured && point.Size == g.Target {
			return fmt.Sprintf("%.4g measured", figure)
		}
	}
	figure, ok := fit.Predict(g.Target)
	if !ok {
		return "bends"
	}
	return fmt.Sprintf("%.4g by the fit", figure)
}

// text returns the size in one line.
func (d Deployment) text() string {
	return fmt.Sprintf("%d gateways, %d hosts, %d quota plans, %d request classes, %d customers, "+
		"%g requests a second at each",
		d.Gateways, d.Hosts, d.Plans, d.Classes, d.Customers, d.RequestRate)
}

// text writes how each metric grows with both sizes as a table.
func (g ProductResult) text(w io.Writer, metrics []Metric) {
	fmt.Fprintf(w, "\n## By %s\n\n%s. Each figure as factor * (%s)^a * (%s)^b.\n\n"+
		"| figure | factor | a | b | residual |\n| --- | --- | --- | --- | --- |\n", g.Name, g.Note, g.First, g.Second)
	for _, metric := range metrics {
		if joint, ok := g.Joint[metric.Name]; ok {
			fmt.Fprintf(w, "| %s | %.4g | %.2f | %.2f | %.2f |\n", strings.TrimSuffix(metric.Name+", "+metric.Unit, ", "),
				joint.Factor, joint.FirstExponent, joint.SecondExponent, joint.Residual)
		}
	}
	fmt.Fprint(w, "\nThe points are in scale.json.\n")
}
