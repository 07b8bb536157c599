package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"ravensill/lab/actor"
	"ravensill/lab/emulator"
)

// Scenario describes one run: the fleet, the load of the clients, the faults to inject at set times, and the rules that
// must hold at the end.
type Scenario struct {
	Name     string
	Options  Options
	Loads    []emulator.Load
	WarmUp   time.Duration // load before time 0 of the steps and intervals
	Steps    []Step
	Duration time.Duration // of the load after the warm-up
	Checks   []Check

	Intervals []Interval // in which evenness is measured; none: the whole load after the warm-up
}

// Interval is a part of a run in which evenness is measured, at hosts that are running and listed throughout it.
type Interval struct {
	Name  string
	From  time.Duration // since the end of the warm-up; negative: within the warm-up
	To    time.Duration
	Hosts []int // indexes; nil: all hosts in the first host list
}

// Step is an action at a time, counted from the end of the warm-up. Steps run one after another: a step that is still
// running at the time of the next one delays it.
type Step struct {
	At          time.Duration
	Description string
	Run         func(ctx context.Context, f *Fleet) error
}

// lastRequestsTimeout is how long a run waits after the load has ended for requests that are still in flight.
const lastRequestsTimeout = time.Minute

// Run starts the fleet, runs the scenario, closes the fleet and returns the report. It returns an error if the fleet
// does not start or a step fails; violated checks are in the report.
func (s *Scenario) Run(ctx context.Context) (*Report, error) {
	fleet, err := Start(ctx, s.Options)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	if err := fleet.waitWatches(ctx); err != nil {
		return nil, err
	}
	report := &Report{Scenario: s, Fleet: fleet, usageBefore: fleet.usage()}
	stopSampling := report.sampleMemory()
	defer stopSampling()
	report.StartedAt = actor.Now()
	var loads []*emulator.LoadRun
	for _, load := range s.Loads {
		loads = append(loads, fleet.Clients.Start(load))
	}
	if err := report.inject(ctx, s.Steps); err != nil {
		return nil, fmt.Errorf("scenario %q: %w", s.Name, err)
	}
	for _, load := range loads {
		load.Stop()
	}
	report.EndedAt = actor.Now()
	report.Unfinished = fleet.Clients.WaitIdle(lastRequestsTimeout)
	stopSampling()
	report.gather()
	for _, check := range s.Checks {
		if violation := check.FindViolation(report); violation != "" {
			report.Violations = append(report.Violations, check.Name+": "+violation)
		}
	}
	return report, nil
}

// inject runs the steps in the order of their times. It returns at the end of the scenario, once work that steps left
// running in the background has ended.
func (r *Report) inject(ctx context.Context, steps []Step) error {
	steps = slices.Clone(steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	for _, step := range steps {
		if err := r.waitUntilOffset(ctx, r.Scenario.WarmUp+step.At); err != nil {
			return err
		}
		r.InjectedSteps = append(r.InjectedSteps, InjectedStep{actor.Now(), step.Description})
		if err := step.Run(ctx, r.Fleet); err != nil {
			return fmt.Errorf("step %q: %w", step.Description, err)
		}
	}
	if err := r.waitUntilOffset(ctx, r.Scenario.WarmUp+r.Scenario.Duration); err != nil {
		return err
	}
	return r.Fleet.backgroundSteps.Wait()
}

// waitUntilOffset waits until the given time since the start of the load.
func (r *Report) waitUntilOffset(ctx context.Context, until time.Duration) error {
	select {
	case <-time.After(time.Duration(r.StartedAt + int64(until) - actor.Now())):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitWatches waits until as many watches of the host list are open as gateways were started.
func (f *Fleet) waitWatches(ctx context.Context) error {
	want := f.Options.Gateways - len(f.Options.NotStarted)
	return WaitUntil(ctx, "watches of the host list", func() bool { return f.Agent.OpenWatches() >= want })
}

// Err returns the violations of the scenario's checks as one error, or nil if there are none.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return errors.New(strings.Join(r.Violations, "\n"))
}
