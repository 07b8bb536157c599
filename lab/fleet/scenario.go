package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"ravensill/lab/actor"
	"ravensill/lab/emulator"
	"ravensill/lab/relay"
)

// Scenario is one run as data: what runs, what clients send, what is injected when, and what must hold at the end.
type Scenario struct {
	Name  string
	Plan  Plan
	Loads []emulator.Load
	Warm  time.Duration // clients send before the first step; steps' times count from its end
	Steps []Step
	For   time.Duration // clients send so long after Warm
	Holds []Check

	Stretches []Stretch // whose evenness is measured; none: the whole load
}

// Stretch is a part of a run whose evenness is measured: from one time to another, counted as steps' times are, at hosts
// that ran and were listed all along; none named stands for all that are listed at first.
type Stretch struct {
	What     string
	From, To time.Duration
	Hosts    []int
}

// Step is something injected at a time. A step that takes longer than the time to the next one delays that.
type Step struct {
	At   time.Duration
	What string
	Do   func(ctx context.Context, f *Fleet) error
}

// Check is a thing that must hold. Look tells in a short text what does not, "" where it holds.
type Check struct {
	Name string
	Look func(r *Report) string
}

// Some draws n seats out of all by the seed and a name, so that a run injects the same again.
func (f *Fleet) Some(n int, name string) []int {
	seed := uint64(emulator.Uniform(name) * (1 << 53))
	some := rand.New(rand.NewPCG(f.Plan.Seed, seed)).Perm(f.Plan.Gateways)[:n]
	slices.Sort(some)
	return some
}

// Each does something with several gateways at the same time.
func (f *Fleet) Each(seats []int, do func(g *Gateway) error) error {
	var all errgroup.Group
	all.SetLimit(starting * 2)
	for _, i := range seats {
		all.Go(func() error { return do(f.gates[i]) })
	}
	return all.Wait()
}

// Kill is a step that ends n gateways, drawn by the name, by SIGKILL. Clients go on sending to them until the front
// has noticed, notice later.
func Kill(at time.Duration, n int, name string, notice time.Duration) Step {
	return Step{at, fmt.Sprintf("kill %d gateways (%s)", n, name), func(ctx context.Context, f *Fleet) error {
		some := f.Some(n, name)
		err := f.Each(some, (*Gateway).Kill)
		f.Clients.After(notice, func() {
			down := slices.DeleteFunc(slices.Clone(some), func(i int) bool { return f.gates[i].Running() })
			go f.Clients.SetOutOfUse(true, down...)
		})
		return err
	}}
}

// Restart is a step that brings back the gateways that Kill ended under the name.
func Restart(at time.Duration, n int, name string, empty bool) Step {
	return Step{at, fmt.Sprintf("restart %d gateways (%s)", n, name), func(ctx context.Context, f *Fleet) error {
		some := f.Some(n, name)
		err := f.Each(some, func(g *Gateway) error { return g.Restart(ctx, empty) })
		f.Clients.SetOutOfUse(false, some...)
		return err
	}}
}

// Roll is a step that restarts n gateways as planned: SIGTERM, new connections for 0.3 s more, then only those that are
// open, until each process has ended by itself; then another life. It goes on while later steps are taken.
func Roll(at time.Duration, n int, name string) Step {
	return Step{at, fmt.Sprintf("roll %d gateways (%s)", n, name), func(ctx context.Context, f *Fleet) error {
		some := f.Some(n, name)
		if err := f.Each(some, func(g *Gateway) error {
			f.Clients.SetRestarting(true, g.Index)
			return g.Term()
		}); err != nil {
			return err
		}
		f.later.Go(func() error {
			err := f.Each(some, func(g *Gateway) error {
				return errors.Join(g.WaitExit(ctx), g.Restart(ctx, false))
			})
			f.Clients.SetRestarting(false, some...)
			return err
		})
		return nil
	}}
}

// Freeze and Thaw are steps that stop n gateways by SIGSTOP and let them go on.
func Freeze(at time.Duration, n int, name string) Step {
	return Step{at, fmt.Sprintf("freeze %d gateways (%s)", n, name), func(ctx context.Context, f *Fleet) error {
		return f.Each(f.Some(n, name), (*Gateway).Stop)
	}}
}

func Thaw(at time.Duration, n int, name string) Step {
	return Step{at, fmt.Sprintf("thaw %d gateways (%s)", n, name), func(ctx context.Context, f *Fleet) error {
		return f.Each(f.Some(n, name), (*Gateway).Continue)
	}}
}

