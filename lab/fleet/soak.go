package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/gatewayconfig"
	"ravensill/lab/hostileclients"
)

const (
	soakDuration = 7 * time.Second
	soakTimeout  = 3 * time.Second // of the clients

	// earliestKill is the time after SIGTERM before which no platform kills a process: the longest client timeout that is
	// granted, and 0.7 s.
	earliestKill = 3*time.Second + 700*time.Millisecond
)

// soak draws a scenario. Everything in it depends only on the seed.
type soak struct {
	random   *rand.Rand
	scenario Scenario
	clients  int // places for clients of each gateway, a third of its descriptors at most
}

// SoakScenario returns a scenario whose sizes, limits, load and faults are drawn by the seed: crowds of hostile
// clients, floods, series of signals, kills at the earliest time, frozen gateways, hosts that hang, restart, drain,
// turn requests away or fail, clients that leave, and lists that come late.
func SoakScenario(seed uint64) Scenario {
	random := rand.New(rand.NewPCG(seed, 68))
	size := ScenarioSize{
		Gateways: 1 + random.IntN(4),
		Hosts:    4 + random.IntN(6),
		Rate:     30 + 70*random.Float64(),
		Seed:     seed,
	}
	s := &soak{random: random, scenario: size.scenario(fmt.Sprintf("soak, seed %d", seed), soakDuration, 0)}
	s.scenario.WarmUp = second
	s.drawLimits()
	s.drawLoad()
	s.drawHosts()
	s.drawGatewayFaults()
	s.drawCrowds()
	s.scenario.Checks = append([]Check{MemoryWithinLimit, NothingAfterHostileClientLeft, AnsweredInTime}, CommonChecks...)
	return s.scenario
}

// chance reports whether an event of the given probability happens.
func (s *soak) chance(probability float64) bool { return s.random.Float64() < probability }

// timeBetween returns a time of the scenario.
func (s *soak) timeBetween(from, to time.Duration) time.Duration {
	return from + time.Duration(s.random.Int64N(int64(to-from)))
}

// oneOf returns one of the values.
func oneOf[T any](s *soak, values ...T) T { return values[s.random.IntN(len(values))] }

// addStep adds a step to the scenario.
func (s *soak) addStep(at time.Duration, description string, run func(ctx context.Context, f *Fleet) error) {
	s.scenario.Steps = append(s.scenario.Steps, Step{at, description, run})
}

// drawLimits draws the memory and the descriptors of all gateways.
func (s *soak) drawLimits() {
	resources := gatewayconfig.Resources{
		MemoryMB: oneOf(s, leastMemoryMB, 48, 64, 192),
		Sockets:  oneOf(s, 256, 512, mostDescriptors),
	}
	s.clients = resources.Sockets / 3
	s.scenario.Options.ConfigureGateway = func(_ *Fleet, _ int, file *gatewayconfig.File) error {
		file.Resources = resources
		return nil
	}
}

// drawLoad draws the size of requests, and how many clients leave.
func (s *soak) drawLoad() {
	load := &s.scenario.Loads[0]
	load.Classes = MixedClasses(soakTimeout)
	load.SubsetSize = 0
	load.Body = strings.Repeat("b", oneOf(s, 4, 2<<10, 40<<10))
	load.LeaveFraction = oneOf(s, 0, 0.1, 0.3)
	load.LeaveTime = 300 * time.Millisecond
}

// drawHosts draws what hosts do to requests, and up to two faults of hosts.
func (s *soak) drawHosts() {
	busy, failing := oneOf(s, 0, 0.05), oneOf(s, 0, 0.05)
	s.scenario.Options.ConfigureHost = func(_ int, host *emulator.HostOptions) {
		host.Model.BusyFraction = busy
		host.Model.BusyTime = 200 * time.Millisecond
		host.Model.ErrorFraction = failing
	}
	for range s.random.IntN(3) {
		host := s.random.IntN(s.scenario.Options.Hosts)
		at := s.timeBetween(0, soakDuration/2)
		end := at + s.timeBetween(500*time.Millisecond, 2*second)
		switch s.random.IntN(4) {
		case 0:
			s.addStep(at, fmt.Sprintf("host %d hangs", host), func(_ context.Context, f *Fleet) error {
				f.hosts[host].SetHanging(true)
				return nil
			})
			s.addStep(end, fmt.Sprintf("host %d answers", host), func(_ context.Context, f *Fleet) error {
				f.hosts[host].SetHanging(false)
				return nil
			})
		case 1:
			s.addStep(at, fmt.Sprintf("host %d is slow", host), func(_ context.Context, f *Fleet) error {
				f.hosts[host].SetSlowdown(20)
				return nil
			})
		case 2: // another process at the same address
			s.scenario.Steps = append(s.scenario.Steps, StartHosts(at, host))
		default:
			s.scenario.Steps = append(s.scenario.Steps, RemoveHosts(at, 1500*time.Millisecond, host)...)
		}
	}
	if s.chance(0.2) {
		at := s.timeBetween(0, soakDuration/2)
		freeze := func(frozen bool) func(*emulator.AgentMode) {
			return func(mode *emulator.AgentMode) { mode.Frozen = frozen }
		}
		s.scenario.Steps = append(s.scenario.Steps,
			SetAgentMode(at, nil, "receive nothing", freeze(true)),
			SetAgentMode(at+2*second, nil, "receive what they missed", freeze(false)))
	}
}

