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

// Scenario is one run as data: what runs, what clients send, what is injected when, and what must hold at the end.
type Scenario struct {
	Name     string
	Options  Options
	Loads    []emulator.Load
	WarmUp   time.Duration // of the load, before the first step; the times of steps count from its end
	Steps    []Step
	Duration time.Duration // of the load after WarmUp
	Checks   []Check

	Intervals []Interval // whose evenness is measured; none: the whole load
}

// Interval is a part of a run whose evenness is measured, at hosts that ran and were listed all along.
type Interval struct {
	Name  string
	From  time.Duration // as the times of steps
	To    time.Duration
	Hosts []int // nil: all that are listed at first
}

// Step is something injected at a time. A step that takes longer than the time to the next one delays that one.
type Step struct {
	At          time.Duration
	Description string
	Run         func(ctx context.Context, f *Fleet) error
}

// requestGrace is how long a run waits for the last requests after the load has ended.
const requestGrace = time.Minute

// Run runs the scenario and returns its report. An error is one of the run itself; what does not hold is in the report.
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
	report.StartedAt = actor.Now()
	var loads []*emulator.LoadRun
	for _, load := range s.Loads {
		loads = append(loads, fleet.Clients.Start(load))
	}
	if err := report.inject(ctx, s.Steps); err != nil {
		return nil, fmt.Errorf("%s: %w", s.Name, err)
	}
	for _, load := range loads {
		load.Stop()
	}
	report.EndedAt = actor.Now()
	report.Unfinished = fleet.Clients.WaitIdle(requestGrace)
	report.gather()
	for _, check := range s.Checks {
		if violation := check.FindViolation(report); violation != "" {
			report.Violations = append(report.Violations, check.Name+": "+violation)
		}
	}
	return report, nil
}

// inject runs the steps at their times and returns at the end of the scenario.
func (r *Report) inject(ctx context.Context, steps []Step) error {
	steps = slices.Clone(steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	for _, step := range steps {
		if err := r.wait(ctx, r.Scenario.WarmUp+step.At); err != nil {
			return err
		}
		r.InjectedSteps = append(r.InjectedSteps, InjectedStep{actor.Now(), step.Description})
		if err := step.Run(ctx, r.Fleet); err != nil {
			return fmt.Errorf("step %q: %w", step.Description, err)
		}
	}
	if err := r.wait(ctx, r.Scenario.WarmUp+r.Scenario.Duration); err != nil {
		return err
	}
	return r.Fleet.background.Wait()
}

// wait waits until a time since the load's start.
func (r *Report) wait(ctx context.Context, until time.Duration) error {
	select {
	case <-time.After(time.Duration(r.StartedAt + int64(until) - actor.Now())):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waitWatches waits until each gateway that runs watches its agent's host list.
func (f *Fleet) waitWatches(ctx context.Context) error {
	want := f.Options.Gateways - len(f.Options.NotStarted)
	return WaitUntil(ctx, "watches of the host list", func() bool { return f.Agent.OpenWatches() >= want })
}

// Err returns the violations of the scenario's checks as an error; nil if there are none.
func (r *Report) Err() error {
	if len(r.Violations) == 0 {
		return nil
	}
	return errors.New(strings.Join(r.Violations, "\n"))
}
