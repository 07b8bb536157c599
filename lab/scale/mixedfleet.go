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

// mixedFleet is a running fleet of real and hollow gateways.
type mixedFleet struct {
	Comparison
	fleet     *fleet.Fleet
	processes []*hollowProcess // with hollow gateways
	kinds     []GatewayKind    // by member index
}

// close stops all processes of the fleet.
func (m *mixedFleet) close() {
	for _, p := range m.processes {
		p.close()
	}
	if m.fleet != nil {
		m.fleet.Close()
	}
}

// interleave returns the kind of each member index. It spreads the kinds evenly, so that every gateway has neighbors
// of all kinds.
func interleave(gateways [gatewayKinds]int) (order []GatewayKind) {
	total := 0
	for _, n := range gateways {
		total += n
	}
	var assigned [gatewayKinds]int
	for i := range total {
		next, maxDeficit := Real, math.Inf(-1)
		for kind, n := range gateways {
			if deficit := float64(n*(i+1))/float64(total) - float64(assigned[kind]); deficit > maxDeficit {
				next, maxDeficit = GatewayKind(kind), deficit
			}
		}
		assigned[next]++
		order = append(order, next)
	}
	return order
}

// start builds the programs in a directory, starts all gateways and hosts, and waits until each gateway watches the
// host list.
func (m *mixedFleet) start(ctx context.Context, directory string) error {
	gatewayBinary, err := buildProgram(directory)
	if err != nil {
		return err
	}
	hollowBinary, err := buildHollow(directory)
	if err != nil {
		return err
	}
	m.kinds = interleave(m.Gateways)
	options := fleet.Options{
		Gateways:          len(m.kinds),
		Hosts:             m.Hosts,
		Seed:              m.Seed,
		MessagesPerSecond: messagesPerSecond,
		Binary:            gatewayBinary,
		NotStarted:        map[int]bool{},
		ChangeSettings: func(settings *gatewayconfig.Settings) {
			settings.QuotaPlans = []gatewayconfig.QuotaPlan{newQuotaPlan("team")}
		},
	}
	for i, kind := range m.kinds {
		options.NotStarted[i] = kind != Real
	}
	if m.fleet, err = fleet.Start(ctx, options); err != nil {
		return err
	}
	var sharedFiles []string
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
			sharedFiles = append(sharedFiles, file)
		} else if err := m.startHollow(hollowBinary, file); err != nil {
			return err
		}
	}
	if err := m.startHollow(hollowBinary, sharedFiles...); err != nil {
		return err
	}
	return fleet.WaitUntil(ctx, "watches of the host list", func() bool {
		return m.fleet.Agent.OpenWatches() >= options.Gateways
	})
}

// startHollow starts a process with one hollow gateway for each configuration file, and has the relay deliver gossip
// to their addresses.
func (m *mixedFleet) startHollow(binary string, files ...string) error {
	p, err := startHollow(binary, files)
	if err != nil {
		return err
	}
	m.processes = append(m.processes, p)
	for _, g := range p.Gateways {
		address, err := netip.ParseAddrPort(g.Address)
		if err != nil {
			return err
		}
		m.fleet.Gossip.SetAddr(g.Index, address)
	}
	return nil
}

// startLoad starts the same load at each gateway: emulated clients send it to real gateways, and hollow gateways
// simulate it.
func (m *mixedFleet) startLoad() (*emulator.LoadRun, error) {
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
	query := Query{Load: &Load{Rate: m.Rate, Customers: m.Customers, SubsetSize: len(m.kinds), Seed: m.Seed}}
	for _, p := range m.processes {
		if _, err := p.send(query); err != nil {
			return nil, err
		}
	}
	return m.fleet.Clients.Start(load), nil
}

// kindTotals holds sums over all gateways of a kind since their start.
type kindTotals struct {
	messagesOut int
	bytesOut    int
	messagesIn  int
	cpu         time.Duration
}

