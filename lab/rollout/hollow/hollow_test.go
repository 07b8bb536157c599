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

// logEvents counts the log lines of all followers of this test process.
var logEvents EventCounter

func TestMain(m *testing.M) {
	logging.SetOutput(&logEvents)
	os.Exit(m.Run())
}

// smallContent is a configuration of CI's size.
var smallContent = ConfigurationSize{Plans: 100, Classes: 4}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Each change comes to each follower once, by a delta whose bytes do not depend on the number of followers, and the
// publishers send as much more as there are more followers. Verdicts are by counts and bytes.
func TestChangeCostPerFollowerIsConstant(t *testing.T) {
	const changes = 12
	const burst = 40
	ctx := testContext(t)
	var points []*Point
	for _, followers := range []int{25, 50, 100, 200, 400} {
		shape := Measurement{Options: Options{Followers: followers, Configuration: smallContent}, Changes: changes, BurstChanges: burst}
		point, err := shape.Measure(ctx)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d followers: %v", followers, point.Values)
		points = append(points, point)
	}
	axis := NewScalingSeries(points)
	for _, violation := range axis.Violations() {
		t.Error(violation)
	}
	t.Log(logEvents.Events())
}

const (
	restartedFollowers = 200
	restartHistory     = 16 // deltas that the publishers keep
)

// restartTest is a restart and how many followers are to start from their disks and by snapshots.
type restartTest struct {
	restartOptions
	fromDisk  int
	snapshots int
}

var restartTests = []restartTest{
	{
		restartOptions: restartOptions{Description: "with their disks", Followers: restartedFollowers, Missed: 3},
		fromDisk:       restartedFollowers,
	},
	{
		restartOptions: restartOptions{
			Description: "more missed than the history has",
			Followers:   restartedFollowers,
			Missed:      restartHistory + 4,
		},
		fromDisk:  restartedFollowers,
		snapshots: restartedFollowers,
	},
	{
		restartOptions: restartOptions{
			Description: "with empty disks",
			Followers:   restartedFollowers,
			EmptyDisks:  true,
			Missed:      3,
		},
		snapshots: restartedFollowers,
	},
	{
		restartOptions: restartOptions{Description: "half of them", Followers: restartedFollowers / 2, Missed: 3},
		fromDisk:       restartedFollowers / 2,
	},
	{
		restartOptions: restartOptions{
			Description:       "no publisher up, with their disks",
			Followers:         restartedFollowers,
			WithoutPublishers: true,
		},
		fromDisk: restartedFollowers,
	},
	{
		restartOptions: restartOptions{
			Description:       "no publisher up, with empty disks",
			Followers:         restartedFollowers,
			EmptyDisks:        true,
			WithoutPublishers: true,
		},
		snapshots: restartedFollowers,
	},
}

// Followers that restart at once go on from their disks and get deltas; snapshots go to those alone that have no disk
// or that missed more than the publishers keep.
func TestRestartedFollowersResumeFromDisk(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(ctx, t, Options{
		Followers:     restartedFollowers,
		Configuration: smallContent,
		Settings:      rollout.PublisherSettings{HistoryDeltas: restartHistory},
	})
	defer g.Close()
	for _, test := range restartTests {
		result, err := g.restartFollowers(ctx, test.restartOptions)
		if err != nil {
			t.Fatalf("%s: %v", test.Description, err)
		}
		t.Logf("%+v", *result)
		for _, violation := range result.Violations {
			t.Errorf("%s: %s", test.Description, violation)
		}
		if test.WithoutPublishers && result.OlderVersions > 0 {
			t.Errorf("%s: a version older than the latest came in force %d times", test.Description, result.OlderVersions)
		}
		if result.FromDisk != test.fromDisk || result.Snapshots != test.snapshots {
			t.Errorf("%s: %d started from their disks, not %d; %d snapshots, not %d",
				test.Description, result.FromDisk, test.fromDisk, result.Snapshots, test.snapshots)
		}
	}
}

// startGroup returns a group whose followers all have the first version in force. The caller closes it.
func startGroup(ctx context.Context, t *testing.T, options Options) *Group {
	t.Helper()
	g, err := NewGroup(ctx, options)
	if err != nil {
		t.Fatal(err)
	}
	err = g.Fleet.Start(g.Fleet.members())
	if err == nil {
		err = g.waitEverywhere(ctx)
	}
	if err != nil {
		g.Close()
		t.Fatal(err)
	}
	return g
}

// A hollow follower receives, sends and puts in force what a process of the program does.
func TestHollowFollowerMatchesRealGateway(t *testing.T) {
	const margin = 0.2
	comparison, err := comparisonOptions{
		Gateways: 6,
		Changes:  20,
		Options:  Options{Configuration: smallContent},
	}.Compare(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", *comparison)
	if comparison.Real.Versions != 1 || comparison.Simulated.Versions != 1 {
		t.Errorf("%g and %g versions a change in force at real gateways and at hollow followers", comparison.Real.Versions,
			comparison.Simulated.Versions)
	}
	ratio := comparison.Ratio()
	if math.Abs(ratio.BytesIn-1) > margin || math.Abs(ratio.BytesOut-1) > margin {
		t.Errorf("real gateways receive %.2f and send %.2f times as many bytes as hollow followers",
			ratio.BytesIn, ratio.BytesOut)
	}
}
