// Package world plays a fleet of gateways against stand-in hosts on a simulated clock, for the tests of package
// counterfactual. A host's time for a dispatch is a fixed function of the dispatch's name, the host and the
// dispatches it has at work, so the world can say what any other host would have answered to the very same
// dispatch: the truth that estimates are held against. The gateways choose by the module's rule in small (the
// customer's first host in hashed rank among those not much above the least load); what they tell passes a network
// that loses, doubles, delays and reorders. Deterministic for a seed. It does no I/O.
package world

import (
	"math"
	"math/rand/v2"
	"slices"

	"ravensill/counterfactual"
	"ravensill/lab/schedule"
)

const (
	Millisecond = int64(1e6)
	Second      = int64(1e9)
	ample       = 1.2 // times the least load: the module's bound
)

// Host is a stand-in.
type Host struct {
	ID    uint32
	Zone  int
	Time  float64 // usual time at no load, ms
	Cap   float64 // dispatches at work at which the time has doubled
	Steep float64 // power of that growth: 1 even, 4 slow only under load
	Noise float64 // spread of the logarithm
	Fails float64 // part that fails at once
	From  int64   // it is listed from then on
	Until int64   // and until then; 0 always
	Shut  bool    // listed and open, but its chance is 0 always: no gateway's rule picks it
	born  uint32
	work  int
}

// Config is one world. Rates are of the whole fleet.
type Config struct {
	Seed      uint64
	Gateways  int
	Subset    int // hosts that a gateway holds; 0 all
	Hosts     []Host
	Customers int
	Heavy     float64 // spread of the logarithm of what customers' reqs take
	Spread    int     // gateways that a customer comes in at
	Rate      float64 // reqs a second
	Swing     float64 // part by which the rate goes up and down
	Swings    float64 // seconds that a swing takes
	Length    int64
	Window    int64
	Targets   []int64 // by frontend
	Work      []float64
	Leaves    float64 // part of the clients that leave within the target
	Far       float64 // ms more to a host in another zone

	Net    Net
	Faults []Fault

	Rule  counterfactual.Rule // in place of the module's for a part of the dispatches: the truth of rules replaced
	Part  float64
	Queue int // cells that a gateway's folder holds; 0: plenty
}

// Net is what the way to the ledger does to a message.
type Net struct {
	Loss, Twice float64
	Delay       int64 // up to so long: messages overtake each other
	Tries       int   // a message unconfirmed is sent so often, a window apart
}

// Fault happens to a gateway.
type Fault struct {
	Gateway int
	At      int64
	Until   int64 // a cut heals then, a killed gateway is back; 0 never
	Cut     bool  // what it tells is lost; else it is killed, with what it had not told
}

// Truth is what a rule would have met, over the very same dispatches.
type Truth struct {
	Reqs                   float64
	Mean, P50, P99, Within float64 // ms
}

// World is a play that is over.
type World struct {
	Ledger  *counterfactual.Ledger
	From    int64 // its bins
	To      int64
	cfg     Config
	rnd     *rand.Rand
	now     int64
	queue   schedule.Schedule[func()]
	hosts   []*Host
	gates   []*gate
	truth   map[truthKey]*Sample
	Strange int // messages that could not be read
	Lost    int // dispatches whose record was never told, as the world knows
	rates   []float64
}

type truthKey struct {
	rule     counterfactual.Rule
	frontend int
	host     uint32
}

// Sample is a weighted one, of ms.
type Sample struct{ values, weights []float64 }

type gate struct {
	n          int
	zone       int
	life       uint64
	window     uint32
	dead       bool
	cut        bool
	hosts      []*Host
	pace       map[uint32]float64
	out        map[uint32]int
	folder     *counterfactual.Folder
	unsent     []*message
	generation int
	usual      [8]float64
}

type message struct {
	encode func(uint32) []byte
	end    int64
	tries  int
	done   bool
}

