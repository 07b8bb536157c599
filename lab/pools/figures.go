package pools

import (
	"fmt"
	"slices"
	"time"

	"ravensill/lab/actor"
	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
)

// Figures holds the figures by which runs are compared.
type Figures struct {
	Utilization float64       // mean number of requests in service at the store over the capacity less the reserve
	JainIndex   float64       // Jain's fairness index of the successes among the hot gateways, or among all if none is hot
	P50         time.Duration // latency of successes
	P99         time.Duration // latency of successes
	// P99OfAll is the latency of all requests, where one that did not succeed counts with its client's timeout.
	P99OfAll     time.Duration
	Succeeded    int           // requests
	Rejected     int           // requests
	RejectedP99  time.Duration // latency of rejections
	Lost         int           // requests that neither succeeded nor were rejected
	Refused      int           // connections that the store refused
	Opened       int           // connections that the store accepted
	Peak         int           // largest number of connections that the store had at once
	DatagramRate float64       // datagrams per second of the gateway that sent most to the voters
	LeaderRate   float64       // datagrams per second of the voter that sent most
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

// Figures returns the figures of a run, for the time from an offset after its start on. It must be called while the
// fleet still runs. Connections and datagrams are counted from the start of the fleet.
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

// addRequests adds the figures of the requests sent from a time on, and returns the number of successes by gateway.
func (f *Figures) addRequests(report *fleet.Report, start int64) (successes map[int]float64) {
	end := report.EndedAt - int64(second) // requests sent later may still be unanswered
	successes = map[int]float64{}
	var succeeded, rejected, all []time.Duration
	for _, request := range report.Clients.Requests {
		if request.SentAt < start || request.SentAt > end {
			continue
		}
		duration := time.Duration(request.EndedAt - request.SentAt)
		switch request.Result {
		case emulator.Succeeded:
			successes[request.Gateway]++
			succeeded = append(succeeded, duration)
			all = append(all, duration)
			continue
		case emulator.Rejected:
			rejected = append(rejected, duration)
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

// jainIndex returns Jain's fairness index of the successes of the hot gateways, or of all gateways if none is hot.
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

// addStore adds the figures of the store. The utilization is that from a time on.
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

// addDatagrams adds the rates of datagrams, as means since the start of the fleet.
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

// percentile sorts the durations and returns the value that a fraction of them does not exceed; 0 if there are none.
func percentile(durations []time.Duration, fraction float64) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(fraction*float64(len(durations)-1))]
}

// TimeAbove returns how long after a time the number of the store's connections last changed to one above a limit; 0 if
// it never did. stillAbove reports whether the store still has more connections than the limit.
func TimeAbove(report *fleet.Report, since int64, limit int) (duration time.Duration, stillAbove bool) {
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

// InjectedAt returns the time at which the step with a description was injected; 0 if it was not.
func InjectedAt(report *fleet.Report, description string) int64 {
	for _, injected := range report.InjectedSteps {
		if injected.Description == description {
			return injected.At
		}
	}
	return 0
}
