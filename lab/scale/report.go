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

// Report holds the results of all measurements of a run, and the command, Go version and machine that produced them.
type Report struct {
	Command     string             `json:"command"` // that made the run
	Go          string             `json:"go"`      // version
	Cores       int                `json:"cores"`
	LoadAverage string             `json:"load_average"` // of the machine when the run began, which shows other work on it
	Metrics     []Metric           `json:"metrics"`
	Comparisons []ComparisonResult `json:"real_and_hollow"`
	Axes        []AxisResult       `json:"axes"`
	Products    []ProductResult    `json:"products"`
}

// ReadReport reads the scale.json that Write wrote into a directory, and fits its figures again.
func ReadReport(directory string) (*Report, error) {
	text, err := os.ReadFile(filepath.Join(directory, "scale.json"))
	if err != nil {
		return nil, err
	}
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, err
	}
	for i := range r.Axes {
		r.Axes[i].fitMetrics()
	}
	for i := range r.Products {
		for j := range r.Products[i].Rows {
			r.Products[i].Rows[j].fitMetrics()
		}
		r.Products[i].fitMetrics()
	}
	return r, nil
}

// NewReport returns a report without results for a run that begins now. command is the command line of the run.
func NewReport(command string) *Report {
	load, _ := os.ReadFile("/proc/loadavg")
	return &Report{
		Command:     command,
		Go:          runtime.Version(),
		Cores:       runtime.NumCPU(),
		LoadAverage: strings.TrimSpace(string(load)),
		Metrics:     Metrics(),
	}
}

// Write writes the report into a directory, which it creates if necessary: as scale.json, and as Markdown in scale.md.
func (r *Report) Write(directory string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(directory, "scale.json"), append(text, '\n'), 0o644); err != nil {
		return err
	}
	var page strings.Builder
	r.WriteText(&page)
	return os.WriteFile(filepath.Join(directory, "scale.md"), []byte(page.String()), 0o644)
}

// WriteText writes the report as Markdown.
func (r *Report) WriteText(w io.Writer) {
	fmt.Fprintf(w, "# Figures of the scale run\n\n`%s`, %s, %d cores, load average %s. Clients and hosts are simulated; "+
		"`docs/scale.md` describes the method and what is left out.\n", r.Command, r.Go, r.Cores, r.LoadAverage)
	for _, comparison := range r.Comparisons {
		comparison.writeText(w)
	}
	for _, axis := range r.Axes {
		fmt.Fprintf(w, "\n## By %s\n\n", axis.Name)
		axis.writeText(w, r.Metrics)
	}
	for _, product := range r.Products {
		product.writeText(w, r.Metrics)
	}
}

// writeText writes the comparison as a Markdown section.
func (c ComparisonResult) writeText(w io.Writer) {
	fmt.Fprintf(w, "\n## Real and hollow gateways in one fleet\n\n%d real gateways, %d hollow ones in a process each, "+
		"%d in one; %d customers, %g requests a second at each under load. Means of a gateway.\n\n"+
		"| figure | %v | %v | %v | real over hollow, a process each | real over hollow, one process |\n"+
		"| --- | --- | --- | --- | --- | --- |\n",
		c.Fleet[Real.String()], c.Fleet[HollowOwnProcess.String()], c.Fleet[HollowSharedProcess.String()],
		c.Customers, c.RequestRate, Real, HollowOwnProcess, HollowSharedProcess)
	for _, row := range c.rows() {
		fmt.Fprintf(w, "| %s | %.4g | %.4g | %.4g | %.2f | %.2f |\n", row.name,
			row.figures[Real], row.figures[HollowOwnProcess], row.figures[HollowSharedProcess],
			row.figures[Real]/row.figures[HollowOwnProcess], row.figures[Real]/row.figures[HollowSharedProcess])
	}
	if c.Added.Requests == 0 {
		return
	}
	fmt.Fprintf(w, "\nReal gateways added %.2f ms (median) and %.2f ms (99th percentile) to %d requests, "+
		"in wall time on a busy machine; clients wrote up to %.1f ms late.\n",
		c.Added.P50, c.Added.P99, c.Added.Requests, c.Added.MaxClientDelayMS)
}

