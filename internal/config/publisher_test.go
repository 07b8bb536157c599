package config

import (
	"strings"
	"testing"
	"time"
)

// The example of docs/publishers.md can be loaded. Keys that it lacks get their defaults.
func TestLoadPublisherReadsExample(t *testing.T) {
	p, err := LoadPublisher(func(string) string { return "../../deploy/publisher.json" })
	if err != nil {
		t.Fatal(err)
	}
	if p.Index != 0 || len(p.RaftAddresses) != 3 || p.AdminAddresses[2].String() != "10.5.0.3:7402" || len(p.Key) != 16 {
		t.Errorf("values of the example: %+v", p)
	}
	if p.ElectionTimeout != time.Second || p.MaxFollowers != 8192 || p.HistoryLimits.Deltas != 4096 ||
		p.SenderLimits.SnapshotRate != 64<<20 {
		t.Errorf("defaults: %+v", p)
	}
}

const validPublisherFile = `{"index":1,"listen":"10.5.0.2:7400","raft_listen":"10.5.0.2:7401",
 "raft":["10.5.0.1:7401","10.5.0.2:7401","10.5.0.3:7401"],"admin_listen":"127.0.0.1:7402",
 "admin":["10.5.0.1:7402","10.5.0.2:7402","10.5.0.3:7402"],"dir":"/var/lib/ravensill",
 "key":"000102030405060708090a0b0c0d0e0f",
 "election_ms":500}`

func TestDecodePublisherErrorNamesKey(t *testing.T) {
	if _, err := decodePublisher(validPublisherFile); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		replacement
		want string
	}{
		{replacement{`"index":1`, `"index":3`}, "index: 3 is not from 0 to 2"},
		{replacement{`"index":1`, `"index":"1"`}, "index: unexpected value string"},
		{replacement{`"listen":"10.5.0.2:7400"`, `"listen":"here"`}, "listen: "},
		{replacement{`"listen"`, `"listens"`}, `unknown field "listens"`},
		{replacement{`"raft_listen":"10.5.0.2:7401"`, `"raft_listen":""`}, "raft_listen: "},
		{replacement{`"admin_listen":"127.0.0.1:7402"`, `"admin_listen":"x:7402"`}, "admin_listen: "},
		{replacement{`,"10.5.0.3:7401"`, ``}, "raft: 2 addresses; 1, 3 or 5 wanted"},
		{replacement{`,"10.5.0.3:7402"`, ``}, "admin: 2 addresses for 3 replicas"},
		{replacement{`"10.5.0.3:7401"`, `"x"`}, "raft.2: "},
		{replacement{`"/var/lib/ravensill"`, `""`}, "dir: missing"},
		{replacement{`0c0d0e0f`, ``}, "key: 32 hex digits or more wanted"},
		{replacement{`"election_ms":500`, `"election_ms":5`}, "election_ms: 5 is not from 100 to 30000"},
		{replacement{`"election_ms":500`, `"history_deltas":-1`}, "history_deltas: -1 is not from"},
	} {
		_, err := decodePublisher(test.applyTo(t, validPublisherFile))
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("%s for %s: %v, want %q", test.new, test.old, err, test.want)
		}
	}
}
