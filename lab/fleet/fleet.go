// Package fleet runs many processes of the gateway on loopback, emulators of all that they speak to and a relay between
// them, injects faults at set times, and checks and counts what follows. It is a library for tests.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"ravensill/lab/emulator"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/relay"
)

const (
	maxStarting              = 12 // processes that start at one time
	defaultMessagesPerSecond = 40
)

// gossipNetwork names the relay's network of the gateways' gossip. Its faults follow from the name, too.
const gossipNetwork = "mail"

// Networks within 127.0.0.0/8.
const (
	gatewayNetwork = 100
	agentNetwork   = 101
)

// Options describe a fleet. Zero values mean the defaults.
type Options struct {
	Gateways int
	Hosts    int
	Seed     uint64
	Zones    []string // default: one zone
	// ConfigureHost changes the options of host i before it starts.
	ConfigureHost func(i int, host *emulator.HostOptions)
	// ChangeSettings changes the deployment's settings, which all gateways have.
	ChangeSettings func(settings *gatewayconfig.Settings)
	// ConfigureGateway adds to the configuration of gateway i.
	ConfigureGateway func(f *Fleet, i int, file *gatewayconfig.File) error
	// PrepareRelay adds datagram networks and streams to the relay before any gateway is configured.
	PrepareRelay func(f *Fleet) error
	// OnServing is called by the actor of gateway i with the log line of a process that serves. It must not ask that
	// gateway.
	OnServing         func(f *Fleet, i int, line string)
	NotStarted        map[int]bool // gateways that Start does not start
	UnlistedHosts     map[int]bool // hosts that run and are not in the first host list
	SharedCounter     bool
	NoGossip          bool    // between the gateways
	MessagesPerSecond float64 // that a gateway accepts; default 40
	Binary            string  // default: the gateway of this module is built
	Env               []string
}

// Fleet is a running fleet.
type Fleet struct {
	Options       Options
	Agent         *emulator.Agent
	Counter       *emulator.Counter // nil: none
	Relay         *relay.Relay
	Clients       *emulator.Clients
	Gossip        *relay.DatagramNetwork // between the gateways; nil: none
	Dir           string
	StartDuration time.Duration // until all gateways served
	hosts         []*emulator.Host
	gateways      []*Gateway
	background    errgroup.Group // steps that go on while later ones run
}

// Gateway returns the gateway with the member index i.
func (f *Fleet) Gateway(i int) *Gateway { return f.gateways[i] }

// Gateways returns all gateways by member index.
func (f *Fleet) Gateways() []*Gateway { return f.gateways }

// Host returns the host with the index i.
func (f *Fleet) Host(i int) *emulator.Host { return f.hosts[i] }

// Hosts returns all hosts by index.
func (f *Fleet) Hosts() []*emulator.Host { return f.hosts }

// GatewayName returns the name of the gateway with the member index i, which the relay's rules use too.
func GatewayName(i int) string { return fmt.Sprintf("g%d", i) }

// GatewayNames returns the names of the gateways with member indexes in [from, to).
func GatewayNames(from, to int) (names []string) {
	for i := from; i < to; i++ {
		names = append(names, GatewayName(i))
	}
	return names
}

// Indexes returns the integers in [from, to).
func Indexes(from, to int) (indexes []int) {
	for i := from; i < to; i++ {
		indexes = append(indexes, i)
	}
	return indexes
}

// Start starts a fleet and returns once every gateway serves that is to be started. If that fails, it ends what it
// started.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Gateways < 1 || options.Hosts < 1 {
		return nil, errors.New("fleet: no gateways or no hosts")
	}
	if err := options.setDefaults(); err != nil {
		return nil, err
	}
	f := &Fleet{Options: options, Relay: relay.New(options.Seed)}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// setDefaults replaces zero values by the defaults and builds the gateway if need be.
func (o *Options) setDefaults() error {
	if len(o.Zones) == 0 {
		o.Zones = []string{"a"}
	}
	if o.MessagesPerSecond == 0 {
		o.MessagesPerSecond = defaultMessagesPerSecond
	}
	if o.Binary != "" {
		return nil
	}
	var err error
	o.Binary, err = GatewayBinary()
	return err
}

