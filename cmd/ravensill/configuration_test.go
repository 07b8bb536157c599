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

// initialContent is the content that the tests publish first. Unlike the gateways' own files, it gives the quota plan a
// burst of 2 and has two request classes only.
const initialContent = `{"plans":[{"name":"team","rate":0.01,"burst":2,"worth_factor":1}],
 "profiles":[{"name":"lookup","target_us":4000000,"hard_limit_us":5000000,"points":1},
  {"name":"order","effect":"keyed","window_us":5000000,"target_us":4000000,"hard_limit_us":5000000,"points":1}],
 "limits":{"max_attempts":3,"retry_after":true}}`

// followPublishers returns a function that makes a gateway follow a group of publishers and store versions in dir.
func followPublishers(group *publishertest.Group, dir string) func(*gatewayConfig) {
	return func(config *gatewayConfig) {
		var addresses []string
		for _, replica := range group.Configs {
			addresses = append(addresses, replica.Listen.String())
		}
		config.Configuration = &configurationSection{Publishers: addresses, Directory: dir}
	}
}

// waitUntilApplied waits until the gateway has applied a published version, and returns the log line of that.
func (g *gatewayProcess) waitUntilApplied(p publisher.Publication) string {
	g.Helper()
	return g.waitForLog(fmt.Sprintf("event=configuration_applied version=%d ", p.Version))
}

// withPlan replaces the quota plan in an encoded command. The name must have 4 letters, since the command contains its
// length.
func withPlan(plan, command string) string {
	return strings.Replace(command, "t=team", "t="+plan, 1)
}

// roundTripUntil repeats a request until its answer begins with want.
func (c *testClient) roundTripUntil(want string, command func() string) {
	c.Helper()
	answer := ""
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); {
		answer = c.roundTrip(command())
		if strings.HasPrefix(answer, want) {
			return
		}
	}
	c.Errorf("%q is never answered with %s, but with %s", command(), want, answer)
}

// TestConfigurationChangesApplyFromNextRequest publishes several changes to a running gateway while a request is in
// flight. It guards against changes that miss the next request, invalid changes that have an effect, and requests in
// flight that are not answered.
func TestConfigurationChangesApplyFromNextRequest(t *testing.T) {
	host, received, release := newBlockingHost(t) // delays the answer to customer 1
	group := publishertest.NewGroup(t, 1, nil)
	gateway := startGateway(t, followPublishers(group, t.TempDir()), host)
	gateway.waitUntilApplied(group.Publish(0, "PUT", "/v1/configuration", initialContent))
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
		gateway.waitUntilApplied(group.Publish(0, "PATCH", "/v1/configuration", body))
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
	expect("v", withPlan("gold", requestCommand("lookup", 2)))
	expect("v", withPlan("gold", requestCommand("fresh", 2)))
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
	// The publisher accepts members, but this gateway refuses them, since it has no peer_listen.
	refused := group.Publish(0, "PATCH", "/v1/configuration",
		`{"set":{"members/0":"127.0.0.1:9","members/1":"127.0.0.1:10"},"remove":["classes/fresh"]}`)
	line := gateway.waitForLog("event=configuration_refused")
	if !strings.Contains(line, fmt.Sprint("version=", refused.Version)) || !strings.Contains(line, "members/0") {
		t.Error(line)
	}
	expect("v", withPlan("gold", requestCommand("fresh", 2)))
	change(`{"remove":["members/0","members/1"]}`)
	expect("-ERR class: removed", withPlan("gold", requestCommand("fresh", 2)))
	close(release)
	if answer := inFlight.readAnswer(); answer != "v" {
		t.Errorf("in flight during all changes: %s", answer)
	}
}

// restartTest is a restart of a gateway with a saved file, and its expected outcome.
type restartTest struct {
	name      string
	savedText []byte // content of the saved file
	timeoutUS int    // client timeout in the gateway's own file, with the section pool; 0: the default, without it
	wantLog   string
	wantTeam  string // answer to a request on the plan team
	wantGold  string // answer to a request on the plan gold
}

