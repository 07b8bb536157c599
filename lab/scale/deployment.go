package scale

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Figures of the simulated clients and hosts, the same for all sizes.
const (
	messagesPerSecond = 28                   // that a gateway may take in: 7 KB a second in messages of 256 bytes
	hostUtilization   = 0.3                  // busy share that a host reports
	serviceTime       = 5 * time.Millisecond // mean of a request at a host
	latencyObjective  = 2 * time.Second
	clientTimeout     = 8 * time.Second
	planRate          = 0.01 // units a second: a customer that asked once is not whole again within a measurement,
	planBurst         = 1e6  // and is not rejected
)

// Deployment is the size of what a gateway serves: what an axis varies.
type Deployment struct {
	Gateways             int
	Members              int // that the configuration lists, where more than Gateways: the others run nowhere
	Hosts                int
	HostGroups           int     // stand-in for services: cells that the hosts are listed in
	Plans                int     // quota plans
	Classes              int     // request classes
	Customers            int     // that each gateway knows; each has its first request at every gateway
	RequestRate          float64 // a second at each gateway
	HostChanges          float64 // of one host's state, a second
	ConfigurationChanges float64 // a second; each is taken in by all gateways
	Restarts             float64 // of one gateway, a second
	RestartsAtOnce       int     // of that many gateways, one second into the load
	Live                 bool    // gateways follow publishers, so that a configuration change restarts none
}

// hostEntry is one host in discovery's list.
type hostEntry struct {
	ID        string  `json:"id"`
	Address   string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

type hostList struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Servers []hostEntry `json:"servers"`
}

func (d Deployment) host(i int, state string) hostEntry {
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 7000)
	return hostEntry{ID: fmt.Sprintf("host-%06d", i), Address: address.String(), Zone: "a", Kind: "m",
		Cell: i % max(d.HostGroups, 1), State: state, Weight: 1}
}

// HostList is the whole host list as discovery writes it.
func (d Deployment) HostList() ([]byte, error) {
	list := hostList{Version: 1, Full: true}
	for i := range d.Hosts {
		list.Servers = append(list.Servers, d.host(i, "active"))
	}
	return json.Marshal(list)
}

// HostChange is the nth change of the list: one host after another starts to drain and is active again.
func (d Deployment) HostChange(n int) ([]byte, error) {
	state := "leaving"
	if n%2 == 1 {
		state = "active"
	}
	return json.Marshal(hostList{Version: 2 + n, Servers: []hostEntry{d.host(n/2%d.Hosts, state)}})
}

// requestClass is one of the settings' profiles.
type requestClass struct {
	Name    string `json:"name"`
	Effect  string `json:"effect"`
	Target  int64  `json:"target_us"`
	Timeout int64  `json:"hard_limit_us"`
	Value   int    `json:"points"`
}

type quotaPlan struct {
	Name  string  `json:"name"`
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	Price int     `json:"worth_factor"`
}

// members is the size of the fleet as the configuration tells it.
func (d Deployment) members() int { return max(d.Members, d.Gateways) }

// shared is what the configuration files of all gateways have in common, encoded once.
type shared struct {
	classes, plans, peers, known json.RawMessage
}

func (d Deployment) classes() (classes []requestClass) {
	for i := range d.Classes {
		classes = append(classes, requestClass{Name: fmt.Sprintf("class-%d", i), Effect: "safe",
			Target: latencyObjective.Microseconds(), Timeout: clientTimeout.Microseconds(), Value: 1})
	}
	return classes
}

func (d Deployment) plans() (plans []quotaPlan) {
	for i := range d.Plans {
		plans = append(plans, d.plan(i))
	}
	return plans
}

func (d Deployment) plan(i int) quotaPlan {
	return quotaPlan{Name: fmt.Sprintf("plan-%d", i), Rate: planRate, Burst: planBurst, Price: 1}
}

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

// configuration is one gateway's configuration, in the program's keys.
func (d Deployment) configuration(s shared, index int, seed uint64) map[string]any {
	configuration := map[string]any{
		"name": fmt.Sprintf("gateway-%d", index), "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2",
		"seed": strconv.FormatUint(seed*1000003+uint64(index)+1, 16), "known": s.known,
		"peer_listen": "127.0.0.1:0", "peers": s.peers,
		"settings": map[string]any{
			"balancers": d.members(), "position": index, "zones": []string{"a"}, "skus": []string{"m"},
			"limits": map[string]any{"max_attempts": 3, "cancelling": true, "retry_after": true,
				"peer_messages": d.members() > 1},
			"profiles": s.classes, "plans": s.plans,
			"report":      map[string]any{"how": "inline", "names": []string{"utilization"}},
			"family_info": map[string]any{"mail_per_s": messagesPerSecond}}}
	if d.Live {
		configuration["configuration"] = map[string]any{"publishers": []string{publisherName}, "dir": "unused"}
	}
	return configuration
}

// environment writes a configuration to a file and gives the environment in which the program reads it.
func environment(directory string, configuration map[string]any) (func(string) string, error) {
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