func (w *World) at(t int64, do func()) { w.queue.Add(t, do) }

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chance gives a number from 0 to 1 that belongs to a name.
func chance(seed uint64, parts ...uint64) float64 {
	for _, p := range parts {
		seed = mix(seed ^ p*0x9e3779b97f4a7c15 + 0x1234567)
	}
	return float64(seed>>11) / (1 << 53)
}

// normal gives a number of the standard normal distribution that belongs to a name.
func normal(seed uint64, parts ...uint64) float64 {
	u := max(chance(seed, append(parts, 1)...), 1e-12)
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*chance(seed, append(parts, 2)...))
}

// answer gives how long a host would take for a dispatch, in ms, with so many at work beside it, or never.
func (w *World) answer(g *gate, h *Host, req uint64, customer, frontend, beside int) float64 {
	if chance(w.cfg.Seed, req, uint64(h.ID), 77) < h.Fails {
		return math.Inf(1)
	}
	size := math.Exp(w.cfg.Heavy * normal(w.cfg.Seed, uint64(customer), 5))
	grow := 1 + math.Pow(float64(beside)/h.Cap, h.Steep)
	t := w.cfg.Work[frontend] * h.Time * size * grow * math.Exp(h.Noise*normal(w.cfg.Seed, req, uint64(h.ID)))
	if h.Zone != g.zone {
		t += w.cfg.Far
	}
	return t
}

// Play plays a world to its end.
func Play(cfg Config) *World {
	w := &World{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, 1)), now: 1000 * Second, truth: map[truthKey]*Sample{}}
	begin := w.now
	set := counterfactual.Settings{Gateways: cfg.Gateways, Window: cfg.Window, Grace: 3 * cfg.Window,
		Bins: int(cfg.Length/cfg.Window) + 50, Cells: 1 << 20, Missing: 0.05, Targets: cfg.Targets}
	for i := range cfg.Targets {
		set.Names = append(set.Names, string(rune('a'+i)))
	}
	w.Ledger = counterfactual.NewLedger(set)
	for i := range cfg.Hosts {
		h := cfg.Hosts[i]
		h.born = uint32(h.From / Second)
		w.hosts = append(w.hosts, &h)
	}
	for i := range cfg.Gateways {
		g := &gate{n: i, zone: i % 2, life: 1}
		w.gates = append(w.gates, g)
		w.boot(g)
	}
	for _, f := range cfg.Faults {
		g := w.gates[f.Gateway]
		w.at(begin+f.At, func() {
			if g.cut = f.Cut; !f.Cut {
				w.Lost += w.unfolded(g)
				g.dead = true
				g.generation++
			}
		})
		if f.Until > 0 {
			w.at(begin+f.Until, func() {
				if g.cut = false; g.dead {
					g.life++
					w.boot(g)
				}
			})
		}
	}
	for c := range cfg.Customers { // some ask much more than others
		w.rates = append(w.rates, math.Exp(1.2*normal(cfg.Seed, uint64(c), 9)))
	}
	total := 0.0
	for i, r := range w.rates {
		total += r
		w.rates[i] = total
	}
	w.arrive(begin, 0)
	for w.queue.Len() > 0 {
		at, do := w.queue.Next()
		if at > begin+cfg.Length+20*cfg.Window {
			break
		}
		w.now = at
		do()
	}
	w.From, w.To = begin/cfg.Window, (begin+cfg.Length)/cfg.Window+2
	return w
}

func (w *World) boot(g *gate) {
	g.dead, g.window, g.pace, g.out, g.unsent = false, 0, map[uint32]float64{}, map[uint32]int{}, nil
	g.usual = [8]float64{}
	g.generation++
	most := w.cfg.Queue
	if most == 0 {
		most = 1 << 16
	}
	g.folder = counterfactual.NewFolder(g.zone, most)
	g.hosts = slices.Clone(w.hosts)
	slices.SortStableFunc(g.hosts, func(a, b *Host) int {
		if mix(uint64(a.ID)^mix(uint64(g.n)+99)) < mix(uint64(b.ID)^mix(uint64(g.n)+99)) {
			return -1
		}
		return 1
	})
	if w.cfg.Subset > 0 {
		g.hosts = g.hosts[:min(w.cfg.Subset, len(g.hosts))]
	}
	w.at(w.now+1+int64(w.rnd.Float64()*float64(w.cfg.Window)), w.tick(g, g.generation))
}

