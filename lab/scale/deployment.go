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

// Figures of the simulated clients and hosts, the same for all sizes.
const (
	messagesPerSecond = 28                   // that a gateway may receive: 7 KB a second in messages of 256 bytes
	hostUtilization   = 0.3                  // busy share that a host reports
	serviceTime       = 5 * time.Millisecond // mean of a request at a host
	latencyObjective  = 2 * time.Second
	clientTimeout     = 8 * time.Second
	planRate          = 0.01 // units a second: a quota does not refill within a measurement
	planBurst         = 1e6  // units: no request is rejected
)

// Deployment is the size of what a gateway serves, of which an axis varies one part.
type Deployment struct {
	Gateways             int
	Members              int // that the configuration lists, where more than Gateways: the others run nowhere
	Hosts                int
	HostGroups           int     // stand-in for services: cells that the hosts are listed in
	Plans                int     // quota plans
	Classes              int     // request classes
	Customers            int     // with a record at each gateway; each has its first request at every gateway
	RequestRate          float64 // a second at each gateway
	HostChanges          float64 // of one host's state, a second
	ConfigurationChanges float64 // a second; each is taken in by all gateways
	Restarts             float64 // of one gateway, a second
	RestartsAtOnce       int     // of that many gateways, one second into the load
	Live                 bool    // gateways follow publishers, so that a configuration change restarts none
}

// hostList is a host list as discovery sends it, or what changed in it.
type hostList struct {
	Version int                  `json:"version"`
	Full    bool                 `json:"full"`
	Servers []emulator.HostEntry `json:"servers"`
}

// host returns host i with a state.
func (d Deployment) host(i int, state string) emulator.HostEntry {
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

// HostList returns the full host list as discovery sends it.
func (d Deployment) HostList() ([]byte, error) {
	list := hostList{Version: 1, Full: true}
	for i := range d.Hosts {
		list.Servers = append(list.Servers, d.host(i, emulator.Active))
	}
	return json.Marshal(list)
}

// HostChange returns the nth change of the list: one host after another starts to drain and is active again.
func (d Deployment) HostChange(n int) ([]byte, error) {
	state := emulator.Leaving
	if n%2 == 1 {
		state = emulator.Active
	}
	return json.Marshal(hostList{Version: 2 + n, Servers: []emulator.HostEntry{d.host(n/2%d.Hosts, state)}})
}

// members returns the size of the fleet in the configuration.
func (d Deployment) members() int { return max(d.Members, d.Gateways) }

// shared are the parts that the configuration files of all gateways have in common, encoded once.
type shared struct {
	classes, plans, peers, known json.RawMessage
}

// classes returns the request classes.
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

// plans returns the quota plans.
func (d Deployment) plans() (plans []gatewayconfig.QuotaPlan) {
	for i := range d.Plans {
		plans = append(plans, d.plan(i))
	}
	return plans
}

// plan returns quota plan i.
func (d Deployment) plan(i int) gatewayconfig.QuotaPlan {
	return newQuotaPlan(fmt.Sprintf("plan-%d", i))
}

// newQuotaPlan returns a quota plan that rejects nothing.
func newQuotaPlan(name string) gatewayconfig.QuotaPlan {
	return gatewayconfig.QuotaPlan{Name: name, Rate: planRate, Burst: planBurst, PriorityWeight: 1}
}

// shared encodes the common parts of the configuration files.
func (d Deployment) shared() (s shared, err error) {
	var peers []string
	for i := range d.members() {
		address := netip.AddrFrom4([4]byte{10, 255, byte(i >> 8), byte(i)})
		peers = append(peers, netip.AddrPortFrom(address, 7000).String())
	}
	for _, part := range []struct {
		to   *json.RawMessage
		from any
	}{{&s.classes, d.classes()}, {&s.plans, d.plans()}, {&s.peers, peers}} {
		if *part.to, err = json.Marshal(part.from); err != nil {
			return s, err
		}
	}
	s.known, err = d.HostList()
	return s, err
}

// gatewayFile is a gateway's configuration file whose large parts are encoded already.
type gatewayFile struct {
	gatewayconfig.File
	Settings encodedSettings `json:"settings"`
	Peers    json.RawMessage `json:"peers"`
}

// encodedSettings are settings whose large parts are encoded already.
type encodedSettings struct {
	gatewayconfig.Settings
	Classes    json.RawMessage `json:"profiles"`
	QuotaPlans json.RawMessage `json:"plans"`
}

// configuration returns one gateway's configuration.
func (d Deployment) configuration(s shared, index int, seed uint64) *gatewayFile {
	file := &gatewayFile{
		File: gatewayconfig.File{
			Name:       fmt.Sprintf("gateway-%d", index),
			Listen:     "127.0.0.1:1",
			Discovery:  "127.0.0.1:2",
			Seed:       strconv.FormatUint(seed*1000003+uint64(index)+1, 16),
			Known:      s.known,
			PeerListen: "127.0.0.1:0",
		},
		Settings: encodedSettings{
			Settings: gatewayconfig.Settings{
				Gateways:     d.members(),
				Index:        index,
				Zones:        []string{"a"},
				MachineTypes: []string{"m"},
				Limits: gatewayconfig.Limits{
					RuntimeLimits: gatewayconfig.RuntimeLimits{MaxAttempts: 3, Cancellation: true, RetryAfter: true},
					Gossip:        d.members() > 1,
				},
				LoadReport: gatewayconfig.InlineLoadReport("utilization"),
				Fleet:      gatewayconfig.Fleet{MessagesPerSecond: messagesPerSecond},
			},
			Classes:    s.classes,
			QuotaPlans: s.plans,
		},
		Peers: s.peers,
	}
	if d.Live {
		file.Configuration = &gatewayconfig.Configuration{Publishers: []string{publisherName}, Dir: "unused"}
	}
	return file
}

// environment writes a configuration to a file and returns the environment in which the program reads it.
func environment(directory string, configuration *gatewayFile) (func(string) string, error) {
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
