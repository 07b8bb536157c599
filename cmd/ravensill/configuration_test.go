package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"ravensill/internal/gossip"
	"ravensill/internal/publisher"
	"ravensill/internal/publishertest"
)

// fleetContent is the content that the tests publish first: that of the gateways' own file, but for the plan's burst.
const fleetContent = `{"plans":[{"name":"team","rate":0.01,"burst":2,"worth_factor":1}],
 "profiles":[{"name":"lookup","target_us":4000000,"hard_limit_us":5000000,"points":1},
  {"name":"order","effect":"keyed","window_us":5000000,"target_us":4000000,"hard_limit_us":5000000,"points":1}],
 "limits":{"max_attempts":3,"retry_after":true}}`

// followPublishers turns the section on in a gateway's configuration.
func followPublishers(group *publishertest.Group, dir string) func(*gatewayConfig) {
	return func(config *gatewayConfig) {
		var addresses []string
		for _, replica := range group.Configs {
			addresses = append(addresses, replica.Listen.String())
		}
		config.Configuration = &configurationSection{Publishers: addresses, Directory: dir}
	}
}

// waitInForce waits until a gateway has put a published version in force.
func (g *gatewayProcess) waitInForce(p publisher.Publication) string {
	g.Helper()
	return g.waitForLog(fmt.Sprintf("event=configuration_applied version=%d ", p.Version))
}

// onPlan replaces the plan in a request's command by one with a name of the same length, which the command contains.
func onPlan(plan, command string) string {
	return strings.Replace(command, "t=team", "t="+plan, 1)
}

// roundTripUntil repeats a request until its answer begins as wanted.
func (c *testClient) roundTripUntil(want string, command func() string) {
	c.Helper()
	answer := ""
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); {
		answer = c.roundTrip(command())
		if strings.HasPrefix(answer, want) {
			return
		}
	}
	c.Errorf("%s is never answered by %s but by %s", command(), want, answer)
}

// TestConfigurationChangesApplyFromNextRequest publishes one change after the other to a running gateway while a
// request is in flight: each applies from the next request on, an invalid one is refused and changes nothing, and the
// request in flight is answered.
func TestConfigurationChangesApplyFromNextRequest(t *testing.T) {
	host, received, release := newBlockingHost(t) // which blocks customer 1
	group := publishertest.NewGroup(t, 1, nil)
	gateway := startGateway(t, followPublishers(group, t.TempDir()), host)
	gateway.waitInForce(group.Publish(0, "PUT", "/v1/configuration", fleetContent))
	inFlight, c := gateway.connect(), gateway.connect()
	inFlight.send(requestCommand("order", 1))
	receive(gateway, received)
	expect := func(want string, command string) {
		t.Helper()
		if answer := c.roundTrip(command); !strings.HasPrefix(answer, want) {
			t.Errorf("%q: %s, want %s", command, answer, want)
		}
	}
	change := func(body string) {
		t.Helper()
		gateway.waitInForce(group.Publish(0, "PATCH", "/v1/configuration", body))
	}
	expect("v", requestCommand("lookup", 2))
	expect("v", requestCommand("lookup", 2))
	expect("-BUSY ", requestCommand("lookup", 2)) // the published burst is 2, the file's 8
	change(`{"set":{"limits":{"max_attempts":3}}}`)
	if answer := c.roundTrip(requestCommand("lookup", 2)); answer != "-BUSY" {
		t.Errorf("%s: limits.retry_after is no longer set", answer)
	}
	change(`{"set":{"plans/team":{"rate":1000,"burst":1000,"worth_factor":1}}}`)
	c.roundTripUntil("v", func() string { return requestCommand("lookup", 2) })
	change(`{"set":{"plans/gold":{"parallel":9,"worth_factor":1},
		"classes/fresh":{"effect":"unsafe","hard_limit_us":5000000,"points":1}},"remove":["plans/team"]}`)
	expect("-ERR plan: removed", requestCommand("lookup", 2))
	expect("v", onPlan("gold", requestCommand("lookup", 2)))
	expect("v", onPlan("gold", requestCommand("fresh", 2)))
	for body, key := range map[string]string{
		`{"set":{"limits":{"probes":true}}}`: "limits: probes",
		`{"set":{"plans/gold":{"rate":-1}}}`: "plans/gold: rate",
		`{"remove":["plans/gold"]}`:          "plans/",
	} {
		status, answer := group.Request(0, "PATCH", "/v1/configuration", body, "")
		if status == http.StatusOK || !strings.Contains(answer, key) {
			t.Errorf("%s: %d %s, want it to name %s", body, status, answer, key)
		}
	}
	// The publisher accepts members, this gateway refuses them: it has no peer_listen.
	refused := group.Publish(0, "PATCH", "/v1/configuration",
		`{"set":{"members/0":"127.0.0.1:9","members/1":"127.0.0.1:10"},"remove":["classes/fresh"]}`)
	line := gateway.waitForLog("event=configuration_refused")
	if !strings.Contains(line, fmt.Sprint("version=", refused.Version)) || !strings.Contains(line, "members/0") {
		t.Error(line)
	}
	expect("v", onPlan("gold", requestCommand("fresh", 2)))
	change(`{"remove":["members/0","members/1"]}`)
	expect("-ERR class: removed", onPlan("gold", requestCommand("fresh", 2)))
	close(release)
	if answer := inFlight.readAnswer(); answer != "v" {
		t.Errorf("in flight during all changes: %s", answer)
	}
}

