package fleet

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var (
	full  = flag.Int("full", 0, "processes of the full-size measurements; 0 leaves them out")
	hosts = flag.Int("hosts", 60, "hosts of the full-size measurements")
	rate  = flag.Float64("rate", 2000, "reqs a second of the full-size measurements")
	cases = flag.String("cases", "steady", "full-size scenarios whose names hold this")
	into  = flag.String("into", "", "file that the figures are added to; empty prints them only")
)

// The full size writes figures; what must hold in every run decides here too.
func TestFull(t *testing.T) {
	if *full == 0 {
		t.Skip("no -full")
	}
	z := Size{Gateways: *full, Hosts: *hosts, Rate: *rate, Seed: 11}
	steady := z.Steady(22 * time.Second)
	binaries := map[string]string{"the program": ""}
	for other := range strings.SplitSeq(os.Getenv("RAVENSILL_OTHER"), ",") { // name=path, more of them behind commas
		if name, path, ok := strings.Cut(other, "="); ok {
			binaries[name] = path
		}
	}
	for _, s := range append([]Scenario{steady}, z.Cases()...) {
		if !strings.Contains(s.Name, *cases) {
			continue
		}
		t.Run(s.Name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
			defer cancel()
			var text strings.Builder
			must(t, Measure(ctx, io.MultiWriter(os.Stdout, &text), s, binaries))
			if *into != "" {
				must(t, os.MkdirAll(filepath.Dir(*into), 0o755))
				w, err := os.OpenFile(*into, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
				must(t, err)
				_, err = w.WriteString(text.String())
				must(t, err, w.Close())
			}
			if strings.Contains(text.String(), "Does not hold") {
				t.Error("see above")
			}
		})
	}
}
