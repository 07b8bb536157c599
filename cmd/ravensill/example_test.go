package main

import (
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
)

// TestExample runs README's start command on its shipped file, from the root; only the port is free to choose, since others
// may run beside it.
func TestExample(t *testing.T) {
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^    (GW_CONFIG=(\S+)) bin/ravensill$`).FindStringSubmatch(string(readme))
	if m == nil {
		t.Fatal("README has no command that starts a gateway")
	}
	gateway := &gatewayProcess{T: t, log: make(chan string, 999), exited: make(chan error, 1)}
	gateway.cmd = exec.Command(os.Args[0])
	gateway.cmd.Dir = "../.."
	gateway.cmd.Env = append(os.Environ(), runAsGateway+"=1", m[1], "GW_LISTEN=127.0.0.1:0")
	gateway.startAndWait()
	for _, c := range []struct{ cmd, want string }{
		{respArray("PING"), "+PONG"},
		{respArray("CALL.GET", "00000000b4d65521", "id1", "c=lookup,t=team,d=480,units=1,spread=1,first=0"), "-BUSY"}, // no host runs
	} {
		if a := gateway.connect().roundTrip(c.cmd); !strings.HasPrefix(a, c.want) {
			t.Errorf("%q is answered %s, not %s", c.cmd, a, c.want)
		}
	}
}
