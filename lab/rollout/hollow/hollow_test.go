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

const testTimeout = 3 * time.Minute // only stops a run that hangs, no latency is judged by it

// logEvents counts the log lines of all followers in this test process.
var logEvents EventCounter

func TestMain(m *testing.M) {
	logging.SetOutput(&logEvents)
	os.Exit(m.Run())
}

// smallConfiguration is the size of the configuration in the CI tests.
var smallConfiguration = ConfigurationSize{Plans: 100, Classes: 4}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

// Guards against costs that grow faster than the fleet. Each follower must receive each change exactly once, by a delta
// whose bytes do not depend on the number of followers, and the bytes that the publishers send must grow linearly with
// that number. Only counts and bytes are checked, not times.
func TestChangeCostPerFollowerIsConstant(t *testing.T) {
	const changes = 12
	const burst = 40
	ctx := testContext(t)
	var points []*Point
	for _, followers := range []int{25, 50, 100, 200, 400} {
		measurement := Measurement{
			Options:      Options{Followers: followers, Configuration: smallConfiguration},
			Changes:      changes,
			BurstChanges: burst,
		}
		point, err := measurement.Measure(ctx)
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
	restartedFollowers   = 200
	restartHistoryDeltas = 16 // deltas that the publishers' history holds
)

// restartTest is a restart with the expected number of followers that start from their disks and that receive
// snapshots.
type restartTest struct {
	restartOptions
	fromDisk  int
	snapshots int
}

var restartTests = []restartTest{
	{
		restartOptions: restartOptions{Description: "with their disks", Followers: restartedFollowers, MissedVersions: 3},
		fromDisk:       restartedFollowers,
	},
	{
		restartOptions: restartOptions{
			Description:    "more missed than the history has",
			Followers:      restartedFollowers,
			MissedVersions: restartHistoryDeltas + 4,
		},
		fromDisk:  restartedFollowers,
		snapshots: restartedFollowers,
	},
	{
		restartOptions: restartOptions{
			Description:    "with empty disks",
			Followers:      restartedFollowers,
			EmptyDisks:     true,
			MissedVersions: 3,
		},
		snapshots: restartedFollowers,
	},
	{
		restartOptions: restartOptions{Description: "half of them", Followers: restartedFollowers / 2, MissedVersions: 3},
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

// Followers that restart at once must resume with their stored version and receive deltas. Only followers without a
// stored version, or that missed more versions than the publishers' history holds, may receive snapshots.
func TestRestartedFollowersResumeFromDisk(t *testing.T) {
	ctx := testContext(t)
	g := startGroup(ctx, t, Options{
		Followers:     restartedFollowers,
		Configuration: smallConfiguration,
		Settings:      rollout.PublisherSettings{HistoryDeltas: restartHistoryDeltas},
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
			t.Errorf("%s: %d started from their disks, want %d; %d snapshots, want %d",
				test.Description, result.FromDisk, test.fromDisk, result.Snapshots, test.snapshots)
		}
	}
}

// startGroup returns a group whose followers all have the first version in force. The caller must close it.
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

// A simulated follower must receive, send and put in force as much as a real gateway process does. Otherwise the
// figures measured with simulated followers would not apply to gateways.
func TestHollowFollowerMatchesRealGateway(t *testing.T) {
	const margin = 0.2
	comparison, err := comparisonOptions{
		Gateways: 6,
		Changes:  20,
		Options:  Options{Configuration: smallConfiguration},
	}.Compare(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", *comparison)
	if comparison.Real.Versions != 1 || comparison.Simulated.Versions != 1 {
		t.Errorf("%g versions per change came in force at real gateways and %g at simulated followers, want 1",
			comparison.Real.Versions, comparison.Simulated.Versions)
	}
	ratio := comparison.Ratio()
	if math.Abs(ratio.BytesIn-1) > margin || math.Abs(ratio.BytesOut-1) > margin {
		t.Errorf("real gateways receive %.2f and send %.2f times as many bytes as simulated followers",
			ratio.BytesIn, ratio.BytesOut)
	}
}