// TestRestartUsesLastValidSavedVersion restarts gateways while no publisher is up. It guards against a restart that
// fails or uses the wrong version: the gateway must use the last saved version, the one before it if the end of the
// file is incomplete, and its own file if no version can be read or applied.
func TestRestartUsesLastValidSavedVersion(t *testing.T) {
	host := valueHost(t)
	group, dir := publishertest.NewGroup(t, 1, nil), t.TempDir()
	gateway := startGateway(t, followPublishers(group, dir), host)
	gateway.waitUntilApplied(group.Publish(0, "PUT", "/v1/configuration", initialContent))
	gateway.waitUntilApplied(group.Publish(0, "PATCH", "/v1/configuration",
		`{"set":{"plans/gold":{"parallel":9,"worth_factor":1}}}`))
	last := group.Publish(0, "PATCH", "/v1/configuration", `{"remove":["plans/team"]}`)
	gateway.waitUntilApplied(last)
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
	const unknownPlan = "-ERR t: missing, or its value is none that is known"
	for _, test := range []restartTest{
		{
			name:      "complete",
			savedText: text,
			wantLog:   fmt.Sprint("configuration_loaded version=", last.Version),
			wantTeam:  unknownPlan,
			wantGold:  "v",
		},
		{
			name:      "torn",
			savedText: text[:len(text)-1],
			wantLog:   fmt.Sprint("configuration_loaded version=", last.Version-1),
			wantTeam:  "v",
			wantGold:  "v",
		},
		{
			name:      "unreadable",
			savedText: text[1:],
			wantLog:   "configuration_damaged",
			wantTeam:  "v",
			wantGold:  unknownPlan,
		},
		{
			name:      "refused",
			savedText: text,
			timeoutUS: 4500000,
			wantLog:   fmt.Sprintf("configuration_refused version=%d resource=classes/lookup ", last.Version),
			wantTeam:  "v",
			wantGold:  unknownPlan,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			if err := os.WriteFile(file, test.savedText, 0o600); err != nil {
				t.Fatal(err)
			}
			test.check(t, host, followPublishers(group, dir))
		})
	}
}

// check starts a gateway with the saved file and sends a request on each of two plans.
func (r *restartTest) check(t *testing.T, host *testHost, follow func(*gatewayConfig)) {
	gateway := startGateway(t, func(config *gatewayConfig) {
		follow(config)
		if r.timeoutUS > 0 {
			limitClientTimeouts(t, config, r.timeoutUS)
		}
	}, host)
	if log := strings.Join(gateway.startupLog, "\n"); !strings.Contains(log, r.wantLog) {
		t.Errorf("the gateway logs at the start\n%s\nwant %s", log, r.wantLog)
	}
	c := gateway.connect()
	if answer := c.roundTrip(requestCommand("lookup", 2)); answer != r.wantTeam {
		t.Errorf("a request on plan team is answered %s, want %s", answer, r.wantTeam)
	}
	if answer := c.roundTrip(withPlan("gold", requestCommand("lookup", 3))); answer != r.wantGold {
		t.Errorf("a request on plan gold is answered %s, want %s", answer, r.wantGold)
	}
	gateway.cmd.Process.Kill()
	receive(gateway, gateway.exited)
}

// limitClientTimeouts sets the client timeouts of the request classes, and configures the section pool, which refuses
// versions with longer timeouts.
func limitClientTimeouts(t *testing.T, config *gatewayConfig, timeoutUS int) {
	for i := range config.Settings.Classes {
		config.Settings.Classes[i].TimeoutUS = timeoutUS
	}
	config.Pool = newPoolSection(t, 1)
}

