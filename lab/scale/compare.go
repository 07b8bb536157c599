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

// Comparison says how real and hollow gateways are compared: in one fleet, at the same time, each gateway with the same
// load. There are hollow ones of two kinds: each in a process of its own, and all in one process.
type Comparison struct {
	Gateways  [kinds]int // of each kind; some of each wanted
	Hosts     int        // simulated ones that listen
	Customers int
	Rate      float64 // requests a second at each gateway
	Seed      uint64
	// Enough is how many messages all gateways together send in a window, at least; a window lasts that long.
	Enough int
}

// Kind is what a gateway of a comparison runs in.
type Kind int

// Kinds of gateways.
const (
	Real   Kind = iota // a process of the program
	Single             // a hollow gateway in a process of its own
	Shared             // a hollow gateway in a process with all others of this kind
	kinds
)

func (k Kind) String() string {
	return [...]string{"real", "hollow, a process each", "hollow, one process"}[k]
}

// KindFigures are means over the gateways of one kind.
type KindFigures struct {
	RestMessages float64 `json:"rest_messages_out"` // a second
	RestBytes    float64 `json:"rest_bytes_out"`
	RestShare    float64 `json:"rest_processor"` // of a core
	LoadMessages float64 `json:"load_messages_out"`
	LoadBytes    float64 `json:"load_bytes_out"`
	LoadShare    float64 `json:"load_processor"`
	LiveHeap     float64 `json:"live_heap"`   // bytes, with all customers known, the runtime's own included
	MessagesIn   float64 `json:"messages_in"` // a second, under load; of real ones what the relay passed to them
}

// Added is the time that real gateways add to a request, sockets, queues and the busy machine included: from the client's
// write to its read of the answer, less the host's own time. It is a wall time of simulated clients and hosts.
type Added struct {
	Requests int     `json:"requests"`
	Median   float64 `json:"p50_ms"`
	Tail     float64 `json:"p99_ms"`
	Late     float64 `json:"clients_late_ms"` // the longest that a client wrote after its time: the machine was busy
}

// Compared is the outcome of a comparison.
type Compared struct {
	Comparison `json:"-"`
	Fleet      map[string]int         `json:"gateways"`
	Load       float64                `json:"requests_per_s"`
	Known      int                    `json:"customers"`
	Figures    map[string]KindFigures `json:"figures"`
	Added      Added                  `json:"added_by_real_gateways"`
}

// mixed is a fleet of real and hollow gateways under comparison.
type mixed struct {
	Comparison
	fleet     *fleet.Fleet
	processes []*hollowProcess
	kind      []Kind // by member index
}

// Run starts a fleet of all kinds, has clients send, and measures.
func (c Comparison) Run(ctx context.Context) (result Compared, err error) {
	directory, err := os.MkdirTemp("", "scale-compare-")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(directory)
	m := &mixed{Comparison: c}
	defer m.close()
	if err := m.start(ctx, directory); err != nil {
		return result, err
	}
	result = Compared{Comparison: c, Fleet: map[string]int{}, Load: c.Rate, Known: c.Customers,
		Figures: map[string]KindFigures{}}
	rest, err := m.window(ctx)
	if err != nil {
		return result, err
	}
	run, err := m.load()
	if err != nil {
		return result, err
	}
	if err := m.fleet.WaitSent(ctx, 4*c.Customers); err != nil { // each customer has asked, but for a few by chance
		return result, err
	}
	load, err := m.window(ctx)
	if err != nil {
		return result, err
	}
	run.Stop()
	result.Added = m.added()
	heaps, err := m.heaps(ctx)
	if err != nil {
		return result, err
	}
	for kind := range kinds {
		figures := KindFigures{RestMessages: rest[kind].messagesOut, RestBytes: rest[kind].bytesOut, RestShare: rest[kind].share,
			LoadMessages: load[kind].messagesOut, LoadBytes: load[kind].bytesOut, LoadShare: load[kind].share,
			MessagesIn: load[kind].messagesIn, LiveHeap: heaps[kind]}
		result.Figures[kind.String()] = figures
		result.Fleet[kind.String()] = c.Gateways[kind]
	}
	return result, nil
}

func (m *mixed) close() {
	for _, p := range m.processes {
		p.close()
	}
	if m.fleet != nil {
		m.fleet.Close()
	}
}

// interleave spreads the kinds evenly over the member indices, so that each has all kinds among its neighbours.
func interleave(gateways [kinds]int) (order []Kind) {
	total := 0
	for _, n := range gateways {
		total += n
	}
	var given [kinds]int
	for i := range total {
		next, lack := Real, math.Inf(-1)
		for kind, n := range gateways {
			if behind := float64(n*(i+1))/float64(total) - float64(given[kind]); behind > lack {
				next, lack = Kind(kind), behind
			}
		}
		given[next]++
		order = append(order, next)
	}
	return order
}

