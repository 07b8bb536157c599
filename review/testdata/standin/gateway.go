package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// decimal returns a number as text.
func decimal(n int) string { return strconv.Itoa(n) }

// freeAddress returns a loopback address at which nothing listens, neither on TCP nor on UDP. Its port lies below those
// that the kernel gives to outgoing connections, so that none of them takes it before the process that it is for.
func freeAddress() (string, error) {
	const lowest, count, attempts = 12000, 18000, 100
	for range attempts {
		address := "127.0.0.1:" + decimal(lowest+rand.IntN(count))
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		conn, err := net.ListenPacket("udp", address)
		listener.Close()
		if err != nil {
			continue
		}
		conn.Close()
		return address, nil
	}
	return "", errors.New("no free port")
}

// gatewayProcess is one gateway, started with the deploy file's command.
type gatewayProcess struct {
	name   string
	listen string
	config string // path of its configuration
	dir    string
	tmp    string // its $TMPDIR, which the platform empties at each start
	root   string // of the repository
	cmd    *exec.Cmd
	ended  chan error
}

// runCommand returns the key run of the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, found := strings.CutPrefix(line, `run = "`); found {
			command, _, _ := strings.Cut(value, `"`)
			return command, nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no key run")
}

// startGateway writes a configuration and starts a gateway with it.
func startGateway(root, dir string, config map[string]any) (*gatewayProcess, error) {
	name := config["name"].(string)
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{
		name:   name,
		listen: config["listen"].(string),
		config: filepath.Join(dir, name+".json"),
		dir:    dir,
		tmp:    tmpDir(dir, name),
		root:   root,
	}
	if err := os.WriteFile(g.config, text, 0o600); err != nil {
		return nil, err
	}
	return g, g.start()
}

// tmpDir returns the $TMPDIR of the gateway with a name.
func tmpDir(dir, name string) string { return filepath.Join(dir, "tmp-"+name) }

// start starts the process, again if it has ended. It starts from nothing, with an empty $TMPDIR.
func (g *gatewayProcess) start() error {
	command, err := runCommand(g.root)
	if err != nil {
		return err
	}
	if err := errors.Join(os.RemoveAll(g.tmp), os.MkdirAll(g.tmp, 0o700)); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(g.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	g.cmd = exec.Command("/bin/sh", "-c", command)
	g.cmd.Dir = g.root
	g.cmd.Env = append(os.Environ(), "GW_CONFIG="+g.config, "TMPDIR="+g.tmp)
	g.cmd.Stderr = log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan error, 1)
	g.ended = ended
	cmd := g.cmd
	go func() { ended <- cmd.Wait() }()
	return nil
}

// kill ends the process and waits for its end.
func (g *gatewayProcess) kill() {
	g.cmd.Process.Signal(syscall.SIGCONT)
	g.cmd.Process.Kill()
	<-g.ended
}

// waitReady waits until the gateway answers PING.
func (g *gatewayProcess) waitReady(limit time.Duration) error {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if g.ping(500*time.Millisecond) == nil {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", g.name, limit)
}

// ping asks the gateway once on a new connection.
func (g *gatewayProcess) ping(limit time.Duration) error {
	conn, err := net.DialTimeout("tcp", g.listen, limit)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(limit))
	conn.Write(encodeCommand("PING"))
	buffer := make([]byte, 7)
	n, err := conn.Read(buffer)
	if err == nil && string(buffer[:n]) != "+PONG\r\n" {
		return errShape
	}
	return err
}
