// Package groundtruth runs fleets of real processes that report counterfactual data, and compares the estimates of
// their collector with the response times that the emulated hosts would have had for the same attempts.
//
// Each gateway writes the records of its attempts to a file. The log of an emulated host has its load and slowdown at
// any time, and its response time to a request is a function of these and of the request's ID. The rest of an attempt's
// time (sockets, the event loop, a busy machine) is assumed to be the same at every host.
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
	latencyObjective = second      // of the request class
	clientTimeout    = 3 * second  // of a request
	drainTimeout     = 20 * second // time for the last answers to arrive after the load has ended
	collectorNetwork = 121         // network of the collector's address within 127.0.0.0/8
)

// Case describes a fleet of real processes, the load of its clients and the faults to inject while the load runs.
type Case struct {
	Name             string
	Gateways         int
	Hosts            int
	ReplacementHosts int     // additional hosts that are not listed at first
	RequestRate      float64 // requests per second over the whole fleet
	Duration         time.Duration
	Window           time.Duration // length of the window that an observer's summary covers
	Seed             uint64
	ConfigureLoad    func(l *emulator.Load)               // changes the default load; may be nil
	ConfigureHost    func(i int, h *emulator.HostOptions) // changes the options of host i; may be nil
	Steps            []fleet.Step                         // faults and changes, in the order of their times
	ExpectedRefusal  string                               // reason with which all answers must be refused; "": none
}

// fleetOptions returns the options of the fleet. Each gateway writes a record of every attempt to a file, gateway 0 is
// the collector, and the observers' datagrams pass through the relay, which can inject faults.
func (c *Case) fleetOptions() fleet.Options {
	var datagrams *relay.DatagramNetwork
	var collector string // address that the collector keeps when it restarts
	options := fleet.Options{
		Gateways:      c.Gateways,
		Hosts:         c.Hosts + c.ReplacementHosts,
		Seed:          c.Seed,
		Zones:         []string{"a", "b"},
		UnlistedHosts: map[int]bool{},
		ConfigureHost: c.configureHost,
	}
	for i := range c.ReplacementHosts {
		options.UnlistedHosts[c.Hosts+i] = true
	}
	options.PrepareRelay = func(f *fleet.Fleet) (err error) {
		datagrams, err = f.Relay.AddDatagramNetwork(observerNetwork, fleet.GatewayNames(0, c.Gateways))
		if err != nil {
			return err
		}
		address, err := emulator.FreeAddr(collectorNetwork, 0)
		if err != nil {
			return err
		}
		collector = address.String()
		datagrams.SetAddr(0, address)
		return nil
	}
	options.ConfigureGateway = func(f *fleet.Fleet, i int, file *gatewayconfig.File) error {
		file.Counterfactual = &gatewayconfig.Counterfactual{
			Listen:         "127.0.0.1:0",
			Peers:          datagrams.PeerAddrs(i),
			Collectors:     []int{0},
			WindowMS:       c.Window.Milliseconds(),
			RecordsFile:    recordsPath(f, i),
			SampleFraction: 1,
		}
		if i == 0 {
			file.Counterfactual.Listen = collector
			file.Counterfactual.QueryListen = collector
		}
		return nil
	}
	return options
}

// observerNetwork names the observers' network at the relay. The name also seeds the network's random faults.
const observerNetwork = "witness"

// configureHost sets the speed of host i (0.7 to 1.6 by a hash of its index, 30% less in zone b) and its response
// times.
func (c *Case) configureHost(i int, host *emulator.HostOptions) {
	host.Speed = 0.7 + 0.9*emulator.UniformHash("speed", fmt.Sprint(i))
	if host.Zone == "b" {
		host.Speed *= 0.7
	}
	host.Model = emulator.Model{BaseTime: 30 * time.Millisecond, Sigma: 0.4, Slots: 4, Knee: 0.25, Slope: 0.5}
	if c.ConfigureHost != nil {
		c.ConfigureHost(i, host)
	}
}

// recordsPath returns the path of the file to which a gateway writes its records.
func recordsPath(f *fleet.Fleet, gateway int) string {
	return filepath.Join(f.Dir, fmt.Sprintf("records-%d", gateway))
}