// measureWindow returns the figures of each kind for a window that lasts until all gateways together have sent
// MinMessages messages.
func (m *mixedFleet) measureWindow(ctx context.Context) (windows [gatewayKinds]windowFigures, err error) {
	before, err := m.totals()
	if err != nil {
		return windows, err
	}
	startedAt := time.Now()
	atStart, _ := m.fleet.Gossip.Counts()
	if err := fleet.WaitUntil(ctx, "messages between gateways", func() bool {
		current, _ := m.fleet.Gossip.Counts()
		return current.Sent-atStart.Sent >= m.MinMessages
	}); err != nil {
		return windows, err
	}
	after, err := m.totals()
	if err != nil {
		return windows, err
	}
	length := time.Since(startedAt).Seconds()
	for kind := range windows {
		gatewaySeconds := length * float64(m.Gateways[kind])
		windows[kind].messagesOut = float64(after[kind].messagesOut-before[kind].messagesOut) / gatewaySeconds
		windows[kind].bytesOut = float64(after[kind].bytesOut-before[kind].bytesOut) / gatewaySeconds
		windows[kind].messagesIn = float64(after[kind].messagesIn-before[kind].messagesIn) / gatewaySeconds
		windows[kind].cpu = (after[kind].cpu - before[kind].cpu).Seconds() / gatewaySeconds
	}
	return windows, nil
}

// totals returns the totals of each kind. Sent messages are counted by the relay. Messages received by real gateways
// are those that the relay delivered, less those that hollow gateways counted themselves. Processor time is that of
// the processes.
func (m *mixedFleet) totals() (totals [gatewayKinds]kindTotals, err error) {
	total, perGateway := m.fleet.Gossip.Counts()
	totals[Real].messagesIn = total.Delivered
	for i, kind := range m.kinds {
		totals[kind].messagesOut += perGateway[i].Sent
		totals[kind].bytesOut += perGateway[i].Bytes
		if kind == Real {
			usage, err := m.fleet.Gateway(i).Usage()
			if err != nil {
				return totals, err
			}
			totals[Real].cpu += usage.CPU
		}
	}
	for _, p := range m.processes {
		kind := m.kinds[p.Gateways[0].Index]
		cpu, err := p.cpuTime()
		if err != nil {
			return totals, err
		}
		totals[kind].cpu += cpu
		status, err := p.send(Query{})
		if err != nil {
			return totals, err
		}
		for _, counts := range status.Counts {
			totals[kind].messagesIn += counts.MessagesIn
			totals[Real].messagesIn -= counts.MessagesIn
		}
	}
	return totals, nil
}

// addedLatency computes the added latency from the logs of clients and hosts.
func (m *mixedFleet) addedLatency() AddedLatency {
	hostTimes := map[string]int64{}
	for _, host := range m.fleet.Hosts() {
		for _, command := range host.Log().Commands {
			if command.EndedAt > 0 {
				hostTimes[command.ID] += command.EndedAt - command.ReceivedAt
			}
		}
	}
	log := m.fleet.Clients.Log()
	var times []int64
	for _, request := range log.Requests {
		if hostTime, found := hostTimes[request.ID]; found && request.Result == emulator.Succeeded {
			times = append(times, request.EndedAt-request.SentAt-hostTime)
		}
	}
	latency := AddedLatency{Requests: len(times), MaxClientDelayMS: float64(log.MaxDelay) / nanosPerMillisecond}
	if len(times) > 0 {
		latency.P50 = quantile(times, 0.5) / nanosPerMillisecond
		latency.P99 = quantile(times, 0.99) / nanosPerMillisecond
	}
	return latency
}

// meanHeaps returns the mean live heap of a gateway of each kind, each with the heap of one process without gateways.
// It ends the load at the hollow gateways.
func (m *mixedFleet) meanHeaps(ctx context.Context) (heaps [gatewayKinds]float64, err error) {
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
		status, err := p.send(Query{Load: &Load{}, Heap: true})
		if err != nil {
			return heaps, err
		}
		idleHeap, gateways := float64(p.IdleHeap), float64(len(p.Gateways))
		heapPerGateway := (float64(status.LiveHeap)-idleHeap)/gateways + idleHeap
		kind := m.kinds[p.Gateways[0].Index]
		heaps[kind] += heapPerGateway * gateways / float64(m.Gateways[kind])
	}
	return heaps, nil
}

// realHeap returns the live heap of a real gateway's process, which logs it on SIGUSR1.
func (m *mixedFleet) realHeap(ctx context.Context, index int) (float64, error) {
	g := m.fleet.Gateway(index)
	logEnd := g.LogEnd()
	if err := syscall.Kill(g.PID(), syscall.SIGUSR1); err != nil {
		return 0, err
	}
	line, err := g.WaitLineAfter(ctx, logEnd, "event=live_heap")
	if err != nil {
		return 0, err
	}
	live, err := strconv.ParseFloat(logline.Value(line, "bytes"), 64)
	if err != nil {
		return 0, fmt.Errorf("parsing the live heap of %s: %w", g.Name, err)
	}
	return live, nil
}
