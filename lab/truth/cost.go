package truth

import (
	"context"
	"fmt"
	"time"

	"ravensill/lab/fleet"
	"ravensill/lab/standin"
)

// Cost is what a req costs a gateway with the section on, over what it costs one with it off.
type Cost struct {
	On, Off time.Duration // CPU a req
	Reqs    int
}

func (c Cost) String() string {
	return fmt.Sprintf("CPU a req %v with it on, %v off: %+.1f%%, over %d reqs each", c.On, c.Off,
		100*(float64(c.On)/float64(c.Off)-1), c.Reqs)
}

// Measure runs three gateways that do not know of each other beside each other: one collects, of the other two one
// records and tells, and both get the same load at the same time. swap changes their places, as the machine may
// favour one.
func Measure(ctx context.Context, seed uint64, rate float64, length time.Duration, swap bool,
	part float64) (Cost, error) {
	c := Case{Name: "cost", Gateways: 3, Hosts: 12, Window: 2 * time.Second, Seed: seed}
	p := c.plan()
	on, off := 1, 2
	if swap {
		on, off = 2, 1
	}
	p.Alone = true
	p.Host = func(i int, h *standin.HostPlan) { h.Model.Most = 0 }
	section := p.Config
	p.Config = func(f *fleet.Fleet, i int, cfg map[string]any) error {
		if err := section(f, i, cfg); err != nil || i == off {
			delete(cfg, "counterfactual")
			return err
		}
		s := cfg["counterfactual"].(map[string]any)
		delete(s, "records") // a file is no part of the ordinary path
		s["part"] = part
		return nil
	}
	f, err := fleet.Start(ctx, p)
	if err != nil {
		return Cost{}, err
	}
	defer f.Close()
	run := f.Clients.Start(standin.Load{Seed: seed, Rate: rate, Customers: 300, Spread: 0,
		Hot: map[int]float64{0: 0}, Classes: []standin.Class{{Name: "lookup", Wait: 3 * time.Second, Part: 1}}})
	if err := wait(ctx, 2*time.Second); err != nil { // connections are up by then
		return Cost{}, err
	}
	var from, to [3]fleet.Usage
	read := func(u *[3]fleet.Usage) (err error) {
		for _, i := range []int{on, off} {
			if u[i], err = f.Gateway(i).Usage(); err != nil {
				return err
			}
		}
		return nil
	}
	sent := f.Clients.Sent()
	if err := read(&from); err != nil {
		return Cost{}, err
	}
	if err := wait(ctx, length); err != nil {
		return Cost{}, err
	}
	if err := read(&to); err != nil {
		return Cost{}, err
	}
	last := f.Clients.Sent()
	run.Stop()
	var n [3]int
	for _, q := range f.Clients.Log().Reqs[sent:last] {
		n[q.Gateway]++
	}
	if n[0] > 0 || n[on] < 100 || n[off] < 100 {
		return Cost{}, fmt.Errorf("reqs by gateway: %v", n)
	}
	return Cost{On: (to[on].CPU - from[on].CPU) / time.Duration(n[on]), Off: (to[off].CPU - from[off].CPU) / time.Duration(n[off]),
		Reqs: min(n[on], n[off])}, nil
}
