package pools

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
)

var full = os.Getenv("FULL_SIZE") == "1"

// size gives the run's: 24 gateways in CI, 200 with FULL_SIZE=1.
func size() Size {
	if full {
		return Full()
	}
	return Usual()
}

// play plays a size with steps and gives its figures from a time on; at full size they go into docs/measurements too.
func play(t *testing.T, name string, z Size, long, from time.Duration, holds []fleet.Check, steps func(*Rig) []fleet.Step) (g Figures, r *fleet.Report) {
	t.Helper()
	rig, plan := z.Plan()
	s := fleet.Scenario{Name: name, Options: plan, Loads: []emulator.Load{z.Load()}, Duration: long, Checks: holds}
	if steps != nil {
		s.Steps = steps(rig)
	}
	s.Checks = append(s.Checks, fleet.Check{Name: "figures", FindViolation: func(r *fleet.Report) string {
		g = z.Figures(r, rig, from)
		return ""
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := s.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Err(); err != nil {
		t.Error(err)
	}
	note(t, fmt.Sprintf("%s, %d gateways, capacity %d, %g reqs a second: %s", name, z.Gateways, z.Capacity, z.Rate, g))
	return g, r
}

func note(t *testing.T, text string) {
	t.Log(text)
	if !full {
		return
	}
	load, _ := os.ReadFile("/proc/loadavg")
	w, err := os.OpenFile("../../docs/measurements/pool.txt", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	fmt.Fprintf(w, "%s (load of the machine %.5s)\n", text, load)
}

// Negotiated quotas beside first come first served, and at full size an equal split and floors alone. Only the
// store's counts decide.
func TestCompared(t *testing.T) {
	z := size()
	off, alone := z, z
	off.Off, alone.Alone = true, true
	long, from := 9*time.Second, 5*time.Second
	if full {
		long, from = 18*time.Second, 10*time.Second
	}
	play(t, "negotiated", z, long, from, z.Holds(), nil)
	if g, _ := play(t, "first come", off, long, from, nil, nil); g.Refused == 0 {
		t.Log("the store refused nobody")
	}
	if full {
		play(t, "equal split", z.Equal(), long, from, nil, nil)
		play(t, "floors alone", alone, long, from, nil, nil)
	}
}

func TestOverload(t *testing.T) {
	if !full {
		t.Skip("no FULL_SIZE")
	}
	for _, z := range []Size{Usual(), Full()} {
		t.Run(fmt.Sprint(z.Gateways), func(t *testing.T) {
			z.Service = 400 * time.Millisecond
			z.Rate = 1.5 * float64(z.Capacity) / z.Service.Seconds()
			even := z
			even.Hot = 0
			play(t, "demand beyond at each, negotiated", even, 20*time.Second, 12*time.Second, nil, nil)
			off, alone := z, z
			off.Off, alone.Alone = true, true
			for _, c := range []struct {
				name string
				z    Size
			}{{"negotiated", z}, {"first come", off}, {"equal split", z.Equal()}, {"floors alone", alone}} {
				play(t, "demand beyond, "+c.name, c.z, 24*time.Second, 14*time.Second, nil, nil)
			}
		})
	}
}

func TestNetwork(t *testing.T) {
	z := size()
	play(t, "network", z, 22*time.Second, 3*time.Second, z.Holds(), (*Rig).Network)
}

func TestVoters(t *testing.T) {
	z := size()
	z.Voters = 5
	play(t, "voters", z, 26*time.Second, 3*time.Second, z.Holds(), (*Rig).Ballots)
}

// A smaller store: no req is cut or lost, and what is open falls under the new number.
func TestLoweredStore(t *testing.T) {
	z := size()
	z.Rate *= 1.6
	less := z.Capacity * 6 / 10
	_, r := play(t, "lowered", z, 12*time.Second, 3*time.Second, z.Holds(), func(rig *Rig) []fleet.Step {
		return []fleet.Step{rig.Lower(6*time.Second, less, 2)}
	})
	long := Above(r, When(r, fmt.Sprintf("capacity %d", less)), less)
	if note(t, fmt.Sprintf("at most %d connections %d ms after the operators said so", less, long.Milliseconds())); long < 0 {
		t.Error("never under it")
	}
}

// Processes stopped for longer than lease and quarantine: the store sees more by what they had been lent at most, and its
// refusals lose no req.
func TestStuck(t *testing.T) {
	z := size()
	z.Rate *= 1.6
	z.Lease = 600 * time.Millisecond
	most, units := 0, 0
	holds := append([]fleet.Check{{Name: "beyond the capacity by what the stopped ones had been lent", FindViolation: func(r *fleet.Report) string {
		most, units = r.Hosts[0].PeakConns, NotGivenBack(r.Fleet)
		if most > z.Capacity-z.Reserve+units {
			return fmt.Sprintf("%d connections at once, %d units not given back", most, units)
		}
		return ""
	}}}, fleet.CommonChecks...)
	rig, plan := z.Plan()
	usual := plan.ConfigureHost
	plan.ConfigureHost = func(i int, h *emulator.HostOptions) {
		usual(i, h)
		h.MaxConns *= 2 // counts, and refuses nobody
	}
	s := fleet.Scenario{Name: "stuck", Options: plan, Loads: []emulator.Load{z.Load()}, Duration: 16 * time.Second, Checks: holds, Steps: rig.Stuck(5 * time.Second)}
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Minute)
	defer cancel()
	r, err := s.Run(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := r.Err(); err != nil {
		t.Error(err)
	}
	note(t, fmt.Sprintf("stopped past lease and quarantine, %d gateways: %d connections at once, capacity %d, reserve %d, %d units not given back; %s", z.Gateways,
		most, z.Capacity, z.Reserve, units, strings.TrimSpace(r.Summary())))
}
