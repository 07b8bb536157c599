package main

import (
	"errors"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// previousProcess holds the addresses of a gateway that starts, as an earlier process of the gateway that is shutting
// down would.
type previousProcess struct {
	listener net.Listener // listens on the address for clients
	gossip   *net.UDPConn
	observer *net.UDPConn
}

func newPreviousProcess(t *testing.T) *previousProcess {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	return &previousProcess{listener: listener, gossip: listenUDP(t), observer: listenUDP(t)}
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

// configure sets the addresses of a gateway to those of the previous process.
func (p *previousProcess) configure(config *gatewayConfig) {
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

// waitForListenRetry waits until the gateway logs that an address is in use. key is its key in the configuration file.
func (g *gatewayProcess) waitForListenRetry(key string, addr net.Addr) {
	g.waitForLog("event=listen_address_in_use key=" + key + " addr=" + addr.String())
}

// startBesidePreviousProcess starts a gateway at the addresses of a previous process, frees the gossip address, and
// returns when the gateway waits for the address of its clients.
func startBesidePreviousProcess(t *testing.T) (*previousProcess, *gatewayProcess) {
	previous := newPreviousProcess(t)
	gateway := startGateway(t, previous.configure, valueHost(t))
	gateway.waitForListenRetry("peer_listen", previous.gossip.LocalAddr())
	previous.gossip.Close()
	gateway.waitForListenRetry("listen", previous.listener.Addr())
	return previous, gateway
}

// TestStartWaitsForAddressesOfFormerProcess guards against a start that fails while the previous process still holds
// its addresses. The gateway logs each address that it waits for, and serves once all are free.
func TestStartWaitsForAddressesOfFormerProcess(t *testing.T) {
	previous, gateway := startBesidePreviousProcess(t)
	previous.listener.Close()
	gateway.waitForListenRetry("counterfactual", previous.observer.LocalAddr())
	previous.observer.Close()
	gateway.waitForLog("event=serving")
	gateway.addr = previous.listener.Addr().String()
	if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
}

func TestSignalEndsWaitForAddress(t *testing.T) {
	_, gateway := startBesidePreviousProcess(t)
	gateway.cmd.Process.Signal(syscall.SIGTERM)
	gateway.waitForLog("event=stopped")
	if err := receive(gateway, gateway.exited); err != nil {
		t.Error(err)
	}
}

func TestAddressOfOtherMachineEndsStart(t *testing.T) {
	previous := newPreviousProcess(t)
	gateway := startGateway(t, func(config *gatewayConfig) {
		previous.configure(config)
		config.Listen = "192.0.2.1:6379"
		previous.gossip.Close()
	}, valueHost(t))
	gateway.waitForLog(`event=gateway_failed error="listen: listen tcp4 192.0.2.1:6379: bind`)
	if receive(gateway, gateway.exited) == nil {
		t.Error("the process exited with status 0")
	}
}

// TestInvalidConfigurationEndsStart checks that a configuration with an invalid value ends the process with status 2,
// and that the error names the key of the value.
func TestInvalidConfigurationEndsStart(t *testing.T) {
	gateway := startGateway(t, func(config *gatewayConfig) {
		config.editText = func(text []byte) []byte {
			settings := setKey(t, encodeJSON(t, config.Settings), "plans", `[{"rate":"many"}]`)
			return setKey(t, text, "settings", string(settings))
		}
	}, newHost(t, nil))
	if !strings.Contains(gateway.startError, "settings: plans.0.rate: unexpected value") {
		t.Errorf("the error does not name the key: %s", gateway.startError)
	}
	var exit *exec.ExitError
	if err := receive(gateway, gateway.exited); !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Error(err)
	}
}
