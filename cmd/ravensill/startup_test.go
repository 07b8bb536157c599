package main

import (
	"errors"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// TestFormerLife starts a gateway while a draining predecessor holds its addresses: the start waits for each, logs that once,
// and serves when they are free. A stop request meanwhile ends it at once, and so does an address of another machine.
func TestFormerLife(t *testing.T) {
	for _, outcome := range []string{"free", "stop", "strange"} {
		datagrams, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer datagrams.Close()
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		records, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer records.Close()
		peerAddr, recordsAddr := datagrams.LocalAddr().String(), records.LocalAddr().String()
		gateway := startGateway(t, func(config, settings map[string]any) {
			if config["listen"] = listener.Addr().String(); outcome == "strange" {
				config["listen"] = "192.0.2.1:6379"
				datagrams.Close()
			}
			settings["balancers"], config["peer_listen"], config["peers"] = 2, peerAddr, []string{peerAddr, "127.0.0.1:1"}
			config["counterfactual"] = map[string]any{"listen": recordsAddr, "peers": []string{recordsAddr, "127.0.0.1:1"}, "collectors": []int{1}}
		}, newHost(t, func([]string) string { return successReply("v") }))
		if outcome == "strange" {
			gateway.waitForLog(`event=gateway_failed error="listen: listen tcp4 192.0.2.1:6379: bind`)
			if receive(gateway, gateway.exited) == nil {
				t.Error("it ended well")
			}
			continue
		}
		gateway.waitForLog("event=listen_address_in_use key=peer_listen addr=" + peerAddr)
		datagrams.Close()
		gateway.waitForLog("event=listen_address_in_use key=listen addr=" + listener.Addr().String())
		if outcome == "stop" {
			gateway.cmd.Process.Signal(syscall.SIGTERM)
			gateway.waitForLog("event=stopped")
			if err := receive(gateway, gateway.exited); err != nil {
				t.Error(err)
			}
			continue
		}
		listener.Close()
		gateway.waitForLog("event=listen_address_in_use key=counterfactual addr=" + recordsAddr)
		records.Close()
		gateway.waitForLog("event=serving")
		gateway.addr = listener.Addr().String()
		if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
			t.Error(a)
		}
	}
}

// TestFaultyConfig checks that an invalid configuration ends the start with a message that names the key.
func TestFaultyConfig(t *testing.T) {
	gateway := startGateway(t, func(_, settings map[string]any) {
		settings["plans"] = []any{map[string]any{"rate": "many"}}
	}, newHost(t, nil))
	if !strings.Contains(gateway.addr, "settings: plans.0.rate: unexpected value") {
		t.Errorf("the line does not name the key: %s", gateway.addr)
	}
	var exit *exec.ExitError
	if err := receive(gateway, gateway.exited); !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Error(err)
	}
}