// tick closes a gateway's window and sends what is not confirmed.
func (w *World) tick(g *gate, generation int) func() {
	return func() {
		if g.generation != generation {
			return
		}
		cells, seen, lost := g.folder.Close()
		head := counterfactual.Part{Gateway: uint32(g.n), Zone: uint8(g.zone), Life: g.life, Window: g.window,
			Length: uint32(w.cfg.Window / Millisecond), Seen: seen, Lost: lost}
		g.window++
		for _, e := range counterfactual.Encode(head, cells) {
			g.unsent = append(g.unsent, &message{encode: e, end: w.now})
		}
		g.unsent = slices.DeleteFunc(g.unsent, func(m *message) bool {
			return m.done || m.tries > w.cfg.Net.Tries
		})
		for _, m := range g.unsent {
			m.tries++
			w.send(g, m)
		}
		w.at(w.now+w.cfg.Window, w.tick(g, generation))
	}
}

func (w *World) send(g *gate, m *message) {
	body := m.encode(uint32((w.now - m.end) / Millisecond))
	copies := 1
	if w.rnd.Float64() < w.cfg.Net.Twice {
		copies = 2
	}
	for range copies {
		if g.cut || w.rnd.Float64() < w.cfg.Net.Loss {
			continue
		}
		w.at(w.now+int64(w.rnd.Float64()*float64(w.cfg.Net.Delay)), func() {
			p, err := counterfactual.Decode(body)
			if err != nil {
				w.Strange++
			} else if w.Ledger.Hear(p, w.now) && w.rnd.Float64() >= w.cfg.Net.Loss {
				m.done = true
			}
		})
	}
}

func (w *World) arrive(begin int64, n uint64) {
	t := float64(w.now-begin) / 1e9
	rate := w.cfg.Rate
	if w.cfg.Swing > 0 {
		rate *= 1 + w.cfg.Swing*math.Sin(2*math.Pi*t/w.cfg.Swings)
	}
	next := w.now + int64(w.rnd.ExpFloat64()/rate*1e9)
	if next >= begin+w.cfg.Length {
		return
	}
	x := w.rnd.Float64() * w.rates[len(w.rates)-1]
	customer, _ := slices.BinarySearch(w.rates, x)
	set := max(min(w.cfg.Spread, w.cfg.Gateways), 1)
	first := int(mix(uint64(customer)+w.cfg.Seed) % uint64(w.cfg.Gateways))
	g := w.gates[(first+w.rnd.IntN(set))%w.cfg.Gateways]
	frontend := w.rnd.IntN(len(w.cfg.Targets))
	w.at(next, func() {
		w.dispatch(g, begin, n, customer, frontend)
		w.arrive(begin, n+1)
	})
}

// options gives the alternatives that stand open, the one chosen by the module's rule first.
func (w *World) options(g *gate, begin int64, customer int) (o []counterfactual.Option, at []*Host) {
	least := math.Inf(1)
	for _, h := range g.hosts {
		if t := w.now - begin; t < h.From || h.Until > 0 && t >= h.Until {
			continue
		}
		pace := g.pace[h.ID]
		if pace == 0 {
			pace = 1
		}
		load := pace * float64(g.out[h.ID]+1)
		if !h.Shut {
			least = min(least, load)
		}
		o = append(o, counterfactual.Option{Host: h.ID, Born: h.born, Zone: h.Zone, Load: load})
		at = append(at, h)
	}
	able := 0.0
	for i := range o {
		if o[i].Load <= least*ample && !at[i].Shut {
			able++
		}
	}
	best, second := -1, -1
	rank := func(i int) uint64 { return mix(uint64(customer)*77 ^ mix(uint64(o[i].Host)+w.cfg.Seed)) }
	for i := range o {
		if o[i].Load > least*ample || at[i].Shut {
			continue
		}
		o[i].Chance = 1 / able
		switch {
		case best < 0 || rank(i) > rank(best):
			best, second = i, best
		case second < 0 || rank(i) > rank(second):
			second = i
		}
	}
	swap := func(i, j int) { o[i], o[j], at[i], at[j] = o[j], o[i], at[j], at[i] }
	if best < 0 {
		return nil, nil
	}
	swap(0, best)
	if second == 0 {
		second = best
	}
	if second > 0 {
		swap(1, second)
	}
	return o, at
}

