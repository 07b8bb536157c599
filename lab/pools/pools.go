// Package pools runs fleets of real processes that share one stand-in store by negotiated quotas, injects faults, and
// counts what the store saw.
package pools

import (
	"context"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"ravensill/lab/actor"
	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/logline"
	"ravensill/lab/relay"
)

// Size says how large a run is.
type Size struct {
	Gateways, Voters int
	Capacity         int // of the store
	Reserve, Floor   int
	Lease            time.Duration
	Service          time.Duration // of a req at the store
	Rate             float64       // reqs a second
	Hot              int           // gateways that get
	Times            float64       // so many times the others' traffic
	Seed             uint64
	Alone            bool // floors alone: the voters never answer
	Off              bool // first come first served: no section, the store refuses
}

// Full is the size behind FULL_SIZE=1.
func Full() Size {
	return Size{Gateways: 200, Voters: 5, Capacity: 500, Reserve: 10, Floor: 1, Lease: 4 * time.Second, Service: 400 * time.Millisecond,
		Rate: 800, Hot: 20, Times: 6, Seed: 3}
}

// Rig is a fleet and what leads its messages.
type Rig struct {
	Size
	net     *relay.Datagrams
	voters  []netip.AddrPort
	streams map[int][]string
}

// Usual is the size for CI.
func Usual() Size {
	return Size{Gateways: 24, Voters: 3, Capacity: 100, Reserve: 4, Floor: 1, Lease: 2 * time.Second, Service: 300 * time.Millisecond,
		Rate: 210, Hot: 4, Times: 6, Seed: 3}
}

// Longest is the client timeout.
func (z Size) Longest() time.Duration { return 3 * time.Second }

// Plan gives the fleet: one store for all.
func (z Size) Plan() (*Rig, fleet.Options) {
	r := &Rig{Size: z, streams: map[int][]string{}}
	p := fleet.Options{Gateways: z.Gateways, Hosts: 1, Seed: z.Seed}
	p.ConfigureHost = func(i int, h *emulator.HostOptions) {
		h.Model = emulator.Model{BaseTime: z.Service, Sigma: 0.2, Slots: 1 << 20}
		h.MaxConns, h.RefusalReply = z.Capacity, "-BUSY\r\n"
	}
	p.ChangeSettings = func(settings *gatewayconfig.Settings) {
		for i := range settings.Classes {
			settings.Classes[i].TimeoutUS = z.Longest().Microseconds()
		}
	}
	p.PrepareRelay = func(f *fleet.Fleet) error {
		names := fleet.GatewayNames(0, z.Gateways)
		var err error
		if r.net, err = f.Relay.Datagrams("pool", append(names, names[:z.Voters]...)); err != nil {
			return err
		}
		for k := range z.Voters {
			at, err := emulator.FreeAddr(120, k)
			if err != nil {
				return err
			}
			r.voters = append(r.voters, at)
			if !z.Alone {
				r.net.Place(z.Gateways+k, at)
			}
		}
		for i := range z.Voters {
			for k := range z.Voters {
				s, err := f.Relay.Stream(fleet.GatewayName(i), fleet.GatewayName(k), r.voters[k].String())
				if err != nil {
					return err
				}
				r.streams[i] = append(r.streams[i], s.Addr())
			}
		}
		return nil
	}
	p.ConfigureGateway = func(f *fleet.Fleet, i int, file *gatewayconfig.File) error {
		if z.Off {
			return nil
		}
		file.Pool = &gatewayconfig.Pool{
			Capacity:     z.Capacity,
			Reserve:      z.Reserve,
			Floor:        z.Floor,
			Voters:       r.net.Peers(i)[z.Gateways:],
			VoterMembers: fleet.Indexes(0, z.Voters),
			Key:          strings.Repeat("5a", 16),
			LeaseMS:      z.Lease.Milliseconds(),
			Urgent:       []string{"pay"},
		}
		if i < z.Voters {
			file.Pool.Listen = r.voters[i].String()
			file.Pool.Dir = "pool"
			file.Pool.Streams = r.streams[i]
		}
		return nil
	}
	return r, p
}

// Equal makes it an equal split: each has its part as its floor and nothing is lent.
func (z Size) Equal() Size {
	z.Floor, z.Alone = (z.Capacity-z.Reserve)/z.Gateways, true
	return z
}

// Load gives the clients' traffic.
func (z Size) Load() emulator.Load {
	hot := map[int]float64{}
	for i := range z.Hot {
		hot[z.Gateways-1-i] = z.Times
	}
	return emulator.Load{Seed: z.Seed, Rate: z.Rate, Customers: 40 * z.Gateways, QuotaPlan: "team", GatewayWeights: hot, Body: "x",
		Classes: []emulator.Class{{Name: "lookup", Timeout: z.Longest(), Fraction: 0.6},
			{Name: "order", Post: true, Idempotent: true, Timeout: z.Longest(), Fraction: 0.2},
			{Name: "pay", Post: true, Timeout: z.Longest(), Fraction: 0.2}}}
}

