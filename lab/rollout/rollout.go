// Package rollout shows how a change of the configuration reaches a fleet of real processes: publishers and gateways on
// loopback, every link between them through a relay, under the load of clients, with faults injected by a plan. Verdicts
// are counts; times are measured beside them.
package rollout

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"ravensill/internal/subscriber"
	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/relay"
)

const (
	pollInterval = 20 * time.Millisecond // between looks at a state that nothing announces
	diskFolder   = "configuration"       // of the last good version, in a gateway's folder
	servedPart   = 0.9                   // of the clients' requests at least, whatever is injected
)

// Size says how large a run is.
type Size struct {
	Gateways   int
	Hosts      int
	Publishers int
	Rate       float64 // clients' requests a second
	Seed       uint64
	ElectionMS int           // without contact to the leading publisher before another is elected
	Pace       time.Duration // between two changes
	Burst      int           // changes one after the other
	Outage     time.Duration // length of a fault that is to last for long
}

// Scenario is one run as data: how large, what is done in which order, and what must hold at the end.
type Scenario struct {
	Name  string
	Size  Size
	Quiet bool // no changes are published beside those of the steps
	Steps []Step
	Holds []Check // beside Usual
}

// Step is something that is done and waited for. Steps follow each other by state, not by time.
type Step struct {
	What string
	Do   func(ctx context.Context, r *Run) error
}

// Run is a scenario under way.
type Run struct {
	Scenario   *Scenario
	Fleet      *fleet.Fleet
	Publishers *Publishers
	Record     Record
	Load       *fleet.Report // what came of the clients' requests
	Stages     []Stage

	publishersBefore []fleet.Usage // as the first version was published
	publishersAfter  []fleet.Usage // as the load ended

	links   [][]*relay.Stream // by member index and publisher
	changes *changes
	probes  atomic.Int64
}

// Stage is a step that was taken.
type Stage struct {
	What     string
	From, To time.Time
}

// Play plays a scenario. The error is of the rig itself; what does not hold is in broken.
func (s *Scenario) Play(ctx context.Context) (run *Run, broken []string, err error) {
	run = &Run{Scenario: s}
	defer func() {
		if run.Publishers != nil {
			run.Publishers.Close()
		}
	}()
	scenario := fleet.Scenario{
		Name:    s.Name,
		Options: run.plan(ctx),
		Loads:   []emulator.Load{s.Size.load()},
		Steps:   run.steps(),
		Checks:  append([]fleet.Check{{Name: "record", FindViolation: run.gather(ctx)}, loadServed}, fleet.CommonChecks...),
	}
	run.Load, err = scenario.Run(ctx)
	if err != nil {
		return run, nil, err
	}
	return run, append(run.Load.Violations, run.Record.Broken(append(s.Holds, Usual...))...), nil
}

// plan gives the fleet. The publishers run before any gateway is configured.
func (r *Run) plan(ctx context.Context) fleet.Options {
	size := &r.Scenario.Size
	plan := fleet.Options{Gateways: size.Gateways, Hosts: size.Hosts, Seed: size.Seed}
	plan.PrepareRelay = func(f *fleet.Fleet) error {
		r.Fleet = f
		for range size.Gateways {
			r.Record.Histories = append(r.Record.Histories, &History{})
		}
		var err error
		r.Publishers, err = NewPublishers(ctx, GroupPlan{
			Count:      size.Publishers,
			Dir:        filepath.Join(f.Dir, "publishers"),
			Relay:      f.Relay,
			ElectionMS: size.ElectionMS,
		})
		return err
	}
	plan.ConfigureGateway = func(f *fleet.Fleet, i int, file *gatewayconfig.File) error {
		addresses, err := r.link(i)
		file.Configuration = &gatewayconfig.Configuration{Publishers: addresses, Dir: diskFolder}
		return err
	}
	return plan
}

