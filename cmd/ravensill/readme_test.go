package main

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestReadmeCommandStartsGateway runs README's start command with its shipped file, from the root; only the port is
// another, since other gateways may run at the same time.
func TestReadmeCommandStartsGateway(t *testing.T) {
	readme, err := os.ReadFile("../../README.md")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^    (GW_CONFIG=(\S+)) bin/ravensill$`).FindStringSubmatch(string(readme))
	if m == nil {
		t.Fatal("README has no command that starts a gateway")
	}
	gateway := newProcess(t)
	gateway.cmd.Dir = "../.."
	gateway.cmd.Env = append(os.Environ(), runAsGateway+"=1", m[1], "GW_LISTEN=127.0.0.1:0")
	gateway.startAndWait()
	const arguments = "c=lookup,t=team,d=480,units=1,spread=1,first=0"
	for _, test := range []struct{ command, want string }{
		{respArray("PING"), "+PONG"},
		{respArray("CALL.GET", "00000000b4d65521", "id1", arguments), "-BUSY"}, // no host runs
	} {
		if a := gateway.connect().roundTrip(test.command); !strings.HasPrefix(a, test.want) {
			t.Errorf("%q is answered %s, not %s", test.command, a, test.want)
		}
	}
}