// Outcome is the result of running a Case.
type Outcome struct {
	simenv.Score
	Attempts        int                          // recorded attempts
	DelayedFraction float64                      // fraction of Attempts delayed by the machine, not by a host
	MissingGateways int                          // largest number of gateways that an answer names as missing
	Counts          counterfactual.MessageCounts // messages that the collector received
	Usage           []fleet.Usage                // of the gateways that are still running at the end
}

// Run runs the case on real processes and compares the collector's answers with the ground truth.
func (c *Case) Run(ctx context.Context) (*Outcome, error) {
	f, err := fleet.Start(ctx, c.fleetOptions())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err := c.runLoad(ctx, f); err != nil {
		return nil, err
	}
	collector := f.Gateway(0).Config.Counterfactual.QueryListen
	outcome := &Outcome{}
	if outcome.Counts, err = c.waitUntilSealed(ctx, collector); err != nil {
		return nil, err
	}
	records, err := readRecords(f)
	if err != nil {
		return nil, err
	}
	outcome.Attempts = records.count
	outcome.DelayedFraction = float64(records.delayed) / float64(max(records.count, 1))
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

// runLoad runs the clients and the case's steps, and waits for the last answers. It fails if a step does or requests
// stay unanswered for drainTimeout.
func (c *Case) runLoad(ctx context.Context, f *fleet.Fleet) error {
	load := emulator.Load{
		Seed:         c.Seed,
		Rate:         c.RequestRate,
		Customers:    25 * c.Gateways,
		ZipfExponent: 0.4,
		SubsetSize:   3,
		Classes:      []emulator.Class{{Name: "lookup", Timeout: clientTimeout, Fraction: 1}},
	}
	if c.ConfigureLoad != nil {
		c.ConfigureLoad(&load)
	}
	run := f.Clients.Start(load)
	start := time.Now()
	for _, step := range c.Steps {
		if err := wait(ctx, time.Until(start.Add(step.At))); err != nil {
			return err
		}
		if err := step.Run(ctx, f); err != nil {
			return fmt.Errorf("step %q: %w", step.Description, err)
		}
	}
	if err := wait(ctx, time.Until(start.Add(c.Duration))); err != nil {
		return err
	}
	run.Stop()
	if open := f.Clients.WaitIdle(drainTimeout); open > 0 {
		return fmt.Errorf("%d requests are still open after the load has ended", open)
	}
	return nil
}

// waitUntilSealed waits until the collector has sealed the bins of all windows of the run, so that its answers are
// final, and returns its message counts.
func (c *Case) waitUntilSealed(ctx context.Context, collector string) (counterfactual.MessageCounts, error) {
	var initial, state observer.CollectorState
	if err := Query(ctx, collector, observer.Query{Counts: true}, decodeInto(&initial)); err != nil {
		return state.MessageCounts, err
	}
	for state.Sealed < initial.Bin+2 {
		if err := wait(ctx, c.Window/4); err != nil {
			return state.MessageCounts, err
		}
		if err := Query(ctx, collector, observer.Query{Counts: true}, decodeInto(&state)); err != nil {
			return state.MessageCounts, err
		}
	}
	return state.MessageCounts, nil
}

// queryAnswers queries the collector for its estimates for each rule and each host.
func queryAnswers(ctx context.Context, collector string) (answers []counterfactual.Answer, err error) {
	err = Query(ctx, collector, observer.Query{RequestClass: "lookup", Hosts: true}, func(line []byte) error {
		var answer counterfactual.Answer
		if err := json.Unmarshal(line, &answer); err != nil {
			return err
		}
		answers = append(answers, answer)
		return nil
	})
	return answers, err
}

// compare adds the comparison of the collector's answers with the ground truth to the score.
func (o *Outcome) compare(answers []counterfactual.Answer, records *attemptRecords) error {
	var groundTruths []simenv.GroundTruth
	for i := range answers {
		answer := &answers[i]
		rule, ok := counterfactual.ParseRule(answer.Rule)
		if !ok {
			return fmt.Errorf("collector answered for an unknown rule: %+v", answer)
		}
		o.MissingGateways = max(o.MissingGateways, len(answer.Missing))
		groundTruths = append(groundTruths, records.groundTruth(rule, answer.Host))
		o.Compare(answer, groundTruths[i])
	}
	o.CompareOrder(answers, groundTruths)
	return nil
}

// wait waits for a time. It returns the context's error if that ends first.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
