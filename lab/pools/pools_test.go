package pools

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/figures"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
)

// full makes the tests run at full size and write their figures to figuresFile.
var full = os.Getenv("FULL_SIZE") == "1"

const (
	runTimeout  = 4 * time.Minute // ends a run that hangs; it is not a bound on the duration
	figuresFile = "../../docs/measurements/pool.txt"
)

// testSize returns the size of a run: 24 gateways in CI, 200 with FULL_SIZE=1.
func testSize() Size {
	if full {
		return FullSize()
	}
	return SmallSize()
}

// testRun describes one run of a fleet: its size, the steps that inject faults, and the checks that must hold.
type testRun struct {
	name        string
	size        Size
	duration    time.Duration
	figuresFrom time.Duration // offset from the start at which the figures begin
	checks      []fleet.Check
	steps       func(*Group) []fleet.Step // may be nil
	load        *emulator.Load            // nil: that of the size
	// changeOptions changes the options of the fleet; may be nil.
	changeOptions func(*fleet.Options)
}

// run runs the fleet, fails the test if a check finds a violation, and logs the figures.
func (r testRun) run(t *testing.T) (figures Figures, report *fleet.Report) {
	t.Helper()
	group, options := r.size.NewGroup()
	if r.changeOptions != nil {
		r.changeOptions(&options)
	}
	measure := fleet.Check{Name: "figures", FindViolation: func(report *fleet.Report) string {
		figures = group.Figures(report, r.figuresFrom)
		return ""
	}}
	scenario := fleet.Scenario{
		Name:     r.name,
		Options:  options,
		Loads:    []emulator.Load{r.size.Load()},
		Duration: r.duration,
		Checks:   append(r.checks, measure),
	}
	if r.load != nil {
		scenario.Loads = []emulator.Load{*r.load}
	}
	if r.steps != nil {
		scenario.Steps = r.steps(group)
	}
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	report, err := scenario.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := report.Err(); err != nil {
		t.Error(err)
	}
	logFigures(t, fmt.Sprintf("%s, %d gateways, capacity %d, %g requests a second: %s",
		r.name, r.size.Gateways, r.size.Capacity, r.size.Rate, figures))
	return figures, report
}

// logFigures logs a text. At full size it also appends the text to figuresFile, with the machine's load average.
func logFigures(t *testing.T, text string) {
	t.Helper()
	t.Log(text)
	if !full {
		return
	}
	load, _ := os.ReadFile("/proc/loadavg")
	err := figures.Append(figuresFile, fmt.Sprintf("%s (load of the machine %.5s)\n", text, load))
	if err != nil {
		t.Fatal(err)
	}
}

// With negotiated quotas the store never has more connections than its capacity. For comparison, the test measures a
// fleet without quotas, and at full size also an equal split and floors without leases.
func TestNegotiatedQuotasKeepCapacity(t *testing.T) {
	size := testSize()
	run := testRun{
		name:        "negotiated",
		size:        size,
		duration:    9 * second,
		figuresFrom: 5 * second,
		checks:      size.Checks(),
	}
	if full {
		run.duration = 18 * second
		run.figuresFrom = 10 * second
	}
	run.run(t)

	run.checks = nil
	run.name = "first come"
	run.size.Unmanaged = true
	if figures, _ := run.run(t); figures.Refused == 0 {
		t.Log("the store refused no connection to a fleet without quotas")
	}
	if !full {
		return
	}
	run.name = "equal split"
	run.size = size.EqualSplit()
	run.run(t)
	run.name = "floors alone"
	run.size = size
	run.size.FloorsOnly = true
	run.run(t)
}

// Measures, at full size only, a demand beyond the capacity with each way to share it.
func TestFullSizeOverload(t *testing.T) {
	if !full {
		t.Skip("set FULL_SIZE=1 to measure a demand beyond the capacity")
	}
	for _, size := range []Size{SmallSize(), FullSize()} {
		t.Run(fmt.Sprint(size.Gateways), func(t *testing.T) {
			size.ServiceTime = 400 * time.Millisecond
			size.Rate = 1.5 * float64(size.Capacity) / size.ServiceTime.Seconds()
			even := size
			even.HotGateways = 0
			testRun{
				name:        "demand beyond at each, negotiated",
				size:        even,
				duration:    20 * second,
				figuresFrom: 12 * second,
			}.run(t)
			unmanaged := size
			unmanaged.Unmanaged = true
			floorsOnly := size
			floorsOnly.FloorsOnly = true
			for _, variant := range []struct {
				name string
				size Size
			}{
				{"negotiated", size},
				{"first come", unmanaged},
				{"equal split", size.EqualSplit()},
				{"floors alone", floorsOnly},
			} {
				testRun{
					name:        "demand beyond, " + variant.name,
					size:        variant.size,
					duration:    24 * second,
					figuresFrom: 14 * second,
				}.run(t)
			}
		})
	}
}

// Under faults of the network and of processes the store never has more connections than its capacity.
func TestNetworkFaultsKeepCapacity(t *testing.T) {
	size := testSize()
	testRun{
		name:        "network",
		size:        size,
		duration:    22 * second,
		figuresFrom: 3 * second,
		checks:      size.Checks(),
		steps:       (*Group).NetworkFaults,
	}.run(t)
}

