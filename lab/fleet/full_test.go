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
	full  = flag.Int("full", 0, "gateway processes of the full-size measurements; 0 skips them")
	hosts = flag.Int("hosts", 60, "hosts of the full-size measurements")
	rate  = flag.Float64("rate", 2000, "requests a second of the full-size measurements")
	cases = flag.String("cases", "steady", "run the full-size scenarios whose names contain this text")
	into  = flag.String("into", "", "file to which the figures are appended; if empty, they are only printed")
)

const fullSizeTimeout = 5 * time.Minute // for one scenario

// Checks the common rules at full size, and writes the figures of this module's gateway beside those of other programs.
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
			ctx, cancel := context.WithTimeout(context.Background(), fullSizeTimeout)
			defer cancel()
			var text strings.Builder
			requireNoError(t, Measure(ctx, io.MultiWriter(os.Stdout, &text), scenario, measuredBinaries()))
			if *into != "" {
				requireNoError(t, figures.Append(*into, text.String()))
			}
			if strings.Contains(text.String(), violationPrefix) {
				t.Error("a check is violated, see above")
			}
		})
	}
}

// measuredBinaries returns the paths of the programs to measure by name: this module's gateway, and those in the
// environment variable RAVENSILL_OTHER, a list of name=path separated by commas.
func measuredBinaries() map[string]string {
	binaries := map[string]string{"the program": ""}
	for other := range strings.SplitSeq(os.Getenv("RAVENSILL_OTHER"), ",") {
		if name, path, ok := strings.Cut(other, "="); ok {
			binaries[name] = path
		}
	}
	return binaries
}
