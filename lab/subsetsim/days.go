package subsetsim

import (
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	stepAt       = 15 * time.Second // of the one step of a day; figures are measured from then on
	dayDuration  = 40 * time.Second
	measuredRuns = 4 // that run at one time
)

// Days returns the days that docs/spread.md shows, for one seed: steady ones, then those with a step.
func Days(seed uint64, gateways, hosts int) []Day {
	base := Day{
		Seed:         seed,
		Gateways:     gateways,
		Hosts:        hosts,
		Rate:         float64(15 * hosts),
		Customers:    2000,
		TrafficSigma: 0.7,
		Slots:        12,
		WorkTime:     400 * time.Millisecond,
		Duration:     dayDuration,
	}
	day := func(name string, change func(d *Day)) Day {
		changed := base
		changed.Name = name
		change(&changed)
		return changed
	}
	withStep := func(name string, kind StepKind, count int, duration time.Duration) Day {
		return day(name, func(d *Day) { d.Steps = []Step{{stepAt, kind, count, duration}} })
	}
	return []Day{
		day("steady, even traffic", func(d *Day) { d.TrafficSigma = 0 }),
		day("steady, unequal traffic", func(d *Day) {}),
		day("a quarter of that traffic", func(d *Day) {
			d.Rate /= 4
			d.Slots = 3
		}),
		day("one gateway with ten times the mean", func(d *Day) { d.HeavyFactor = 10 }),
		day("a host with a quarter of the weight", func(d *Day) { d.LightHosts = 1 }),
		day("one host in eight three times as slow", func(d *Day) {
			d.SlowHosts = hosts / 8
			d.Slots = 14
		}),
		withStep("a cold host joins", JoinHosts, 1, 0),
		withStep("one host in 20 is silent for 6 s", SilenceHosts, hosts/20, 6*time.Second),
		withStep("one in 20 replaced, half hear 6 s late", ReplaceWithDelayedLists, hosts/20, 6*time.Second),
		withStep("six in ten replaced within 7 s", ReplaceHosts, hosts*6/10, 7*time.Second),
		withStep("seven in ten gateways restart", RestartGateways, 70, time.Second),
		withStep("three in ten gateways cut off from a third for 6 s", PartitionGateways, 30, 6*time.Second),
	}
}

// Head is the head of Row's table. Figures by chance are in parentheses.
const Head = "| day | rule | seed | worst of 10 s | mean of 1 s | idle 2 s, mean in 2 s | longest over 1.5 | " +
	"most in 1 s | hosts used | passed | time |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// Row simulates a day and returns its figures as a row of a table under Head.
func Row(day Day, rule string) string {
	result := Run(day)
	long, longChance := result.Windows(stepAt, day.Duration, 10*time.Second)
	short, shortChance := result.Windows(stepAt, day.Duration, time.Second)
	idle, idleChance, mean := result.IdleHosts(stepAt, day.Duration)
	overload, overloadChance := result.Overload(stepAt, day.Duration)
	return fmt.Sprintf("| %s | %s | %d | %.2f..%.2f (%.2f..%.2f) | %.2f..%.2f (%.2f..%.2f) | %d (%d) of %.1f | "+
		"%.1f (%.1f) s | %.1f (%.1f) | %.1f | %.3f | %d ms |\n",
		day.Name, rule, day.Seed, long.Least, long.Most, longChance.Least, longChance.Most,
		short.MeanLeast, short.MeanMost, shortChance.MeanLeast, shortChance.MeanMost, idle, idleChance, mean,
		overload.Longest.Seconds(), overloadChance.Longest.Seconds(), overload.Most, overloadChance.Most,
		result.HostsUsed, float64(result.Succeeded)/float64(result.Requests), result.MeanLatency().Milliseconds())
}

// Measure simulates all days at 300 gateways, with the previous rule of subsets and the one in use, a few at a time.
func Measure(seeds []uint64) string {
	var group errgroup.Group
	group.SetLimit(measuredRuns)
	var rows []*string
	addRow := func(day Day, rule string) {
		row := new(string)
		rows = append(rows, row)
		group.Go(func() error {
			*row = Row(day, rule)
			return nil
		})
	}
	for _, hosts := range []int{200, 60} {
		for _, day := range Days(0, 300, hosts) {
			for _, seed := range seeds {
				day.Seed = seed
				previous := day
				previous.Rule = PreviousRule
				addRow(previous, "landed")
				addRow(day, "dealt")
			}
		}
	}
	group.Wait()
	text := "300 gateways, 200 hosts; below 60\n\n" + Head
	for _, row := range rows {
		text += *row
	}
	return text
}