// restart is a restart of a gateway, and its outcome.
type restart struct {
	name      string
	text      []byte // of the saved file
	timeoutUS int    // of its own file's request classes; the section pool refuses versions with longer ones; 0: off
	logged    string
	team      string // answer to a request on the plan team
	gold      string // answer to a request on the plan gold
}

// TestRestartUsesLastValidSavedVersion starts gateways again with no publisher up: with the last version, with the one
// before where the end of the file is torn, and with their own file where none can be read or applied.
func TestRestartUsesLastValidSavedVersion(t *testing.T) {
	host := valueHost(t)
	group, dir := publishertest.NewGroup(t, 1, nil), t.TempDir()
	gateway := startGateway(t, followPublishers(group, dir), host)
	gateway.waitInForce(group.Publish(0, "PUT", "/v1/configuration", fleetContent))
	gateway.waitInForce(group.Publish(0, "PATCH", "/v1/configuration",
		`{"set":{"plans/gold":{"parallel":9,"worth_factor":1}}}`))
	last := group.Publish(0, "PATCH", "/v1/configuration", `{"remove":["plans/team"]}`)
	gateway.waitInForce(last)
	group.Close(0)
	gateway.signal(syscall.SIGTERM, "")
	if status := gateway.exitStatus(); status != "exit 0" {
		t.Fatal(status)
	}
	file := filepath.Join(dir, "configuration")
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	const unknown = "-ERR t: missing, or its value is none that is known"
	for _, test := range []restart{
		{
			name:   "complete",
			text:   text,
			logged: fmt.Sprint("configuration_loaded version=", last.Version),
			team:   unknown,
			gold:   "v",
		},
		{
			name:   "torn",
			text:   text[:len(text)-1],
			logged: fmt.Sprint("configuration_loaded version=", last.Version-1),
			team:   "v",
			gold:   "v",
		},
		{
			name:   "unreadable",
			text:   text[1:],
			logged: "configuration_damaged",
			team:   "v",
			gold:   unknown,
		},
		{
			name:      "refused",
			text:      text,
			timeoutUS: 4500000,
			logged:    fmt.Sprintf("configuration_refused version=%d resource=classes/lookup ", last.Version),
			team:      "v",
			gold:      unknown,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(file, test.text, 0o600); err != nil {
				t.Fatal(err)
			}
			test.check(t, host, followPublishers(group, dir))
		})
	}
}

// check starts a gateway with the saved file and sends a request on each of two plans.
func (r *restart) check(t *testing.T, host *testHost, follow func(*gatewayConfig)) {
	gateway := startGateway(t, func(config *gatewayConfig) {
		follow(config)
		if r.timeoutUS > 0 {
			limitClientTimeouts(t, config, r.timeoutUS)
		}
	}, host)
	if log := strings.Join(gateway.startupLog, "\n"); !strings.Contains(log, r.logged) {
		t.Errorf("it starts with\n%s\nwant %s", log, r.logged)
	}
	c := gateway.connect()
	if answer := c.roundTrip(requestCommand("lookup", 2)); answer != r.team {
		t.Errorf("on team: %s, want %s", answer, r.team)
	}
	if answer := c.roundTrip(onPlan("gold", requestCommand("lookup", 3))); answer != r.gold {
		t.Errorf("on gold: %s, want %s", answer, r.gold)
	}
	gateway.cmd.Process.Kill()
	receive(gateway, gateway.exited)
}

// limitClientTimeouts sets the request classes' client timeouts, and turns the section pool on, which refuses longer
// ones.
func limitClientTimeouts(t *testing.T, config *gatewayConfig, timeoutUS int) {
	for i := range config.Settings.Classes {
		config.Settings.Classes[i].TimeoutUS = timeoutUS
	}
	config.Pool = newPoolSection(t, 1)
}

