package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

const (
	publisherCount = 3
	planCount      = 4200             // plans that an operator adds, one change each
	snapshotWait   = 65 * time.Second // longest time until all publishers have taken a snapshot
	forceLimit     = 12 * time.Second // a change is in force at each gateway that can reach a publisher
	forceMargin    = 6 * time.Second  // the check waits longer than the limit by this
)

// publisherGroup is a group of publishers, each started with the program of the deploy file's build.
type publisherGroup struct {
	root    string
	dir     string
	log     *record
	listen  []string // for gateways
	admin   []string // for operators
	running []*exec.Cmd
}

// startPublishers writes the files of the publishers and starts them.
func startPublishers(s *scenario) (*publisherGroup, error) {
	g := &publisherGroup{root: s.root, dir: s.dir, log: s.log, running: make([]*exec.Cmd, publisherCount)}
	var raft []string
	for range publisherCount {
		for _, list := range []*[]string{&g.listen, &g.admin, &raft} {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			*list = append(*list, address)
		}
	}
	for i := range publisherCount {
		text, err := json.MarshalIndent(map[string]any{
			"index": i, "listen": g.listen[i], "raft_listen": raft[i], "raft": raft, "admin_listen": g.admin[i],
			"admin": g.admin, "dir": g.folder(i), "key": "000102030405060708090a0b0c0d0e0f",
		}, "", " ")
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(g.folder(i)+".json", text, 0o600); err != nil {
			return nil, err
		}
		if err := g.start(i); err != nil {
			g.end()
			return nil, err
		}
	}
	return g, nil
}

// folder returns the folder of a publisher's log, which outlives its process.
func (g *publisherGroup) folder(i int) string { return filepath.Join(g.dir, "publisher"+decimal(i)) }

// start starts a publisher.
func (g *publisherGroup) start(i int) error {
	log, err := os.OpenFile(g.folder(i)+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(filepath.Join(g.root, "bin", "ravensill-publisher"))
	cmd.Env = append(os.Environ(), "PUBLISHER_CONFIG="+g.folder(i)+".json")
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	g.running[i] = cmd
	return nil
}

// restart ends a publisher by SIGTERM, waits for its end and starts it again, with its folder.
func (g *publisherGroup) restart(i int) error {
	cmd := g.running[i]
	cmd.Process.Signal(syscall.SIGTERM)
	cmd.Wait()
	g.log.printf("publisher %d has ended", i)
	return g.start(i)
}

// end ends all publishers.
func (g *publisherGroup) end() {
	for _, cmd := range g.running {
		if cmd != nil {
			cmd.Process.Kill()
			cmd.Wait()
		}
	}
}

// ask sends an operator's request to a publisher and returns the status and the body of the answer.
func (g *publisherGroup) ask(i int, method, path string, content any) (status int, body []byte, err error) {
	text, err := json.Marshal(content)
	if err != nil {
		return 0, nil, err
	}
	request, err := http.NewRequest(method, "http://"+g.admin[i]+path, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	response, err := operator.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// operator is the operators' HTTP client.
var operator = &http.Client{Timeout: 10 * time.Second}

// change sends a change until it is answered 200: 503 says that the same request may be sent again. It returns the
// version.
func (g *publisherGroup) change(method string, content any) (version int, err error) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		status, body, err := g.ask(0, method, "/v1/configuration", content)
		switch {
		case err != nil || status == http.StatusServiceUnavailable:
		case status == http.StatusOK:
			var answer struct{ Version int }
			err := json.Unmarshal(body, &answer)
			return answer.Version, err
		default:
			return 0, fmt.Errorf("%s: %d %s", method, status, body)
		}
	}
	return 0, errors.New("the publishers accept no change")
}

// publisherStatus is what a publisher says of itself.
type publisherStatus struct {
	Version int  `json:"version"`
	Current bool `json:"current"`
	Leader  int  `json:"leader"`
}

// status returns what a publisher says of itself; the zero value if it can't be asked.
func (g *publisherGroup) status(i int) (s publisherStatus) {
	if status, body, err := g.ask(i, http.MethodGet, "/v1/status", nil); err == nil && status == http.StatusOK {
		json.Unmarshal(body, &s)
	}
	return s
}

// waitCurrent waits until a publisher says that it is current and has a version.
func (g *publisherGroup) waitCurrent(i, version int) error {
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		if s := g.status(i); s.Current && s.Version == version {
			g.log.printf("publisher %d says: current, version %d, leader %d", i, s.Version, s.Leader)
			return nil
		}
	}
	return fmt.Errorf("publisher %d is not current", i)
}

