package main

import (
	"errors"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// formerProcess has the addresses of a gateway that starts, as a predecessor that drains would.
type formerProcess struct {
	listener net.Listener // of clients
	gossip   *net.UDPConn
	observer *net.UDPConn
}

func newFormerProcess(t *testing.T) *formerProcess {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &formerProcess{listener: listener, gossip: listenUDP(t), observer: listenUDP(t)}
}

// listenUDP opens a UDP socket on loopback.
func listenUDP(t *testing.T) *net.UDPConn {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

// configure sets the addresses of a gateway to those of the former process.
func (p *formerProcess) configure(config *gatewayConfig) {
	config.Listen = p.listener.Addr().String()
	config.Settings.Members = 2
	gossip := p.gossip.LocalAddr().String()
	config.PeerListen = gossip
	config.Peers = []string{gossip, "127.0.0.1:1"}
	observer := p.observer.LocalAddr().String()
	config.Counterfactual = &counterfactualSection{
		Listen:     observer,
		Peers:      []string{observer, "127.0.0.1:1"},
		Collectors: []int{1},
	}
}

// waitForListenRetry waits until a gateway logs that the address of a key is in use.
func (g *gatewayProcess) waitForListenRetry(key string, addr net.Addr) {
	g.waitForLog("event=listen_address_in_use key=" + key + " addr=" + addr.String())
}

// startBesideFormerProcess starts a gateway at the addresses of a former process, frees that of gossip, and waits until
// the gateway waits for that of clients.
func startBesideFormerProcess(t *testing.T) (*formerProcess, *gatewayProcess) {
	former := newFormerProcess(t)
	gateway := startGateway(t, former.configure, valueHost(t))
	gateway.waitForListenRetry("peer_listen", former.gossip.LocalAddr())
	former.gossip.Close()
	gateway.waitForListenRetry("listen", former.listener.Addr())
	return former, gateway
}

// TestStartWaitsForAddressesOfFormerProcess checks that a start waits for each address, logs that once, and serves
// when all are free.
func TestStartWaitsForAddressesOfFormerProcess(t *testing.T) {
	former, gateway := startBesideFormerProcess(t)
	former.listener.Close()
	gateway.waitForListenRetry("counterfactual", former.observer.LocalAddr())
	former.observer.Close()
	gateway.waitForLog("event=serving")
	gateway.addr = former.listener.Addr().String()
	if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
}

func TestSignalEndsWaitForAddress(t *testing.T) {
	_, gateway := startBesideFormerProcess(t)
	gateway.cmd.Process.Signal(syscall.SIGTERM)
	gateway.waitForLog("event=stopped")
	if err := receive(gateway, gateway.exited); err != nil {
		t.Error(err)
	}
}

func TestAddressOfOtherMachineEndsStart(t *testing.T) {
	former := newFormerProcess(t)
	gateway := startGateway(t, func(config *gatewayConfig) {
		former.configure(config)
		config.Listen = "192.0.2.1:6379"
		former.gossip.Close()
	}, valueHost(t))
	gateway.waitForLog(`event=gateway_failed error="listen: listen tcp4 192.0.2.1:6379: bind`)
	if receive(gateway, gateway.exited) == nil {
		t.Error("exit code 0")
	}
}

// TestInvalidConfigurationEndsStart checks that the message names the key.
func TestInvalidConfigurationEndsStart(t *testing.T) {
	gateway := startGateway(t, func(config *gatewayConfig) {
		config.edit = func(text []byte) []byte {
			settings := setKey(t, encodeJSON(t, config.Settings), "plans", `[{"rate":"many"}]`)
			return setKey(t, text, "settings", string(settings))
		}
	}, newHost(t, nil))
	if !strings.Contains(gateway.startError, "settings: plans.0.rate: unexpected value") {
		t.Errorf("the line does not name the key: %s", gateway.startError)
	}
	var exit *exec.ExitError
	if err := receive(gateway, gateway.exited); !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Error(err)
	}
}
