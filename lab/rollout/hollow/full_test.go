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
	into  = flag.String("into", "", "folder of rollout-scale.json and rollout-scale.md, of which the measured parts are replaced; empty prints the text only")
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

	// Snapshots that a publisher sends in the restarts with a medium configuration: a sixteenth of the defaults, as the
	// document is about a tenth of the operators'.
	limitedRate  = 4 << 20 // bytes a second
	limitedBurst = 2 << 20 // bytes

	comparedPace = 250 * time.Millisecond
)

var (
	// largeContent has as many quota plans as the operators expect. Followers of it are few: all of them decode it at once
	// on the processors of one machine, where each gateway has its own.
	largeContent = Content{Plans: 54_000, Classes: 4}

	// mediumContent is beyond what a delta may hold, so that it goes as a snapshot.
	mediumContent = Content{Plans: 8_000, Classes: 4}
)

// The full size writes figures; what decides is as in CI, counts and bytes.
func TestFull(t *testing.T) {
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
			report.Begin(part.name, command)
			part.run(t, ctx, report)
			report.End(part.name, &lines)
			save(t, report)
		}
	}
	report.Text(os.Stdout)
	for _, fault := range report.Faults() {
		t.Error(fault)
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

// fullShape is what is measured at each size.
func fullShape(followers int, content Content) Shape {
	return Shape{
		Setup:   Setup{Followers: followers, Content: content},
		Rest:    fullRest,
		Changes: fullChanges,
		Pace:    fullPace,
		Burst:   fullBurst,
	}
}

func measureFollowers(t *testing.T, ctx context.Context, report *Report) {
	var points []*Point
	for _, text := range strings.Split(*sizes, ",") {
		followers, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		point, err := fullShape(followers, smallContent).Measure(ctx)
		if err != nil {
			t.Fatal(err)
		}
		points = append(points, point)
		report.Axis = NewAxis(points)
		save(t, report)
	}
}

func measureLarge(t *testing.T, ctx context.Context, report *Report) {
	point, err := fullShape(largeFollowers, largeContent).Measure(ctx)
	if err != nil {
		t.Fatal(err)
	}
	report.Large = []*Point{point}
}

func measureRestarts(t *testing.T, ctx context.Context, report *Report) {
	report.Storms = nil
	limited := rollout.PublisherSettings{SnapshotBytesPerSecond: limitedRate, SnapshotBurstBytes: limitedBurst}
	for _, setup := range []Setup{
		{Followers: zoneFollowers, Content: smallContent},
		{Followers: zoneFollowers, Content: mediumContent, Settings: limited},
		{Followers: largeFollowers, Content: largeContent},
	} {
		restartAll(t, ctx, report, setup)
	}
}

// restartAll restarts all followers of a group in each of the ways that there are.
func restartAll(t *testing.T, ctx context.Context, report *Report, setup Setup) {
	const missed = 5
	g := startGroup(ctx, t, setup)
	defer g.Close()
	for _, s := range []storm{
		{What: "with their disks", Followers: setup.Followers, Missed: missed},
		{What: "with empty disks", Followers: setup.Followers, Missed: missed, Empty: true},
		{What: "no publisher up, with their disks", Followers: setup.Followers, Alone: true},
		{What: "no publisher up, with empty disks", Followers: setup.Followers, Alone: true, Empty: true},
	} {
		result, err := g.restart(ctx, s)
		if err != nil {
			t.Fatalf("%s: %v", s.What, err)
		}
		report.Storms = append(report.Storms, result)
		save(t, report)
	}
}

func measureComparison(t *testing.T, ctx context.Context, report *Report) {
	comparison, err := compared{
		Gateways: 20,
		Changes:  40,
		Pace:     comparedPace,
		Rest:     10 * time.Second,
		Setup:    Setup{Content: smallContent},
	}.Compare(ctx)
	if err != nil {
		t.Fatal(err)
	}
	report.Compared = comparison
}