// start starts the emulators and then the gateways.
func (f *Fleet) start(ctx context.Context) error {
	var err error
	f.Dir, err = os.MkdirTemp("", "ravensill-run-")
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := f.startEmulators(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if f.Options.PrepareRelay != nil {
		if err := f.Options.PrepareRelay(f); err != nil {
			return fmt.Errorf("fleet: preparing the relay: %w", err)
		}
	}
	for i := range f.Options.Gateways {
		gateway, err := f.newGateway(i)
		if err != nil {
			return fmt.Errorf("fleet: configuring %s: %w", GatewayName(i), err)
		}
		f.gateways = append(f.gateways, gateway)
	}
	return f.startGateways(ctx)
}

// startEmulators starts the hosts, the agent, the counter, the network of gossip and the clients.
func (f *Fleet) startEmulators() error {
	options := &f.Options
	var entries []emulator.HostEntry
	for i := range options.Hosts {
		host, err := emulator.NewHost(f.hostOptions(i))
		if err != nil {
			return err
		}
		f.hosts = append(f.hosts, host)
		if !options.UnlistedHosts[i] {
			entries = append(entries, host.Entry(emulator.Active))
		}
	}
	var err error
	f.Agent, err = emulator.NewAgent(agentNetwork, options.Gateways, entries...)
	if err != nil {
		return err
	}
	if options.SharedCounter {
		f.Counter, err = emulator.NewCounter()
		if err != nil {
			return err
		}
	}
	if !options.NoGossip && options.Gateways > 1 {
		f.Gossip, err = f.Relay.AddDatagramNetwork(gossipNetwork, GatewayNames(0, options.Gateways))
		if err != nil {
			return err
		}
	}
	f.Clients = emulator.NewClients(make([]string, options.Gateways))
	return nil
}

// hostOptions returns the options of host i.
func (f *Fleet) hostOptions(i int) emulator.HostOptions {
	host := emulator.HostOptions{
		ID:           fmt.Sprintf("s-%04d", i),
		Listen:       "127.0.0.1:0",
		Zone:         f.Options.Zones[i%len(f.Options.Zones)],
		Kind:         machineType,
		Cell:         i % cells,
		Model:        emulator.DefaultModel(),
		ReportFields: []string{reportField},
	}
	if f.Options.ConfigureHost != nil {
		f.Options.ConfigureHost(i, &host)
	}
	return host
}

// newGateway configures gateway i.
func (f *Fleet) newGateway(i int) (*Gateway, error) {
	file, err := f.gatewayFile(i)
	if err != nil {
		return nil, err
	}
	gateway := &Gateway{Config: file}
	gateway.Process = NewProcess(ProcessOptions{
		Name:           GatewayName(i),
		Index:          i,
		Binary:         f.Options.Binary,
		ConfigVariable: "GW_CONFIG",
		ReadyEvent:     "serving",
		Dir:            filepath.Join(f.Dir, GatewayName(i), "disk"),
		Config:         file,
		Env:            f.Options.Env,
		OnServing:      func(line string) { f.onServing(i, line) },
		OnExit:         func() { f.onExit(i) },
	})
	return gateway, nil
}

// startGateways starts the gateways and waits until they serve.
func (f *Fleet) startGateways(ctx context.Context) error {
	began := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxStarting)
	for i, gateway := range f.gateways {
		if f.Options.NotStarted[i] {
			continue
		}
		group.Go(func() error {
			if err := gateway.Launch(); err != nil {
				return err
			}
			return gateway.WaitServing(ctx)
		})
	}
	err := group.Wait()
	f.StartDuration = time.Since(began)
	return err
}

// onServing is called by the actor of gateway i when its process serves.
func (f *Fleet) onServing(i int, line string) {
	addresses := listenAddresses(line)
	f.Clients.SetAddr(i, addresses.clients)
	if addresses.peers.IsValid() && f.Gossip != nil {
		f.Gossip.SetAddr(i, addresses.peers)
	}
	if f.Options.OnServing != nil {
		f.Options.OnServing(f, i, line)
	}
}

// onExit is called by the actor of gateway i when its process has ended.
func (f *Fleet) onExit(i int) {
	if f.Gossip != nil {
		f.Gossip.SetAddr(i, netip.AddrPort{})
	}
}

// Close ends all processes and emulators and removes their files.
func (f *Fleet) Close() {
	var group errgroup.Group
	for _, gateway := range f.gateways {
		group.Go(func() error {
			if gateway.Running() {
				gateway.Kill()
			}
			gateway.Actor.Stop()
			return nil
		})
	}
	group.Wait()
	if f.Clients != nil {
		f.Clients.Close()
	}
	if f.Agent != nil {
		f.Agent.Close()
	}
	if f.Counter != nil {
		f.Counter.Close()
	}
	for _, host := range f.hosts {
		host.Close()
	}
	f.Relay.Close()
	os.RemoveAll(f.Dir)
}

// pollInterval is the pause between two looks at a state that nothing announces.
const pollInterval = 5 * time.Millisecond

// WaitUntil waits for a state that nothing announces. what names the state in an error.
func WaitUntil(ctx context.Context, what string, reached func() bool) error {
	for !reached() {
		select {
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", what, ctx.Err())
		case <-time.After(pollInterval):
		}
	}
	return nil
}

// WaitSent waits until clients have sent a number of further requests.
func (f *Fleet) WaitSent(ctx context.Context, more int) error {
	from := f.Clients.Sent()
	return WaitUntil(ctx, fmt.Sprintf("%d more requests", more), func() bool { return f.Clients.Sent() >= from+more })
}
