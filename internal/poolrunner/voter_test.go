package poolrunner

import (
	"encoding/json"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ravensill/internal/config"
	"ravensill/internal/sockets"
	"ravensill/pool"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

// unusedAddress returns a loopback address whose TCP port is free at the moment. Tests use the port for UDP too,
// without checking that it is free there.
func unusedAddress(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// earlierReleaseLedger is the ledger in testdata/landed-6d43e16, the directory of a voter of an earlier release: a
// snapshot, and later batches in the log.
const earlierReleaseLedger = `{"Capacity":40,"Serial":5,"Entries":[` +
	`{"Life":77,"Number":5,"Units":25,"Stranded":0},{"Life":88,"Number":2,"Units":8,"Stranded":0}],"Reserve":3,"Floor":2}`

// A voter must read the directory that an earlier release wrote. If it lost leases after an upgrade, their units would
// be leased a second time, and the store would get more connections than it accepts.
func TestVoterOpensFolderOfEarlierRelease(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "voter")
	err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", "landed-6d43e16")))
	if err != nil {
		t.Fatal(err)
	}
	address := unusedAddress(t)
	voter, err := StartVoter(sockets.Kernel{}, &config.Pool{
		Terms: pool.Terms{
			Members:        2,
			Floor:          2,
			Reserve:        3,
			Lease:          time.Minute,
			Drain:          time.Minute,
			ReportInterval: time.Second,
		},
		Voters:          []netip.AddrPort{address},
		VoterStreams:    []netip.AddrPort{address},
		Listen:          address,
		Dir:             dir,
		Key:             []byte("0123456789abcdef"),
		ElectionTimeout: 200 * time.Millisecond,
	}, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer voter.Close()
	deadline := time.Now().Add(waitTimeout)
	for voter.replica.Barrier(proposeTimeout) != nil {
		if time.Now().After(deadline) {
			t.Fatal("the voter has not become the leader in time")
		}
		time.Sleep(pollInterval)
	}
	ledger, err := voter.replica.Propose([]byte("{}"), proposeTimeout).Wait()
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(ledger)
	if err != nil || string(text) != earlierReleaseLedger {
		t.Errorf("the ledger is %s, error %v; want %s", text, err, earlierReleaseLedger)
	}
}