// TestGossipFollowsMemberAddresses guards against gossip to an outdated address: a fleet of one gets a second member,
// whose address is then replaced.
func TestGossipFollowsMemberAddresses(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	follow := followPublishers(group, t.TempDir())
	gateway := startGateway(t, func(config *gatewayConfig) {
		follow(config)
		config.PeerListen = "127.0.0.1:0"
		config.Peers = []string{"127.0.0.1:9"}
	}, valueHost(t))
	gateway.waitUntilApplied(group.Publish(0, "PUT", "/v1/configuration", initialContent))
	for range 2 {
		member := listenUDP(t)
		body := fmt.Sprintf(`{"set":{"members/0":"127.0.0.1:9","members/1":"%s"}}`, member.LocalAddr())
		line := gateway.waitUntilApplied(group.Publish(0, "PATCH", "/v1/configuration", body))
		if !strings.Contains(line, "members=2") {
			t.Error(line)
		}
		message := readDatagram(t, member)
		if byID := (gossip.Format{Members: 2, PlansByID: true}); !hasFormat(byID, message) {
			t.Errorf("the message is not in the format with plan IDs: %x", message)
		}
	}
}

// readDatagram returns the next datagram that a socket receives.
func readDatagram(t *testing.T, conn *net.UDPConn) []byte {
	message := make([]byte, gossip.MaxMessageBytes)
	conn.SetReadDeadline(time.Now().Add(waitLimit))
	n, _, err := conn.ReadFromUDPAddrPort(message)
	if err != nil {
		t.Fatal(err)
	}
	return message[:n]
}

// hasFormat reports whether the header of a gossip message can be decoded in a format.
func hasFormat(format gossip.Format, message []byte) (decoded bool) {
	format.Decode(message, func(uint64, uint64) bool {
		decoded = true
		return false
	}, nil, nil)
	return decoded
}

// goroutineHead matches the start of each goroutine in a stack dump.
var goroutineHead = regexp.MustCompile(`(?m)^goroutine \d+ `)

// resourceUsage holds the open descriptors and the goroutines of a process.
type resourceUsage struct {
	descriptors map[string]int // counts by kind, such as socket or the path of a file
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

// measureAndKill returns the resources of the process. It ends the process with SIGQUIT, on which the Go runtime logs
// the stacks of all goroutines.
func (g *gatewayProcess) measureAndKill() resourceUsage {
	u := resourceUsage{descriptors: g.descriptors()}
	g.cmd.Process.Signal(syscall.SIGQUIT)
	var dump []string
	for line := range g.log {
		dump = append(dump, line)
	}
	u.goroutines = goroutineHead.Split(strings.Join(dump, "\n"), -1)[1:]
	return u
}

// subscriberGoroutines returns the number of goroutines that follow publishers, by the packages in their stacks.
func (u resourceUsage) subscriberGoroutines() (n int) {
	for _, stack := range u.goroutines {
		if strings.Contains(stack, "ravensill/internal/subscriber") || strings.Contains(stack, "ravensill/configsync") {
			n++
		}
	}
	return n
}

// TestConfigurationOffUsesNothing guards against costs of the section configuration for gateways without it: they have
// no goroutine, socket, file or log line for it, and identify plans by index in gossip. With the section, a gateway has
// two more goroutines, one more connection and one more file.
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
		t.Errorf("without the section: the message is not in the format with plan indices: %x", message)
	}
	if log := strings.Join(gateway.startupLog, "\n"); strings.Contains(log, "configuration") {
		t.Errorf("without the section, the gateway logs\n%s", log)
	}
	off := gateway.measureAndKill()
	gateway, _ = start(true)
	gateway.waitUntilApplied(group.Publish(0, "PUT", "/v1/configuration", initialContent))
	file := filepath.Join(dir, "configuration")
	publishertest.Eventually(t, "the version on disk", func() bool { return gateway.descriptors()[file] == 1 })
	on := gateway.measureAndKill()
	if off.subscriberGoroutines() != 0 || on.subscriberGoroutines() != 2 || len(on.goroutines) != len(off.goroutines)+2 {
		t.Errorf("%d goroutines without the section, %d of them of the subscriber; %d with it, %d of them",
			len(off.goroutines), off.subscriberGoroutines(), len(on.goroutines), on.subscriberGoroutines())
	}
	kinds := map[string]int{"socket": 1, file: 1}
	for kind, n := range on.descriptors {
		if n-off.descriptors[kind] != kinds[kind] {
			t.Errorf("descriptors of %s: %d without the section, %d with it", kind, off.descriptors[kind], n)
		}
	}
}
