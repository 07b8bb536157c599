package groundtruth

import (
	"bufio"
	"encoding/json"
	"math"
	"os"
	"slices"

	"ravensill/counterfactual"
	"ravensill/internal/observer"
	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/simenv"
)

// attemptRecords holds the response times that the recorded attempts would have had by each rule and at each host.
type attemptRecords struct {
	count   int // recorded attempts
	delayed int // recorded attempts that the machine, not a host, delayed
	byRule  map[counterfactual.Rule]*simenv.Sample
	byHost  map[string]*simenv.Sample // by host ID
}

// receivedCommand is a command from a host's log, together with the host that received it.
type receivedCommand struct {
	host    int // index of the host
	command emulator.Command
}

// hostLogs holds the logs of the emulated hosts.
type hostLogs struct {
	logs         []emulator.HostLog           // by host
	commands     map[string][]receivedCommand // by request ID
	hostByNumber map[uint32]int               // host index by the host's number in the gateways' records
}

// readRecords reads the gateways' records and the hosts' logs and computes the response times of all attempts.
func readRecords(f *fleet.Fleet) (*attemptRecords, error) {
	var entries []observer.Entry
	for i := range f.Gateways() {
		gatewayEntries, err := readRecordsFile(recordsPath(f, i))
		if err != nil {
			return nil, err
		}
		entries = append(entries, gatewayEntries...)
	}
	hosts := readHostLogs(f, entries)
	records := &attemptRecords{
		count:  len(entries),
		byRule: map[counterfactual.Rule]*simenv.Sample{},
		byHost: map[string]*simenv.Sample{},
	}
	for i := range entries {
		records.add(f, hosts, &entries[i])
	}
	return records, nil
}

// readRecordsFile reads the records of one gateway up to the first incomplete line.
func readRecordsFile(path string) (entries []observer.Entry, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var entry observer.Entry
		if json.Unmarshal(lines.Bytes(), &entry) != nil {
			break // a killed gateway leaves its last line incomplete
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// readHostLogs reads the hosts' logs and maps the host numbers in the gateways' records to hosts. For the mapping it
// uses requests that only one host received: the host that received most requests recorded for a number has this
// number.
func readHostLogs(f *fleet.Fleet, entries []observer.Entry) *hostLogs {
	hosts := &hostLogs{
		logs:         make([]emulator.HostLog, len(f.Hosts())),
		commands:     map[string][]receivedCommand{},
		hostByNumber: map[uint32]int{},
	}
	for i, host := range f.Hosts() {
		hosts.logs[i] = host.Log()
		for _, command := range hosts.logs[i].Commands {
			hosts.commands[command.ID] = append(hosts.commands[command.ID], receivedCommand{i, command})
		}
	}
	hostCounts := map[uint32]map[int]int{}
	for _, entry := range entries {
		commands := hosts.commands[entry.Request]
		if len(commands) != 1 {
			continue
		}
		number := entry.Candidates[0].Host
		if hostCounts[number] == nil {
			hostCounts[number] = map[int]int{}
		}
		hostCounts[number][commands[0].host]++
	}
	for number, byHost := range hostCounts {
		best := -1
		for host, count := range byHost {
			if best < 0 || count > byHost[best] {
				best = host
			}
		}
		hosts.hostByNumber[number] = best
	}
	return hosts
}

// add adds one attempt to the samples, unless the chosen host has not received it.
func (r *attemptRecords) add(f *fleet.Fleet, hosts *hostLogs, entry *observer.Entry) {
	chosen, known := hosts.hostByNumber[entry.Candidates[0].Host]
	commands := hosts.commands[entry.Request]
	i := slices.IndexFunc(commands, func(c receivedCommand) bool { return known && c.host == chosen })
	if i < 0 {
		return
	}
	command := commands[i].command
	hostTime := float64(command.ResponseTime) / 1e6
	overhead := max(float64(entry.Latency-command.ResponseTime)/1e6, 0) // ms; a lower bound if the attempt was aborted
	if overhead > 10+hostTime/4 {
		r.delayed++
	}
	times := responseTimes(f, hosts, entry, command, overhead)
	add := func(sample *simenv.Sample, rule counterfactual.Rule, host uint32) {
		for k, share := range simenv.RuleShares(rule, entry.Candidates, host) {
			if share > 0 {
				sample.Add(times[k], share)
			}
		}
	}
	for rule := counterfactual.Logged; rule < counterfactual.OneHost; rule++ {
		if r.byRule[rule] == nil {
			r.byRule[rule] = &simenv.Sample{}
		}
		add(r.byRule[rule], rule, 0)
	}
	for _, candidate := range entry.Candidates {
		host, ok := hosts.hostByNumber[candidate.Host]
		if !ok {
			continue
		}
		id := f.Host(host).ID
		if r.byHost[id] == nil {
			r.byHost[id] = &simenv.Sample{}
		}
		add(r.byHost[id], counterfactual.OneHost, candidate.Host)
	}
}

// responseTimes returns the response time in ms that an attempt would have had at each candidate: +Inf if it would have
// failed, NaN if it is unknown. overhead is the time in ms that the attempt spent outside the host.
func responseTimes(f *fleet.Fleet, hosts *hostLogs, entry *observer.Entry, command emulator.Command,
	overhead float64) []float64 {
	times := make([]float64, len(entry.Candidates))
	for k, candidate := range entry.Candidates {
		times[k] = math.NaN()
		host, ok := hosts.hostByNumber[candidate.Host]
		if !ok {
			continue
		}
		model := f.Host(host).Model
		responseTime := command.ResponseTime
		known := true
		if k > 0 {
			log := hosts.logs[host]
			responseTime, _, known = log.ResponseTimeAt(model, entry.Request, command.Class, int64(entry.SentAt))
		}
		if known {
			times[k] = float64(responseTime)/1e6 + overhead
		}
		if model.Fails(entry.Request) {
			times[k] = math.Inf(1)
		}
	}
	return times
}

// groundTruth summarizes the response times by a rule. host is the ID of the host of rule counterfactual.OneHost and
// ignored for all other rules. The mean is NaN if there are no response times or one is unknown because its host never
// received a request: the collector has no data for an estimate then, and Score counts any that it gives as inaccurate.
func (r *attemptRecords) groundTruth(rule counterfactual.Rule, host string) simenv.GroundTruth {
	sample := r.byRule[rule]
	if rule == counterfactual.OneHost {
		sample = r.byHost[host]
	}
	if sample == nil {
		return simenv.GroundTruth{Mean: math.NaN()}
	}
	return sample.Summary(float64(latencyObjective) / 1e6)
}
