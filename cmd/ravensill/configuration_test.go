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

	"github.com/prometheus/procfs"

	"ravensill/internal/gossip"
	"ravensill/internal/publisher"
	"ravensill/internal/publishertest"
)

// fleetContent is the content that the tests publish first: as the gateways' own file, but for the plan's burst.
const fleetContent = `{"plans":[{"name":"team","rate":0.01,"burst":2,"worth_factor":1}],
 "profiles":[{"name":"lookup","target_us":4000000,"hard_limit_us":5000000,"points":1},
  {"name":"order","effect":"keyed","window_us":5000000,"target_us":4000000,"hard_limit_us":5000000,"points":1}],
 "limits":{"max_attempts":3,"retry_after":true}}`

// followPublishers turns the section on in a gateway's configuration.
func followPublishers(group *publishertest.Group, dir string) func(config, settings map[string]any) {
	return func(config, _ map[string]any) {
		var addresses []string
		for _, replica := range group.Configs {
			addresses = append(addresses, replica.Listen.String())
		}
		config["configuration"] = map[string]any{"publishers": addresses, "dir": dir}
	}
}

// waitInForce waits until a gateway has put a published version in force.
func (g *gatewayProcess) waitInForce(p publisher.Publication) string {
	g.Helper()
	return g.waitForLog(fmt.Sprintf("event=configuration_applied version=%d ", p.Version))
}

// onPlan has a request's command name another plan, of as many letters: the command tells its length.
func onPlan(plan, command string) string {
	return strings.Replace(command, "t=team", "t="+plan, 1)
}

// roundTripUntil repeats a request until its answer begins as wanted.
func (c *testClient) roundTripUntil(want string, command func() string) {
	c.Helper()
	last := ""
	for limit := time.Now().Add(waitLimit); time.Now().Before(limit); {
		if last = c.roundTrip(command()); strings.HasPrefix(last, want) {
			return
		}
	}
	c.Errorf("%s is never answered by %s but by %s", command(), want, last)
}

// TestConfigurationChanges publishes one change after the other to a running gateway while a request is in flight: each counts
// from the next request on, a bad one is refused and leaves all as it was, and the one in flight has its answer.
func TestConfigurationChanges(t *testing.T) {
	host, received, release := newBlockingHost(t) // of customer 1
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
	change(`{"set":{"plans/gold":{"parallel":9,"worth_factor":1},"classes/fresh":{"effect":"unsafe","hard_limit_us":5000000,"points":1}},"remove":["plans/team"]}`)
	expect("-ERR plan: removed", requestCommand("lookup", 2))
	expect("v", onPlan("gold", requestCommand("lookup", 2)))
	expect("v", onPlan("gold", requestCommand("fresh", 2)))
	for body, key := range map[string]string{`{"set":{"limits":{"probes":true}}}`: "limits: probes", `{"set":{"plans/gold":{"rate":-1}}}`: "plans/gold: rate",
		`{"remove":["plans/gold"]}`: "plans/"} {
		status, answer := group.Request(0, "PATCH", "/v1/configuration", body, "")
		if status == http.StatusOK || !strings.Contains(answer, key) {
			t.Errorf("%s: %d %s, want it to name %s", body, status, answer, key)
		}
	}
	// What only this gateway can't take, it refuses: it has no peer_listen.
	refused := group.Publish(0, "PATCH", "/v1/configuration", `{"set":{"members/0":"127.0.0.1:9","members/1":"127.0.0.1:10"},"remove":["classes/fresh"]}`)
	if line := gateway.waitForLog("event=configuration_refused"); !strings.Contains(line, fmt.Sprint("version=", refused.Version)) || !strings.Contains(line, "members/0") {
		t.Error(line)
	}
	expect("v", onPlan("gold", requestCommand("fresh", 2)))
	change(`{"remove":["members/0","members/1"]}`)
	expect("-ERR class: removed", onPlan("gold", requestCommand("fresh", 2)))
	close(release)
	if answer := inFlight.readAnswer(); answer != "v" {
		t.Errorf("in flight all the while: %s", answer)
	}
}

