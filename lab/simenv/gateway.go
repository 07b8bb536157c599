package simenv

import (
	"math"
	"slices"
	"time"

	"ravensill/counterfactual"
	"ravensill/internal/clock"
)

const (
	maxLoadRatio       = 1.2     // multiple of the least load up to which a host is eligible, as in the real gateway
	defaultMaxCells    = 1 << 16 // cells of a summarizer if Config.MaxCells is 0
	maxClasses         = 8       // request classes that a gateway keeps a typical latency for
	minRelativeLatency = 0.2     // lower bound of a host's estimated relative latency
)

// gatewayModel is one gateway: a simplified form of the real routing rule, and an observer that reports summaries.
type gatewayModel struct {
	index       int
	zone        int
	incarnation uint64 // number of starts so far
	generation  int    // number of starts and stops so far; a timer set in an earlier generation is ignored
	stopped     bool
	partitioned bool // its messages are lost

	hosts           []*Host
	relativeLatency map[uint32]float64  // by host: smoothed ratio of its latency to typicalLatency; 0: not known
	typicalLatency  [maxClasses]float64 // by request class: smoothed latency over all hosts, in ms; 0: not known
	inFlight        map[uint32]int      // attempts in flight, by host

	summarizer   *counterfactual.Summarizer
	windowNumber uint32     // number of the current window
	unconfirmed  []*message // messages to send again at the end of the window
}

// message is one part of a window's summary. It is sent again until it is confirmed or has had too many attempts.
type message struct {
	encode    func(age uint32) []byte // age: time since the end of the window, in ms
	windowEnd clock.Instant           // end of the window that the message summarizes
	attempts  int                     // number of times it was sent
	confirmed bool
}

// startGateway starts a gateway with empty state. Its first window ends after a random part of the window length.
func (s *Simulation) startGateway(gateway *gatewayModel) {
	maxCells := s.config.MaxCells
	if maxCells == 0 {
		maxCells = defaultMaxCells
	}
	*gateway = gatewayModel{
		index:           gateway.index,
		zone:            gateway.zone,
		incarnation:     gateway.incarnation,
		generation:      gateway.generation + 1,
		partitioned:     gateway.partitioned,
		hosts:           s.subsetOf(gateway.index),
		relativeLatency: map[uint32]float64{},
		inFlight:        map[uint32]int{},
		summarizer:      counterfactual.NewSummarizer(gateway.zone, maxCells),
	}
	firstClose := 1 + time.Duration(s.random.Float64()*float64(s.config.Window))
	s.after(firstClose, s.closeWindow(gateway, gateway.generation))
}

// subsetOf returns the hosts that a gateway sends to, ordered by a hash of the gateway and the host.
func (s *Simulation) subsetOf(gateway int) []*Host {
	seed := hashMix(uint64(gateway) + 99)
	hosts := slices.Clone(s.hosts)
	slices.SortStableFunc(hosts, func(a, b *Host) int {
		if hashMix(uint64(a.ID)^seed) < hashMix(uint64(b.ID)^seed) {
			return -1
		}
		return 1
	})
	if s.config.SubsetSize > 0 {
		hosts = hosts[:min(s.config.SubsetSize, len(hosts))]
	}
	return hosts
}

// closeWindow returns a timer function that ends a gateway's window, sends all unconfirmed messages and sets the next
// timer. It does nothing once the gateway has been stopped or restarted since generation.
func (s *Simulation) closeWindow(gateway *gatewayModel, generation int) func() {
	return func() {
		if gateway.generation != generation {
			return
		}
		s.summarize(gateway)
		gateway.unconfirmed = slices.DeleteFunc(gateway.unconfirmed, func(m *message) bool {
			return m.confirmed || m.attempts > s.config.Network.MaxAttempts
		})
		for _, m := range gateway.unconfirmed {
			m.attempts++
			s.send(gateway, m)
		}
		s.after(s.config.Window, s.closeWindow(gateway, generation))
	}
}

