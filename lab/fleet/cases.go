package fleet

import (
	"fmt"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/relay"
)

// Size is how large the scenarios of Cases are.
type Size struct {
	Gateways, Hosts int
	Rate            float64 // reqs a second
	Seed            uint64
}

// three is the load of all three kinds of reqs.
func (z Size) three() emulator.Load {
	return emulator.Load{Seed: z.Seed, Rate: z.Rate, Customers: 40 * z.Gateways, ZipfExponent: 0.5, SubsetSize: max(1, z.Gateways/3), Body: "body",
		Classes: []emulator.Class{{Name: "lookup", Timeout: 8 * time.Second, Fraction: 0.6},
			{Name: "order", Post: true, Idempotent: true, Timeout: 8 * time.Second, Fraction: 0.2},
			{Name: "pay", Post: true, Timeout: 8 * time.Second, Fraction: 0.2}}}
}

func (z Size) case1(name string, length time.Duration, served float64, steps ...Step) Scenario {
	return Scenario{Name: name, Plan: Plan{Gateways: z.Gateways, Hosts: z.Hosts, Seed: z.Seed}, Loads: []emulator.Load{z.three()},
		Warm: 2 * time.Second, For: length, Steps: steps, Holds: append([]Check{Served(served)}, Usual...)}
}

// cold makes hosts from one on start cold and stand unlisted.
func cold(p *Plan, from int) {
	p.Unlisted = map[int]bool{}
	for i := from; i < p.Hosts; i++ {
		p.Unlisted[i] = true
	}
	p.Host = func(i int, h *emulator.HostOptions) {
		if h.Model.ColdFactor, h.Model.WarmUpTime = 4, 10*time.Second; i < from {
			h.Model.ColdFactor = 1
		}
	}
}

const second = time.Second

// Cases are the hard cases: what is injected, and the counts that must hold after each. The part of reqs that must
// pass is what the faults leave, not a measure of the program.
func (z Size) Cases() []Scenario {
	g, h := z.Gateways, z.Hosts
	most := g * 7 / 10
	killed := z.case1("seven in ten killed and back", 6*second, 0.4, Kill(1*second, most, "killed", second),
		Restart(3*second, most, "killed", true))
	frozen := z.case1("a third frozen for 1.5 s", 5*second, 0.6, Freeze(1*second, g/3, "frozen"), Thaw(2500*time.Millisecond, g/3, "frozen"))
	left, right := Names(0, g/2), Names(g/2, g)
	noise := relay.Rule{Way: relay.Way{Loss: 0.1, Double: 0.1, Reorder: 0.1, Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond}}
	both := []relay.Rule{{From: left, To: right, Way: relay.Way{Cut: true}}, {From: right, To: left, Way: relay.Way{Cut: true}}}
	parted := z.case1("cut in halves, healed, cut one way, healed", 8*second, 0.9, Faults(0, "noise", noise),
		Faults(1*second, "cut", both...), Faults(4*second, "cut", both[0]), Faults(6*second, "cut"))

	lists := z.case1("half the gateways with another list for 6 s", 8*second, 0.9)
	lists.Plan.Hosts = h + 2
	cold(&lists.Plan, h)
	old := Seats(0, g/2)
	lists.Steps = append([]Step{Agents(0, old, "half have received nothing since", func(m *emulator.Mode) { m.Frozen = true }),
		Join(500*time.Millisecond, h, h+1),
		Agents(6500*time.Millisecond, old, "half have what they missed", func(m *emulator.Mode) { m.Frozen = false })},
		Tell(500*time.Millisecond, nil, "leaving", 0, 1))

	replaced := z.case1("six in ten hosts replaced in 7 s", 10*second, 0.9)
	swap := h * 6 / 10
	replaced.Plan.Hosts = h + swap
	cold(&replaced.Plan, h)
	for i := range swap {
		at := time.Duration(i) * 7 * second / time.Duration(swap)
		replaced.Steps = append(append(replaced.Steps, Join(at, h+i)), Leave(at, 1500*time.Millisecond, i)...)
	}

	one := z.case1("a cold host that all see at once", 5*second, 0.95, Join(1*second, h))
	one.Plan.Hosts = h + 1
	cold(&one.Plan, h)

	hot := z.case1("one gateway with ten times the mean traffic", 4*second, 0.95)
	hot.Loads[0].GatewayWeights = map[int]float64{0: 10}
	hot.Loads[0].SubsetSize = 0

	few := z.case1("a quarter as many gateways as hosts", 4*second, 0.95)
	few.Plan.Gateways, few.Loads[0].SubsetSize = max(2, h/4), 0

	alone := z.case1("one gateway alone", 4*second, 0.95)
	alone.Plan.Gateways, alone.Loads[0].SubsetSize = 1, 0

	light := z.case1("a host with a quarter of the weight", 4*second, 0.95)
	light.Plan.Host = func(i int, hp *emulator.HostOptions) {
		if i == 0 {
			hp.Weight, hp.Speed, hp.Model.Slots = 0.25, 0.25, hp.Model.Slots/4
		}
	}
	rolled := z.case1("a quarter restarted by SIGTERM under open connections", 8*second, 0.95, Roll(1*second, g/4, "rolled"))
	after := func(s *Scenario, hosts []int, times ...float64) {
		for i := 0; i+1 < len(times); i++ {
			from, to := time.Duration(times[i]*float64(second)), time.Duration(times[i+1]*float64(second))
			s.Stretches = append(s.Stretches, Stretch{fmt.Sprintf("%g to %g s", times[i], times[i+1]), from, to, hosts})
		}
	}
	after(&killed, nil, -1.5, 1, 3, 6)
	after(&rolled, nil, -1.5, 1, 5, 8)
	after(&frozen, nil, -1.5, 1, 2.5, 5)
	after(&parted, nil, -1.5, 1, 4, 6, 8)
	after(&lists, Seats(2, h), -1.5, 0.5, 3.5, 6.5, 8)
	after(&replaced, Seats(swap, h), -1.5, 0, 3.5, 7, 10)
	after(&one, nil, -1.5, 1, 5)
	return []Scenario{killed, rolled, frozen, parted, lists, replaced, one, hot, few, alone, light}
}

// Steady is traffic with nothing injected, from customers of like demand, for measuring evenness.
func (z Size) Steady(length time.Duration, holds ...Check) Scenario {
	s := z.case1("steady", length, 0.95)
	s.Holds = append(s.Holds, holds...)
	s.Loads[0].ZipfExponent, s.Loads[0].Classes = 0, []emulator.Class{{Name: "lookup", Timeout: 8 * time.Second, Fraction: 1}}
	return s
}
