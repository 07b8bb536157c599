package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// rig is one run of a case: its record, its temporary folder and the processes that it started.
type rig struct {
	start   time.Time
	temp    string
	trouble bool
	given   []string // addresses that freeAddresses has returned

	mu        sync.Mutex
	record    *os.File
	processes []*process
	finished  bool
}

// note writes a line to the record, with the time since the start.
func (r *rig) note(format string, arguments ...any) {
	r.noteAt(time.Now(), format, arguments...)
}

// noteAt is note for something that happened at a time.
func (r *rig) noteAt(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// require ends the case as one that can't run, if err is not nil.
func (r *rig) require(err error, what string) {
	if err != nil {
		panic(cannotRun{what + ": " + err.Error()})
	}
}

// finish ends all processes, removes the temporary folder and exits.
func (r *rig) finish(code int) {
	r.mu.Lock()
	if r.finished {
		r.mu.Unlock()
		select {}
	}
	r.finished = true
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	os.RemoveAll(r.temp)
	r.record.Close()
	if code == exitHeld {
		fmt.Println("held")
	} else {
		fmt.Println("exit", code, "- see record.txt")
	}
	os.Exit(code)
}

// process is one process of the project.
type process struct {
	rig   *rig
	name  string
	cmd   *exec.Cmd
	ended chan struct{}

	mu    sync.Mutex
	lines []string // its log
}

// loggedEvents are the log lines of the project's programs that go into the record.
var loggedEvents = regexp.MustCompile(`event=(serving|configuration_applied|configuration_refused|pool_leader_changed|` +
	`pool_units_stranded|pool_quota_exceeded|raft_cluster|panic|start_failed|gateway_failed|shutdown_started)`)

// launch starts a command line of the deploy file, or of a page, in the root of the repository.
func (r *rig) launch(name, commandLine string, environment ...string) *process {
	temp := filepath.Join(r.temp, fmt.Sprintf("tmp-%s-%d", name, time.Now().UnixNano()))
	r.require(os.MkdirAll(temp, 0o700), "temporary folder")
	p := &process{rig: r, name: name, cmd: exec.Command("/bin/sh", "-c", commandLine), ended: make(chan struct{})}
	p.cmd.Env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + temp}, environment...)
	output, err := p.cmd.StderrPipe()
	r.require(err, name)
	p.cmd.Stdout = io.Discard
	r.require(p.cmd.Start(), name)
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.note("started %s: %s (process %d)", name, commandLine, p.cmd.Process.Pid)
	go func() {
		defer close(p.ended)
		for scanner := bufio.NewScanner(output); scanner.Scan(); {
			line := scanner.Text()
			p.mu.Lock()
			p.lines = append(p.lines, line)
			p.mu.Unlock()
			if loggedEvents.MatchString(line) {
				r.note("log of %s: %s", name, line)
			}
		}
		p.cmd.Wait()
	}()
	return p
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.ended
}

// waitLine waits until the log has a line that contains all of the texts.
func (p *process) waitLine(limit time.Duration, texts ...string) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		if p.hasLine(texts...) {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	panic(cannotRun{fmt.Sprintf("%s did not log %q", p.name, texts)})
}

// hasLine reports whether the log has a line that contains all of the texts.
func (p *process) hasLine(texts ...string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, line := range p.lines {
		found := true
		for _, text := range texts {
			found = found && strings.Contains(line, text)
		}
		if found {
			return true
		}
	}
	return false
}

// runLine returns the command line of one gateway in the deploy file.
func (r *rig) runLine() string {
	text, err := os.ReadFile("deploy/balancer.toml")
	r.require(err, "deploy file")
	match := regexp.MustCompile(`(?m)^run = "([^"]*)"`).FindSubmatch(text)
	if match == nil {
		panic(cannotRun{"the deploy file has no run"})
	}
	return string(match[1])
}

// writeJSON writes a configuration file into the temporary folder and returns its path.
func (r *rig) writeJSON(name string, content any) string {
	text, err := json.MarshalIndent(content, "", " ")
	r.require(err, name)
	path := filepath.Join(r.temp, name)
	r.require(os.WriteFile(path, text, 0o600), name)
	return path
}

// startGateway starts a gateway with a configuration and waits until it answers PING.
func (r *rig) startGateway(name string, config object) *process {
	path := r.writeJSON(name+".json", config)
	p := r.launch(name, r.runLine(), "GW_CONFIG="+path, "GW_NAME="+name)
	return p
}

// waitReady waits until the gateway at an address answers PING.
func (r *rig) waitReady(address string) {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); {
		if c, err := dialClient(address); err == nil {
			answer := c.call(time.Second, "PING")
			c.close()
			if answer == "+PONG" {
				return
			}
		}
		time.Sleep(30 * time.Millisecond)
	}
	panic(cannotRun{"no gateway answers at " + address})
}

// Ports for the project's processes lie below those that the system assigns by itself, so that no connection takes one
// before its process listens.
const (
	lowestPort = 12000
	portCount  = 18000
)

// freeAddresses returns loopback addresses with ports that are free for TCP and UDP.
func (r *rig) freeAddresses(count int) (addresses []string) {
	for tries := 0; len(addresses) < count; tries++ {
		if tries > 1000 {
			panic(cannotRun{"no free ports"})
		}
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(portCount))
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			continue
		}
		packets, err := net.ListenPacket("udp4", address)
		listener.Close()
		if err != nil {
			continue
		}
		packets.Close()
		if !slices.Contains(r.given, address) {
			r.given = append(r.given, address)
			addresses = append(addresses, address)
		}
	}
	return addresses
}
