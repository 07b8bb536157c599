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

// attemptRecords holds the response times that all recorded attempts would have had by each rule and at each host.
type attemptRecords struct {
	count   int // attempts
	delayed int // attempts that the machine delayed
	byRule  map[counterfactual.Rule]*simenv.Sample
	byHost  map[string]*simenv.Sample
}

// receivedCommand is a command as a host received it.
type receivedCommand struct {
	host    int
	command emulator.Command
}

// hostLogs are the logs of the emulated hosts.
type hostLogs struct {
	logs     []emulator.HostLog           // by host
	commands map[string][]receivedCommand // by request id
	numbers  map[uint32]int               // host by its number in the gateways' records
}

// readRecords reads the gateways' records and the hosts' logs.
func readRecords(f *fleet.Fleet) (*attemptRecords, error) {
	var entries []observer.Entry
	for i := range f.Gateways() {
		more, err := readFile(recordsPath(f, i))
		if err != nil {
			return nil, err
		}
		entries = append(entries, more...)
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

// readFile reads the records of one gateway.
func readFile(path string) (entries []observer.Entry, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		var entry observer.Entry
		if json.Unmarshal(lines.Bytes(), &entry) != nil {
			break // the line that a killed gateway was writing
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// readHostLogs reads the hosts' logs and finds the hosts' numbers, which follow from requests that were sent to one
// host only.
func readHostLogs(f *fleet.Fleet, entries []observer.Entry) *hostLogs {
	hosts := &hostLogs{
		logs:     make([]emulator.HostLog, len(f.Hosts())),
		commands: map[string][]receivedCommand{},
		numbers:  map[uint32]int{},
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
		hosts.numbers[number] = best
	}
	return hosts
}

// add adds one attempt to the samples, unless no host received it.
func (r *attemptRecords) add(f *fleet.Fleet, hosts *hostLogs, entry *observer.Entry) {
	chosen, known := hosts.numbers[entry.Candidates[0].Host]
	commands := hosts.commands[entry.Request]
	i := slices.IndexFunc(commands, func(c receivedCommand) bool { return known && c.host == chosen })
	if i < 0 {
		return
	}
	command := commands[i].command
	hostTime := float64(command.ResponseTime) / 1e6
	overhead := max(float64(entry.Latency-command.ResponseTime)/1e6, 0) // ms; a lower bound if it was aborted
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
		host, ok := hosts.numbers[candidate.Host]
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

// responseTimes returns the response time of an attempt at each candidate in ms: +Inf if it fails, NaN if it is
// unknown.
func responseTimes(f *fleet.Fleet, hosts *hostLogs, entry *observer.Entry, command emulator.Command,
	overhead float64) []float64 {
	times := make([]float64, len(entry.Candidates))
	for k, candidate := range entry.Candidates {
		times[k] = math.NaN()
		number, ok := hosts.numbers[candidate.Host]
		if !ok {
			continue
		}
		model := f.Host(number).Model
		responseTime := command.ResponseTime
		known := true
		if k > 0 {
			log := hosts.logs[number]
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

// groundTruth returns the response times by a rule; host is that of rule Single. Their mean is not a number if a
// relevant host never received anything: the collector may not estimate it.
func (r *attemptRecords) groundTruth(rule counterfactual.Rule, host string) simenv.GroundTruth {
	sample := r.byRule[rule]
	if rule == counterfactual.OneHost {
		sample = r.byHost[host]
	}
	if sample == nil {
		return simenv.GroundTruth{Mean: math.NaN()}
	}
	return sample.Summary(float64(objective) / 1e6)
}
