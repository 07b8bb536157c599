package scale

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/gatewayconfig"
)

// Fixed properties of the configuration and of the simulated clients and hosts.
const (
	messagesPerSecond = 28                   // that a gateway may receive: 7 KB/s in messages of 256 bytes
	hostUtilization   = 0.3                  // reported by every host
	serviceTime       = 5 * time.Millisecond // mean time that a host takes for a request
	latencyObjective  = 2 * time.Second
	clientTimeout     = 8 * time.Second
	planRate          = 0.01 // units a second, so low that a quota does not refill during a measurement
	planBurst         = 1e6  // units, so many that no request is rejected
)

// Deployment holds the sizes and rates of a simulated deployment. An axis varies one of them.
type Deployment struct {
	Gateways             int
	Members              int // gateways listed in the configuration if more than Gateways; the surplus does not run
	Hosts                int
	HostGroups           int     // cells that the hosts are spread over, in place of services
	Plans                int     // quota plans
	Classes              int     // request classes
	Customers            int     // each makes a first request at every gateway, so that every gateway has a record of it
	RequestRate          float64 // requests a second at each gateway
	HostChanges          float64 // state changes of a single host, a second
	ConfigurationChanges float64 // a second; each applies to all gateways
	Restarts             float64 // restarts of a single gateway, a second
	RestartsAtOnce       int     // gateways that restart together one second after the load starts
	Live                 bool    // gateways follow publishers, so that a configuration change restarts none
}

// hostList is a full host list, or a change of it, in the encoding of discovery.
type hostList struct {
	Version int                  `json:"version"`
	Full    bool                 `json:"full"`
	Servers []emulator.HostEntry `json:"servers"`
}

// hostEntry returns the host list entry of host i in the given state.
func (d Deployment) hostEntry(i int, state string) emulator.HostEntry {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	return emulator.HostEntry{
		ID:     fmt.Sprintf("host-%06d", i),
		Addr:   address.String(),
		Zone:   "a",
		Kind:   "m",
		Cell:   i % max(d.HostGroups, 1),
		State:  state,
		Weight: 1,
	}
}

// HostList returns the full host list, with all hosts active, in the encoding of discovery.
func (d Deployment) HostList() ([]byte, error) {
	list := hostList{Version: 1, Full: true}
	for i := range d.Hosts {
		list.Servers = append(list.Servers, d.hostEntry(i, emulator.Active))
	}
	return json.Marshal(list)
}

// HostChange returns the nth change of the host list. Even changes set one host after another to leaving, odd changes
// set the same host back to active.
func (d Deployment) HostChange(n int) ([]byte, error) {
	state := emulator.Leaving
	if n%2 == 1 {
		state = emulator.Active
	}
	return json.Marshal(hostList{Version: 2 + n, Servers: []emulator.HostEntry{d.hostEntry(n/2%d.Hosts, state)}})
}

// fleetSize returns the number of gateways that the configuration lists.
func (d Deployment) fleetSize() int { return max(d.Members, d.Gateways) }

// encodedParts are the parts that the configuration files of all gateways have in common. They are encoded only once
// because they can be large.
type encodedParts struct {
	classes, plans, peers, hostList json.RawMessage
}

// classes returns the request classes, all with the same settings.
func (d Deployment) classes() (classes []gatewayconfig.Class) {
	for i := range d.Classes {
		classes = append(classes, gatewayconfig.Class{
			Name:        fmt.Sprintf("class-%d", i),
			Effect:      gatewayconfig.Idempotent,
			ObjectiveUS: latencyObjective.Microseconds(),
			TimeoutUS:   clientTimeout.Microseconds(),
			Value:       1,
		})
	}
	return classes
}

// plans returns the quota plans, all with the same settings.
func (d Deployment) plans() (plans []gatewayconfig.QuotaPlan) {
	for i := range d.Plans {
		plans = append(plans, d.plan(i))
	}
	return plans
}

func (d Deployment) plan(i int) gatewayconfig.QuotaPlan {
	return newQuotaPlan(fmt.Sprintf("plan-%d", i))
}

// newQuotaPlan returns a quota plan whose burst is so large that it rejects nothing.
func newQuotaPlan(name string) gatewayconfig.QuotaPlan {
	return gatewayconfig.QuotaPlan{Name: name, Rate: planRate, Burst: planBurst, PriorityWeight: 1}
}

// encodeParts encodes the parts that all configuration files have in common.
func (d Deployment) encodeParts() (parts encodedParts, err error) {
	var peers []string
	for i := range d.fleetSize() {
		address := netip.AddrFrom4([4]byte{10, 255, byte(i >> 8), byte(i)})
		peers = append(peers, netip.AddrPortFrom(address, 7000).String())
	}
	for _, part := range []struct {
		target *json.RawMessage
		value  any
	}{{&parts.classes, d.classes()}, {&parts.plans, d.plans()}, {&parts.peers, peers}} {
		if *part.target, err = json.Marshal(part.value); err != nil {
			return parts, err
		}
	}
	parts.hostList, err = d.HostList()
	return parts, err
}

// gatewayFile is a configuration file of a gateway. Its encoded fields replace the fields of the embedded File that
// have the same JSON keys.
type gatewayFile struct {
	gatewayconfig.File
	Settings encodedSettings `json:"settings"`
	Peers    json.RawMessage `json:"peers"`
}

// encodedSettings are settings whose encoded fields replace the embedded ones that have the same JSON keys.
type encodedSettings struct {
	gatewayconfig.Settings
	Classes    json.RawMessage `json:"profiles"`
	QuotaPlans json.RawMessage `json:"plans"`
}

// configuration returns the configuration file of the gateway with a member index. seed is the seed of the simulation;
// each gateway derives its own seed from it.
func (d Deployment) configuration(parts encodedParts, index int, seed uint64) *gatewayFile {
	file := &gatewayFile{
		File: gatewayconfig.File{
			Name:       fmt.Sprintf("gateway-%d", index),
			Listen:     "127.0.0.1:1",
			Discovery:  "127.0.0.1:2",
			Seed:       strconv.FormatUint(seed*1000003+uint64(index)+1, 16),
			Known:      parts.hostList,
			PeerListen: "127.0.0.1:0",
		},
		Settings: encodedSettings{
			Settings: gatewayconfig.Settings{
				Gateways:     d.fleetSize(),
				Index:        index,
				Zones:        []string{"a"},
				MachineTypes: []string{"m"},
				Limits: gatewayconfig.Limits{
					RuntimeLimits: gatewayconfig.RuntimeLimits{MaxAttempts: 3, Cancellation: true, RetryAfter: true},
					Gossip:        d.fleetSize() > 1,
				},
				LoadReport: gatewayconfig.InlineLoadReport("utilization"),
				Fleet:      gatewayconfig.Fleet{MessagesPerSecond: messagesPerSecond},
			},
			Classes:    parts.classes,
			QuotaPlans: parts.plans,
		},
		Peers: parts.peers,
	}
	if d.Live {
		file.Configuration = &gatewayconfig.Configuration{Publishers: []string{publisherName}, Dir: "unused"}
	}
	return file
}

// writeConfiguration writes a configuration file into a directory, replacing an earlier one, and returns a getenv
// function with which the program loads that file.
func writeConfiguration(directory string, configuration *gatewayFile) (func(string) string, error) {
	text, err := json.Marshal(configuration)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(directory, "configuration.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return nil, err
	}
	return func(name string) string {
		if name == "GW_CONFIG" {
			return file
		}
		return ""
	}, nil
}