// Lower has the store take fewer connections, and the operators tell so: the serial in all files is raised and they are
// read anew.
func (r *Rig) Lower(at time.Duration, capacity int, serial uint64) fleet.Step {
	return fleet.Step{At: at, Description: fmt.Sprintf("capacity %d", capacity), Run: func(ctx context.Context, f *fleet.Fleet) error {
		for _, g := range f.Gateways() {
			g.Config.Pool.Capacity = capacity
			g.Config.Pool.Serial = serial
			if g.Running() {
				if err := g.Reload(); err != nil {
					return err
				}
			}
		}
		return nil
	}}
}

// Leading waits until a voter leads, and tells which.
func (r *Rig) Leading(ctx context.Context, f *fleet.Fleet) (seat int, err error) {
	seat = -1
	err = fleet.WaitUntil(ctx, "a leader", func() bool {
		for i := range r.Voters {
			if g := f.Gateway(i); g.Running() {
				if lines := g.Lines("pool_leads"); len(lines) > 0 && logline.Value(lines[len(lines)-1], "yes") == "true" {
					seat = i
					return true
				}
			}
		}
		return false
	})
	return seat, err
}

// Figures are what a run is compared by.
type Figures struct {
	Used      float64       // part of the capacity less the reserve that was in use on average
	Jain      float64       // of what the gateways whose demand is above their share got, in reqs passed
	P50, P99  time.Duration // of what passed
	Wait      time.Duration // the 99th part of all, where what did not pass waited as long as its client would
	Passed    int
	Denied    int
	Lost      int
	Refused   int // by the store
	Opened    int
	Peak      int
	EachTold  float64 // datagrams a second of a process to the voters
	LeadTold  float64 // of the voter that told most
	DeniedP99 time.Duration
}

func (g Figures) String() string {
	return fmt.Sprintf("used %.3f, Jain %.3f, p50 %d ms, p99 %d ms (%d ms with what did not pass as its client timeout), passed %d, denied %d (p99 after %d ms), lost %d, refused dials %d, opened %d, peak %d, datagrams a process %.1f/s, the leader %.1f/s",
		g.Used, g.Jain, g.P50.Milliseconds(), g.P99.Milliseconds(), g.Wait.Milliseconds(), g.Passed, g.Denied, g.DeniedP99.Milliseconds(), g.Lost, g.Refused,
		g.Opened, g.Peak, g.EachTold, g.LeadTold)
}

// Figures reads a run, from a time after its begin on. It is called while the fleet still runs, as a check is.
func (z Size) Figures(r *fleet.Report, rig *Rig, from time.Duration) (g Figures) {
	start := r.StartedAt + int64(from)
	var times, denied, waits []int64
	got := make([]float64, z.Gateways)
	for _, q := range r.Clients.Requests {
		if q.SentAt < start || q.SentAt > r.EndedAt-int64(time.Second) {
			continue
		}
		switch q.Result {
		case emulator.Succeeded:
			g.Passed++
			got[q.Gateway]++
			times = append(times, q.EndedAt-q.SentAt)
			waits = append(waits, q.EndedAt-q.SentAt)
			continue
		case emulator.Rejected:
			g.Denied++
			denied = append(denied, q.EndedAt-q.SentAt)
		default:
			g.Lost++
		}
		waits = append(waits, int64(z.Longest()))
	}
	g.P50, g.P99, g.DeniedP99 = rank(times, 0.5), rank(times, 0.99), rank(denied, 0.99)
	g.Wait = rank(waits, 0.99)
	h := r.Hosts[0].HostLog
	g.Refused, g.Opened, g.Peak = h.Refused, h.Accepted, h.PeakConns
	busy := 0.0
	for _, c := range h.Commands {
		end := c.EndedAt
		if end == 0 {
			end = r.EndedAt
		}
		busy += float64(max(min(end, r.EndedAt)-max(c.ReceivedAt, start), 0))
	}
	g.Used = busy / float64(r.EndedAt-start) / float64(z.Capacity-z.Reserve)
	sum, squares, n := 0.0, 0.0, 0.0
	for i, x := range got {
		if i >= z.Gateways-z.Hot || z.Hot == 0 { // who wants more than its share
			sum, squares, n = sum+x, squares+x*x, n+1
		}
	}
	g.Jain = sum * sum / (n * max(squares, 1))
	if rig.net != nil && !z.Off {
		_, each := rig.net.Counts()
		long := time.Duration(actor.Now()-r.StartedAt).Seconds() + r.Fleet.StartDuration.Seconds()
		for i, c := range each {
			if rate := float64(c.Sent) / long; i < z.Gateways {
				g.EachTold = math.Max(g.EachTold, rate)
			} else {
				g.LeadTold = math.Max(g.LeadTold, rate)
			}
		}
	}
	return g
}

func rank(all []int64, part float64) time.Duration {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return time.Duration(all[int(part*float64(len(all)-1))])
}

// Quota gives the last figures that each gateway logged of its quota.
func Quota(g *fleet.Gateway, name string) int {
	lines := g.Lines("pool_quota")
	if len(lines) == 0 {
		return -1
	}
	n, err := strconv.Atoi(logline.Value(lines[len(lines)-1], name))
	if err != nil {
		return -1
	}
	return n
}
