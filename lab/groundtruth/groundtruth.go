// Package groundtruth runs fleets of real processes with the section counterfactual on, and compares what their collector answers
// with what the stand-in hosts would have answered to the very same attempts. Each gateway writes the records of its attempts to
// a file; a host's log tells its load and slowness at any time, and its time for a request is a function of these and of the
// request's id. The time that an attempt took beside the host's own (sockets, the loop, a busy machine) it would have taken at
// another host, too, and is counted in.
package groundtruth

import (
	"context"
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"ravensill/counterfactual"
	"ravensill/internal/observer"
	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/relay"
	"ravensill/lab/simenv"
)

const (
	objective  = time.Second      // latency objective of each request class of the rig
	clientWait = 3 * time.Second  // how long clients wait for an answer
	drainWait  = 20 * time.Second // for the last answers after the load has ended
)

// Case is one fleet with its faults.
type Case struct {
	Name             string
	Gateways         int
	Hosts            int
	ReplacementHosts int     // further hosts, not listed at first
	RequestRate      float64 // requests a second of the whole fleet
	Duration         time.Duration
	Window           time.Duration // of the observers' summaries
	Seed             uint64
	ConfigureLoad    func(l *emulator.Load)               // may be nil
	ConfigureHost    func(i int, h *emulator.HostOptions) // may be nil
	Steps            []fleet.Step
	RefusedWith      string // the refusal that all answers must give; "": none
}

// fleetPlan returns the plan of the fleet. Each gateway writes records, the first one collects, and the observers' datagrams pass
// the relay.
func (c *Case) fleetPlan() fleet.Options {
	var datagrams *relay.Datagrams
	var collector string // address of the collector, over all its restarts
	plan := fleet.Options{
		Gateways:      c.Gateways,
		Hosts:         c.Hosts + c.ReplacementHosts,
		Seed:          c.Seed,
		Zones:         []string{"a", "b"},
		UnlistedHosts: map[int]bool{},
		ConfigureHost: c.configureHost,
	}
	for i := range c.ReplacementHosts {
		plan.UnlistedHosts[c.Hosts+i] = true
	}
	plan.PrepareRelay = func(f *fleet.Fleet) (err error) {
		datagrams, err = f.Relay.Datagrams("witness", fleet.GatewayNames(0, c.Gateways))
		if err != nil {
			return err
		}
		address, err := emulator.FreeAddr(121, 0)
		if err != nil {
			return err
		}
		collector = address.String()
		datagrams.Place(0, address)
		return nil
	}
	plan.ConfigureGateway = func(f *fleet.Fleet, i int, file *gatewayconfig.File) error {
		file.Counterfactual = &gatewayconfig.Counterfactual{
			Listen:     "127.0.0.1:0",
			Peers:      datagrams.Peers(i),
			Collectors: []int{0},
			WindowMS:   c.Window.Milliseconds(),
			Records:    recordsPath(f, i),
			Fraction:   1,
		}
		if i == 0 {
			file.Counterfactual.Listen = collector
			file.Counterfactual.Query = collector
		}
		return nil
	}
	return plan
}

// configureHost gives a host its speed and response times.
func (c *Case) configureHost(i int, h *emulator.HostOptions) {
	h.Speed = 0.7 + 0.9*emulator.Uniform("speed", fmt.Sprint(i))
	if h.Zone == "b" {
		h.Speed *= 0.7
	}
	h.Model = emulator.Model{BaseTime: 30 * time.Millisecond, Sigma: 0.4, Slots: 4, Knee: 0.25, Slope: 0.5}
	if c.ConfigureHost != nil {
		c.ConfigureHost(i, h)
	}
}

// recordsPath is the file to which a gateway writes its records.
func recordsPath(f *fleet.Fleet, gateway int) string {
	return filepath.Join(f.Dir, fmt.Sprintf("records-%d", gateway))
}

// Outcome is the result of a run.
type Outcome struct {
	simenv.Score
	Attempts        int
	Delayed         float64 // fraction of the attempts that the machine, not a host, delayed: by how much is not known
	MissingGateways int     // the most gateways that an answer names as missing
	Counts          counterfactual.Counts
	Usage           []fleet.Usage // of the gateways that still run
}