// TestConfigurationRestart starts gateways again with no publisher up: on the last version held, on the one before where the
// end of the file is torn, and on their own file where nothing of it can be read.
func TestConfigurationRestart(t *testing.T) {
	host := newHost(t, func([]string) string { return successReply("v") })
	group, dir := publishertest.NewGroup(t, 1, nil), t.TempDir()
	gateway := startGateway(t, followPublishers(group, dir), host)
	gateway.waitInForce(group.Publish(0, "PUT", "/v1/configuration", fleetContent))
	gateway.waitInForce(group.Publish(0, "PATCH", "/v1/configuration", `{"set":{"plans/gold":{"parallel":9,"worth_factor":1}}}`))
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
	for _, x := range []struct {
		name, held string
		text       []byte
		longest    int // of the file's request classes, in microseconds: longer ones of the document are refused where pool is on
		team, gold string
	}{
		{"whole", fmt.Sprint("configuration_loaded version=", last.Version), text, 0, unknown, "v"},
		{"torn", fmt.Sprint("configuration_loaded version=", last.Version-1), text[:len(text)-1], 0, "v", "v"},
		{"unreadable", "configuration_damaged", text[1:], 0, "v", unknown},
		{"refused", fmt.Sprintf("configuration_refused version=%d resource=classes/lookup ", last.Version), text, 4500000, "v", unknown},
	} {
		if err := os.WriteFile(file, x.text, 0o600); err != nil {
			t.Fatal(err)
		}
		again := startGateway(t, func(config, settings map[string]any) {
			followPublishers(group, dir)(config, settings)
			if x.longest > 0 {
				boundDeadlines(config, settings, x.longest, t.TempDir())
			}
		}, host)
		if started := strings.Join(again.startupLog, "\n"); !strings.Contains(started, x.held) {
			t.Errorf("%s: it starts with\n%s\nwant %s", x.name, started, x.held)
		}
		c := again.connect()
		if answer := c.roundTrip(requestCommand("lookup", 2)); answer != x.team {
			t.Errorf("%s: on team: %s, want %s", x.name, answer, x.team)
		}
		if answer := c.roundTrip(onPlan("gold", requestCommand("lookup", 3))); answer != x.gold {
			t.Errorf("%s: on gold: %s, want %s", x.name, answer, x.gold)
		}
		again.cmd.Process.Kill()
		receive(again, again.exited)
	}
}

// boundDeadlines turns the section pool on, which holds request classes to the longest deadline of the file.
func boundDeadlines(config, settings map[string]any, longest int, poolDir string) {
	for _, class := range settings["profiles"].([]any) {
		class.(map[string]any)["hard_limit_us"] = longest
	}
	config["pool"] = map[string]any{"capacity": 9, "floor": 1, "voters": []string{"127.0.0.1:9"}, "voter_seats": []int{0}, "listen": "127.0.0.1:0",
		"dir": poolDir, "key": strings.Repeat("0f", 16)}
}

// TestConfigurationMembers has a fleet of one grow by a member, whose address is replaced then.
func TestConfigurationMembers(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	follow := followPublishers(group, t.TempDir())
	gateway := startGateway(t, func(config, settings map[string]any) {
		follow(config, settings)
		config["peer_listen"], config["peers"] = "127.0.0.1:0", []string{"127.0.0.1:9"}
	}, newHost(t, func([]string) string { return successReply("v") }))
	gateway.waitInForce(group.Publish(0, "PUT", "/v1/configuration", fleetContent))
	for range 2 {
		member, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer member.Close()
		body := fmt.Sprintf(`{"set":{"members/0":"127.0.0.1:9","members/1":"%s"}}`, member.LocalAddr())
		if line := gateway.waitInForce(group.Publish(0, "PATCH", "/v1/configuration", body)); !strings.Contains(line, "members=2") {
			t.Error(line)
		}
		message := make([]byte, gossip.MaxMessageBytes)
		member.SetReadDeadline(time.Now().Add(waitLimit))
		n, _, err := member.ReadFromUDPAddrPort(message)
		if err != nil {
			t.Fatal(err)
		}
		if byID := (gossip.Format{Members: 2, ByID: true}); !wellFormed(byID, message[:n]) {
			t.Errorf("a message of another form: %x", message[:n])
		}
	}
}