// drawGatewayFaults draws a fault of one gateway, or none.
func (s *soak) drawGatewayFaults() {
	gateway := s.random.IntN(s.scenario.Options.Gateways)
	at := s.timeBetween(500*time.Millisecond, soakDuration/3)
	fault := s.random.IntN(5)
	if fault < 2 && s.scenario.Options.Gateways == 1 {
		fault = 2 // in a planned restart new connections go to other gateways
	}
	switch fault {
	case 0, 1:
		s.addStep(at, fmt.Sprintf("signals to %s, killed at the earliest", GatewayName(gateway)), s.signalSeries(gateway))
	case 2:
		s.addStep(at, fmt.Sprintf("kill %s and start it again", GatewayName(gateway)),
			func(ctx context.Context, f *Fleet) error { return f.gateways[gateway].Restart(ctx, true) })
	case 3:
		length := s.timeBetween(100*time.Millisecond, 1500*time.Millisecond)
		s.addStep(at, fmt.Sprintf("freeze %s", GatewayName(gateway)),
			func(_ context.Context, f *Fleet) error { return f.gateways[gateway].Freeze() })
		s.addStep(at+length, fmt.Sprintf("thaw %s", GatewayName(gateway)),
			func(_ context.Context, f *Fleet) error { return f.gateways[gateway].Thaw() })
	}
}

// signalSeries returns a step that sends a gateway a drawn series of SIGHUP and SIGTERM. Clients use their connections
// until the process is killed, earliestKill after the first SIGTERM, unless it ends before. Then it is started again.
func (s *soak) signalSeries(gateway int) func(ctx context.Context, f *Fleet) error {
	var signals []syscall.Signal
	for range s.random.IntN(4) {
		signals = append(signals, oneOf(s, syscall.SIGHUP, syscall.SIGTERM))
	}
	pauses := make([]time.Duration, len(signals))
	for i := range pauses {
		pauses[i] = s.timeBetween(time.Millisecond, 300*time.Millisecond)
	}
	return func(ctx context.Context, f *Fleet) error {
		g := f.gateways[gateway]
		f.Clients.SetRestarting(true, gateway)
		if err := g.Terminate(); err != nil {
			return err
		}
		kill := time.After(earliestKill)
		f.backgroundSteps.Go(func() error {
			for i, signal := range signals {
				time.Sleep(pauses[i])
				if _, err := g.signal(signal); err != nil {
					break // it has ended
				}
			}
			exited := make(chan error, 1)
			go func() { exited <- g.WaitExit(ctx) }()
			select {
			case <-kill:
			case <-exited:
			}
			err := g.Restart(ctx, true)
			f.Clients.SetRestarting(false, gateway)
			return err
		})
		return nil
	}
}

// drawCrowds draws up to two crowds, or floods by single clients. A crowd leaves half of the places to other clients.
func (s *soak) drawCrowds() {
	for range s.random.IntN(3) {
		behavior := oneOf(s, hostileclients.Behaviors()...)
		clients := oneOf(s, 1, s.clients/4, s.clients/2)
		at := s.timeBetween(0, soakDuration/2)
		gateway := s.random.IntN(s.scenario.Options.Gateways)
		length := s.timeBetween(second, 3*second)
		s.scenario.Steps = append(s.scenario.Steps,
			ConnectCrowd(at, length, gateway, clients, behavior, s.scenario.Options.Seed<<8+s.random.Uint64N(256)))
	}
}
