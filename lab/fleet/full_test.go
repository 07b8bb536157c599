package fleet

import (
	"context"
	"flag"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/lab/figures"
)

var (
	full  = flag.Int("full", 0, "processes of the full-size measurements; 0 leaves them out")
	hosts = flag.Int("hosts", 60, "hosts of the full-size measurements")
	rate  = flag.Float64("rate", 2000, "requests a second of the full-size measurements")
	cases = flag.String("cases", "steady", "full-size scenarios whose names contain this")
	into  = flag.String("into", "", "file that the figures are added to; empty prints them only")
)

const fullLimit = 5 * time.Minute // of a scenario

// The common rules hold at full size too. The figures are written beside those of other programs.
func TestFullSizeChecksHold(t *testing.T) {
	if *full == 0 {
		t.Skip("no -full")
	}
	size := ScenarioSize{Gateways: *full, Hosts: *hosts, Rate: *rate, Seed: 11}
	scenarios := append([]Scenario{size.SteadyLoad(22 * time.Second)}, size.FaultScenarios()...)
	for _, scenario := range scenarios {
		if !strings.Contains(scenario.Name, *cases) {
			continue
		}
		t.Run(scenario.Name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), fullLimit)
			defer cancel()
			var text strings.Builder
			must(t, Measure(ctx, io.MultiWriter(os.Stdout, &text), scenario, measuredBinaries()))
			if *into != "" {
				must(t, figures.Append(*into, text.String()))
			}
			if strings.Contains(text.String(), violationPrefix) {
				t.Error("a check is violated, see above")
			}
		})
	}
}

// measuredBinaries returns the gateway of this module and the programs that RAVENSILL_OTHER names: name=path, separated
// by commas.
func measuredBinaries() map[string]string {
	binaries := map[string]string{"the program": ""}
	for other := range strings.SplitSeq(os.Getenv("RAVENSILL_OTHER"), ",") {
		if name, path, ok := strings.Cut(other, "="); ok {
			binaries[name] = path
		}
	}
	return binaries
}