// wellFormed tells whether a message is of a form.
func wellFormed(form gossip.Format, message []byte) (read bool) {
	form.Decode(message, func(uint64, uint64) bool {
		read = true
		return false
	}, nil, nil)
	return read
}

// goroutineHead begins each goroutine of a dump.
var goroutineHead = regexp.MustCompile(`(?m)^goroutine \d+ `)

// use is what a process has open and runs.
type use struct {
	descriptors map[string]int // by kind: socket, a file's path, ...
	goroutines  []string       // their stacks
}

// descriptors counts what the process has open.
func (g *gatewayProcess) descriptors() map[string]int {
	process, err := procfs.NewProc(g.cmd.Process.Pid)
	if err != nil {
		g.Fatal(err)
	}
	targets, err := process.FileDescriptorTargets()
	if err != nil {
		g.Fatal(err)
	}
	open := map[string]int{}
	for _, target := range targets {
		kind, _, _ := strings.Cut(target, ":[")
		open[kind]++
	}
	return open
}

// measure kills the process with SIGQUIT, on which the runtime tells all its goroutines.
func (g *gatewayProcess) measure() use {
	u := use{descriptors: g.descriptors()}
	g.cmd.Process.Signal(syscall.SIGQUIT)
	var dump []string
	for line := range g.log {
		dump = append(dump, line)
	}
	u.goroutines = goroutineHead.Split(strings.Join(dump, "\n"), -1)[1:]
	return u
}

// following counts the goroutines that run code of the section.
func (u use) following() (n int) {
	for _, stack := range u.goroutines {
		if strings.Contains(stack, "ravensill/internal/subscriber") || strings.Contains(stack, "ravensill/configsync") {
			n++
		}
	}
	return n
}

// TestConfigurationOff checks that without its section a gateway has no goroutine, socket or file of it, says nothing of it, and
// gossips as before; with it, it has two goroutines, a connection and a file more.
func TestConfigurationOff(t *testing.T) {
	member, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer member.Close()
	group, dir := publishertest.NewGroup(t, 1, nil), t.TempDir()
	follow := followPublishers(group, dir)
	start := func(on bool) (*gatewayProcess, []byte) {
		gateway := startGateway(t, func(config, settings map[string]any) {
			settings["balancers"], config["peer_listen"] = 2, "127.0.0.1:0"
			config["peers"] = []string{"127.0.0.1:9", member.LocalAddr().String()}
			if on {
				follow(config, settings)
			}
		}, newHost(t, func([]string) string { return successReply("v") }))
		message := make([]byte, gossip.MaxMessageBytes)
		member.SetReadDeadline(time.Now().Add(waitLimit))
		n, _, err := member.ReadFromUDPAddrPort(message)
		if err != nil {
			t.Fatal(err)
		}
		return gateway, message[:n]
	}
	gateway, message := start(false)
	if byIndex := (gossip.Format{Plans: 1, Members: 2}); !wellFormed(byIndex, message) {
		t.Errorf("off: a message of another form: %x", message)
	}
	if log := strings.Join(gateway.startupLog, "\n"); strings.Contains(log, "configuration") {
		t.Errorf("off: it says\n%s", log)
	}
	off := gateway.measure()
	gateway, _ = start(true)
	gateway.waitInForce(group.Publish(0, "PUT", "/v1/configuration", fleetContent))
	file := filepath.Join(dir, "configuration")
	publishertest.Eventually(t, "the version on disk", func() bool { return gateway.descriptors()[file] == 1 })
	on := gateway.measure()
	if off.following() != 0 || on.following() != 2 || len(on.goroutines) != len(off.goroutines)+2 {
		t.Errorf("goroutines: off %d, of them %d of the section; on %d, of them %d", len(off.goroutines), off.following(), len(on.goroutines), on.following())
	}
	kinds := map[string]int{"socket": 1, file: 1}
	for kind, n := range on.descriptors {
		if n-off.descriptors[kind] != kinds[kind] {
			t.Errorf("descriptors of %s: off %d, on %d", kind, off.descriptors[kind], n)
		}
	}
}
