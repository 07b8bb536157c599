package pools

import (
	"fmt"
	"slices"
	"time"

	"ravensill/lab/actor"
	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
)

// Figures are what runs are compared by.
type Figures struct {
	Utilization float64       // mean fraction of the capacity without its reserve that was in use
	JainIndex   float64       // fairness of successes among the gateways whose demand exceeds their share
	P50         time.Duration // of successes
	P99         time.Duration // of successes
	// P99OfAll is that of all requests, where one that did not succeed counts with its client's timeout.
	P99OfAll     time.Duration
	Succeeded    int
	Rejected     int
	RejectedP99  time.Duration
	Lost         int
	Refused      int     // connections, by the store
	Opened       int     // connections of the store
	Peak         int     // connections of the store at once
	DatagramRate float64 // a second, of the gateway that sent most to the voters
	LeaderRate   float64 // a second, of the voter that sent most
}

// String returns the figures in one line.
func (f Figures) String() string {
	return fmt.Sprintf("used %.3f, Jain %.3f, p50 %d ms, p99 %d ms "+
		"(%d ms with what did not succeed as its client timeout), "+
		"succeeded %d, rejected %d (p99 after %d ms), lost %d, refused dials %d, opened %d, peak %d, "+
		"datagrams a process %.1f/s, the leader %.1f/s",
		f.Utilization, f.JainIndex, f.P50.Milliseconds(), f.P99.Milliseconds(), f.P99OfAll.Milliseconds(),
		f.Succeeded, f.Rejected, f.RejectedP99.Milliseconds(), f.Lost, f.Refused, f.Opened, f.Peak,
		f.DatagramRate, f.LeaderRate)
}

// Figures returns the figures of a run from a time after its start on. The fleet still runs.
func (g *Group) Figures(report *fleet.Report, from time.Duration) Figures {
	start := report.StartedAt + int64(from)
	var figures Figures
	successes := figures.addRequests(report, start)
	figures.JainIndex = g.jainIndex(successes)
	g.addStore(&figures, report, start)
	if !g.Unmanaged {
		g.addDatagrams(&figures, report)
	}
	return figures
}

// addRequests adds the figures of the requests since a time, and returns the successes by gateway.
func (f *Figures) addRequests(report *fleet.Report, start int64) (successes map[int]float64) {
	end := report.EndedAt - int64(second) // later requests may not have had their time
	successes = map[int]float64{}
	var succeeded, rejected, all []time.Duration
	for _, request := range report.Clients.Requests {
		if request.SentAt < start || request.SentAt > end {
			continue
		}
		took := time.Duration(request.EndedAt - request.SentAt)
		switch request.Result {
		case emulator.Succeeded:
			successes[request.Gateway]++
			succeeded = append(succeeded, took)
			all = append(all, took)
			continue
		case emulator.Rejected:
			rejected = append(rejected, took)
		default:
			f.Lost++
		}
		all = append(all, clientTimeout)
	}
	f.Succeeded = len(succeeded)
	f.Rejected = len(rejected)
	f.P50 = percentile(succeeded, 0.5)
	f.P99 = percentile(succeeded, 0.99)
	f.RejectedP99 = percentile(rejected, 0.99)
	f.P99OfAll = percentile(all, 0.99)
	return successes
}

// jainIndex returns Jain's fairness index of the successes of the hot gateways, or of all if none is hot.
func (g *Group) jainIndex(successes map[int]float64) float64 {
	first := g.Gateways - g.HotGateways
	if g.HotGateways == 0 {
		first = 0
	}
	sum := 0.0
	squares := 0.0
	for gateway := first; gateway < g.Gateways; gateway++ {
		sum += successes[gateway]
		squares += successes[gateway] * successes[gateway]
	}
	count := float64(g.Gateways - first)
	return sum * sum / (count * max(squares, 1))
}

// addStore adds the figures of the store since a time.
func (g *Group) addStore(figures *Figures, report *fleet.Report, start int64) {
	log := &report.Hosts[0].HostLog
	figures.Refused = log.RefusedConns
	figures.Opened = log.AcceptedConns
	figures.Peak = log.PeakConns
	busy := 0.0
	for _, command := range log.Commands {
		end := command.EndedAt
		if end == 0 {
			end = report.EndedAt
		}
		busy += float64(max(min(end, report.EndedAt)-max(command.ReceivedAt, start), 0))
	}
	figures.Utilization = busy / float64(report.EndedAt-start) / float64(g.Capacity-g.Reserve)
}

// addDatagrams adds the rates of datagrams since the start of the fleet.
func (g *Group) addDatagrams(figures *Figures, report *fleet.Report) {
	_, counts := g.datagrams.Counts()
	seconds := time.Duration(actor.Now()-report.StartedAt).Seconds() + report.Fleet.StartDuration.Seconds()
	for end, count := range counts {
		rate := float64(count.Sent) / seconds
		if end < g.Gateways {
			figures.DatagramRate = max(figures.DatagramRate, rate)
		} else {
			figures.LeaderRate = max(figures.LeaderRate, rate)
		}
	}
}

// percentile returns the value that a fraction of the durations does not exceed; 0 if there are none.
func percentile(durations []time.Duration, fraction float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(fraction*float64(len(durations)-1))]
}

// TimeAbove returns how long after a time the store last had more connections than a limit; never reports that it still
// has.
func TimeAbove(report *fleet.Report, since int64, limit int) (duration time.Duration, never bool) {
	latest := since
	above := false
	for _, step := range report.Hosts[0].LoadSteps {
		if step.At < since {
			continue
		}
		above = step.OpenConns > limit
		if above {
			latest = step.At
		}
	}
	return time.Duration(latest - since), above
}

// InjectedAt returns the time at which a step was injected; 0 if it was not.
func InjectedAt(report *fleet.Report, description string) int64 {
	for _, injected := range report.InjectedSteps {
		if injected.Description == description {
			return injected.At
		}
	}
	return 0
}
