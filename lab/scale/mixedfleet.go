package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"syscall"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/logline"
)

// mixedFleet is a fleet of real and hollow gateways.
type mixedFleet struct {
	Comparison
	fleet     *fleet.Fleet
	processes []*hollowProcess
	kinds     []GatewayKind // by member index
}

// close ends all processes.
func (m *mixedFleet) close() {
	for _, p := range m.processes {
		p.close()
	}
	if m.fleet != nil {
		m.fleet.Close()
	}
}

// interleave spreads the kinds evenly over the member indexes, so that each has all kinds among its neighbours.
func interleave(gateways [kinds]int) (order []GatewayKind) {
	total := 0
	for _, n := range gateways {
		total += n
	}
	var given [kinds]int
	for i := range total {
		next, lack := Real, math.Inf(-1)
		for kind, n := range gateways {
			if behind := float64(n*(i+1))/float64(total) - float64(given[kind]); behind > lack {
				next, lack = GatewayKind(kind), behind
			}
		}
		given[next]++
		order = append(order, next)
	}
	return order
}

// start starts the fleet.
func (m *mixedFleet) start(ctx context.Context, directory string) error {
	program, err := buildProgram(directory)
	if err != nil {
		return err
	}
	hollow, err := buildHollow(directory)
	if err != nil {
		return err
	}
	m.kinds = interleave(m.Gateways)
	plan := fleet.Options{
		Gateways:          len(m.kinds),
		Hosts:             m.Hosts,
		Seed:              m.Seed,
		MessagesPerSecond: messagesPerSecond,
		Binary:            program,
		NotStarted:        map[int]bool{},
		ChangeSettings: func(settings *gatewayconfig.Settings) {
			settings.QuotaPlans = []gatewayconfig.QuotaPlan{newQuotaPlan("team")}
		},
	}
	for i, kind := range m.kinds {
		plan.NotStarted[i] = kind != Real
	}
	if m.fleet, err = fleet.Start(ctx, plan); err != nil {
		return err
	}
	var shared []string
	for i, kind := range m.kinds {
		if kind == Real {
			continue
		}
		file := filepath.Join(directory, strconv.Itoa(i)+".json")
		text, err := json.Marshal(m.fleet.Gateway(i).Config)
		if err != nil {
			return err
		}
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return err
		}
		if kind == HollowSharedProcess {
			shared = append(shared, file)
		} else if err := m.startHollow(hollow, file); err != nil {
			return err
		}
	}
	if err := m.startHollow(hollow, shared...); err != nil {
		return err
	}
	return fleet.WaitUntil(ctx, "watches of the list", func() bool { return m.fleet.Agent.OpenWatches() >= plan.Gateways })
}

// startHollow starts a process of hollow gateways, one for each configuration file.
func (m *mixedFleet) startHollow(binary string, files ...string) error {
	p, err := startHollow(binary, files)
	if err != nil {
		return err
	}
	m.processes = append(m.processes, p)
	for _, g := range p.Gateways {
		at, err := netip.ParseAddrPort(g.Address)
		if err != nil {
			return err
		}
		m.fleet.Gossip.SetAddr(g.Index, at)
	}
	return nil
}

// load has clients send the same to each gateway: emulated clients to real ones, simulated clients to hollow ones.
func (m *mixedFleet) load() (*emulator.LoadRun, error) {
	load := emulator.Load{
		Seed:           m.Seed,
		Rate:           m.Rate * float64(m.Gateways[Real]),
		Customers:      m.Customers,
		QuotaPlan:      "team",
		GatewayWeights: map[int]float64{},
	}
	for i, kind := range m.kinds {
		if kind != Real {
			load.GatewayWeights[i] = 0
		}
	}
	order := Query{Load: &Load{Rate: m.Rate, Customers: m.Customers, SubsetSize: len(m.kinds), Seed: m.Seed}}
	for _, p := range m.processes {
		if _, err := p.send(order); err != nil {
			return nil, err
		}
	}
	return m.fleet.Clients.Start(load), nil
}

// kindTotals are sums over the gateways of a kind since their start.
type kindTotals struct {
	messagesOut int
	bytesOut    int
	messagesIn  int
	processor   time.Duration
}

