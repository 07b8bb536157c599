package scale

import (
	"context"
	"flag"
	"os"
	"strings"
	"testing"
	"time"
)

var (
	fullSize        = flag.Bool("full", false, "run the full-size measurement")
	axisFilter      = flag.String("axes", "", "measure only axes and products whose names contain this")
	maxPointTime    = flag.Duration("most", 2*time.Minute, "sizes expected to take longer are skipped")
	reportDirectory = flag.String("from", "", "directory of a scale.json to fit again instead of measuring")
	outputDirectory = flag.String("into", "", "directory to write scale.json and scale.md to; empty: print only")
)

// Measures all axes and products at full size and reports the figures, without a verdict. With -from it fits the
// figures of an existing report again.
func TestFullSizeFigures(t *testing.T) {
	if *reportDirectory != "" {
		refitReport(t)
		return
	}
	if !*fullSize {
		t.Skip("no -full")
	}
	report := NewReport("go test " + strings.Join(os.Args[1:], " "))
	if strings.Contains("real and hollow", *axisFilter) {
		report.Comparisons = append(report.Comparisons, compareFullSize(t))
	}
	for _, axis := range Axes() {
		if strings.Contains(axis.Name, *axisFilter) {
			result, err := axis.Run(*maxPointTime, Options{Seed: 1, Repeats: 3})
			requireNoError(t, err)
			report.Axes = append(report.Axes, result)
			saveReport(t, report)
		}
	}
	for _, product := range Products() {
		if strings.Contains(product.Name, *axisFilter) {
			result, err := product.Run(*maxPointTime, Options{Seed: 1, Repeats: 3})
			requireNoError(t, err)
			report.Products = append(report.Products, result)
			saveReport(t, report)
		}
	}
	saveReport(t, report)
	report.WriteText(os.Stdout)
}

// requireNoError ends the test if err is not nil.
func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// saveReport writes a report into the directory of the flag -into, if it is set.
func saveReport(t *testing.T, report *Report) {
	t.Helper()
	if *outputDirectory != "" {
		requireNoError(t, report.Write(*outputDirectory))
	}
}

// refitReport reads the report of the flag -from, fits its figures again, and writes the result.
func refitReport(t *testing.T) {
	t.Helper()
	report, err := ReadReport(*reportDirectory)
	requireNoError(t, err)
	saveReport(t, report)
	report.WriteText(os.Stdout)
}

// compareFullSize compares real and hollow gateways in a fleet of 60.
func compareFullSize(t *testing.T) ComparisonResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	result, err := Comparison{
		Gateways:    [gatewayKinds]int{20, 20, 20},
		Hosts:       16,
		Customers:   2000,
		Rate:        10,
		Seed:        1,
		MinMessages: 14000,
	}.Run(ctx)
	requireNoError(t, err)
	return result
}
