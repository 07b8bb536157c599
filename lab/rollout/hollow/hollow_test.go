package hollow

import (
	"context"
	"math"
	"os"
	"testing"
	"time"

	"ravensill/internal/logging"
	"ravensill/lab/rollout"
)

const testTimeout = 3 * time.Minute // no verdict, only an end

// lines counts the log lines of all followers of this test process.
var lines Lines

func TestMain(m *testing.M) {
	logging.SetOutput(&lines)
	os.Exit(m.Run())
}

// smallContent is a configuration of CI's size.
var smallContent = Content{Plans: 100, Classes: 4}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Each change comes to each follower once, by a delta whose bytes do not depend on the number of followers, and the
// publishers send as much more as there are more followers. Verdicts are by counts and bytes.
func TestSmall(t *testing.T) {
	const changes = 12
	const burst = 40
	ctx := testContext(t)
	var points []*Point
	for _, followers := range []int{25, 50, 100, 200, 400} {
		shape := Shape{Setup: Setup{Followers: followers, Content: smallContent}, Changes: changes, Burst: burst}
		point, err := shape.Measure(ctx)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d followers: %v", followers, point.Figures)
		points = append(points, point)
	}
	axis := NewAxis(points)
	for _, fault := range axis.Faults() {
		t.Error(fault)
	}
	t.Log(lines.Events())
}

// Followers that restart at once go on from their disks and get deltas; snapshots go to those alone that have no disk or
// that missed more than the publishers keep.
func TestRestarts(t *testing.T) {
	const followers = 200
	const kept = 16 // deltas in the publishers' history
	ctx := testContext(t)
	g := startGroup(ctx, t, Setup{
		Followers: followers,
		Content:   smallContent,
		Settings:  rollout.PublisherSettings{HistoryDeltas: kept},
	})
	defer g.Close()
	for _, test := range []struct {
		storm
		fromDisk, snapshots int
	}{
		{storm{What: "with their disks", Followers: followers, Missed: 3}, followers, 0},
		{storm{What: "more missed than is kept", Followers: followers, Missed: kept + 4}, followers, followers},
		{storm{What: "with empty disks", Followers: followers, Empty: true, Missed: 3}, 0, followers},
		{storm{What: "half of them", Followers: followers / 2, Missed: 3}, followers / 2, 0},
		{storm{What: "no publisher up, with their disks", Followers: followers, Alone: true}, followers, 0},
		{storm{What: "no publisher up, with empty disks", Followers: followers, Empty: true, Alone: true}, 0, followers},
	} {
		result, err := g.restart(ctx, test.storm)
		if err != nil {
			t.Fatalf("%s: %v", test.What, err)
		}
		t.Logf("%+v", *result)
		for _, fault := range result.Faults {
			t.Errorf("%s: %s", test.What, fault)
		}
		if test.Alone && result.Old > 0 {
			t.Errorf("%s: an older version than the latest came in force %d times", test.What, result.Old)
		}
		if result.FromDisk != test.fromDisk || result.Snapshots != test.snapshots {
			t.Errorf("%s: %d began from their disks, not %d; %d snapshots, not %d", test.What, result.FromDisk, test.fromDisk,
				result.Snapshots, test.snapshots)
		}
	}
}

// startGroup gives a group whose followers all have the first version in force. The caller closes it.
func startGroup(ctx context.Context, t *testing.T, setup Setup) *Group {
	t.Helper()
	g, err := NewGroup(ctx, setup)
	if err != nil {
		t.Fatal(err)
	}
	err = g.Fleet.Start(g.Fleet.members())
	if err == nil {
		err = g.everywhere(ctx)
	}
	if err != nil {
		g.Close()
		t.Fatal(err)
	}
	return g
}

// A hollow follower receives, sends and puts in force what a process of the program does.
func TestComparison(t *testing.T) {
	const margin = 0.2
	comparison, err := compared{
		Gateways: 6,
		Changes:  20,
		Setup:    Setup{Content: smallContent},
	}.Compare(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", *comparison)
	if comparison.Real.Versions != 1 || comparison.Hollow.Versions != 1 {
		t.Errorf("%g and %g versions a change in force at real gateways and at hollow followers", comparison.Real.Versions,
			comparison.Hollow.Versions)
	}
	ratio := comparison.Ratio()
	if math.Abs(ratio.BytesIn-1) > margin || math.Abs(ratio.BytesOut-1) > margin {
		t.Errorf("real gateways receive %.2f and send %.2f times as many bytes as hollow followers", ratio.BytesIn, ratio.BytesOut)
	}
}
