// Package truth plays fleets of real processes with the section counterfactual on, and holds what their collector
// answers against what the stand-in hosts would have answered to the very same dispatches. Each gateway writes the
// records of its dispatches to a file; a host's log tells its load and slowness at any time, and its time for a req is
// a function of these and of the req's id. What a dispatch met beside the host's own time (sockets, the loop, a busy
// machine) it would have met at another host, too, and is counted in.
package truth

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"ravensill/counterfactual"
	"ravensill/internal/witness"
	"ravensill/lab/fleet"
	"ravensill/lab/relay"
	"ravensill/lab/standin"
	"ravensill/lab/world"
)

// Case is one fleet with its faults.
type Case struct {
	Name     string
	Gateways int
	Hosts    int
	Late     int // more hosts that stand unlisted at first
	Rate     float64
	For      time.Duration
	Window   time.Duration
	Seed     uint64
	Load     func(l *standin.Load)
	Host     func(i int, h *standin.HostPlan)
	Steps    []fleet.Step
	Refused  string // what every answer is to be refused with; "" none
}

const target = time.Second // of every frontend of the rig

// plan gives the fleet's; each gateway records, the first one collects, and datagrams of the task pass the relay.
func (c *Case) plan() fleet.Plan {
	var net_ *relay.Datagrams
	var listen, ask string
	p := fleet.Plan{Gateways: c.Gateways, Hosts: c.Hosts + c.Late, Seed: c.Seed, Zones: []string{"a", "b"},
		Unlisted: map[int]bool{}}
	for i := range c.Late {
		p.Unlisted[c.Hosts+i] = true
	}
	p.Host = func(i int, h *standin.HostPlan) {
		h.Speed = 0.7 + 0.9*standin.Uniform("speed", fmt.Sprint(i))
		if h.Zone == "b" {
			h.Speed *= 0.7
		}
		h.Model = standin.Model{Base: 30 * time.Millisecond, Sigma: 0.4, Slots: 4, Knee: 0.25, Slope: 0.5}
		if c.Host != nil {
			c.Host(i, h)
		}
	}
	p.Prepare = func(f *fleet.Fleet) (err error) {
		if net_, err = f.Relay.Datagrams("witness", fleet.Names(0, c.Gateways)); err != nil {
			return err
		}
		at, err := standin.Free(121, 0) // the collector's, in all its lives
		if err != nil {
			return err
		}
		listen, ask = at.String(), at.String()
		net_.Place(0, at)
		return nil
	}
	p.Config = func(f *fleet.Fleet, i int, cfg map[string]any) error {
		s := map[string]any{"listen": "127.0.0.1:0", "peers": net_.Peers(i), "collectors": []int{0},
			"window_ms": c.Window.Milliseconds(), "records": records(f, i), "part": 1}
		if i == 0 {
			s["listen"], s["ask"] = listen, ask
		}
		cfg["counterfactual"] = s
		return nil
	}
	return p
}

func records(f *fleet.Fleet, i int) string { return filepath.Join(f.Dir, fmt.Sprintf("records-%d", i)) }

// Outcome is what came of a play.
type Outcome struct {
	world.Score
	Dispatches int
	Late       float64 // part of them that the machine, not a host, held up: how long is not known to the truth either
	Missing    int     // gateways that the answers name
	Counts     counterfactual.Counts
	Usage      []fleet.Usage
}

// Play runs the case and holds the answers against the truth.
func (c *Case) Play(ctx context.Context) (*Outcome, error) {
	f, err := fleet.Start(ctx, c.plan())
	if err != nil {
		return nil, err
	}
	defer f.Close()
	ask := f.Gateway(0).Config["counterfactual"].(map[string]any)["ask"].(string)
	load := standin.Load{Seed: c.Seed, Rate: c.Rate, Customers: 25 * c.Gateways, Skew: 0.4, Spread: 3,
		Classes: []standin.Class{{Name: "lookup", Wait: 3 * time.Second, Part: 1}}}
	if c.Load != nil {
		c.Load(&load)
	}
	run, began := f.Clients.Start(load), time.Now()
	for _, s := range c.Steps {
		if err := wait(ctx, time.Until(began.Add(s.At))); err != nil {
			return nil, err
		}
		if err := s.Do(ctx, f); err != nil {
			return nil, fmt.Errorf("%s: %w", s.What, err)
		}
	}
	if err := wait(ctx, time.Until(began.Add(c.For))); err != nil {
		return nil, err
	}
	run.Stop()
	if n := f.Clients.Wait(20 * time.Second); n > 0 {
		return nil, fmt.Errorf("%d reqs open", n)
	}
	o := &Outcome{}
	var last, now witness.State
	if err := Ask(ctx, ask, witness.Ask{Counts: true}, one(&last)); err != nil {
		return nil, err
	}
	for now.Sealed < last.Bin+2 { // all that ended is told by then, or never
		if err := wait(ctx, c.Window/4); err != nil {
			return nil, err
		}
		if err := Ask(ctx, ask, witness.Ask{Counts: true}, one(&now)); err != nil {
			return nil, err
		}
	}
	o.Counts = now.Counts
	t, err := c.read(f)
	if err != nil {
		return nil, err
	}
	o.Dispatches, o.Late = t.n, float64(t.late)/float64(max(t.n, 1))
	var answers []counterfactual.Answer
	err = Ask(ctx, ask, witness.Ask{Frontend: "lookup", Hosts: true}, func(line []byte) error {
		var a counterfactual.Answer
		if err := json.Unmarshal(line, &a); err != nil {
			return err
		}
		answers = append(answers, a)
		return nil
	})
	if err != nil {
		return nil, err
	}
	var truths []world.Truth
	for i := range answers {
		a := &answers[i]
		rule, ok := counterfactual.ReadRule(a.Rule)
		if !ok {
			return nil, fmt.Errorf("an answer of no rule: %+v", a)
		}
		o.Missing = max(o.Missing, len(a.Missing))
		truths = append(truths, t.truth(rule, a.Host))
		o.Take(a, truths[i])
	}
	o.Order(answers, truths)
	for _, g := range f.Gateways() {
		if u, err := g.Usage(); err == nil {
			o.Usage = append(o.Usage, u)
		}
	}
	return o, nil
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func one(to any) func([]byte) error {
	return func(line []byte) error { return json.Unmarshal(line, to) }
}

// Ask puts a question to a collector and hands on each line of the answer.
func Ask(ctx context.Context, addr string, q witness.Ask, line func([]byte) error) error {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return err
	}
	defer c.Close()
	if at, ok := ctx.Deadline(); ok {
		c.SetDeadline(at)
	}
	text, err := json.Marshal(q)
	if err != nil {
		return err
	}
	if _, err := c.Write(append(text, '\n')); err != nil {
		return err
	}
	lines, n := bufio.NewScanner(c), 0
	lines.Buffer(nil, 1<<20)
	for ; lines.Scan(); n++ {
		if err := line(lines.Bytes()); err != nil {
			return err
		}
	}
	if n == 0 {
		return fmt.Errorf("no answer of the collector: %v", lines.Err())
	}
	return lines.Err()
}