// Under gives the part of a dispatch that a rule sends to each option, as told in package counterfactual, anew: the
// truth must not rest on the code that it is held against.
func Under(rule counterfactual.Rule, o []counterfactual.Option, single uint32) []float64 {
	part := make([]float64, len(o))
	n := float64(len(o))
	switch rule {
	case counterfactual.Logged:
		part[0] = 1
	case counterfactual.Next:
		if len(o) > 1 && o[1].Chance > 0 {
			part[1] = 1
		} else {
			part[0] = 1
		}
	case counterfactual.Least:
		least, ties := math.Inf(1), 0.0
		for _, x := range o {
			if x.Load < least {
				least, ties = x.Load, 0
			}
			if x.Load == least {
				ties++
			}
		}
		for i, x := range o {
			if x.Load == least {
				part[i] = 1 / ties
			}
		}
	case counterfactual.Two:
		if len(o) == 1 {
			part[0] = 1
		}
		for i := range o {
			for j := range o[:i] {
				switch p := 2 / (n * (n - 1)); {
				case o[i].Load < o[j].Load:
					part[i] += p
				case o[j].Load < o[i].Load:
					part[j] += p
				default:
					part[i] += p / 2
					part[j] += p / 2
				}
			}
		}
	case counterfactual.Chance:
		for i := range o {
			part[i] = 1 / n
		}
	case counterfactual.Zone:
		able := 0.0
		for _, x := range o {
			if x.Zone != o[0].Zone && x.Chance > 0 {
				able++
			}
		}
		for i, x := range o {
			if able > 0 && x.Zone != o[0].Zone && x.Chance > 0 {
				part[i] = 1 / able
			}
		}
		if able == 0 {
			part[0] = 1
		}
	case counterfactual.Single:
		for i, x := range o {
			if x.Host == single && x.Chance > 0 {
				part[i] = 1
			}
		}
	}
	return part
}