// link makes the streams by which a gateway reaches the publishers.
func (r *Run) link(member int) (addresses []string, err error) {
	var links []*relay.Stream
	for k, publisher := range r.Publishers.addresses {
		stream, err := r.Fleet.Relay.Stream(fleet.GatewayName(member), publisherName(k), publisher.followers.String())
		if err != nil {
			return nil, err
		}
		links = append(links, stream)
		addresses = append(addresses, stream.Addr())
	}
	r.links = append(r.links, links)
	return addresses, nil
}

// load gives the clients' traffic, of all three kinds of requests. It runs until the last step is done.
func (z *Size) load() emulator.Load {
	const patience = 8 * time.Second
	return emulator.Load{
		Seed:         z.Seed,
		Rate:         z.Rate,
		Customers:    20 * z.Gateways,
		ZipfExponent: 0.5,
		SubsetSize:   max(2, z.Gateways/3), // the front has another gateway to go to where one is down
		Body:         "body",
		Classes: []emulator.Class{
			{Name: "lookup", Timeout: patience, Fraction: 0.6},
			{Name: "order", Post: true, Idempotent: true, Timeout: patience, Fraction: 0.2},
			{Name: "pay", Post: true, Timeout: patience, Fraction: 0.2},
		},
	}
}

// steps gives the scenario's steps, between the first version and the last one in force everywhere.
func (r *Run) steps() (steps []fleet.Step) {
	all := []Step{firstVersion()}
	if !r.Scenario.Quiet {
		all = append(all, startChanges())
	}
	all = append(all, r.Scenario.Steps...)
	all = append(all, settle())
	for _, step := range all {
		steps = append(steps, fleet.Step{Description: step.What, Run: func(ctx context.Context, _ *fleet.Fleet) error {
			return r.take(ctx, step)
		}})
	}
	return steps
}

// take does one step.
func (r *Run) take(ctx context.Context, step Step) error {
	from := time.Now()
	err := step.Do(ctx, r)
	r.Stages = append(r.Stages, Stage{step.What, from, time.Now()})
	if err != nil && r.changes != nil {
		err = errors.Join(err, r.changes.stop())
	}
	return err
}

// read brings the histories up to date.
func (r *Run) read() {
	for member, history := range r.Record.Histories {
		history.read(r.Fleet.Gateway(member))
	}
}

// until waits for a state of the gateways' histories.
func (r *Run) until(ctx context.Context, what string, reached func() bool) error {
	for {
		r.read()
		if reached() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w: %s", what, ctx.Err(), r.state())
		case <-time.After(pollInterval):
		}
	}
}

// state tells which versions are in force, for errors.
func (r *Run) state() string {
	var text []string
	for member, history := range r.Record.Histories {
		text = append(text, fmt.Sprintf("%s %d", fleet.GatewayName(member), history.InForce()))
	}
	return strings.Join(text, ", ")
}

// gather is called as a check, while all processes still run: it reads what they left behind.
func (r *Run) gather(ctx context.Context) func(*fleet.Report) string {
	return func(*fleet.Report) string {
		r.read()
		r.Record.Published = r.changes.list()
		r.Record.Unhealthy = r.Publishers.Unhealthy()
		r.publishersAfter = r.Publishers.usage()
		for member, g := range r.Fleet.Gateways() {
			r.Record.Histories[member].Counters = countersOf(g.Lines("configuration"))
		}
		var err error
		r.Record.Publishers, err = r.Publishers.states(ctx)
		if err != nil {
			return err.Error()
		}
		for _, g := range r.Fleet.Gateways() {
			r.Record.Disks = append(r.Record.Disks, readDisk(g))
		}
		return ""
	}
}

// readDisk reads the last good version that a gateway keeps, as its next start would.
func readDisk(g *fleet.Gateway) DiskState {
	document, err := subscriber.Load(filepath.Join(g.Dir, diskFolder))
	digest := document.Digest()
	return DiskState{document.Version(), hex.EncodeToString(digest[:]), err}
}