// Run runs the case and compares the collector's answers with the ground truth.
func (c *Case) Run(ctx context.Context) (*Outcome, error) {
	f, err := fleet.Start(ctx, c.fleetPlan())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := c.runLoad(ctx, f); err != nil {
		return nil, err
	}
	collector := f.Gateway(0).Config.Counterfactual.Query
	outcome := &Outcome{}
	if outcome.Counts, err = c.waitUntilSealed(ctx, collector); err != nil {
		return nil, err
	}
	records, err := readRecords(f)
	if err != nil {
		return nil, err
	}
	outcome.Attempts = records.count
	outcome.Delayed = float64(records.delayed) / float64(max(records.count, 1))
	answers, err := queryAnswers(ctx, collector)
	if err != nil {
		return nil, err
	}
	if err := outcome.compare(answers, records); err != nil {
		return nil, err
	}
	for _, gateway := range f.Gateways() {
		if usage, err := gateway.Usage(); err == nil {
			outcome.Usage = append(outcome.Usage, usage)
		}
	}
	return outcome, nil
}

// runLoad runs the clients and the case's steps, and waits for the last answers.
func (c *Case) runLoad(ctx context.Context, f *fleet.Fleet) error {
	load := emulator.Load{
		Seed:         c.Seed,
		Rate:         c.RequestRate,
		Customers:    25 * c.Gateways,
		ZipfExponent: 0.4,
		SubsetSize:   3,
		Classes:      []emulator.Class{{Name: "lookup", Timeout: clientWait, Fraction: 1}},
	}
	if c.ConfigureLoad != nil {
		c.ConfigureLoad(&load)
	}
	run := f.Clients.Start(load)
	began := time.Now()
	for _, step := range c.Steps {
		if err := wait(ctx, time.Until(began.Add(step.At))); err != nil {
			return err
		}
		if err := step.Run(ctx, f); err != nil {
			return fmt.Errorf("%s: %w", step.Description, err)
		}
	}
	if err := wait(ctx, time.Until(began.Add(c.Duration))); err != nil {
		return err
	}
	run.Stop()
	if open := f.Clients.WaitIdle(drainWait); open > 0 {
		return fmt.Errorf("%d requests open", open)
	}
	return nil
}

// waitUntilSealed waits until all windows of the run are sealed at the collector.
func (c *Case) waitUntilSealed(ctx context.Context, collector string) (counterfactual.Counts, error) {
	var last, now observer.CollectorState
	if err := Query(ctx, collector, observer.Query{Counts: true}, decodeInto(&last)); err != nil {
		return now.Counts, err
	}
	for now.Sealed < last.Bin+2 {
		if err := wait(ctx, c.Window/4); err != nil {
			return now.Counts, err
		}
		if err := Query(ctx, collector, observer.Query{Counts: true}, decodeInto(&now)); err != nil {
			return now.Counts, err
		}
	}
	return now.Counts, nil
}

// queryAnswers asks the collector about each rule and each host.
func queryAnswers(ctx context.Context, collector string) (answers []counterfactual.Answer, err error) {
	err = Query(ctx, collector, observer.Query{Frontend: "lookup", Hosts: true}, func(line []byte) error {
		var answer counterfactual.Answer
		if err := json.Unmarshal(line, &answer); err != nil {
			return err
		}
		answers = append(answers, answer)
		return nil
	})
	return answers, err
}

// compare compares answers with the ground truth.
func (o *Outcome) compare(answers []counterfactual.Answer, records *attemptRecords) error {
	var truths []simenv.GroundTruth
	for i := range answers {
		answer := &answers[i]
		rule, ok := counterfactual.ReadRule(answer.Rule)
		if !ok {
			return fmt.Errorf("an answer for an unknown rule: %+v", answer)
		}
		o.MissingGateways = max(o.MissingGateways, len(answer.Missing))
		truths = append(truths, records.groundTruth(rule, answer.Host))
		o.Compare(answer, truths[i])
	}
	o.CompareOrder(answers, truths)
	return nil
}

// wait waits, unless the context ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
