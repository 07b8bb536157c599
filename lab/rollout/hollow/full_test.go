package hollow

import (
	"context"
	"flag"
	"os"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"ravensill/lab/rollout"
)

var (
	fullSize       = flag.Bool("full", false, "run the full-size measurement")
	followerCounts = flag.String("sizes", "375,1000,2000,4000,6000", "numbers of followers of the full measurement")
	measuredParts  = flag.String("parts", "followers,large,restarts,compare", "parts of the full measurement to run")
	outputDir      = flag.String("into", "",
		"directory of rollout-scale.json and .md, in which the measured parts are replaced; "+
			"empty only prints the text")
)

const (
	fullTimeout = 10 * time.Minute
	heapLimit   = 8 << 30 // bytes, for this process; publishers run in processes of their own

	// One change every 4.3 s makes 20,000 changes a day.
	fullChangeInterval = 4300 * time.Millisecond
	fullChanges        = 5
	fullBurst          = 300
	fullIdleDuration   = 8 * time.Second

	largeFollowers = 20
	zoneFollowers  = 200 // gateways of a zone, all restarted at once

	// Limits of the snapshots that a publisher sends while followers restart with the medium configuration. They are a
	// sixteenth of the publishers' defaults, as the configuration is about a tenth of what the operators expect.
	limitedSnapshotRate  = 4 << 20 // bytes per second
	limitedSnapshotBurst = 2 << 20 // bytes

	comparedChangeInterval = 250 * time.Millisecond
)

var (
	// largeConfiguration has as many quota plans as the operators expect. It is measured with few followers: they all
	// decode it at the same time on the processors of one machine, whereas each real gateway has processors of its own.
	largeConfiguration = ConfigurationSize{Plans: 54_000, Classes: 4}

	// mediumConfiguration exceeds the size limit of a delta, so that it is sent as a snapshot.
	mediumConfiguration = ConfigurationSize{Plans: 8_000, Classes: 4}
)

// The full-size run measures and reports figures. It fails on wrong counts and bytes only, as the CI tests do, never on
// times.
func TestFullSizeFigures(t *testing.T) {
	if !*fullSize {
		t.Skip("no -full")
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(heapLimit))
	ctx, cancel := context.WithTimeout(context.Background(), fullTimeout)
	defer cancel()
	report, err := NewReport(*outputDir)
	if err != nil {
		t.Fatal(err)
	}
	command := "go test " + strings.Join(os.Args[1:], " ")
	for _, part := range []struct {
		name string
		run  func(*testing.T, context.Context, *Report)
	}{
		{"followers", measureFollowers},
		{"large", measureLarge},
		{"restarts", measureRestarts},
		{"compare", measureComparison},
	} {
		if strings.Contains(*measuredParts, part.name) {
			report.BeginPart(part.name, command)
			part.run(t, ctx, report)
			report.EndPart(part.name, &logEvents)
			saveReport(t, report)
		}
	}
	report.WriteText(os.Stdout)
	for _, violation := range report.Violations() {
		t.Error(violation)
	}
}

// saveReport writes the report into the directory given by -into, if one is given.
func saveReport(t *testing.T, report *Report) {
	if *outputDir == "" {
		return
	}
	err := report.Write(*outputDir)
	if err != nil {
		t.Fatal(err)
	}
}

// fullMeasurement returns the measurement made for one number of followers and one configuration size.
func fullMeasurement(followers int, content ConfigurationSize) Measurement {
	return Measurement{
		Options:        Options{Followers: followers, Configuration: content},
		IdleDuration:   fullIdleDuration,
		Changes:        fullChanges,
		ChangeInterval: fullChangeInterval,
		BurstChanges:   fullBurst,
	}
}

// measureFollowers measures each number of followers given by -sizes.
func measureFollowers(t *testing.T, ctx context.Context, report *Report) {
	var points []*Point
	for _, text := range strings.Split(*followerCounts, ",") {
		followers, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		point, err := fullMeasurement(followers, smallConfiguration).Measure(ctx)
		if err != nil {
			t.Fatal(err)
		}
		points = append(points, point)
		report.ByFollowers = NewScalingSeries(points)
		saveReport(t, report)
	}
}

// measureLarge measures a few followers with a large configuration.
func measureLarge(t *testing.T, ctx context.Context, report *Report) {
	point, err := fullMeasurement(largeFollowers, largeConfiguration).Measure(ctx)
	if err != nil {
		t.Fatal(err)
	}
	report.LargeConfigurations = []*Point{point}
}

// measureRestarts measures restarts of all followers at once with configurations of several sizes.
func measureRestarts(t *testing.T, ctx context.Context, report *Report) {
	report.Restarts = nil
	limited := rollout.PublisherSettings{
		SnapshotBytesPerSecond: limitedSnapshotRate,
		SnapshotBurstBytes:     limitedSnapshotBurst,
	}
	for _, options := range []Options{
		{Followers: zoneFollowers, Configuration: smallConfiguration},
		{Followers: zoneFollowers, Configuration: mediumConfiguration, Settings: limited},
		{Followers: largeFollowers, Configuration: largeConfiguration},
	} {
		restartAll(t, ctx, report, options)
	}
}

// restartAll restarts all followers at once: with their disks and with empty ones, while publishers run and while none
// does.
func restartAll(t *testing.T, ctx context.Context, report *Report, options Options) {
	const missed = 5
	g := startGroup(ctx, t, options)
	defer g.Close()
	for _, options := range []restartOptions{
		{Description: "with their disks", Followers: options.Followers, MissedVersions: missed},
		{Description: "with empty disks", Followers: options.Followers, MissedVersions: missed, EmptyDisks: true},
		{Description: "no publisher up, with their disks", Followers: options.Followers, WithoutPublishers: true},
		{Description: "no publisher up, with empty disks", Followers: options.Followers, WithoutPublishers: true,
			EmptyDisks: true},
	} {
		result, err := g.restartFollowers(ctx, options)
		if err != nil {
			t.Fatalf("%s: %v", options.Description, err)
		}
		report.Restarts = append(report.Restarts, result)
		saveReport(t, report)
	}
}

// measureComparison compares simulated followers with real gateway processes.
func measureComparison(t *testing.T, ctx context.Context, report *Report) {
	comparison, err := comparisonOptions{
		Gateways:       20,
		Changes:        40,
		ChangeInterval: comparedChangeInterval,
		IdleDuration:   10 * time.Second,
		Options:        Options{Configuration: smallConfiguration},
	}.Compare(ctx)
	if err != nil {
		t.Fatal(err)
	}
	report.Comparison = comparison
}