// TestGossipFollowsMemberAddresses has a fleet of one grow by a member, whose address is then replaced.
func TestGossipFollowsMemberAddresses(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	follow := followPublishers(group, t.TempDir())
	gateway := startGateway(t, func(config *gatewayConfig) {
		follow(config)
		config.PeerListen = "127.0.0.1:0"
		config.Peers = []string{"127.0.0.1:9"}
	}, valueHost(t))
	gateway.waitInForce(group.Publish(0, "PUT", "/v1/configuration", fleetContent))
	for range 2 {
		member := listenUDP(t)
		body := fmt.Sprintf(`{"set":{"members/0":"127.0.0.1:9","members/1":"%s"}}`, member.LocalAddr())
		line := gateway.waitInForce(group.Publish(0, "PATCH", "/v1/configuration", body))
		if !strings.Contains(line, "members=2") {
			t.Error(line)
		}
		message := readDatagram(t, member)
		if byID := (gossip.Format{Members: 2, PlansByID: true}); !hasFormat(byID, message) {
			t.Errorf("a message of another format: %x", message)
		}
	}
}

// readDatagram returns the next datagram.
func readDatagram(t *testing.T, conn *net.UDPConn) []byte {
	message := make([]byte, gossip.MaxMessageBytes)
	conn.SetReadDeadline(time.Now().Add(waitLimit))
	n, _, err := conn.ReadFromUDPAddrPort(message)
	if err != nil {
		t.Fatal(err)
	}
	return message[:n]
}

// hasFormat reports whether a message's header can be decoded by a format.
func hasFormat(format gossip.Format, message []byte) (decoded bool) {
	format.Decode(message, func(uint64, uint64) bool {
		decoded = true
		return false
	}, nil, nil)
	return decoded
}

// goroutineHead is the first line of each goroutine in a dump.
var goroutineHead = regexp.MustCompile(`(?m)^goroutine \d+ `)

// usage is the descriptors and goroutines of a process.
type usage struct {
	descriptors map[string]int // by kind: socket, a file's path, ...
	goroutines  []string       // their stacks
}

// descriptors counts the process's open descriptors by kind.
func (g *gatewayProcess) descriptors() map[string]int {
	open := map[string]int{}
	for _, target := range g.descriptorTargets() {
		kind, _, _ := strings.Cut(target, ":[")
		open[kind]++
	}
	return open
}

// measure ends the process with SIGQUIT, on which the runtime writes the stacks of all goroutines.
func (g *gatewayProcess) measure() usage {
	u := usage{descriptors: g.descriptors()}
	g.cmd.Process.Signal(syscall.SIGQUIT)
	var dump []string
	for line := range g.log {
		dump = append(dump, line)
	}
	u.goroutines = goroutineHead.Split(strings.Join(dump, "\n"), -1)[1:]
	return u
}

// subscribing counts the goroutines that run code of the section configuration.
func (u usage) subscribing() (n int) {
	for _, stack := range u.goroutines {
		if strings.Contains(stack, "ravensill/internal/subscriber") || strings.Contains(stack, "ravensill/configsync") {
			n++
		}
	}
	return n
}

// TestConfigurationOffUsesNothing checks that a gateway without the section configuration has no goroutine, socket or
// file of it, logs nothing of it, and names plans by index in gossip; with it, it has two goroutines, a connection and
// a file more.
func TestConfigurationOffUsesNothing(t *testing.T) {
	member := listenUDP(t)
	group, dir := publishertest.NewGroup(t, 1, nil), t.TempDir()
	follow := followPublishers(group, dir)
	start := func(on bool) (*gatewayProcess, []byte) {
		gateway := startGateway(t, func(config *gatewayConfig) {
			configureTwoMembers(config, "127.0.0.1:9", member.LocalAddr().String())
			if on {
				follow(config)
			}
		}, valueHost(t))
		return gateway, readDatagram(t, member)
	}
	gateway, message := start(false)
	if byIndex := (gossip.Format{Plans: 1, Members: 2}); !hasFormat(byIndex, message) {
		t.Errorf("off: a message of another format: %x", message)
	}
	if log := strings.Join(gateway.startupLog, "\n"); strings.Contains(log, "configuration") {
		t.Errorf("off: it logs\n%s", log)
	}
	off := gateway.measure()
	gateway, _ = start(true)
	gateway.waitInForce(group.Publish(0, "PUT", "/v1/configuration", fleetContent))
	file := filepath.Join(dir, "configuration")
	publishertest.Eventually(t, "the version on disk", func() bool { return gateway.descriptors()[file] == 1 })
	on := gateway.measure()
	if off.subscribing() != 0 || on.subscribing() != 2 || len(on.goroutines) != len(off.goroutines)+2 {
		t.Errorf("goroutines: off %d, of them %d of the section; on %d, of them %d",
			len(off.goroutines), off.subscribing(), len(on.goroutines), on.subscribing())
	}
	kinds := map[string]int{"socket": 1, file: 1}
	for kind, n := range on.descriptors {
		if n-off.descriptors[kind] != kinds[kind] {
			t.Errorf("descriptors of %s: off %d, on %d", kind, off.descriptors[kind], n)
		}
	}
}
