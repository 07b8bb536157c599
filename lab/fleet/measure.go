package fleet

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"
)

// reportedDelay is the delay of the emulators from which on a measurement names it.
const reportedDelay = 100 * time.Millisecond

const evennessHead = "\n| stretch | by | most, least in 1 s | most, least in 10 s | variation 1 s, 10 s | idle | " +
	"longest over 1.5, hosts over 1 s | held by | connections opened, standing before |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// Measure runs a scenario with each of some programs and writes cost, results and, for each interval, the fleet's
// evenness beside that of chance and of round robin on the same attempts. binaries are paths by the name shown; "" is
// the gateway of this module.
func Measure(ctx context.Context, w io.Writer, scenario Scenario, binaries map[string]string) error {
	options := &scenario.Options
	fmt.Fprintf(w, "### %s: %d processes, %d hosts, %.0f requests a second, seed %d\n\n", scenario.Name,
		options.Gateways, options.Hosts-len(options.UnlistedHosts), scenario.Loads[0].Rate, options.Seed)
	for _, name := range slices.Sorted(maps.Keys(binaries)) {
		options.Binary = binaries[name]
		report, err := scenario.Run(ctx)
		if err != nil {
			return fmt.Errorf("measuring %s: %w", name, err)
		}
		report.write(w, name)
	}
	return nil
}

// write writes the result of a run with a program of that name.
func (r *Report) write(w io.Writer, name string) {
	fmt.Fprintf(w, "%s: all served %.2f s after the first start. %s. %s.\n", name, r.Fleet.StartDuration.Seconds(),
		r.Summary(), r.Cost())
	clients, hosts := r.EmulatorDelays()
	if max(clients, hosts) > reportedDelay {
		fmt.Fprintf(w, "The machine was busy: clients late by up to %.2f s, hosts by %.2f s (p99).\n",
			clients.Seconds(), hosts.Seconds())
	}
	if err := r.Err(); err != nil {
		fmt.Fprintf(w, "%s: %v\n", violationPrefix, err)
	}
	intervals := r.Scenario.Intervals
	if len(intervals) == 0 {
		intervals = []Interval{{Name: "whole load", To: r.Scenario.Duration}}
	}
	io.WriteString(w, evennessHead)
	for _, interval := range intervals {
		r.writeInterval(w, name, interval)
	}
	fmt.Fprintln(w)
}

// violationPrefix begins the line of a measurement that names what does not hold.
const violationPrefix = "Does not hold"

// writeInterval writes the table rows of an interval.
func (r *Report) writeInterval(w io.Writer, name string, interval Interval) {
	hosts := interval.Hosts
	if hosts == nil {
		hosts = r.initialHosts()
	}
	from := r.StartedAt + int64(r.Scenario.WarmUp)
	fleet, chance, roundRobin := r.MeasureEvenness(hosts, from+int64(interval.From), from+int64(interval.To))
	fleet.writeRow(w, interval.Name, name)
	chance.writeRow(w, interval.Name, "chance")
	roundRobin.writeRow(w, interval.Name, "round robin")
}

// writeRow writes one table row.
func (e *Evenness) writeRow(w io.Writer, interval, spreadBy string) {
	short := e.Windows[shortWindow]
	long := e.Windows[longWindow]
	gateways := "- | -"
	if perHost := e.GatewaysPerHost; perHost.Max > 0 {
		gateways = fmt.Sprintf("%.0f to %.0f, mean %.1f | %d, %d", perHost.Min, perHost.Max, perHost.Mean,
			e.OpenedConns, e.InitialConns)
	}
	fmt.Fprintf(w, "| %s | %s | %.2f, %.2f | %.2f, %.2f | %.3f, %.3f | %.1f | %.1f s, %.1f | %s |\n", interval, spreadBy,
		short.MeanMaxLoad, short.MeanMinLoad, long.MeanMaxLoad, long.MeanMinLoad, short.MeanDeviation, long.MeanDeviation, e.IdlePeriods,
		e.LongestOverload.Seconds(), e.OverloadedHosts, gateways)
}
