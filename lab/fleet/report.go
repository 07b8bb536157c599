package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/relay"
)

// Report is the result of a run: the logs of all parts of the fleet, and the violations of the scenario's checks. The
// logs are read once all requests have ended or lastRequestsTimeout is over.
type Report struct {
	Scenario        *Scenario
	Fleet           *Fleet // closed when Run returns
	StartedAt       int64  // start of the load, in ns of actor.Now
	EndedAt         int64  // end of the load, in ns of actor.Now
	InjectedSteps   []InjectedStep
	Unfinished      int // requests still in flight when the run stopped waiting for them
	Clients         emulator.ClientLog
	Hosts           []HostReport
	Gateways        []GatewayReport
	HostListChanges []emulator.HostListChange
	Gossip          relay.Counts
	Crowds          []CrowdReport
	PeakRSS         []int    // highest resident memory of any process, in bytes, by the gateway's member index
	Violations      []string // of the scenario's checks, one text for each violated check

	requestIndex map[string]int // index in Clients.Requests by request id
	usageBefore  []Usage        // of the gateways at the start of the load, by member index
}

// InjectedStep is a step that was run, with the time in nanoseconds of actor.Now at which it began.
type InjectedStep struct {
	At          int64
	Description string
}

// HostReport holds the options of one host and the log of everything that it received during the run.
type HostReport struct {
	emulator.HostOptions
	emulator.HostLog
}

// GatewayReport is what happened to one gateway and what its processes used.
type GatewayReport struct {
	Events       []ProcessEvent
	EventCounts  map[string]int // number of log lines by event
	UsageAtStart Usage          // of the process that ran at the start of the load; zero if none did
	UsageAtEnd   Usage          // of the process that ran at the end; zero if none did
}

// gather reads the usage of the processes and then the logs of all parts of the fleet.
func (r *Report) gather() {
	fleet := r.Fleet
	usageAfter := fleet.usage()
	r.Clients = fleet.Clients.Log()
	for _, host := range fleet.hosts {
		r.Hosts = append(r.Hosts, HostReport{host.HostOptions, host.Log()})
	}
	for i, gateway := range fleet.gateways {
		r.Gateways = append(r.Gateways, GatewayReport{
			Events:       gateway.Events(),
			EventCounts:  gateway.EventCounts(),
			UsageAtStart: r.usageBefore[i],
			UsageAtEnd:   usageAfter[i],
		})
	}
	r.HostListChanges = fleet.Agent.Changes()
	if fleet.Gossip != nil {
		r.Gossip, _ = fleet.Gossip.Counts()
	}
	r.Crowds = fleet.crowds.all()
	r.indexRequests()
}

// usage returns the usage of each gateway's process by member index; zero for a gateway that is down.
func (f *Fleet) usage() (all []Usage) {
	for _, gateway := range f.gateways {
		usage, _ := gateway.Usage()
		all = append(all, usage)
	}
	return all
}

// indexRequests fills requestIndex from the clients' log.
func (r *Report) indexRequests() {
	r.requestIndex = map[string]int{}
	for i, request := range r.Clients.Requests {
		r.requestIndex[request.ID] = i
	}
}

// Request returns the client request with an id. ok is false if no client sent it.
func (r *Report) Request(id string) (request emulator.Request, ok bool) {
	i, ok := r.requestIndex[id]
	if ok {
		request = r.Clients.Requests[i]
	}
	return request, ok
}

// Results returns the number of requests by result.
func (r *Report) Results() map[emulator.Result]int {
	counts := map[emulator.Result]int{}
	for _, request := range r.Clients.Requests {
		counts[request.Result]++
	}
	return counts
}

// EmulatorDelays returns how late the emulators ran, which happens on a busy machine. clients is the longest time by
// which a client sent a request too late. hosts is the 99th percentile of the time by which a host answered later than
// its model says.
func (r *Report) EmulatorDelays() (clients, hosts time.Duration) {
	delays := r.hostDelays()
	slices.Sort(delays)
	if len(delays) > 0 {
		hosts = delays[len(delays)*99/100]
	}
	return r.Clients.MaxDelay, hosts
}

// hostDelays returns, for each command that succeeded, how much later than its model says the host answered.
func (r *Report) hostDelays() (delays []time.Duration) {
	for _, host := range r.Hosts {
		for _, command := range host.Commands {
			if command.Outcome == emulator.OutcomeSucceeded {
				delays = append(delays, time.Duration(command.EndedAt-command.ReceivedAt)-command.ResponseTime)
			}
		}
	}
	return delays
}

// Cost returns one line about the gateways whose process ran throughout the load: memory, processor cores used by each,
// and processor time of all gateways together for each request.
func (r *Report) Cost() string {
	count := 0
	rss := 0
	peak := 0
	cpu := time.Duration(0)
	for i := range r.Gateways {
		gateway := &r.Gateways[i]
		if !gateway.ranThroughout() {
			continue
		}
		count++
		rss += gateway.UsageAtEnd.RSS
		peak = max(peak, gateway.UsageAtEnd.PeakRSS)
		cpu += gateway.UsageAtEnd.CPU - gateway.UsageAtStart.CPU
	}
	if count == 0 {
		return "no process ran throughout"
	}
	cpuOfEach := cpu.Seconds() / float64(count)
	load := time.Duration(r.EndedAt - r.StartedAt).Seconds()
	cpuOfAll := cpuOfEach * float64(len(r.Gateways)) * 1000
	return fmt.Sprintf("%d ran throughout: memory %.1f MB each, at most %.1f MB; "+
		"%.4f of a core each, %.2f ms of processor a request",
		count, float64(rss)/float64(count)/1e6, float64(peak)/1e6,
		cpuOfEach/load, cpuOfAll/float64(len(r.Clients.Requests)))
}

// ranThroughout reports whether one process of the gateway ran from the start to the end of the load.
func (g *GatewayReport) ranThroughout() bool {
	exited := slices.ContainsFunc(g.Events, func(event ProcessEvent) bool { return event.Kind == Exited })
	return g.UsageAtEnd.RSS > 0 && !exited
}

// Summary returns the numbers of requests by result, of attempts and of datagrams in one line.
func (r *Report) Summary() string {
	results := r.Results()
	var parts []string
	for _, result := range slices.Sorted(maps.Keys(results)) {
		parts = append(parts, fmt.Sprintf("%s %d", result, results[result]))
	}
	attempts := 0
	for _, host := range r.Hosts {
		attempts += len(host.Commands)
	}
	return fmt.Sprintf("%d requests (%s), %d attempts, %d datagrams (%d lost)",
		len(r.Clients.Requests), strings.Join(parts, ", "), attempts, r.Gossip.Sent, r.Gossip.Lost)
}