// waitSnapshots waits until each publisher has a snapshot on its disk.
func (g *publisherGroup) waitSnapshots() error {
	for deadline := time.Now().Add(snapshotWait); time.Now().Before(deadline); time.Sleep(time.Second) {
		count := 0
		for i := range publisherCount {
			if taken, _ := filepath.Glob(filepath.Join(g.folder(i), "snapshots", "*-*", "state.bin")); len(taken) > 0 {
				count++
			}
		}
		if count == publisherCount {
			return nil
		}
	}
	return errors.New("no snapshots")
}

// planResource returns a change that adds a plan.
func planResource(name string) map[string]any {
	return map[string]any{"set": map[string]any{"plans/" + name: plan(name, 6, 16, 1.6)}}
}

// playPublishers publishes a configuration, restarts the publishers one after the other, and then starts a gateway.
func playPublishers(s *scenario) (int, error) {
	g, err := startPublishers(s)
	if err != nil {
		return couldNotRun, err
	}
	defer g.end()
	classes := joburgPanels(1, 0)["profiles"]
	first := map[string]any{"plans": []any{plan("premium", 6, 16, 1.6)}, "profiles": classes, "peers": []string{}}
	version, err := g.change(http.MethodPut, first)
	if err != nil {
		return couldNotRun, err
	}
	for i := range planCount {
		version, err = g.change(http.MethodPatch, planResource(fmt.Sprintf("team-%04d", i)))
		if err != nil {
			return couldNotRun, err
		}
	}
	s.log.printf("the publishers have accepted version %d with %d plans", version, planCount+1)
	if err := g.waitSnapshots(); err != nil {
		return couldNotRun, err
	}
	s.log.printf("all publishers have a snapshot")
	for i := range publisherCount {
		if s.trouble {
			if err := g.restart(i); err != nil {
				return couldNotRun, err
			}
		}
		if err := g.waitCurrent(i, version); err != nil {
			return couldNotRun, err
		}
	}
	return judgePublishers(s, g, version)
}

// judgePublishers starts a gateway that has no saved version and asks it for a published plan, until the limit is over.
func judgePublishers(s *scenario, g *publisherGroup, version int) (int, error) {
	options := &fleetOptions{
		gateways: 1, hosts: 3, zone: "hall-b", kind: "small-2core", settings: joburgPanels,
		host: hostOptions{valueSize: 200, work: func(string) time.Duration { return 120 * time.Millisecond }},
		section: func(int) map[string]any {
			return map[string]any{"configuration": map[string]any{
				"publishers": g.listen, "dir": filepath.Join(tmpDir(s.dir, "n0"), "configuration"),
			}}
		},
	}
	start := time.Now()
	f, err := startFleet(s, options)
	if err != nil {
		return couldNotRun, err
	}
	defer f.end()
	client, err := dialClient(f.gateways[0].listen, s.log)
	if err != nil {
		return couldNotRun, err
	}
	ready := time.Now()
	last := fmt.Sprintf("team-%04d", planCount-1)
	for number := 0; time.Since(ready) < forceLimit+forceMargin; number++ {
		for i, name := range []string{last, "premium"} {
			id := fmt.Sprintf("r-%d-%04d", i, number)
			list := fmt.Sprintf("c=page-fetch,t=%s,d=4500,units=1,spread=1,first=0", name)
			c, err := client.send(id, 4500*time.Millisecond, "CALL.GET", fmt.Sprintf("%016x", 1000+2*(number%40)+i), id, list)
			if err != nil {
				return couldNotRun, err
			}
			time.Sleep(250 * time.Millisecond)
			if i == 0 && c.kind == '$' {
				s.summary("version %d is in force %.1f s after the start of the gateway, %.1f s after it served", version,
					time.Since(start).Seconds(), time.Since(ready).Seconds())
				return held, nil
			}
		}
	}
	for i := range publisherCount {
		own := g.status(i)
		s.log.printf("publisher %d says: current %v, version %d, leader %d", i, own.Current, own.Version, own.Leader)
	}
	s.summary("version %d is not in force at the gateway %.1f s after it served; the limit is %v", version,
		time.Since(ready).Seconds(), forceLimit)
	next, err := g.change(http.MethodPatch, planResource("one-more"))
	if err != nil {
		return couldNotRun, err
	}
	time.Sleep(4 * time.Second)
	client, err = dialClient(f.gateways[0].listen, s.log)
	if err != nil {
		return couldNotRun, err
	}
	c, err := client.send("r-last", 4500*time.Millisecond, "CALL.GET", fmt.Sprintf("%016x", 1000), "r-last",
		fmt.Sprintf("c=page-fetch,t=%s,d=4500,units=1,spread=1,first=0", last))
	if err != nil {
		return couldNotRun, err
	}
	time.Sleep(time.Second)
	s.summary("4 s after one more change, to version %d, the same request is answered %s", next, c.short())
	return broken, nil
}
