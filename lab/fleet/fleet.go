// Package fleet runs many gateway processes on loopback, together with emulators of the hosts, the discovery agents,
// the shared counter and the clients, and a relay for the gateways' traffic. It injects faults at set times, checks
// that the rules of a gateway fleet hold, and measures evenness and cost. It is a library for tests.
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
	maxConcurrentStarts      = 12 // processes that are starting at the same time
	defaultMessagesPerSecond = 40
)

// gossipNetwork is the relay's name for the datagram network of the gateways' gossip. The random faults of the network
// depend on the name.
const gossipNetwork = "mail"

// Second octets of the loopback addresses of the gateways and of their discovery agents.
const (
	gatewayNetwork = 100
	agentNetwork   = 101
)

// Options describe a fleet. A zero value selects the default.
type Options struct {
	Gateways int
	Hosts    int
	Seed     uint64
	Zones    []string // hosts and gateways are dealt to the zones in turn; default: one zone
	// ConfigureHost, if not nil, changes the options of host i before it is created.
	ConfigureHost func(i int, host *emulator.HostOptions)
	// ChangeSettings, if not nil, changes the settings that all gateways have in common. It is called for each gateway.
	ChangeSettings func(settings *gatewayconfig.Settings)
	// ConfigureGateway, if not nil, changes the configuration of gateway i before its first start.
	ConfigureGateway func(f *Fleet, i int, file *gatewayconfig.File) error
	// PrepareRelay, if not nil, adds datagram networks and streams to the relay before any gateway is configured.
	PrepareRelay func(f *Fleet) error
	// OnServing, if not nil, is called with the log line by which a process of gateway i says that it serves. It runs in
	// the gateway's actor, so it must not call methods of that gateway, which would deadlock.
	OnServing         func(f *Fleet, i int, line string)
	NotStarted        map[int]bool // member indexes of gateways that Start configures but does not start
	UnlistedHosts     map[int]bool // indexes of hosts that run but are missing from the first host list
	SharedCounter     bool
	NoGossip          bool     // the gateways exchange no gossip
	MessagesPerSecond float64  // rate of gossip messages that a gateway accepts; default 40
	Binary            string   // path of the gateway's executable file; default: that of GatewayBinary
	Env               []string // further environment variables of the gateways, as name=value
}

// Fleet is a running fleet. Its methods may be called by several goroutines at once.
type Fleet struct {
	Options         Options
	Agent           *emulator.Agent
	Counter         *emulator.Counter // nil without Options.SharedCounter
	Relay           *relay.Relay
	Clients         *emulator.Clients
	Gossip          *relay.DatagramNetwork // network between the gateways; nil without gossip
	Dir             string                 // temporary directory with the files of all gateways
	StartDuration   time.Duration          // time from the first start until all gateways served
	hosts           []*emulator.Host
	gateways        []*Gateway
	crowds          crowdLog
	backgroundSteps errgroup.Group // work that a step leaves running while later steps run
}

// Gateway returns the gateway with the member index i.
func (f *Fleet) Gateway(i int) *Gateway { return f.gateways[i] }

// Gateways returns all gateways by member index.
func (f *Fleet) Gateways() []*Gateway { return f.gateways }

// Host returns the host with the index i.
func (f *Fleet) Host(i int) *emulator.Host { return f.hosts[i] }

// Hosts returns all hosts by index.
func (f *Fleet) Hosts() []*emulator.Host { return f.hosts }

// GatewayName returns the name of the gateway with the member index i. The relay uses the same name for the gateway's
// node in its networks.
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

// Start starts a fleet and returns once every gateway serves, except those in Options.NotStarted. If an emulator or a
// gateway fails to start, or ctx ends before, it stops everything it started and returns an error.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	if options.Gateways < 1 || options.Hosts < 1 {
		return nil, errors.New("fleet: at least one gateway and one host are required")
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

// setDefaults replaces zero values by the defaults. It builds the gateway if Binary is empty.
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

// start creates the directory, starts the emulators and then the gateways.
func (f *Fleet) start(ctx context.Context) error {
	var err error
	f.Dir, err = os.MkdirTemp("", "ravensill-run-")
	if err != nil {
		return fmt.Errorf("fleet: creating the directory of the run: %w", err)
	}
	if err := f.startEmulators(); err != nil {
		return fmt.Errorf("fleet: starting the emulators: %w", err)
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

// startEmulators starts the hosts, the discovery agents, the counter, the gossip network and the clients. The clients
// learn each gateway's address when it serves.
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

// hostOptions returns the options of host i. The index determines its ID, zone and cell; Options.ConfigureHost may
// change them.
func (f *Fleet) hostOptions(i int) emulator.HostOptions {
	host := emulator.HostOptions{
		ID:           fmt.Sprintf("s-%04d", i),
		Listen:       "127.0.0.1:0",
		Zone:         f.Options.Zones[i%len(f.Options.Zones)],
		Kind:         machineType,
		Cell:         i % cellCount,
		Model:        emulator.DefaultModel(),
		ReportFields: []string{reportField},
	}
	if f.Options.ConfigureHost != nil {
		f.Options.ConfigureHost(i, &host)
	}
	return host
}

// newGateway returns gateway i, configured but not started.
func (f *Fleet) newGateway(i int) (*Gateway, error) {
	file, err := f.gatewayConfig(i)
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

// startGateways starts the gateways, up to maxConcurrentStarts at a time, and waits until all of them serve.
func (f *Fleet) startGateways(ctx context.Context) error {
	began := time.Now()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentStarts)
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

// onServing tells the clients and the relay the addresses of gateway i. The gateway's actor calls it when a process of
// the gateway starts to serve.
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

// onExit makes the relay drop datagrams to gateway i. The gateway's actor calls it when the gateway's process has
// ended.
func (f *Fleet) onExit(i int) {
	if f.Gossip != nil {
		f.Gossip.SetAddr(i, netip.AddrPort{})
	}
}

// Close kills all processes, stops all emulators and removes the fleet's directory. Nothing may use the fleet
// afterwards.
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

// pollInterval is the pause between two checks in WaitUntil.
const pollInterval = 5 * time.Millisecond

// WaitUntil polls until reached returns true, or until ctx ends, which is an error. It is for conditions that have no
// event to wait for. what names the condition in the error.
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

// WaitSent waits until the clients have sent a number of requests since the call.
func (f *Fleet) WaitSent(ctx context.Context, more int) error {
	from := f.Clients.Sent()
	return WaitUntil(ctx, fmt.Sprintf("%d more requests", more), func() bool { return f.Clients.Sent() >= from+more })
}
