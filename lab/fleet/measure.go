package fleet

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// Measure plays a scenario with each of some programs and writes what came of it: cost, outcomes, and for each stretch
// the fleet's evenness beside chance and round robin on the very same dispatches. binaries are paths by what they are
// called; "" is the program as it is.
func Measure(ctx context.Context, w io.Writer, s Scenario, binaries map[string]string) error {
	fmt.Fprintf(w, "### %s: %d processes, %d hosts, %.0f reqs a second, seed %d\n\n", s.Name, s.Plan.Gateways,
		s.Plan.Hosts-len(s.Plan.Unlisted), s.Loads[0].Rate, s.Plan.Seed)
	for _, name := range slices.Sorted(maps.Keys(binaries)) {
		s.Plan.Binary = binaries[name]
		r, err := s.Play(ctx)
		if err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
		fmt.Fprintf(w, "%s: all served %.2f s after the first start. %s. %s.\n", name, r.Fleet.Took.Seconds(), r.Summary(), r.Cost())
		if clients, hosts := r.Late(); max(clients, hosts) > 100*time.Millisecond {
			fmt.Fprintf(w, "The machine was busy: clients late by up to %.2f s, hosts by %.2f s (p99).\n", clients.Seconds(), hosts.Seconds())
		}
		if err := r.Err(); err != nil {
			fmt.Fprintf(w, "Does not hold: %v\n", err)
		}
		stretches := s.Stretches
		if len(stretches) == 0 {
			stretches = []Stretch{{What: "whole load", To: s.For}}
		}
		fmt.Fprint(w, "\n| stretch | by | most, least in 1 s | most, least in 10 s | variation 1 s, 10 s | idle | longest over 1.5, hosts over 1 s | held by | connections opened, standing before |\n"+
			"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n")
		for _, x := range stretches {
			hosts := x.Hosts
			if hosts == nil {
				hosts = Seats(0, s.Plan.Hosts-len(s.Plan.Unlisted))
			}
			from := r.Began + int64(s.Warm)
			fleet, chance, robin := r.Even(hosts, from+int64(x.From), from+int64(x.To))
			for _, e := range []struct {
				by string
				Evenness
			}{{name, fleet}, {"chance", chance}, {"round robin", robin}} {
				one, ten := e.Windows[time.Second], e.Windows[10*time.Second]
				held := "- | -"
				if e.Held[2] > 0 {
					held = fmt.Sprintf("%.0f to %.0f, mean %.1f | %d, %d", e.Held[0], e.Held[2], e.Held[1], e.Opened, e.Standing)
				}
				fmt.Fprintf(w, "| %s | %s | %.2f, %.2f | %.2f, %.2f | %.3f, %.3f | %.1f | %.1f s, %.1f | %s |\n", x.What, e.by, one.Most,
					one.Least, ten.Most, ten.Least, one.Variation, ten.Variation, e.Idle, e.Over.Seconds(), e.OverHosts, held)
			}
		}
		fmt.Fprintln(w)
	}
	return nil
}