// While a minority, a majority and all of the voters are killed, the store never has more connections than its
// capacity.
func TestVoterFaultsKeepCapacity(t *testing.T) {
	size := testSize()
	size.Voters = 5
	testRun{
		name:        "voters",
		size:        size,
		duration:    26 * second,
		figuresFrom: 3 * second,
		checks:      size.Checks(),
		steps:       (*Group).VoterFaults,
	}.run(t)
}

// When the capacity is lowered, no request is aborted or lost, and the number of the store's connections falls to the
// new capacity.
func TestLoweredCapacityIsReached(t *testing.T) {
	size := testSize()
	size.Rate *= 1.6
	lowered := size.Capacity * 6 / 10
	_, report := testRun{
		name:        "lowered",
		size:        size,
		duration:    12 * second,
		figuresFrom: 3 * second,
		checks:      size.Checks(),
		steps: func(group *Group) []fleet.Step {
			return []fleet.Step{group.ChangeCapacity(6*second, lowered, 2)}
		},
	}.run(t)
	duration, stillAbove := TimeAbove(report, InjectedAt(report, capacityDescription(lowered)), lowered)
	if stillAbove {
		t.Error("the store's connections never fell to the lowered capacity")
		return
	}
	logFigures(t, fmt.Sprintf("at most %d connections %d ms after the operators said so",
		lowered, duration.Milliseconds()))
}

// Processes that are frozen for longer than the lease and the quarantine keep connections that are lent to others
// meanwhile. The capacity is then exceeded by no more than the units that they had been lent, and no request is lost.
func TestFreezePastLeaseExceedsCapacityByLentUnits(t *testing.T) {
	size := testSize()
	size.Rate *= 1.6
	size.Lease = 600 * time.Millisecond
	peak := 0
	units := 0
	withinLent := fleet.Check{
		Name: "beyond the capacity by what the frozen gateways had been lent",
		FindViolation: func(report *fleet.Report) string {
			peak = report.Hosts[0].PeakConns
			units = UnreturnedUnits(report.Fleet)
			if peak <= size.Capacity-size.Reserve+units {
				return ""
			}
			return fmt.Sprintf("%d connections at once, %d units not returned", peak, units)
		},
	}
	_, report := testRun{
		name:     "frozen past the lease",
		size:     size,
		duration: 16 * second,
		checks:   append([]fleet.Check{withinLent}, fleet.CommonChecks...),
		steps:    func(group *Group) []fleet.Step { return group.FreezePastLease(5 * second) },
		changeOptions: func(options *fleet.Options) {
			configure := options.ConfigureHost
			options.ConfigureHost = func(i int, store *emulator.HostOptions) {
				configure(i, store)
				store.MaxConns *= 2 // so that the store counts connections beyond its capacity and refuses none
			}
		},
	}.run(t)
	logFigures(t, fmt.Sprintf("frozen past lease and quarantine, %d gateways: "+
		"%d connections at once, capacity %d, reserve %d, "+
		"%d units not returned; %s", size.Gateways, peak, size.Capacity, size.Reserve, units,
		strings.TrimSpace(report.Summary())))
}

// Guards against requests that are sent on after their clients left, and against rejections that call a repeat harmless
// after the deduplication window (incidents 0016 and 0017). The store turns requests away after a drawn time, clients
// leave after a drawn time, and the store crashes under requests that have begun.
func TestTurnedAwayAndLeavingRequestsKeepRules(t *testing.T) {
	const (
		window = second // of class order
		down   = 1500 * time.Millisecond
	)
	size := SmallSize()
	size.Gateways = 8
	size.Capacity = 60
	size.Rate = 80
	size.HotGateways = 0
	load := size.Load()
	load.LeaveFraction = 0.3
	load.LeaveTime = 400 * time.Millisecond
	testRun{
		name:        "turned away and leaving",
		size:        size,
		load:        &load,
		duration:    13 * second,
		figuresFrom: 3 * second,
		checks:      append([]fleet.Check{fleet.RejectedWithinWindow("order", window)}, fleet.CommonChecks...),
		steps: func(*Group) []fleet.Step {
			return slices.Concat(CrashStore(4*second, down), CrashStore(7*second, down), CrashStore(10*second, down))
		},
		changeOptions: func(options *fleet.Options) {
			options.Hosts = 2 // addresses of the store
			configure := options.ConfigureHost
			options.ConfigureHost = func(i int, store *emulator.HostOptions) {
				configure(i, store)
				store.Model.BusyFraction = 0.3
				store.Model.BusyTime = 400 * time.Millisecond
				store.Model.ClassFactors = map[string]float64{"order": 2}
			}
			change := options.ChangeSettings
			options.ChangeSettings = func(settings *gatewayconfig.Settings) {
				change(settings)
				for i := range settings.Classes {
					settings.Classes[i].DedupWindowUS = window.Microseconds()
				}
			}
		},
	}.run(t)
}
