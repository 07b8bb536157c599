package simenv

import (
	"math"
	"slices"
	"time"

	"ravensill/counterfactual"
	"ravensill/internal/clock"
)

const (
	loadBound    = 1.2     // multiple of the least load up to which a host is chosen, as in the module
	ampleCells   = 1 << 16 // cells of a folder if Config.MaxCells is 0
	maxClasses   = 8       // request classes
	leastLatency = 0.2     // lower bound of a host's relative latency
)

// gatewayModel is one gateway: a small form of the module's routing rule, and an observer with its summaries.
type gatewayModel struct {
	index       int
	zone        int
	incarnation uint64 // counts its starts
	generation  int    // counts its starts and stops, so that timers of an earlier one end
	stopped     bool
	partitioned bool

	hosts           []*Host
	relativeLatency map[uint32]float64  // by host: latency over the usual one, smoothed; 0: not known
	usualLatency    [maxClasses]float64 // by request class, ms, smoothed; 0: not known
	inFlight        map[uint32]int      // by host

	folder *counterfactual.Summarizer
	window uint32     // number of the window under way
	unsent []*message // not confirmed yet
}

// message is a part of a window's summary on its way to the ledger.
type message struct {
	encode    func(age uint32) []byte
	end       clock.Instant // of its window
	attempts  int
	confirmed bool
}

// startGateway starts a gateway with empty state.
func (e *Simulation) startGateway(gateway *gatewayModel) {
	maxCells := e.config.MaxCells
	if maxCells == 0 {
		maxCells = ampleCells
	}
	*gateway = gatewayModel{
		index:           gateway.index,
		zone:            gateway.zone,
		incarnation:     gateway.incarnation,
		generation:      gateway.generation + 1,
		partitioned:     gateway.partitioned,
		hosts:           e.subset(gateway.index),
		relativeLatency: map[uint32]float64{},
		inFlight:        map[uint32]int{},
		folder:          counterfactual.NewSummarizer(gateway.zone, maxCells),
	}
	firstClose := 1 + time.Duration(e.random.Float64()*float64(e.config.Window))
	e.after(firstClose, e.closeWindow(gateway, gateway.generation))
}

// subset returns the hosts that a gateway sends to, in hashed order.
func (e *Simulation) subset(gateway int) []*Host {
	seed := hashMix(uint64(gateway) + 99)
	hosts := slices.Clone(e.hosts)
	slices.SortStableFunc(hosts, func(a, b *Host) int {
		if hashMix(uint64(a.ID)^seed) < hashMix(uint64(b.ID)^seed) {
			return -1
		}
		return 1
	})
	if e.config.SubsetSize > 0 {
		hosts = hosts[:min(e.config.SubsetSize, len(hosts))]
	}
	return hosts
}

// closeWindow returns the timer that closes a gateway's window and sends all unconfirmed messages.
func (e *Simulation) closeWindow(gateway *gatewayModel, generation int) func() {
	return func() {
		if gateway.generation != generation {
			return
		}
		e.summarize(gateway)
		gateway.unsent = slices.DeleteFunc(gateway.unsent, func(m *message) bool {
			return m.confirmed || m.attempts > e.config.Network.MaxAttempts
		})
		for _, m := range gateway.unsent {
			m.attempts++
			e.send(gateway, m)
		}
		e.after(e.config.Window, e.closeWindow(gateway, generation))
	}
}

// summarize turns the window under way into messages and begins the next one.
func (e *Simulation) summarize(gateway *gatewayModel) {
	cells, seen, lost := gateway.folder.Flush()
	head := counterfactual.SummaryPart{
		Gateway:      uint32(gateway.index),
		Zone:         uint8(gateway.zone),
		Incarnation:  gateway.incarnation,
		Window:       gateway.window,
		WindowLength: uint32(e.config.Window / time.Millisecond),
		Attempts:     seen,
		LostRecords:  lost,
	}
	gateway.window++
	for _, encode := range counterfactual.Encode(head, cells) {
		gateway.unsent = append(gateway.unsent, &message{encode: encode, end: e.now})
	}
}

