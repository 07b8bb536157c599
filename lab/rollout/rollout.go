// Package rollout shows how a change of the configuration reaches a fleet of real processes: publishers and gateways
// on loopback, every link between them through a relay, under the load of clients, with injected faults. Checks count
// events; times are measured beside them.
package rollout

import (
	"context"
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
	pollInterval      = 20 * time.Millisecond // between looks at a state that nothing announces
	diskFolder        = "configuration"       // of the stored version, in a gateway's folder
	minServedFraction = 0.9                   // of the clients' requests, whatever is injected
	clientTimeout     = 8 * time.Second
)

// Size says how large a run is.
type Size struct {
	Gateways          int
	Hosts             int
	Publishers        int
	Rate              float64 // clients' requests a second
	Seed              uint64
	ElectionTimeoutMS int           // without contact to the leading publisher before another is elected
	ChangeInterval    time.Duration // between two changes
	Burst             int           // changes that are published without a pause
	OutageDuration    time.Duration // length of a long fault
}

// Scenario is one run as data: how large it is, what is done in which order, and what must hold at the end.
type Scenario struct {
	Name             string
	Size             Size
	NoRoutineChanges bool // only steps publish changes
	Steps            []Step
	Checks           []Check // beside CommonChecks
}

// Step is something that is done and waited for. Steps follow each other by state, not by time.
type Step struct {
	Description string
	Run         func(ctx context.Context, r *Run) error
}

// Run is one run of a scenario.
type Run struct {
	Scenario    *Scenario
	Fleet       *fleet.Fleet
	Publishers  *PublisherGroup
	Record      Record
	LoadReport  *fleet.Report // of the clients' requests
	StepTimings []StepTiming

	publishersBefore []fleet.Usage // as the first version was published
	publishersAfter  []fleet.Usage // as the load ended

	links   [][]*relay.Stream // by member index and publisher
	changes *changePublisher
	probes  atomic.Int64 // sent so far
}

// StepTiming is a step that was run.
type StepTiming struct {
	Description string
	Start       time.Time
	End         time.Time
}

// Run runs the scenario. An error is one of the run itself; what does not hold is in violations.
func (s *Scenario) Run(ctx context.Context) (run *Run, violations []string, err error) {
	run = &Run{Scenario: s}
	defer func() {
		if run.Publishers != nil {
			run.Publishers.Close()
		}
	}()
	gather := fleet.Check{Name: "record", FindViolation: func(*fleet.Report) string { return run.gather(ctx) }}
	scenario := fleet.Scenario{
		Name:    s.Name,
		Options: run.fleetOptions(ctx),
		Loads:   []emulator.Load{s.Size.load()},
		Steps:   run.steps(),
		Checks:  append([]fleet.Check{gather, clientsServed}, fleet.CommonChecks...),
	}
	run.LoadReport, err = scenario.Run(ctx)
	if err != nil {
		return run, nil, err
	}
	ofRecord := run.Record.Violations(append(s.Checks, CommonChecks...))
	return run, append(run.LoadReport.Violations, ofRecord...), nil
}

// fleetOptions returns the options of the fleet. The publishers start before any gateway is configured.
func (r *Run) fleetOptions(ctx context.Context) fleet.Options {
	size := &r.Scenario.Size
	return fleet.Options{
		Gateways:     size.Gateways,
		Hosts:        size.Hosts,
		Seed:         size.Seed,
		PrepareRelay: func(f *fleet.Fleet) error { return r.startPublishers(ctx, f) },
		ConfigureGateway: func(f *fleet.Fleet, i int, file *gatewayconfig.File) error {
			addresses, err := r.addLinks(i)
			file.Configuration = &gatewayconfig.Configuration{Publishers: addresses, Dir: diskFolder}
			return err
		},
	}
}

// startPublishers starts the publishers of a fleet.
func (r *Run) startPublishers(ctx context.Context, f *fleet.Fleet) error {
	r.Fleet = f
	for range r.Scenario.Size.Gateways {
		r.Record.Histories = append(r.Record.Histories, &History{})
	}
	var err error
	r.Publishers, err = NewPublisherGroup(ctx, PublisherGroupOptions{
		Count:             r.Scenario.Size.Publishers,
		Dir:               filepath.Join(f.Dir, "publishers"),
		Relay:             f.Relay,
		ElectionTimeoutMS: r.Scenario.Size.ElectionTimeoutMS,
	})
	return err
}

