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
	axes = flag.String("axes", "", "axes and products of the full measurement whose names hold this")
	most = flag.Duration("most", 2*time.Minute, "sizes that would take longer are not run")
	from = flag.String("from", "", "folder with a scale.json whose figures are fitted and written again; nothing is measured")
	into = flag.String("into", "", "folder that scale.json and scale.md are written to; empty prints the text only")
)

// The full size writes figures; nothing is decided by them here.
func TestFull(t *testing.T) {
	if *from != "" {
		report, err := ReadReport(*from)
		if err != nil {
			t.Fatal(err)
		}
		if *into != "" {
			err = report.Write(*into)
		}
		if err != nil {
			t.Fatal(err)
		}
		report.Text(os.Stdout)
		return
	}
	if !*full {
		t.Skip("no -full")
	}
	report := NewReport("go test " + strings.Join(os.Args[1:], " "))
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	save := func() {
		if *into != "" {
			must(report.Write(*into))
		}
	}
	if strings.Contains("real and hollow", *axes) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
		defer cancel()
		compared, err := Comparison{Gateways: [kinds]int{20, 20, 20}, Hosts: 16, Customers: 2000, Rate: 10, Seed: 1, Enough: 14000}.Run(ctx)
		must(err)
		report.Compared = append(report.Compared, compared)
	}
	for _, axis := range Axes() {
		if strings.Contains(axis.Name, *axes) {
			growth, err := axis.Run(*most, Options{Seed: 1, Repeats: 3})
			must(err)
			report.Axes = append(report.Axes, growth)
			save()
		}
	}
	for _, product := range Products() {
		if strings.Contains(product.Name, *axes) {
			grid, err := product.Run(*most, Options{Seed: 1, Repeats: 3})
			must(err)
			report.Products = append(report.Products, grid)
			save()
		}
	}
	save()
	report.Text(os.Stdout)
}