// summarize turns the current window into messages and begins the next one.
func (s *Simulation) summarize(gateway *gatewayModel) {
	cells, seen, lost := gateway.summarizer.Flush()
	head := counterfactual.SummaryPart{
		Gateway:      uint32(gateway.index),
		Zone:         uint8(gateway.zone),
		Incarnation:  gateway.incarnation,
		Window:       gateway.windowNumber,
		WindowLength: uint32(s.config.Window / time.Millisecond),
		Attempts:     seen,
		LostRecords:  lost,
	}
	gateway.windowNumber++
	for _, encode := range counterfactual.Encode(head, cells) {
		gateway.unconfirmed = append(gateway.unconfirmed, &message{encode: encode, windowEnd: s.now})
	}
}

// send sends a message through the network, which may lose, duplicate or delay it.
func (s *Simulation) send(gateway *gatewayModel, m *message) {
	body := m.encode(uint32(s.now.Sub(m.windowEnd) / time.Millisecond))
	network := &s.config.Network
	copies := 1
	if s.random.Float64() < network.Duplication {
		copies = 2
	}
	for range copies {
		if gateway.partitioned || s.random.Float64() < network.Loss {
			continue
		}
		delay := time.Duration(s.random.Float64() * float64(network.MaxDelay))
		s.after(delay, func() { s.receive(m, body) })
	}
}

// receive merges a message into the ledger and marks it confirmed unless the confirmation is lost.
func (s *Simulation) receive(m *message, body []byte) {
	part, err := counterfactual.Decode(body)
	if err != nil {
		s.UndecodableMessages++
		return
	}
	if s.Ledger.Receive(part, s.now) && s.random.Float64() >= s.config.Network.Loss {
		m.confirmed = true
	}
}

// discardWindow drops the current window and returns the number of attempts recorded in it.
func (g *gatewayModel) discardWindow() int {
	_, seen, _ := g.summarizer.Flush()
	return int(seen)
}

// rankCandidates chooses a host for a request. It returns the available hosts as candidates and, in the same order, as
// hosts: first the eligible one with the customer's highest rank, which is chosen, then the eligible one with the next
// rank, if there is one, then the others. Both results are nil if no host is eligible.
func (s *Simulation) rankCandidates(gateway *gatewayModel, customer int) (candidates []counterfactual.Candidate,
	hosts []*Host) {
	candidates, hosts, leastLoad := s.availableHosts(gateway)
	choosable := func(i int) bool { return candidates[i].Load <= leastLoad*maxLoadRatio && !hosts[i].NeverChosen }
	eligible := 0.0
	for i := range candidates {
		if choosable(i) {
			eligible++
		}
	}
	rank := func(i int) uint64 {
		return hashMix(uint64(customer)*77 ^ hashMix(uint64(candidates[i].Host)+s.config.Seed))
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

// availableHosts returns a gateway's hosts that are listed now, each with its load as the gateway estimates it, and the
// least load among those that gateways may choose (+Inf if there is none).
func (s *Simulation) availableHosts(gateway *gatewayModel) (candidates []counterfactual.Candidate, hosts []*Host,
	leastLoad float64) {
	elapsed := s.now.Sub(simulatedStart)
	leastLoad = math.Inf(1)
	for _, host := range gateway.hosts {
		if elapsed < host.ListedFrom || host.ListedUntil > 0 && elapsed >= host.ListedUntil {
			continue
		}
		load := gateway.estimatedLatency(host) * float64(gateway.inFlight[host.ID]+1)
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

// estimatedLatency returns the gateway's estimate of a host's relative latency; 1 until an attempt there has ended.
func (g *gatewayModel) estimatedLatency(host *Host) float64 {
	if relative := g.relativeLatency[host.ID]; relative != 0 {
		return relative
	}
	return 1
}

// updateEstimates updates the relative latency of a host and the typical latency of a request class with the latency of
// one attempt, in ms.
func (g *gatewayModel) updateEstimates(host *Host, class int, latency float64) {
	usual := &g.typicalLatency[class]
	if *usual == 0 {
		*usual = latency
	}
	relative := g.estimatedLatency(host)
	g.relativeLatency[host.ID] = max(relative+(latency/(*usual)-relative)/16, minRelativeLatency)
	*usual += (latency - *usual) / 64
}