// addLinks adds the streams by which a gateway reaches the publishers, and returns their addresses.
func (r *Run) addLinks(member int) (addresses []string, err error) {
	var links []*relay.Stream
	for i, publisher := range r.Publishers.addresses {
		target := publisher.followers.String()
		stream, err := r.Fleet.Relay.AddStream(fleet.GatewayName(member), publisherName(i), target)
		if err != nil {
			return nil, err
		}
		links = append(links, stream)
		addresses = append(addresses, stream.Addr())
	}
	r.links = append(r.links, links)
	return addresses, nil
}

// load returns the clients' load, of all request classes. It runs until the last step is done.
func (s *Size) load() emulator.Load {
	return emulator.Load{
		Seed:         s.Seed,
		Rate:         s.Rate,
		Customers:    20 * s.Gateways,
		ZipfExponent: 0.5,
		SubsetSize:   max(2, s.Gateways/3), // clients have another gateway where one is down
		Body:         "body",
		Classes:      fleet.MixedClasses(clientTimeout),
	}
}

// steps returns the scenario's steps between the publication of the first version and the wait for the last one.
func (r *Run) steps() (steps []fleet.Step) {
	all := []Step{firstVersion()}
	if !r.Scenario.NoRoutineChanges {
		all = append(all, startChanges())
	}
	all = append(all, r.Scenario.Steps...)
	all = append(all, settle())
	for _, step := range all {
		steps = append(steps, fleet.Step{
			Description: step.Description,
			Run:         func(ctx context.Context, _ *fleet.Fleet) error { return r.runStep(ctx, step) },
		})
	}
	return steps
}

// runStep runs one step.
func (r *Run) runStep(ctx context.Context, step Step) error {
	start := time.Now()
	err := step.Run(ctx, r)
	r.StepTimings = append(r.StepTimings, StepTiming{step.Description, start, time.Now()})
	if err != nil && r.changes != nil {
		err = errors.Join(err, r.changes.stop())
	}
	return err
}

// readLogs reads the new log lines of all gateways into their histories.
func (r *Run) readLogs() {
	for member, history := range r.Record.Histories {
		history.readNewLines(r.Fleet.Gateway(member))
	}
}

// waitUntil waits for a state of the gateways' histories.
func (r *Run) waitUntil(ctx context.Context, what string, reached func() bool) error {
	for {
		r.readLogs()
		if reached() {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w: %s", what, ctx.Err(), r.versionsText())
		case <-time.After(pollInterval):
		}
	}
}

// versionsText returns the versions in force, for errors.
func (r *Run) versionsText() string {
	var text []string
	for member, history := range r.Record.Histories {
		text = append(text, fmt.Sprintf("%s %d", fleet.GatewayName(member), history.InForce()))
	}
	return strings.Join(text, ", ")
}

// gather completes the record while all processes still run. It returns the text of a failure.
func (r *Run) gather(ctx context.Context) string {
	r.readLogs()
	r.Record.Published = r.changes.publications()
	r.Record.Crashes = r.Publishers.Crashes()
	r.publishersAfter = r.Publishers.usage()
	for member, gateway := range r.Fleet.Gateways() {
		r.Record.Histories[member].Counters = countersOf(gateway.EventLines("configuration_status"))
	}
	var err error
	r.Record.Publishers, err = r.Publishers.states(ctx)
	if err != nil {
		return err.Error()
	}
	for _, gateway := range r.Fleet.Gateways() {
		r.Record.Disks = append(r.Record.Disks, readDisk(gateway))
	}
	return ""
}

// readDisk reads the version that a gateway has stored, as its next start would.
func readDisk(gateway *fleet.Gateway) DiskState {
	document, err := subscriber.Load(filepath.Join(gateway.Dir, diskFolder))
	digest := document.Digest()
	return DiskState{document.Version(), digest.Hex(), err}
}