// comparisonRow is a figure of a comparison for each kind of gateway.
type comparisonRow struct {
	name    string
	figures [gatewayKinds]float64
}

// rows returns the rows of the comparison table.
func (c ComparisonResult) rows() (rows []comparisonRow) {
	for _, figure := range []struct {
		name  string
		value func(f KindFigures) float64
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
		row := comparisonRow{name: figure.name}
		for kind := range gatewayKinds {
			row.figures[kind] = figure.value(c.Figures[kind.String()])
		}
		rows = append(rows, row)
	}
	return rows
}

// writeText writes the axis as a Markdown table: a row for each metric, with a column for each size and columns for
// the fit.
func (r AxisResult) writeText(w io.Writer, metrics []Metric) {
	if r.Note != "" {
		fmt.Fprintf(w, "%s. ", r.Note)
	}
	fmt.Fprintf(w, "Fixed, except for the axis itself: %s.\n\n| figure |", r.Base.summary())
	for _, point := range r.Points {
		fmt.Fprintf(w, " %g |", point.Size)
	}
	fmt.Fprintf(w, " exponent, residual | at the top | form, error | at %g |\n| --- |%s --- | --- | --- | --- |\n",
		r.Target,
		strings.Repeat(" --- |", len(r.Points)))
	for _, metric := range metrics {
		fit, ok := r.Fits[metric.Name]
		if !ok {
			continue
		}
		fmt.Fprintf(w, "| %s |", strings.TrimSuffix(metric.Name+", "+metric.Unit, ", "))
		for _, point := range r.Points {
			figure, measured := point.Figures[metric.Name]
			if !measured {
				fmt.Fprint(w, " - |")
				continue
			}
			fmt.Fprintf(w, " %.4g |", figure)
		}
		fmt.Fprintf(w, " %.2f, %.2f | %.2f | %s, %.2f | %s |\n", fit.Exponent, fit.Residual, fit.TopExponent, fit.Form,
			fit.Error,
			r.targetCell(metric.Name, fit))
	}
	for _, point := range r.Points {
		if point.SkipReason != "" {
			fmt.Fprintf(w, "\n%g not run: %s.\n", point.Size, point.SkipReason)
		}
	}
}

// targetCell returns the table cell of a metric at the target size: the figure as measured or predicted by the fit,
// "bends" if no form fits, or "-" if there is no target.
func (r AxisResult) targetCell(metric string, fit Fit) string {
	if r.Target == 0 {
		return "-"
	}
	for _, point := range r.Points {
		if figure, measured := point.Figures[metric]; measured && point.Size == r.Target {
			return fmt.Sprintf("%.4g measured", figure)
		}
	}
	figure, ok := fit.Predict(r.Target)
	if !ok {
		return "bends"
	}
	return fmt.Sprintf("%.4g by the fit", figure)
}

// summary returns the sizes of the deployment as text of one line.
func (d Deployment) summary() string {
	return fmt.Sprintf("%d gateways, %d hosts, %d quota plans, %d request classes, %d customers, "+
		"%g requests a second at each",
		d.Gateways, d.Hosts, d.Plans, d.Classes, d.Customers, d.RequestRate)
}

// writeText writes the joint fits of the product as a Markdown section.
func (r ProductResult) writeText(w io.Writer, metrics []Metric) {
	fmt.Fprintf(w, "\n## By %s\n\n%s. Each figure as factor * (%s)^a * (%s)^b.\n\n"+
		"| figure | factor | a | b | residual |\n| --- | --- | --- | --- | --- |\n", r.Name, r.Note, r.First, r.Second)
	for _, metric := range metrics {
		if joint, ok := r.Joint[metric.Name]; ok {
			fmt.Fprintf(w, "| %s | %.4g | %.2f | %.2f | %.2f |\n", strings.TrimSuffix(metric.Name+", "+metric.Unit, ", "),
				joint.Factor, joint.FirstExponent, joint.SecondExponent, joint.Residual)
		}
	}
	fmt.Fprint(w, "\nThe points are in scale.json.\n")
}
