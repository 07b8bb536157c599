package main

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

// TestReadmeCommandStartsGateway runs the start command of the README from the root of the repository, with the file
// that it names. Only the port differs, since other gateways may run at the same time.
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
		{respArray("CALL.GET", "00000000b4d65521", "id1", arguments), "-BUSY"}, // no host is running
	} {
		if a := gateway.connect().roundTrip(test.command); !strings.HasPrefix(a, test.want) {
			t.Errorf("%q is answered %s, want %s", test.command, a, test.want)
		}
	}
}