// book holds all dispatches that gateways recorded, with what each open host would have taken.
type book struct {
	n, late int
	samples map[counterfactual.Rule]*world.Sample
	hosts   map[string]*world.Sample
}

// read reads the records and asks the hosts' logs. It tells an error where a record names a host that no log knows.
func (c *Case) read(f *fleet.Fleet) (*book, error) {
	var all []witness.Entry
	for i := range f.Gateways() {
		file, err := os.Open(records(f, i))
		if err != nil {
			return nil, err
		}
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var e witness.Entry
			if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
				break // a killed gateway's last line
			}
			all = append(all, e)
		}
		file.Close()
	}
	type got struct {
		host int
		cmd  standin.Command
	}
	logs, came := make([]standin.HostLog, len(f.Hosts())), map[string][]got{}
	for i, h := range f.Hosts() {
		logs[i] = h.Log()
		for _, cmd := range logs[i].Commands {
			came[cmd.ID] = append(came[cmd.ID], got{i, cmd})
		}
	}
	// A host's number is known from reqs that went to one host only.
	votes := map[uint32]map[int]int{}
	for _, e := range all {
		if g := came[e.Req]; len(g) == 1 {
			if votes[e.Options[0].Host] == nil {
				votes[e.Options[0].Host] = map[int]int{}
			}
			votes[e.Options[0].Host][g[0].host]++
		}
	}
	number := map[uint32]int{}
	for id, by := range votes {
		best := -1
		for h, n := range by {
			if best < 0 || n > by[best] {
				best = h
			}
		}
		number[id] = best
	}
	b := &book{n: len(all), samples: map[counterfactual.Rule]*world.Sample{}, hosts: map[string]*world.Sample{}}
	for _, e := range all {
		own, known := number[e.Options[0].Host]
		i := slices.IndexFunc(came[e.Req], func(g got) bool { return known && g.host == own })
		if i < 0 { // it never came to a host
			continue
		}
		cmd := came[e.Req][i].cmd
		beside := max(float64(e.Lag-int64(cmd.Time))/1e6, 0) // ms; of one that was cut off, at least
		if own := float64(cmd.Time) / 1e6; beside > 10+own/4 {
			b.late++
		}
		times := make([]float64, len(e.Options))
		for k, o := range e.Options {
			times[k] = math.NaN()
			h, ok := number[o.Host]
			if !ok {
				continue
			}
			if k == 0 {
				times[k] = float64(cmd.Time)/1e6 + beside
			} else if d, _, ok := logs[h].WouldAt(f.Host(h).Model, e.Req, cmd.Class, e.At); ok {
				times[k] = float64(d)/1e6 + beside
			}
			if f.Host(h).Model.Fails(e.Req) {
				times[k] = math.Inf(1)
			}
		}
		add := func(s *world.Sample, rule counterfactual.Rule, host uint32) {
			for k, p := range world.Under(rule, e.Options, host) {
				if p > 0 {
					s.Add(times[k], p)
				}
			}
		}
		for r := counterfactual.Logged; r < counterfactual.Single; r++ {
			if b.samples[r] == nil {
				b.samples[r] = &world.Sample{}
			}
			add(b.samples[r], r, 0)
		}
		for _, o := range e.Options {
			if h, ok := number[o.Host]; ok {
				id := f.Host(h).ID
				if b.hosts[id] == nil {
					b.hosts[id] = &world.Sample{}
				}
				add(b.hosts[id], counterfactual.Single, o.Host)
			}
		}
	}
	return b, nil
}

// truth is not a number where a host that counts never got anything: no estimate may be given for it.
func (b *book) truth(r counterfactual.Rule, host string) world.Truth {
	s := b.samples[r]
	if r == counterfactual.Single {
		s = b.hosts[host]
	}
	if s == nil {
		return world.Truth{Mean: math.NaN()}
	}
	return s.Figures(float64(target) / 1e6)
}
