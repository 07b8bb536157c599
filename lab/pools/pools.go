// Package pools runs fleets of real gateway processes that share the connections of one emulated store by negotiated
// quotas. It injects faults and measures what the store and the clients see.
package pools

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/logline"
	"ravensill/lab/relay"
)

const (
	second         = time.Second
	clientTimeout  = 3 * second // of a request
	voterNetwork   = 120        // network of the voters' addresses within 127.0.0.0/8
	unlimitedSlots = 1 << 20    // requests that the store serves at once: more than it ever gets
	keyBytes       = 16
)

// Size describes the fleet and the load of a run, and how the store's connections are shared.
type Size struct {
	Gateways    int
	Voters      int // the gateways with the lowest indexes, which grant the leases
	Capacity    int // connections of the store
	Reserve     int // of Capacity: connections that are never lent
	Floor       int // connections that each gateway may have without a lease
	Lease       time.Duration
	ServiceTime time.Duration // typical time of a request at the store
	Rate        float64       // requests per second over the whole fleet
	HotGateways int           // gateways with more traffic: those with the highest indexes
	HotFactor   float64       // ratio of the traffic of a hot gateway to that of any other
	Seed        uint64
	FloorsOnly  bool // the voters receive no messages, so that no connections are lent
	Unmanaged   bool // no quotas: gateways open connections as they like, and the store refuses those beyond Capacity
}

// FullSize returns the size of the runs whose figures are written to docs/measurements.
func FullSize() Size {
	return Size{
		Gateways:    200,
		Voters:      5,
		Capacity:    500,
		Reserve:     10,
		Floor:       1,
		Lease:       4 * second,
		ServiceTime: 400 * time.Millisecond,
		Rate:        800,
		HotGateways: 20,
		HotFactor:   6,
		Seed:        3,
	}
}

// SmallSize returns the size of the runs in CI.
func SmallSize() Size {
	return Size{
		Gateways:    24,
		Voters:      3,
		Capacity:    100,
		Reserve:     4,
		Floor:       1,
		Lease:       2 * second,
		ServiceTime: 300 * time.Millisecond,
		Rate:        210,
		HotGateways: 4,
		HotFactor:   6,
		Seed:        3,
	}
}

// EqualSplit returns the size with the capacity split equally: each gateway's floor is its share, and no connections
// are lent.
func (s Size) EqualSplit() Size {
	s.Floor = (s.Capacity - s.Reserve) / s.Gateways
	s.FloorsOnly = true
	return s
}

// Load returns the load of the clients.
func (s Size) Load() emulator.Load {
	weights := map[int]float64{}
	for i := range s.HotGateways {
		weights[s.Gateways-1-i] = s.HotFactor
	}
	return emulator.Load{
		Seed:           s.Seed,
		Rate:           s.Rate,
		Customers:      40 * s.Gateways,
		QuotaPlan:      "team",
		GatewayWeights: weights,
		Body:           "x",
		Classes:        fleet.MixedClasses(clientTimeout),
	}
}

// Group holds the voters of one fleet and the relay's networks that connect them with the gateways.
type Group struct {
	Size
	datagrams *relay.DatagramNetwork // its ends are the gateways by index, then the voters
	voters    []netip.AddrPort       // by voter: the address on which it listens
	streams   map[int][]string       // by voter: the relay's addresses that lead from it to each voter
}

// NewGroup returns a group and the options of its fleet, which has one host: the store that all gateways share.
func (s Size) NewGroup() (*Group, fleet.Options) {
	group := &Group{Size: s, streams: map[int][]string{}}
	return group, fleet.Options{
		Gateways: s.Gateways,
		Hosts:    1,
		Seed:     s.Seed,
		ConfigureHost: func(_ int, store *emulator.HostOptions) {
			store.Model = emulator.Model{BaseTime: s.ServiceTime, Sigma: 0.2, Slots: unlimitedSlots}
			store.MaxConns = s.Capacity
			store.RefusalReply = "-BUSY\r\n"
		},
		ChangeSettings: func(settings *gatewayconfig.Settings) {
			for i := range settings.Classes {
				settings.Classes[i].TimeoutUS = clientTimeout.Microseconds()
			}
		},
		PrepareRelay: group.prepareRelay,
		ConfigureGateway: func(_ *fleet.Fleet, i int, file *gatewayconfig.File) error {
			if !s.Unmanaged {
				file.Pool = group.poolSection(i)
			}
			return nil
		},
	}
}

// prepareRelay adds the datagram network between gateways and voters, and the streams between voters, to the relay.
// With FloorsOnly it leaves out the voters' datagram addresses, so that no datagram reaches them.
func (g *Group) prepareRelay(f *fleet.Fleet) error {
	names := fleet.GatewayNames(0, g.Gateways)
	var err error
	g.datagrams, err = f.Relay.AddDatagramNetwork("pool", append(names, names[:g.Voters]...))
	if err != nil {
		return err
	}
	for voter := range g.Voters {
		addr, err := emulator.FreeAddr(voterNetwork, voter)
		if err != nil {
			return err
		}
		g.voters = append(g.voters, addr)
		if !g.FloorsOnly {
			g.datagrams.SetAddr(g.Gateways+voter, addr)
		}
	}
	for from := range g.Voters {
		for to, addr := range g.voters {
			stream, err := f.Relay.AddStream(fleet.GatewayName(from), fleet.GatewayName(to), addr.String())
			if err != nil {
				return err
			}
			g.streams[from] = append(g.streams[from], stream.Addr())
		}
	}
	return nil
}

// poolSection returns the pool section of the configuration of gateway i.
func (g *Group) poolSection(i int) *gatewayconfig.Pool {
	section := &gatewayconfig.Pool{
		Capacity:     g.Capacity,
		Reserve:      g.Reserve,
		Floor:        g.Floor,
		Voters:       g.datagrams.PeerAddrs(i)[g.Gateways:],
		VoterMembers: fleet.Indexes(0, g.Voters),
		Key:          strings.Repeat("5a", keyBytes),
		LeaseMS:      g.Lease.Milliseconds(),
		Urgent:       []string{"pay"},
	}
	if i < g.Voters {
		section.Listen = g.voters[i].String()
		section.Dir = "pool"
		section.Streams = g.streams[i]
	}
	return section
}

// WaitLeader waits until a voter leads and returns its index.
func (g *Group) WaitLeader(ctx context.Context, f *fleet.Fleet) (leader int, err error) {
	leader = -1
	err = fleet.WaitUntil(ctx, "a leader", func() bool {
		leader = slices.IndexFunc(f.Gateways()[:g.Voters], isLeading)
		return leader >= 0
	})
	return leader, err
}

// isLeading reports whether a voter is running and, by its latest log line about it, leads.
func isLeading(voter *fleet.Gateway) bool {
	if !voter.Running() {
		return false
	}
	lines := voter.EventLines("pool_leader_changed")
	return len(lines) > 0 && logline.Value(lines[len(lines)-1], "leader") == "true"
}

// UnreturnedUnits returns the sum of the units that the voters logged as reclaimed from gateways that had not returned
// them.
func UnreturnedUnits(f *fleet.Fleet) (units int) {
	for _, gateway := range f.Gateways() {
		for _, line := range gateway.EventLines("pool_quota_exceeded") {
			units += logline.Int(line, "units")
		}
	}
	return units
}

// capacityDescription returns the description of the step that ChangeCapacity returns for a capacity.
func capacityDescription(capacity int) string { return fmt.Sprintf("capacity %d", capacity) }