// window measures until all gateways together have sent enough messages.
func (m *mixedFleet) window(ctx context.Context) (windows [kinds]window, err error) {
	before, err := m.totals()
	if err != nil {
		return windows, err
	}
	began := time.Now()
	first, _ := m.fleet.Gossip.Counts()
	if err := fleet.WaitUntil(ctx, "messages between gateways", func() bool {
		all, _ := m.fleet.Gossip.Counts()
		return all.Sent-first.Sent >= m.MinMessages
	}); err != nil {
		return windows, err
	}
	after, err := m.totals()
	if err != nil {
		return windows, err
	}
	length := time.Since(began).Seconds()
	for kind := range windows {
		per := length * float64(m.Gateways[kind])
		windows[kind].messagesOut = float64(after[kind].messagesOut-before[kind].messagesOut) / per
		windows[kind].bytesOut = float64(after[kind].bytesOut-before[kind].bytesOut) / per
		windows[kind].messagesIn = float64(after[kind].messagesIn-before[kind].messagesIn) / per
		windows[kind].share = (after[kind].processor - before[kind].processor).Seconds() / per
	}
	return windows, nil
}

// totals returns what all gateways have sent, as the relay saw it, and the processor time of their processes. What
// real gateways received is what the relay delivered without what hollow ones counted.
func (m *mixedFleet) totals() (sums [kinds]kindTotals, err error) {
	all, each := m.fleet.Gossip.Counts()
	sums[Real].messagesIn = all.Delivered
	for i, kind := range m.kinds {
		sums[kind].messagesOut += each[i].Sent
		sums[kind].bytesOut += each[i].Bytes
		if kind == Real {
			usage, err := m.fleet.Gateway(i).Usage()
			if err != nil {
				return sums, err
			}
			sums[Real].processor += usage.CPU
		}
	}
	for _, p := range m.processes {
		kind := m.kinds[p.Gateways[0].Index]
		used, err := p.processorTime()
		if err != nil {
			return sums, err
		}
		sums[kind].processor += used
		state, err := p.send(Query{})
		if err != nil {
			return sums, err
		}
		for _, counts := range state.Counts {
			sums[kind].messagesIn += counts.MessagesIn
			sums[Real].messagesIn -= counts.MessagesIn
		}
	}
	return sums, nil
}

// added returns the added latency, by the logs of clients and hosts.
func (m *mixedFleet) added() AddedLatency {
	atHost := map[string]int64{}
	for _, host := range m.fleet.Hosts() {
		for _, command := range host.Log().Commands {
			if command.EndedAt > 0 {
				atHost[command.ID] += command.EndedAt - command.ReceivedAt
			}
		}
	}
	log := m.fleet.Clients.Log()
	var times []int64
	for _, request := range log.Requests {
		if host, ran := atHost[request.ID]; ran && request.Result == emulator.Succeeded {
			times = append(times, request.EndedAt-request.SentAt-host)
		}
	}
	added := AddedLatency{Requests: len(times), MaxClientDelayMS: float64(log.MaxDelay) / nanosPerMillisecond}
	if len(times) > 0 {
		added.P50 = quantile(times, 0.5) / nanosPerMillisecond
		added.P99 = quantile(times, 0.99) / nanosPerMillisecond
	}
	return added
}

// heaps returns the mean live heap of a gateway of each kind, each with the heap of a process without gateways.
func (m *mixedFleet) heaps(ctx context.Context) (heaps [kinds]float64, err error) {
	for i, kind := range m.kinds {
		if kind != Real {
			continue
		}
		live, err := m.realHeap(ctx, i)
		if err != nil {
			return heaps, err
		}
		heaps[Real] += live / float64(m.Gateways[Real])
	}
	for _, p := range m.processes {
		state, err := p.send(Query{Load: &Load{}, Heap: true})
		if err != nil {
			return heaps, err
		}
		idle, gateways := float64(p.IdleHeap), float64(len(p.Gateways))
		own := (float64(state.LiveHeap)-idle)/gateways + idle
		kind := m.kinds[p.Gateways[0].Index]
		heaps[kind] += own * gateways / float64(m.Gateways[kind])
	}
	return heaps, nil
}

// realHeap returns the live heap of a real gateway's process.
func (m *mixedFleet) realHeap(ctx context.Context, index int) (float64, error) {
	g := m.fleet.Gateway(index)
	mark := g.LogEnd()
	if err := syscall.Kill(g.PID(), syscall.SIGUSR1); err != nil {
		return 0, err
	}
	line, err := g.WaitLineAfter(ctx, mark, "event=live_heap")
	if err != nil {
		return 0, err
	}
	live, err := strconv.ParseFloat(logline.Value(line, "bytes"), 64)
	if err != nil {
		return 0, fmt.Errorf("live heap of %s: %w", g.Name, err)
	}
	return live, nil
}