// Faults is a step that puts rules in force in the relay under a name; none ends them.
func Faults(at time.Duration, name string, rules ...relay.Rule) Step {
	return Step{at, fmt.Sprintf("relay: %d rules (%s)", len(rules), name), func(ctx context.Context, f *Fleet) error {
		f.Relay.Set(name, rules...)
		return nil
	}}
}

// Tell is a step that makes a change of the list known to some gateways; nil stands for all. hosts are told with a
// state.
func Tell(at time.Duration, gateways []int, state string, hosts ...int) Step {
	return Step{at, fmt.Sprintf("tell %d hosts %s", len(hosts), state), func(ctx context.Context, f *Fleet) error {
		var entries []emulator.Entry
		for _, h := range hosts {
			entries = append(entries, f.hosts[h].Entry(state))
		}
		f.Agent.PushTo(gateways, entries...)
		return nil
	}}
}

// Agents is a step that changes how the agents of some gateways behave; nil stands for all.
func Agents(at time.Duration, gateways []int, what string, set func(*emulator.Mode)) Step {
	return Step{at, "agents: " + what, func(ctx context.Context, f *Fleet) error {
		f.Agent.SetMode(gateways, set)
		return nil
	}}
}

// Join is a step that starts hosts anew, cold where their model says so, and tells all gateways of them at once.
func Join(at time.Duration, hosts ...int) Step {
	return Step{at, fmt.Sprintf("start %d hosts and list them", len(hosts)), func(ctx context.Context, f *Fleet) error {
		var entries []emulator.Entry
		for _, h := range hosts {
			if _, err := f.hosts[h].Start(); err != nil {
				return err
			}
			entries = append(entries, f.hosts[h].Entry("active"))
		}
		f.Agent.Push(entries...)
		return nil
	}}
}

// Leave is a step that takes hosts out: told as leaving, ended after a grace, and told as left.
func Leave(at, grace time.Duration, hosts ...int) []Step {
	return []Step{Tell(at, nil, "leaving", hosts...),
		{at + grace, fmt.Sprintf("end %d hosts", len(hosts)), func(ctx context.Context, f *Fleet) error {
			for _, h := range hosts {
				f.hosts[h].Kill()
			}
			return nil
		}}, Tell(at+grace, nil, "left", hosts...)}
}

// Seats gives the numbers from one up to, without, another.
func Seats(from, to int) (seats []int) {
	for i := from; i < to; i++ {
		seats = append(seats, i)
	}
	return seats
}

// Play runs a scenario and gives what came of it. The error is of the rig itself; what does not hold is in the
// report.
func (s *Scenario) Play(ctx context.Context) (*Report, error) {
	f, err := Start(ctx, s.Plan)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := f.watching(ctx); err != nil {
		return nil, err
	}
	r := &Report{Scenario: s, Fleet: f, before: f.usage()}
	r.Began = actor.Now()
	var runs []*emulator.LoadRun
	for _, l := range s.Loads {
		runs = append(runs, f.Clients.Start(l))
	}
	wait := func(until time.Duration) error {
		select {
		case <-time.After(time.Duration(r.Began + int64(until) - actor.Now())):
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	steps := slices.Clone(s.Steps)
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	for _, step := range steps {
		if err := wait(s.Warm + step.At); err != nil {
			return nil, err
		}
		r.Injected = append(r.Injected, Injected{actor.Now(), step.What})
		if err := step.Do(ctx, f); err != nil {
			return nil, fmt.Errorf("%s: step %q: %w", s.Name, step.What, err)
		}
	}
	if err := wait(s.Warm + s.For); err != nil {
		return nil, err
	}
	if err := f.later.Wait(); err != nil {
		return nil, err
	}
	for _, run := range runs {
		run.Stop()
	}
	r.Ended = actor.Now()
	r.Open = f.Clients.WaitIdle(time.Minute)
	r.gather()
	for _, c := range s.Holds {
		if text := c.Look(r); text != "" {
			r.Broken = append(r.Broken, c.Name+": "+text)
		}
	}
	return r, nil
}

// watching waits until the agent of each gateway that runs is watched.
func (f *Fleet) watching(ctx context.Context) error {
	want := f.Plan.Gateways - len(f.Plan.Late)
	return Until(ctx, "watches of the list", func() bool { return f.Agent.Watching() >= want })
}

// Err gives what does not hold as an error.
func (r *Report) Err() error {
	if len(r.Broken) == 0 {
		return nil
	}
	return errors.New(strings.Join(r.Broken, "\n"))
}