// start brings up the fleet.
func (m *mixed) start(ctx context.Context, directory string) error {
	program, err := buildProgram(directory)
	if err != nil {
		return err
	}
	hollow, err := buildHollow(directory)
	if err != nil {
		return err
	}
	m.kind = interleave(m.Gateways)
	plan := fleet.Options{
		Gateways:          len(m.kind),
		Hosts:             m.Hosts,
		Seed:              m.Seed,
		MessagesPerSecond: messagesPerSecond,
		Binary:            program,
		NotStarted:        map[int]bool{},
		ChangeSettings: func(settings *gatewayconfig.Settings) {
			settings.QuotaPlans = []gatewayconfig.QuotaPlan{newQuotaPlan("team")}
		},
	}
	for i, kind := range m.kind {
		plan.NotStarted[i] = kind != Real
	}
	if m.fleet, err = fleet.Start(ctx, plan); err != nil {
		return err
	}
	var shared []string
	for i, kind := range m.kind {
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
		if kind == Shared {
			shared = append(shared, file)
		} else if err := m.startHollow(hollow, file); err != nil {
			return err
		}
	}
	if err := m.startHollow(hollow, shared...); err != nil {
		return err
	}
	return fleet.WaitUntil(ctx, "watches of the list", func() bool { return m.fleet.Agent.Watching() >= plan.Gateways })
}

func (m *mixed) startHollow(binary string, files ...string) error {
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

// load has clients send the same to each gateway: real clients of the rig to real ones, simulated ones to hollow ones.
func (m *mixed) load() (*emulator.LoadRun, error) {
	load := emulator.Load{Seed: m.Seed, Rate: m.Rate * float64(m.Gateways[Real]), Customers: m.Customers, QuotaPlan: "team", GatewayWeights: map[int]float64{}}
	for i, kind := range m.kind {
		if kind != Real {
			load.GatewayWeights[i] = 0
		}
	}
	order := Order{Load: &Load{Rate: m.Rate, Customers: m.Customers, Spread: len(m.kind), Seed: m.Seed}}
	for _, p := range m.processes {
		if _, err := p.ask(order); err != nil {
			return nil, err
		}
	}
	return m.fleet.Clients.Start(load), nil
}

// totals are sums over the gateways of a kind since their start.
type totals struct {
	messagesOut, bytesOut, messagesIn int
	processor                         time.Duration
}

// window measures until all gateways together have sent enough messages.
func (m *mixed) window(ctx context.Context) (windows [kinds]window, err error) {
	before, err := m.totals()
	if err != nil {
		return windows, err
	}
	began := time.Now()
	first, _ := m.fleet.Gossip.Counts()
	if err := fleet.WaitUntil(ctx, "messages between gateways", func() bool {
		all, _ := m.fleet.Gossip.Counts()
		return all.Sent-first.Sent >= m.Enough
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

// totals reads what all gateways have sent, as the relay saw it, and the processor time of their processes. What real
// ones received is what the relay passed on less what hollow ones counted.
func (m *mixed) totals() (sums [kinds]totals, err error) {
	all, each := m.fleet.Gossip.Counts()
	sums[Real].messagesIn = all.Delivered
	for i, kind := range m.kind {
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
		kind := m.kind[p.Gateways[0].Index]
		used, err := p.processorTime()
		if err != nil {
			return sums, err
		}
		sums[kind].processor += used
		state, err := p.ask(Order{})
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

// added joins the logs of clients and hosts by request.
func (m *mixed) added() Added {
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
	added := Added{Requests: len(times), Late: float64(log.MaxDelay) / nanosPerMillisecond}
	if len(times) > 0 {
		added.Median = quantile(times, 0.5) / nanosPerMillisecond
		added.Tail = quantile(times, 0.99) / nanosPerMillisecond
	}
	return added
}

// heaps are the mean live heaps, that of a process without a gateway included once for each.
func (m *mixed) heaps(ctx context.Context) (heaps [kinds]float64, err error) {
	for i, kind := range m.kind {
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
		state, err := p.ask(Order{Load: &Load{}, Heap: true})
		if err != nil {
			return heaps, err
		}
		idle, gateways := float64(p.IdleHeap), float64(len(p.Gateways))
		own := (float64(state.LiveHeap)-idle)/gateways + idle
		kind := m.kind[p.Gateways[0].Index]
		heaps[kind] += own * gateways / float64(m.Gateways[kind])
	}
	return heaps, nil
}

// realHeap asks a real gateway's process for its live heap.
func (m *mixed) realHeap(ctx context.Context, index int) (float64, error) {
	g := m.fleet.Gateway(index)
	mark := g.Mark()
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