// send sends a message through the network.
func (e *Simulation) send(gateway *gatewayModel, m *message) {
	body := m.encode(uint32(e.now.Sub(m.end) / time.Millisecond))
	network := &e.config.Network
	copies := 1
	if e.random.Float64() < network.Duplication {
		copies = 2
	}
	for range copies {
		if gateway.partitioned || e.random.Float64() < network.Loss {
			continue
		}
		delay := time.Duration(e.random.Float64() * float64(network.MaxDelay))
		e.after(delay, func() { e.receive(m, body) })
	}
}

// receive merges a message into the ledger; the confirmation may be lost.
func (e *Simulation) receive(m *message, body []byte) {
	part, err := counterfactual.Decode(body)
	if err != nil {
		e.UndecodableMessages++
		return
	}
	if e.Ledger.Receive(part, e.now) && e.random.Float64() >= e.config.Network.Loss {
		m.confirmed = true
	}
}

// unreported drops the window under way and returns its number of attempts.
func (g *gatewayModel) unreported() int {
	_, seen, _ := g.folder.Flush()
	return int(seen)
}

// candidateSet returns the available hosts, the chosen one first and the customer's next in rank second, if there is
// one. It returns none if no host can be chosen.
func (e *Simulation) candidateSet(gateway *gatewayModel, customer int) (candidates []counterfactual.Candidate,
	hosts []*Host) {
	candidates, hosts, leastLoad := e.available(gateway)
	choosable := func(i int) bool { return candidates[i].Load <= leastLoad*loadBound && !hosts[i].NeverChosen }
	eligible := 0.0
	for i := range candidates {
		if choosable(i) {
			eligible++
		}
	}
	rank := func(i int) uint64 {
		return hashMix(uint64(customer)*77 ^ hashMix(uint64(candidates[i].Host)+e.config.Seed))
	}
	best, second := -1, -1
	for i := range candidates {
		if !choosable(i) {
			continue
		}
		candidates[i].Probability = 1 / eligible
		switch {
		case best < 0 || rank(i) > rank(best):
			best, second = i, best
		case second < 0 || rank(i) > rank(second):
			second = i
		}
	}
	if best < 0 {
		return nil, nil
	}
	swap := func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
		hosts[i], hosts[j] = hosts[j], hosts[i]
	}
	swap(0, best)
	if second == 0 {
		second = best
	}
	if second > 0 {
		swap(1, second)
	}
	return candidates, hosts
}

// available returns a gateway's hosts that are listed now, each with its load as the gateway estimates it, and the
// least load of one that may be chosen.
func (e *Simulation) available(gateway *gatewayModel) (candidates []counterfactual.Candidate, hosts []*Host,
	leastLoad float64) {
	elapsed := e.now.Sub(simulatedStart)
	leastLoad = math.Inf(1)
	for _, host := range gateway.hosts {
		if elapsed < host.ListedFrom || host.ListedUntil > 0 && elapsed >= host.ListedUntil {
			continue
		}
		load := gateway.latencyOf(host) * float64(gateway.inFlight[host.ID]+1)
		if !host.NeverChosen {
			leastLoad = min(leastLoad, load)
		}
		candidates = append(candidates, counterfactual.Candidate{
			Host:        host.ID,
			Incarnation: host.incarnation,
			Zone:        host.Zone,
			Load:        load,
		})
		hosts = append(hosts, host)
	}
	return candidates, hosts, leastLoad
}

// latencyOf returns a host's relative latency as the gateway estimates it.
func (g *gatewayModel) latencyOf(host *Host) float64 {
	if relative := g.relativeLatency[host.ID]; relative != 0 {
		return relative
	}
	return 1
}

// learn updates the estimates with the latency of an attempt, in ms.
func (g *gatewayModel) learn(host *Host, class int, latency float64) {
	usual := &g.usualLatency[class]
	if *usual == 0 {
		*usual = latency
	}
	relative := g.latencyOf(host)
	g.relativeLatency[host.ID] = max(relative+(latency/(*usual)-relative)/16, leastLatency)
	*usual += (latency - *usual) / 64
}
