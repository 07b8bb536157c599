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
	full  = flag.Bool("full", false, "the full-size measurement")
	sizes = flag.String("sizes", "375,1000,2000,4000,6000", "numbers of followers of the full measurement")
	parts = flag.String("parts", "followers,large,restarts,compare", "what the full measurement does")
	into  = flag.String("into", "", "folder of rollout-scale.json and .md, of which the measured parts are replaced; "+
		"empty prints the text only")
)

const (
	fullTimeout = 10 * time.Minute
	heapLimit   = 8 << 30 // bytes of this process; the publishers come beside it

	// A change each 4.3 s is 20,000 a day.
	fullPace    = 4300 * time.Millisecond
	fullChanges = 5
	fullBurst   = 300
	fullRest    = 8 * time.Second

	largeFollowers = 20
	zoneFollowers  = 200 // gateways of a zone, restarted at once

	// Limits of the snapshots that a publisher sends in restarts with a medium configuration: a sixteenth of the defaults,
	// as the document is about a tenth of the operators'.
	limitedRate  = 4 << 20 // bytes a second
	limitedBurst = 2 << 20 // bytes

	comparedPace = 250 * time.Millisecond
)

var (
	// largeContent has as many quota plans as the operators expect. Followers of it are few: all of them decode it at once
	// on the processors of one machine, where each gateway has its own.
	largeContent = ConfigurationSize{Plans: 54_000, Classes: 4}

	// mediumContent exceeds the limit of a delta, so that it is sent as a snapshot.
	mediumContent = ConfigurationSize{Plans: 8_000, Classes: 4}
)

// The full size writes figures; the verdict is by counts and bytes, as in CI.
func TestFullSizeFigures(t *testing.T) {
	if !*full {
		t.Skip("no -full")
	}
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(heapLimit))
	ctx, cancel := context.WithTimeout(context.Background(), fullTimeout)
	defer cancel()
	report, err := NewReport(*into)
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
		if strings.Contains(*parts, part.name) {
			report.BeginPart(part.name, command)
			part.run(t, ctx, report)
			report.EndPart(part.name, &logEvents)
			save(t, report)
		}
	}
	report.WriteText(os.Stdout)
	for _, violation := range report.Violations() {
		t.Error(violation)
	}
}

func save(t *testing.T, report *Report) {
	if *into == "" {
		return
	}
	err := report.Write(*into)
	if err != nil {
		t.Fatal(err)
	}
}

// fullMeasurement returns what is measured at each size.
func fullMeasurement(followers int, content ConfigurationSize) Measurement {
	return Measurement{
		Options:        Options{Followers: followers, Configuration: content},
		IdleDuration:   fullRest,
		Changes:        fullChanges,
		ChangeInterval: fullPace,
		BurstChanges:   fullBurst,
	}
}

// measureFollowers measures each number of followers.
func measureFollowers(t *testing.T, ctx context.Context, report *Report) {
	var points []*Point
	for _, text := range strings.Split(*sizes, ",") {
		followers, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		point, err := fullMeasurement(followers, smallContent).Measure(ctx)
		if err != nil {
			t.Fatal(err)
		}
		points = append(points, point)
		report.ByFollowers = NewScalingSeries(points)
		save(t, report)
	}
}

// measureLarge measures a large configuration.
func measureLarge(t *testing.T, ctx context.Context, report *Report) {
	point, err := fullMeasurement(largeFollowers, largeContent).Measure(ctx)
	if err != nil {
		t.Fatal(err)
	}
	report.LargeConfigurations = []*Point{point}
}

// measureRestarts measures restarts of all followers with configurations of several sizes.
func measureRestarts(t *testing.T, ctx context.Context, report *Report) {
	report.Restarts = nil
	limited := rollout.PublisherSettings{SnapshotBytesPerSecond: limitedRate, SnapshotBurstBytes: limitedBurst}
	for _, options := range []Options{
		{Followers: zoneFollowers, Configuration: smallContent},
		{Followers: zoneFollowers, Configuration: mediumContent, Settings: limited},
		{Followers: largeFollowers, Configuration: largeContent},
	} {
		restartAll(t, ctx, report, options)
	}
}

// restartAll restarts all followers of a group in each way.
func restartAll(t *testing.T, ctx context.Context, report *Report, options Options) {
	const missed = 5
	g := startGroup(ctx, t, options)
	defer g.Close()
	for _, options := range []restartOptions{
		{Description: "with their disks", Followers: options.Followers, Missed: missed},
		{Description: "with empty disks", Followers: options.Followers, Missed: missed, EmptyDisks: true},
		{Description: "no publisher up, with their disks", Followers: options.Followers, WithoutPublishers: true},
		{Description: "no publisher up, with empty disks", Followers: options.Followers, WithoutPublishers: true,
			EmptyDisks: true},
	} {
		result, err := g.restartFollowers(ctx, options)
		if err != nil {
			t.Fatalf("%s: %v", options.Description, err)
		}
		report.Restarts = append(report.Restarts, result)
		save(t, report)
	}
}

// measureComparison compares hollow followers with processes of the gateway.
func measureComparison(t *testing.T, ctx context.Context, report *Report) {
	comparison, err := comparisonOptions{
		Gateways:       20,
		Changes:        40,
		ChangeInterval: comparedPace,
		Rest:           10 * time.Second,
		Options:        Options{Configuration: smallContent},
	}.Compare(ctx)
	if err != nil {
		t.Fatal(err)
	}
	report.Comparison = comparison
}