func (w *World) dispatch(g *gate, begin int64, req uint64, customer, frontend int) {
	if g.dead {
		return
	}
	o, at := w.options(g, begin, customer)
	if o == nil {
		return
	}
	// The truth is known at once: what each would have taken for this dispatch, as they are now.
	target := float64(w.cfg.Targets[frontend]) / 1e6
	times := make([]float64, len(o))
	for i, h := range at {
		times[i] = w.answer(g, h, req, customer, frontend, h.work)
	}
	var known []func()
	tell := func(r counterfactual.Rule, host uint32) {
		for i, p := range Under(r, o, host) {
			if p > 0 {
				known = append(known, func() { w.know(truthKey{r, frontend, host}, times[i], p) })
			}
		}
	}
	for r := counterfactual.Logged; r < counterfactual.Single; r++ {
		tell(r, 0)
	}
	for i := range o {
		tell(counterfactual.Single, o[i].Host)
	}
	if w.cfg.Part > 0 && chance(w.cfg.Seed, req, 31) < w.cfg.Part { // the rule takes this one over
		x := chance(w.cfg.Seed, req, 32)
		for i, p := range Under(w.cfg.Rule, o, 0) {
			if x -= p; x < 0 {
				o[0], o[i], at[0], at[i], times[0], times[i] = o[i], o[0], at[i], at[0], times[i], times[0]
				break
			}
		}
	}
	known = append(known, func() { w.know(truthKey{done, frontend, 0}, times[0], 1) })
	h, lag, end := at[0], times[0], counterfactual.Answered
	switch leave := chance(w.cfg.Seed, req, 41) * target; {
	case math.IsInf(lag, 1):
		lag, end = 1, counterfactual.Failed
	case chance(w.cfg.Seed, req, 40) < w.cfg.Leaves && leave < lag:
		lag, end = leave, counterfactual.Cut
	case lag > target:
		lag, end = target, counterfactual.Cut
	}
	h.work++
	g.out[h.ID]++
	life := g.life
	w.at(w.now+int64(times0(times[0], target)*1e6), func() { h.work-- }) // a host works on after a gateway gave up
	w.at(w.now+int64(lag*1e6), func() {
		if g.life != life || g.dead { // the record died with it
			w.Lost++
			for _, k := range known {
				k()
			}
			return
		}
		g.out[h.ID]--
		if end != counterfactual.Failed {
			if g.usual[frontend] == 0 {
				g.usual[frontend] = lag
			}
			pace := g.pace[h.ID]
			if pace == 0 {
				pace = 1
			}
			g.pace[h.ID] = max(pace+(lag/g.usual[frontend]-pace)/16, 0.2)
			g.usual[frontend] += (lag - g.usual[frontend]) / 64
		}
		g.folder.Add(&counterfactual.Record{Frontend: frontend, Customer: uint32(mix(uint64(customer) + 3)),
			Options: o, Lag: int64(lag * 1e6), End: end})
		for _, k := range known {
			k()
		}
	})
}

// times0 is how long a host works on a dispatch: for one that fails, or is very slow, no longer than thrice the target.
func times0(t, target float64) float64 {
	if math.IsInf(t, 1) {
		return 1
	}
	return min(t, 3*target)
}

func (w *World) unfolded(g *gate) int {
	_, seen, _ := g.folder.Close()
	return int(seen)
}

func (w *World) know(k truthKey, ms, part float64) {
	s := w.truth[k]
	if s == nil {
		s = &Sample{}
		w.truth[k] = s
	}
	s.Add(ms, part)
}

// Add takes in a time in ms, +Inf for none, with the part of a dispatch that it stands for.
func (s *Sample) Add(ms, part float64) {
	s.values, s.weights = append(s.values, ms), append(s.weights, part)
}

const done = counterfactual.Rule(-1)

// Done tells what the frontend's dispatches met, with the rule that was in force.
func (w *World) Done(frontend int) Truth { return w.Truth(done, frontend, 0) }

// Truth tells what a rule would have met over the frontend's dispatches.
func (w *World) Truth(rule counterfactual.Rule, frontend int, host uint32) Truth {
	s := w.truth[truthKey{rule, frontend, host}]
	if s == nil {
		return Truth{}
	}
	return s.Figures(float64(w.cfg.Targets[frontend]) / 1e6)
}

// Figures are those of the times or the target in ms, whichever is less.
func (s *Sample) Figures(target float64) (t Truth) {
	order := make([]int, len(s.values))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int {
		if s.values[a] < s.values[b] {
			return -1
		} else if s.values[a] > s.values[b] {
			return 1
		}
		return 0
	})
	for _, i := range order {
		t.Reqs += s.weights[i]
		t.Mean += s.weights[i] * min(s.values[i], target)
		if s.values[i] <= target {
			t.Within += s.weights[i]
		}
	}
	below := 0.0
	for _, i := range order {
		below += s.weights[i]
		if t.P50 == 0 && below >= 0.5*t.Reqs {
			t.P50 = s.values[i]
		}
		if t.P99 == 0 && below >= 0.99*t.Reqs {
			t.P99 = s.values[i]
		}
	}
	t.Mean, t.Within = t.Mean/t.Reqs, t.Within/t.Reqs
	return t
}
