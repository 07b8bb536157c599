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
	full = flag.Bool("full", false, "the full-size measurement")
	axes = flag.String("axes", "", "axes and products of the full measurement whose names contain this")
	most = flag.Duration("most", 2*time.Minute, "sizes that would take longer are not run")
	from = flag.String("from", "", "folder with a scale.json whose figures are fitted again; nothing is measured")
	into = flag.String("into", "", "folder that scale.json and scale.md are written to; empty prints the text only")
)

// The full size writes figures, without a verdict. With -from, those of a report are fitted anew.
func TestFullSizeFigures(t *testing.T) {
	if *from != "" {
		fitAgain(t)
		return
	}
	if !*full {
		t.Skip("no -full")
	}
	report := NewReport("go test " + strings.Join(os.Args[1:], " "))
	if strings.Contains("real and hollow", *axes) {
		report.Comparisons = append(report.Comparisons, compareFullSize(t))
	}
	for _, axis := range Axes() {
		if strings.Contains(axis.Name, *axes) {
			growth, err := axis.Run(*most, Options{Seed: 1, Repeats: 3})
			must(t, err)
			report.Axes = append(report.Axes, growth)
			save(t, report)
		}
	}
	for _, product := range Products() {
		if strings.Contains(product.Name, *axes) {
			grid, err := product.Run(*most, Options{Seed: 1, Repeats: 3})
			must(t, err)
			report.Products = append(report.Products, grid)
			save(t, report)
		}
	}
	save(t, report)
	report.WriteText(os.Stdout)
}

// must ends the test at an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// save writes a report into the folder that -into names.
func save(t *testing.T, report *Report) {
	t.Helper()
	if *into != "" {
		must(t, report.Write(*into))
	}
}

// fitAgain fits the figures of a report anew and writes them.
func fitAgain(t *testing.T) {
	t.Helper()
	report, err := ReadReport(*from)
	must(t, err)
	save(t, report)
	report.WriteText(os.Stdout)
}

// compareFullSize compares real and hollow gateways.
func compareFullSize(t *testing.T) ComparisonResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
	defer cancel()
	result, err := Comparison{
		Gateways:    [kinds]int{20, 20, 20},
		Hosts:       16,
		Customers:   2000,
		Rate:        10,
		Seed:        1,
		MinMessages: 14000,
	}.Run(ctx)
	must(t, err)
	return result
}
