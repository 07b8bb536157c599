package config

import (
	"strings"
	"testing"
)

// TestPublisherExample: the example that docs/publishers.md points at is a publisher's file, without the keys that have
// defaults.
func TestPublisherExample(t *testing.T) {
	p, err := LoadPublisher(func(string) string { return "../../deploy/publisher.json" })
	if err != nil {
		t.Fatal(err)
	}
	if p.Index != 0 || len(p.Raft) != 3 || p.Admin[2].String() != "10.5.0.3:7402" || p.ElectionTimeout.Milliseconds() != 1000 ||
		p.MaxFollowers != 8192 || p.History.Deltas != 4096 || p.Sending.SnapshotRate != 64<<20 || len(p.Key) != 16 {
		t.Errorf("%+v", p)
	}
}

const goodPublisher = `{"index":1,"listen":"10.5.0.2:7400","raft_listen":"10.5.0.2:7401",
 "raft":["10.5.0.1:7401","10.5.0.2:7401","10.5.0.3:7401"],"admin_listen":"127.0.0.1:7402",
 "admin":["10.5.0.1:7402","10.5.0.2:7402","10.5.0.3:7402"],"dir":"/var/lib/ravensill","key":"000102030405060708090a0b0c0d0e0f",
 "election_ms":500}`

// TestPublisher: the faults of a publisher's file by key.
func TestPublisher(t *testing.T) {
	if _, err := decodePublisher(goodPublisher); err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct{ text, by, want string }{
		{`"index":1`, `"index":3`, "index: 3 is not from 0 to 2"},
		{`"index":1`, `"index":"1"`, "index: unexpected value string"},
		{`"listen":"10.5.0.2:7400"`, `"listen":"here"`, "listen: "},
		{`"listen"`, `"listens"`, `unknown field "listens"`},
		{`"raft_listen":"10.5.0.2:7401"`, `"raft_listen":""`, "raft_listen: "},
		{`"admin_listen":"127.0.0.1:7402"`, `"admin_listen":"x:7402"`, "admin_listen: "},
		{`,"10.5.0.3:7401"`, ``, "raft: 2 addresses; 1, 3 or 5 wanted"},
		{`,"10.5.0.3:7402"`, ``, "admin: 2 addresses for 3 replicas"},
		{`"10.5.0.3:7401"`, `"x"`, "raft.2: "},
		{`"/var/lib/ravensill"`, `""`, "dir: missing"},
		{`0c0d0e0f`, ``, "key: 32 hex digits or more wanted"},
		{`"election_ms":500`, `"election_ms":5`, "election_ms: 5 is not from 100 to 30000"},
		{`"election_ms":500`, `"history_deltas":-1`, "history_deltas: -1 is not from"},
	} {
		bad := strings.Replace(goodPublisher, x.text, x.by, 1)
		if bad == goodPublisher {
			t.Errorf("%s is not there", x.text)
		}
		if _, err := decodePublisher(bad); err == nil || !strings.Contains(err.Error(), x.want) {
			t.Errorf("%s for %s: %v, want %q", x.by, x.text, err, x.want)
		}
	}
}
